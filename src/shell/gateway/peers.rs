//! Gossip among gateways: datagrams (beacons) with loads and accounts' service, sent to the
//! gateways that [`Mesh`] selects.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    rc::Rc,
    time::Duration, //
};

use compio::{
    net::UdpSocket,
    time::sleep, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    process::Process,
    targets::MAX_HELD_ENTRIES, //
};
use crate::{
    ids::{
        Domain,
        Incarnation,
        Time,
        id, //
    },
    mesh::{
        FleetView,
        Mesh,
        RoundCost,
        Scope,
        Source, //
    },
    pool::PartReport,
    replica::{
        Receipts,
        Undated, //
    },
    settings::GatewaySettings,
    wire::{
        Beacon,
        EvacuationMark,
        NewestPosition,
        StoreMark,
        TargetMark, //
    }, //
};

/// The interval at which other gateways are asked which gateways they know: an answer takes some
/// kilobytes in a large fleet.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(3);

/// The discovery interval during [`STARTUP_PERIOD`], so that the gateways of a fleet that is
/// started all at once find each other soon.
const STARTUP_INTERVAL: Duration = Duration::from_millis(500);

/// The time after the start in which [`STARTUP_INTERVAL`] applies.
const STARTUP_PERIOD: Duration = Duration::from_secs(10);

/// The number of other routers that each datagram reports; with some sixty datagrams a second, each
/// of 400 routers is reported once a second.
const UPDATES_PER_BEACON: usize = 6;

/// The largest number of routers in the answer to a gateway that asks for them.
const MAX_REPLY_UPDATES: usize = 1_000;

/// The pause after a datagram could not be read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The shortest time between two log lines on confirmations by other gateways.
const CONFIRMATION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// The order in which aggregates are sent: each scope sums up what was gathered in the one before.
const SCOPES: [Scope; 3] = [Scope::Router, Scope::Group, Scope::Domain];

/// The other gateways that are known, and the state of the gossip with them.
#[derive(Debug)]
pub(super) struct Peers {
    own_address: SocketAddr,
    domain: u32,
    mesh: RefCell<Mesh>,
    /// The evacuated failure domains that each gateway has reported last, as their hash.
    evacuations: RefCell<BTreeMap<IpAddr, u64>>,
    /// The datagrams that were sent and received, by which reports are dated.
    receipts: RefCell<Receipts>,
    rng: RefCell<fastrand::Rng>,
    /// The sequence number of the last datagram sent.
    last_sequence: Cell<u64>,
    /// When other gateways were last asked which gateways they know.
    last_discovery: Cell<Time>,
    /// From when on the next line on a confirmation by another gateway may be logged.
    line_due: Cell<Time>,
    /// Whether sending failed in the last round.
    send_failing: Cell<bool>,
    /// Whether another gateway has told what it knows of the era that is read here.
    heard: Cell<bool>,
    /// Whether the membership has changed since the pool was told of it.
    changed: Cell<bool>,
}

impl Peers {
    pub(super) fn new(settings: &GatewaySettings, incarnation: Incarnation) -> Self {
        let domain = id(&settings.domain);
        let seeds = settings.peers().collect();
        Self {
            own_address: settings.peer,
            domain,
            mesh: RefCell::new(Mesh::new(settings.peer.ip(), domain, seeds)),
            evacuations: RefCell::default(),
            receipts: RefCell::new(Receipts::new(settings.peer.ip(), incarnation)),
            rng: RefCell::default(),
            last_sequence: Cell::new(0),
            last_discovery: Cell::new(Duration::ZERO),
            line_due: Cell::new(Duration::ZERO),
            send_failing: Cell::new(false),
            heard: Cell::new(false),
            changed: Cell::new(false),
        }
    }

    /// Returns whether another gateway has told what it knows of the era that is read here.
    pub(super) fn has_heard(&self) -> bool {
        self.heard.get()
    }

    /// Records the evacuated failure domains that another gateway reports.
    fn record_evacuation(&self, from: IpAddr, mark: &EvacuationMark) {
        let hash = domains_hash(mark.domains.iter().copied());
        self.evacuations.borrow_mut().insert(from, hash);
    }

    /// Returns the number of other gateways that have last reported the same evacuated failure
    /// domains.
    pub(super) fn count_same_evacuation(&self, domains: impl Iterator<Item = Domain>) -> usize {
        let own = domains_hash(domains);
        let evacuations = self.evacuations.borrow();
        evacuations.values().filter(|hash| **hash == own).count()
    }

    /// Returns the number of other gateways that are alive and not stopping.
    pub(super) fn len(&self) -> usize {
        self.mesh.borrow().len()
    }

    /// Records a datagram. Returns whether it is newer than all earlier ones from this sender.
    fn is_new(&self, now: Time, from: IpAddr, beacon: &Beacon) -> bool {
        let mut receipts = self.receipts.borrow_mut();
        receipts.record_received(from, beacon.incarnation, beacon.sequence, now)
    }

    /// Updates the membership from a datagram. Returns the source of the datagram's aggregates, if
    /// they are to be counted here.
    fn update_membership(&self, now: Time, from: IpAddr, beacon: &Beacon) -> Option<Source> {
        let mut mesh = self.mesh.borrow_mut();
        let changes = mesh.merge(now, &beacon.updates);
        let sender_change = mesh.record_contact(now, from, beacon.domain, beacon.leaving);
        for change in changes.iter().chain(&sender_change) {
            log::info!("{change}");
            self.changed.set(true);
        }
        let counts = |source: &Source| mesh.accepts_from(from, *source, beacon.groups);
        beacon.source.filter(counts)
    }

    /// Removes the gateways that have been silent for too long.
    fn expire(&self, now: Time) {
        let mut mesh = self.mesh.borrow_mut();
        for change in mesh.expire(now) {
            log::warn!("{change}");
        }
        let mut receipts = self.receipts.borrow_mut();
        receipts.retain(|ip| mesh.contains(ip));
        let mut evacuations = self.evacuations.borrow_mut();
        evacuations.retain(|ip, _| mesh.contains(*ip));
    }

    /// Logs a failure to send, but only the first of several in a row: the next round replaces a
    /// datagram that was lost.
    fn log_send_failure(&self, failure: Option<(IpAddr, io::Error)>) {
        let failed = failure.is_some();
        if let Some((ip, err)) = failure
            && !self.send_failing.get()
        {
            log::warn!("event=beacon-failed peer={ip} error=\"{err}\"");
        }
        self.send_failing.set(failed);
    }

    /// Returns the gateways to ask now which gateways they know; none before the interval is over.
    fn discovery_contacts(&self, now: Time) -> Vec<IpAddr> {
        let interval = match now < STARTUP_PERIOD {
            true => STARTUP_INTERVAL,
            false => DISCOVERY_INTERVAL,
        };
        if now < self.last_discovery.get() + interval && self.last_sequence.get() > 0 {
            return Vec::new();
        }
        self.last_discovery.set(now);
        self.mesh.borrow().contacts(&mut self.rng.borrow_mut())
    }
}

impl Process {
    /// Returns a datagram without aggregates with updates about up to `count` gateways.
    fn base_beacon(&self, count: usize) -> Beacon {
        let peers = &self.peers;
        let now = self.clock.now();
        let sequence = peers.last_sequence.get() + 1;
        peers.last_sequence.set(sequence);
        peers.receipts.borrow_mut().record_sent(sequence, now);
        let mesh = peers.mesh.borrow();
        let rng = &mut peers.rng.borrow_mut();
        Beacon {
            domain: peers.domain,
            incarnation: self.incarnation,
            sequence,
            leaving: self.is_stopping(),
            drains: self.recent_drains(),
            updates: mesh.member_updates(now, count, rng),
            targets: TargetMark {
                evacuated: self.evacuation_mark(),
                ..TargetMark::default()
            },
            ..Beacon::default()
        }
    }

    /// Returns what this gateway knows of the store, without what it can confirm to the recipients of
    /// one datagram only. Rules that may be older than those of other gateways are not told.
    fn store_mark(&self) -> StoreMark {
        let rules = self.rules_mark();
        let is_known = !self.rules().is_empty() && !self.may_lack_rules();
        StoreMark {
            newest: None,
            rules: is_known.then_some(rules),
            held: self.held_entries(),
        }
    }

    /// Applies what another gateway knows of the store. Once it has read the era that is read here,
    /// it has told all that it holds back, unless there is more than one datagram has room for.
    fn merge_store_mark(&self, mark: &StoreMark) {
        // This comes first, as it applies the list of targets to which the held entries belong.
        let compared = mark.rules.is_some_and(|rules| self.compare_rules(rules));
        for entry in &mark.held {
            self.hold_entry(*entry);
        }
        let era = mark.newest.map(|newest| newest.position.era);
        let is_read = era >= self.store.replica().applied().map(|applied| applied.era);
        if compared && is_read && mark.held.len() < MAX_HELD_ENTRIES {
            self.peers.heard.set(true);
        }
    }

    /// Takes what another gateway confirms, dated by the echo of a datagram of this process.
    fn merge_newest(&self, now: Time, from: IpAddr, beacon: &Beacon, newest: NewestPosition) {
        let age = Duration::from_millis(u64::from(newest.age));
        let dated = self.peers.receipts.borrow().date(now, &beacon.echoes, age);
        let result = match dated {
            Ok(at) => {
                self.observe_newest(newest.position, at);
                "dated".to_owned()
            }
            Err(cause) => cause.to_string(),
        };
        self.metrics.count_confirmation(&result);
        // While the store can be reached, it confirms the rules itself.
        let is_needed = dated.is_ok() && !self.store.is_reachable();
        if !is_needed && dated != Err(Undated::Future) || now < self.peers.line_due.get() {
            return;
        }
        self.peers.line_due.set(now + CONFIRMATION_LOG_INTERVAL);
        let age_ms = |at: Time| now.saturating_sub(at).as_millis() as i64;
        log::info!(
            "event=peer-confirmation peer={from} result={result} {} dated_ms={} rules_age_ms={}",
            newest.position,
            dated.map_or(-1, age_ms),
            self.rules_age().map_or(-1, |age| age.as_millis() as i64),
        );
    }

    /// Returns a datagram with the aggregates that this gateway sends in a scope.
    fn aggregates_beacon(&self, scope: Scope, to: &[IpAddr], parts: &[PartReport]) -> Beacon {
        let (source, groups) = self.peers.mesh.borrow().own_source(scope);
        let pool = self.pool.borrow();
        let now = self.clock.now();
        let echoes = self.peers.receipts.borrow().echoes(now, to);
        let newest = |(position, at)| NewestPosition {
            position,
            age: now.saturating_sub(at).as_millis() as u32 + 1,
        };
        Beacon {
            echoes,
            store: StoreMark {
                newest: self.confirmed().map(newest),
                ..self.store_mark()
            },
            source: Some(source),
            groups,
            loads: pool.loads(scope),
            usages: pool.usage_reports(now, scope),
            parts: parts.to_vec(),
            shares: pool.share_reports(now, scope),
            targets: TargetMark {
                slow: pool.slowdowns(now, scope),
                cold: pool.cold_notices(now),
                evacuated: self.evacuation_mark(),
            },
            ..self.base_beacon(UPDATES_PER_BEACON)
        }
    }

    /// Processes a datagram; returns the answer if the sender asks for one.
    fn receive_beacon(&self, from: IpAddr, bytes: &[u8]) -> Option<Beacon> {
        let beacon = match Beacon::decode(bytes) {
            Ok(beacon) => beacon,
            Err(err) => {
                log::warn!("event=beacon-refused peer={from} error=\"{err}\"");
                return None;
            }
        };
        let now = self.clock.now();
        if !self.peers.is_new(now, from, &beacon) {
            return None;
        }
        if let Some(newest) = beacon.store.newest {
            self.merge_newest(now, from, &beacon, newest);
        }
        if let Some(mark) = &beacon.targets.evacuated {
            self.peers.record_evacuation(from, mark);
            self.merge_evacuated(mark);
        }
        self.merge_store_mark(&beacon.store);
        if let Some(source) = self.peers.update_membership(now, from, &beacon) {
            let mut pool = self.pool.borrow_mut();
            pool.merge_peer(now, source, &beacon.loads, &beacon.usages);
            pool.merge_slowdowns(now, source, &beacon.targets.slow);
            pool.merge_shares(now, source, &beacon.shares);
        }
        if self.peers.changed.get() {
            self.update_view();
        }
        self.pool.borrow_mut().merge_cold(now, &beacon.targets.cold);
        let outputs = self.pool.borrow_mut().merge_parts(now, &beacon.parts);
        self.perform(outputs);
        for drain in &beacon.drains {
            self.mark_leaving(drain.target, drain.born);
        }
        beacon.wants_members.then(|| Beacon {
            parts: self.pool.borrow().quarantine_reports(now),
            store: self.store_mark(),
            ..self.base_beacon(MAX_REPLY_UPDATES)
        })
    }

    /// Tells the pool which gateways are alive, which decides the owners of cold targets.
    fn update_view(&self) {
        self.peers.changed.set(false);
        let view = FleetView {
            leaving: self.is_stopping(),
            ..self.peers.mesh.borrow().fleet_view()
        };
        self.pool.borrow_mut().set_view(self.clock.now(), view);
    }

    /// Removes silent gateways, and drops the aggregates that are no longer to be used here, such
    /// as those of a removed gateway.
    fn refresh_membership(&self) {
        self.peers.expire(self.clock.now());
        self.update_view();
        let mesh = self.peers.mesh.borrow();
        let mut pool = self.pool.borrow_mut();
        self.store.set_fleet(mesh.rank(), mesh.len() + 1);
        pool.set_routers(self.clock.now(), mesh.len() + 1);
        pool.set_rank(mesh.fleet_rank());
        pool.retain_sources(|source| mesh.accepts(source));
    }

    /// Sends one round of datagrams to other gateways. Returns its cost.
    async fn send_round(&self, socket: &UdpSocket) -> RoundCost {
        let mut round = RoundCost::default();
        let mut failure = None;
        let parts = self.pool.borrow_mut().part_reports(self.clock.now());
        for scope in SCOPES {
            let recipients = self.peers.mesh.borrow().recipients(scope).to_vec();
            if !recipients.is_empty() {
                let beacon = self.aggregates_beacon(scope, &recipients, &parts);
                let bytes = self.send(socket, &beacon, &recipients, &mut failure).await;
                round.add(bytes, recipients.len());
            }
        }
        let contacts = self.peers.discovery_contacts(self.clock.now());
        if !contacts.is_empty() {
            let beacon = Beacon {
                wants_members: true,
                ..self.base_beacon(UPDATES_PER_BEACON)
            };
            self.send(socket, &beacon, &contacts, &mut failure).await;
        }
        self.peers.log_send_failure(failure);
        round
    }

    /// Sends a datagram to other gateways. Returns its size in bytes.
    async fn send(
        &self,
        socket: &UdpSocket,
        beacon: &Beacon,
        to: &[IpAddr],
        failure: &mut Option<(IpAddr, io::Error)>,
    ) -> usize {
        let mut bytes = match beacon.encode() {
            Ok(bytes) => bytes,
            Err(err) => {
                log::error!("event=beacon-failed error=\"{err}\"");
                return 0;
            }
        };
        for ip in to {
            let address = SocketAddr::new(*ip, self.peers.own_address.port());
            let sent = socket.send_to(bytes, address).await;
            bytes = sent.1;
            if let Err(err) = sent.0 {
                *failure = Some((*ip, err));
            }
        }
        bytes.len()
    }
}

/// Returns a hash of a set of failure domains, in any order.
fn domains_hash(domains: impl Iterator<Item = Domain>) -> u64 {
    let domains: BTreeSet<_> = domains.collect();
    let bytes: Vec<_> = domains.into_iter().flat_map(Domain::to_le_bytes).collect();
    xxh3_64(&bytes)
}

/// Binds the socket for gossip.
pub(super) async fn bind(settings: &GatewaySettings) -> io::Result<Rc<UdpSocket>> {
    Ok(Rc::new(UdpSocket::bind(settings.peer).await?))
}

pub(super) async fn receive_beacons(process: Rc<Process>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        let received = socket.recv_from(buffer).await;
        buffer = received.1;
        match received.0 {
            Ok((length, from)) => {
                if let Some(answer) = process.receive_beacon(from.ip(), &buffer[..length]) {
                    let mut failure = None;
                    process
                        .send(&socket, &answer, &[from.ip()], &mut failure)
                        .await;
                    process.peers.log_send_failure(failure);
                }
            }
            Err(err) => {
                log::warn!("event=beacon-failed error=\"{err}\"");
                sleep(RETRY_PAUSE).await;
            }
        }
        buffer.clear();
    }
}

/// Sends this gateway's datagrams, in rounds whose interval depends on their cost.
pub(super) async fn send_rounds(process: Rc<Process>, socket: Rc<UdpSocket>) {
    loop {
        process.refresh_membership();
        let round = process.send_round(&socket).await;
        sleep(round.interval()).await;
    }
}

//! The exchange among gateways: datagrams with loads and service, to those that [`Mesh`] names.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
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

use super::{
    belief::Sent,
    process::Process, //
};
use crate::{
    ids::{
        Incarnation,
        Revision,
        Time,
        id, //
    },
    mesh::{
        self,
        Mesh,
        Round,
        Scope,
        Source, //
    },
    settings::GatewaySettings,
    wire::{
        Beacon,
        Echo,
        NewestRevision, //
    }, //
};

/// The interval at which others are asked whom they know: an answer is some kilobytes long in a
/// large fleet.
const ASK_INTERVAL: Duration = Duration::from_secs(3);

/// The same interval at first, so that a fleet that starts at once is soon whole.
const START_INTERVAL: Duration = Duration::from_millis(500);

/// How long that is after the start.
const START_TIME: Duration = Duration::from_secs(10);

/// The routers that each datagram tells of; with some sixty datagrams a second each of 400
/// routers is heard of once a second.
const RUMORS: usize = 6;

/// The routers that are told to one that asks.
const MOST_RUMORS: usize = 1_000;

/// The pause after a datagram could not be read.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// The order in which figures are told: each scope sums up what the one before has gathered.
const SCOPES: [Scope; 3] = [Scope::Router, Scope::Group, Scope::Domain];

/// The last datagram of another gateway.
#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: Incarnation,
    sequence: u64,
    at: Time,
}

/// The other gateways that are known, and the state of the exchange with them.
#[derive(Debug)]
pub(super) struct Peers {
    own: SocketAddr,
    domain: u32,
    mesh: RefCell<Mesh>,
    /// The last datagram of each sender.
    seen: RefCell<BTreeMap<IpAddr, Seen>>,
    /// When this gateway's own datagrams were sent.
    times: RefCell<Sent>,
    rng: RefCell<fastrand::Rng>,
    sent: Cell<u64>,
    asked: Cell<Time>,
    failing: Cell<bool>,
}

impl Peers {
    pub(super) fn new(settings: &GatewaySettings) -> Self {
        let domain = id(&settings.domain);
        let seeds = settings.peers().collect();
        Self {
            own: settings.peer,
            domain,
            mesh: RefCell::new(Mesh::new(settings.peer.ip(), domain, seeds)),
            seen: RefCell::default(),
            times: RefCell::default(),
            rng: RefCell::default(),
            sent: Cell::new(0),
            asked: Cell::new(Duration::ZERO),
            failing: Cell::new(false),
        }
    }

    /// Returns the number of gateways that are there.
    pub(super) fn len(&self) -> usize {
        self.mesh.borrow().len()
    }

    /// Notes a datagram and returns whether it is new.
    fn is_new(&self, now: Time, from: IpAddr, beacon: &Beacon) -> bool {
        let mut seen = self.seen.borrow_mut();
        let stale = |known: &Seen| {
            known.incarnation == beacon.incarnation && known.sequence >= beacon.sequence
        };
        if seen.get(&from).is_some_and(stale) {
            return false;
        }
        let fresh = Seen {
            incarnation: beacon.incarnation,
            sequence: beacon.sequence,
            at: now,
        };
        seen.insert(from, fresh);
        true
    }

    /// Returns the last datagrams of some others, so that they know how old this one is.
    fn echoes(&self, now: Time, to: &[IpAddr]) -> Vec<Echo> {
        let seen = self.seen.borrow();
        let echo = |ip: &IpAddr| {
            let seen = seen.get(ip)?;
            Some(Echo {
                router: mesh::number(*ip),
                sequence: seen.sequence,
                age: now.saturating_sub(seen.at).as_millis() as u32,
            })
        };
        to.iter().filter_map(echo).collect()
    }

    /// Returns the newest revision that a datagram tells of, with a time at which it surely was.
    fn newest(&self, beacon: &Beacon) -> Option<(Revision, Time)> {
        let newest = beacon.newest?;
        let own = mesh::number(self.own.ip());
        let echo = beacon.echoes.iter().find(|echo| echo.router == own)?;
        let times = self.times.borrow();
        let millis = |time: u32| Duration::from_millis(u64::from(time));
        let at = times.earliest(echo.sequence, millis(echo.age), millis(newest.age))?;
        Some((newest.revision, at))
    }

    /// Takes in what a datagram says of other gateways; returns the source of its figures, if
    /// they count here.
    fn note(&self, now: Time, from: IpAddr, beacon: &Beacon) -> Option<Source> {
        let mut mesh = self.mesh.borrow_mut();
        let changes = mesh.learn(now, &beacon.updates);
        let heard = mesh.hear(now, from, beacon.domain, beacon.leaving);
        for change in changes.iter().chain(&heard) {
            log::info!("{change}");
        }
        let counts = |source: &Source| mesh.counts(from, *source, beacon.groups);
        beacon.source.filter(counts)
    }

    fn expire(&self, now: Time) {
        let mut mesh = self.mesh.borrow_mut();
        for change in mesh.expire(now) {
            log::warn!("{change}");
        }
        let mut seen = self.seen.borrow_mut();
        seen.retain(|ip, _| mesh.knows(*ip));
    }

    /// Notes whether a datagram could not be sent; it is followed by the next one, so only the
    /// first of several failures is logged.
    fn note_failure(&self, failure: Option<(IpAddr, io::Error)>) {
        let failed = failure.is_some();
        if let Some((ip, err)) = failure
            && !self.failing.get()
        {
            log::warn!("event=beacon-failed peer={ip} error=\"{err}\"");
        }
        self.failing.set(failed);
    }

    /// Returns the routers to ask now whom they know.
    fn contacts(&self, now: Time) -> Vec<IpAddr> {
        let interval = match now < START_TIME {
            true => START_INTERVAL,
            false => ASK_INTERVAL,
        };
        if now < self.asked.get() + interval && self.sent.get() > 0 {
            return Vec::new();
        }
        self.asked.set(now);
        self.mesh.borrow().contacts(&mut self.rng.borrow_mut())
    }
}

impl Process {
    /// Returns a datagram without figures that tells of up to `rumors` gateways.
    fn beacon(&self, rumors: usize) -> Beacon {
        let peers = &self.peers;
        let now = self.clock.now();
        let sequence = peers.sent.get() + 1;
        peers.sent.set(sequence);
        peers.times.borrow_mut().note(sequence, now);
        let mesh = peers.mesh.borrow();
        let rng = &mut peers.rng.borrow_mut();
        Beacon {
            domain: peers.domain,
            incarnation: self.incarnation,
            sequence,
            leaving: self.is_stopping(),
            drains: self.leaving(),
            updates: mesh.rumors(now, rumors, rng),
            ..Beacon::default()
        }
    }

    /// Returns a datagram with what this gateway speaks for in a scope.
    fn figures(&self, scope: Scope, to: &[IpAddr]) -> Beacon {
        let (source, groups) = self.peers.mesh.borrow().speaks_for(scope);
        let pool = self.pool.borrow();
        let now = self.clock.now();
        let newest = |(revision, at)| NewestRevision {
            revision,
            age: now.saturating_sub(at).as_millis() as u32 + 1,
        };
        Beacon {
            echoes: self.peers.echoes(now, to),
            newest: self.confirmed().map(newest),
            source: Some(source),
            groups,
            loads: pool.loads(scope),
            usages: pool.standings(now, scope),
            ..self.beacon(RUMORS)
        }
    }

    fn take_beacon(&self, from: IpAddr, bytes: &[u8]) -> Option<Beacon> {
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
        if let Some((revision, at)) = self.peers.newest(&beacon) {
            self.hear_newest(revision, at);
        }
        if let Some(source) = self.peers.note(now, from, &beacon) {
            let mut pool = self.pool.borrow_mut();
            pool.peer(now, source, &beacon.loads, &beacon.usages);
        }
        for drain in &beacon.drains {
            self.leave(drain.target, drain.born);
        }
        beacon.wants_members.then(|| self.beacon(MOST_RUMORS))
    }

    /// Drops what was told by gateways that have gone or whose figures others tell now.
    fn settle(&self) {
        self.peers.expire(self.clock.now());
        let mesh = self.peers.mesh.borrow();
        let mut pool = self.pool.borrow_mut();
        self.inbox.set_rank(mesh.rank());
        pool.set_routers(mesh.len() + 1);
        pool.forget_all_but(|source| mesh.expects(source));
    }

    /// Tells the others what is theirs to know, and returns what it has cost.
    async fn tell(&self, socket: &UdpSocket) -> Round {
        let mut round = Round::default();
        let mut failure = None;
        for scope in SCOPES {
            let listeners = self.peers.mesh.borrow().listeners(scope).to_vec();
            if !listeners.is_empty() {
                let beacon = self.figures(scope, &listeners);
                let bytes = self.send(socket, &beacon, &listeners, &mut failure).await;
                round.add(bytes, listeners.len());
            }
        }
        let contacts = self.peers.contacts(self.clock.now());
        if !contacts.is_empty() {
            let beacon = Beacon {
                wants_members: true,
                ..self.beacon(RUMORS)
            };
            self.send(socket, &beacon, &contacts, &mut failure).await;
        }
        self.peers.note_failure(failure);
        round
    }

    /// Sends a datagram to others and returns its bytes.
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
            let address = SocketAddr::new(*ip, self.peers.own.port());
            let sent = socket.send_to(bytes, address).await;
            bytes = sent.1;
            if let Err(err) = sent.0 {
                *failure = Some((*ip, err));
            }
        }
        bytes.len()
    }
}

/// Binds the socket for other gateways.
pub(super) async fn bind(settings: &GatewaySettings) -> io::Result<Rc<UdpSocket>> {
    Ok(Rc::new(UdpSocket::bind(settings.peer).await?))
}

/// Reads other gateways' datagrams.
pub(super) async fn listen(process: Rc<Process>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        let received = socket.recv_from(buffer).await;
        buffer = received.1;
        match received.0 {
            Ok((length, from)) => {
                if let Some(answer) = process.take_beacon(from.ip(), &buffer[..length]) {
                    let mut failure = None;
                    process
                        .send(&socket, &answer, &[from.ip()], &mut failure)
                        .await;
                    process.peers.note_failure(failure);
                }
            }
            Err(err) => {
                log::warn!("event=beacon-failed error=\"{err}\"");
                sleep(READ_PAUSE).await;
            }
        }
        buffer.clear();
    }
}

/// Sends this gateway's datagrams.
pub(super) async fn speak(process: Rc<Process>, socket: Rc<UdpSocket>) {
    loop {
        process.settle();
        let round = process.tell(&socket).await;
        sleep(round.interval()).await;
    }
}

//! The state machine of a router.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    rc::Rc,
    time::Duration,
};

use super::{
    Ask, Bounds, Budget, Cause, Event, Queues, Ran, Refusal, Reply, Waiter,
    probe::Probes,
    queue::Owner,
    request::{
        Flight,
        Request,
        Stage, //
    },
};
use crate::{
    fair::{
        EXCHANGE_INTERVAL,
        Table, //
    },
    ids::{
        self,
        Account,
        Incarnation,
        Sequence,
        Service,
        Target,
        Time,
        weight, //
    },
    member,
    rules::Rules,
    wire::{
        Dispatch,
        Message,
        Part,
        Reason,
        Report,
        RequestId, //
    },
};

/// The time that a lost link may take to be replaced before an idempotent request
/// without an answer is tried elsewhere.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// The time that a lost link may take to be replaced before its answers are given up.
const RESUME_WAIT: Duration = Duration::from_secs(5);

/// The time before a request that was sent back is queued again.
const RETURN_WAIT: Duration = Duration::from_millis(100);

/// The time that an offer is used.
const OFFER_LIFE: Duration = Duration::from_secs(8);

/// The interval at which sidecars are told of answers that have arrived whole.
const DONE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The unacknowledged bytes at which a sidecar is told what has arrived.
const ACK_BYTES: u64 = 64 << 10;

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The router.
    pub router: ids::Router,
    /// The incarnation, drawn at start.
    pub incarnation: Incarnation,
    /// The bounds of the queues.
    pub bounds: Bounds,
    /// The seed of random choices.
    pub seed: u64,
}

/// What a router is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The caller of a request has gone.
    Gone(Sequence),
    /// A caller has taken bytes of its answer.
    Taken(Sequence, u64),
    /// A link to a sidecar is up.
    Up {
        /// The target beside it.
        target: Target,
        /// The target's service.
        service: Service,
        /// The sidecar's incarnation.
        incarnation: Incarnation,
    },
    /// A link to a sidecar is down.
    Down {
        /// The target beside it.
        target: Target,
    },
    /// A sidecar has sent a message.
    Message {
        /// The target beside it.
        target: Target,
        /// The message.
        message: Message,
    },
    /// A link to another router is up.
    PeerUp {
        /// The router.
        router: ids::Router,
    },
    /// A link to another router is down.
    PeerDown {
        /// The router.
        router: ids::Router,
    },
    /// Another router has sent a message.
    PeerMessage {
        /// The router.
        router: ids::Router,
        /// The message.
        message: Message,
    },
    /// Other rules are in force.
    Rules(Rc<Rules>),
    /// No new requests are to be taken.
    Drain,
    /// Time has passed.
    Tick,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a sidecar.
    Send(Target, Message),
    /// Send a message to another router.
    SendPeer(ids::Router, Message),
    /// Give a caller a piece of its answer.
    Reply(Sequence, Reply),
    /// Every request has ended after [`Input::Drain`].
    Drained,
    /// Write a log line.
    Log(Event),
}

#[derive(Debug)]
struct Link {
    service: Service,
    incarnation: Incarnation,
    offer: u32,
    stamp: u64,
    offered: Time,
}

/// A router's decisions; it does no input or output and reads no clock.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rules: Rc<Rules>,
    requests: HashMap<Sequence, Request>,
    last: Sequence,
    queues: Queues,
    probes: BTreeMap<Owner, Probes>,
    links: BTreeMap<Target, Link>,
    members: BTreeMap<Service, Vec<Target>>,
    flights: BTreeMap<Target, BTreeSet<Sequence>>,
    peers: BTreeSet<ids::Router>,
    tables: BTreeMap<Service, Table>,
    exchanged: Time,
    heard: BTreeSet<ids::Router>,
    timers: BTreeSet<(Time, Sequence)>,
    done: BTreeMap<Target, Vec<(Sequence, u32)>>,
    flushed: Time,
    budget: Budget,
    rng: fastrand::Rng,
    draining: bool,
    outs: Vec<Output>,
}

impl Router {
    /// Creates a router that has no links and no rules.
    pub fn new(settings: Settings) -> Self {
        Self {
            queues: Queues::new(settings.bounds),
            rng: fastrand::Rng::with_seed(settings.seed),
            settings,
            rules: Rc::default(),
            requests: HashMap::new(),
            last: 0,
            probes: BTreeMap::new(),
            links: BTreeMap::new(),
            members: BTreeMap::new(),
            flights: BTreeMap::new(),
            peers: BTreeSet::new(),
            tables: BTreeMap::new(),
            exchanged: Time::ZERO,
            heard: BTreeSet::new(),
            timers: BTreeSet::new(),
            done: BTreeMap::new(),
            flushed: Time::ZERO,
            budget: Budget::default(),
            draining: false,
            outs: Vec::new(),
        }
    }

    /// Takes a request in and returns its number and what is to be done.
    ///
    /// ```
    /// use std::{rc::Rc, time::Duration};
    /// use redwingyard::{router::{Ask, Bounds, Router, Settings}, wire::Head};
    /// let settings = Settings {
    ///     router: 1,
    ///     incarnation: 2,
    ///     bounds: Bounds::default(),
    ///     seed: 3,
    /// };
    /// let head = Head {
    ///     status: 0,
    ///     method: "GET".into(),
    ///     path: "/".into(),
    ///     fields: vec![],
    /// };
    /// let ask = Ask {
    ///     account: 7,
    ///     service: 8,
    ///     head: Rc::new(head),
    ///     body: Default::default(),
    ///     write: None,
    ///     bid: None,
    ///     conversation: None,
    ///     limit: Duration::from_secs(1),
    /// };
    /// let mut router = Router::new(settings);
    /// let (sequence, outs) = router.arrive(Duration::ZERO, ask);
    /// assert_eq!((sequence, outs.len()), (1, 0));
    /// ```
    pub fn arrive(&mut self, now: Time, ask: Ask) -> (Sequence, Vec<Output>) {
        self.last += 1;
        let sequence = self.last;
        self.budget.earn();
        let owner = (ask.service, ask.account);
        let limit = ask.limit;
        let request = Request {
            ask,
            arrived: now,
            attempt: 1,
            stage: Stage::Queued,
            doubtful: false,
            started: false,
            received: 0,
            taken: 0,
            wake: now + limit,
        };
        self.timers.insert((request.wake, sequence));
        self.requests.insert(sequence, request);
        if self.draining {
            self.refuse(sequence, Cause::Draining, Ran::No);
        } else if self.queues.wait(owner) > limit {
            self.refuse(sequence, Cause::Overload, Ran::No);
        } else {
            self.place(now, sequence);
        }
        (sequence, std::mem::take(&mut self.outs))
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        match input {
            Input::Gone(sequence) => self.gone(now, sequence),
            Input::Taken(sequence, bytes) => self.taken(sequence, bytes),
            Input::Up {
                target,
                service,
                incarnation,
            } => self.up(now, target, service, incarnation),
            Input::Down { target } => self.down(now, target),
            Input::Message { target, message } => self.message(now, target, message),
            Input::PeerUp { router } => self.peer_up(router),
            Input::PeerDown { router } => self.peer_down(router),
            Input::PeerMessage { router, message } => self.peer_message(now, router, message),
            Input::Rules(rules) => self.rules = rules,
            Input::Drain => self.draining = true,
            Input::Tick => self.tick(now),
        }
        if self.draining && self.requests.is_empty() {
            self.flush_done();
            self.outs.push(Output::Drained);
        }
        std::mem::take(&mut self.outs)
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }

    /// Returns the requests that have not ended.
    pub fn active(&self) -> usize {
        self.requests.len()
    }

    /// Returns each queue that is not empty with its length.
    pub fn backlog(&self) -> impl Iterator<Item = ((Service, Account), usize)> {
        self.queues.iter()
    }

    /// Returns the table of a service.
    pub fn table(&self, service: Service) -> Option<&Table> {
        self.tables.get(&service)
    }

    /// Returns the tables of all services.
    pub fn tables(&self) -> impl Iterator<Item = (Service, &Table)> {
        self.tables.iter().map(|(service, table)| (*service, table))
    }

    /// Returns the linked targets with their services and offered slots.
    pub fn targets(&self) -> impl Iterator<Item = (Target, Service, u32)> {
        self.links
            .iter()
            .map(|(target, link)| (*target, link.service, link.offer))
    }

    fn id_of(&self, sequence: Sequence, request: &Request) -> RequestId {
        RequestId {
            router: self.settings.incarnation,
            sequence,
            attempt: request.attempt,
        }
    }

    /// Hands a request to a target that has offered a slot, or queues it.
    fn place(&mut self, now: Time, sequence: Sequence) {
        let request = &self.requests[&sequence];
        let owner = (request.ask.service, request.ask.account);
        if self.queues.len(owner) == 0
            && let Some(target) = self.open_target(now, request)
        {
            return self.use_offer(now, sequence, target);
        }
        let waiter = self.waiter(sequence);
        let first = self.queues.len(owner) == 0;
        if let Some(evicted) = self.queues.push(owner, waiter) {
            self.refuse(evicted, Cause::QueueFull, Ran::No);
        }
        if first {
            self.observe(now, owner);
        }
        self.tell(now, owner);
    }

    fn waiter(&self, sequence: Sequence) -> Waiter {
        let request = &self.requests[&sequence];
        let ask = &request.ask;
        let owner = |key| self.rules.key_owner(ask.service, key);
        let conversation = ask.conversation;
        let favourite = conversation.and_then(|key| self.favourite(ask.service, key, |_| true));
        Waiter {
            sequence,
            bound: request.key().map(|key| owner(key).unwrap_or_default()),
            favourite,
            bytes: ask.body.len(),
        }
    }

    /// Returns the linked target that a conversation belongs to.
    fn favourite(
        &self,
        service: Service,
        key: u64,
        may: impl Fn(Target) -> bool,
    ) -> Option<Target> {
        let members = self.members.get(&service)?;
        members
            .iter()
            .copied()
            .filter(|target| may(*target))
            .max_by_key(|target| weight(*target, key))
    }

    /// Returns a target that has offered a slot for a request.
    fn open_target(&self, now: Time, request: &Request) -> Option<Target> {
        let service = request.ask.service;
        let open = |target: Target| {
            let link = &self.links[&target];
            link.offer > 0 && now < link.offered + OFFER_LIFE
        };
        if let Some(key) = request.key() {
            let owner = self.rules.key_owner(service, key)?;
            let linked = self.links.contains_key(&owner);
            return (linked && open(owner)).then_some(owner);
        }
        if let Some(key) = request.ask.conversation {
            return self.favourite(service, key, open);
        }
        let members = self.members.get(&service)?;
        members
            .iter()
            .copied()
            .filter(|target| open(*target))
            .max_by_key(|target| (self.links[target].offer, weight(*target, self.last)))
    }

    fn use_offer(&mut self, now: Time, sequence: Sequence, target: Target) {
        let Some(link) = self.links.get_mut(&target) else {
            return;
        };
        link.offer -= 1;
        let stamp = link.stamp;
        self.dispatch(now, sequence, target, stamp, 0);
    }

    fn dispatch(&mut self, now: Time, sequence: Sequence, target: Target, stamp: u64, grant: u64) {
        let incarnation = self.links[&target].incarnation;
        let request = self
            .requests
            .get_mut(&sequence)
            .expect("the request is kept");
        request.stage = Stage::Flying(Flight {
            target,
            incarnation,
            stamp,
            lost: None,
            acked: 0,
        });
        request.received = 0;
        self.flights.entry(target).or_default().insert(sequence);
        let request = &self.requests[&sequence];
        let id = self.id_of(sequence, request);
        let ask = &request.ask;
        let share = self.rules.share_entry(ask.service, ask.account);
        self.outs.push(Output::Log(Event::Route {
            id,
            account: self.rules.name(ask.account),
            target: self.rules.name(target),
            why: if grant > 0 { "grant" } else { "offer" },
            waited: now.saturating_sub(request.arrived).as_micros(),
            share: share.map_or(0, |entry| entry.line),
            write: ask.write.unwrap_or(0),
        }));
        let dispatch = Dispatch {
            id,
            incarnation,
            stamp,
            grant,
            account: ask.account,
            write: ask.write.is_some(),
            key: ask.bid,
            generation: self.rules.generation(),
            head: ask.head.clone(),
            body: ask.body.clone(),
            left: request.deadline().saturating_sub(now).as_millis() as u64,
        };
        let message = Message::Dispatch(Rc::new(dispatch));
        self.outs.push(Output::Send(target, message));
        // The two share a packet.
        if let Some(done) = self.done.remove(&target) {
            self.outs.push(Output::Send(target, Message::Done(done)));
        }
    }

    /// Tells sidecars how many requests wait in a queue, as far as they should know.
    fn tell(&mut self, now: Time, owner: Owner) {
        let waiting = self.queues.unbound(owner);
        let bound = self.queues.bound_targets(owner);
        let members = self.members.get(&owner.0).map_or(&[][..], Vec::as_slice);
        let probes = self.probes.entry(owner).or_default();
        if bound.is_empty() && !probes.is_due(now, waiting, members.len()) {
            return;
        }
        let reach = probes.reach(now, waiting);
        let mut targets = probes.targets();
        targets.extend(bound);
        let more = reach.min(members.len()).saturating_sub(probes.len());
        if more > 0 {
            let start = self.rng.usize(..members.len());
            let around = members[start..].iter().chain(&members[..start]);
            let fresh = around.filter(|target| !probes.knows(**target)).take(more);
            targets.extend(fresh);
        }
        targets.sort_unstable();
        targets.dedup();
        let reach = targets.len() as u32;
        for target in targets {
            let count = self.queues.available(owner, target) as u32;
            if self.links.contains_key(&target) && probes.tell(target, count) {
                let account = owner.1;
                let waiting = count;
                let message = Message::Demand {
                    account,
                    waiting,
                    reach,
                };
                self.outs.push(Output::Send(target, message));
            }
        }
        if waiting == 0 && probes.is_empty() {
            self.probes.remove(&owner);
        }
    }

    fn observe(&mut self, now: Time, owner: Owner) {
        let waiting = self.queues.len(owner) as u32;
        let me = self.settings.router;
        self.table_mut(owner.0).observe(now, me, owner.1, waiting);
    }

    fn table_mut(&mut self, service: Service) -> &mut Table {
        let peers = &self.peers;
        let me = member::rank(self.settings.router);
        self.tables.entry(service).or_insert_with(|| {
            let mut table = Table::new(service);
            for peer in peers {
                table.link(*peer, member::rank(*peer) < me);
            }
            table
        })
    }

    fn gone(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.remove(sequence) else {
            return;
        };
        let owner = (request.ask.service, request.ask.account);
        match &request.stage {
            Stage::Queued => {
                self.queues.remove(owner, sequence);
                self.tell(now, owner);
            }
            Stage::Delayed => {}
            Stage::Flying(flight) => {
                let id = self.id_of(sequence, &request);
                self.outs
                    .push(Output::Send(flight.target, Message::Cancel { id }));
            }
        }
    }

    /// Forgets a request that has ended.
    fn remove(&mut self, sequence: Sequence) -> Option<Request> {
        let request = self.requests.remove(&sequence)?;
        self.timers.remove(&(request.wake, sequence));
        if let Stage::Flying(flight) = &request.stage
            && let Some(flights) = self.flights.get_mut(&flight.target)
        {
            flights.remove(&sequence);
        }
        Some(request)
    }

    fn refuse(&mut self, sequence: Sequence, cause: Cause, ran: Ran) {
        let Some(request) = self.remove(sequence) else {
            return;
        };
        let ran = match (ran, request.doubtful) {
            (Ran::No, true) => Ran::Unknown,
            (ran, _) => ran,
        };
        let owner = (request.ask.service, request.ask.account);
        let retry = match cause {
            Cause::KeyReused | Cause::KeyDone | Cause::KeyUnknown => None,
            Cause::KeyRunning | Cause::Draining => Some(Duration::from_secs(1)),
            _ => Some(self.queues.wait(owner).max(Duration::from_secs(1))),
        };
        self.outs.push(Output::Log(Event::Refuse {
            id: self.id_of(sequence, &request),
            account: self.rules.name(request.ask.account),
            cause,
            ran,
        }));
        let refusal = Refusal { cause, ran, retry };
        self.outs
            .push(Output::Reply(sequence, Reply::Refuse(refusal)));
    }

    /// Ends a request whose answer cannot be completed.
    fn give_up(&mut self, sequence: Sequence, cause: Cause) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        if !request.started {
            return self.refuse(sequence, cause, Ran::Unknown);
        }
        self.outs.push(Output::Log(Event::Break {
            id: self.id_of(sequence, request),
            received: request.received,
        }));
        self.remove(sequence);
        self.outs.push(Output::Reply(sequence, Reply::Break));
    }

    fn up(&mut self, now: Time, target: Target, service: Service, incarnation: Incarnation) {
        let link = Link {
            service,
            incarnation,
            offer: 0,
            stamp: 0,
            offered: now,
        };
        self.links.insert(target, link);
        let members = self.members.entry(service).or_default();
        if !members.contains(&target) {
            members.push(target);
        }
        for probes in self.probes.values_mut() {
            probes.forget(target);
        }
        self.ask_again(target, incarnation);
        let owners: Vec<_> = self.queues.iter().map(|(owner, _)| owner).collect();
        for owner in owners.into_iter().filter(|owner| owner.0 == service) {
            self.tell(now, owner);
        }
    }

    /// Asks a sidecar that is back about the attempts that it had.
    fn ask_again(&mut self, target: Target, incarnation: Incarnation) {
        let flights = self.flights.get(&target).cloned().unwrap_or_default();
        for sequence in flights {
            let Some(request) = self.requests.get_mut(&sequence) else {
                continue;
            };
            let Stage::Flying(flight) = &mut request.stage else {
                continue;
            };
            if flight.incarnation != incarnation {
                self.lose(sequence);
                continue;
            }
            flight.lost = None;
            self.query(sequence);
        }
    }

    /// Asks a sidecar for what is missing of an answer.
    fn query(&mut self, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Stage::Flying(flight) = &request.stage else {
            return;
        };
        let id = self.id_of(sequence, request);
        let (target, stamp) = (flight.target, flight.stamp);
        let offset = request.received;
        self.outs.push(Output::Log(Event::Resume {
            id,
            target: self.rules.name(target),
            offset,
        }));
        let message = Message::Query { id, stamp, offset };
        self.outs.push(Output::Send(target, message));
    }

    fn down(&mut self, now: Time, target: Target) {
        let Some(link) = self.links.remove(&target) else {
            return;
        };
        if let Some(members) = self.members.get_mut(&link.service) {
            members.retain(|member| *member != target);
        }
        for probes in self.probes.values_mut() {
            probes.forget(target);
        }
        if let Some(table) = self.tables.get_mut(&link.service) {
            table.forget(target);
        }
        for sequence in self.flights.get(&target).cloned().unwrap_or_default() {
            let Some(request) = self.requests.get_mut(&sequence) else {
                continue;
            };
            let fresh = request.ask.write.is_none() && !request.started;
            let wait = if fresh { RETRY_WAIT } else { RESUME_WAIT };
            if let Stage::Flying(flight) = &mut request.stage {
                flight.lost = Some(now);
            }
            self.wake_at(sequence, now + wait);
        }
    }

    /// Moves a request's timer, but never past its deadline while it has no answer.
    fn wake_at(&mut self, sequence: Sequence, at: Time) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        self.timers.remove(&(request.wake, sequence));
        request.wake = match request.started {
            true => at,
            false => at.min(request.deadline()),
        };
        self.timers.insert((request.wake, sequence));
    }

    /// Resolves an attempt whose outcome cannot be known.
    fn lose(&mut self, sequence: Sequence) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let Stage::Flying(flight) = request.stage.clone() else {
            return;
        };
        request.doubtful = true;
        let again = request.ask.write.is_none() && !request.started;
        if !again || !self.budget.spend() {
            return self.give_up(sequence, Cause::TargetLost);
        }
        let request = &self.requests[&sequence];
        self.outs.push(Output::Log(Event::Retry {
            id: self.id_of(sequence, request),
            target: self.rules.name(flight.target),
        }));
        self.delay(sequence, Time::ZERO);
    }

    /// Takes an attempt back and queues its request again later.
    fn delay(&mut self, sequence: Sequence, until: Time) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        if let Stage::Flying(flight) = &request.stage
            && let Some(flights) = self.flights.get_mut(&flight.target)
        {
            flights.remove(&sequence);
        }
        request.attempt += 1;
        request.stage = Stage::Delayed;
        self.wake_at(sequence, until);
    }

    fn requeue(&mut self, now: Time, sequence: Sequence) {
        let waiter = self.waiter(sequence);
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.stage = Stage::Queued;
        let owner = (request.ask.service, request.ask.account);
        let deadline = request.deadline();
        self.queues.push_front(owner, waiter);
        self.wake_at(sequence, deadline);
        self.observe(now, owner);
        self.drain_offers(now, owner.0);
        self.tell(now, owner);
    }

    fn message(&mut self, now: Time, target: Target, message: Message) {
        if !self.links.contains_key(&target) {
            return;
        }
        match message {
            Message::Offer { slots, stamp } => self.offer(now, target, slots, stamp),
            Message::Grant {
                grant,
                account,
                stamp,
            } => self.grant(now, target, grant, account, stamp),
            Message::Part(part) => self.part(now, target, part),
            Message::Refused { id, reason } => self.refused(now, target, id, reason),
            Message::Report(report) => self.report(now, target, &report),
            _ => {}
        }
    }

    fn offer(&mut self, now: Time, target: Target, slots: u32, stamp: u64) {
        let Some(link) = self.links.get_mut(&target) else {
            return;
        };
        link.offer = slots;
        link.stamp = stamp;
        link.offered = now;
        let service = link.service;
        self.drain_offers(now, service);
    }

    /// Gives offered slots to queued requests, the account with the least service first.
    fn drain_offers(&mut self, now: Time, service: Service) {
        let members = self.members.get(&service).cloned().unwrap_or_default();
        for target in members {
            while self.links[&target].offer > 0 {
                let usage = |account| {
                    let table = self.tables.get(&service);
                    table.map_or(0, |table| table.usage(account))
                };
                let queues = self.queues.iter().map(|(owner, _)| owner);
                let ours = queues.filter(|owner| owner.0 == service);
                let able = ours.filter(|owner| self.queues.available(*owner, target) > 0);
                let Some(owner) = able.min_by_key(|owner| (usage(owner.1), owner.1)) else {
                    break;
                };
                let Some(sequence) = self.queues.pop(now, owner, target) else {
                    break;
                };
                self.use_offer(now, sequence, target);
                self.tell(now, owner);
            }
        }
    }

    fn grant(&mut self, now: Time, target: Target, grant: u64, account: Account, stamp: u64) {
        let owner = (self.links[&target].service, account);
        if let Some(probes) = self.probes.get_mut(&owner) {
            probes.use_one(target);
        }
        match self.queues.pop(now, owner, target) {
            Some(sequence) => self.dispatch(now, sequence, target, stamp, grant),
            None => {
                let message = Message::Decline { grant };
                self.outs.push(Output::Send(target, message));
            }
        }
        self.tell(now, owner);
    }

    /// Returns the request that an attempt belongs to, if it is the current one.
    fn current(&self, target: Target, id: RequestId) -> Option<Sequence> {
        let request = self.requests.get(&id.sequence)?;
        let Stage::Flying(flight) = &request.stage else {
            return None;
        };
        let link = self.links.get(&target)?;
        let same = flight.target == target && flight.incarnation == link.incarnation;
        (same && self.id_of(id.sequence, request) == id).then_some(id.sequence)
    }

    fn part(&mut self, now: Time, target: Target, part: Part) {
        let Some(sequence) = self.current(target, part.id) else {
            return self.stray(target, &part);
        };
        let request = self
            .requests
            .get_mut(&sequence)
            .expect("the attempt is current");
        if let Some(head) = part.head.filter(|_| !request.started) {
            request.started = true;
            self.outs.push(Output::Reply(sequence, Reply::Head(head)));
        }
        let skip = request.received.saturating_sub(part.offset);
        let gap = part.offset > request.received || !request.started;
        if !gap && skip < part.data.len() as u64 {
            let data = part.data.slice(skip as usize..);
            request.received += data.len() as u64;
            self.outs.push(Output::Reply(sequence, Reply::Data(data)));
        }
        let offset = request.received;
        let ended = part.end.is_some();
        if let Some(end) = part.end.filter(|end| !gap && end.length == offset) {
            let took = now.saturating_sub(request.arrived).as_micros();
            self.outs.push(Output::Reply(sequence, Reply::End(end)));
            self.outs.push(Output::Log(Event::Done {
                id: part.id,
                bytes: offset,
                took,
            }));
            self.remove(sequence);
            self.note_done(target, part.id);
        } else if gap || ended {
            self.query(sequence);
        }
    }

    fn note_done(&mut self, target: Target, id: RequestId) {
        let done = self.done.entry(target).or_default();
        done.push((id.sequence, id.attempt));
    }

    /// Tells a sidecar what the caller has taken once it is much, so that a slow caller
    /// holds back its target and not this router's memory.
    fn taken(&mut self, sequence: Sequence, bytes: u64) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.taken += bytes;
        let (attempt, offset) = (request.attempt, request.taken);
        let Stage::Flying(flight) = &mut request.stage else {
            return;
        };
        if offset - flight.acked >= ACK_BYTES {
            flight.acked = offset;
            let id = RequestId {
                router: self.settings.incarnation,
                sequence,
                attempt,
            };
            let message = Message::Ack { id, offset };
            self.outs.push(Output::Send(flight.target, message));
        }
    }

    /// Answers a part that no caller waits for, so that its sidecar can forget it.
    fn stray(&mut self, target: Target, part: &Part) {
        if part.end.is_some() {
            self.note_done(target, part.id);
        }
    }

    fn refused(&mut self, now: Time, target: Target, id: RequestId, reason: Reason) {
        let Some(sequence) = self.current(target, id) else {
            return;
        };
        self.outs.push(Output::Log(Event::Return {
            id,
            target: self.rules.name(target),
            reason,
        }));
        match reason {
            Reason::Busy | Reason::Leaving | Reason::Stale | Reason::Expired => {
                if let Some(link) = self.links.get_mut(&target) {
                    link.offer = 0;
                }
                self.delay(sequence, now);
                self.requeue(now, sequence);
            }
            Reason::Cancelled => {
                self.delay(sequence, now);
                self.requeue(now, sequence);
            }
            Reason::Unreachable | Reason::Generation => {
                self.delay(sequence, now + RETURN_WAIT);
            }
            Reason::KeyRunning => {
                // This attempt did not run, but what the caller asks for may.
                if let Some(request) = self.requests.get_mut(&sequence) {
                    request.doubtful = true;
                }
                self.delay(sequence, now + RETURN_WAIT);
            }
            Reason::KeyReused => self.refuse(sequence, Cause::KeyReused, Ran::No),
            Reason::KeyDone => self.refuse(sequence, Cause::KeyDone, Ran::Yes),
            Reason::KeyUnknown => self.refuse(sequence, Cause::KeyUnknown, Ran::Unknown),
            Reason::Failed | Reason::Forgotten => self.lose(sequence),
        }
    }

    fn report(&mut self, now: Time, target: Target, report: &Report) {
        let link = &self.links[&target];
        let (service, incarnation) = (link.service, link.incarnation);
        let table = self.table_mut(service);
        table.report(now, target, incarnation, report);
    }

    fn peer_up(&mut self, router: ids::Router) {
        self.peers.insert(router);
        let upward = member::rank(router) < member::rank(self.settings.router);
        for table in self.tables.values_mut() {
            table.link(router, upward);
        }
    }

    fn peer_down(&mut self, router: ids::Router) {
        self.peers.remove(&router);
        for table in self.tables.values_mut() {
            table.unlink(router);
        }
    }

    fn peer_message(&mut self, now: Time, router: ids::Router, message: Message) {
        let Message::Exchange(exchanges) = message else {
            return;
        };
        if !self.peers.contains(&router) {
            return;
        }
        for exchange in &exchanges {
            let table = self.table_mut(exchange.service);
            table.merge(now, router, exchange);
        }
        if self.parent() == Some(router) {
            // The leaves of the tree start the next wave together.
            self.exchanged = now;
            return self.exchange_down(now);
        }
        self.heard.insert(router);
        let whole = self.children().all(|child| self.heard.contains(&child));
        if whole && now >= self.exchanged + EXCHANGE_INTERVAL / 2 {
            self.exchange_up(now);
        }
    }

    fn tick(&mut self, now: Time) {
        while let Some((at, sequence)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, sequence));
            self.wake(now, sequence);
        }
        let owners: Vec<_> = self.queues.iter().map(|(owner, _)| owner).collect();
        for owner in owners {
            self.tell(now, owner);
        }
        if now >= self.flushed + DONE_INTERVAL {
            self.flushed = now;
            self.flush_done();
        }
        let patience = match self.children().next() {
            None => EXCHANGE_INTERVAL,
            // The wave from below has failed.
            Some(_) => EXCHANGE_INTERVAL * 2,
        };
        if now >= self.exchanged + patience {
            self.exchange_up(now);
        }
    }

    fn flush_done(&mut self) {
        let done = std::mem::take(&mut self.done);
        let sends = done
            .into_iter()
            .map(|(target, done)| Output::Send(target, Message::Done(done)));
        self.outs.extend(sends);
    }

    fn wake(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let late = !request.started && now >= request.deadline();
        match &request.stage {
            Stage::Queued if late => {
                let owner = (request.ask.service, request.ask.account);
                self.queues.remove(owner, sequence);
                self.refuse(sequence, Cause::Deadline, Ran::No);
                self.tell(now, owner);
            }
            Stage::Delayed if late => {
                let cause = match request.ask.bid.is_some() && request.doubtful {
                    true => Cause::KeyRunning,
                    false => Cause::Deadline,
                };
                self.refuse(sequence, cause, Ran::No);
            }
            Stage::Delayed => self.requeue(now, sequence),
            Stage::Flying(flight) if late => {
                let id = self.id_of(sequence, request);
                let message = Message::Cancel { id };
                self.outs.push(Output::Send(flight.target, message));
                self.give_up(sequence, Cause::Timeout);
            }
            Stage::Flying(flight) if flight.lost.is_some() => self.lose(sequence),
            Stage::Flying(_) if !request.started => {
                let deadline = request.deadline();
                self.wake_at(sequence, deadline);
            }
            _ => {}
        }
    }

    /// Returns the peer towards the root of the exchange tree.
    fn parent(&self) -> Option<ids::Router> {
        let me = member::rank(self.settings.router);
        let lower = self.peers.iter().filter(|peer| member::rank(**peer) < me);
        lower.min_by_key(|peer| member::rank(**peer)).copied()
    }

    fn children(&self) -> impl Iterator<Item = ids::Router> {
        let parent = self.parent();
        let peers = self.peers.iter().copied();
        peers.filter(move |peer| Some(*peer) != parent)
    }

    /// Sends a wave of figures towards the root, or turns it around there.
    fn exchange_up(&mut self, now: Time) {
        self.exchanged = now;
        self.heard.clear();
        for table in self.tables.values_mut() {
            table.forget_own();
        }
        let owners: Vec<_> = self.queues.iter().map(|(owner, _)| owner).collect();
        for owner in owners {
            self.observe(now, owner);
        }
        for table in self.tables.values_mut() {
            table.tick(now);
        }
        match self.parent() {
            Some(parent) => self.exchange(parent),
            None => self.exchange_down(now),
        }
    }

    /// Sends a wave of figures towards the leaves of the tree and to sidecars.
    fn exchange_down(&mut self, now: Time) {
        let children: Vec<_> = self.children().collect();
        for child in children {
            self.exchange(child);
        }
        for table in self.tables.values_mut() {
            for (target, totals) in table.all_totals(now) {
                self.outs
                    .push(Output::Send(target, Message::Totals(totals)));
            }
        }
    }

    fn exchange(&mut self, peer: ids::Router) {
        let tables = self.tables.values_mut();
        let exchanges: Vec<_> = tables.filter_map(|table| table.exchange(peer)).collect();
        let message = Message::Exchange(exchanges);
        self.outs.push(Output::SendPeer(peer, message));
    }
}

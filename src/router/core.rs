//! The state machine of a router.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    rc::Rc,
    time::Duration, //
};

use super::{
    Ask,
    Bounds,
    Budget,
    Cause,
    Event,
    Queues,
    Ran,
    Reply,
    probe::Probes,
    queue::Owner,
    request::{
        Request,
        Stage, //
    }, //
};
use crate::{
    fair::{
        EXCHANGE_INTERVAL,
        UsageTable, //
    },
    ids::{
        self,
        Account,
        Incarnation,
        Sequence,
        Service,
        Target,
        Time, //
    },
    rules::Rules,
    wire::{
        AttemptId,
        Message, //
    }, //
};

/// The time that a lost link may take to be replaced before an idempotent request
/// without an answer is tried elsewhere.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// The time that a lost link may take to be replaced before its answers are given up.
const RESUME_WAIT: Duration = Duration::from_secs(5);

/// The interval at which sidecars are told of answers that have arrived whole.
const DONE_INTERVAL: Duration = Duration::from_millis(1_000);

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
pub(super) struct Link {
    pub(super) service: Service,
    pub(super) incarnation: Incarnation,
    pub(super) offer: u32,
    pub(super) stamp: u64,
    pub(super) offered: Time,
}

/// A router's decisions; it does no input or output and reads no clock.
#[derive(Debug)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) rules: Rc<Rules>,
    pub(super) requests: HashMap<Sequence, Request>,
    pub(super) last: Sequence,
    pub(super) queues: Queues,
    pub(super) probes: BTreeMap<Owner, Probes>,
    pub(super) links: BTreeMap<Target, Link>,
    pub(super) members: BTreeMap<Service, Vec<Target>>,
    pub(super) flights: BTreeMap<Target, BTreeSet<Sequence>>,
    pub(super) peers: BTreeSet<ids::Router>,
    pub(super) tables: BTreeMap<Service, UsageTable>,
    pub(super) exchanged: Time,
    pub(super) heard: BTreeSet<ids::Router>,
    pub(super) timers: BTreeSet<(Time, Sequence)>,
    pub(super) done: BTreeMap<Target, Vec<(Sequence, u32)>>,
    pub(super) flushed: Time,
    pub(super) budget: Budget,
    pub(super) rng: fastrand::Rng,
    pub(super) draining: bool,
    pub(super) outs: Vec<Output>,
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
    pub fn table(&self, service: Service) -> Option<&UsageTable> {
        self.tables.get(&service)
    }

    /// Returns the tables of all services.
    pub fn tables(&self) -> impl Iterator<Item = (Service, &UsageTable)> {
        self.tables.iter().map(|(service, table)| (*service, table))
    }

    /// Returns the linked targets with their services and offered slots.
    pub fn targets(&self) -> impl Iterator<Item = (Target, Service, u32)> {
        self.links
            .iter()
            .map(|(target, link)| (*target, link.service, link.offer))
    }

    pub(super) fn id_of(&self, sequence: Sequence, request: &Request) -> AttemptId {
        AttemptId {
            incarnation: self.settings.incarnation,
            sequence,
            attempt: request.attempt,
        }
    }

    /// Forgets a request that has ended.
    pub(super) fn remove(&mut self, sequence: Sequence) -> Option<Request> {
        let request = self.requests.remove(&sequence)?;
        self.timers.remove(&(request.wake, sequence));
        if let Stage::Flying(flight) = &request.stage
            && let Some(flights) = self.flights.get_mut(&flight.target)
        {
            flights.remove(&sequence);
        }
        Some(request)
    }

    pub(super) fn up(
        &mut self,
        now: Time,
        target: Target,
        service: Service,
        incarnation: Incarnation,
    ) {
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

    pub(super) fn down(&mut self, now: Time, target: Target) {
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
            table.remove_sidecar(target);
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

    pub(super) fn message(&mut self, now: Time, target: Target, message: Message) {
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
            Message::Chunk(part) => self.part(now, target, part),
            Message::Refused { id, reason } => self.refused(now, target, id, reason),
            Message::Report(report) => self.report(now, target, &report),
            _ => {}
        }
    }

    pub(super) fn tick(&mut self, now: Time) {
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
        // No wave is due sooner, and its exact interval takes a count of all backlogs.
        if now < self.exchanged + EXCHANGE_INTERVAL {
            return;
        }
        let patience = match self.children().next() {
            None => self.wave_interval(),
            // The wave from below has failed.
            Some(_) => self.wave_interval() * 2,
        };
        if now >= self.exchanged + patience {
            self.exchange_up(now);
        }
    }
}

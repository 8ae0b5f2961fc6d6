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
    Bounds,
    Cause,
    Event,
    Queues,
    Ran,
    Reply,
    RequestSpec,
    RetryBudget,
    RetryLimits,
    probe::Probes,
    queue::QueueId,
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

/// How long a request waits for a lost link to a sidecar to be replaced before it is retried at
/// another target. This applies to an idempotent request whose answer has not begun.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// How long any other request waits for a lost link to be replaced before the router gives
/// up its answer.
const RESUME_WAIT: Duration = Duration::from_secs(5);

/// The interval at which the router acknowledges complete answers to sidecars.
const DONE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The identifier of this router.
    pub router: ids::Router,
    /// The incarnation, drawn at random when the process starts.
    pub incarnation: Incarnation,
    /// The bounds of the queues.
    pub bounds: Bounds,
    /// How often the requests of a service may be retried.
    pub retry: RetryLimits,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The caller of a request has disconnected.
    CallerGone(Sequence),
    /// A caller has read this many more body bytes of its answer.
    Consumed(Sequence, u64),
    /// A link to a sidecar is up.
    SidecarUp {
        /// The target beside it.
        target: Target,
        /// The target's service.
        service: Service,
        /// The sidecar's incarnation.
        incarnation: Incarnation,
    },
    /// A link to a sidecar is down.
    SidecarDown {
        /// The target beside it.
        target: Target,
    },
    /// A sidecar has sent a message.
    SidecarMessage {
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
    /// The router starts to drain: it refuses new requests and finishes the others.
    Drain,
    /// The router ends: every request that has not ended is refused or broken off.
    Close,
    /// The timer has fired; due timers and intervals are handled.
    Tick,
}

/// An action that the caller of the state machine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a sidecar.
    Send(Target, Message),
    /// Send a message to another router.
    SendPeer(ids::Router, Message),
    /// Pass a piece of its answer to a caller.
    Reply(Sequence, Reply),
    /// Every request has ended after [`Input::Drain`].
    Drained,
    /// Write a log line.
    Log(Event),
}

/// The state of a link to a sidecar.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) service: Service,
    pub(super) incarnation: Incarnation,
    /// The slots that remain of the sidecar's last offer.
    pub(super) slots: u32,
    /// The sidecar's clock at its last offer, in milliseconds.
    pub(super) stamp: u64,
    pub(super) offered: Time,
}

/// The state machine of a router. It does no input or output and reads no clock.
#[derive(Debug)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) rules: Rc<Rules>,
    pub(super) requests: HashMap<Sequence, Request>,
    /// The sequence number of the newest request.
    pub(super) newest: Sequence,
    pub(super) queues: Queues,
    pub(super) probes: BTreeMap<QueueId, Probes>,
    pub(super) links: BTreeMap<Target, Link>,
    /// The linked targets of each service.
    pub(super) members: BTreeMap<Service, Vec<Target>>,
    /// The requests dispatched to each target.
    pub(super) in_flight: BTreeMap<Target, BTreeSet<Sequence>>,
    pub(super) peers: BTreeSet<ids::Router>,
    pub(super) tables: BTreeMap<Service, UsageTable>,
    /// When this router last took part in an exchange round.
    pub(super) last_round: Time,
    /// The children that have sent an exchange since this router last sent one up the tree.
    pub(super) reported: BTreeSet<ids::Router>,
    pub(super) timers: BTreeSet<(Time, Sequence)>,
    /// The complete answers that are not yet acknowledged to each sidecar.
    pub(super) done: BTreeMap<Target, Vec<(Sequence, u32)>>,
    pub(super) last_flush: Time,
    /// The retry budget of each service.
    pub(super) budgets: HashMap<Service, RetryBudget>,
    pub(super) rng: fastrand::Rng,
    pub(super) draining: bool,
    pub(super) outputs: Vec<Output>,
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
            newest: 0,
            probes: BTreeMap::new(),
            links: BTreeMap::new(),
            members: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            peers: BTreeSet::new(),
            tables: BTreeMap::new(),
            last_round: Time::ZERO,
            reported: BTreeSet::new(),
            timers: BTreeSet::new(),
            done: BTreeMap::new(),
            last_flush: Time::ZERO,
            budgets: HashMap::new(),
            draining: false,
            outputs: Vec::new(),
        }
    }

    /// Accepts a request and returns its sequence number and the actions to carry out.
    ///
    /// The request is refused at once while the router drains, or if its timeout is zero or exceeded
    /// by the expected wait in its queue.
    ///
    /// ```
    /// use std::{rc::Rc, time::Duration};
    /// use redwingyard::{router::{RequestSpec, Bounds, Router, Settings}, wire::Head};
    /// let settings = Settings {
    ///     router: 1,
    ///     incarnation: 2,
    ///     bounds: Bounds::default(),
    ///     retry: Default::default(),
    ///     seed: 3,
    /// };
    /// let head = Head {
    ///     status: 0,
    ///     method: "GET".into(),
    ///     path: "/".into(),
    ///     fields: vec![],
    /// };
    /// let spec = RequestSpec {
    ///     account: 7,
    ///     service: 8,
    ///     head: Rc::new(head),
    ///     body: Default::default(),
    ///     write: None,
    ///     key: None,
    ///     conversation: None,
    ///     timeout: Duration::from_secs(1),
    /// };
    /// let mut router = Router::new(settings);
    /// let (sequence, outputs) = router.arrive(Duration::ZERO, spec);
    /// assert_eq!((sequence, outputs.len()), (1, 0));
    /// ```
    pub fn arrive(&mut self, now: Time, spec: RequestSpec) -> (Sequence, Vec<Output>) {
        self.newest += 1;
        let sequence = self.newest;
        self.budget_mut(spec.service).earn(now);
        let queue_id = (spec.service, spec.account);
        let timeout = spec.timeout;
        let request = Request {
            spec,
            arrived: now,
            attempt: 1,
            stage: Stage::Queued,
            maybe_ran: false,
            started: false,
            received: 0,
            consumed: 0,
            timer: now + timeout,
        };
        self.timers.insert((request.timer, sequence));
        self.requests.insert(sequence, request);
        if self.draining {
            self.refuse(sequence, Cause::Draining, Ran::No);
        } else if timeout.is_zero() {
            self.refuse(sequence, Cause::Deadline, Ran::No);
        } else if self.queues.expected_wait(queue_id) > timeout {
            self.refuse(sequence, Cause::Overload, Ran::No);
        } else {
            self.place(now, sequence);
        }
        (sequence, std::mem::take(&mut self.outputs))
    }

    /// Handles one input and returns the actions to carry out.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        match input {
            Input::CallerGone(sequence) => self.caller_gone(now, sequence),
            Input::Consumed(sequence, bytes) => self.record_consumed(sequence, bytes),
            Input::SidecarUp {
                target,
                service,
                incarnation,
            } => self.sidecar_up(now, target, service, incarnation),
            Input::SidecarDown { target } => self.sidecar_down(now, target),
            Input::SidecarMessage { target, message } => self.sidecar_message(now, target, message),
            Input::PeerUp { router } => self.peer_up(router),
            Input::PeerDown { router } => self.peer_down(router),
            Input::PeerMessage { router, message } => self.peer_message(now, router, message),
            Input::Rules(rules) => self.rules = rules,
            Input::Drain => self.draining = true,
            Input::Close => self.close(now),
            Input::Tick => self.tick(now),
        }
        if self.draining && self.requests.is_empty() {
            self.flush_done();
            self.outputs.push(Output::Drained);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }

    /// Returns the number of requests that have not ended.
    pub fn active(&self) -> usize {
        self.requests.len()
    }

    /// Returns each queue that is not empty with its length.
    pub fn backlog(&self) -> impl Iterator<Item = ((Service, Account), usize)> {
        self.queues.iter()
    }

    /// Returns the usage table of a service.
    pub fn table(&self, service: Service) -> Option<&UsageTable> {
        self.tables.get(&service)
    }

    /// Returns the usage tables of all services.
    pub fn tables(&self) -> impl Iterator<Item = (Service, &UsageTable)> {
        self.tables.iter().map(|(service, table)| (*service, table))
    }

    /// Returns the linked targets with their services and offered slots.
    pub fn targets(&self) -> impl Iterator<Item = (Target, Service, u32)> {
        self.links
            .iter()
            .map(|(target, link)| (*target, link.service, link.slots))
    }

    /// Returns the identifier of a request's current attempt.
    pub(super) fn attempt_id(&self, sequence: Sequence, request: &Request) -> AttemptId {
        AttemptId {
            incarnation: self.settings.incarnation,
            sequence,
            attempt: request.attempt,
        }
    }

    /// Removes a request that has ended, with its timer.
    pub(super) fn remove(&mut self, sequence: Sequence) -> Option<Request> {
        let request = self.requests.remove(&sequence)?;
        self.timers.remove(&(request.timer, sequence));
        if let Stage::Dispatched(dispatched) = &request.stage
            && let Some(sequences) = self.in_flight.get_mut(&dispatched.target)
        {
            sequences.remove(&sequence);
        }
        Some(request)
    }

    /// Adds the link to a sidecar, queries its attempts and announces the queues of its service.
    pub(super) fn sidecar_up(
        &mut self,
        now: Time,
        target: Target,
        service: Service,
        incarnation: Incarnation,
    ) {
        let link = Link {
            service,
            incarnation,
            slots: 0,
            stamp: 0,
            offered: now,
        };
        self.links.insert(target, link);
        let members = self.members.entry(service).or_default();
        if !members.contains(&target) {
            members.push(target);
        }
        for probes in self.probes.values_mut() {
            probes.remove(target);
        }
        self.query_all(now, target, incarnation);
        let queue_ids: Vec<_> = self.queues.iter().map(|(queue_id, _)| queue_id).collect();
        for queue_id in queue_ids
            .into_iter()
            .filter(|queue_id| queue_id.0 == service)
        {
            self.announce(now, queue_id);
        }
    }

    /// Removes the link to a sidecar. Its attempts wait for a new link until their timers are
    /// due.
    pub(super) fn sidecar_down(&mut self, now: Time, target: Target) {
        let Some(link) = self.links.remove(&target) else {
            return;
        };
        if let Some(members) = self.members.get_mut(&link.service) {
            members.retain(|member| *member != target);
        }
        for probes in self.probes.values_mut() {
            probes.remove(target);
        }
        if let Some(table) = self.tables.get_mut(&link.service) {
            table.remove_sidecar(target);
        }
        for sequence in self.in_flight.get(&target).cloned().unwrap_or_default() {
            let Some(request) = self.requests.get_mut(&sequence) else {
                continue;
            };
            let retryable = request.spec.write.is_none() && !request.started;
            let wait = if retryable { RETRY_WAIT } else { RESUME_WAIT };
            if let Stage::Dispatched(dispatched) = &mut request.stage {
                dispatched.lost = Some(now);
            }
            self.set_timer(sequence, now + wait);
        }
    }

    pub(super) fn sidecar_message(&mut self, now: Time, target: Target, message: Message) {
        if !self.links.contains_key(&target) {
            return;
        }
        match message {
            Message::Offer { slots, stamp } => self.apply_offer(now, target, slots, stamp),
            Message::Grant {
                grant,
                account,
                stamp,
            } => self.apply_grant(now, target, grant, account, stamp),
            Message::Chunk(chunk) => self.accept_chunk(now, target, chunk),
            Message::Refused { id, reason } => self.attempt_refused(now, target, id, reason),
            Message::Report(report) => self.apply_report(now, target, &report),
            _ => {}
        }
    }

    /// Handles due timers, announces queues, and starts an exchange round if one is due.
    pub(super) fn tick(&mut self, now: Time) {
        while let Some((at, sequence)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, sequence));
            self.timer_due(now, sequence);
        }
        let queue_ids: Vec<_> = self.queues.iter().map(|(queue_id, _)| queue_id).collect();
        for queue_id in queue_ids {
            self.announce(now, queue_id);
        }
        if now >= self.last_flush + DONE_INTERVAL {
            self.last_flush = now;
            self.flush_done();
        }
        // This check avoids most calls of `round_interval`, which counts all backlogs and never
        // returns less than this constant.
        if now < self.last_round + EXCHANGE_INTERVAL {
            return;
        }
        let interval = match self.children().next() {
            None => self.round_interval(),
            // A child has sent nothing for two intervals: the round starts without it.
            Some(_) => self.round_interval() * 2,
        };
        if now >= self.last_round + interval {
            self.exchange_up(now);
        }
    }
}

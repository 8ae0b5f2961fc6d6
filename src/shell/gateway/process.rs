//! The state that a gateway's tasks share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use futures_channel::mpsc::{
    UnboundedReceiver,
    UnboundedSender,
    unbounded, //
};

use super::{
    decision_line::DecisionLine,
    metrics::Metrics,
    overload::OverloadDetector, //
    peers::Peers,
    store_state::StoreState,
};
use crate::{
    feed::Feed,
    ids::{
        Incarnation,
        Revision,
        Sequence,
        Target,
        Time, //
    },
    pool::{
        Ask,
        Fault,
        Memory,
        Output,
        Pool,
        Refusal,
        Settings, //
    },
    rules::{
        Limit,
        Rules, //
    },
    settings::{
        GatewaySettings,
        Policy, //
    },
    shell::{
        Clock,
        dial::{
            Connections,
            DialLimits, //
        },
        memory::{
            self,
            MEASURE_INTERVAL, //
        }, //
    }, //
};

/// The time that connecting to a target may take: some hundred round trips within a region,
/// and short enough to try another target within an objective.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The interval of the pool's timers.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The delay of a tick from which on this process is late: a part of the shortest objective.
const LATE_TICK: Duration = Duration::from_millis(60);

/// What confirmed rules may be younger than the limit for keys: the time in which a request
/// may have been on its way, and what the platform's clock may differ.
const TRUST_MARGIN: Duration = Duration::from_millis(400);

/// What the pool has decided about a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum Decision {
    /// Send it to a target.
    Send(Target),
    /// Refuse it: it has not run.
    Refuse(Refusal, Duration),
    /// Give up the present attempt.
    Abandon,
    /// End it: its time is over.
    Expire,
}

/// The state that a gateway's tasks share.
pub(super) struct Process {
    pub(super) settings: GatewaySettings,
    pub(super) clock: Clock,
    pub(super) incarnation: Incarnation,
    pub(super) peers: Peers,
    pub(super) metrics: Metrics,
    pub(super) pool: RefCell<Pool>,
    rules: RefCell<Rc<Rules>>,
    pub(super) feed: RefCell<Feed>,
    decisions: RefCell<HashMap<Sequence, UnboundedSender<Decision>>>,
    connections: RefCell<HashMap<SocketAddr, Rc<Connections>>>,
    pub(super) store: Arc<StoreState>,
    stopping: Cell<Option<Time>>,
    /// Whether no further caller is taken.
    pub(super) at_capacity: Cell<bool>,
    last_tick: Cell<Time>,
    /// When the last tick was due that has run.
    tick_due: Cell<Time>,
    overload: RefCell<OverloadDetector>,
    pub(super) memory: Memory,
    memory_checked: Cell<Time>,
}

impl Process {
    pub(super) fn new(settings: GatewaySettings) -> Self {
        let pool = Settings {
            domain: settings.domain.clone(),
            baseline: settings.policy == Policy::Baseline,
            retries: settings.retries,
            seed: fastrand::u64(..),
        };
        Self {
            peers: Peers::new(&settings),
            clock: Clock::default(),
            incarnation: fastrand::u64(1..),
            metrics: Metrics::new(),
            pool: RefCell::new(Pool::new(pool)),
            rules: RefCell::default(),
            feed: RefCell::default(),
            decisions: RefCell::default(),
            connections: RefCell::default(),
            store: Arc::default(),
            stopping: Cell::new(None),
            at_capacity: Cell::new(false),
            last_tick: Cell::new(Duration::ZERO),
            tick_due: Cell::new(Duration::ZERO),
            overload: RefCell::default(),
            memory: Memory::new(settings.memory_mb.map(|limit| limit << 20)),
            memory_checked: Cell::new(Duration::ZERO),
            settings,
        }
    }

    pub(super) fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    /// Puts rules in force, unless they are older than those that are.
    fn apply_rules(&self, rules: Rules) {
        let (old, new) = (self.rules().generation(), rules.generation());
        if new <= old {
            return log::warn!("event=rules-refused generation={new} in_force={old}");
        }
        let entries = rules.entries().len();
        log::info!("event=rules generation={new} replaced={old} lines={entries}");
        let rate = rules.limit(Limit::TokenRate);
        self.pool.borrow_mut().set_shares(rules.shares(), rate);
        *self.rules.borrow_mut() = Rc::new(rules);
        self.update_seats();
    }

    /// Returns the connections to an address.
    pub(super) fn connections_to(&self, address: SocketAddr) -> Rc<Connections> {
        let limits = DialLimits {
            connect: CONNECT_TIMEOUT,
        };
        let mut connections = self.connections.borrow_mut();
        let new = || Rc::new(Connections::new(address, limits));
        connections.entry(address).or_insert_with(new).clone()
    }

    /// Takes in what was read from the store.
    pub(super) fn apply_updates(&self) {
        let Some(pending) = self.store.take_pending() else {
            return;
        };
        if let Some(rules) = pending.rules {
            self.apply_rules(rules);
        }
        if let Some(targets) = pending.targets {
            self.update_targets(targets, pending.restored);
        }
    }

    /// Notes that a revision of the store was the newest one at a time.
    pub(super) fn observe_newest(&self, revision: Revision, at: Time) {
        self.store.observe_newest(self.clock.now(), revision, at);
    }

    /// Returns up to where the store's changes are known, and when that was the newest revision.
    pub(super) fn confirmed(&self) -> Option<(Revision, Time)> {
        self.store.freshness().confirmed()
    }

    /// Returns how long ago the rules were the newest, if they ever were.
    pub(super) fn rules_age(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.confirmed().map(|(_, at)| now.saturating_sub(at))
    }

    /// Returns whether keys can be trusted: none of them was taken away long ago.
    pub(super) fn keys_trusted(&self) -> bool {
        match (self.rules_age(), self.settings.trust()) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(limit)) => age + TRUST_MARGIN < limit,
        }
    }

    /// Returns whether callers should be sent here.
    pub(super) fn is_ready(&self) -> bool {
        let serving = self.feed.borrow().serving().next().is_some();
        let informed = self.rules().generation() > 0 && serving && self.keys_trusted();
        let accepting = !self.at_capacity.get() && !self.is_stopping();
        informed && accepting && !self.overload.borrow().is_overloaded()
    }

    pub(super) fn stop(&self) {
        self.stopping.set(Some(self.clock.now()));
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Refuses a request that could not be queued; returns why, and when to come back.
    pub(super) fn refuse_early(&self, ask: &Ask) -> Option<(Refusal, Duration)> {
        let refused = self.pool.borrow_mut().turn_away(self.clock.now(), ask)?;
        self.metrics
            .count_outcome(&format!("refused-{}", refused.0));
        Some(refused)
    }

    /// Takes in a request that was not turned away, and returns where the decisions about it
    /// arrive.
    pub(super) fn enqueue(&self, ask: Ask) -> (Sequence, UnboundedReceiver<Decision>) {
        let (sender, receiver) = unbounded();
        let queued = self.pool.borrow_mut().queue(self.clock.now(), ask);
        let (sequence, outputs) = queued;
        self.decisions.borrow_mut().insert(sequence, sender);
        self.perform(outputs);
        (sequence, receiver)
    }

    pub(super) fn first_byte(&self, sequence: Sequence) {
        let outputs = self.pool.borrow_mut().first(self.clock.now(), sequence);
        self.perform(outputs);
    }

    /// Counts events of a stream that are passed on.
    pub(super) fn count_events(&self, sequence: Sequence, count: u32) {
        self.pool.borrow_mut().events(sequence, count);
    }

    pub(super) fn end(&self, sequence: Sequence, answered: bool) {
        self.decisions.borrow_mut().remove(&sequence);
        let now = self.clock.now();
        let outputs = self.pool.borrow_mut().end(now, sequence, answered);
        self.perform(outputs);
    }

    /// Notes that an attempt has failed and returns whether it is to be tried again.
    pub(super) fn retry(&self, sequence: Sequence, fault: Fault) -> bool {
        let now = self.clock.now();
        let outputs = self.pool.borrow_mut().fail(now, sequence, fault);
        self.perform(outputs);
        let again = self.pool.borrow_mut().may_repeat(sequence, fault);
        if again {
            let outputs = self.pool.borrow_mut().again(now, sequence);
            self.perform(outputs);
        }
        again
    }

    pub(super) fn tick(&self) {
        self.apply_updates();
        self.record_lag();
        self.record_memory();
        let lapsed = self.feed.borrow_mut().expire(self.clock.now());
        self.apply_changes(&lapsed);
        let outputs = self.pool.borrow_mut().tick(self.clock.now());
        self.perform(outputs);
    }

    /// Notes how late this tick is, which all else in this process is as well.
    fn record_lag(&self) {
        let now = self.clock.now();
        let due = self.last_tick.replace(now) + TICK_INTERVAL;
        let late = now.saturating_sub(due);
        self.tick_due.set(due);
        self.metrics.delay.set(late.as_millis() as i64);
        if late >= LATE_TICK {
            self.pool.borrow_mut().excuse(now, late);
        }
        let mut overload = self.overload.borrow_mut();
        if let Some(overloaded) = overload.record(now, late) {
            let delay = late.as_millis();
            match overloaded {
                true => log::warn!("event=strained delay_ms={delay}"),
                false => log::info!("event=unstrained delay_ms={delay}"),
            }
        }
    }

    /// Notes how much memory this process takes.
    fn record_memory(&self) {
        let now = self.clock.now();
        if now < self.memory_checked.get() + MEASURE_INTERVAL {
            return;
        }
        self.memory_checked.set(now);
        let requests = self.pool.borrow().active();
        if let Some(taken) = memory::measure(&self.memory, requests) {
            self.metrics.memory.set(taken as i64);
        }
    }

    /// Ends all requests that have not ended.
    pub(super) fn expire_all(&self) {
        for sender in self.decisions.borrow().values() {
            let _ = sender.unbounded_send(Decision::Expire);
        }
    }

    /// Returns when at the earliest that has arrived which is read now from a queue that was last
    /// found empty at `drained`; a process that is not late reads it as it arrives.
    ///
    /// Tasks run in the order in which they become ready, so what runs after a tick became ready
    /// after that tick was due.
    pub(super) fn earliest_arrival(&self, emptied: Time) -> Time {
        let now = self.clock.now();
        let earliest = emptied.max(self.tick_due.get());
        match now.saturating_sub(earliest) < LATE_TICK {
            true => now,
            false => earliest,
        }
    }

    pub(super) fn perform(&self, outputs: Vec<Output>) {
        for output in outputs {
            log::info!("{}", DecisionLine::of(&output));
            let (sequence, decision) = match output {
                Output::Send {
                    sequence,
                    target,
                    waited,
                    ..
                } => {
                    self.metrics.observe_wait(waited);
                    (sequence, Decision::Send(target))
                }
                Output::Refuse {
                    sequence,
                    cause,
                    retry,
                    ..
                } => (sequence, Decision::Refuse(cause, retry)),
                Output::Abandon { sequence } => (sequence, Decision::Abandon),
                Output::Expire { sequence } => (sequence, Decision::Expire),
            };
            if let Some(sender) = self.decisions.borrow().get(&sequence) {
                // The request's task has ended where this fails, and says so itself.
                let _ = sender.unbounded_send(decision);
            }
        }
    }
}

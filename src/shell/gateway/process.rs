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
    inbox::Inbox,
    log::Line,
    metrics::Metrics,
    peers::Peers,
    strain::Strain, //
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
        Fault,
        MemoryBudget,
        Output,
        Pool,
        Refusal,
        RequestSpec,
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
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// The interval of the pool's timers.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The delay of a tick from which on this process is late: a part of the shortest objective.
const LATE: Duration = Duration::from_millis(60);

/// What confirmed rules may be younger than the limit for keys: the time in which a request
/// may have been on its way, and what the platform's clock may differ.
const TRUST_MARGIN: Duration = Duration::from_millis(400);

/// What the pool has decided about a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum Order {
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
    orders: RefCell<HashMap<Sequence, UnboundedSender<Order>>>,
    dials: RefCell<HashMap<SocketAddr, Rc<Connections>>>,
    pub(super) inbox: Arc<Inbox>,
    stopping: Cell<Option<Time>>,
    /// Whether no further caller is taken.
    pub(super) full: Cell<bool>,
    ticked: Cell<Time>,
    /// When the last tick was due that has run.
    due: Cell<Time>,
    strain: RefCell<Strain>,
    pub(super) memory: MemoryBudget,
    measured: Cell<Time>,
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
            orders: RefCell::default(),
            dials: RefCell::default(),
            inbox: Arc::default(),
            stopping: Cell::new(None),
            full: Cell::new(false),
            ticked: Cell::new(Duration::ZERO),
            due: Cell::new(Duration::ZERO),
            strain: RefCell::default(),
            memory: MemoryBudget::new(settings.memory_mb.map(|limit| limit << 20)),
            measured: Cell::new(Duration::ZERO),
            settings,
        }
    }

    pub(super) fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    /// Puts rules in force, unless they are older than those that are.
    fn adopt(&self, rules: Rules) {
        let (old, new) = (self.rules().generation(), rules.generation());
        if new <= old {
            return log::warn!("event=rules-refused generation={new} in_force={old}");
        }
        let entries = rules.entries().len();
        log::info!("event=rules generation={new} replaced={old} lines={entries}");
        let rate = rules.limit(Limit::TokenRate);
        self.pool.borrow_mut().set_shares(rules.shares(), rate);
        *self.rules.borrow_mut() = Rc::new(rules);
        self.reseat();
    }

    /// Returns the connections to an address.
    pub(super) fn dial(&self, address: SocketAddr) -> Rc<Connections> {
        let limits = DialLimits {
            connect: CONNECT_LIMIT,
        };
        let mut dials = self.dials.borrow_mut();
        let new = || Rc::new(Connections::new(address, limits));
        dials.entry(address).or_insert_with(new).clone()
    }

    /// Takes in what was read from the store.
    pub(super) fn sync(&self) {
        let Some(news) = self.inbox.take() else {
            return;
        };
        if let Some(rules) = news.rules {
            self.adopt(rules);
        }
        if let Some(targets) = news.targets {
            self.list(targets, news.restored);
        }
    }

    /// Notes that a revision of the store was the newest one at a time.
    pub(super) fn hear_newest(&self, revision: Revision, at: Time) {
        self.inbox.hear(self.clock.now(), revision, at);
    }

    /// Returns up to where the store's changes are known, and when that was the newest revision.
    pub(super) fn confirmed(&self) -> Option<(Revision, Time)> {
        self.inbox.belief().confirmed()
    }

    /// Returns how long ago the rules were the newest, if they ever were.
    pub(super) fn age(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.confirmed().map(|(_, at)| now.saturating_sub(at))
    }

    /// Returns whether keys can be trusted: none of them was taken away long ago.
    pub(super) fn is_trusted(&self) -> bool {
        match (self.age(), self.settings.trust()) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(limit)) => age + TRUST_MARGIN < limit,
        }
    }

    /// Returns whether callers should be sent here.
    pub(super) fn is_ready(&self) -> bool {
        let serving = self.feed.borrow().serving().next().is_some();
        let knows = self.rules().generation() > 0 && serving && self.is_trusted();
        let takes = !self.full.get() && !self.is_stopping();
        knows && takes && !self.strain.borrow().is_strained()
    }

    pub(super) fn stop(&self) {
        self.stopping.set(Some(self.clock.now()));
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Refuses a request that could not be queued; returns why, and when to come back.
    pub(super) fn turn_away(&self, ask: &RequestSpec) -> Option<(Refusal, Duration)> {
        let turned = self.pool.borrow_mut().refuse_early(self.clock.now(), ask)?;
        self.metrics.outcome(&format!("refused-{}", turned.0));
        Some(turned)
    }

    /// Takes in a request that was not turned away, and returns where the decisions about it
    /// arrive.
    pub(super) fn arrive(&self, ask: RequestSpec) -> (Sequence, UnboundedReceiver<Order>) {
        let (sender, receiver) = unbounded();
        let queued = self.pool.borrow_mut().enqueue(self.clock.now(), ask);
        let (sequence, outs) = queued;
        self.orders.borrow_mut().insert(sequence, sender);
        self.perform(outs);
        (sequence, receiver)
    }

    pub(super) fn first(&self, sequence: Sequence) {
        let outs = self
            .pool
            .borrow_mut()
            .first_byte(self.clock.now(), sequence);
        self.perform(outs);
    }

    /// Counts events of a stream that are passed on.
    pub(super) fn events(&self, sequence: Sequence, count: u32) {
        self.pool.borrow_mut().events(sequence, count);
    }

    pub(super) fn end(&self, sequence: Sequence, answered: bool) {
        self.orders.borrow_mut().remove(&sequence);
        let now = self.clock.now();
        let outs = self.pool.borrow_mut().end(now, sequence, answered);
        self.perform(outs);
    }

    /// Notes that an attempt has failed and returns whether it is to be tried again.
    pub(super) fn retry(&self, sequence: Sequence, fault: Fault) -> bool {
        let now = self.clock.now();
        let outs = self.pool.borrow_mut().fail(now, sequence, fault);
        self.perform(outs);
        let again = self.pool.borrow_mut().may_retry(sequence, fault);
        if again {
            let outs = self.pool.borrow_mut().requeue(now, sequence);
            self.perform(outs);
        }
        again
    }

    pub(super) fn tick(&self) {
        self.sync();
        self.note_delay();
        self.note_memory();
        let lapsed = self.feed.borrow_mut().expire(self.clock.now());
        self.note(&lapsed);
        let outs = self.pool.borrow_mut().tick(self.clock.now());
        self.perform(outs);
    }

    /// Notes how late this tick is, which all else in this process is as well.
    fn note_delay(&self) {
        let now = self.clock.now();
        let due = self.ticked.replace(now) + TICK_INTERVAL;
        let late = now.saturating_sub(due);
        self.due.set(due);
        self.metrics.delay.set(late.as_millis() as i64);
        if late >= LATE {
            self.pool.borrow_mut().start_grace(now, late);
        }
        let mut strain = self.strain.borrow_mut();
        if let Some(strained) = strain.note(now, late) {
            let delay = late.as_millis();
            match strained {
                true => log::warn!("event=strained delay_ms={delay}"),
                false => log::info!("event=unstrained delay_ms={delay}"),
            }
        }
    }

    /// Notes how much memory this process takes.
    fn note_memory(&self) {
        let now = self.clock.now();
        if now < self.measured.get() + MEASURE_INTERVAL {
            return;
        }
        self.measured.set(now);
        let requests = self.pool.borrow().active();
        if let Some(taken) = memory::measure(&self.memory, requests) {
            self.metrics.memory.set(taken as i64);
        }
    }

    /// Ends all requests that have not ended.
    pub(super) fn give_up(&self) {
        for sender in self.orders.borrow().values() {
            let _ = sender.unbounded_send(Order::Expire);
        }
    }

    /// Returns when at the earliest that has arrived which is read now from a queue that was last
    /// found empty at `drained`; a process that is not late reads it as it arrives.
    ///
    /// Tasks run in the order in which they become ready, so what runs after a tick became ready
    /// after that tick was due.
    pub(super) fn arrival(&self, drained: Time) -> Time {
        let now = self.clock.now();
        let earliest = drained.max(self.due.get());
        match now.saturating_sub(earliest) < LATE {
            true => now,
            false => earliest,
        }
    }

    pub(super) fn perform(&self, outs: Vec<Output>) {
        for out in outs {
            log::info!("{}", Line::of(&out));
            let (sequence, order) = match out {
                Output::Send {
                    sequence,
                    target,
                    waited,
                    ..
                } => {
                    self.metrics.wait(waited);
                    (sequence, Order::Send(target))
                }
                Output::Refuse {
                    sequence,
                    cause,
                    retry,
                    ..
                } => (sequence, Order::Refuse(cause, retry)),
                Output::Abandon { sequence } => (sequence, Order::Abandon),
                Output::Expire { sequence } => (sequence, Order::Expire),
            };
            if let Some(sender) = self.orders.borrow().get(&sequence) {
                // The request's task has ended where this fails, and says so itself.
                let _ = sender.unbounded_send(order);
            }
        }
    }
}

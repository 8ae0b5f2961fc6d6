//! The state machine of a sidecar: its inputs, outputs and state.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;

use super::{
    ConcurrencyLimit,
    Event,
    Keys,
    Records, //
};
use crate::{
    fair::{
        REPORT_INTERVAL,
        UsageView, //
    },
    ids::{
        Account,
        Incarnation,
        Router,
        Service,
        Target,
        Time,
        rendezvous_weight, //
    },
    rules::Rules,
    wire::{
        AttemptId,
        Dispatch,
        End,
        Head,
        Message, //
    }, //
};

/// The interval of the work that is not needed at every tick.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The average cost of a request that is assumed before any has ended.
const INITIAL_COST: Duration = Duration::from_millis(50);
/// The average time from a grant to its dispatch that is assumed before any was measured.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(2);

/// The settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The target.
    pub target: Target,
    /// The target's service.
    pub service: Service,
    /// The maximum number of requests that run at the target at the same time.
    pub slots: u32,
    /// The incarnation, a random number drawn at the start of the process.
    pub incarnation: Incarnation,
    /// The time from the Unix epoch to the process's start.
    pub epoch_offset: Duration,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A link to a router is up.
    Up {
        /// The router.
        router: Router,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A link to a router is down.
    Down {
        /// The router.
        router: Router,
    },
    /// A message from a router has arrived.
    Message {
        /// The router.
        router: Router,
        /// The message.
        message: Message,
    },
    /// The target has sent a piece of an answer.
    Answer {
        /// The attempt.
        id: AttemptId,
        /// The status and header fields, with the first piece.
        head: Option<Head>,
        /// The next bytes of the body.
        data: Bytes,
        /// The end mark, with the last piece.
        end: Option<End>,
    },
    /// The target could not be reached or failed while an attempt ran.
    Failed {
        /// The attempt.
        id: AttemptId,
        /// Whether some of the request may have reached the target.
        sent: bool,
    },
    /// New rules are in force.
    Rules(Rc<Rules>),
    /// The process shuts down gracefully and must not admit new attempts.
    Drain,
    /// A timer tick.
    Tick,
}

/// An output of the state machine, to be carried out by the caller of [`Sidecar::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a router.
    Send(Router, Message),
    /// Send an attempt to the target.
    Run(Rc<Dispatch>),
    /// Abort an attempt at the target.
    Abort(AttemptId),
    /// Resume reading an answer from the target.
    Resume(AttemptId),
    /// Open a link to a router that has backlog.
    Connect(Router),
    /// Every attempt has ended since [`Input::Drain`].
    Drained,
    /// Write a log line.
    Log(Event),
}

/// The state of a link to a router.
#[derive(Debug, Default)]
pub(super) struct Link {
    pub(super) incarnation: Incarnation,
    /// The requests that wait at the router, by account.
    pub(super) demand: BTreeMap<Account, u32>,
    /// The open grants of the router, by account.
    pub(super) granted: BTreeMap<Account, u32>,
    /// The slots of the last offer that the router has not used yet.
    pub(super) offered: u32,
    /// When the last offer was sent.
    pub(super) offered_at: Time,
    /// Until when the router gets no grants, after one has timed out.
    pub(super) cooldown_end: Time,
}

/// A slot that is reserved for one request of an account at a router.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) router: Router,
    pub(super) account: Account,
    pub(super) since: Time,
}

/// An attempt that runs at the target.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) dispatch: Rc<Dispatch>,
    pub(super) since: Time,
    /// The running time that has been charged to the account.
    pub(super) charged: Duration,
}

/// The state machine of a sidecar. It does no I/O and reads no clock.
#[derive(Debug)]
pub struct Sidecar {
    pub(super) settings: Settings,
    pub(super) rules: Rc<Rules>,
    pub(super) links: BTreeMap<Router, Link>,
    /// When each account last had requests waiting at a linked router.
    pub(super) last_backlogged: BTreeMap<Account, Time>,
    /// The number of sidecars to which a router has sent the length of an account's queue, this one
    /// included.
    pub(super) probed: BTreeMap<Account, u32>,
    /// When the home router was last asked for the usage of each account.
    pub(super) usage_requests: BTreeMap<Account, Time>,
    /// When the links to router incarnations were lost.
    pub(super) lost_routers: BTreeMap<Incarnation, Time>,
    pub(super) view: UsageView,
    pub(super) grants: BTreeMap<u64, Grant>,
    /// Admitted attempts that wait for a slot.
    pub(super) ready: VecDeque<Rc<Dispatch>>,
    pub(super) runs: BTreeMap<AttemptId, Run>,
    /// Attempts whose answers are not read for the time being, until the router acknowledges.
    pub(super) paused: BTreeSet<AttemptId>,
    pub(super) records: Records,
    pub(super) keys: Keys,
    pub(super) limit: ConcurrencyLimit,
    /// The average slot time of a request, by account.
    pub(super) costs: BTreeMap<Account, Duration>,
    /// The average slot time of a request over all accounts.
    pub(super) cost: Duration,
    /// The average time from a grant to its dispatch or decline.
    pub(super) round_trip: Duration,
    pub(super) last_grant: u64,
    pub(super) draining: bool,
    pub(super) last_sweep: Time,
    pub(super) report_due: Time,
    pub(super) report_interval: Duration,
    pub(super) last_seek: Time,
    /// The linked router that receives the usage reports and returns totals.
    pub(super) home_router: Option<Router>,
    pub(super) outputs: Vec<Output>,
}

impl Sidecar {
    /// Creates a sidecar without links and rules.
    pub fn new(settings: Settings) -> Self {
        Self {
            keys: Keys::new(settings.epoch_offset),
            limit: ConcurrencyLimit::new(settings.slots),
            settings,
            rules: Rc::default(),
            links: BTreeMap::new(),
            last_backlogged: BTreeMap::new(),
            probed: BTreeMap::new(),
            usage_requests: BTreeMap::new(),
            lost_routers: BTreeMap::new(),
            view: UsageView::default(),
            grants: BTreeMap::new(),
            ready: VecDeque::new(),
            runs: BTreeMap::new(),
            paused: BTreeSet::new(),
            records: Records::default(),
            costs: BTreeMap::new(),
            cost: INITIAL_COST,
            round_trip: INITIAL_ROUND_TRIP,
            last_grant: 0,
            draining: false,
            last_sweep: Time::ZERO,
            report_due: Time::ZERO,
            report_interval: REPORT_INTERVAL,
            last_seek: Time::ZERO,
            home_router: None,
            outputs: Vec::new(),
        }
    }

    /// Processes one input and returns the outputs to carry out.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::sidecar::{Input, Output, Settings, Sidecar};
    /// let settings = Settings {
    ///     target: 1,
    ///     service: 2,
    ///     slots: 4,
    ///     incarnation: 3,
    ///     epoch_offset: Duration::ZERO,
    /// };
    /// let mut sidecar = Sidecar::new(settings);
    /// let outputs = sidecar.step(Duration::ZERO, Input::Drain);
    /// assert_eq!(outputs, [Output::Drained]);
    /// ```
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        match input {
            Input::Up {
                router,
                incarnation,
            } => self.up(now, router, incarnation),
            Input::Down { router } => self.down(now, router),
            Input::Message { router, message } => self.message(now, router, message),
            Input::Answer {
                id,
                head,
                data,
                end,
            } => self.answer(now, id, head, data, end),
            Input::Failed { id, sent } => self.failed(now, id, sent),
            Input::Rules(rules) => self.reload(now, rules),
            Input::Drain => self.draining = true,
            Input::Tick => self.tick(now),
        }
        self.schedule(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether reading an answer from the target must pause, and marks the attempt as
    /// paused in that case. [`Output::Resume`] ends the pause.
    pub fn is_full(&mut self, id: AttemptId) -> bool {
        let full = self
            .records
            .get(id)
            .is_some_and(|record| record.answer.is_full());
        if full {
            self.paused.insert(id);
        }
        full
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }

    /// Returns the number of attempts that run at the target.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of slots that grants and attempts take.
    pub fn taken(&self) -> usize {
        self.grants.len() + self.ready.len() + self.runs.len()
    }

    /// Returns the records of attempts.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Returns the usage of accounts that this sidecar knows of.
    pub fn view(&self) -> &UsageView {
        &self.view
    }

    /// Returns whether new attempts are refused, because the rules do not list the target or list
    /// it as leaving, or because of a graceful shutdown.
    pub fn is_leaving(&self) -> bool {
        let target = self.settings.target;
        self.draining
            || self.rules.target_entry(target).is_none()
            || self.rules.leaving_entry(target).is_some()
    }

    /// Returns whether a link to a router is unused: no requests wait at the router, and it has
    /// no grants and no attempts here.
    pub fn is_idle(&self, router: Router) -> bool {
        let Some(link) = self.links.get(&router) else {
            return true;
        };
        let from_router = |id: &AttemptId| id.incarnation == link.incarnation;
        link.demand.is_empty()
            && link.granted.is_empty()
            && !self.runs.keys().any(from_router)
            && !self.ready.iter().any(|dispatch| from_router(&dispatch.id))
    }

    /// Handles a new link to a router. A changed incarnation means that the router has restarted.
    pub(super) fn up(&mut self, now: Time, router: Router, incarnation: Incarnation) {
        self.drop_grants(router);
        self.lost_routers.remove(&incarnation);
        if let Some(old) = self.links.insert(
            router,
            Link {
                incarnation,
                ..Link::default()
            },
        ) && old.incarnation != incarnation
        {
            self.lost_routers.insert(old.incarnation, now);
        }
        self.choose_home_router();
    }

    /// Handles the loss of a link to a router.
    pub(super) fn down(&mut self, now: Time, router: Router) {
        self.drop_grants(router);
        if let Some(link) = self.links.remove(&router) {
            self.lost_routers.insert(link.incarnation, now);
        }
        self.choose_home_router();
    }

    /// Chooses the home router among the linked routers by rendezvous hashing. A new home router is
    /// asked again for the usage of all accounts with a backlog, and the next report is due at
    /// once.
    pub(super) fn choose_home_router(&mut self) {
        let me = u64::from(self.settings.target);
        let home_router = self
            .links
            .keys()
            .copied()
            .max_by_key(|router| rendezvous_weight(*router, me));
        if home_router != self.home_router {
            self.home_router = home_router;
            self.view.clear_hints();
            self.usage_requests.clear();
            self.report_due = Time::ZERO;
        }
    }

    /// Handles a message from a linked router; others are ignored.
    pub(super) fn message(&mut self, now: Time, router: Router, message: Message) {
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        link.cooldown_end = Time::ZERO;
        match message {
            Message::Demand {
                account,
                waiting,
                sidecars,
            } => self.demand(now, router, account, waiting, sidecars),
            Message::Decline { grant } => {
                self.close_grant(now, grant);
            }
            Message::Dispatch(dispatch) => self.dispatch(now, router, dispatch),
            Message::Ack { id, offset } => self.ack(id, offset),
            Message::Done(done) => self.done(router, &done),
            Message::Query { id, stamp, offset } => self.query(now, router, id, stamp, offset),
            Message::Cancel { id } => self.cancel(now, router, id),
            Message::Totals(totals) if Some(router) == self.home_router => {
                // Schedules the report shortly before the router sends its next totals, so that
                // they include it.
                self.report_interval = Duration::from_millis(u64::from(totals.interval));
                self.report_due = now + self.report_interval * 4 / 5;
                self.view.apply_totals(&totals);
            }
            _ => {}
        }
    }

    /// Puts new rules into force. Where they change which targets of the service own idempotency
    /// keys, the keys are reassigned.
    pub(super) fn reload(&mut self, now: Time, rules: Rc<Rules>) {
        let owners = |rules: &Rules| {
            let members = rules.service_targets();
            let members_here =
                members.filter(|(name, _)| crate::ids::id(name) == self.settings.service);
            let targets = members_here.map(|(_, target)| crate::ids::id(target));
            targets
                .filter(|target| rules.leaving_entry(*target).is_none())
                .collect::<BTreeSet<_>>()
        };
        let first = self.rules.generation() == 0;
        if !first && owners(&self.rules) != owners(&rules) {
            self.keys.reassign(now);
        }
        self.rules = rules;
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.charge_runs(now);
        self.expire_grants(now);
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
        }
    }

    /// Starts queued attempts, grants and offers free slots, and reports the end of a drain. Runs
    /// after each input.
    pub(super) fn schedule(&mut self, now: Time) {
        self.start(now);
        let leaving = self.is_leaving();
        if !leaving {
            self.grant(now);
        }
        self.offer(now, leaving);
        let drained = self.draining && self.runs.is_empty() && self.ready.is_empty();
        if drained {
            self.outputs.push(Output::Drained);
        }
    }
}

/// Updates an exponentially weighted moving average, in which a new sample has a weight of 1/8.
pub(super) fn moving_average(average: Duration, sample: Duration) -> Duration {
    (average * 7 + sample) / 8
}

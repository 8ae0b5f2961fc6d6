//! The state machine of a sidecar.

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

/// The interval of the work that is not done at every tick.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

const FIRST_COST: Duration = Duration::from_millis(50);
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(2);

/// The settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The target.
    pub target: Target,
    /// The target's service.
    pub service: Service,
    /// The requests that the target serves at a time.
    pub slots: u32,
    /// The incarnation, drawn at start.
    pub incarnation: Incarnation,
    /// The time from the Unix epoch to the process's start.
    pub epoch_offset: Duration,
}

/// What a sidecar is told.
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
    /// A message has arrived.
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
        /// Status and header fields, first.
        head: Option<Head>,
        /// Bytes of the body.
        data: Bytes,
        /// The end mark, last.
        end: Option<End>,
    },
    /// The target has failed an attempt.
    Failed {
        /// The attempt.
        id: AttemptId,
        /// Whether any of it may have reached the target.
        sent: bool,
    },
    /// Other rules are in force.
    Rules(Rc<Rules>),
    /// No new work is to be taken.
    Drain,
    /// Time has passed.
    Tick,
}

/// What a sidecar wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a router.
    Send(Router, Message),
    /// Hand an attempt to the target.
    Run(Rc<Dispatch>),
    /// Break off an attempt at the target.
    Abort(AttemptId),
    /// Go on reading an answer from the target.
    Resume(AttemptId),
    /// Link to a router that has backlog.
    Connect(Router),
    /// Every attempt has ended after [`Input::Drain`].
    Drained,
    /// Write a log line.
    Log(Event),
}

#[derive(Debug, Default)]
pub(super) struct Link {
    pub(super) incarnation: Incarnation,
    pub(super) demand: BTreeMap<Account, u32>,
    pub(super) granted: BTreeMap<Account, u32>,
    pub(super) offered: u32,
    pub(super) stamped: Time,
    pub(super) muted: Time,
}

#[derive(Debug)]
pub(super) struct Grant {
    pub(super) router: Router,
    pub(super) account: Account,
    pub(super) since: Time,
}

#[derive(Debug)]
pub(super) struct Run {
    pub(super) dispatch: Rc<Dispatch>,
    pub(super) since: Time,
    pub(super) charged: Duration,
}

/// A sidecar's decisions; it does no input or output and reads no clock.
#[derive(Debug)]
pub struct Sidecar {
    pub(super) settings: Settings,
    pub(super) rules: Rc<Rules>,
    pub(super) links: BTreeMap<Router, Link>,
    pub(super) recent: BTreeMap<Account, Time>,
    pub(super) reaches: BTreeMap<Account, u32>,
    pub(super) asked: BTreeMap<Account, Time>,
    pub(super) gone: BTreeMap<Incarnation, Time>,
    pub(super) view: UsageView,
    pub(super) grants: BTreeMap<u64, Grant>,
    pub(super) ready: VecDeque<Rc<Dispatch>>,
    pub(super) runs: BTreeMap<AttemptId, Run>,
    pub(super) paused: BTreeSet<AttemptId>,
    pub(super) records: Records,
    pub(super) keys: Keys,
    pub(super) limit: ConcurrencyLimit,
    pub(super) costs: BTreeMap<Account, Duration>,
    pub(super) cost: Duration,
    pub(super) round_trip: Duration,
    pub(super) serial: u64,
    pub(super) draining: bool,
    pub(super) swept: Time,
    pub(super) due: Time,
    pub(super) pace: Duration,
    pub(super) sought: Time,
    pub(super) home: Option<Router>,
    pub(super) outs: Vec<Output>,
}

impl Sidecar {
    /// Creates a sidecar that has no links and no rules.
    pub fn new(settings: Settings) -> Self {
        Self {
            keys: Keys::new(settings.epoch_offset),
            limit: ConcurrencyLimit::new(settings.slots),
            settings,
            rules: Rc::default(),
            links: BTreeMap::new(),
            recent: BTreeMap::new(),
            reaches: BTreeMap::new(),
            asked: BTreeMap::new(),
            gone: BTreeMap::new(),
            view: UsageView::default(),
            grants: BTreeMap::new(),
            ready: VecDeque::new(),
            runs: BTreeMap::new(),
            paused: BTreeSet::new(),
            records: Records::default(),
            costs: BTreeMap::new(),
            cost: FIRST_COST,
            round_trip: FIRST_ROUND_TRIP,
            serial: 0,
            draining: false,
            swept: Time::ZERO,
            due: Time::ZERO,
            pace: REPORT_INTERVAL,
            sought: Time::ZERO,
            home: None,
            outs: Vec::new(),
        }
    }

    /// Takes one input and returns what is to be done.
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
    /// let outs = sidecar.step(Duration::ZERO, Input::Drain);
    /// assert_eq!(outs, [Output::Drained]);
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
        self.pump(now);
        std::mem::take(&mut self.outs)
    }

    /// Returns whether reading an answer from the target should pause.
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

    /// Returns the attempts that the target has.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the slots that grants and attempts take.
    pub fn taken(&self) -> usize {
        self.grants.len() + self.ready.len() + self.runs.len()
    }

    /// Returns the outcomes that are kept.
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Returns what is known of the service that accounts have received.
    pub fn view(&self) -> &UsageView {
        &self.view
    }

    /// Returns whether new work is refused, by the rules or by a graceful shutdown.
    pub fn is_leaving(&self) -> bool {
        let target = self.settings.target;
        self.draining
            || self.rules.target_entry(target).is_none()
            || self.rules.leaving_entry(target).is_some()
    }

    /// Returns whether a link to a router could be dropped without harm.
    pub fn is_idle(&self, router: Router) -> bool {
        let Some(link) = self.links.get(&router) else {
            return true;
        };
        let bound = |id: &AttemptId| id.incarnation == link.incarnation;
        link.demand.is_empty()
            && link.granted.is_empty()
            && !self.runs.keys().any(bound)
            && !self.ready.iter().any(|dispatch| bound(&dispatch.id))
    }

    pub(super) fn up(&mut self, now: Time, router: Router, incarnation: Incarnation) {
        self.drop_grants(router);
        self.gone.remove(&incarnation);
        if let Some(old) = self.links.insert(
            router,
            Link {
                incarnation,
                ..Link::default()
            },
        ) && old.incarnation != incarnation
        {
            self.gone.insert(old.incarnation, now);
        }
        self.choose_home();
    }

    pub(super) fn down(&mut self, now: Time, router: Router) {
        self.drop_grants(router);
        if let Some(link) = self.links.remove(&router) {
            self.gone.insert(link.incarnation, now);
        }
        self.choose_home();
    }

    pub(super) fn choose_home(&mut self) {
        let me = u64::from(self.settings.target);
        let home = self
            .links
            .keys()
            .copied()
            .max_by_key(|router| rendezvous_weight(*router, me));
        if home != self.home {
            self.home = home;
            self.view.clear_hints();
            self.asked.clear();
            self.due = Time::ZERO;
        }
    }

    pub(super) fn message(&mut self, now: Time, router: Router, message: Message) {
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        link.muted = Time::ZERO;
        match message {
            Message::Demand {
                account,
                waiting,
                sidecars,
            } => self.demand(now, router, account, waiting, sidecars),
            Message::Decline { grant } => {
                self.settle(now, grant);
            }
            Message::Dispatch(dispatch) => self.dispatch(now, router, dispatch),
            Message::Ack { id, offset } => self.ack(id, offset),
            Message::Done(done) => self.done(router, &done),
            Message::Query { id, stamp, offset } => self.query(now, router, id, stamp, offset),
            Message::Cancel { id } => self.cancel(now, router, id),
            Message::Totals(totals) if Some(router) == self.home => {
                // A little before the next figures, so that the report is in them.
                self.pace = Duration::from_millis(u64::from(totals.interval));
                self.due = now + self.pace * 4 / 5;
                self.view.apply_totals(&totals);
            }
            _ => {}
        }
    }

    pub(super) fn reload(&mut self, now: Time, rules: Rc<Rules>) {
        let owners = |rules: &Rules| {
            let members = rules.service_targets();
            let ours = members.filter(|(name, _)| crate::ids::id(name) == self.settings.service);
            let targets = ours.map(|(_, target)| crate::ids::id(target));
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
        if now >= self.swept + SWEEP_INTERVAL {
            self.swept = now;
            self.sweep(now);
        }
    }

    pub(super) fn pump(&mut self, now: Time) {
        self.start(now);
        let leaving = self.is_leaving();
        if !leaving {
            self.grant(now);
        }
        self.offer(now, leaving);
        let drained = self.draining && self.runs.is_empty() && self.ready.is_empty();
        if drained {
            self.outs.push(Output::Drained);
        }
    }
}

/// Moves an average an eighth of the way to a sample.
pub(super) fn smooth(average: Duration, sample: Duration) -> Duration {
    (average * 7 + sample) / 8
}

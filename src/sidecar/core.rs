//! The state machine of a sidecar.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;

use super::{
    Event, Keys, Limit, Records, State, Verdict,
    key::{
        Kept,
        MAX_KEPT, //
    },
    record::DISPATCH_LIFE,
};
use crate::{
    fair::{
        self,
        REPORT_INTERVAL,
        REPORT_RETRY,
        View, //
    },
    ids::{
        Account,
        Incarnation,
        Router,
        Sequence,
        Service,
        Target,
        Time,
        Usage,
        weight, //
    },
    rules::Rules,
    wire::{
        Bid,
        Dispatch,
        End,
        Head,
        Message,
        Reason,
        RequestId, //
    },
};

/// The time that a grant waits for its dispatch.
const GRANT_LIFE: Duration = Duration::from_millis(100);

/// The time that a router which let a grant lapse gets no other.
const MUTE_TIME: Duration = Duration::from_millis(500);

/// The time that the attempts of a router that has gone are kept running.
const ORPHAN_LIFE: Duration = Duration::from_secs(10);

/// The interval of the work that is not done at every tick.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between two searches for a router that has backlog.
const SEEK_INTERVAL: Duration = Duration::from_millis(500);

/// The lead over an account waiting elsewhere that makes a sidecar look for it.
const SEEK_LEAD: Usage = 20_000_000;

/// The share of a request's cost below which a round trip is not worth hiding.
const AHEAD_RATIO: u32 = 400;

/// The absence from the backlog after which an account counts as returning.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// The interval at which the home router is asked for an account's standing again.
const INTEREST_INTERVAL: Duration = Duration::from_secs(5);

/// The interval at which a standing offer is stamped anew.
const OFFER_INTERVAL: Duration = Duration::from_secs(3);

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
    pub wall: Duration,
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
        id: RequestId,
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
        id: RequestId,
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
    Abort(RequestId),
    /// Go on reading an answer from the target.
    Resume(RequestId),
    /// Link to a router that has backlog.
    Seek(Router),
    /// Every attempt has ended after [`Input::Drain`].
    Drained,
    /// Write a log line.
    Log(Event),
}

#[derive(Debug, Default)]
struct Link {
    incarnation: Incarnation,
    demand: BTreeMap<Account, u32>,
    granted: BTreeMap<Account, u32>,
    offered: u32,
    stamped: Time,
    muted: Time,
}

#[derive(Debug)]
struct Grant {
    router: Router,
    account: Account,
    since: Time,
}

#[derive(Debug)]
struct Run {
    dispatch: Rc<Dispatch>,
    since: Time,
    charged: Duration,
}

/// A sidecar's decisions; it does no input or output and reads no clock.
#[derive(Debug)]
pub struct Sidecar {
    settings: Settings,
    rules: Rc<Rules>,
    links: BTreeMap<Router, Link>,
    recent: BTreeMap<Account, Time>,
    reaches: BTreeMap<Account, u32>,
    asked: BTreeMap<Account, Time>,
    gone: BTreeMap<Incarnation, Time>,
    view: View,
    grants: BTreeMap<u64, Grant>,
    ready: VecDeque<Rc<Dispatch>>,
    runs: BTreeMap<RequestId, Run>,
    paused: BTreeSet<RequestId>,
    records: Records,
    keys: Keys,
    limit: Limit,
    costs: BTreeMap<Account, Duration>,
    cost: Duration,
    round_trip: Duration,
    serial: u64,
    draining: bool,
    swept: Time,
    due: Time,
    sought: Time,
    home: Option<Router>,
    outs: Vec<Output>,
}

impl Sidecar {
    /// Creates a sidecar that has no links and no rules.
    pub fn new(settings: Settings) -> Self {
        Self {
            keys: Keys::new(settings.wall),
            limit: Limit::new(settings.slots),
            settings,
            rules: Rc::default(),
            links: BTreeMap::new(),
            recent: BTreeMap::new(),
            reaches: BTreeMap::new(),
            asked: BTreeMap::new(),
            gone: BTreeMap::new(),
            view: View::default(),
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
    ///     wall: Duration::ZERO,
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
    pub fn is_full(&mut self, id: RequestId) -> bool {
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
    pub fn view(&self) -> &View {
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
        let bound = |id: &RequestId| id.router == link.incarnation;
        link.demand.is_empty()
            && link.granted.is_empty()
            && !self.runs.keys().any(bound)
            && !self.ready.iter().any(|dispatch| bound(&dispatch.id))
    }

    fn up(&mut self, now: Time, router: Router, incarnation: Incarnation) {
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

    fn down(&mut self, now: Time, router: Router) {
        self.drop_grants(router);
        if let Some(link) = self.links.remove(&router) {
            self.gone.insert(link.incarnation, now);
        }
        self.choose_home();
    }

    fn drop_grants(&mut self, router: Router) {
        self.grants.retain(|_, grant| grant.router != router);
    }

    fn choose_home(&mut self) {
        let me = u64::from(self.settings.target);
        let home = self
            .links
            .keys()
            .copied()
            .max_by_key(|router| weight(*router, me));
        if home != self.home {
            self.home = home;
            self.view.rehome();
            self.asked.clear();
            self.due = Time::ZERO;
        }
    }

    fn message(&mut self, now: Time, router: Router, message: Message) {
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        link.muted = Time::ZERO;
        match message {
            Message::Demand {
                account,
                waiting,
                reach,
            } => self.demand(now, router, account, waiting, reach),
            Message::Decline { grant } => {
                self.settle(now, grant);
            }
            Message::Dispatch(dispatch) => self.dispatch(now, router, dispatch),
            Message::Ack { id, offset } => self.ack(id, offset),
            Message::Done(done) => self.done(router, &done),
            Message::Query { id, stamp, offset } => self.query(now, router, id, stamp, offset),
            Message::Cancel { id } => self.cancel(now, router, id),
            Message::Totals(totals) if Some(router) == self.home => {
                self.due = now + REPORT_INTERVAL;
                self.view.totals(&totals);
            }
            _ => {}
        }
    }

    fn demand(&mut self, now: Time, router: Router, account: Account, waiting: u32, reach: u32) {
        if waiting > 0 {
            let backlogged: Vec<_> = self.backlogged().collect();
            if !backlogged.contains(&account) && !self.recent.contains_key(&account) {
                self.view.enter(account, backlogged.into_iter());
            }
            self.recent.insert(account, now);
            self.reaches.insert(account, reach);
        }
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        match waiting {
            0 => link.demand.remove(&account),
            _ => link.demand.insert(account, waiting),
        };
    }

    /// Ends a grant and returns its account.
    fn settle(&mut self, now: Time, grant: u64) -> Option<Account> {
        let grant = self.grants.remove(&grant)?;
        let sample = now.saturating_sub(grant.since);
        self.round_trip = smooth(self.round_trip, sample);
        if let Some(link) = self.links.get_mut(&grant.router) {
            reduce(&mut link.granted, grant.account);
            reduce(&mut link.demand, grant.account);
        }
        Some(grant.account)
    }

    fn dispatch(&mut self, now: Time, router: Router, dispatch: Rc<Dispatch>) {
        let id = dispatch.id;
        if self.records.get(id).is_some() {
            return self.repeat(router, id, 0);
        }
        let granted = self.settle(now, dispatch.grant).is_some();
        if dispatch.grant == 0
            && let Some(link) = self.links.get_mut(&router)
        {
            link.offered = link.offered.saturating_sub(1);
        }
        if let Err(reason) = self.admit(now, &dispatch, granted) {
            return self.refuse(now, router, id, reason);
        }
        if let Some(bid) = &dispatch.key
            && self.replayed(now, router, &dispatch, bid)
        {
            return;
        }
        self.outs.push(Output::Log(Event::Admit {
            id,
            account: self.rules.name(dispatch.account),
            via: if granted { "grant" } else { "offer" },
        }));
        self.view.serve(dispatch.account);
        self.records.open(id, State::Ready);
        self.ready.push_back(dispatch);
    }

    /// Checks everything but the idempotency key.
    fn admit(&self, now: Time, dispatch: &Dispatch, granted: bool) -> Result<(), Reason> {
        if dispatch.incarnation != self.settings.incarnation {
            return Err(Reason::Stale);
        }
        if now > Duration::from_millis(dispatch.stamp) + DISPATCH_LIFE {
            return Err(Reason::Expired);
        }
        if self.is_leaving() {
            return Err(Reason::Leaving);
        }
        if !granted && self.free(now) == 0 || self.records.is_full() {
            return Err(Reason::Busy);
        }
        Ok(())
    }

    /// Decides on a request with a key; returns whether it is answered without running.
    fn replayed(&mut self, now: Time, router: Router, dispatch: &Dispatch, bid: &Bid) -> bool {
        let id = dispatch.id;
        let owner = self.rules.key_owner(self.settings.service, bid.key as u64);
        if dispatch.generation != self.rules.generation() || owner != Some(self.settings.target) {
            self.refuse(now, router, id, Reason::Generation);
            return true;
        }
        match self.keys.claim(now, bid) {
            Verdict::Run => return false,
            Verdict::Refuse(reason) => self.refuse(now, router, id, reason),
            Verdict::Replay(head, body, end) => {
                self.records.open(id, State::Ended);
                let record = self.records.get_mut(id).expect("the record was opened");
                let (head, end) = ((*head).clone(), (*end).clone());
                let part = record.answer.push(id, Some(head), body, Some(end));
                self.records.close(now, id, State::Ended);
                self.outs.push(Output::Send(router, Message::Part(part)));
            }
        }
        true
    }

    fn refuse(&mut self, now: Time, router: Router, id: RequestId, reason: Reason) {
        self.records.close(now, id, State::Refused(reason));
        self.outs.push(Output::Log(Event::Refuse { id, reason }));
        let message = Message::Refused { id, reason };
        self.outs.push(Output::Send(router, message));
    }

    /// Sends again what is known of an attempt.
    fn repeat(&mut self, router: Router, id: RequestId, offset: u64) {
        let Some(record) = self.records.get(id) else {
            return;
        };
        match (record.state, record.answer.resume(id, offset)) {
            (State::Refused(reason), _) => {
                let message = Message::Refused { id, reason };
                self.outs.push(Output::Send(router, message));
            }
            (State::Ready, _) => {}
            (_, Some(parts)) => {
                let parts = parts.into_iter();
                let sends = parts.map(|part| Output::Send(router, Message::Part(part)));
                self.outs.extend(sends);
            }
            (_, None) => {
                let reason = Reason::Forgotten;
                let message = Message::Refused { id, reason };
                self.outs.push(Output::Send(router, message));
            }
        }
    }

    /// Drops the answers that a router has whole.
    fn done(&mut self, router: Router, done: &[(Sequence, u32)]) {
        let Some(link) = self.links.get(&router) else {
            return;
        };
        let router = link.incarnation;
        for (sequence, attempt) in done {
            let id = RequestId {
                router,
                sequence: *sequence,
                attempt: *attempt,
            };
            if let Some(record) = self.records.get_mut(id) {
                record.answer.finish();
            }
        }
    }

    fn ack(&mut self, id: RequestId, offset: u64) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.answer.ack(offset);
        if !record.answer.is_full() && self.paused.remove(&id) {
            self.outs.push(Output::Resume(id));
        }
    }

    fn query(&mut self, now: Time, router: Router, id: RequestId, stamp: u64, offset: u64) {
        if self.records.get(id).is_some() {
            return self.repeat(router, id, offset);
        }
        let stamp = Duration::from_millis(stamp);
        let reason = self.records.presume(now, id, stamp);
        let message = Message::Refused { id, reason };
        self.outs.push(Output::Send(router, message));
    }

    fn cancel(&mut self, now: Time, router: Router, id: RequestId) {
        match self.records.get(id).map(|record| record.state) {
            None => self.refuse(now, router, id, Reason::Cancelled),
            Some(State::Ready) => {
                self.unready(id);
                self.refuse(now, router, id, Reason::Cancelled);
            }
            Some(State::Running) => self.abort(now, id),
            Some(_) => {}
        }
    }

    /// Takes an attempt that has not run out of the queue.
    fn unready(&mut self, id: RequestId) {
        if let Some(at) = self.ready.iter().position(|dispatch| dispatch.id == id)
            && let Some(dispatch) = self.ready.remove(at)
            && let Some(bid) = &dispatch.key
        {
            self.keys.release(bid.key);
        }
    }

    /// Breaks off an idempotent attempt; a write runs to its end.
    fn abort(&mut self, now: Time, id: RequestId) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if run.dispatch.write {
            return;
        }
        self.leave(now, id);
        self.records.close(now, id, State::Refused(Reason::Failed));
        self.outs.push(Output::Abort(id));
    }

    /// Frees the slot of an attempt and charges its account.
    fn leave(&mut self, now: Time, id: RequestId) -> Option<Run> {
        let mut run = self.runs.remove(&id)?;
        self.paused.remove(&id);
        let share = self
            .rules
            .share(self.settings.service, run.dispatch.account);
        let spent = now.saturating_sub(run.since);
        let due = spent.saturating_sub(run.charged);
        let others = self.others(run.dispatch.account);
        self.view
            .charge(run.dispatch.account, fair::usage(due, share), others);
        run.charged = spent;
        let cost = self.costs.entry(run.dispatch.account).or_insert(spent);
        *cost = smooth(*cost, spent);
        self.cost = smooth(self.cost, spent);
        Some(run)
    }

    fn answer(
        &mut self,
        now: Time,
        id: RequestId,
        head: Option<Head>,
        data: Bytes,
        end: Option<End>,
    ) {
        if !self.runs.contains_key(&id) {
            return;
        }
        let ended = end.is_some();
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let part = record.answer.push(id, head, data, end.clone());
        if let Some(router) = self.router_of(id) {
            self.outs.push(Output::Send(router, Message::Part(part)));
        }
        if ended {
            let run = self.leave(now, id);
            self.limit.succeed();
            if let Some(bid) = run.and_then(|run| run.dispatch.key) {
                let kept = self.kept(id, end);
                self.keys.finish(bid.key, kept);
            }
            self.records.close(now, id, State::Ended);
        }
    }

    fn kept(&self, id: RequestId, end: Option<End>) -> Option<Kept> {
        let answer = &self.records.get(id)?.answer;
        if answer.size() > MAX_KEPT {
            return None;
        }
        let head = answer.head()?.clone();
        Some((head, answer.whole()?.into(), Rc::new(end?)))
    }

    fn failed(&mut self, now: Time, id: RequestId, sent: bool) {
        let Some(run) = self.leave(now, id) else {
            return;
        };
        self.limit.fail(now);
        self.outs.push(Output::Log(Event::Failed {
            id,
            slots: self.limit.slots(now),
        }));
        if let Some(bid) = &run.dispatch.key {
            match sent {
                true => self.keys.lose(bid.key),
                false => self.keys.release(bid.key),
            }
        }
        let reason = match sent {
            true => Reason::Failed,
            false => Reason::Unreachable,
        };
        self.records.close(now, id, State::Refused(reason));
        if let Some(router) = self.router_of(id) {
            let message = Message::Refused { id, reason };
            self.outs.push(Output::Send(router, message));
        }
    }

    fn router_of(&self, id: RequestId) -> Option<Router> {
        self.links
            .iter()
            .find(|(_, link)| link.incarnation == id.router)
            .map(|(router, _)| *router)
    }

    fn reload(&mut self, now: Time, rules: Rc<Rules>) {
        let owners = |rules: &Rules| {
            let members = rules.members();
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

    fn tick(&mut self, now: Time) {
        self.charge_runs(now);
        self.expire_grants(now);
        if now >= self.swept + SWEEP_INTERVAL {
            self.swept = now;
            self.sweep(now);
        }
    }

    /// Does what need not be done at every tick.
    fn sweep(&mut self, now: Time) {
        self.records.expire(now);
        self.keys.expire(now);
        self.reap(now);
        let backlogged: Vec<_> = self.backlogged().collect();
        for account in &backlogged {
            self.recent.insert(*account, now);
        }
        self.recent.retain(|_, seen| now < *seen + RETURN_TIME);
        let recent = &self.recent;
        self.reaches
            .retain(|account, _| recent.contains_key(account));
        self.view.bound(backlogged.iter().copied());
        if now >= self.due {
            self.report(now, backlogged);
        }
        self.seek(now);
    }

    fn charge_runs(&mut self, now: Time) {
        for run in self.runs.values_mut() {
            let spent = now.saturating_sub(run.since);
            let due = spent.saturating_sub(run.charged);
            let share = self
                .rules
                .share(self.settings.service, run.dispatch.account);
            let reach = self.reaches.get(&run.dispatch.account);
            let others = reach.map_or(0, |reach| reach.saturating_sub(1));
            self.view
                .charge(run.dispatch.account, fair::usage(due, share), others);
            run.charged = spent;
        }
    }

    /// Returns the other sidecars that decide on an account's requests alike.
    fn others(&self, account: Account) -> u32 {
        let reach = self.reaches.get(&account);
        reach.map_or(0, |reach| reach.saturating_sub(1))
    }

    fn expire_grants(&mut self, now: Time) {
        let late = |grant: &Grant| now > grant.since + GRANT_LIFE;
        for grant in self.grants.values().filter(|grant| late(grant)) {
            if let Some(link) = self.links.get_mut(&grant.router) {
                link.muted = now + MUTE_TIME;
                reduce(&mut link.granted, grant.account);
            }
        }
        self.grants.retain(|_, grant| !late(grant));
    }

    /// Aborts the idempotent attempts of routers that have been gone for long.
    fn reap(&mut self, now: Time) {
        let late: Vec<_> = self
            .gone
            .iter()
            .filter(|(_, since)| now > **since + ORPHAN_LIFE)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in late {
            self.gone.remove(&incarnation);
            let orphans: Vec<_> = self
                .runs
                .keys()
                .filter(|id| id.router == incarnation)
                .copied()
                .collect();
            for id in &orphans {
                self.abort(now, *id);
            }
            let waiting: Vec<_> = self.ready.iter().map(|dispatch| dispatch.id).collect();
            for id in waiting.into_iter().filter(|id| id.router == incarnation) {
                self.unready(id);
                self.records
                    .close(now, id, State::Refused(Reason::Cancelled));
            }
            if !orphans.is_empty() {
                self.outs.push(Output::Log(Event::Orphan {
                    incarnation,
                    aborted: orphans.len(),
                }));
            }
        }
    }

    fn report(&mut self, now: Time, backlogged: Vec<Account>) {
        let Some(home) = self.home else {
            return;
        };
        self.due = now + REPORT_RETRY;
        self.view.decay();
        self.asked
            .retain(|_, asked| now < *asked + INTEREST_INTERVAL);
        let asked = &mut self.asked;
        let fresh = |account: &Account| asked.insert(*account, now).is_none();
        let wanted: Vec<_> = backlogged.into_iter().filter(fresh).collect();
        if wanted.is_empty() && !self.view.has_news() {
            return;
        }
        let report = self.view.report(wanted);
        self.outs.push(Output::Send(home, Message::Report(report)));
    }

    /// Looks for a router outside the links that waits while this target idles or that
    /// holds an account which is behind all those that wait here.
    fn seek(&mut self, now: Time) {
        if now < self.sought + SEEK_INTERVAL || self.is_leaving() {
            return;
        }
        let least = self
            .backlogged()
            .map(|account| self.view.usage(account))
            .min();
        let idle = self.free(now) > 0;
        let hint = match least {
            None if !idle => return,
            _ => self.view.hint(least, SEEK_LEAD),
        };
        if let Some(router) = hint.filter(|router| !self.links.contains_key(router)) {
            self.sought = now;
            self.outs.push(Output::Log(Event::Seek { router }));
            self.outs.push(Output::Seek(router));
        }
    }

    /// Returns the accounts that wait at linked routers.
    fn backlogged(&self) -> impl Iterator<Item = Account> {
        let accounts: BTreeSet<_> = self
            .links
            .values()
            .flat_map(|link| link.demand.keys().copied())
            .collect();
        accounts.into_iter()
    }

    /// Returns the slots that neither grants nor attempts take.
    fn free(&self, now: Time) -> u32 {
        let slots = self.limit.slots(now);
        slots.saturating_sub(self.taken() as u32)
    }

    /// Returns the grants to give beyond the slots, so that none waits for a message.
    fn ahead(&self) -> u32 {
        if self.round_trip * AHEAD_RATIO < self.cost {
            return 0;
        }
        let slots = f64::from(self.limit.max());
        let ratio = self.round_trip.as_secs_f64() / self.cost.as_secs_f64().max(1e-6);
        (slots * ratio).ceil().min(slots) as u32
    }

    fn pump(&mut self, now: Time) {
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

    /// Hands admitted attempts to the target while it has slots.
    fn start(&mut self, now: Time) {
        // Admitted attempts run even where the limit has since shrunk to nothing.
        let slots = self.limit.slots(now).max(1) as usize;
        while self.runs.len() < slots {
            let Some(dispatch) = self.ready.pop_front() else {
                break;
            };
            self.records.advance(dispatch.id, State::Running);
            let run = Run {
                dispatch: dispatch.clone(),
                since: now,
                charged: Duration::ZERO,
            };
            self.runs.insert(dispatch.id, run);
            self.outs.push(Output::Run(dispatch));
        }
    }

    /// Grants free slots to the accounts with the least service.
    fn grant(&mut self, now: Time) {
        let slots = self.limit.slots(now);
        if slots == 0 {
            return;
        }
        let slots = slots + self.ahead();
        if self.taken() as u32 >= slots {
            return;
        }
        let mut waiting = self.waiting(now);
        let advances = self.advances(now);
        let mut advances: BTreeMap<_, _> = waiting
            .keys()
            .map(|account| (*account, advances.get(account).copied().unwrap_or_default()))
            .collect();
        while (self.taken() as u32) < slots {
            let advanced = waiting.keys().map(|account| (*account, advances[account]));
            let Some(account) = self.view.next(advanced) else {
                break;
            };
            let routers = waiting.get_mut(&account).expect("the account waits");
            let router = self.draw(routers);
            if routers.is_empty() {
                waiting.remove(&account);
            }
            let alike = Usage::from(self.others(account) + 1);
            *advances.entry(account).or_default() += self.expected(account) * alike;
            self.issue(now, router, account);
        }
    }

    /// Returns where requests wait that no grant covers.
    fn waiting(&self, now: Time) -> BTreeMap<Account, Vec<(u32, Router)>> {
        let mut waiting: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (router, link) in &self.links {
            if now < link.muted {
                continue;
            }
            for (account, count) in &link.demand {
                let granted = link.granted.get(account).copied().unwrap_or_default();
                let left = count.saturating_sub(granted);
                if left > 0 {
                    waiting.entry(*account).or_default().push((left, *router));
                }
            }
        }
        waiting
    }

    /// Returns the usage still expected of what runs or is granted here, by account.
    fn advances(&self, now: Time) -> BTreeMap<Account, Usage> {
        let mut advances: BTreeMap<Account, Usage> = BTreeMap::new();
        for run in self.runs.values() {
            let account = run.dispatch.account;
            let spent = now.saturating_sub(run.since);
            let share = self.rules.share(self.settings.service, account);
            let uncharged = fair::usage(spent.saturating_sub(run.charged), share);
            let left = self
                .expected(account)
                .saturating_sub(fair::usage(spent, share));
            *advances.entry(account).or_default() += uncharged + left;
        }
        let granted = self.grants.values().map(|grant| grant.account);
        let ready = self.ready.iter().map(|dispatch| dispatch.account);
        for account in granted.chain(ready) {
            *advances.entry(account).or_default() += self.expected(account);
        }
        for (account, advance) in &mut advances {
            *advance *= Usage::from(self.others(*account) + 1);
        }
        advances
    }

    /// Returns the usage that one request of an account is expected to take.
    fn expected(&self, account: Account) -> Usage {
        let cost = self.costs.get(&account).unwrap_or(&self.cost);
        fair::usage(*cost, self.rules.share(self.settings.service, account))
    }

    /// Takes one request out of those that wait at `routers`, in proportion to them.
    fn draw(&self, routers: &mut Vec<(u32, Router)>) -> Router {
        let total: u64 = routers.iter().map(|(left, _)| u64::from(*left)).sum();
        let mut at = weight(self.settings.target, self.serial) % total.max(1);
        let found = routers.iter().position(|(left, _)| {
            let here = at < u64::from(*left);
            at = at.saturating_sub(u64::from(*left));
            here
        });
        let found = found.unwrap_or_default();
        let (left, router) = &mut routers[found];
        *left -= 1;
        let (left, router) = (*left, *router);
        if left == 0 {
            routers.swap_remove(found);
        }
        router
    }

    fn issue(&mut self, now: Time, router: Router, account: Account) {
        self.serial += 1;
        let grant = self.serial;
        let since = now;
        self.grants.insert(
            grant,
            Grant {
                router,
                account,
                since,
            },
        );
        if let Some(link) = self.links.get_mut(&router) {
            *link.granted.entry(account).or_default() += 1;
        }
        self.view.serve(account);
        let usage = self.view.usage(account);
        self.outs.push(Output::Log(Event::Grant {
            grant,
            account: self.rules.name(account),
            router,
            usage,
        }));
        let stamp = now.as_millis() as u64;
        let message = Message::Grant {
            grant,
            account,
            stamp,
        };
        self.outs.push(Output::Send(router, message));
    }

    /// Tells routers of free slots when nothing waits, and when there are none left.
    fn offer(&mut self, now: Time, leaving: bool) {
        let waits = self.links.values().any(|link| !link.demand.is_empty());
        let free = match leaving || waits {
            true => 0,
            false => self.free(now),
        };
        let stamp = now.as_millis() as u64;
        for (router, link) in &mut self.links {
            let rough = free >= link.offered * 2 || free * 2 <= link.offered;
            let changed = free != link.offered && rough;
            let old = free > 0 && now >= link.stamped + OFFER_INTERVAL;
            if changed || old {
                link.offered = free;
                link.stamped = now;
                let message = Message::Offer { slots: free, stamp };
                self.outs.push(Output::Send(*router, message));
            }
        }
    }
}

fn reduce(counts: &mut BTreeMap<Account, u32>, account: Account) {
    if let Some(count) = counts.get_mut(&account) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&account);
        }
    }
}

/// Moves an average an eighth of the way to a sample.
fn smooth(average: Duration, sample: Duration) -> Duration {
    (average * 7 + sample) / 8
}

//! The state that a gateway's tasks share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use futures_channel::{
    mpsc::{
        UnboundedReceiver,
        UnboundedSender,
        unbounded, //
    },
    oneshot, //
};
use futures_util::{
    FutureExt,
    future::Shared, //
};
use hyper::{
    Response,
    StatusCode, //
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
        Generation,
        Incarnation,
        Part,
        Position,
        Sequence,
        Target,
        Time,
        id, //
    },
    pool::{
        Attempt,
        Fault,
        MemoryBudget,
        Output,
        PaceChange,
        Pool,
        Refusal,
        RequestSpec,
        RetryDecision,
        RetryVerdict,
        RunTimes,
        Settings,
        Standing,
        Stop,
        part_id, //
    },
    replica::replaces,
    rules::{
        Limit,
        Route,
        Rules, //
    },
    settings::{
        ColdSettings,
        GatewaySettings,
        Policy, //
    },
    shell::{
        Clock,
        dial::{
            Connections,
            DialLimits,
            Probe, //
        },
        memory::{
            self,
            MEASURE_INTERVAL, //
        }, //
    },
    wire::RulesMark, //
};

/// The timeout for connecting to a target: some hundred round trips within a region, and short
/// enough to try another target within the latency objective.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The interval at which [`Process::tick`] runs the pool's timers and the process's own checks.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The delay of a tick (event-loop lag) from which on this process counts as late: a fraction of
/// the shortest latency objective.
const LATE_TICK: Duration = Duration::from_millis(60);

/// The shortest interval between two log lines about the same cause of refused bodies or closed
/// connections.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest interval between two log lines about a late event loop.
const LATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which a report of rules that the store has lost no longer counts: many gossip rounds.
const MISSING_TIME: Duration = Duration::from_secs(5);

/// The longest time after its start for which a process that reads a store which has come back from an
/// older copy waits for word from another gateway before it trusts keys: some rounds of discovery.
const LISTEN_TIME: Duration = Duration::from_millis(1_000);

/// How far below the configured limit the age of the rules must be for keys to be trusted. This
/// margin covers the time that a request may have spent in transit and the difference to the
/// platform's clock.
const TRUST_MARGIN: Duration = Duration::from_millis(400);

/// What the pool has decided about a request, as its task receives it.
#[derive(Clone, Copy, Debug)]
pub(super) enum Decision {
    Send(Target),
    /// Refuse the request, which has not run, and tell the caller to retry after this time.
    Refuse(Refusal, Duration),
    Abandon,
    /// End the request: its caller no longer waits, or this process ends.
    Expire,
}

/// Returns the time that a request of a route usually takes at most: of one that is not a stream, the
/// answer is expected within the latency objective.
pub(super) fn usual_limit(route: &Route) -> Duration {
    match route.stream {
        true => route.timeout(),
        false => route.objective(),
    }
}

/// The state that a gateway's tasks share: settings, rules, the known targets, the pool's state
/// machine, and the channels and connections that carry out its decisions.
pub(super) struct Process {
    pub(super) settings: GatewaySettings,
    pub(super) clock: Clock,
    pub(super) incarnation: Incarnation,
    pub(super) peers: Peers,
    pub(super) metrics: Metrics,
    pub(super) pool: RefCell<Pool>,
    rules: RefCell<Rc<Rules>>,
    /// The position of the store at which the rules in force were last changed.
    rules_position: Cell<Position>,
    /// Newer rules that another gateway has in force and the store no longer has: their generation, and
    /// when that was last reported.
    missing: Cell<Option<(Generation, Time)>>,
    /// The store's position that the rules and the targets are at least as new as, and the last time
    /// at which it was the newest one.
    confirmed: Cell<Option<(Position, Time)>>,
    pub(super) feed: RefCell<Feed>,
    /// The channel to each request's task.
    decisions: RefCell<HashMap<Sequence, UnboundedSender<Decision>>>,
    /// The connections to each target address.
    connections: RefCell<HashMap<SocketAddr, Rc<Connections>>>,
    /// The state shared with the thread that reads the store.
    pub(super) store: Arc<StoreState>,
    /// The bounds of a graceful stop that has begun.
    stop: Cell<Option<Stop>>,
    /// How long requests take.
    run_times: RefCell<RunTimes>,
    /// `None` once every request that has not ended is to be ended.
    open: RefCell<Option<oneshot::Sender<()>>>,
    /// Ends when `open` is dropped.
    closed: Shared<oneshot::Receiver<()>>,
    /// Whether accepting is paused because there is no room for another connection.
    pub(super) at_capacity: Cell<bool>,
    last_tick: Cell<Time>,
    /// When the last tick should have run.
    tick_due: Cell<Time>,
    /// The connections that were accepted since the last tick.
    accepted: Cell<u32>,
    /// The requests whose heads were read since the last tick.
    heads: Cell<u32>,
    /// When a late event loop was last logged.
    late_logged: Cell<Time>,
    overload: RefCell<OverloadDetector>,
    pub(super) memory: MemoryBudget,
    memory_checked: Cell<Time>,
    /// When a line was last logged about each cause of refused bodies and closed connections, and how
    /// many there were since.
    limit_lines: RefCell<BTreeMap<String, (Time, u32)>>,
}

impl Process {
    pub(super) fn new(settings: GatewaySettings) -> Self {
        for (name, value) in settings.cold.iter().flat_map(ColdSettings::defects) {
            log::warn!("event=settings-defect entry=cold.{name} value={value}");
        }
        let pool = Settings {
            domain: settings.domain.clone(),
            baseline: settings.policy == Policy::Baseline,
            retry: settings.retry,
            seed: fastrand::u64(..),
            parts: settings
                .parts
                .iter()
                .map(|rule| (part_id(&rule.part), rule.refuse))
                .collect(),
            slow_start: settings.slow_start,
        };
        let (open, closed) = oneshot::channel();
        let incarnation = fastrand::u64(1..);
        Self {
            peers: Peers::new(&settings, incarnation),
            clock: Clock::default(),
            incarnation,
            metrics: Metrics::new(),
            pool: RefCell::new(Pool::new(pool)),
            rules: RefCell::default(),
            rules_position: Cell::default(),
            missing: Cell::new(None),
            confirmed: Cell::new(None),
            feed: RefCell::default(),
            decisions: RefCell::default(),
            connections: RefCell::default(),
            store: Arc::default(),
            stop: Cell::new(None),
            run_times: RefCell::default(),
            open: RefCell::new(Some(open)),
            closed: closed.shared(),
            at_capacity: Cell::new(false),
            last_tick: Cell::new(Duration::ZERO),
            tick_due: Cell::new(Duration::ZERO),
            accepted: Cell::new(0),
            heads: Cell::new(0),
            late_logged: Cell::new(Duration::ZERO),
            overload: RefCell::default(),
            memory: MemoryBudget::new(settings.memory_mb.map(|limit| limit << 20)),
            memory_checked: Cell::new(Duration::ZERO),
            limit_lines: RefCell::default(),
            settings,
        }
    }

    pub(super) fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    /// Puts rules in force that were last changed at a position, if they take the place of those in
    /// force; see [`replaces`].
    fn apply_rules(&self, position: Position, rules: Rules) {
        let in_force = self.rules();
        let (old, new) = (in_force.generation(), rules.generation());
        let is_newer = replaces((position, new), (self.rules_position.get(), old));
        if !is_newer && !in_force.is_empty() {
            return log::warn!("event=rules-refused {position} generation={new} in_force={old}");
        }
        self.rules_position.set(position);
        if new == old && rules.digest() == in_force.digest() && !in_force.is_empty() {
            return;
        }
        let entries = rules.entries().len();
        log::info!("event=rules generation={new} replaced={old} lines={entries}");
        let defects = rules.defects();
        for defect in &defects.listed {
            log::warn!("event=config-defect generation={new} {defect}");
        }
        if defects.count > 0 {
            log::warn!(
                "event=config-defects generation={new} count={}",
                defects.count
            );
        }
        let rate = rules.limit(Limit::TokenRate);
        self.pool.borrow_mut().set_shares(rules.shares(), rate);
        *self.rules.borrow_mut() = Rc::new(rules);
        self.set_pool_targets();
    }

    /// Returns the connection pool for a target address, creating it on first use.
    pub(super) fn connections_to(&self, address: SocketAddr) -> Rc<Connections> {
        let limits = DialLimits {
            connect_timeout: CONNECT_TIMEOUT,
        };
        let mut connections = self.connections.borrow_mut();
        let new = || {
            let connections = Connections::new(address, limits);
            Rc::new(connections.with_memory(self.memory.clone()))
        };
        connections.entry(address).or_insert_with(new).clone()
    }

    /// Applies the rules and targets that were read from the store since the last call.
    pub(super) fn apply_updates(&self) {
        // This comes first, because the other thread may publish newer rules and confirm them at any
        // time: rules that are not in force must not count as confirmed.
        self.confirmed.set(self.store.replica().confirmed());
        let Some(pending) = self.store.take_pending() else {
            return;
        };
        // This comes before whatever may place requests.
        if let Some((position, domains)) = pending.evacuated {
            self.read_evacuated(position, &domains);
        }
        if let Some((position, rules)) = pending.rules {
            self.apply_rules(position, rules);
        }
        if let Some(targets) = pending.targets {
            self.update_targets(targets);
        }
    }

    /// Records that a position was the newest one of the store at time `at`.
    pub(super) fn observe_newest(&self, newest: Position, at: Time) {
        let now = self.clock.now();
        self.store.replica().observe_newest(now, newest, at);
    }

    /// Returns the rules in force as other gateways compare them with theirs.
    pub(super) fn rules_mark(&self) -> RulesMark {
        RulesMark {
            position: self.rules_position.get(),
            generation: self.rules().generation(),
        }
    }

    /// Compares the rules in force with those of another gateway. If it has newer ones, and
    /// everything is read here up to the position at which they were written, the store has lost
    /// them. Returns whether anything has been read here to compare with.
    pub(super) fn compare_rules(&self, other: RulesMark) -> bool {
        // The rules must be at least as new as this position.
        let Some(applied) = self.store.applied() else {
            return false;
        };
        self.apply_updates();
        if applied < other.position || other.generation <= self.rules().generation() {
            return true;
        }
        let generation = other.generation;
        let known = self.missing.replace(Some((generation, self.clock.now())));
        if known.is_none_or(|(known, _)| known != generation) {
            let in_force = self.rules().generation();
            log::warn!("event=rules-missing generation={generation} in_force={in_force}");
        }
        true
    }

    /// Returns the generation of rules that the store has lost and another gateway has in force.
    pub(super) fn missing_generation(&self) -> Option<Generation> {
        let (generation, at) = self.missing.get()?;
        let is_recent = self.clock.now() < at + MISSING_TIME;
        let is_newer = generation > self.rules().generation();
        (is_recent && is_newer).then_some(generation)
    }

    /// Returns whether other gateways may know of what the store has lost, and none has told it since
    /// this process has started.
    fn is_listening(&self) -> bool {
        let has_returned = self.rules_position.get().era > 0;
        let is_new = self.clock.now() < LISTEN_TIME;
        has_returned && is_new && !self.peers.has_heard() && self.settings.peers().next().is_some()
    }

    /// Returns whether other gateways have, or may have, rules that the store has lost.
    pub(super) fn may_lack_rules(&self) -> bool {
        self.missing_generation().is_some() || self.is_listening()
    }

    /// Returns the store's position that has been read here and the last time at which it was
    /// confirmed to be the newest one.
    pub(super) fn confirmed(&self) -> Option<(Position, Time)> {
        self.confirmed.get()
    }

    /// Returns the time since the rules were last confirmed to be the newest, or `None` if they
    /// never were.
    pub(super) fn rules_age(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.confirmed().map(|(_, at)| now.saturating_sub(at))
    }

    /// Returns whether the rules are fresh enough to trust their keys: a key that was revoked
    /// longer ago than the configured limit is no longer among them.
    pub(super) fn keys_trusted(&self) -> bool {
        if self.may_lack_rules() {
            return false;
        }
        match (self.rules_age(), self.settings.trust_limit()) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(limit)) => age + TRUST_MARGIN < limit,
        }
    }

    /// Returns whether every change of the rules that was made longer ago than the configured limit
    /// is in force here.
    pub(super) fn rules_are_recent(&self) -> bool {
        if self.missing_generation().is_some() {
            return false;
        }
        match (self.rules_age(), self.settings.apply_limit()) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(age), Some(limit)) => age < limit,
        }
    }

    /// Returns whether this process alone is late with the rules: they are not recent, although the
    /// store can be reached.
    pub(super) fn is_behind(&self) -> bool {
        !self.rules_are_recent() && self.store.is_reachable()
    }

    /// Returns whether the platform should send callers here: rules are in force and the newest
    /// configuration can be read, a target is serving, keys are trusted, and this process is not
    /// full, stopping or overloaded.
    pub(super) fn is_ready(&self) -> bool {
        let serving = self.feed.borrow().serving().next().is_some();
        let informed = !self.rules().is_empty() && serving && self.keys_trusted();
        let accepting = !self.at_capacity.get() && !self.is_stopping();
        let overloaded = self.overload.borrow().is_overloaded();
        informed && accepting && !overloaded && !self.store.is_unreadable()
    }

    /// Returns whether a connection is closed after a response: after a refusal while this process is
    /// not ready. The platform then sends new connections elsewhere, but open ones would stay.
    pub(super) fn sheds_connection<T>(&self, response: &Response<T>) -> bool {
        let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        refused && self.pool.borrow().states_speed() && !self.is_ready()
    }

    /// Begins a graceful stop.
    pub(super) fn stop(&self, stop: Stop) {
        self.stop.set(Some(stop));
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Returns the end of a graceful stop that has begun.
    pub(super) fn stop_end(&self) -> Option<Time> {
        self.stop.get().map(|stop| stop.end())
    }

    /// Returns whether a request of a route may begin that arrived at `arrived` at the earliest and
    /// must have ended at `latest`.
    pub(super) fn admits(&self, route: &Route, arrived: Time, latest: Time) -> bool {
        if self.is_closing() {
            return false;
        }
        self.stop.get().is_none_or(|stop| {
            let expected = self.expected_run(&route.name, usual_limit(route));
            stop.admits(self.clock.now(), arrived, latest, expected)
        })
    }

    /// Returns whether an attempt that begins now, for a request that must have ended at `latest`, is
    /// expected to end before this process does; `limit` is the time that it takes at most if no
    /// request of its route has ended so far.
    pub(super) fn can_finish(&self, route: &str, limit: Duration, latest: Time) -> bool {
        if self.is_closing() {
            return false;
        }
        self.stop.get().is_none_or(|stop| {
            let expected = self.expected_run(route, limit);
            stop.fits(self.clock.now(), latest, expected)
        })
    }

    /// Returns the time within which a request of a route is expected to end, or `limit` if none has
    /// ended so far.
    fn expected_run(&self, route: &str, limit: Duration) -> Duration {
        let expected = self.run_times.borrow().expected(id(route));
        expected.unwrap_or(limit)
    }

    /// Records how long a request of a route took from its arrival to the end of its answer.
    pub(super) fn observe_run(&self, route: &str, time: Duration) {
        self.run_times.borrow_mut().observe(id(route), time);
    }

    /// Ends every request that has not ended: one that is not at a target is refused.
    pub(super) fn close(&self) {
        self.open.borrow_mut().take();
        for sender in self.decisions.borrow().values() {
            // Fails only if the request's task has ended.
            let _ = sender.unbounded_send(Decision::Expire);
        }
    }

    pub(super) fn is_closing(&self) -> bool {
        self.open.borrow().is_none()
    }

    /// Waits until every request that has not ended is to be ended.
    pub(super) fn closed(&self) -> impl Future<Output = ()> + use<> {
        self.closed.clone().map(|_| ())
    }

    /// Asks the pool whether to refuse a request without queueing it; returns the cause and the
    /// time after which the caller should retry, or `None` if the request may be queued.
    pub(super) fn refuse_early(&self, spec: &RequestSpec) -> Option<(Refusal, Duration)> {
        let refused = self
            .pool
            .borrow_mut()
            .refuse_early(self.clock.now(), spec)?;
        self.metrics
            .count_outcome(&format!("refused-{}", refused.0));
        Some(refused)
    }

    /// Returns what decides the part of the engines that a request's account may use now.
    pub(super) fn standing(&self, spec: &RequestSpec) -> Standing {
        let mut pool = self.pool.borrow_mut();
        pool.standing(self.clock.now(), spec.service, spec.account)
    }

    /// Queues a request that was not refused early; returns its sequence number and the channel
    /// on which the pool's decisions about it arrive.
    pub(super) fn enqueue(&self, spec: RequestSpec) -> (Sequence, UnboundedReceiver<Decision>) {
        let (sender, receiver) = unbounded();
        let queued = self.pool.borrow_mut().enqueue(self.clock.now(), spec);
        let (sequence, outputs) = queued;
        self.decisions.borrow_mut().insert(sequence, sender);
        self.perform(outputs);
        (sequence, receiver)
    }

    /// Returns whether a request was placed at a cold target too long ago to be sent there now.
    pub(super) fn is_overdue(&self, sequence: Sequence) -> bool {
        self.pool.borrow().is_overdue(self.clock.now(), sequence)
    }

    /// Returns the current attempt of a request, if it has been sent.
    pub(super) fn attempt(&self, sequence: Sequence) -> Option<Attempt> {
        self.pool.borrow().attempt(sequence)
    }

    /// Reports to the pool that the first byte of a request's answer has arrived.
    pub(super) fn first_byte(&self, sequence: Sequence) {
        let outputs = self
            .pool
            .borrow_mut()
            .first_byte(self.clock.now(), sequence);
        self.perform(outputs);
    }

    /// Reports to the pool how many events of a stream were passed on to the caller.
    pub(super) fn count_events(&self, sequence: Sequence, count: u32) {
        self.pool
            .borrow_mut()
            .events(self.clock.now(), sequence, count);
    }

    /// Removes a request that has ended; `answered` tells the pool whether a target answered it
    /// successfully.
    pub(super) fn end(&self, sequence: Sequence, answered: bool) {
        self.decisions.borrow_mut().remove(&sequence);
        let now = self.clock.now();
        let outputs = self.pool.borrow_mut().end(now, sequence, answered);
        self.perform(outputs);
    }

    /// Reports a failed attempt to the pool, and queues the request again for another attempt if
    /// the returned decision allows it.
    pub(super) fn retry(&self, sequence: Sequence, fault: Fault) -> RetryDecision {
        let now = self.clock.now();
        let outputs = self.pool.borrow_mut().fail(now, sequence, fault);
        self.perform(outputs);
        let decision = self.pool.borrow_mut().decide_retry(now, sequence, fault);
        self.metrics.count_retry(&decision.verdict.to_string());
        if decision.is_allowed() {
            let outputs = self.pool.borrow_mut().requeue(now, sequence);
            self.perform(outputs);
        }
        decision
    }

    /// Does the periodic work: applies updates of the store, measures lag and memory, expires
    /// missing targets and runs the pool's timers.
    pub(super) fn tick(&self) {
        self.apply_updates();
        self.record_lag();
        self.record_memory();
        let lapsed = self.feed.borrow_mut().expire(self.clock.now());
        self.apply_changes(&lapsed);
        let outputs = self.pool.borrow_mut().tick(self.clock.now());
        self.perform(outputs);
    }

    /// Measures how late this tick runs; every other task of the event loop is as late.
    ///
    /// A late tick is reported to the pool, so that it doesn't count a target as silent whose
    /// answer this process has not read yet. The lag also decides whether the process is
    /// overloaded.
    fn record_lag(&self) {
        let now = self.clock.now();
        let due = self.last_tick.replace(now) + TICK_INTERVAL;
        let late = now.saturating_sub(due);
        self.tick_due.set(due);
        self.metrics.delay.set(late.as_millis() as i64);
        let (accepted, heads) = (self.accepted.take(), self.heads.take());
        if late >= LATE_TICK {
            self.pool.borrow_mut().start_grace(now, late);
            self.log_late_turn(now, late, accepted, heads);
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

    /// Logs what the event loop took in during a turn that ended late.
    #[cold]
    fn log_late_turn(&self, now: Time, late: Duration, accepted: u32, heads: u32) {
        if now < self.late_logged.get() + LATE_LOG_INTERVAL {
            return;
        }
        self.late_logged.set(now);
        log::info!(
            "event=late-turn delay_ms={} accepted={accepted} heads={heads} connections={} \
             requests={}",
            late.as_millis(),
            self.memory.connections(),
            self.pool.borrow().active(),
        );
    }

    /// Counts a connection that was accepted.
    pub(super) fn count_accepted(&self) {
        self.accepted.set(self.accepted.get() + 1);
        self.metrics.accepted.inc();
    }

    /// Counts a request whose head was read.
    pub(super) fn count_head(&self) {
        self.heads.set(self.heads.get() + 1);
    }

    /// Counts a connection that was closed for what its caller sent, or for others.
    #[cold]
    pub(super) fn count_closed(&self, cause: String) {
        self.metrics.count_closed(&cause);
        self.log_limit("caller-closed", cause);
    }

    /// Counts a request that was refused for its body.
    #[cold]
    pub(super) fn count_refused(&self, cause: &str) {
        self.metrics.count_outcome(cause);
        self.log_limit("body-refused", cause.to_owned());
    }

    /// Logs a limit that a caller has met, at most once per [`LIMIT_LOG_INTERVAL`] and cause.
    fn log_limit(&self, event: &str, cause: String) {
        let now = self.clock.now();
        let mut lines = self.limit_lines.borrow_mut();
        let line = lines.entry(cause.clone());
        let (due, count) = line.or_insert((Duration::ZERO, 0));
        *count += 1;
        if now < *due {
            return;
        }
        log::info!(
            "event={event} cause={cause} count={} connections={} held_kb={}",
            std::mem::take(count),
            self.memory.connections(),
            self.memory.reserved() >> 10,
        );
        *due = now + LIMIT_LOG_INTERVAL;
    }

    /// Measures how much memory this process takes, once per [`MEASURE_INTERVAL`].
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

    /// Finds out whether a target has crashed, after the connection of a request to it broke before
    /// the answer had begun. What the target was about to answer may be the cause.
    pub(super) async fn check_target(&self, sequence: Sequence) {
        // Operators stop what they have evacuated, which says nothing about the requests there.
        let target = self.pool.borrow().current_target(sequence);
        if target.is_some_and(|target| self.is_evacuated(target)) {
            return;
        }
        if let Some(parts) = self.pool.borrow().unanswered_parts(sequence) {
            log::info!("event=unanswered sequence={sequence} parts={parts}");
        }
        let broken = self
            .pool
            .borrow_mut()
            .record_break(self.clock.now(), sequence);
        let listing = broken.and_then(|target| Some((target, self.target(target)?)));
        let Some((target, listing)) = listing else {
            return self.log_quarantine();
        };
        let probe = self.connections_to(listing.address).probe().await;
        match probe {
            Probe::Refused => {
                if let Some(crash) = self.pool.borrow().new_crash(target) {
                    let name = &listing.name;
                    log::warn!("event=target-crashed target={name} crash={crash:08x}");
                }
                let now = self.clock.now();
                let outputs = self.pool.borrow_mut().target_crashed(now, target);
                self.perform(outputs);
            }
            Probe::Connected => self.pool.borrow_mut().target_alive(target),
            Probe::Unknown => {}
        }
    }

    /// Returns the quarantined part of a request's prompt, if it has one.
    pub(super) fn quarantined_part(&self, sequence: Sequence) -> Option<Part> {
        let now = self.clock.now();
        self.pool.borrow().quarantined_part(now, sequence)
    }

    /// Logs the prompt parts that were quarantined or released.
    fn log_quarantine(&self) {
        let changes = self.pool.borrow_mut().take_quarantine_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            log::warn!("{change}");
        }
        let quarantined = self.pool.borrow().quarantined();
        self.metrics.quarantined.set(quarantined as i64);
    }

    /// Logs the slow starts of targets that began or ended.
    fn log_slow_starts(&self) {
        let changes = self.pool.borrow_mut().take_pace_changes();
        let name = |target| match self.target(target) {
            Some(listing) => listing.name,
            None => format!("{target:08x}"),
        };
        for change in changes {
            match change {
                PaceChange::Begun { target, cause } => {
                    log::info!("event=slow-start target={} cause={cause}", name(target));
                }
                PaceChange::Ended {
                    target,
                    answers,
                    took,
                } => log::info!(
                    "event=slow-start-ended target={} answers={answers} took_ms={}",
                    name(target),
                    took.as_millis()
                ),
            }
        }
    }

    /// Returns the earliest time at which input that is read now can have arrived, given that its
    /// queue was last found empty at `emptied`. For a process that is not late, this is the current
    /// time, because it reads input as it arrives.
    ///
    /// Tasks run in the order in which they become ready, so a task that runs after a tick became
    /// ready after that tick was due.
    pub(super) fn earliest_arrival(&self, emptied: Time) -> Time {
        let now = self.clock.now();
        let earliest = emptied.max(self.tick_due.get());
        match now.saturating_sub(earliest) < LATE_TICK {
            true => now,
            false => earliest,
        }
    }

    /// Logs the pool's decisions and sends each to the task of its request.
    pub(super) fn perform(&self, outputs: Vec<Output>) {
        self.log_quarantine();
        self.log_cold();
        self.log_slow_starts();
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
                Output::Keep { .. } => {
                    self.metrics
                        .count_retry(&RetryVerdict::OverBudget.to_string());
                    continue;
                }
                Output::Expire { sequence } => (sequence, Decision::Expire),
            };
            if let Some(sender) = self.decisions.borrow().get(&sequence) {
                // Fails only if the request's task has ended, which logs its own outcome.
                let _ = sender.unbounded_send(decision);
            }
        }
    }
}

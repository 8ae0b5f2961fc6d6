//! The state of a pool and the life cycle of its requests.

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
    Arrival,
    Attempt,
    Fairness,
    Headroom,
    LatencyModel,
    Ledger,
    Output,
    PaceCause,
    Quarantine,
    Queue,
    RequestSpec,
    Settings,
    TargetSpec,
    Warmup,
    exchange::LastReport,
    member::{
        Claim,
        Member, //
    },
    place::Candidate,
    quarantine::suspects,
    slow_start::SlowStarts,
    throttle::Supply,
    timer::SILENCE_OBJECTIVES, //
};
use crate::{
    ids::{
        Account,
        Part,
        Sequence,
        Service,
        Target,
        Time,
        Usage, //
    },
    mesh::Source,
    router::RetryBudget, //
};

/// The work that is charged for a request without a prompt, whose size is not known in advance.
const PLAIN_WORK: u64 = 1_000;

/// The time for which a comparison of accounts is used: a small fraction of the shortest objective.
/// A flood of refused requests must not pay for it each time.
const FAIRNESS_TTL: Duration = Duration::from_millis(20);

/// The events of a stream after which its target has shown that it can answer the request.
const SOUND_EVENTS: u32 = 2;

/// The stage of a request that has not ended.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// The request waits in the queue of its service.
    Waiting,
    /// The request was sent to a target.
    InFlight {
        target: Target,
        claim: Claim,
        since: Time,
        /// The expected time to the first byte.
        expected: Duration,
        /// The percentage of its model's time that the target was expected to take.
        slowdown: u32,
        /// Whether the first byte of the answer has arrived.
        read: bool,
    },
    /// The attempt has failed, and neither [`Pool::requeue`] nor [`Pool::end`] has been called
    /// since.
    Idle,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) spec: RequestSpec,
    pub(super) arrived: Time,
    pub(super) stage: Stage,
    /// The failed attempts in which a connection to the target's address was made.
    pub(super) reached: u32,
    /// The failed attempts in which the target could not be reached.
    pub(super) unreached: u32,
    /// The targets at which an attempt has failed.
    pub(super) tried: Vec<Target>,
    /// The home engines of the prompt in order of rank; see [`Pool::rank_homes`].
    pub(super) homes: Vec<Target>,
    /// The usage that was charged to the account for the current attempt.
    pub(super) charged: Usage,
    /// When the current answer began.
    pub(super) begun: Option<Time>,
    /// The events of the answer's stream that were passed on.
    pub(super) events: u32,
    /// When [`Pool::tick`] has to look at the request next.
    pub(super) timer: Time,
    /// Whether the next retry is charged to the retry budget already.
    pub(super) prepaid: bool,
}

impl Request {
    /// Returns whether the answer has gone on for long enough to show that the request does not
    /// crash its target.
    pub(super) fn is_sound(&self) -> bool {
        self.events >= SOUND_EVENTS
    }

    /// Returns the parts of the prompt that may be suspects.
    pub(super) fn suspects(&self) -> impl Iterator<Item = Part> {
        suspects(self.spec.prompt.as_ref())
    }
}

/// The queue, the usage, the retry budget and the targets of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    /// Whether capacity may have become free since the last dispatch of the whole queue.
    pub(super) dispatch_due: bool,
    /// When the whole queue was last dispatched.
    pub(super) last_dispatch: Option<Time>,
    pub(super) queue: Queue,
    pub(super) ledger: Ledger,
    /// What engines can take beyond the stated rate; none before the first prompt.
    pub(super) headroom: Option<Headroom>,
    /// Whether targets state how fast they work, which enables the use of spare capacity.
    pub(super) stated: bool,
    /// Whether engines have room for any account, and when that was found.
    pub(super) spare: Option<(Time, bool)>,
    /// The comparison of accounts by the ledger, and when it was made.
    fairness: Option<(Time, Rc<Fairness>)>,
    pub(super) budget: RetryBudget,
    /// The time to the first byte of the engines that state their speed.
    pub(super) latency: LatencyModel,
    pub(super) members: Vec<Target>,
}

impl ServiceState {
    /// Returns the comparison of accounts.
    pub(super) fn fairness(&mut self, now: Time, supply: Supply) -> Rc<Fairness> {
        if let Some((at, fairness)) = &self.fairness
            && now < *at + FAIRNESS_TTL
        {
            return fairness.clone();
        }
        let fairness = Rc::new(Fairness::new(
            &self.ledger,
            now,
            supply,
            self.headroom.as_ref(),
        ));
        self.fairness = Some((now, fairness.clone()));
        fairness
    }

    /// Discards the comparison of accounts, as it would now be different.
    pub(super) fn discard_fairness(&mut self) {
        self.fairness = None;
    }
}

/// The queues and targets of one gateway, and the decisions about its requests.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(super) settings: Settings,
    pub(super) services: BTreeMap<Service, ServiceState>,
    pub(super) members: BTreeMap<Target, Member>,
    pub(super) requests: HashMap<Sequence, Request>,
    pub(super) shares: HashMap<Account, u32>,
    /// The tokens that all engines together produce in a second, where that is known.
    pub(super) rate: Option<u64>,
    pub(super) outputs: Vec<Output>,
    /// The number of routers that send to the same targets, including this one.
    pub(super) routers: usize,
    /// The largest number of routers that was known.
    pub(super) fleet: usize,
    /// When another router was known first.
    pub(super) joined: Option<Time>,
    /// Rounds this router's part of the reserve of retries, from 0 to 1.
    pub(super) draw: f64,
    /// The last report of each source.
    pub(super) sources: BTreeMap<Source, LastReport>,
    /// The timers of all requests, the earliest first.
    pub(super) timers: BTreeSet<(Time, Sequence)>,
    /// The end of the grace period in which a missing answer is not counted as the target's
    /// failure; see [`Pool::start_grace`].
    pub(super) grace_end: Time,
    pub(super) quarantine: Quarantine,
    pub(super) warmup: Warmup,
    pub(super) slow_starts: SlowStarts,
    /// Whether a list with targets was set.
    listed: bool,
    /// The sequence number of the newest request.
    last: Sequence,
    pub(super) rng: fastrand::Rng,
}

impl Pool {
    /// Creates a pool without targets.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(settings.seed),
            services: BTreeMap::new(),
            members: BTreeMap::new(),
            requests: HashMap::new(),
            shares: HashMap::new(),
            rate: None,
            outputs: Vec::new(),
            routers: 1,
            fleet: 1,
            joined: None,
            draw: fastrand::Rng::with_seed(settings.seed).f64(),
            sources: BTreeMap::new(),
            timers: BTreeSet::new(),
            grace_end: Duration::ZERO,
            quarantine: Quarantine::new(settings.parts.clone()),
            warmup: Warmup::default(),
            slow_starts: SlowStarts::default(),
            listed: false,
            last: 0,
            settings,
        }
    }

    /// Sets the accounts' shares and the tokens that all engines together produce in a second,
    /// where that is known. An account that is not listed has a share of 1.
    pub fn set_shares(&mut self, shares: HashMap<Account, u32>, rate: Option<u64>) {
        self.shares = shares;
        self.rate = rate;
    }

    /// Replaces the targets that requests may be sent to.
    pub fn set_targets(&mut self, now: Time, specs: Vec<TargetSpec>) -> Vec<Output> {
        let mut listed = BTreeMap::new();
        for (service, state) in &mut self.services {
            listed.insert(*service, std::mem::take(&mut state.members));
        }
        let first = self.members.is_empty() && !self.warmup.has_list();
        self.warmup.begin_list(!specs.is_empty());
        let is_first = !self.listed;
        self.listed |= !specs.is_empty();
        let mut started = Vec::new();
        for spec in specs {
            let known = self.members.get(&spec.target).map(|known| known.spec.born);
            let arrival = match known {
                None if first => Arrival::First,
                None => Arrival::Joined,
                Some(born) if born != spec.born => Arrival::Restarted,
                Some(_) => Arrival::Known,
            };
            self.warmup
                .list(now, spec.target, spec.cold, spec.stated, arrival);
            self.service_mut(spec.service).members.push(spec.target);
            match self.members.get_mut(&spec.target) {
                Some(member) => {
                    if spec.born != member.spec.born {
                        started.push((spec.target, PaceCause::Restarted));
                    }
                    member.update(spec);
                }
                None => {
                    if !is_first {
                        started.push((spec.target, PaceCause::Joined));
                    }
                    let mut member = Member::new(spec);
                    member.set_cache_share(self.routers);
                    self.members.insert(member.spec.target, member);
                }
            }
        }
        self.warmup.end_list(now);
        for (target, cause) in started {
            self.begin_slow_start(now, target, cause, now);
        }
        let known = &self.services;
        self.members.retain(|target, member| {
            let listed = |state: &ServiceState| state.members.contains(target);
            member.own.running > 0 || known.get(&member.spec.service).is_some_and(listed)
        });
        let is_changed = |service| {
            let state = self.services.get(&service);
            listed.get(&service) != state.map(|state| &state.members)
        };
        let requests = self.requests.iter();
        let affected = requests.filter(|(_, request)| is_changed(request.spec.service));
        let homes = affected.map(|(sequence, request)| (*sequence, self.rank_homes(&request.spec)));
        for (sequence, homes) in homes.collect::<Vec<_>>() {
            if let Some(request) = self.requests.get_mut(&sequence) {
                request.homes = homes;
            }
        }
        let services: Vec<_> = self.services.keys().copied().collect();
        for service in services {
            self.dispatch(now, service);
        }
        self.take_outputs()
    }

    /// Returns the state of a service, which is created on first use.
    pub(super) fn service_mut(&mut self, service: Service) -> &mut ServiceState {
        let limits = self.settings.retry;
        self.services
            .entry(service)
            .or_insert_with(|| ServiceState {
                dispatch_due: false,
                last_dispatch: None,
                queue: Queue::default(),
                ledger: Ledger::default(),
                headroom: None,
                stated: false,
                spare: None,
                fairness: None,
                budget: RetryBudget::new(limits),
                latency: LatencyModel::default(),
                members: Vec::new(),
            })
    }

    /// Queues or refuses a new request and returns its sequence number, which identifies it in all
    /// later calls and outputs.
    pub fn arrive(&mut self, now: Time, spec: RequestSpec) -> (Sequence, Vec<Output>) {
        let expected = self.expected(now, &spec);
        let max_wait = super::place::max_wait(&spec);
        let quarantined = self.quarantine_cause(now, &spec);
        let cause = quarantined.or_else(|| self.refusal_cause(spec.service, max_wait, expected));
        match cause {
            Some(cause) => {
                let sequence = self.register(now, spec);
                self.refuse(now, sequence, cause);
                (sequence, self.take_outputs())
            }
            None => self.enqueue(now, spec),
        }
    }

    /// Queues a new request without the admission check of [`Pool::arrive`], for callers that have
    /// just called [`Pool::refuse_early`].
    pub fn enqueue(&mut self, now: Time, spec: RequestSpec) -> (Sequence, Vec<Output>) {
        let max_wait = super::place::max_wait(&spec);
        let (service, account) = (spec.service, spec.account);
        let sequence = self.register(now, spec);
        self.service_mut(service).queue.push(account, sequence);
        self.set_timer(sequence, now + max_wait);
        self.dispatch_arrival(now, service, account);
        self.count_held(now, sequence);
        (sequence, self.take_outputs())
    }

    /// Assigns a sequence number to a request, adds its work to the account's demand and earns
    /// retry budget for it.
    fn register(&mut self, now: Time, spec: RequestSpec) -> Sequence {
        self.last += 1;
        let sequence = self.last;
        let work = self.work_of(&spec);
        let homes = self.rank_homes(&spec);
        let state = self.service_mut(spec.service);
        state.ledger.add_demand(now, spec.account, work);
        state.budget.earn(now);
        let request = Request {
            homes,
            begun: None,
            spec,
            arrived: now,
            stage: Stage::Waiting,
            reached: 0,
            unreached: 0,
            tried: Vec::new(),
            charged: 0,
            events: 0,
            timer: Duration::ZERO,
            prepaid: false,
        };
        self.requests.insert(sequence, request);
        sequence
    }

    /// Records that the first byte of an answer has arrived.
    pub fn first_byte(&mut self, now: Time, sequence: Sequence) -> Vec<Output> {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Vec::new();
        };
        let Stage::InFlight {
            target,
            claim,
            since,
            read,
            ..
        } = &mut request.stage
        else {
            return Vec::new();
        };
        let is_first = !std::mem::replace(read, true);
        let (target, sent) = (*target, *since);
        request.begun = Some(now);
        let left = request.spec.deadline.saturating_sub(now);
        if let Some(member) = self.members.get_mut(&target) {
            if request.spec.prompt.is_some() {
                let time = now.saturating_sub(sent);
                if let Some(state) = self.services.get_mut(&request.spec.service) {
                    member.observe_first_byte(now, &mut state.latency, claim.ahead, time);
                }
                member.concurrency.record_budget(left);
            }
            member.finish_prefill(claim);
            member.unanswered.crashed = false;
        }
        self.warmup.record_reached(now, target, sent);
        let (service, deadline) = (request.spec.service, request.spec.latest_deadline());
        // The wait in the queue is not the target's.
        let timely = now <= sent + request.spec.objective;
        if request.spec.prompt.is_some() {
            let late = now > request.arrived + request.spec.objective;
            let headroom = &mut self.service_mut(service).headroom;
            headroom.get_or_insert_default().record(now, late);
        }
        if is_first {
            self.pace_answer(now, target, sent, timely);
        }
        self.set_timer(sequence, deadline);
        self.dispatch_soon(now, service);
        self.take_outputs()
    }

    /// Records further events of a stream.
    pub fn events(&mut self, now: Time, sequence: Sequence, count: u32) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let sound = request.is_sound();
        request.events += count;
        if !sound && request.is_sound() {
            let began = request.begun.unwrap_or(now);
            let parts: Vec<_> = request.suspects().collect();
            self.record_sound(now, sequence, began, parts);
        }
        let request = &self.requests[&sequence];
        if let Stage::InFlight { target, .. } = request.stage
            && let Some(member) = self.members.get_mut(&target)
        {
            member.concurrency.record_events(count);
        }
    }

    /// Ends a request: `answered` says whether the answer is complete, without a server error.
    pub fn end(&mut self, now: Time, sequence: Sequence, answered: bool) -> Vec<Output> {
        let Some(request) = self.remove(sequence) else {
            return Vec::new();
        };
        self.quarantine.end_trial(sequence);
        if answered && !request.is_sound() {
            let began = request.begun.unwrap_or(now);
            self.record_sound(now, sequence, began, request.suspects());
        }
        if let Stage::InFlight { target, claim, .. } = request.stage
            && let Some(member) = self.members.get_mut(&target)
        {
            member.release(claim);
            if answered {
                member.health.record_success();
                member.concurrency.record_length(request.events);
            }
        }
        self.dispatch(now, request.spec.service);
        self.take_outputs()
    }

    /// Returns the current attempt of a request, if it has been sent.
    pub fn attempt(&self, sequence: Sequence) -> Option<Attempt> {
        let Stage::InFlight {
            target,
            since,
            expected,
            slowdown,
            ..
        } = self.requests.get(&sequence)?.stage
        else {
            return None;
        };
        Some(Attempt {
            sent: since,
            expected,
            load: self.load(target)?,
            slowdown,
        })
    }

    /// Returns the account of a request that has not ended.
    pub fn account(&self, sequence: Sequence) -> Option<Account> {
        let request = self.requests.get(&sequence)?;
        Some(request.spec.account)
    }

    /// Returns the number of requests that have not ended.
    pub fn active(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of waiting requests of each service.
    pub fn waiting(&self) -> impl Iterator<Item = (Service, usize)> {
        let services = self.services.iter();
        services.map(|(service, state)| (*service, state.queue.len()))
    }

    /// Removes a request, its timer and its entry in the queue.
    pub(super) fn remove(&mut self, sequence: Sequence) -> Option<Request> {
        let request = self.requests.remove(&sequence)?;
        self.timers.remove(&(request.timer, sequence));
        if matches!(request.stage, Stage::Waiting)
            && let Some(state) = self.services.get_mut(&request.spec.service)
        {
            state.queue.remove(request.spec.account, sequence);
        }
        Some(request)
    }

    /// Sends a request to the chosen target: charges its account and reserves its share of the
    /// target's load.
    pub(super) fn send(&mut self, now: Time, sequence: Sequence, candidate: Candidate) {
        let Candidate {
            target,
            first_byte,
            unread_tokens,
            rank,
            trial,
            standing,
            view,
            ..
        } = candidate;
        let spec = &self.requests[&sequence].spec;
        let (service, account) = (spec.service, spec.account);
        let silent_at = now + spec.objective * SILENCE_OBJECTIVES;
        let timer = silent_at.min(spec.latest_deadline());
        let work = self.work(sequence);
        let state = self.service_mut(service);
        state.queue.remove(account, sequence);
        state.queue.record_departure(now);
        let charged = state.ledger.charge(now, account, work);
        let request = self
            .requests
            .get_mut(&sequence)
            .expect("a request that is sent has not ended");
        let member = self
            .members
            .get_mut(&target)
            .expect("a chosen target is a member of the pool");
        let claim = member.claim(request.spec.prompt.as_ref(), unread_tokens);
        request.charged = charged;
        request.stage = Stage::InFlight {
            target,
            claim,
            since: now,
            expected: first_byte,
            slowdown: view.slowdown,
            read: false,
        };
        let waited = now.saturating_sub(request.arrived);
        self.warmup.record_send(now, target);
        self.set_timer(sequence, timer);
        if let Some(part) = trial {
            self.quarantine.begin_trial(part, sequence);
        }
        self.outputs.push(Output::Send {
            sequence,
            target,
            waited,
            expected: first_byte,
            unread_tokens,
            rank,
            standing,
            view: self.with_report_age(now, view),
        });
    }

    /// Returns the work that is charged for a registered request, divided by its account's share.
    pub(super) fn work(&self, sequence: Sequence) -> u64 {
        self.work_of(&self.requests[&sequence].spec)
    }

    /// Returns what [`Pool::work`] does, for a request that is not yet registered.
    pub(super) fn work_of(&self, spec: &RequestSpec) -> u64 {
        let share = self.shares.get(&spec.account).copied().unwrap_or(1);
        let work = spec
            .prompt
            .as_ref()
            .map_or(PLAIN_WORK, |prompt| prompt.work());
        work / u64::from(share.max(1))
    }

    /// Returns what all accounts together can receive.
    pub(super) fn supply(&mut self, now: Time, service: Service) -> Supply {
        Supply {
            rate: self.rate,
            routers: self.routers,
            spare: self.spare(now, service),
        }
    }

    /// Returns the decisions since the last call.
    pub(super) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }
}

//! The state machine of the pool.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use derive_more::Display;

use super::{
    Ask,
    Ledger,
    Load,
    Queue,
    member::{
        Claim,
        Member, //
    },
    place::Choice, //
};
use crate::{
    ids::{
        Account,
        Router,
        Sequence,
        Service,
        Target,
        Time, //
    },
    router::Budget,
    wire::Tally, //
};

/// The time for which another router's load is believed.
const PEER_LIFE: Duration = Duration::from_millis(1_000);

/// The attempts that may fail before they reach a target, beside those that may run.
const MAX_MISSES: u32 = 3;

/// The part of the objective after which a target that says nothing is taken to hang, times.
const HANG_OBJECTIVES: u32 = 4;

/// The shortest time that a caller is told to wait.
const MIN_RETRY: Duration = Duration::from_millis(300);

/// The part of the caller's time that it is told to wait at most; callers give up on more.
const RETRY_PART: f64 = 0.3;

/// What a plain request is charged to its account: it has no size that is known before.
const PLAIN_WORK: u64 = 1_000;

/// The settings of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The failure domain of this router.
    pub domain: String,
    /// Whether requests go to the least busy target in order of arrival, for comparison.
    pub baseline: bool,
    /// The retries that may be saved up for each service.
    pub retries: u32,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            domain: String::new(),
            baseline: false,
            retries: 10,
            seed: 0,
        }
    }
}

/// A place where requests can be sent, as the feed of targets tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seat {
    /// The target.
    pub target: Target,
    /// The target's service.
    pub service: Service,
    /// The failure domain.
    pub domain: String,
    /// The requests that it serves at a time.
    pub slots: u32,
    /// The tokens that its memory holds, or zero for a plain target.
    pub memory: u64,
    /// Distinguishes its starts.
    pub born: u64,
}

data! {
    /// What a router has given to the accounts of a service lately.
    #[derive(Default)]
    pub struct Standing {
        /// The service.
        pub service: Service,
        /// Service given, by account; it fades with time.
        pub given: Vec<Tally>,
        /// Service asked for, by account; it fades with time.
        pub asked: Vec<Tally>,
        /// The accounts that were refused lately.
        pub refused: Vec<Account>,
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// The target could not be reached, so it has not run.
    #[display("unreachable")]
    Unreachable,
    /// The target said that it did not run it.
    #[display("refused")]
    Refused,
    /// Another target has the address, and did not run it.
    #[display("moved")]
    Moved,
    /// The connection broke or stayed silent; it may have run.
    #[display("lost")]
    Lost,
    /// The target answered with a failure of its own.
    #[display("error")]
    Error,
}

impl Fault {
    /// Returns whether the request certainly has not run.
    pub fn is_unrun(self) -> bool {
        matches!(self, Fault::Unreachable | Fault::Refused | Fault::Moved)
    }
}

/// Why a request is refused; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// It would wait longer than it may.
    #[display("overload")]
    Overload,
    /// It has waited as long as it may.
    #[display("waited")]
    Waited,
    /// No target of the service is known.
    #[display("no-target")]
    NoTarget,
    /// Every attempt that it may make has failed.
    #[display("attempts")]
    Attempts,
}

/// What a pool wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request to a target.
    Send {
        /// The request.
        sequence: Sequence,
        /// The target.
        target: Target,
        /// The time that it waited.
        waited: Duration,
        /// The expected time to the first byte.
        expected: Duration,
        /// The prompt tokens that the target is expected to read.
        unread: u64,
        /// The target's rank among the homes of the prompt's shared part.
        rank: Option<usize>,
    },
    /// Refuse a request, which has not run.
    Refuse {
        /// The request.
        sequence: Sequence,
        /// Why.
        cause: Refusal,
        /// When it can be served.
        retry: Duration,
    },
    /// Give up the present attempt and report it as lost.
    Abandon {
        /// The request.
        sequence: Sequence,
    },
    /// End a request whose time is over.
    Expire {
        /// The request.
        sequence: Sequence,
    },
}

#[derive(Clone, Debug)]
pub(super) enum Stage {
    Waiting,
    Flying {
        target: Target,
        claim: Claim,
        since: Time,
        read: bool,
    },
    /// The attempt has failed, and the shell has not yet said what follows.
    Idle,
}

#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) ask: Ask,
    pub(super) arrived: Time,
    pub(super) stage: Stage,
    pub(super) sends: u32,
    pub(super) misses: u32,
    pub(super) tried: Vec<Target>,
    events: u32,
    wake: Time,
}

/// What belongs to one service.
#[derive(Clone, Debug)]
pub(super) struct Lane {
    pub(super) queue: Queue,
    pub(super) ledger: Ledger,
    pub(super) budget: Budget,
    pub(super) members: BTreeSet<Target>,
}

/// The decisions of one router about targets that it sends to itself.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(super) settings: Settings,
    pub(super) lanes: BTreeMap<Service, Lane>,
    pub(super) members: BTreeMap<Target, Member>,
    pub(super) requests: HashMap<Sequence, Request>,
    pub(super) shares: HashMap<Account, u32>,
    pub(super) rate: Option<u64>,
    pub(super) outs: Vec<Output>,
    pub(super) routers: BTreeMap<Router, Time>,
    timers: BTreeSet<(Time, Sequence)>,
    last: Sequence,
    rng: fastrand::Rng,
}

impl Pool {
    /// Creates a pool without targets.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(settings.seed),
            settings,
            lanes: BTreeMap::new(),
            members: BTreeMap::new(),
            requests: HashMap::new(),
            shares: HashMap::new(),
            rate: None,
            outs: Vec::new(),
            routers: BTreeMap::new(),
            timers: BTreeSet::new(),
            last: 0,
        }
    }

    /// Sets the accounts' shares, of which an account without one has one, and the tokens
    /// that all engines together produce in a second, where that is known.
    pub fn set_shares(&mut self, shares: HashMap<Account, u32>, rate: Option<u64>) {
        self.shares = shares;
        self.rate = rate;
    }

    /// Takes in the targets that may get requests from now on; no other one gets any.
    pub fn seats(&mut self, now: Time, seats: Vec<Seat>) -> Vec<Output> {
        for lane in self.lanes.values_mut() {
            lane.members.clear();
        }
        for seat in seats {
            self.lane(seat.service).members.insert(seat.target);
            match self.members.get_mut(&seat.target) {
                Some(member) => member.update(seat),
                None => {
                    self.members.insert(seat.target, Member::new(seat));
                }
            }
        }
        let lanes = &self.lanes;
        self.members.retain(|target, member| {
            let seated = |lane: &Lane| lane.members.contains(target);
            member.own.running > 0 || lanes.get(&member.seat.service).is_some_and(seated)
        });
        let services: Vec<_> = self.lanes.keys().copied().collect();
        for service in services {
            self.pump(now, service);
        }
        self.take()
    }

    pub(super) fn lane(&mut self, service: Service) -> &mut Lane {
        let retries = self.settings.retries;
        self.lanes.entry(service).or_insert_with(|| Lane {
            queue: Queue::default(),
            ledger: Ledger::default(),
            budget: Budget::new(retries),
            members: BTreeSet::new(),
        })
    }

    /// Takes in a request; its number stands in all that follows.
    pub fn arrive(&mut self, now: Time, ask: Ask) -> (Sequence, Vec<Output>) {
        self.last += 1;
        let sequence = self.last;
        let hold = self.hold(&ask);
        let (service, account) = (ask.service, ask.account);
        let request = Request {
            ask,
            arrived: now,
            stage: Stage::Waiting,
            sends: 0,
            misses: 0,
            tried: Vec::new(),
            events: 0,
            wake: Duration::ZERO,
        };
        self.requests.insert(sequence, request);
        let work = self.work(sequence);
        let lane = self.lane(service);
        lane.ledger.ask(now, account, work);
        lane.budget.earn();
        if lane.members.is_empty() {
            self.refuse(now, sequence, Refusal::NoTarget);
        } else if lane.queue.wait(account) > hold {
            self.refuse(now, sequence, Refusal::Overload);
        } else {
            lane.queue.push(account, sequence);
            self.wake_at(sequence, now + hold);
            self.pump(now, service);
        }
        (sequence, self.take())
    }

    /// Returns how long a request may wait here.
    fn hold(&self, ask: &Ask) -> Duration {
        ask.objective.mul_f64(super::place::HOLD_PART)
    }

    /// Notes that the first byte of an answer has arrived.
    pub fn first(&mut self, now: Time, sequence: Sequence) -> Vec<Output> {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Vec::new();
        };
        let Stage::Flying {
            target,
            claim,
            since,
            read,
        } = &mut request.stage
        else {
            return Vec::new();
        };
        *read = true;
        let left = request.ask.deadline.saturating_sub(now);
        if let Some(member) = self.members.get_mut(target) {
            if request.ask.prompt.is_some() {
                let time = now.saturating_sub(*since);
                member.pace.observe(claim.ahead, time);
                member.batch.allow(left);
            }
            member.read(claim);
        }
        let (service, deadline) = (request.ask.service, request.ask.deadline);
        self.wake_at(sequence, deadline);
        self.pump(now, service);
        self.take()
    }

    /// Notes further events of a stream.
    pub fn events(&mut self, sequence: Sequence, count: u32) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.events += count;
        if let Stage::Flying { target, .. } = request.stage
            && let Some(member) = self.members.get_mut(&target)
        {
            member.batch.count(count);
        }
    }

    /// Ends a request that has been answered whole, or whose caller has gone.
    pub fn end(&mut self, now: Time, sequence: Sequence, answered: bool) -> Vec<Output> {
        let Some(request) = self.remove(sequence) else {
            return Vec::new();
        };
        if let Stage::Flying { target, claim, .. } = request.stage
            && let Some(member) = self.members.get_mut(&target)
        {
            member.release(claim);
            if answered {
                member.health.succeed();
                member.batch.finish(request.events);
            }
        }
        self.pump(now, request.ask.service);
        self.take()
    }

    /// Notes that an attempt has failed; the request stays until [`Pool::again`] or
    /// [`Pool::end`].
    pub fn fail(&mut self, now: Time, sequence: Sequence, fault: Fault) -> Vec<Output> {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Vec::new();
        };
        let stage = std::mem::replace(&mut request.stage, Stage::Idle);
        let Stage::Flying { target, claim, .. } = stage else {
            request.stage = stage;
            return Vec::new();
        };
        request.tried.push(target);
        match fault {
            Fault::Unreachable => request.misses += 1,
            _ => request.sends += 1,
        }
        let (service, account) = (request.ask.service, request.ask.account);
        let work = self.work(sequence);
        if let Some(member) = self.members.get_mut(&target) {
            member.release(claim);
            match fault {
                Fault::Unreachable | Fault::Moved => member.health.miss(now),
                Fault::Lost | Fault::Error | Fault::Refused => member.health.fail(),
            }
        }
        if fault.is_unrun() {
            self.lane(service).ledger.refund(now, account, work);
        }
        self.pump(now, service);
        self.take()
    }

    /// Returns whether a request whose attempt has failed may be tried again.
    ///
    /// This takes one retry out of the service's budget, unless the attempt never reached a
    /// target.
    pub fn may_repeat(&mut self, sequence: Sequence, fault: Fault) -> bool {
        let Some(request) = self.requests.get(&sequence) else {
            return false;
        };
        let ask = &request.ask;
        let safe = fault.is_unrun() || ask.idempotent;
        let left = match fault {
            Fault::Unreachable => request.misses <= MAX_MISSES,
            // A refusal is no run, so one more target than the attempts may be asked.
            Fault::Refused | Fault::Moved => request.sends <= ask.attempts,
            Fault::Lost | Fault::Error => request.sends < ask.attempts,
        };
        let service = ask.service;
        let others = self.has_untried(sequence);
        safe && left && others && (fault == Fault::Unreachable || self.lane(service).budget.spend())
    }

    fn has_untried(&self, sequence: Sequence) -> bool {
        let request = &self.requests[&sequence];
        let lane = self.lanes.get(&request.ask.service);
        let fresh = |target: &Target| !request.tried.contains(target);
        lane.is_some_and(|lane| lane.members.iter().any(fresh))
    }

    /// Queues a request again whose attempt has failed, ahead of its account's others.
    pub fn again(&mut self, now: Time, sequence: Sequence) -> Vec<Output> {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Vec::new();
        };
        request.stage = Stage::Waiting;
        let (service, account) = (request.ask.service, request.ask.account);
        let hold = request.ask.objective.mul_f64(super::place::HOLD_PART);
        self.lane(service).queue.push_front(account, sequence);
        self.wake_at(sequence, now + hold);
        self.pump(now, service);
        self.take()
    }

    /// Notes that the caller has gone.
    pub fn gone(&mut self, now: Time, sequence: Sequence) -> Vec<Output> {
        self.end(now, sequence, false)
    }

    /// Takes in what another router has at the targets and has given to accounts.
    pub fn peer(&mut self, now: Time, router: Router, loads: &[Load], standings: &[Standing]) {
        self.routers.insert(router, now);
        let routers = self.routers.len() + 1;
        for member in self.members.values_mut() {
            member.peers.remove(&router);
            member.share_memory(routers);
        }
        for load in loads {
            if let Some(member) = self.members.get_mut(&load.target) {
                member.peers.insert(router, (*load, now));
            }
        }
        for standing in standings {
            let ledger = &mut self.lane(standing.service).ledger;
            ledger.merge(now, router, standing);
        }
    }

    /// Returns what this router has at the targets.
    pub fn loads(&self) -> Vec<Load> {
        let busy = |member: &&Member| member.own.running > 0;
        let members = self.members.values().filter(busy);
        members.map(|member| member.own).collect()
    }

    /// Returns what this router has given to accounts lately, and what they asked for.
    pub fn standings(&self, now: Time) -> Vec<Standing> {
        let standing = |(service, lane): (&Service, &Lane)| Standing {
            service: *service,
            given: lane.ledger.given(now),
            asked: lane.ledger.asked(now),
            refused: lane.ledger.refused(now),
        };
        self.lanes.iter().map(standing).collect()
    }

    /// Returns the account of a request that has not ended.
    pub fn account(&self, sequence: Sequence) -> Option<Account> {
        let request = self.requests.get(&sequence)?;
        Some(request.ask.account)
    }

    /// Returns the requests that have not ended.
    pub fn active(&self) -> usize {
        self.requests.len()
    }

    /// Returns the requests that wait, by service.
    pub fn waiting(&self) -> impl Iterator<Item = (Service, usize)> {
        let lanes = self.lanes.iter();
        lanes.map(|(service, lane)| (*service, lane.queue.len()))
    }

    /// Lets time pass: refuses what has waited too long and ends what has run too long.
    pub fn tick(&mut self, now: Time) -> Vec<Output> {
        while let Some((at, sequence)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, sequence));
            self.wake(now, sequence);
        }
        for member in self.members.values_mut() {
            member
                .peers
                .retain(|_, (_, heard)| now < *heard + PEER_LIFE);
        }
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.queue.is_empty());
        let services: Vec<_> = waiting.map(|(service, _)| *service).collect();
        for service in services {
            self.pump(now, service);
        }
        self.take()
    }

    fn wake(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let deadline = request.ask.deadline;
        match &request.stage {
            Stage::Waiting if request.sends > 0 => self.refuse(now, sequence, Refusal::Attempts),
            Stage::Waiting => self.refuse(now, sequence, Refusal::Waited),
            _ if now >= deadline => self.outs.push(Output::Expire { sequence }),
            Stage::Flying { read: false, .. } => {
                self.hang(sequence);
                self.wake_at(sequence, deadline);
            }
            _ => self.wake_at(sequence, deadline),
        }
    }

    /// Deals with a target that has said nothing for long.
    fn hang(&mut self, sequence: Sequence) {
        let request = &self.requests[&sequence];
        let Stage::Flying { target, .. } = request.stage else {
            return;
        };
        let again = request.ask.idempotent && request.sends + 1 < request.ask.attempts;
        if again && self.lanes[&request.ask.service].members.len() > 1 {
            self.outs.push(Output::Abandon { sequence });
        } else if let Some(member) = self.members.get_mut(&target) {
            member.health.fail();
        }
    }

    pub(super) fn refuse(&mut self, now: Time, sequence: Sequence, cause: Refusal) {
        let Some(request) = self.remove(sequence) else {
            return;
        };
        let ask = &request.ask;
        self.lane(ask.service).ledger.refuse(now, ask.account);
        let expected = self
            .lanes
            .get(&ask.service)
            .map_or(Duration::ZERO, |lane| lane.queue.wait(ask.account));
        // Those refused together should not come back together.
        let spread = 1.0 + self.rng.f64();
        let wait = expected.max(MIN_RETRY).mul_f64(spread);
        let left = ask.deadline.saturating_sub(now);
        let retry = wait.min(left.mul_f64(RETRY_PART));
        self.outs.push(Output::Refuse {
            sequence,
            cause,
            retry,
        });
    }

    fn remove(&mut self, sequence: Sequence) -> Option<Request> {
        let request = self.requests.remove(&sequence)?;
        self.timers.remove(&(request.wake, sequence));
        if matches!(request.stage, Stage::Waiting)
            && let Some(lane) = self.lanes.get_mut(&request.ask.service)
        {
            lane.queue.remove(request.ask.account, sequence);
        }
        Some(request)
    }

    fn wake_at(&mut self, sequence: Sequence, at: Time) {
        if let Some(request) = self.requests.get_mut(&sequence) {
            self.timers.remove(&(request.wake, sequence));
            request.wake = at;
            self.timers.insert((at, sequence));
        }
    }

    /// Notes that a request is sent.
    pub(super) fn send(&mut self, now: Time, sequence: Sequence, choice: Choice) {
        let Choice {
            target,
            first,
            unread,
            rank,
            ..
        } = choice;
        let work = self.work(sequence);
        let request = self.requests.get_mut(&sequence).expect("it is kept");
        let ask = &request.ask;
        let member = self.members.get_mut(&target).expect("it was chosen");
        let claim = member.claim(ask.prompt.as_ref(), unread);
        request.stage = Stage::Flying {
            target,
            claim,
            since: now,
            read: false,
        };
        let waited = now.saturating_sub(request.arrived);
        let (service, account) = (ask.service, ask.account);
        let hang = now + ask.objective * HANG_OBJECTIVES;
        let wake = hang.min(ask.deadline);
        let lane = self.lane(service);
        lane.queue.remove(account, sequence);
        lane.queue.note_departure(now);
        lane.ledger.charge(now, account, work);
        self.wake_at(sequence, wake);
        self.outs.push(Output::Send {
            sequence,
            target,
            waited,
            expected: first,
            unread,
            rank,
        });
    }

    /// Returns what a request is charged to its account.
    fn work(&self, sequence: Sequence) -> u64 {
        let ask = &self.requests[&sequence].ask;
        let share = self.shares.get(&ask.account).copied().unwrap_or(1);
        let work = ask
            .prompt
            .as_ref()
            .map_or(PLAIN_WORK, |prompt| prompt.work());
        work / u64::from(share.max(1))
    }

    pub(super) fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outs)
    }
}

//! The state machine of the pool.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use super::{
    Ask,
    Ledger,
    Output,
    Queue,
    Seat,
    Settings,
    exchange::Told,
    member::{
        Claim,
        Member, //
    },
    place::Choice,
    timer::HANG_OBJECTIVES, //
};
use crate::{
    ids::{
        Account,
        Sequence,
        Service,
        Target,
        Time,
        Usage, //
    },
    mesh::Source,
    router::RetryBudget, //
};

/// What a plain request is charged to its account: it has no size that is known before.
const PLAIN_WORK: u64 = 1_000;

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
    /// What is counted of it as its account's service.
    pub(super) charged: Usage,
    events: u32,
    pub(super) wake: Time,
}

/// What belongs to one service.
#[derive(Clone, Debug)]
pub(super) struct Lane {
    /// Whether places may have become free since the queue was last looked through.
    pub(super) due: bool,
    /// When the queue was last looked through.
    pub(super) pumped: Option<Time>,
    pub(super) queue: Queue,
    pub(super) ledger: Ledger,
    pub(super) budget: RetryBudget,
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
    /// How many routers send to the same targets.
    pub(super) routers: usize,
    /// What others have told something of.
    pub(super) sources: BTreeMap<Source, Told>,
    pub(super) timers: BTreeSet<(Time, Sequence)>,
    /// Until when silence is no evidence against a target.
    pub(super) excused: Time,
    last: Sequence,
    pub(super) rng: fastrand::Rng,
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
            routers: 1,
            sources: BTreeMap::new(),
            timers: BTreeSet::new(),
            excused: Duration::ZERO,
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
                    let mut member = Member::new(seat);
                    member.share_memory(self.routers);
                    self.members.insert(member.seat.target, member);
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
            due: false,
            pumped: None,
            queue: Queue::default(),
            ledger: Ledger::default(),
            budget: RetryBudget::new(retries),
            members: BTreeSet::new(),
        })
    }

    /// Takes in a request; its number stands in all that follows.
    pub fn arrive(&mut self, now: Time, ask: Ask) -> (Sequence, Vec<Output>) {
        let expected = self.expected(now, ask.service, ask.account);
        let hold = super::place::hold(&ask);
        match self.turns_away(ask.service, hold, expected) {
            Some(cause) => {
                let sequence = self.take_in(now, ask);
                self.refuse(now, sequence, cause);
                (sequence, self.take())
            }
            None => self.queue(now, ask),
        }
    }

    /// Takes in a request that was not turned away just now, as [`Pool::arrive`] does.
    pub fn queue(&mut self, now: Time, ask: Ask) -> (Sequence, Vec<Output>) {
        let hold = super::place::hold(&ask);
        let (service, account) = (ask.service, ask.account);
        let sequence = self.take_in(now, ask);
        self.lane(service).queue.push(account, sequence);
        self.wake_at(sequence, now + hold);
        self.pump_arrival(now, service, account);
        (sequence, self.take())
    }

    /// Gives a request its number and counts what it asks for.
    fn take_in(&mut self, now: Time, ask: Ask) -> Sequence {
        self.last += 1;
        let sequence = self.last;
        let work = self.work_of(&ask);
        let lane = self.lane(ask.service);
        lane.ledger.ask(now, ask.account, work);
        lane.budget.earn();
        let request = Request {
            ask,
            arrived: now,
            stage: Stage::Waiting,
            sends: 0,
            misses: 0,
            tried: Vec::new(),
            charged: 0,
            events: 0,
            wake: Duration::ZERO,
        };
        self.requests.insert(sequence, request);
        sequence
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
        self.pump_soon(now, service);
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

    pub(super) fn remove(&mut self, sequence: Sequence) -> Option<Request> {
        let request = self.requests.remove(&sequence)?;
        self.timers.remove(&(request.wake, sequence));
        if matches!(request.stage, Stage::Waiting)
            && let Some(lane) = self.lanes.get_mut(&request.ask.service)
        {
            lane.queue.remove(request.ask.account, sequence);
        }
        Some(request)
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
        let ask = &self.requests[&sequence].ask;
        let (service, account) = (ask.service, ask.account);
        let hang = now + ask.objective * HANG_OBJECTIVES;
        let wake = hang.min(ask.deadline);
        let work = self.work(sequence);
        let lane = self.lane(service);
        lane.queue.remove(account, sequence);
        lane.queue.note_departure(now);
        let charged = lane.ledger.charge(now, account, work);
        let request = self.requests.get_mut(&sequence).expect("it is kept");
        let member = self.members.get_mut(&target).expect("it was chosen");
        let claim = member.claim(request.ask.prompt.as_ref(), unread);
        request.charged = charged;
        request.stage = Stage::Flying {
            target,
            claim,
            since: now,
            read: false,
        };
        let waited = now.saturating_sub(request.arrived);
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
    pub(super) fn work(&self, sequence: Sequence) -> u64 {
        self.work_of(&self.requests[&sequence].ask)
    }

    pub(super) fn work_of(&self, ask: &Ask) -> u64 {
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

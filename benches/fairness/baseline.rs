//! The same load under other policies.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use redwingyard::ids::Time;

use super::{
    WARM_UP,
    bounds::Figures,
    drive::{
        Plan,
        fleet::SAMPLE,
        truth::{
            Call,
            Outcome,
            Truth, //
        }, //
    },
    scenario::Scenario, //
};

/// The interval at which the load reports of a baseline arrive.
const REPORTS: Duration = Duration::from_millis(100);

/// A policy to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Policy {
    /// One queue that knows everything at once and serves who has had the least.
    Omniscient,
    /// First come, first served at the target that seems least loaded.
    LeastLoaded,
    /// Deficit round robin in each router, over slots of its own.
    RouterShares,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive {
        router: usize,
        account: usize,
        again: bool,
    },
    Finish {
        target: usize,
        call: usize,
        run: u64,
    },
    Reports,
    Sample,
}

struct Baseline<'a> {
    plan: &'a Plan,
    policy: Policy,
    frozen: bool,
    now: Time,
    truth: Truth,
    rng: fastrand::Rng,
    events: BTreeMap<(Time, u64), Event>,
    serial: u64,
    /// Waiting calls by account, or by router and account.
    queues: BTreeMap<(usize, usize), VecDeque<usize>>,
    lines: Vec<VecDeque<usize>>,
    busy: Vec<u32>,
    usage: Vec<f64>,
    level: f64,
    reports: Vec<u32>,
    sent: Vec<Vec<u32>>,
    holders: BTreeMap<usize, usize>,
    turn: Vec<VecDeque<usize>>,
    deficit: BTreeMap<(usize, usize), f64>,
    held: Vec<u32>,
}

/// Runs a scenario's load under a policy, without its faults.
pub(super) fn run(scenario: &Scenario, policy: Policy) -> Figures {
    let plan = &scenario.plan;
    let shares: Vec<_> = plan.loads.iter().map(|load| load.share).collect();
    let slots = plan.targets as u32 * plan.slots;
    let mut baseline = Baseline {
        policy,
        frozen: scenario.frozen,
        now: Time::ZERO,
        truth: Truth::new(shares.into_iter(), slots, WARM_UP),
        rng: fastrand::Rng::with_seed(plan.seed),
        events: BTreeMap::new(),
        serial: 0,
        queues: BTreeMap::new(),
        lines: vec![VecDeque::new(); plan.targets],
        busy: vec![0; plan.targets],
        usage: vec![0.0; plan.loads.len()],
        level: 0.0,
        reports: vec![0; plan.targets],
        sent: vec![vec![0; plan.targets]; plan.routers],
        holders: BTreeMap::new(),
        turn: vec![VecDeque::new(); plan.routers],
        deficit: BTreeMap::new(),
        held: vec![0; plan.routers],
        plan,
    };
    baseline.begin();
    baseline.run(WARM_UP + scenario.span);
    Figures {
        name: match policy {
            Policy::Omniscient => "omniscient",
            Policy::LeastLoaded => "least-loaded",
            Policy::RouterShares => "router-shares",
        },
        gap: baseline.truth.gap,
        utilisation: baseline.truth.utilisation(),
        control: None,
        core: None,
        waits: scenario.waits(&baseline.truth),
    }
}

impl Baseline<'_> {
    fn begin(&mut self) {
        self.at(WARM_UP, Event::Sample);
        self.at(Time::ZERO, Event::Reports);
        for (at, router, account, again) in self.plan.arrivals(&mut self.rng) {
            let event = Event::Arrive {
                router,
                account,
                again,
            };
            self.at(at, event);
        }
    }

    fn at(&mut self, time: Time, event: Event) {
        self.serial += 1;
        self.events.insert((time, self.serial), event);
    }

    fn next_arrival(&mut self, router: usize, account: usize) {
        let at = self.now + self.plan.gap(&mut self.rng, router, account);
        let again = false;
        self.at(
            at,
            Event::Arrive {
                router,
                account,
                again,
            },
        );
    }

    fn run(&mut self, until: Time) {
        while let Some((&(at, serial), _)) = self.events.first_key_value() {
            if at > until {
                break;
            }
            let event = self.events.remove(&(at, serial)).expect("the first event");
            self.truth.advance(at);
            self.now = at;
            match event {
                Event::Arrive {
                    router,
                    account,
                    again,
                } => self.arrive(router, account, again),
                Event::Finish { target, call, run } => self.finish(target, call, run),
                Event::Reports => self.report(),
                Event::Sample => {
                    self.truth.sample(at);
                    self.at(at + SAMPLE, Event::Sample);
                }
            }
        }
    }

    fn report(&mut self) {
        if !self.frozen {
            for target in 0..self.plan.targets {
                self.reports[target] = self.busy[target] + self.lines[target].len() as u32;
            }
            self.sent.iter_mut().for_each(|sent| sent.fill(0));
        }
        self.at(self.now + REPORTS, Event::Reports);
    }

    fn arrive(&mut self, router: usize, account: usize, again: bool) {
        if !again {
            self.next_arrival(router, account);
        }
        if !self.plan.loads[account].is_active(self.now) {
            if again {
                let at = self.now + Duration::from_millis(100);
                self.at(
                    at,
                    Event::Arrive {
                        router,
                        account,
                        again,
                    },
                );
            }
            return;
        }
        let call = self.truth.arrive(Call {
            account,
            router,
            arrived: self.now,
            write: false,
            again,
            key: None,
            waiting: true,
            started: None,
            runs: 0,
            outcome: None,
        });
        match self.policy {
            Policy::LeastLoaded => self.assign(router, call),
            Policy::Omniscient => self.queue((0, account), call),
            Policy::RouterShares => {
                let line = self.queues.entry((router, account)).or_default();
                if line.is_empty() && !self.turn[router].contains(&account) {
                    self.turn[router].push_back(account);
                }
                line.push_back(call);
            }
        }
        self.start_all();
    }

    fn queue(&mut self, place: (usize, usize), call: usize) {
        let waiting = self.queues.iter().filter(|(_, line)| !line.is_empty());
        let least = waiting
            .map(|((_, other), _)| self.usage[*other])
            .fold(f64::MAX, f64::min);
        let line = self.queues.entry(place).or_default();
        if line.is_empty() {
            let floor = if least == f64::MAX { self.level } else { least };
            let usage = &mut self.usage[place.1];
            *usage = usage.max(floor);
        }
        line.push_back(call);
    }

    fn assign(&mut self, router: usize, call: usize) {
        let target = (0..self.plan.targets)
            .min_by_key(|i| self.reports[*i] + self.sent[router][*i])
            .expect("there are targets");
        self.sent[router][target] += 1;
        self.lines[target].push_back(call);
    }

    fn start_all(&mut self) {
        for target in 0..self.plan.targets {
            while self.busy[target] < self.plan.slots {
                let Some(call) = self.next(target) else {
                    break;
                };
                self.start(target, call);
            }
        }
    }

    fn next(&mut self, target: usize) -> Option<usize> {
        match self.policy {
            Policy::LeastLoaded => self.lines[target].pop_front(),
            Policy::Omniscient => {
                let waiting = self.queues.iter().filter(|(_, line)| !line.is_empty());
                let place = waiting
                    .map(|(place, _)| *place)
                    .min_by(|a, b| self.usage[a.1].total_cmp(&self.usage[b.1]))?;
                self.level = self.level.max(self.usage[place.1]);
                // Only this policy knows the cost, so it charges at once.
                let call = self.queues.get_mut(&place)?.pop_front()?;
                let share = f64::from(self.plan.loads[place.1].share);
                let cost = self.plan.cost(call, place.1) * self.plan.slow[target];
                self.usage[place.1] += cost.as_secs_f64() / share;
                Some(call)
            }
            Policy::RouterShares => {
                let slots = self.plan.targets as u32 * self.plan.slots;
                let own = slots / self.plan.routers as u32;
                let router = (0..self.plan.routers)
                    .find(|router| self.held[*router] < own && !self.turn[*router].is_empty())?;
                self.held[router] += 1;
                let call = self.round_robin(router);
                self.holders.insert(call, router);
                Some(call)
            }
        }
    }

    fn round_robin(&mut self, router: usize) -> usize {
        loop {
            let account = self.turn[router]
                .pop_front()
                .expect("an account has its turn");
            let share = f64::from(self.plan.loads[account].share);
            let deficit = self.deficit.entry((router, account)).or_default();
            if *deficit <= 0.0 {
                *deficit += share;
                self.turn[router].push_back(account);
                continue;
            }
            *deficit -= 1.0;
            let line = self
                .queues
                .get_mut(&(router, account))
                .expect("the account waits");
            let call = line.pop_front().expect("the account waits");
            if !line.is_empty() {
                self.turn[router].push_front(account);
            }
            return call;
        }
    }

    fn start(&mut self, target: usize, call: usize) {
        self.busy[target] += 1;
        let account = self.truth.calls[call].account;
        let cost = self.plan.cost(call, account) * self.plan.slow[target];
        let run = self.truth.begin(self.now, call);
        self.at(self.now + cost, Event::Finish { target, call, run });
    }

    fn finish(&mut self, target: usize, call: usize, run: u64) {
        self.busy[target] -= 1;
        if let Some(router) = self.holders.remove(&call) {
            self.held[router] -= 1;
        }
        self.truth.finish(self.now, call, run);
        self.truth.end(call, Outcome::Whole);
        let done = &self.truth.calls[call];
        let (router, account, again) = (done.router, done.account, done.again);
        if again {
            let at = self.now + self.plan.delay * 2;
            self.at(
                at,
                Event::Arrive {
                    router,
                    account,
                    again,
                },
            );
        }
        self.start_all();
    }
}

//! Simulations of a scenario's load under other scheduling policies, for comparison.

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

/// The interval at which the targets report their load to the routers.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// A scheduling policy that the decision code is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Policy {
    /// A central scheduler that knows the waiting calls of all routers, the free slots and the cost
    /// of each call without delay. It serves the waiting account with the least usage next.
    Omniscient,
    /// Each router sends a call at once to the target with the least load, by the latest load
    /// report and the calls that the router has sent since. A target serves its queue first come,
    /// first served.
    LeastLoaded,
    /// Each router has an equal part of the slots, and divides it between accounts by deficit
    /// round robin.
    RouterShares,
}

#[derive(Clone, Debug)]
enum Event {
    /// A call arrives at a router.
    Arrive {
        router: usize,
        account: usize,
        /// Whether the caller sends another call once it has an answer (closed loop).
        again: bool,
    },
    /// A run of a call ends at a target.
    Finish {
        target: usize,
        call: usize,
        run: u64,
    },
    /// The targets report their load.
    Reports,
    /// The gap between accounts is sampled.
    Sample,
}

/// A discrete-event simulation of one policy.
struct Baseline<'a> {
    plan: &'a Plan,
    policy: Policy,
    /// Whether load reports are not applied.
    frozen: bool,
    now: Time,
    truth: Truth,
    rng: fastrand::Rng,
    /// The events to come, by time and serial number.
    events: BTreeMap<(Time, u64), Event>,
    /// The serial number of the event that was scheduled last.
    serial: u64,
    /// The waiting calls by router and account. The omniscient policy has one queue for each
    /// account, at router 0.
    queues: BTreeMap<(usize, usize), VecDeque<usize>>,
    /// The calls that wait at each target.
    target_queues: Vec<VecDeque<usize>>,
    /// The number of calls that run at each target.
    busy: Vec<u32>,
    /// The usage of each account under the omniscient policy: the cost of its started calls, in
    /// seconds divided by its share. It is raised when the account has calls waiting again.
    usage: Vec<f64>,
    /// The greatest usage that an account had when it was served.
    virtual_time: f64,
    /// The number of calls at each target, by its latest report.
    reported_loads: Vec<u32>,
    /// The calls that each router has sent to each target since the latest report.
    sent: Vec<Vec<u32>>,
    /// The router whose slot each running call uses.
    slot_users: BTreeMap<usize, usize>,
    /// The accounts that have calls waiting at each router, in the order of the round robin.
    active_accounts: Vec<VecDeque<usize>>,
    /// The number of calls that an account may still start in this round, by router and account.
    deficits: BTreeMap<(usize, usize), f64>,
    /// The number of slots that each router uses.
    used_slots: Vec<u32>,
}

/// Simulates a scenario's load under a policy, without the scenario's faults.
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
        target_queues: vec![VecDeque::new(); plan.targets],
        busy: vec![0; plan.targets],
        usage: vec![0.0; plan.loads.len()],
        virtual_time: 0.0,
        reported_loads: vec![0; plan.targets],
        sent: vec![vec![0; plan.targets]; plan.routers],
        slot_users: BTreeMap::new(),
        active_accounts: vec![VecDeque::new(); plan.routers],
        deficits: BTreeMap::new(),
        used_slots: vec![0; plan.routers],
        plan,
    };
    baseline.schedule_first_events();
    baseline.run(WARM_UP + scenario.span);
    Figures {
        policy: match policy {
            Policy::Omniscient => "omniscient",
            Policy::LeastLoaded => "least-loaded",
            Policy::RouterShares => "router-shares",
        },
        gap: baseline.truth.gap,
        utilisation: baseline.truth.utilisation(),
        control_rate: None,
        core_fraction: None,
        waits: scenario.waits(&baseline.truth),
    }
}

impl Baseline<'_> {
    fn schedule_first_events(&mut self) {
        self.schedule(WARM_UP, Event::Sample);
        self.schedule(Time::ZERO, Event::Reports);
        for (at, router, account, again) in self.plan.arrivals(&mut self.rng) {
            let event = Event::Arrive {
                router,
                account,
                again,
            };
            self.schedule(at, event);
        }
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.serial += 1;
        self.events.insert((time, self.serial), event);
    }

    fn schedule_arrival(&mut self, router: usize, account: usize) {
        let at = self.now + self.plan.gap(&mut self.rng, router, account);
        let again = false;
        self.schedule(
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
            let event = self
                .events
                .remove(&(at, serial))
                .expect("the event at this key is still scheduled");
            self.truth.advance(at);
            self.now = at;
            match event {
                Event::Arrive {
                    router,
                    account,
                    again,
                } => self.arrive(router, account, again),
                Event::Finish { target, call, run } => self.finish(target, call, run),
                Event::Reports => self.apply_reports(),
                Event::Sample => {
                    self.truth.sample(at);
                    self.schedule(at + SAMPLE, Event::Sample);
                }
            }
        }
    }

    /// Replaces the load that the routers know by the actual load, unless reports are frozen.
    fn apply_reports(&mut self) {
        if !self.frozen {
            for target in 0..self.plan.targets {
                self.reported_loads[target] =
                    self.busy[target] + self.target_queues[target].len() as u32;
            }
            self.sent.iter_mut().for_each(|sent| sent.fill(0));
        }
        self.schedule(self.now + REPORT_INTERVAL, Event::Reports);
    }

    /// Handles the arrival of a call. A call of an inactive account is dropped, and its caller
    /// tries again after 100 ms if it is a closed-loop caller.
    fn arrive(&mut self, router: usize, account: usize, again: bool) {
        if !again {
            self.schedule_arrival(router, account);
        }
        if !self.plan.loads[account].is_active(self.now) {
            if again {
                let at = self.now + Duration::from_millis(100);
                self.schedule(
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
            Policy::LeastLoaded => self.assign_target(router, call),
            Policy::Omniscient => self.enqueue((0, account), call),
            Policy::RouterShares => {
                let queue = self.queues.entry((router, account)).or_default();
                if queue.is_empty() && !self.active_accounts[router].contains(&account) {
                    self.active_accounts[router].push_back(account);
                }
                queue.push_back(call);
            }
        }
        self.start_waiting();
    }

    /// Adds a call to a queue of the omniscient policy.
    ///
    /// An account that had no calls waiting starts with at least the least usage of the waiting
    /// accounts, or the virtual time where none waits, so that it is not served in preference
    /// for the time in which it had nothing to run.
    fn enqueue(&mut self, queue_id: (usize, usize), call: usize) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let least = waiting
            .map(|((_, other), _)| self.usage[*other])
            .fold(f64::MAX, f64::min);
        let queue = self.queues.entry(queue_id).or_default();
        if queue.is_empty() {
            let floor = if least == f64::MAX {
                self.virtual_time
            } else {
                least
            };
            let usage = &mut self.usage[queue_id.1];
            *usage = usage.max(floor);
        }
        queue.push_back(call);
    }

    /// Sends a call to the target with the least load that the router knows of.
    fn assign_target(&mut self, router: usize, call: usize) {
        let target = (0..self.plan.targets)
            .min_by_key(|i| self.reported_loads[*i] + self.sent[router][*i])
            .expect("a plan has at least one target");
        self.sent[router][target] += 1;
        self.target_queues[target].push_back(call);
    }

    /// Starts waiting calls at every target until its slots are taken or no call is left for it.
    fn start_waiting(&mut self) {
        for target in 0..self.plan.targets {
            while self.busy[target] < self.plan.slots {
                let Some(call) = self.next_call(target) else {
                    break;
                };
                self.start(target, call);
            }
        }
    }

    /// Removes the call that a target starts next from its queue.
    fn next_call(&mut self, target: usize) -> Option<usize> {
        match self.policy {
            Policy::LeastLoaded => self.target_queues[target].pop_front(),
            Policy::Omniscient => {
                let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
                let queue_id = waiting
                    .map(|(queue_id, _)| *queue_id)
                    .min_by(|a, b| self.usage[a.1].total_cmp(&self.usage[b.1]))?;
                self.virtual_time = self.virtual_time.max(self.usage[queue_id.1]);
                // Only this policy knows the cost in advance, so it charges the usage at once.
                let call = self.queues.get_mut(&queue_id)?.pop_front()?;
                let share = f64::from(self.plan.loads[queue_id.1].share);
                let cost = self.plan.cost(call, queue_id.1) * self.plan.slow[target];
                self.usage[queue_id.1] += cost.as_secs_f64() / share;
                Some(call)
            }
            Policy::RouterShares => {
                let slots = self.plan.targets as u32 * self.plan.slots;
                let quota = slots / self.plan.routers as u32;
                let router = (0..self.plan.routers).find(|router| {
                    self.used_slots[*router] < quota && !self.active_accounts[*router].is_empty()
                })?;
                self.used_slots[router] += 1;
                let call = self.round_robin(router);
                self.slot_users.insert(call, router);
                Some(call)
            }
        }
    }

    /// Removes and returns the next call of a router by deficit round robin. In each round an
    /// account may start as many calls as its share.
    fn round_robin(&mut self, router: usize) -> usize {
        loop {
            let account = self.active_accounts[router]
                .pop_front()
                .expect("the router has an active account");
            let share = f64::from(self.plan.loads[account].share);
            let deficit = self.deficits.entry((router, account)).or_default();
            if *deficit <= 0.0 {
                *deficit += share;
                self.active_accounts[router].push_back(account);
                continue;
            }
            *deficit -= 1.0;
            let queue = self
                .queues
                .get_mut(&(router, account))
                .expect("an active account has calls waiting");
            let call = queue
                .pop_front()
                .expect("an active account has calls waiting");
            if !queue.is_empty() {
                self.active_accounts[router].push_front(account);
            }
            return call;
        }
    }

    fn start(&mut self, target: usize, call: usize) {
        self.busy[target] += 1;
        let account = self.truth.calls[call].account;
        let cost = self.plan.cost(call, account) * self.plan.slow[target];
        let run = self.truth.begin(self.now, call);
        self.schedule(self.now + cost, Event::Finish { target, call, run });
    }

    /// Ends a run. A closed-loop caller sends its next call after one round trip.
    fn finish(&mut self, target: usize, call: usize, run: u64) {
        self.busy[target] -= 1;
        if let Some(router) = self.slot_users.remove(&call) {
            self.used_slots[router] -= 1;
        }
        self.truth.finish(self.now, call, run);
        self.truth.end(call, Outcome::Whole);
        let finished = &self.truth.calls[call];
        let (router, account, again) = (finished.router, finished.account, finished.again);
        if again {
            let at = self.now + self.plan.delay * 2;
            self.schedule(
                at,
                Event::Arrive {
                    router,
                    account,
                    again,
                },
            );
        }
        self.start_waiting();
    }
}

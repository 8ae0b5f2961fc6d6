//! The parameters of a simulation.

use std::time::Duration;

use redwingyard::{
    ids::Time,
    router::Bounds,
    rules::{
        self,
        Rules, //
    }, //
};

/// The only service of a simulation.
pub const SERVICE: &str = "svc";

/// The time from which on requests of an open-loop load arrive.
const FIRST_ARRIVAL: Duration = Duration::from_millis(500);

/// The load of one account.
#[derive(Clone, Debug)]
pub struct Load {
    /// The account's share.
    pub share: u32,
    /// The number of closed-loop callers at each router. They send the next request once they
    /// have an answer.
    pub callers: Vec<usize>,
    /// The open-loop requests per second at each router.
    pub rate: Vec<f64>,
    /// The mean cost of a request, apart from the effect of `heavy`.
    pub cost: Duration,
    /// Whether a request costs 20 times as much with a probability of 1/50.
    pub heavy: bool,
    /// The duration of the active phase at the start of each period, and the period; `None` if the
    /// load is always active.
    pub active: Option<(Duration, Duration)>,
    /// Whether the requests are writes.
    pub write: bool,
}

impl Load {
    /// Returns a load of share one with closed-loop callers at one router.
    pub fn at(router: usize, routers: usize, callers: usize) -> Self {
        let mut counts = vec![0; routers];
        counts[router] = callers;
        Self {
            share: 1,
            callers: counts,
            rate: vec![0.0; routers],
            cost: Duration::from_millis(400),
            heavy: false,
            active: None,
            write: false,
        }
    }

    /// Returns whether callers send requests at a time.
    pub fn is_active(&self, now: Time) -> bool {
        self.active.is_none_or(|(on, period)| {
            let phase = now.as_nanos() % period.as_nanos();
            phase < on.as_nanos()
        })
    }
}

/// The size, load and timing of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: usize,
    pub targets: usize,
    pub slots: u32,
    pub loads: Vec<Load>,
    pub seed: u64,
    /// The delay of a message.
    pub delay: Duration,
    /// The factor by which each target is slower.
    pub slow: Vec<u32>,
    pub bounds: Bounds,
    /// The longest time that a caller waits.
    pub limit: Duration,
    /// The largest random time added to the delay of a message, so that messages can overtake
    /// each other.
    pub jitter: Duration,
    /// The probability that a message is delivered twice.
    pub duplicate_rate: f64,
}

impl Plan {
    pub fn new(routers: usize, targets: usize, slots: u32, loads: Vec<Load>, seed: u64) -> Self {
        Self {
            routers,
            targets,
            slots,
            loads,
            seed,
            delay: Duration::from_micros(500),
            slow: vec![1; targets],
            bounds: Bounds::default(),
            limit: Duration::from_secs(600),
            jitter: Duration::ZERO,
            duplicate_rate: 0.0,
        }
    }

    /// Returns the first arrivals, each with its time, router, account and whether its caller is a
    /// closed-loop caller.
    pub fn arrivals(&self, rng: &mut fastrand::Rng) -> Vec<(Time, usize, usize, bool)> {
        let mut arrivals = Vec::new();
        for (account, load) in self.loads.iter().enumerate() {
            for router in 0..self.routers {
                for _ in 0..load.callers[router] {
                    let at = Duration::from_micros(rng.u64(500_000..1_000_000));
                    arrivals.push((at, router, account, true));
                }
                if load.rate[router] > 0.0 {
                    let at = FIRST_ARRIVAL + self.gap(rng, router, account);
                    arrivals.push((at, router, account, false));
                }
            }
        }
        arrivals
    }

    /// Returns the random time to the next open-loop arrival.
    pub fn gap(&self, rng: &mut fastrand::Rng, router: usize, account: usize) -> Duration {
        let rate = self.loads[account].rate[router];
        Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate)
    }

    /// Returns the cost of a call. The routers and sidecars do not know it in advance.
    pub fn cost(&self, call: usize, account: usize) -> Duration {
        let load = &self.loads[account];
        let mut rng = fastrand::Rng::with_seed(self.seed ^ (call as u64) << 20);
        let spread = 0.5 + rng.f64();
        let heavy = load.heavy && rng.u32(..50) == 0;
        load.cost.mul_f64(spread * if heavy { 20.0 } else { 1.0 })
    }

    pub fn account(&self, i: usize) -> String {
        format!("account-{i}")
    }

    /// Returns the rules text of a generation, in which some targets are leaving.
    pub fn text(&self, generation: u64, leaving: &[usize]) -> String {
        let mut text = format!("generation {generation}  # drive\n");
        for i in 0..self.targets {
            text += &format!("target {SERVICE} target-{i}  # drive\n");
        }
        for (i, load) in self.loads.iter().enumerate() {
            text += &format!("share * {} {}  # drive\n", self.account(i), load.share);
        }
        for i in leaving {
            text += &format!("leaving target-{i}  # drive\n");
        }
        text
    }

    pub fn rules(&self) -> Rules {
        rules::from_str(&self.text(1, &[])).expect("the rules of the simulation are valid")
    }
}

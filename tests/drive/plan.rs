//! What a drive is made of.

use std::time::Duration;

use redwingyard::{
    ids::Time,
    router::Bounds,
    rules::{
        self,
        Rules, //
    }, //
};

/// The one service of a drive.
pub const SERVICE: &str = "svc";

/// The time of the first arrival.
const FIRST_ARRIVAL: Duration = Duration::from_millis(500);

/// The callers of one account.
#[derive(Clone, Debug)]
pub struct Load {
    /// The account's share.
    pub share: u32,
    /// The callers at each router, who ask again once they are answered.
    pub callers: Vec<usize>,
    /// Requests a second at each router from callers who ask once.
    pub rate: Vec<f64>,
    /// The typical cost of a request.
    pub cost: Duration,
    /// Whether a few requests cost many times more.
    pub heavy: bool,
    /// The time in which callers ask, repeated with this period.
    pub active: Option<(Duration, Duration)>,
    /// Whether the requests are writes.
    pub write: bool,
}

impl Load {
    /// Returns callers of share one at one router.
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

    /// Returns whether callers ask at a time.
    pub fn is_active(&self, now: Time) -> bool {
        self.active.is_none_or(|(on, period)| {
            let phase = now.as_nanos() % period.as_nanos();
            phase < on.as_nanos()
        })
    }
}

/// The size and the timing of a drive.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: usize,
    pub targets: usize,
    pub slots: u32,
    pub loads: Vec<Load>,
    pub seed: u64,
    /// The time that a message takes.
    pub delay: Duration,
    /// How many times slower each target is.
    pub slow: Vec<u32>,
    pub bounds: Bounds,
    /// The longest wait of a caller.
    pub limit: Duration,
    /// How much longer than its delay a message may take, so that messages cross.
    pub jitter: Duration,
    /// The chance that a message is delivered twice.
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

    /// Returns the first arrivals, each with its time, router, account and whether its
    /// caller asks again once it is answered.
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

    /// Returns the time to the next arrival of callers who ask once.
    pub fn gap(&self, rng: &mut fastrand::Rng, router: usize, account: usize) -> Duration {
        let rate = self.loads[account].rate[router];
        Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate)
    }

    /// Returns the cost of a call, which only the target knows.
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

    /// Returns the text of the rules of a generation, with some targets leaving.
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
        rules::from_str(&self.text(1, &[])).expect("the drive's rules are valid")
    }
}

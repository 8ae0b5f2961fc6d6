//! The retry budget.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::ids::Time;

/// The number of parts of a window in which requests are counted.
const SLOTS: usize = 10;

/// The part of [`RetryLimits::ratio`] that each request earns. The retries of one window may be
/// earned by the requests of two.
const EARNED_FRACTION: f64 = 0.5;

/// The part of [`RetryLimits::slack`] that the routers of a fleet hold in reserve. The rest covers
/// routers that know only a part of the fleet.
const RESERVE_FRACTION: f64 = 0.5;

/// How often all routers of a fleet together may retry the requests of a service.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryLimits {
    /// The retries in a window as a fraction of the requests.
    pub ratio: f64,
    /// The length of the window, in seconds.
    pub window_s: f64,
    /// The retries in a window that are allowed beyond that fraction.
    pub slack: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            window_s: 10.0,
            slack: 50.0,
        }
    }
}

impl RetryLimits {
    /// Returns the length of the window.
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s)
    }

    /// Returns the retries in a window that a router may make without requests that earn them, one
    /// of a number of routers. `draw`, from 0 to 1, rounds a fraction up or down, so that routers
    /// with random draws have the reserve of the fleet between them.
    ///
    /// ```
    /// let limits = redwingyard::router::RetryLimits { slack: 60.0, ..Default::default() };
    /// assert_eq!(limits.reserve(4, 0.0), 7);
    /// assert_eq!(limits.reserve(4, 0.6), 8);
    /// assert_eq!(limits.reserve(400, 0.6), 0);
    /// ```
    pub fn reserve(&self, routers: usize, draw: f64) -> u32 {
        (self.slack * RESERVE_FRACTION / routers.max(1) as f64 + draw) as u32
    }
}

/// The retries that one router may make for a service: a part of what [`RetryLimits`] allows the
/// fleet, by the requests that this router has received within the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// The requests in each part of the window, the current one at `slot % SLOTS`.
    requests: [u32; SLOTS],
    /// The current part of the window, counted from time zero.
    slot: u64,
    /// The times of the retries within the window.
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Creates a budget in which nothing is earned yet.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            requests: [0; SLOTS],
            slot: 0,
            retries: VecDeque::new(),
        }
    }

    /// Counts a new request, which earns a part of a retry.
    pub fn earn(&mut self, now: Time) {
        self.advance(now);
        self.requests[self.slot as usize % SLOTS] += 1;
    }

    /// Returns how many retries are left, with a number of retries in a window held in reserve.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::router::{RetryBudget, RetryLimits};
    /// let mut budget = RetryBudget::new(RetryLimits { ratio: 0.2, ..RetryLimits::default() });
    /// let now = Duration::from_secs(1);
    /// assert_eq!(budget.left(now, 0), 0);
    /// (0..50).for_each(|_| budget.earn(now));
    /// assert_eq!(budget.left(now, 2), 7);
    /// assert_eq!(budget.left(now + Duration::from_secs(10), 2), 2);
    /// ```
    pub fn left(&mut self, now: Time, reserve: u32) -> u32 {
        self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let earned = self.limits.ratio * EARNED_FRACTION * f64::from(requests);
        (earned as u32 + reserve).saturating_sub(self.retries.len() as u32)
    }

    /// Spends a retry, and returns whether one was left.
    ///
    /// ```
    /// use redwingyard::router::RetryBudget;
    /// let mut budget = RetryBudget::new(Default::default());
    /// assert!(budget.spend(Default::default(), 1));
    /// assert!(!budget.spend(Default::default(), 1));
    /// ```
    pub fn spend(&mut self, now: Time, reserve: u32) -> bool {
        let allowed = self.left(now, reserve) > 0;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Drops the requests and the retries that have left the window.
    fn advance(&mut self, now: Time) {
        let window = self.limits.window();
        let slot = (now.as_secs_f64() / self.limits.window_s * SLOTS as f64) as u64;
        let passed = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for i in 1..=passed {
            self.requests[(self.slot + i) as usize % SLOTS] = 0;
        }
        self.slot = self.slot.max(slot);
        while self.retries.front().is_some_and(|at| *at + window <= now) {
            self.retries.pop_front();
        }
    }
}

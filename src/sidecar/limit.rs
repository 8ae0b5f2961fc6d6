//! The adaptive limit on the requests that run at a target at the same time.

use std::time::Duration;

use crate::ids::Time;

const INITIAL_COOLDOWN: Duration = Duration::from_millis(100);
const MAX_COOLDOWN: Duration = Duration::from_secs(5);

/// A concurrency limit that is halved by a failure of the target and grows by one with each
/// success.
///
/// After a failure the target gets no requests during a cooldown, which doubles with each
/// further failure until a request succeeds. Failures during a cooldown are not counted.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    max: u32,
    current: u32,
    cooldown: Duration,
    cooldown_end: Time,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its maximum.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut limit = redwingyard::sidecar::ConcurrencyLimit::new(8);
    /// limit.record_failure(Duration::ZERO);
    /// assert_eq!(limit.slots(Duration::ZERO), 0);
    /// assert_eq!(limit.slots(Duration::from_secs(1)), 4);
    /// ```
    pub fn new(max: u32) -> Self {
        Self {
            max,
            current: max,
            cooldown: INITIAL_COOLDOWN,
            cooldown_end: Time::ZERO,
        }
    }

    /// Returns the number of slots that may be filled now; zero during a cooldown.
    pub fn slots(&self, now: Time) -> u32 {
        match now < self.cooldown_end {
            true => 0,
            false => self.current,
        }
    }

    /// Returns the maximum, at which the limit starts.
    pub fn max(&self) -> u32 {
        self.max
    }

    /// Raises the limit by one after an answer of the target, and resets the cooldown time.
    pub fn record_success(&mut self) {
        self.current = (self.current + 1).min(self.max);
        self.cooldown = INITIAL_COOLDOWN;
    }

    /// Halves the limit and starts a cooldown after the target could not be reached or broke
    /// off an answer.
    pub fn record_failure(&mut self, now: Time) {
        if now < self.cooldown_end {
            return;
        }
        self.current = (self.current / 2).max(1);
        self.cooldown_end = now + self.cooldown;
        self.cooldown = (self.cooldown * 2).min(MAX_COOLDOWN);
    }
}

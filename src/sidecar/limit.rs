//! The number of requests that a target gets at a time.

use std::time::Duration;

use crate::ids::Time;

const FIRST_HOLD: Duration = Duration::from_millis(100);
const MAX_HOLD: Duration = Duration::from_secs(5);

/// An adaptive limit: halved by each failure of the target, grown by each success.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    max: u32,
    current: u32,
    hold: Duration,
    until: Time,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its maximum.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut limit = redwingyard::sidecar::ConcurrencyLimit::new(8);
    /// limit.fail(Duration::ZERO);
    /// assert_eq!(limit.slots(Duration::ZERO), 0);
    /// assert_eq!(limit.slots(Duration::from_secs(1)), 4);
    /// ```
    pub fn new(max: u32) -> Self {
        Self {
            max,
            current: max,
            hold: FIRST_HOLD,
            until: Time::ZERO,
        }
    }

    /// Returns the slots to fill now; none while a sick target is left alone.
    pub fn slots(&self, now: Time) -> u32 {
        match now < self.until {
            true => 0,
            false => self.current,
        }
    }

    /// Returns the largest limit.
    pub fn max(&self) -> u32 {
        self.max
    }

    /// Notes an answer of the target.
    pub fn succeed(&mut self) {
        self.current = (self.current + 1).min(self.max);
        self.hold = FIRST_HOLD;
    }

    /// Notes that the target could not be reached or broke off.
    pub fn fail(&mut self, now: Time) {
        if now < self.until {
            return;
        }
        self.current = (self.current / 2).max(1);
        self.until = now + self.hold;
        self.hold = (self.hold * 2).min(MAX_HOLD);
    }
}

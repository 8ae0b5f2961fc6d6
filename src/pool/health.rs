//! The health of a target: its failure rate, its backoff and its cooldown.

use std::time::Duration;

use crate::ids::Time;

/// The weight of a new outcome in the exponentially weighted failure rate.
const GAIN: f64 = 0.15;

/// The first backoff after a target could not be reached. It doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(300);

/// The longest backoff, short enough to use a recovered target again within seconds.
const MAX_BACKOFF: Duration = Duration::from_millis(2_400);

/// The longest cooldown that a target may request. A longer one indicates a wrong clock or a fault
/// of the target.
const MAX_COOLDOWN: Duration = Duration::from_secs(300);

/// The recent outcomes of a target's requests, and the times in which it gets no new ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    /// The end of the backoff after the target could not be reached.
    backoff_end: Time,
    backoff: Duration,
    /// The end of the cooldown that the target itself has requested.
    cooldown_end: Time,
}

impl Health {
    /// Records a successful answer, which ends a backoff.
    pub fn record_success(&mut self) {
        self.failure_rate -= self.failure_rate * GAIN;
        self.backoff = Duration::ZERO;
        self.backoff_end = Duration::ZERO;
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * GAIN;
    }

    /// Records that the target could not be reached at its address, and starts a backoff.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::Health;
    /// let mut health = Health::default();
    /// health.record_unreachable(Duration::ZERO);
    /// assert!(health.is_backing_off(Duration::from_millis(299)));
    /// assert!(!health.is_backing_off(Duration::from_millis(300)));
    /// ```
    pub fn record_unreachable(&mut self, now: Time) {
        self.record_failure();
        // Attempts that fail during the backoff belong to the same outage and don't extend it.
        if now < self.backoff_end {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff_end = now + self.backoff;
    }

    /// Returns whether the target is in a backoff.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_end
    }

    /// Returns the time until the end of the backoff.
    pub(super) fn backoff_left(&self, now: Time) -> Duration {
        self.backoff_end.saturating_sub(now)
    }

    /// Starts a cooldown of a duration that the target has requested.
    pub fn start_cooldown(&mut self, now: Time, time: Duration) {
        self.cooldown_end = self
            .cooldown_end
            .max(now.saturating_add(time.min(MAX_COOLDOWN)));
    }

    /// Returns the time until the end of the cooldown.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::Health;
    /// let mut health = Health::default();
    /// health.start_cooldown(Duration::ZERO, Duration::from_secs(2));
    /// health.record_success();
    /// assert_eq!(health.cooldown_left(Duration::from_millis(500)), Duration::from_millis(1_500));
    /// ```
    pub fn cooldown_left(&self, now: Time) -> Duration {
        self.cooldown_end.saturating_sub(now)
    }

    /// Returns the recent fraction of outcomes that were failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}

//! Whether a target answers as it should.

use std::time::Duration;

use crate::ids::Time;

/// The weight of a new outcome against all earlier ones.
const GAIN: f64 = 0.15;

/// The first pause after a target could not be reached; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// The longest pause, short enough to find a target that is back within seconds.
const MAX_PAUSE: Duration = Duration::from_millis(2_400);

/// The longest rest that a target gets: one that asks for more has a wrong clock or is wrong.
const MAX_REST: Duration = Duration::from_secs(300);

/// A target's recent outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failing: f64,
    until: Time,
    pause: Duration,
    /// Until when the target itself wants no requests.
    rest: Time,
}

impl Health {
    /// Notes an answer.
    pub fn succeed(&mut self) {
        self.failing -= self.failing * GAIN;
        self.pause = Duration::ZERO;
        self.until = Duration::ZERO;
    }

    /// Notes an answer that is a failure of the target's own.
    pub fn fail(&mut self) {
        self.failing += (1.0 - self.failing) * GAIN;
    }

    /// Notes that the target could not be reached or said nothing, and avoids it for a while.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::Health;
    /// let mut health = Health::default();
    /// health.miss(Duration::ZERO);
    /// assert!(health.is_avoided(Duration::from_millis(299)));
    /// assert!(!health.is_avoided(Duration::from_millis(300)));
    /// ```
    pub fn miss(&mut self, now: Time) {
        self.fail();
        // Requests that fail together are one failure.
        if now < self.until {
            return;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.until = now + self.pause;
    }

    /// Returns whether no request should be sent for now.
    pub fn is_avoided(&self, now: Time) -> bool {
        now < self.until
    }

    /// Notes that the target wants no requests for some time.
    pub fn start_cooldown(&mut self, now: Time, time: Duration) {
        self.rest = self.rest.max(now.saturating_add(time.min(MAX_REST)));
    }

    /// Returns how much longer the target wants no requests.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::Health;
    /// let mut health = Health::default();
    /// health.start_cooldown(Duration::ZERO, Duration::from_secs(2));
    /// health.succeed();
    /// assert_eq!(health.cooldown_left(Duration::from_millis(500)), Duration::from_millis(1_500));
    /// ```
    pub fn cooldown_left(&self, now: Time) -> Duration {
        self.rest.saturating_sub(now)
    }

    /// Returns the recent share of failures, from 0 to 1.
    pub fn failing(&self) -> f64 {
        self.failing
    }
}

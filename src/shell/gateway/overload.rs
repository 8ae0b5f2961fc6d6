//! Whether a process has more to do than processor time.

use std::time::Duration;

use crate::ids::Time;

/// The weight of a new delay against all earlier ones.
const SMOOTHING: f64 = 0.1;

/// The mean delay from which on callers are better served elsewhere: most of what the shortest
/// objectives leave beside the targets' own time.
const OVERLOAD_DELAY_S: f64 = 0.12;

/// The mean delay below which they are welcome again.
const RECOVERY_DELAY_S: f64 = 0.03;

/// The time without delays after which callers are welcome again: the platform asks once a second,
/// and acts on the second answer.
const MIN_RECOVERY: Duration = Duration::from_secs(2);

/// The longest such time: it doubles each time that strain is back within [`LATELY`], so that what
/// strains a small process stays with those that can bear it.
const MAX_RECOVERY: Duration = Duration::from_secs(32);

/// The time after which earlier strain says nothing any more.
const RELAPSE_WINDOW: Duration = Duration::from_secs(60);

/// The delays of a process's timers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OverloadDetector {
    /// The mean delay, in seconds.
    mean_delay: f64,
    overloaded: bool,
    /// When delays were last seen.
    last_delay: Time,
    /// The time without delays after which the strain is over.
    recovery: Duration,
    /// When it was last over.
    recovered_at: Time,
}

impl OverloadDetector {
    /// Notes a timer's delay, and returns whether the process is strained where that changes.
    pub(super) fn record(&mut self, now: Time, delay: Duration) -> Option<bool> {
        self.mean_delay += (delay.as_secs_f64() - self.mean_delay) * SMOOTHING;
        if self.mean_delay > RECOVERY_DELAY_S {
            self.last_delay = now;
        }
        let overloaded = match self.overloaded {
            true => now < self.last_delay + self.recovery,
            false => self.mean_delay > OVERLOAD_DELAY_S,
        };
        if overloaded && !self.overloaded {
            let relapsed =
                self.recovery > Duration::ZERO && now < self.recovered_at + RELAPSE_WINDOW;
            self.recovery = match relapsed {
                true => (self.recovery * 2).min(MAX_RECOVERY),
                false => MIN_RECOVERY,
            };
        }
        if self.overloaded && !overloaded {
            self.recovered_at = now;
        }
        let changed = overloaded != self.overloaded;
        self.overloaded = overloaded;
        changed.then_some(overloaded)
    }

    /// Returns whether callers should be sent elsewhere.
    pub(super) fn is_overloaded(&self) -> bool {
        self.overloaded
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn overload_needs_lasting_delays_and_ends_after_a_recovery_period() {
        let mut detector = OverloadDetector::default();
        let mut now = Duration::ZERO;
        let mut run = |detector: &mut OverloadDetector, delay: u64, count: u32| {
            for _ in 0..count {
                now += Duration::from_millis(20 + delay);
                detector.record(now, Duration::from_millis(delay));
            }
            detector.is_overloaded()
        };
        assert!(!run(&mut detector, 400, 1), "one delay is none");
        assert!(!run(&mut detector, 0, 50));
        assert!(run(&mut detector, 300, 20));
        assert!(
            run(&mut detector, 0, 100),
            "some delays are still in the mean"
        );
        assert!(!run(&mut detector, 0, 40));
        // It is back at once, and lasts twice as long.
        assert!(run(&mut detector, 300, 20));
        assert!(run(&mut detector, 0, 200));
        assert!(!run(&mut detector, 0, 40));
    }
}

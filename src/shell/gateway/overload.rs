//! Detects that a process is short of processor time, from its event-loop lag and with hysteresis.

use std::time::Duration;

use crate::ids::Time;

/// The weight of a new delay in the exponentially weighted mean.
const SMOOTHING: f64 = 0.1;

/// The mean delay, in seconds, above which the process is overloaded and callers should be sent
/// elsewhere. It is most of the time that the shortest latency objectives leave beside the targets'
/// own response time.
const OVERLOAD_DELAY_S: f64 = 0.12;

/// The mean delay, in seconds, above which the recovery period of an overloaded process starts
/// again.
const RECOVERY_DELAY_S: f64 = 0.03;

/// The shortest recovery period: the time without delays after which an overload ends. The platform
/// checks readiness once a second and acts on the second answer.
const MIN_RECOVERY: Duration = Duration::from_secs(2);

/// The longest recovery period. It doubles each time that the overload returns within
/// [`RELAPSE_WINDOW`], so that load which overloads a small process stays with larger ones.
const MAX_RECOVERY: Duration = Duration::from_secs(32);

/// The time after the end of an overload within which the next one counts as a relapse.
const RELAPSE_WINDOW: Duration = Duration::from_secs(60);

/// Decides from the delays of a process's timers whether the process is overloaded.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OverloadDetector {
    /// The exponentially weighted mean delay, in seconds.
    mean_delay: f64,
    overloaded: bool,
    /// When the mean delay was last above [`RECOVERY_DELAY_S`].
    last_delay: Time,
    /// The current recovery period; zero before the first overload.
    recovery: Duration,
    /// When the last overload ended.
    recovered_at: Time,
}

impl OverloadDetector {
    /// Records a timer's delay. Returns whether the process is overloaded if that has changed.
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

    /// Returns whether the process is overloaded, so that callers should be sent elsewhere.
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
        assert!(!run(&mut detector, 400, 1), "a single delay is no overload");
        assert!(!run(&mut detector, 0, 50));
        assert!(run(&mut detector, 300, 20));
        assert!(
            run(&mut detector, 0, 100),
            "the recovery period starts when the mean has decayed"
        );
        assert!(!run(&mut detector, 0, 40));
        // The next overload is a relapse, so its recovery period is twice as long.
        assert!(run(&mut detector, 300, 20));
        assert!(run(&mut detector, 0, 200));
        assert!(!run(&mut detector, 0, 40));
    }
}

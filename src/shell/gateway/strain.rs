//! Whether a process has more to do than processor time.

use std::time::Duration;

use crate::ids::Time;

/// The weight of a new delay against all earlier ones.
const GAIN: f64 = 0.1;

/// The mean delay from which on callers are better served elsewhere: most of what the shortest
/// objectives leave beside the targets' own time.
const STRAINED: f64 = 0.12;

/// The mean delay below which they are welcome again.
const RELIEVED: f64 = 0.03;

/// The time without delays after which callers are welcome again: the platform asks once a second,
/// and acts on the second answer.
const CALM_TIME: Duration = Duration::from_secs(2);

/// The longest such time: it doubles each time that strain is back within [`LATELY`], so that what
/// strains a small process stays with those that can bear it.
const MOST_CALM: Duration = Duration::from_secs(32);

/// The time after which earlier strain says nothing any more.
const LATELY: Duration = Duration::from_secs(60);

/// The delays of a process's timers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Strain {
    /// The mean delay, in seconds.
    delay: f64,
    strained: bool,
    /// When delays were last seen.
    seen: Time,
    /// The time without delays after which the strain is over.
    calm: Duration,
    /// When it was last over.
    over: Time,
}

impl Strain {
    /// Notes a timer's delay, and returns whether the process is strained where that changes.
    pub(super) fn note(&mut self, now: Time, delay: Duration) -> Option<bool> {
        self.delay += (delay.as_secs_f64() - self.delay) * GAIN;
        if self.delay > RELIEVED {
            self.seen = now;
        }
        let strained = match self.strained {
            true => now < self.seen + self.calm,
            false => self.delay > STRAINED,
        };
        if strained && !self.strained {
            let again = self.calm > Duration::ZERO && now < self.over + LATELY;
            self.calm = match again {
                true => (self.calm * 2).min(MOST_CALM),
                false => CALM_TIME,
            };
        }
        if self.strained && !strained {
            self.over = now;
        }
        let changed = strained != self.strained;
        self.strained = strained;
        changed.then_some(strained)
    }

    /// Returns whether callers should be sent elsewhere.
    pub(super) fn is_strained(&self) -> bool {
        self.strained
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn strain_comes_with_lasting_delays_and_goes_slowly() {
        let mut strain = Strain::default();
        let mut now = Duration::ZERO;
        let mut run = |strain: &mut Strain, delay: u64, count: u32| {
            for _ in 0..count {
                now += Duration::from_millis(20 + delay);
                strain.note(now, Duration::from_millis(delay));
            }
            strain.is_strained()
        };
        assert!(!run(&mut strain, 400, 1), "one delay is none");
        assert!(!run(&mut strain, 0, 50));
        assert!(run(&mut strain, 300, 20));
        assert!(
            run(&mut strain, 0, 100),
            "some delays are still in the mean"
        );
        assert!(!run(&mut strain, 0, 40));
        // It is back at once, and lasts twice as long.
        assert!(run(&mut strain, 300, 20));
        assert!(run(&mut strain, 0, 200));
        assert!(!run(&mut strain, 0, 40));
    }
}

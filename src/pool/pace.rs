//! How long an engine takes to its first event, learnt from what it did.

use std::time::Duration;

/// The weight of a new observation against all earlier ones.
const GAIN: f64 = 0.02;

/// The time of a token before anything is observed, in milliseconds: 80 tokens a
/// millisecond, the order of magnitude of today's engines beside running requests.
const FIRST_SLOPE: f64 = 1.0 / 80.0;

/// The time of an empty prompt before anything is observed, in milliseconds.
const FIRST_BASE: f64 = 60.0;

/// The bounds of the learnt time of a token, in milliseconds; beyond them the observations
/// say more about other waits than about reading.
const SLOPES: (f64, f64) = (1.0 / 300.0, 1.0 / 25.0);

/// A running linear regression of the time to the first event over the tokens to read
/// before it, with exponential forgetting (recursive least squares on moments).
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel {
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        // Two points on the line of the first guess.
        let (low, high) = (0.0, 20_000.0);
        let y = |x: f64| FIRST_BASE + x * FIRST_SLOPE;
        Self {
            x: (low + high) / 2.0,
            y: (y(low) + y(high)) / 2.0,
            xx: (low * low + high * high) / 2.0,
            xy: (low * y(low) + high * y(high)) / 2.0,
        }
    }
}

impl LatencyModel {
    /// Notes that an engine took `time` to a first event with `tokens` to read before it.
    pub fn observe(&mut self, tokens: u64, time: Duration) {
        let (x, y) = (tokens as f64, millis(time));
        let blend = |old: &mut f64, new: f64| *old += (new - *old) * GAIN;
        blend(&mut self.x, x);
        blend(&mut self.y, y);
        blend(&mut self.xx, x * x);
        blend(&mut self.xy, x * y);
    }

    /// Returns the time of one token in milliseconds.
    pub fn slope(&self) -> f64 {
        let spread = self.xx - self.x * self.x;
        let slope = match spread > 1.0 {
            true => (self.xy - self.x * self.y) / spread,
            false => FIRST_SLOPE,
        };
        slope.clamp(SLOPES.0, SLOPES.1)
    }

    /// Returns the expected time to a first event with `tokens` to read before it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::LatencyModel;
    /// let mut pace = LatencyModel::default();
    /// for i in 0..2_000 {
    ///     let tokens = 1_000 * (i % 10);
    ///     pace.observe(tokens, Duration::from_millis(40 + tokens / 100));
    /// }
    /// let guess = pace.expect(5_000).as_millis();
    /// assert!((85..=95).contains(&guess), "{guess}");
    /// ```
    pub fn expect(&self, tokens: u64) -> Duration {
        let slope = self.slope();
        let base = (self.y - self.x * slope).max(0.0);
        Duration::from_secs_f64((base + tokens as f64 * slope) / 1_000.0)
    }
}

/// Returns a duration in milliseconds.
pub(super) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

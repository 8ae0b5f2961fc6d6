//! The expected time from sending a prompt to an engine until the first event of its answer.

use std::time::Duration;

/// The weight of a new observation in the exponentially weighted means.
const GAIN: f64 = 0.02;

/// The initial estimate of the time per token, in milliseconds: 80 tokens per millisecond, the
/// order of magnitude of current engines that run other requests at the same time.
const INITIAL_SLOPE: f64 = 1.0 / 80.0;

/// The initial estimate of the time for an empty prompt, in milliseconds.
const INITIAL_BASE: f64 = 60.0;

/// The bounds of the estimated time per token, in milliseconds. An estimate outside them mostly
/// reflects other delays than the reading of prompts.
const SLOPE_BOUNDS: (f64, f64) = (1.0 / 300.0, 1.0 / 25.0);

/// The tokens of a common prompt.
const COMMON_TOKENS: u64 = 4_000;

/// A linear regression of the time to the first event on the prompt tokens that the engine reads
/// before it, updated with each observation and with exponential forgetting (recursive least
/// squares on moments).
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel {
    /// The mean of the tokens.
    x: f64,
    /// The mean of the times, in milliseconds.
    y: f64,
    /// The mean of the squared tokens.
    xx: f64,
    /// The mean of the products of tokens and times.
    xy: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        // The moments of two points on the line of the initial estimate.
        let (low, high) = (0.0, 20_000.0);
        let y = |x: f64| INITIAL_BASE + x * INITIAL_SLOPE;
        Self {
            x: (low + high) / 2.0,
            y: (y(low) + y(high)) / 2.0,
            xx: (low * low + high * high) / 2.0,
            xy: (low * y(low) + high * y(high)) / 2.0,
        }
    }
}

impl LatencyModel {
    /// Adds an observation: the first event came after `time`, with `tokens` to read before it.
    pub fn observe(&mut self, tokens: u64, time: Duration) {
        let (x, y) = (tokens as f64, millis(time));
        let blend = |old: &mut f64, new: f64| *old += (new - *old) * GAIN;
        blend(&mut self.x, x);
        blend(&mut self.y, y);
        blend(&mut self.xx, x * x);
        blend(&mut self.xy, x * y);
    }

    /// Returns the estimated time per token, in milliseconds.
    pub fn slope(&self) -> f64 {
        let spread = self.xx - self.x * self.x;
        let slope = match spread > 1.0 {
            true => (self.xy - self.x * self.y) / spread,
            false => INITIAL_SLOPE,
        };
        slope.clamp(SLOPE_BOUNDS.0, SLOPE_BOUNDS.1)
    }

    /// Returns the natural logarithm of the expected time for a common prompt, divided by what the
    /// initial estimate expects: a unit in which routers can compare what they see.
    pub fn level(&self) -> f64 {
        let initial = INITIAL_BASE + COMMON_TOKENS as f64 * INITIAL_SLOPE;
        (millis(self.predict(COMMON_TOKENS)) / initial).ln()
    }

    /// Returns the expected time to the first event, with `tokens` to read before it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::LatencyModel;
    /// let mut model = LatencyModel::default();
    /// for i in 0..2_000 {
    ///     let tokens = 1_000 * (i % 10);
    ///     model.observe(tokens, Duration::from_millis(40 + tokens / 100));
    /// }
    /// let guess = model.predict(5_000).as_millis();
    /// assert!((85..=95).contains(&guess), "{guess}");
    /// ```
    pub fn predict(&self, tokens: u64) -> Duration {
        let slope = self.slope();
        let base = (self.y - self.x * slope).max(0.0);
        Duration::from_secs_f64((base + tokens as f64 * slope) / 1_000.0)
    }
}

pub(super) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

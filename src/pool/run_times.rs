//! How long requests take, by which a process that stops decides what it can still answer.

use std::{
    collections::HashMap,
    time::Duration, //
};

/// The weight of a new time in the mean, as in the estimate of round-trip times of TCP (RFC 6298).
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// The weight of a new difference in the mean deviation, from the same source.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// The number of mean deviations above the mean within which a request is expected to end, from the
/// same source.
const DEVIATIONS: f64 = 4.0;

/// The largest number of routes whose times are kept.
const MAX_ROUTES: usize = 4_096;

/// The mean and the mean deviation of the times of a route, in seconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// The times from the arrival of requests to the end of their answers, by route.
///
/// ```
/// use std::time::Duration;
/// use redwingyard::pool::RunTimes;
///
/// let mut times = RunTimes::default();
/// assert_eq!(times.expected(7), None);
/// for _ in 0..20 {
///     times.observe(7, Duration::from_millis(800));
/// }
/// assert!(times.expected(7).unwrap() < Duration::from_millis(850));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunTimes(HashMap<u32, Estimate>);

impl RunTimes {
    /// Adds the time that a request of a route has taken.
    pub fn observe(&mut self, route: u32, time: Duration) {
        let time = time.as_secs_f64();
        if let Some(estimate) = self.0.get_mut(&route) {
            let difference = (time - estimate.mean).abs();
            estimate.deviation += (difference - estimate.deviation) * DEVIATION_GAIN;
            estimate.mean += (time - estimate.mean) * MEAN_GAIN;
        } else if self.0.len() < MAX_ROUTES {
            let deviation = time / 2.0;
            let mean = time;
            self.0.insert(route, Estimate { mean, deviation });
        }
    }

    /// Returns the time within which a request of a route is expected to end, or `None` if none has
    /// ended so far.
    pub fn expected(&self, route: u32) -> Option<Duration> {
        let estimate = self.0.get(&route)?;
        let time = estimate.mean + DEVIATIONS * estimate.deviation;
        Some(Duration::from_secs_f64(time))
    }
}

//! The bounds of a graceful stop, which end when the platform kills the process.

use std::time::Duration;

use crate::ids::Time;

/// The part of the stop timeout that is reserved for the process to exit.
pub const STOP_MARGIN: Duration = Duration::from_millis(300);

/// The time after the signal of a stop in which callers that have not been told still send requests
/// and open connections: two readiness checks a second apart, and the time until the platform acts on
/// the second one.
pub const ACCEPT_GRACE: Duration = Duration::from_millis(2_600);

/// The fraction of the stop timeout that a stop lasts at least, if its signal was not noticed too late:
/// operators expect requests in hand to have nearly all of it.
const LEAST_FRACTION: (u32, u32) = (5, 6);

/// The multiple of its expected time that must be left of a stop for a request which may have been sent
/// after the time in which callers still come.
const CAUTION: u32 = 2;

/// The time between the earliest date of the signal of a stop and the last moment at which requests
/// may end.
///
/// The platform counts the timeout from when it sent the signal, which is not known here. A process
/// that lacks processor time notices the signal late, and may be as late again when it ends.
///
/// ```
/// use std::time::Duration;
/// use redwingyard::pool::{STOP_MARGIN, Stop};
///
/// let (begun, noticed) = (Duration::from_secs(60), Duration::from_millis(60_500));
/// let stop = Stop::new(begun, noticed, Duration::from_secs(8));
/// assert_eq!(stop.end(), Duration::from_millis(67_500) - STOP_MARGIN);
///
/// let (latest, expected) = (Duration::from_secs(69), Duration::from_secs(1));
/// assert!(stop.admits(noticed, noticed, latest, expected));
/// let late = Duration::from_secs(63);
/// assert!(!stop.admits(late, late, latest, expected));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    begun: Time,
    end: Time,
}

impl Stop {
    /// Creates the bounds of a stop whose signal came at `begun` at the earliest and was noticed at
    /// `noticed`. The process is killed `timeout` after the signal.
    ///
    /// As much time as the signal lay unnoticed is reserved at the end, so far as five sixths of the timeout
    /// remain from when it was noticed.
    pub fn new(begun: Time, noticed: Time, timeout: Duration) -> Self {
        let end = begun + timeout.saturating_sub(STOP_MARGIN);
        let late = noticed.saturating_sub(begun);
        let (numerator, denominator) = LEAST_FRACTION;
        let least = noticed + timeout * numerator / denominator;
        Self {
            begun,
            end: end.saturating_sub(late).max(least.min(end)),
        }
    }

    /// Returns when every request must have ended.
    pub fn end(&self) -> Time {
        self.end
    }

    /// Returns whether a request may begin that arrived at `arrived` at the earliest, must have ended
    /// at `latest` and is expected to take `expected`.
    ///
    /// For [`ACCEPT_GRACE`], in which callers still come that have not been told of the stop, an expectation
    /// is enough. After that, only a request is admitted that ends by its deadline before the stop does. One
    /// that may have arrived before or after must fit with a margin.
    pub fn admits(&self, now: Time, arrived: Time, latest: Time, expected: Duration) -> bool {
        let grace_end = self.begun + ACCEPT_GRACE;
        let margin = if now < grace_end { 1 } else { CAUTION };
        latest <= self.end || arrived < grace_end && self.fits(now, latest, expected * margin)
    }

    /// Returns whether a request that has been admitted is expected to end in time if it is sent to a
    /// target now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::Stop;
    ///
    /// let begun = Duration::from_secs(60);
    /// let stop = Stop::new(begun, begun, Duration::from_secs(8));
    /// let (latest, expected) = (Duration::from_secs(72), Duration::from_secs(2));
    /// assert!(stop.fits(Duration::from_secs(65), latest, expected));
    /// assert!(!stop.fits(Duration::from_secs(66), latest, expected));
    /// ```
    pub fn fits(&self, now: Time, latest: Time, expected: Duration) -> bool {
        latest <= self.end || now + expected < self.end
    }
}

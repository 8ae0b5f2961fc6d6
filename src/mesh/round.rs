//! The interval between rounds of sending aggregates, derived from the cost of a round.

use std::time::Duration;

/// The shortest interval between rounds. It is a fraction of the shortest latency objective, so
/// that loads are fresh when a request is placed.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// The longest interval between rounds; older loads are of little use for placing requests.
const MAX_INTERVAL: Duration = Duration::from_millis(600);

/// The time until the next round that each datagram of a round accounts for: 60 datagrams a second
/// cost a hundredth of a core.
const DATAGRAM_INTERVAL: Duration = Duration::from_micros(16_667);

/// The bandwidth for control traffic of one router, in bytes per second. It is exceeded by rounds
/// that are too large for it at [`MAX_INTERVAL`].
const BYTE_RATE: f64 = 19_000.0;

/// The cost of one round of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundCost {
    /// The number of datagrams, counted once for each recipient.
    pub datagrams: usize,
    /// Their total size in bytes.
    pub bytes: usize,
}

impl RoundCost {
    /// Adds a datagram of `bytes` bytes that is sent to `recipients` routers.
    pub fn add(&mut self, bytes: usize, recipients: usize) {
        self.datagrams += recipients;
        self.bytes += bytes * recipients;
    }

    /// Returns the time until the next round, which grows with the cost of this one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::mesh::RoundCost;
    /// let mut round = RoundCost::default();
    /// assert_eq!(round.interval(), Duration::from_millis(100));
    /// round.add(500, 12);
    /// assert_eq!(round.interval().as_millis(), 315);
    /// ```
    pub fn interval(&self) -> Duration {
        let bytes = Duration::from_secs_f64(self.bytes as f64 / BYTE_RATE);
        let datagrams = DATAGRAM_INTERVAL.mul_f64(self.datagrams as f64);
        bytes.max(datagrams).clamp(MIN_INTERVAL, MAX_INTERVAL)
    }
}

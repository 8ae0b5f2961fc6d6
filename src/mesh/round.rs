//! How often figures are told, by what telling them costs.

use std::time::Duration;

/// The least interval of the rounds: a part of the shortest objective, so that loads are fresh
/// when a request is placed.
const LEAST_INTERVAL: Duration = Duration::from_millis(100);

/// The longest interval of the rounds: loads that are older say little.
const MOST_INTERVAL: Duration = Duration::from_millis(600);

/// The time that each datagram takes from the rounds: 60 a second cost a hundredth of a core.
const DATAGRAM_TIME: Duration = Duration::from_micros(16_667);

/// The bytes that are sent in a second, what a router may use for control, as long as rounds
/// are not put off for longer than [`MOST_INTERVAL`].
const BYTE_RATE: f64 = 19_000.0;

/// What one round has cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoundCost {
    /// The datagrams that were sent.
    pub datagrams: usize,
    /// Their bytes.
    pub bytes: usize,
}

impl RoundCost {
    /// Counts a datagram of some bytes that goes to some listeners.
    pub fn add(&mut self, bytes: usize, listeners: usize) {
        self.datagrams += listeners;
        self.bytes += bytes * listeners;
    }

    /// Returns the time until the next round.
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
        let datagrams = DATAGRAM_TIME.mul_f64(self.datagrams as f64);
        bytes.max(datagrams).clamp(LEAST_INTERVAL, MOST_INTERVAL)
    }
}

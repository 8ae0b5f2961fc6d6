//! The limit on the requests that an engine runs concurrently.
//!
//! Each prompt that an engine reads delays the next token of all requests that it runs. An engine
//! that accepts prompts as fast as it can read them slows every stream so far that none ends in
//! time. The limit therefore adapts to the observed speed of the streams: it shrinks while they
//! are too slow to end in time, and grows while they are fast enough and it is nearly reached.

use std::time::Duration;

use super::latency::millis;
use crate::ids::Time;

/// The shortest interval between two adjustments, in which each stream has several events.
const INTERVAL: Duration = Duration::from_millis(500);

/// The fraction of a request's time budget within which a long stream should end.
const BUDGET_FRACTION: f64 = 0.25;

/// The quantile of stream lengths that is taken as the length of a long stream.
const LONG_QUANTILE: f64 = 0.95;

/// The step size of the quantile estimate for each stream, as a fraction of the estimate.
const QUANTILE_STEP: f64 = 0.05;

/// The initial estimate of the quantile, in events.
const INITIAL_LENGTH: f64 = 100.0;

/// The factor by which the limit is multiplied when streams are too slow.
const DECREASE_FACTOR: f64 = 0.93;

/// The requests by which the limit is increased when streams are fast enough.
const INCREASE: f64 = 1.0;

/// The lowest value of the limit, for an engine with at least that many slots.
const MIN_LIMIT: f64 = 4.0;

/// The initial limit, as a fraction of the engine's slots.
const INITIAL_FRACTION: f64 = 0.4;

/// A limit on the requests that an engine runs concurrently, adjusted by additive increase and
/// multiplicative decrease.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    slots: f64,
    limit: f64,
    /// The estimated length of a long stream, in events.
    long_length: f64,
    /// The longest time that any request had left after its first event.
    budget: Duration,
    /// The events since the last adjustment.
    events: u32,
    /// When the limit was last adjusted.
    adjusted: Time,
}

impl ConcurrencyLimit {
    /// Creates the limit of an engine with `slots`.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: (slots * INITIAL_FRACTION).max(MIN_LIMIT).min(slots),
            long_length: INITIAL_LENGTH,
            budget: Duration::ZERO,
            events: 0,
            adjusted: Duration::ZERO,
        }
    }

    /// Returns the current limit.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Records the time from the first event of a request to its deadline.
    pub fn record_budget(&mut self, budget: Duration) {
        self.budget = self.budget.max(budget);
    }

    /// Counts events that the engine has sent.
    pub fn record_events(&mut self, events: u32) {
        self.events += events;
    }

    /// Records the length of a stream that has ended, in events.
    pub fn record_length(&mut self, events: u32) {
        // Stochastic approximation of a quantile (Robbins and Monro, 1951).
        let step = self.long_length * QUANTILE_STEP;
        self.long_length += match f64::from(events) > self.long_length {
            true => step * LONG_QUANTILE,
            false => -step * (1.0 - LONG_QUANTILE),
        };
    }

    /// Adjusts the limit by the events since the last adjustment. This router's `own` streams sent
    /// these events, while routers together have `all` requests at the engine.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::ConcurrencyLimit;
    /// let mut limit = ConcurrencyLimit::new(128);
    /// limit.record_budget(Duration::from_secs(15));
    /// // Each of 60 streams sent 1 event in half a second, so 100 events would take 50 s.
    /// limit.record_events(60);
    /// limit.adjust(Duration::from_millis(500), 60, 64);
    /// assert_eq!(limit.limit(), 47);
    /// ```
    pub fn adjust(&mut self, now: Time, own: u32, all: u32) {
        let passed = now.saturating_sub(self.adjusted);
        if passed < INTERVAL {
            return;
        }
        let events = std::mem::take(&mut self.events);
        self.adjusted = now;
        if own == 0 || self.budget == Duration::ZERO {
            return;
        }
        let event_interval = millis(passed) * f64::from(own) / f64::from(events.max(1));
        let slow = event_interval * self.long_length > millis(self.budget) * BUDGET_FRACTION;
        if slow {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT.min(self.slots));
        } else if f64::from(all) > self.limit * 0.9 {
            self.limit = (self.limit + INCREASE).min(self.slots);
        }
    }
}

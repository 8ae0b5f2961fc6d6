//! How many requests an engine may run at a time.
//!
//! Each prompt that an engine reads delays the next token of all requests that it runs. An
//! engine that takes in prompts as fast as it can read them makes every stream so slow that
//! none ends in time. The limit follows what is seen: it shrinks while streams are too slow
//! to end in time, and grows while they are not and it binds.

use std::time::Duration;

use super::pace::millis;
use crate::ids::Time;

/// The interval at which the limit is adjusted: some events of each stream.
const INTERVAL: Duration = Duration::from_millis(500);

/// The part of the time that a request has in which a long stream should end.
const TIME_PART: f64 = 0.25;

/// The quantile of the lengths of streams that counts as long.
const LONG: f64 = 0.95;

/// How far one stream moves the estimate of that quantile, as a part of the estimate.
const STEP: f64 = 0.05;

/// The estimate before any stream has ended, in events.
const FIRST_LONG: f64 = 100.0;

/// The part by which the limit shrinks.
const SHRINK: f64 = 0.93;

/// The requests by which the limit grows.
const GROW: f64 = 1.0;

/// The least limit.
const LEAST: f64 = 4.0;

/// The part of an engine's slots that the limit begins with.
const FIRST_PART: f64 = 0.4;

/// The limit on the requests that an engine runs at a time (additive increase,
/// multiplicative decrease).
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    slots: f64,
    limit: f64,
    long: f64,
    time: Duration,
    events: u32,
    adjusted: Time,
}

impl ConcurrencyLimit {
    /// Creates the limit of an engine that has `slots`.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            limit: (slots * FIRST_PART).max(LEAST).min(slots),
            long: FIRST_LONG,
            time: Duration::ZERO,
            events: 0,
            adjusted: Duration::ZERO,
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Notes the time that a request has from its first event on.
    pub fn allow(&mut self, time: Duration) {
        self.time = self.time.max(time);
    }

    /// Counts events that the engine has made.
    pub fn count(&mut self, events: u32) {
        self.events += events;
    }

    /// Notes the length of a stream that has ended.
    pub fn finish(&mut self, events: u32) {
        // Stochastic approximation of a quantile (Robbins and Monro, 1951).
        let step = self.long * STEP;
        self.long += match f64::from(events) > self.long {
            true => step * LONG,
            false => -step * (1.0 - LONG),
        };
    }

    /// Adjusts the limit by the events since the last time, of `own` streams among `all`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::ConcurrencyLimit;
    /// let mut batch = ConcurrencyLimit::new(128);
    /// batch.allow(Duration::from_secs(15));
    /// // Each of 60 streams makes 1 event in half a second: 100 events would take 50 s.
    /// batch.count(60);
    /// batch.adjust(Duration::from_millis(500), 60, 64);
    /// assert_eq!(batch.limit(), 47);
    /// ```
    pub fn adjust(&mut self, now: Time, own: u32, all: u32) {
        let passed = now.saturating_sub(self.adjusted);
        if passed < INTERVAL {
            return;
        }
        let events = std::mem::take(&mut self.events);
        self.adjusted = now;
        if own == 0 || self.time == Duration::ZERO {
            return;
        }
        let each = millis(passed) * f64::from(own) / f64::from(events.max(1));
        let slow = each * self.long > millis(self.time) * TIME_PART;
        if slow {
            self.limit = (self.limit * SHRINK).max(LEAST.min(self.slots));
        } else if f64::from(all) > self.limit * 0.9 {
            self.limit = (self.limit + GROW).min(self.slots);
        }
    }
}

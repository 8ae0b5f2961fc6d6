//! Which sidecars know that a queue has requests.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::ids::{
    Target,
    Time, //
};

/// The sidecars told of each waiting request at first (batch sampling, Sparrow).
const PROBES: usize = 4;

/// The interval at which more sidecars are told of requests that still wait.
const WIDEN_INTERVAL: Duration = Duration::from_millis(25);

/// The factor by which a number may be off before a sidecar is told again.
const ROUGHNESS: u32 = 4;

/// The sidecars that have been told of one queue, with the number that they know.
#[derive(Debug, Default)]
pub(super) struct Probes {
    told: BTreeMap<Target, u32>,
    widened: Time,
    reach: usize,
    waiting: usize,
    used_up: bool,
}

impl Probes {
    /// Notes that a sidecar has used one request of what it was told.
    pub(super) fn use_one(&mut self, target: Target) {
        if let Some(count) = self.told.get_mut(&target) {
            *count -= 1;
            if *count == 0 {
                self.used_up = true;
                self.told.remove(&target);
            }
        }
    }

    /// Notes that a sidecar has gone.
    pub(super) fn forget(&mut self, target: Target) {
        self.used_up = true;
        self.told.remove(&target);
    }

    /// Returns whether no sidecar has been told.
    pub(super) fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// Returns whether any sidecar has been told.
    pub(super) fn knows(&self, target: Target) -> bool {
        self.told.contains_key(&target)
    }

    /// Returns whether sidecars need to be told of `waiting` requests, of `members` that
    /// could be.
    pub(super) fn is_due(&mut self, now: Time, waiting: usize, members: usize) -> bool {
        let roughness = ROUGHNESS as usize;
        let empty = (waiting == 0) != (self.waiting == 0);
        let far = waiting >= self.waiting * roughness || waiting * roughness <= self.waiting;
        let widen = self.told.len() < members && now >= self.widened + WIDEN_INTERVAL;
        let due = waiting > 0 && (far || widen || self.used_up) || empty;
        if due {
            self.waiting = waiting;
            self.used_up = false;
        }
        due
    }

    /// Returns how many sidecars should know of `waiting` requests.
    pub(super) fn reach(&mut self, now: Time, waiting: usize) -> usize {
        if waiting == 0 {
            self.reach = 0;
            return 0;
        }
        if self.reach == 0 {
            self.reach = PROBES;
            self.widened = now;
        }
        if now >= self.widened + WIDEN_INTERVAL {
            self.reach = self.reach.saturating_mul(2);
            self.widened = now;
        }
        self.reach.max(PROBES.saturating_mul(waiting))
    }

    /// Returns how many sidecars have been told.
    pub(super) fn len(&self) -> usize {
        self.told.len()
    }

    /// Notes what a sidecar should know and returns whether to tell it.
    pub(super) fn tell(&mut self, target: Target, count: u32) -> bool {
        let known = self.told.get(&target).copied().unwrap_or_default();
        let far = match (known, count) {
            (0, 0) => false,
            (0, _) | (_, 0) => true,
            _ => count >= known * ROUGHNESS || count * ROUGHNESS <= known,
        };
        if far {
            match count {
                0 => self.told.remove(&target),
                _ => self.told.insert(target, count),
            };
        }
        far
    }

    /// Returns the sidecars that have been told.
    pub(super) fn targets(&self) -> Vec<Target> {
        self.told.keys().copied().collect()
    }
}

//! Probes: the numbers of waiting requests that were sent to sidecars.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::ids::{
    Target,
    Time, //
};

/// The number of sidecars probed for each waiting request at first (batch sampling, as in
/// Sparrow).
const PROBES_PER_REQUEST: usize = 4;

/// The interval at which the least number of probed sidecars doubles while requests wait.
const WIDEN_INTERVAL: Duration = Duration::from_millis(25);

/// The factor by which a number of waiting requests must change before it is sent again.
const CHANGE_FACTOR: u32 = 4;

/// The sidecars probed for one queue, with the number of waiting requests last sent to each.
#[derive(Debug, Default)]
pub(super) struct Probes {
    sent: BTreeMap<Target, u32>,
    /// When the reach was last set or doubled.
    widened: Time,
    /// The least number of sidecars to probe; it doubles while requests wait.
    reach: usize,
    /// The length of the queue when probes were last due.
    waiting: usize,
    /// Whether a sidecar has used all requests that it was sent, or was removed.
    depleted: bool,
}

impl Probes {
    /// Subtracts a request that a sidecar has granted a slot from the number it was sent.
    pub(super) fn consume(&mut self, target: Target) {
        if let Some(count) = self.sent.get_mut(&target) {
            *count -= 1;
            if *count == 0 {
                self.depleted = true;
                self.sent.remove(&target);
            }
        }
    }

    /// Removes a sidecar whose link has opened or closed.
    pub(super) fn remove(&mut self, target: Target) {
        self.depleted = true;
        self.sent.remove(&target);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    pub(super) fn contains(&self, target: Target) -> bool {
        self.sent.contains_key(&target)
    }

    /// Returns whether probes for `waiting` requests are due, where `members` is the number of
    /// sidecars that could be probed.
    pub(super) fn is_due(&mut self, now: Time, waiting: usize, members: usize) -> bool {
        let factor = CHANGE_FACTOR as usize;
        let toggled = (waiting == 0) != (self.waiting == 0);
        let changed = waiting >= self.waiting * factor || waiting * factor <= self.waiting;
        let widen = self.sent.len() < members && now >= self.widened + WIDEN_INTERVAL;
        let due = waiting > 0 && (changed || widen || self.depleted) || toggled;
        if due {
            self.waiting = waiting;
            self.depleted = false;
        }
        due
    }

    /// Returns how many sidecars to probe for `waiting` requests.
    pub(super) fn reach(&mut self, now: Time, waiting: usize) -> usize {
        if waiting == 0 {
            self.reach = 0;
            return 0;
        }
        if self.reach == 0 {
            self.reach = PROBES_PER_REQUEST;
            self.widened = now;
        }
        if now >= self.widened + WIDEN_INTERVAL {
            self.reach = self.reach.saturating_mul(2);
            self.widened = now;
        }
        self.reach.max(PROBES_PER_REQUEST.saturating_mul(waiting))
    }

    pub(super) fn len(&self) -> usize {
        self.sent.len()
    }

    /// Records the number of requests for a sidecar and returns whether to send it.
    pub(super) fn update(&mut self, target: Target, count: u32) -> bool {
        let sent = self.sent.get(&target).copied().unwrap_or_default();
        let changed = match (sent, count) {
            (0, 0) => false,
            (0, _) | (_, 0) => true,
            _ => count >= sent * CHANGE_FACTOR || count * CHANGE_FACTOR <= sent,
        };
        if changed {
            match count {
                0 => self.sent.remove(&target),
                _ => self.sent.insert(target, count),
            };
        }
        changed
    }

    pub(super) fn targets(&self) -> Vec<Target> {
        self.sent.keys().copied().collect()
    }
}

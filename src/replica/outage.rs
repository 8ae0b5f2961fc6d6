//! Whether targets' entries may have lapsed while the store was away.
//!
//! Targets renew their entries at the store, so an entry lapses only if the store was away for its target.
//! That a gateway has not asked for a while, or that its connections went silent, says nothing about that.

use std::time::Duration;

use crate::ids::Time;

/// The shortest outage of the store in which targets' entries may have lapsed without the targets
/// being gone: less than the time of two missed heartbeats. After a shorter outage, a missing
/// entry means that its target is gone.
pub const MIN_LAPSE_OUTAGE: Duration = Duration::from_millis(1_500);

/// What is known of an outage of the store.
///
/// It is taken to have been away for everybody if it has refused a new connection of this gateway, or left
/// it unanswered, and is known to have answered neither this gateway nor another one for
/// [`MIN_LAPSE_OUTAGE`].
///
/// ```
/// use std::time::Duration;
/// use redwingyard::replica::Outage;
///
/// let mut outage = Outage::default();
/// outage.record_answer(Duration::from_secs(1));
/// outage.record_refusal();
/// // Another gateway has had an answer meanwhile.
/// outage.record_answer(Duration::from_secs(2));
/// outage.record_answer(Duration::from_secs(3));
/// assert!(!outage.may_have_lapsed());
/// outage.record_answer(Duration::from_secs(5));
/// assert!(outage.may_have_lapsed());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
    /// When the store is last known to have answered a gateway.
    answered: Option<Time>,
    /// The longest time between two such answers.
    longest: Duration,
    /// Whether a call on a new connection has failed.
    refused: bool,
}

impl Outage {
    /// Records that the store has answered a call that this gateway or another one began at a time.
    pub fn record_answer(&mut self, at: Time) {
        let gap = self.answered.map_or(at, |last| at.saturating_sub(last));
        self.longest = self.longest.max(gap);
        self.answered = self.answered.max(Some(at));
    }

    /// Records that a call on a new connection has failed.
    pub fn record_refusal(&mut self) {
        self.refused = true;
    }

    /// Returns the longest time between two answers that are known of.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Returns whether a call on a new connection has failed.
    pub fn is_refused(&self) -> bool {
        self.refused
    }

    /// Returns whether entries may have lapsed.
    pub fn may_have_lapsed(&self) -> bool {
        self.refused && self.longest >= MIN_LAPSE_OUTAGE
    }

    /// Records that everything has been read, and returns what was known of the outage before.
    pub fn end(&mut self) -> Self {
        let ended = *self;
        self.longest = Duration::ZERO;
        self.refused = false;
        ended
    }
}

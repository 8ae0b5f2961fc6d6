//! How new the rules and the targets are that a gateway goes by.
//!
//! A gateway follows the store's changes up to some revision. Now and then one of a group asks
//! the store for its newest revision and tells the others: whoever has followed up to there
//! knows that its rules were the newest at that time.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::ids::{
    Revision,
    Time, //
};

/// The time within which changes that others know of must arrive; a watch that is later than
/// that is silent.
const LATE: Duration = Duration::from_millis(500);

/// What a gateway knows of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct Belief {
    /// Up to where the changes are known here.
    seen: Option<Revision>,
    /// When that was the newest revision, at the latest that is known.
    confirmed: Option<Time>,
    /// A newer revision, with a time at which it was the newest one.
    ahead: Option<(Revision, Time)>,
    /// When it was first heard that there are changes which have not arrived.
    behind: Option<Time>,
}

impl Belief {
    /// Notes that the changes up to a revision are known.
    pub(super) fn see(&mut self, revision: Revision) {
        self.seen = Some(revision);
        self.behind = None;
        if let Some((newest, at)) = self.ahead.take() {
            self.hear(at, newest, at);
        }
    }

    /// Notes that a revision was the newest one `at` some time.
    pub(super) fn hear(&mut self, now: Time, newest: Revision, at: Time) {
        match self.seen {
            Some(seen) if seen >= newest => self.confirmed = self.confirmed.max(Some(at)),
            _ => {
                self.ahead = self.ahead.max(Some((newest, at)));
                self.behind.get_or_insert(now);
            }
        }
    }

    /// Returns whether changes should have arrived by now, once for each time that they are late.
    pub(super) fn is_late(&mut self, now: Time) -> bool {
        let late = self.behind.is_some_and(|since| now >= since + LATE);
        if late {
            self.behind = None;
        }
        late
    }

    /// Returns up to where the changes are known, and when that was the newest revision.
    pub(super) fn confirmed(&self) -> Option<(Revision, Time)> {
        Some((self.seen?, self.confirmed?))
    }
}

/// The times at which a gateway sent its last datagrams.
#[derive(Clone, Debug, Default)]
pub(super) struct Sent(VecDeque<(u64, Time)>);

impl Sent {
    /// The datagrams whose times are kept: those of some seconds.
    const KEPT: usize = 64;

    /// Notes that a datagram is sent.
    pub(super) fn note(&mut self, sequence: u64, at: Time) {
        if self.0.len() >= Self::KEPT {
            self.0.pop_front();
        }
        self.0.push_back((sequence, at));
    }

    /// Returns a time that is no later than one that another gateway tells of: `held` after it
    /// received a datagram, something was `age` old.
    ///
    /// The other one received the datagram after it was sent, so this needs no common clock, and
    /// no bound on how long datagrams are on their way.
    pub(super) fn earliest(&self, sequence: u64, held: Duration, age: Duration) -> Option<Time> {
        let (_, at) = self.0.iter().find(|(kept, _)| *kept == sequence)?;
        Some((*at + held).saturating_sub(age))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn millis(time: u64) -> Duration {
        Duration::from_millis(time)
    }

    #[test]
    fn only_what_was_seen_is_confirmed() {
        let mut belief = Belief::default();
        belief.hear(millis(10), 5, millis(8));
        assert_eq!(belief.confirmed(), None);
        belief.see(4);
        assert_eq!(belief.confirmed(), None);
        belief.see(5);
        assert_eq!(belief.confirmed(), Some((5, millis(8))));
        // An older confirmation changes nothing.
        belief.hear(millis(20), 5, millis(7));
        assert_eq!(belief.confirmed(), Some((5, millis(8))));
        // A newer revision has not been followed yet.
        belief.hear(millis(30), 6, millis(29));
        assert_eq!(belief.confirmed(), Some((5, millis(8))));
        assert!(!belief.is_late(millis(529)));
        assert!(belief.is_late(millis(530)));
        belief.see(6);
        assert_eq!(belief.confirmed(), Some((6, millis(29))));
    }

    struct Told {
        held: u64,
        age: u64,
        earliest: u64,
    }

    #[test]
    fn a_told_age_counts_from_what_was_sent_here() {
        let cases = [
            Told {
                held: 50,
                age: 20,
                earliest: 1_030,
            },
            Told {
                held: 50,
                age: 400,
                earliest: 650,
            },
            Told {
                held: 0,
                age: 5_000,
                earliest: 0,
            },
        ];
        let mut sent = Sent::default();
        sent.note(7, millis(1_000));
        for case in cases {
            let earliest = sent.earliest(7, millis(case.held), millis(case.age));
            assert_eq!(earliest, Some(millis(case.earliest)));
        }
        // It is not known when another datagram was sent.
        assert_eq!(sent.earliest(6, millis(50), millis(20)), None);
        for sequence in 8..8 + Sent::KEPT as u64 {
            sent.note(sequence, millis(2_000));
        }
        assert_eq!(sent.earliest(7, millis(50), millis(20)), None);
    }
}

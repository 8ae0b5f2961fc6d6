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
const CHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a gateway knows of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct Freshness {
    /// Up to where the changes are known here.
    applied: Option<Revision>,
    /// When that was the newest revision, at the latest that is known.
    confirmed: Option<Time>,
    /// A newer revision, with a time at which it was the newest one.
    announced: Option<(Revision, Time)>,
    /// When it was first heard that there are changes which have not arrived.
    behind: Option<Time>,
}

impl Freshness {
    /// Notes that the changes up to a revision are known.
    pub(super) fn advance(&mut self, revision: Revision) {
        self.applied = Some(revision);
        self.behind = None;
        if let Some((newest, at)) = self.announced.take() {
            self.observe_newest(at, newest, at);
        }
    }

    /// Notes that a revision was the newest one `at` some time.
    pub(super) fn observe_newest(&mut self, now: Time, newest: Revision, at: Time) {
        match self.applied {
            Some(applied) if applied >= newest => self.confirmed = self.confirmed.max(Some(at)),
            _ => {
                self.announced = self.announced.max(Some((newest, at)));
                self.behind.get_or_insert(now);
            }
        }
    }

    /// Returns whether changes should have arrived by now, once for each time that they are late.
    pub(super) fn take_overdue(&mut self, now: Time) -> bool {
        let overdue = self
            .behind
            .is_some_and(|since| now >= since + CHANGE_TIMEOUT);
        if overdue {
            self.behind = None;
        }
        overdue
    }

    /// Returns up to where the changes are known, and when that was the newest revision.
    pub(super) fn confirmed(&self) -> Option<(Revision, Time)> {
        Some((self.applied?, self.confirmed?))
    }
}

/// The times at which a gateway sent its last datagrams.
#[derive(Clone, Debug, Default)]
pub(super) struct SentTimes(VecDeque<(u64, Time)>);

impl SentTimes {
    /// The datagrams whose times are kept: those of some seconds.
    const CAPACITY: usize = 64;

    /// Notes that a datagram is sent.
    pub(super) fn record(&mut self, sequence: u64, at: Time) {
        if self.0.len() >= Self::CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back((sequence, at));
    }

    /// Returns a time that is no later than one that another gateway tells of: `held` after it
    /// received a datagram, something was `age` old.
    ///
    /// The other one received the datagram after it was sent, so this needs no common clock, and
    /// no bound on how long datagrams are on their way.
    pub(super) fn lower_bound(&self, sequence: u64, held: Duration, age: Duration) -> Option<Time> {
        let (_, at) = self.0.iter().find(|(recorded, _)| *recorded == sequence)?;
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
    fn only_a_revision_that_was_applied_is_confirmed() {
        let mut freshness = Freshness::default();
        freshness.observe_newest(millis(10), 5, millis(8));
        assert_eq!(freshness.confirmed(), None);
        freshness.advance(4);
        assert_eq!(freshness.confirmed(), None);
        freshness.advance(5);
        assert_eq!(freshness.confirmed(), Some((5, millis(8))));
        // An older confirmation changes nothing.
        freshness.observe_newest(millis(20), 5, millis(7));
        assert_eq!(freshness.confirmed(), Some((5, millis(8))));
        // A newer revision has not been followed yet.
        freshness.observe_newest(millis(30), 6, millis(29));
        assert_eq!(freshness.confirmed(), Some((5, millis(8))));
        assert!(!freshness.take_overdue(millis(529)));
        assert!(freshness.take_overdue(millis(530)));
        freshness.advance(6);
        assert_eq!(freshness.confirmed(), Some((6, millis(29))));
    }

    struct ReportedAge {
        held: u64,
        age: u64,
        lower_bound: u64,
    }

    #[test]
    fn a_reported_age_is_bounded_by_the_send_time_of_the_echoed_datagram() {
        let cases = [
            ReportedAge {
                held: 50,
                age: 20,
                lower_bound: 1_030,
            },
            ReportedAge {
                held: 50,
                age: 400,
                lower_bound: 650,
            },
            ReportedAge {
                held: 0,
                age: 5_000,
                lower_bound: 0,
            },
        ];
        let mut sent = SentTimes::default();
        sent.record(7, millis(1_000));
        for case in cases {
            let lower_bound = sent.lower_bound(7, millis(case.held), millis(case.age));
            assert_eq!(lower_bound, Some(millis(case.lower_bound)));
        }
        // It is not known when another datagram was sent.
        assert_eq!(sent.lower_bound(6, millis(50), millis(20)), None);
        for sequence in 8..8 + SentTimes::CAPACITY as u64 {
            sent.record(sequence, millis(2_000));
        }
        assert_eq!(sent.lower_bound(7, millis(50), millis(20)), None);
    }
}

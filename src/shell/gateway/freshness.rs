//! Tracks how stale a gateway's copy of the rules and the targets may be.
//!
//! A gateway has read the store's changes up to some revision. From time to time one gateway of a
//! group asks the store for its newest revision and sends it to the others by gossip. If a gateway
//! has read the changes up to that revision, its copy was the newest one at that time.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::ids::{
    Revision,
    Time, //
};

/// The time within which changes must arrive once a newer revision is known; after it, the watch is
/// taken to be silent and is read again.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// How recent a gateway's copy of the store is known to be.
#[derive(Clone, Debug, Default)]
pub(super) struct Freshness {
    /// The revision up to which changes have been read.
    applied: Option<Revision>,
    /// The last known time at which that was the newest revision.
    confirmed: Option<Time>,
    /// A newer revision that has not been read yet, with a time at which it was the newest one.
    announced: Option<(Revision, Time)>,
    /// When a newer revision was first observed whose changes have not arrived.
    behind: Option<Time>,
    /// Whether the newest configuration can't be read, so that the rules are not the newest.
    unreadable: bool,
}

impl Freshness {
    /// Records that the changes up to a revision have been read.
    pub(super) fn advance(&mut self, revision: Revision) {
        self.applied = Some(revision);
        self.behind = None;
        if let Some((newest, at)) = self.announced.take() {
            self.observe_newest(at, newest, at);
        }
    }

    /// Records whether the newest configuration can't be read. Nothing is confirmed until one can.
    pub(super) fn set_unreadable(&mut self, unreadable: bool) {
        self.unreadable = unreadable;
    }

    /// Returns whether the newest configuration can't be read.
    pub(super) fn is_unreadable(&self) -> bool {
        self.unreadable
    }

    /// Records that `newest` was the store's newest revision at time `at`.
    pub(super) fn observe_newest(&mut self, now: Time, newest: Revision, at: Time) {
        match self.applied {
            Some(applied) if applied >= newest => {
                if !self.unreadable {
                    self.confirmed = self.confirmed.max(Some(at));
                }
            }
            _ => {
                self.announced = self.announced.max(Some((newest, at)));
                self.behind.get_or_insert(now);
            }
        }
    }

    /// Returns whether changes are overdue. Returns `true` once, and again only when a newer
    /// revision is observed and [`CHANGE_TIMEOUT`] passes once more.
    pub(super) fn take_overdue(&mut self, now: Time) -> bool {
        let overdue = self
            .behind
            .is_some_and(|since| now >= since + CHANGE_TIMEOUT);
        if overdue {
            self.behind = None;
        }
        overdue
    }

    /// Returns the revision that has been read and the last time at which it was the newest one.
    pub(super) fn confirmed(&self) -> Option<(Revision, Time)> {
        Some((self.applied?, self.confirmed?))
    }
}

/// The send times of a gateway's last datagrams.
#[derive(Clone, Debug, Default)]
pub(super) struct SentTimes(VecDeque<(u64, Time)>);

impl SentTimes {
    /// The number of datagrams whose send times are kept: those of some seconds.
    const CAPACITY: usize = 64;

    /// Records the send time of a datagram.
    pub(super) fn record(&mut self, sequence: u64, at: Time) {
        if self.0.len() >= Self::CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back((sequence, at));
    }

    /// Converts an age that another gateway reports to a time of this gateway's clock that is no
    /// later than the actual one: `held` after it received this gateway's datagram `sequence`,
    /// something was `age` old there. Returns `None` if the datagram's send time is not kept.
    ///
    /// The other gateway received the datagram after it was sent, so this needs neither a common
    /// clock nor a bound on the latency of datagrams.
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
        // A newer revision has not been read yet.
        freshness.observe_newest(millis(30), 6, millis(29));
        assert_eq!(freshness.confirmed(), Some((5, millis(8))));
        assert!(!freshness.take_overdue(millis(529)));
        assert!(freshness.take_overdue(millis(530)));
        freshness.advance(6);
        assert_eq!(freshness.confirmed(), Some((6, millis(29))));
    }

    struct ReportedAge {
        /// Milliseconds from the receipt of the datagram to the report.
        held: u64,
        /// The reported age, in milliseconds.
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
        // The send time of another datagram is not known.
        assert_eq!(sent.lower_bound(6, millis(50), millis(20)), None);
        for sequence in 8..8 + SentTimes::CAPACITY as u64 {
            sent.record(sequence, millis(2_000));
        }
        assert_eq!(sent.lower_bound(7, millis(50), millis(20)), None);
    }
}

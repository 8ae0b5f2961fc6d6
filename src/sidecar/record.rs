//! The states of attempts, kept for as long as a copy of their dispatch could still arrive.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use super::Answer;
use crate::{
    ids::Time,
    wire::{
        AttemptId,
        Reason, //
    }, //
};

/// The age of the grant or offer of a dispatch from which on the dispatch is refused.
pub const DISPATCH_LIFETIME: Duration = Duration::from_secs(10);

/// The number of records at which further attempts are refused.
const MAX_RECORDS: usize = 200_000;

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It is admitted and waits for a slot.
    Ready,
    /// It runs at the target.
    Running,
    /// The target has answered it completely.
    Ended,
    /// It was refused or failed, and has no complete answer.
    Refused(Reason),
}

/// The state of an attempt and its answer.
#[derive(Clone, Debug)]
pub struct Record {
    /// The state.
    pub state: State,
    /// The answer, as far as the target has sent it.
    pub answer: Answer,
}

/// The records of the attempts that one sidecar incarnation has seen.
///
/// A record is kept until no copy of its dispatch can be accepted any more: a dispatch is
/// refused once its stamp is older than [`DISPATCH_LIFETIME`], and a record is kept for that
/// time after the attempt has ended. A copy therefore never runs a second time.
#[derive(Debug, Default)]
pub struct Records {
    records: HashMap<AttemptId, Record>,
    expiry: VecDeque<(Time, AttemptId)>,
}

impl Records {
    /// Returns the record of an attempt.
    pub fn get(&self, id: AttemptId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// Returns the record of an attempt, to change its answer.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Record> {
        self.records.get_mut(&id)
    }

    /// Returns whether the number of records has reached its maximum.
    pub fn is_full(&self) -> bool {
        self.records.len() >= MAX_RECORDS
    }

    /// Adds the record of an attempt that has not ended.
    pub fn open(&mut self, id: AttemptId, state: State) {
        let answer = Answer::default();
        self.records.insert(id, Record { state, answer });
    }

    /// Changes the state of an attempt that has not ended.
    pub fn set_state(&mut self, id: AttemptId, state: State) {
        if let Some(record) = self.records.get_mut(&id) {
            record.state = state;
        }
    }

    /// Records the final state of an attempt. The record expires after [`DISPATCH_LIFETIME`].
    pub fn close(&mut self, now: Time, id: AttemptId, state: State) {
        let record = self.records.entry(id).or_insert(Record {
            state,
            answer: Answer::default(),
        });
        record.state = state;
        self.expiry.push_back((now + DISPATCH_LIFETIME, id));
    }

    /// Answers a query about an attempt that has no record and was dispatched with `stamp`.
    ///
    /// As long as its dispatch could still arrive, the missing record means that the attempt has
    /// not run. It is recorded as cancelled, so that it will not run later either (presumed
    /// abort). After that time a record could have expired, and the outcome is forgotten.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{sidecar::Records, wire::{Reason, AttemptId}};
    /// let id = AttemptId { incarnation: 1, sequence: 1, attempt: 1 };
    /// let mut records = Records::default();
    /// let reason = records.presume_aborted(Duration::from_secs(3), id, Duration::from_secs(1));
    /// assert_eq!(reason, Reason::Cancelled);
    /// assert!(records.get(id).is_some());
    /// let late = records.presume_aborted(Duration::from_secs(60), id, Duration::from_secs(1));
    /// assert_eq!(late, Reason::Forgotten);
    /// ```
    pub fn presume_aborted(&mut self, now: Time, id: AttemptId, stamp: Time) -> Reason {
        if now > stamp + DISPATCH_LIFETIME {
            return Reason::Forgotten;
        }
        self.close(now, id, State::Refused(Reason::Cancelled));
        Reason::Cancelled
    }

    /// Removes the records that have expired, because no copy of their dispatch can be accepted
    /// any more.
    pub fn expire(&mut self, now: Time) {
        while let Some((until, id)) = self.expiry.front().copied() {
            if until > now {
                break;
            }
            self.expiry.pop_front();
            self.records.remove(&id);
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

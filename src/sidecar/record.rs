//! The outcomes of attempts, kept for as long as a copy of one could still arrive.

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

/// The time after its invitation at which a sidecar refuses a dispatch.
pub const DISPATCH_LIFETIME: Duration = Duration::from_secs(10);

const MAX_RECORDS: usize = 200_000;

/// What a sidecar knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It waits for a slot.
    Ready,
    /// The target has it.
    Running,
    /// The target has answered it.
    Ended,
    /// It has no answer.
    Refused(Reason),
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
pub struct Record {
    /// What happened.
    pub state: State,
    /// The answer as far as it is known.
    pub answer: Answer,
}

/// The outcomes of the attempts that one sidecar incarnation has seen.
///
/// A record outlives every copy of its dispatch: a dispatch is refused once its stamp
/// is older than [`DISPATCH_LIFETIME`], and a record stays that long after its end.
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

    /// Returns the record of an attempt to change its answer.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Record> {
        self.records.get_mut(&id)
    }

    /// Returns whether no further attempt can be recorded.
    pub fn is_full(&self) -> bool {
        self.records.len() >= MAX_RECORDS
    }

    /// Notes an attempt that may still change.
    pub fn open(&mut self, id: AttemptId, state: State) {
        let answer = Answer::default();
        self.records.insert(id, Record { state, answer });
    }

    /// Changes the state of an attempt that has not ended.
    pub fn advance(&mut self, id: AttemptId, state: State) {
        if let Some(record) = self.records.get_mut(&id) {
            record.state = state;
        }
    }

    /// Notes the outcome of an attempt.
    pub fn close(&mut self, now: Time, id: AttemptId, state: State) {
        let record = self.records.entry(id).or_insert(Record {
            state,
            answer: Answer::default(),
        });
        record.state = state;
        self.expiry.push_back((now + DISPATCH_LIFETIME, id));
    }

    /// Answers a question about an attempt dispatched at `stamp`.
    ///
    /// No record means that the attempt did not run, as long as its dispatch could
    /// still arrive; a record is left so that it never will (presumed abort).
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{sidecar::Records, wire::{Reason, AttemptId}};
    /// let id = AttemptId { incarnation: 1, sequence: 1, attempt: 1 };
    /// let mut records = Records::default();
    /// let reason = records.presume(Duration::from_secs(3), id, Duration::from_secs(1));
    /// assert_eq!(reason, Reason::Cancelled);
    /// assert!(records.get(id).is_some());
    /// let late = records.presume(Duration::from_secs(60), id, Duration::from_secs(1));
    /// assert_eq!(late, Reason::Forgotten);
    /// ```
    pub fn presume(&mut self, now: Time, id: AttemptId, stamp: Time) -> Reason {
        if now > stamp + DISPATCH_LIFETIME {
            return Reason::Forgotten;
        }
        self.close(now, id, State::Refused(Reason::Cancelled));
        Reason::Cancelled
    }

    /// Drops the records that no copy of a dispatch can reach any more.
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

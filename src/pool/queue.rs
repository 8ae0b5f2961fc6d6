//! The queue of a service's waiting requests at one router.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use crate::ids::{
    Account,
    Sequence,
    Time, //
};

/// The smoothing of the mean interval between departures: a new interval has a weight of 1/8.
const SMOOTHING: u32 = 8;

/// The intervals that must be observed before waits are estimated from their mean.
const MIN_SAMPLES: u32 = 8;

/// The length from which on an interval is ignored, because the queue was probably idle.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// The waiting requests of a service, with a first-in, first-out queue for each account.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    accounts: BTreeMap<Account, VecDeque<Sequence>>,
    /// The number of waiting requests.
    total: usize,
    last_departure: Option<Time>,
    /// The exponentially weighted mean of the intervals between departures.
    interval: Duration,
    /// The intervals that have been observed.
    samples: u32,
}

impl Queue {
    /// Adds a request at the back of its account's queue.
    pub fn push(&mut self, account: Account, sequence: Sequence) {
        self.accounts
            .entry(account)
            .or_default()
            .push_back(sequence);
        self.total += 1;
    }

    /// Adds a request at the front of its account's queue.
    pub fn push_front(&mut self, account: Account, sequence: Sequence) {
        self.accounts
            .entry(account)
            .or_default()
            .push_front(sequence);
        self.total += 1;
    }

    /// Removes a request and returns whether it was waiting.
    pub fn remove(&mut self, account: Account, sequence: Sequence) -> bool {
        let Some(queue) = self.accounts.get_mut(&account) else {
            return false;
        };
        let Some(at) = queue.iter().position(|other| *other == sequence) else {
            return false;
        };
        queue.remove(at);
        if queue.is_empty() {
            self.accounts.remove(&account);
        }
        self.total -= 1;
        true
    }

    /// Records that a request was sent to a target.
    pub fn record_departure(&mut self, now: Time) {
        if let Some(last) = self.last_departure {
            let gap = now.saturating_sub(last);
            if gap < MAX_INTERVAL {
                self.interval = (self.interval * (SMOOTHING - 1) + gap) / SMOOTHING;
                self.samples = self.samples.saturating_add(1);
            }
        }
        self.last_departure = Some(now);
    }

    /// Returns the expected wait of a new request of an account: the mean departure interval times
    /// the waiting requests of the account itself and of each account that `precedes` it. The
    /// estimate is zero until enough departures have been observed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::Queue;
    /// let mut queue = Queue::default();
    /// for i in 0..1_000 {
    ///     queue.push(7, i);
    ///     queue.record_departure(Duration::from_millis(10 * i));
    /// }
    /// assert!(queue.expected_wait(7, |_| false) > Duration::from_secs(9));
    /// assert!(queue.expected_wait(8, |_| true) > Duration::from_secs(9));
    /// assert!(queue.expected_wait(8, |_| false) < Duration::from_millis(30));
    /// ```
    pub fn expected_wait(&self, account: Account, precedes: impl Fn(Account) -> bool) -> Duration {
        if self.samples < MIN_SAMPLES {
            return Duration::ZERO;
        }
        let before = |(other, _): &(&Account, _)| **other == account || precedes(**other);
        let queues = self.accounts.iter().filter(before);
        let ahead: usize = queues.map(|(_, queue)| queue.len()).sum();
        self.interval * ahead as u32
    }

    /// Returns the queue of an account, unless it is empty.
    pub fn of_account(&self, account: Account) -> Option<&VecDeque<Sequence>> {
        self.accounts.get(&account)
    }

    /// Returns the queue of each account that has waiting requests.
    pub fn accounts(&self) -> impl Iterator<Item = (Account, &VecDeque<Sequence>)> {
        self.accounts
            .iter()
            .map(|(account, queue)| (*account, queue))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.total
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }
}

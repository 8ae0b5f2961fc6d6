//! Bounded queues of requests, one for each service and account.

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
    Service,
    Target,
    Time, //
};

/// How many requests in a row may be chosen by their preferred target ahead of the oldest
/// one.
const MAX_SKIPS: u32 = 4;

/// How many of the oldest requests are searched for one that prefers the target.
const LOOK_AHEAD: usize = 16;

/// The number of departure intervals from which the expected wait is computed; with fewer it
/// is zero.
const MIN_SAMPLES: u32 = 8;

/// The identifier of a queue: its service and its account.
pub(super) type QueueId = (Service, Account);

/// The bounds of a router's queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The most requests of one account that wait for one service.
    pub account: usize,
    /// The most requests that wait at the router.
    pub total: usize,
    /// The most body bytes of waiting requests.
    pub bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            account: 1_000,
            total: 10_000,
            bytes: 16 << 20,
        }
    }
}

/// A queue's entry for a waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiter {
    /// The request.
    pub sequence: Sequence,
    /// The only target that may run it, for a request with an idempotency key.
    pub pinned: Option<Target>,
    /// The target that should run it for locality, if its conversation has one.
    pub preferred: Option<Target>,
    /// The size of its body in bytes.
    pub bytes: usize,
}

#[derive(Debug, Default)]
struct Queue {
    waiters: VecDeque<Waiter>,
    /// The number of waiters that only one target may run.
    pinned: usize,
    /// The number of requests chosen ahead of the oldest one since that was last chosen.
    skips: u32,
    /// When a request last departed.
    departed: Option<Time>,
    /// The moving average of the time between two departures.
    interval: Duration,
    /// The number of intervals in the average.
    samples: u32,
}

/// The requests that wait at a router.
#[derive(Debug, Default)]
pub struct Queues {
    bounds: Bounds,
    queues: BTreeMap<QueueId, Queue>,
    total: usize,
    bytes: usize,
}

impl Queues {
    /// Creates empty queues.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Returns the number of requests in a queue.
    pub fn len(&self, queue_id: QueueId) -> usize {
        self.queues
            .get(&queue_id)
            .map_or(0, |queue| queue.waiters.len())
    }

    /// Returns the number of requests in a queue that a target may run.
    pub fn available(&self, queue_id: QueueId, target: Target) -> usize {
        let Some(queue) = self.queues.get(&queue_id) else {
            return 0;
        };
        let free = queue.waiters.len() - queue.pinned;
        match queue.pinned {
            0 => free,
            _ => free + queue.pinned_to(target),
        }
    }

    /// Returns the target of each request of a queue that is pinned to one.
    pub fn pinned_targets(&self, queue_id: QueueId) -> Vec<Target> {
        match self.queues.get(&queue_id) {
            Some(queue) if queue.pinned > 0 => queue
                .waiters
                .iter()
                .filter_map(|waiter| waiter.pinned)
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Returns the number of requests in a queue that any target may run.
    pub fn unpinned(&self, queue_id: QueueId) -> usize {
        self.queues
            .get(&queue_id)
            .map_or(0, |queue| queue.waiters.len() - queue.pinned)
    }

    /// Returns the number of requests that wait at the router.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns each queue that is not empty with its length.
    pub fn iter(&self) -> impl Iterator<Item = (QueueId, usize)> {
        self.queues
            .iter()
            .filter(|(_, queue)| !queue.waiters.is_empty())
            .map(|(queue_id, queue)| (*queue_id, queue.waiters.len()))
    }

    /// Adds a request and returns the one to refuse if a bound is exceeded.
    ///
    /// If its queue is full, the new request itself is refused. If the router is full, the
    /// newest request of the longest queue is evicted.
    ///
    /// ```
    /// use redwingyard::router::{Bounds, Queues};
    /// let bounds = Bounds { total: 2, ..Bounds::default() };
    /// let mut queues = Queues::new(bounds);
    /// let waiter = |sequence| redwingyard::router::Waiter { sequence, ..Default::default() };
    /// queues.push((1, 7), waiter(1));
    /// queues.push((1, 7), waiter(2));
    /// assert_eq!(queues.push((1, 8), waiter(3)), Some(2));
    /// ```
    pub fn push(&mut self, queue_id: QueueId, waiter: Waiter) -> Option<Sequence> {
        if self.len(queue_id) >= self.bounds.account {
            return Some(waiter.sequence);
        }
        self.queues.entry(queue_id).or_default().push(waiter, false);
        self.total += 1;
        self.bytes += waiter.bytes;
        let full = self.total > self.bounds.total || self.bytes > self.bounds.bytes;
        full.then(|| self.evict()).flatten()
    }

    /// Puts a request back at the front of its queue, without a check of the bounds.
    pub fn push_front(&mut self, queue_id: QueueId, waiter: Waiter) {
        self.queues.entry(queue_id).or_default().push(waiter, true);
        self.total += 1;
        self.bytes += waiter.bytes;
    }

    /// Removes and returns the next request that a target may run.
    pub fn pop(&mut self, now: Time, queue_id: QueueId, target: Target) -> Option<Sequence> {
        let queue = self.queues.get_mut(&queue_id)?;
        let at = queue.choose(target)?;
        queue.record_departure(now);
        let waiter = queue.remove(at)?;
        self.subtract(queue_id, waiter);
        Some(waiter.sequence)
    }

    /// Removes a request from its queue and returns whether it was there.
    pub fn remove(&mut self, queue_id: QueueId, sequence: Sequence) -> bool {
        let Some(queue) = self.queues.get_mut(&queue_id) else {
            return false;
        };
        let found = |waiter: &Waiter| waiter.sequence == sequence;
        let Some(at) = queue.waiters.iter().position(found) else {
            return false;
        };
        let waiter = queue
            .remove(at)
            .expect("position() returned an index within the queue");
        self.subtract(queue_id, waiter);
        true
    }

    /// Returns the expected wait of a request that joins a queue now: the average time
    /// between departures times the length of the queue.
    pub fn expected_wait(&self, queue_id: QueueId) -> Duration {
        match self.queues.get(&queue_id) {
            Some(queue) if queue.samples >= MIN_SAMPLES => {
                queue.interval * queue.waiters.len() as u32
            }
            _ => Duration::ZERO,
        }
    }

    fn subtract(&mut self, queue_id: QueueId, waiter: Waiter) {
        self.total -= 1;
        self.bytes -= waiter.bytes;
        // An empty queue is removed: its next departure interval would include idle time.
        if self.len(queue_id) == 0 {
            self.queues.remove(&queue_id);
        }
    }

    #[cold]
    fn evict(&mut self) -> Option<Sequence> {
        let longest = self
            .queues
            .iter()
            .max_by_key(|(_, queue)| queue.waiters.len())?;
        let queue_id = *longest.0;
        let sequence = longest.1.waiters.back()?.sequence;
        self.remove(queue_id, sequence);
        Some(sequence)
    }
}

impl Queue {
    fn push(&mut self, waiter: Waiter, front: bool) {
        self.pinned += usize::from(waiter.pinned.is_some());
        match front {
            true => self.waiters.push_front(waiter),
            false => self.waiters.push_back(waiter),
        }
    }

    fn remove(&mut self, at: usize) -> Option<Waiter> {
        let waiter = self.waiters.remove(at)?;
        self.pinned -= usize::from(waiter.pinned.is_some());
        Some(waiter)
    }

    fn pinned_to(&self, target: Target) -> usize {
        let same = |waiter: &&Waiter| waiter.pinned == Some(target);
        self.waiters.iter().filter(same).count()
    }

    /// Returns the position of the next request for a target: the oldest that it may run, or, at
    /// most [`MAX_SKIPS`] times in a row, one of the [`LOOK_AHEAD`] oldest that prefers the target.
    fn choose(&mut self, target: Target) -> Option<usize> {
        let allowed = |waiter: &Waiter| waiter.pinned.is_none_or(|pinned| pinned == target);
        let first = self.waiters.iter().position(allowed)?;
        if self.skips < MAX_SKIPS {
            let best = |waiter: &Waiter| allowed(waiter) && waiter.preferred == Some(target);
            let near = self.waiters.iter().take(LOOK_AHEAD).position(best);
            if let Some(at) = near.filter(|at| *at != first) {
                self.skips += 1;
                return Some(at);
            }
        }
        self.skips = 0;
        Some(first)
    }

    fn record_departure(&mut self, now: Time) {
        if let Some(departed) = self.departed {
            let interval = now.saturating_sub(departed);
            self.interval = (self.interval * 7 + interval) / 8;
            self.samples = self.samples.saturating_add(1);
        }
        self.departed = Some(now);
    }
}

//! Bounded queues, one for each service and account.

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

/// The requests that locality may take before the one that waits longest.
const MAX_SKIPS: u32 = 4;

/// The requests among which locality chooses.
const LOOK_AHEAD: usize = 16;

/// The departures after which a queue's pace is believed.
const MIN_SAMPLES: u32 = 8;

/// A queue's owner: a service and an account.
pub(super) type Owner = (Service, Account);

/// The bounds of a router's queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The requests of one account that wait for one service.
    pub account: usize,
    /// The requests that wait at the router.
    pub total: usize,
    /// The body bytes that wait at the router.
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

/// A request as its queue sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiter {
    /// The request.
    pub sequence: Sequence,
    /// The only target that may run it, for a request with a key.
    pub pinned: Option<Target>,
    /// The target that is best for it.
    pub preferred: Option<Target>,
    /// The size of its body.
    pub bytes: usize,
}

#[derive(Debug, Default)]
struct Queue {
    waiters: VecDeque<Waiter>,
    pinned: usize,
    skips: u32,
    left: Option<Time>,
    pace: Duration,
    samples: u32,
}

/// The requests that wait at a router.
#[derive(Debug, Default)]
pub struct Queues {
    bounds: Bounds,
    queues: BTreeMap<Owner, Queue>,
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

    /// Returns the requests that wait for any target.
    pub fn len(&self, owner: Owner) -> usize {
        self.queues
            .get(&owner)
            .map_or(0, |queue| queue.waiters.len())
    }

    /// Returns the requests that a target could run.
    pub fn available(&self, owner: Owner, target: Target) -> usize {
        let Some(queue) = self.queues.get(&owner) else {
            return 0;
        };
        let free = queue.waiters.len() - queue.pinned;
        match queue.pinned {
            0 => free,
            _ => free + queue.pinned_to(target),
        }
    }

    /// Returns the targets to which requests of a queue are bound.
    pub fn pinned_targets(&self, owner: Owner) -> Vec<Target> {
        match self.queues.get(&owner) {
            Some(queue) if queue.pinned > 0 => queue
                .waiters
                .iter()
                .filter_map(|waiter| waiter.pinned)
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Returns the requests that no target is fixed for.
    pub fn unpinned(&self, owner: Owner) -> usize {
        self.queues
            .get(&owner)
            .map_or(0, |queue| queue.waiters.len() - queue.pinned)
    }

    /// Returns the requests that wait at the router.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns each queue that is not empty with its length.
    pub fn iter(&self) -> impl Iterator<Item = (Owner, usize)> {
        self.queues
            .iter()
            .filter(|(_, queue)| !queue.waiters.is_empty())
            .map(|(owner, queue)| (*owner, queue.waiters.len()))
    }

    /// Adds a request and returns the one to refuse for it, if there is no room.
    ///
    /// Room is made at the cost of the account with the most requests.
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
    pub fn push(&mut self, owner: Owner, waiter: Waiter) -> Option<Sequence> {
        if self.len(owner) >= self.bounds.account {
            return Some(waiter.sequence);
        }
        self.queues.entry(owner).or_default().push(waiter, false);
        self.total += 1;
        self.bytes += waiter.bytes;
        let full = self.total > self.bounds.total || self.bytes > self.bounds.bytes;
        full.then(|| self.evict()).flatten()
    }

    /// Puts a request back to the place of the one that waits longest.
    pub fn push_front(&mut self, owner: Owner, waiter: Waiter) {
        self.queues.entry(owner).or_default().push(waiter, true);
        self.total += 1;
        self.bytes += waiter.bytes;
    }

    /// Takes the next request that a target may run.
    pub fn pop(&mut self, now: Time, owner: Owner, target: Target) -> Option<Sequence> {
        let queue = self.queues.get_mut(&owner)?;
        let at = queue.choose(target)?;
        queue.note_departure(now);
        let waiter = queue.remove(at)?;
        self.shrink(owner, waiter);
        Some(waiter.sequence)
    }

    /// Takes a request out of its queue.
    pub fn remove(&mut self, owner: Owner, sequence: Sequence) -> bool {
        let Some(queue) = self.queues.get_mut(&owner) else {
            return false;
        };
        let found = |waiter: &Waiter| waiter.sequence == sequence;
        let Some(at) = queue.waiters.iter().position(found) else {
            return false;
        };
        let waiter = queue.remove(at).expect("the position is in the queue");
        self.shrink(owner, waiter);
        true
    }

    /// Returns the expected wait of a request that joins a queue now.
    pub fn expected_wait(&self, owner: Owner) -> Duration {
        match self.queues.get(&owner) {
            Some(queue) if queue.samples >= MIN_SAMPLES => queue.pace * queue.waiters.len() as u32,
            _ => Duration::ZERO,
        }
    }

    fn shrink(&mut self, owner: Owner, waiter: Waiter) {
        self.total -= 1;
        self.bytes -= waiter.bytes;
        // An empty queue's pace would count idle time, so it is forgotten.
        if self.len(owner) == 0 {
            self.queues.remove(&owner);
        }
    }

    #[cold]
    fn evict(&mut self) -> Option<Sequence> {
        let longest = self
            .queues
            .iter()
            .max_by_key(|(_, queue)| queue.waiters.len())?;
        let owner = *longest.0;
        let sequence = longest.1.waiters.back()?.sequence;
        self.remove(owner, sequence);
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

    fn choose(&mut self, target: Target) -> Option<usize> {
        let may = |waiter: &Waiter| waiter.pinned.is_none_or(|bound| bound == target);
        let first = self.waiters.iter().position(may)?;
        if self.skips < MAX_SKIPS {
            let best = |waiter: &Waiter| may(waiter) && waiter.preferred == Some(target);
            let near = self.waiters.iter().take(LOOK_AHEAD).position(best);
            if let Some(at) = near.filter(|at| *at != first) {
                self.skips += 1;
                return Some(at);
            }
        }
        self.skips = 0;
        Some(first)
    }

    fn note_departure(&mut self, now: Time) {
        if let Some(left) = self.left {
            let gap = now.saturating_sub(left);
            self.pace = (self.pace * 7 + gap) / 8;
            self.samples = self.samples.saturating_add(1);
        }
        self.left = Some(now);
    }
}

//! The state shared by the thread that reads the store and the thread that serves callers.
//!
//! The store is read on a thread of its own, so that a gateway with more callers than it has
//! processor time for still gets changes of rules, keys and targets.

use std::sync::{
    Mutex,
    MutexGuard,
    atomic::{
        AtomicBool,
        AtomicU32,
        Ordering, //
    }, //
};

use super::freshness::Freshness;
use crate::{
    feed::Listing,
    ids::{
        Revision,
        Time, //
    },
    platform::Update,
    rules::Rules, //
};

/// What has been read from the store and not been applied yet.
#[derive(Debug, Default)]
pub(super) struct Pending {
    /// The newest rules, if they have changed.
    pub(super) rules: Option<Rules>,
    /// All targets, if any has changed.
    pub(super) targets: Option<Vec<Listing>>,
    /// Whether the targets were read after an outage of the store.
    pub(super) restored: bool,
}

#[derive(Debug, Default)]
pub(super) struct StoreState {
    freshness: Mutex<Freshness>,
    pending: Mutex<Pending>,
    /// Whether anything has been published since the last [`StoreState::take_pending`].
    has_pending: AtomicBool,
    /// The number of gateways of this gateway's group that ask the store before it does.
    rank: AtomicU32,
}

impl StoreState {
    /// Publishes an update that was read from the store; it was the newest one at time `at`.
    pub(super) fn publish(&self, now: Time, update: Update, at: Time, restored: bool) {
        let revision = update.revision;
        let generation = update.rules.as_ref().map(Rules::generation);
        if let Some(generation) = generation {
            log::info!("event=config-read revision={revision} generation={generation}");
        }
        if update.rules.is_some() || update.targets.is_some() {
            let mut pending = lock(&self.pending);
            pending.rules = update.rules.or(pending.rules.take());
            pending.targets = update.targets.or(pending.targets.take());
            pending.restored |= restored;
            drop(pending);
            self.has_pending.store(true, Ordering::Release);
        }
        let mut freshness = self.freshness();
        freshness.advance(revision);
        freshness.observe_newest(now, revision, at);
    }

    /// Takes what was published since the last call, or `None` if nothing was.
    pub(super) fn take_pending(&self) -> Option<Pending> {
        let has_pending = self.has_pending.swap(false, Ordering::Acquire);
        has_pending.then(|| std::mem::take(&mut *lock(&self.pending)))
    }

    /// Records that `revision` was the store's newest revision at time `at`.
    pub(super) fn observe_newest(&self, now: Time, revision: Revision, at: Time) {
        self.freshness().observe_newest(now, revision, at);
    }

    pub(super) fn set_rank(&self, rank: u32) {
        self.rank.store(rank, Ordering::Relaxed);
    }

    /// Returns the number of gateways of this gateway's group that ask the store before it does.
    pub(super) fn rank(&self) -> u32 {
        self.rank.load(Ordering::Relaxed)
    }

    /// Locks and returns the state that tracks how new the copy of the store is.
    pub(super) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        lock(&self.freshness)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A poisoned lock is safe to use: no code under these locks leaves a partial change on a panic.
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

//! What the thread that follows the store tells the one that serves callers.
//!
//! The store is followed on a thread of its own, so that a gateway with more callers than it has
//! processor time for still knows which rules, keys and targets there are.

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

/// What has been read and not been taken in yet.
#[derive(Debug, Default)]
pub(super) struct Pending {
    /// The newest rules.
    pub(super) rules: Option<Rules>,
    /// All targets.
    pub(super) targets: Option<Vec<Listing>>,
    /// Whether the targets were read after the store was away.
    pub(super) restored: bool,
}

/// The state that both threads share.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    freshness: Mutex<Freshness>,
    pending: Mutex<Pending>,
    /// Whether there are news.
    has_pending: AtomicBool,
    /// How many of this gateway's group ask the store before it does.
    rank: AtomicU32,
}

impl StoreState {
    /// Puts in what was read; it was the newest at a time.
    pub(super) fn publish(&self, now: Time, update: Update, at: Time, restored: bool) {
        let revision = update.revision;
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

    /// Takes out what was read since the last call.
    pub(super) fn take_pending(&self) -> Option<Pending> {
        let has_pending = self.has_pending.swap(false, Ordering::Acquire);
        has_pending.then(|| std::mem::take(&mut *lock(&self.pending)))
    }

    /// Notes that a revision of the store was the newest one at a time.
    pub(super) fn observe_newest(&self, now: Time, revision: Revision, at: Time) {
        self.freshness().observe_newest(now, revision, at);
    }

    /// Sets how many of this gateway's group ask the store before it does.
    pub(super) fn set_rank(&self, rank: u32) {
        self.rank.store(rank, Ordering::Relaxed);
    }

    /// Returns how many of this gateway's group ask the store before it does.
    pub(super) fn rank(&self) -> u32 {
        self.rank.load(Ordering::Relaxed)
    }

    /// Returns what is known of the store.
    pub(super) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        lock(&self.freshness)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Nothing that is done under these locks leaves half a change when it panics.
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

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
    platform::{
        ConfigItem,
        StoreError, //
    },
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
    /// The revision of the newest configuration that was read.
    config: Mutex<Option<Revision>>,
    /// Whether the last read of the store succeeded.
    reachable: AtomicBool,
    /// Whether anything has been published since the last [`StoreState::take_pending`].
    has_pending: AtomicBool,
    /// The number of gateways of this gateway's group that ask the store before it does.
    rank: AtomicU32,
}

impl StoreState {
    /// Publishes the rules of a configuration, unless it or a newer one has been published.
    ///
    /// # Errors
    ///
    /// Fails if the configuration can't be translated into rules. The rules before it stay in force,
    /// and nothing is confirmed to be the newest until there is a newer configuration.
    pub(super) fn publish_config(&self, config: &ConfigItem) -> Result<(), StoreError> {
        let mut newest = lock(&self.config);
        if Some(config.revision) <= *newest {
            return Ok(());
        }
        *newest = Some(config.revision);
        let rules = config.rules();
        self.freshness().set_unreadable(rules.is_err());
        let rules = rules?;
        let (revision, generation) = (config.revision, rules.generation());
        log::info!("event=config-read revision={revision} generation={generation}");
        lock(&self.pending).rules = Some(rules);
        self.has_pending.store(true, Ordering::Release);
        Ok(())
    }

    /// Publishes all targets; `restored` says that they were read after an outage of the store.
    pub(super) fn publish_targets(&self, targets: Vec<Listing>, restored: bool) {
        let mut pending = lock(&self.pending);
        pending.targets = Some(targets);
        pending.restored |= restored;
        drop(pending);
        self.has_pending.store(true, Ordering::Release);
    }

    /// Records that everything up to a revision was published, which was the store's newest one at
    /// time `at`.
    pub(super) fn advance(&self, now: Time, revision: Revision, at: Time) {
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

    pub(super) fn set_reachable(&self, reachable: bool) {
        self.reachable.store(reachable, Ordering::Relaxed);
    }

    /// Returns whether the last read of the store succeeded, and yielded rules that can be read.
    pub(super) fn is_reachable(&self) -> bool {
        self.reachable.load(Ordering::Relaxed) && !self.freshness().is_unreadable()
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

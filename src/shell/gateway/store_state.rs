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

use crate::{
    ids::Position,
    platform::{
        ConfigItem,
        StoreError, //
    },
    replica::{
        Pending,
        Replica, //
    },
};

#[derive(Debug, Default)]
pub(super) struct StoreState {
    replica: Mutex<Replica>,
    /// Why the newest configuration can't be read; `None` if it can.
    refused: Mutex<Option<String>>,
    /// Whether the last read of the store succeeded.
    reachable: AtomicBool,
    /// The number of gateways of this gateway's group that ask the store before it does.
    rank: AtomicU32,
    /// The number of gateways in the fleet.
    gateways: AtomicU32,
}

impl StoreState {
    /// Hands on the rules of a configuration, unless it or a newer one has been read.
    ///
    /// # Errors
    ///
    /// Fails if the configuration can't be translated into rules; see [`Replica::put_rules`].
    pub(super) fn put_config(&self, config: &ConfigItem) -> Result<(), StoreError> {
        let position = config.position;
        if !self.replica().lacks_config(position) {
            return Ok(());
        }
        // A large configuration takes long to read, so the lock is not held meanwhile. Only the
        // thread that reads the store gets here.
        let (rules, result) = match config.rules() {
            Ok(rules) => {
                let generation = rules.generation();
                log::info!("event=config-read {position} generation={generation}");
                (Some(rules), Ok(()))
            }
            Err(err) => (None, Err(err)),
        };
        let refused = result.as_ref().err().map(StoreError::to_string);
        *lock(&self.refused) = refused;
        self.replica().put_rules(position, rules);
        result
    }

    /// Returns the position up to which everything was handed on.
    pub(super) fn applied(&self) -> Option<Position> {
        self.replica().applied()
    }

    /// Returns whether the newest configuration can't be read.
    pub(super) fn is_unreadable(&self) -> bool {
        self.replica().is_unreadable()
    }

    /// Returns why the newest configuration can't be read, or `None` if it can.
    pub(super) fn refused(&self) -> Option<String> {
        lock(&self.refused).clone()
    }

    /// Takes what was handed on since the last call, or `None` if nothing was.
    pub(super) fn take_pending(&self) -> Option<Pending> {
        self.replica().take_pending()
    }

    pub(super) fn set_reachable(&self, reachable: bool) {
        self.reachable.store(reachable, Ordering::Relaxed);
    }

    /// Returns whether the last read of the store succeeded, and yielded rules that can be read.
    pub(super) fn is_reachable(&self) -> bool {
        self.reachable.load(Ordering::Relaxed) && !self.is_unreadable()
    }

    /// Sets the number of gateways of this gateway's group that ask the store before it does, and
    /// that of all gateways in the fleet.
    pub(super) fn set_fleet(&self, rank: u32, gateways: usize) {
        self.rank.store(rank, Ordering::Relaxed);
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        self.gateways.store(gateways, Ordering::Relaxed);
    }

    /// Returns the number of gateways of this gateway's group that ask the store before it does.
    pub(super) fn rank(&self) -> u32 {
        self.rank.load(Ordering::Relaxed)
    }

    /// Returns the number of gateways in the fleet.
    pub(super) fn gateways(&self) -> u32 {
        self.gateways.load(Ordering::Relaxed)
    }

    /// Locks and returns the copy of the store.
    pub(super) fn replica(&self) -> MutexGuard<'_, Replica> {
        lock(&self.replica)
    }
}

/// Locks a value. A poisoned lock is safe to use: no code under these locks leaves a partial change on
/// a panic.
fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

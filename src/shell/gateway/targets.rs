//! Updates the targets that a gateway sends to, from the store, from their answers and from gossip.

use std::time::Duration;

use super::process::Process;
use crate::{
    feed::{
        Change,
        DrainNotice,
        Listing, //
    },
    ids::{
        Target,
        id, //
    },
    platform::Notice,
    pool::TargetSpec,
    replica::TargetList,
    wire::HeldEntry, //
};

/// The largest number of held entries in a datagram.
pub(super) const MAX_HELD_ENTRIES: usize = 64;

/// The time for which gossip reports that a target is leaving: many gossip rounds.
const DRAIN_GOSSIP_TIME: Duration = Duration::from_secs(5);

impl Process {
    /// Applies the list of registered targets.
    pub(super) fn update_targets(&self, list: TargetList) {
        let now = self.clock.now();
        let restored = list.restored || list.returned.is_some();
        let changes = {
            let mut feed = self.feed.borrow_mut();
            if let Some(position) = list.returned {
                feed.return_to(now, position.revision);
            }
            for (target, written) in list.removed {
                feed.record_removal(target, written);
            }
            if let Some(revision) = list.read {
                feed.read_at(revision);
            }
            feed.update(now, list.targets, restored)
        };
        if let Some(position) = list.returned {
            let generation = self.rules().generation();
            let kept = |change: &&Change| matches!(change, Change::Lapsed(_));
            let kept = changes.iter().filter(kept).count();
            let held = self.feed.borrow().held().count();
            log::warn!(
                "event=store-returned {position} generation={generation} kept={kept} held={held}"
            );
        }
        self.apply_changes(&changes);
    }

    /// Returns some of the entries that are held back because their targets had left: others each
    /// time, if they are many.
    pub(super) fn held_entries(&self) -> Vec<HeldEntry> {
        let feed = self.feed.borrow();
        let entry = |listing: &Listing| HeldEntry {
            target: id(&listing.name),
            revision: listing.revision,
        };
        let held = feed.held_from(fastrand::u32(..));
        held.take(MAX_HELD_ENTRIES).map(entry).collect()
    }

    /// Holds back an entry as another gateway does.
    pub(super) fn hold_entry(&self, entry: HeldEntry) {
        let now = self.clock.now();
        let held = self
            .feed
            .borrow_mut()
            .hold_entry(now, entry.target, entry.revision);
        self.apply_changes(held.as_slice());
    }

    /// Logs changes of the feed and updates the pool's targets.
    pub(super) fn apply_changes(&self, changes: &[Change]) {
        for change in changes {
            log::info!("{change}");
        }
        if !changes.is_empty() {
            self.set_pool_targets();
        }
    }

    /// Applies what a target's answer says about the target: a cooldown that it requests, or that
    /// it is leaving.
    pub(super) fn apply_notice(&self, target: Target, notice: Notice) {
        let now = self.clock.now();
        if let Some(rest) = notice.retry_after {
            log::info!(
                "event=target-rests target={target:08x} rest_ms={}",
                rest.as_millis()
            );
            self.pool.borrow_mut().start_cooldown(now, target, rest);
        }
        if notice.leaving {
            let born = self.target(target).map_or(0, |listing| listing.born);
            self.mark_leaving(target, born);
        }
    }

    /// Marks a target as leaving, as it has announced to this or another gateway.
    pub(super) fn mark_leaving(&self, target: Target, born: u64) {
        let now = self.clock.now();
        let change = self.feed.borrow_mut().record_drain(now, target, born);
        self.apply_changes(change.as_slice());
    }

    /// Returns the targets that were marked as leaving within [`DRAIN_GOSSIP_TIME`].
    pub(super) fn recent_drains(&self) -> Vec<DrainNotice> {
        let since = self.clock.now().saturating_sub(DRAIN_GOSSIP_TIME);
        self.feed.borrow().leaving(since).collect()
    }

    /// Returns a target if it may still get a request that was placed there a moment ago.
    pub(super) fn available_target(&self, target: Target) -> Option<Listing> {
        self.apply_updates();
        let now = self.clock.now();
        let available = self.pool.borrow().accepts_requests(now, target);
        let listing = self.target(target)?;
        (available && !listing.draining).then_some(listing)
    }

    /// Returns whether a target is known to stop: it drains, or is no longer registered.
    pub(super) fn is_leaving(&self, target: Target) -> bool {
        self.apply_updates();
        self.target(target).is_none_or(|listing| listing.draining)
    }

    /// Marks a target whose address another target has answered at; it gets no more requests.
    pub(super) fn mark_moved(&self, target: Target) {
        let change = self.feed.borrow_mut().moved(target);
        self.apply_changes(change.as_slice());
    }

    /// Passes the serving targets to the pool, as the targets to which it may send requests.
    pub(super) fn set_pool_targets(&self) {
        let rules = self.rules();
        let feed = self.feed.borrow();
        let serving = feed.serving().map(|listing| {
            let service = id(&listing.service);
            let engine = rules.engine(service);
            TargetSpec {
                target: id(&listing.name),
                service,
                domain: listing.domain.clone(),
                slots: engine.map_or(listing.slots, |(slots, _)| slots),
                kv_capacity: engine.map_or(0, |(_, memory)| memory),
                born: listing.born,
                cold_bound: false,
            }
        });
        let serving: Vec<_> = serving.collect();
        drop(feed);
        let outputs = self
            .pool
            .borrow_mut()
            .set_targets(self.clock.now(), serving);
        self.perform(outputs);
    }

    /// Returns a target, whether or not it may get requests.
    pub(super) fn target(&self, target: Target) -> Option<Listing> {
        self.feed.borrow().get(target).cloned()
    }
}

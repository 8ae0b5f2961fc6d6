//! The targets that a gateway sends to: what the store and they themselves say of them.

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
    pool::Seat, //
};

/// The time for which other gateways are told that a target leaves: many rounds of the exchange.
const LEAVING_TOLD: Duration = Duration::from_secs(5);

impl Process {
    /// Takes in the targets that are registered.
    pub(super) fn list(&self, list: Vec<Listing>, restored: bool) {
        let now = self.clock.now();
        let changes = self.feed.borrow_mut().update(now, list, restored);
        self.note(&changes);
    }

    /// Logs changes of the feed and acts on them.
    pub(super) fn note(&self, changes: &[Change]) {
        for change in changes {
            log::info!("{change}");
        }
        if !changes.is_empty() {
            self.reseat();
        }
    }

    /// Takes in what a target's answer says of the target.
    pub(super) fn heed(&self, target: Target, notice: Notice) {
        let now = self.clock.now();
        if let Some(rest) = notice.rest {
            log::info!(
                "event=target-rests target={target:08x} rest_ms={}",
                rest.as_millis()
            );
            self.pool.borrow_mut().rest(now, target, rest);
        }
        if notice.leaving {
            let born = self.target(target).map_or(0, |listing| listing.born);
            self.leave(target, born);
        }
    }

    /// Notes that a target has said, here or to another gateway, that it leaves.
    pub(super) fn leave(&self, target: Target, born: u64) {
        let now = self.clock.now();
        let change = self.feed.borrow_mut().record_drain(now, target, born);
        self.note(change.as_slice());
    }

    /// Returns the targets that have said lately that they leave.
    pub(super) fn leaving(&self) -> Vec<DrainNotice> {
        let since = self.clock.now().saturating_sub(LEAVING_TOLD);
        self.feed.borrow().leaving(since).collect()
    }

    /// Returns a target that may still get a request which was meant for it a moment ago.
    pub(super) fn open_target(&self, target: Target) -> Option<Listing> {
        self.sync();
        let now = self.clock.now();
        let open = self.pool.borrow().is_welcome(now, target);
        let listing = self.target(target)?;
        (open && !listing.draining).then_some(listing)
    }

    /// Notes that another target answered at a target's address.
    pub(super) fn moved(&self, target: Target) {
        let change = self.feed.borrow_mut().moved(target);
        self.note(change.as_slice());
    }

    /// Tells the pool which targets may get requests.
    pub(super) fn reseat(&self) {
        let rules = self.rules();
        let feed = self.feed.borrow();
        let seats = feed.serving().map(|listing| {
            let service = id(&listing.service);
            let engine = rules.engine(service);
            Seat {
                target: id(&listing.name),
                service,
                domain: listing.domain.clone(),
                slots: engine.map_or(listing.slots, |(slots, _)| slots),
                memory: engine.map_or(0, |(_, memory)| memory),
                born: listing.born,
            }
        });
        let seats: Vec<_> = seats.collect();
        drop(feed);
        let outs = self.pool.borrow_mut().seats(self.clock.now(), seats);
        self.perform(outs);
    }

    pub(super) fn target(&self, target: Target) -> Option<Listing> {
        self.feed.borrow().get(target).cloned()
    }
}

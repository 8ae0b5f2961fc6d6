//! The targets that are listed in a registry instead of the rules.
//!
//! A [`Feed`] takes complete lists of targets, as a registry publishes them, and determines
//! which targets may get new requests. It handles two cases specially. A target gets no new
//! requests once it is known to be draining, even if an older heartbeat that arrives late says
//! otherwise. Targets that are missing after an outage of the registry are kept until they have
//! had time to register again.
//!
//! ```
//! use std::time::Duration;
//! use redwingyard::feed::{Feed, Listing};
//!
//! let mut feed = Feed::default();
//! let api = Listing { name: "api-1".to_owned(), service: "api".to_owned(), ..Listing::default() };
//! feed.update(Duration::ZERO, vec![api.clone()], false);
//! assert_eq!(feed.serving().count(), 1);
//! feed.update(Duration::from_secs(1), vec![Listing { draining: true, ..api }], false);
//! assert_eq!(feed.serving().count(), 0);
//! ```

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use derive_more::Display;

use crate::ids::{
    Target,
    Time,
    id, //
};

/// The time for which a target's drain notice is kept, which is far longer than any drain takes.
const DRAIN_NOTICE_LIFETIME: Duration = Duration::from_secs(600);

/// The time that targets have to register again after an outage of the registry.
pub const RESTORE_GRACE: Duration = Duration::from_millis(2_000);

data! {
    /// The entry of a target in the registry.
    pub struct Listing {
        /// The name. Most targets get a new one at each start.
        pub name: String,
        /// The service.
        pub service: String,
        /// The address at which it accepts requests.
        pub address: SocketAddr,
        /// The failure domain.
        pub domain: String,
        /// The maximum number of requests that it serves at the same time.
        pub slots: u32,
        /// Whether it drains, and accepts no new requests.
        pub draining: bool,
        /// When it started, in milliseconds since the Unix epoch; zero where unknown.
        pub born: u64,
    }
}

data! {
    /// The notice of a target itself that it drains before it stops.
    #[derive(Copy)]
    pub struct DrainNotice {
        /// The target.
        pub target: Target,
        /// When it started, in milliseconds since the Unix epoch.
        pub born: u64,
    }
}

impl Default for Listing {
    fn default() -> Self {
        Self {
            name: String::new(),
            service: String::new(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            domain: String::new(),
            slots: 1,
            draining: false,
            born: 0,
        }
    }
}

/// A change in the state of a target.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Change {
    /// A target may get requests.
    #[display("event=target-joined target={_0}")]
    Joined(String),
    /// A target drains, and accepts no new requests.
    #[display("event=target-draining target={_0}")]
    Draining(String),
    /// A target has started again under the same name.
    #[display("event=target-restarted target={_0}")]
    Restarted(String),
    /// A target is no longer listed.
    #[display("event=target-left target={_0}")]
    Left(String),
    /// A target is missing from the list after an outage of the registry, and is kept for now.
    #[display("event=target-lapsed target={_0}")]
    Lapsed(String),
    /// Another target has answered at the address of this one.
    #[display("event=target-moved target={_0}")]
    Moved(String),
}

#[derive(Clone, Debug)]
struct KnownTarget {
    listing: Listing,
    /// Whether it is missing from the list, but kept because of an outage of the registry.
    lapsed: bool,
    /// Whether another target has answered at its address.
    moved: bool,
}

/// The known targets.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    known: BTreeMap<Target, KnownTarget>,
    /// Until when missing targets are kept, after an outage of the registry.
    grace_end: Option<Time>,
    /// The last drain notice of each target. It takes precedence over the registry.
    leaving: BTreeMap<Target, ReceivedNotice>,
}

/// A target's own notice that it is draining. It does not apply to a later start of the target.
#[derive(Clone, Copy, Debug)]
struct ReceivedNotice {
    born: u64,
    at: Time,
}

impl Feed {
    /// Applies a complete list of targets and returns what has changed.
    ///
    /// `restored` says that this is the first list after an outage of the registry.
    pub fn update(&mut self, now: Time, list: Vec<Listing>, restored: bool) -> Vec<Change> {
        if restored {
            self.grace_end = Some(now + RESTORE_GRACE);
        }
        let in_grace = self.grace_end.is_some_and(|grace_end| now < grace_end);
        self.leaving
            .retain(|_, notice| now < notice.at + DRAIN_NOTICE_LIFETIME);
        let mut changes = Vec::new();
        let mut listed: BTreeMap<Target, Listing> = BTreeMap::new();
        for listing in list {
            listed.insert(id(&listing.name), listing);
        }
        self.known.retain(|target, known| {
            if listed.contains_key(target) {
                return true;
            }
            if in_grace && !known.lapsed {
                changes.push(Change::Lapsed(known.listing.name.clone()));
            }
            known.lapsed = in_grace;
            if !in_grace {
                changes.push(Change::Left(known.listing.name.clone()));
            }
            in_grace
        });
        for (target, listing) in listed {
            changes.extend(self.apply(target, listing));
        }
        changes
    }

    /// Removes the targets that are still missing once [`RESTORE_GRACE`] has passed since an
    /// outage of the registry.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        if self.grace_end.is_none_or(|grace_end| now < grace_end) {
            return Vec::new();
        }
        self.grace_end = None;
        let mut changes = Vec::new();
        self.known.retain(|_, known| {
            if known.lapsed {
                changes.push(Change::Left(known.listing.name.clone()));
            }
            !known.lapsed
        });
        changes
    }

    fn apply(&mut self, target: Target, mut listing: Listing) -> Option<Change> {
        let name = listing.name.clone();
        let notice = self.leaving.get(&target);
        listing.draining |= notice.is_some_and(|notice| notice.born >= listing.born);
        let Some(known) = self.known.get_mut(&target) else {
            let draining = listing.draining;
            let known = KnownTarget {
                listing,
                lapsed: false,
                moved: false,
            };
            self.known.insert(target, known);
            return Some(match draining {
                true => Change::Draining(name),
                false => Change::Joined(name),
            });
        };
        known.lapsed = false;
        // A delayed heartbeat from an earlier start of the target is ignored.
        if listing.born < known.listing.born {
            return None;
        }
        if listing.born > known.listing.born {
            *known = KnownTarget {
                listing,
                lapsed: false,
                moved: false,
            };
            return Some(Change::Restarted(name));
        }
        let drained = known.listing.draining;
        let starts_draining = listing.draining && !drained;
        // A target that has reported a drain is not returned to service by an older heartbeat.
        known.listing = Listing {
            draining: drained || listing.draining,
            ..listing
        };
        starts_draining.then_some(Change::Draining(name))
    }

    /// Records the drain notice of a target that started at `born`. The notice does not apply to a
    /// later start of the target.
    pub fn record_drain(&mut self, now: Time, target: Target, born: u64) -> Option<Change> {
        let notice = self.leaving.get(&target);
        if notice.is_some_and(|notice| notice.born >= born) {
            return None;
        }
        self.leaving
            .insert(target, ReceivedNotice { born, at: now });
        let known = self.known.get_mut(&target)?;
        if known.listing.draining || known.listing.born > born {
            return None;
        }
        known.listing.draining = true;
        Some(Change::Draining(known.listing.name.clone()))
    }

    /// Returns the notices that have arrived since a time.
    pub fn leaving(&self, since: Time) -> impl Iterator<Item = DrainNotice> {
        let all = self.leaving.iter();
        let recent = all.filter(move |(_, notice)| notice.at >= since);
        recent.map(|(target, notice)| DrainNotice {
            target: *target,
            born: notice.born,
        })
    }

    /// Records that another target has answered at a target's address.
    pub fn moved(&mut self, target: Target) -> Option<Change> {
        let known = self.known.get_mut(&target)?;
        let first = !known.moved;
        known.moved = true;
        first.then(|| Change::Moved(known.listing.name.clone()))
    }

    /// Returns a target, whether or not it may get new requests.
    pub fn get(&self, target: Target) -> Option<&Listing> {
        self.known.get(&target).map(|known| &known.listing)
    }

    /// Returns the targets that may get new requests.
    pub fn serving(&self) -> impl Iterator<Item = &Listing> {
        let is_serving = |known: &&KnownTarget| !known.listing.draining && !known.moved;
        let known = self.known.values().filter(is_serving);
        known.map(|known| &known.listing)
    }
}

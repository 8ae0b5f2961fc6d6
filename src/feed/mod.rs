//! The targets that come and go outside the rules.
//!
//! A [`Feed`] takes whole lists of targets, as a registry publishes them, and says which
//! targets may get new requests. It answers two troubles: a target that leaves gets nothing
//! more from the moment that its leaving is read, whatever an older heartbeat says later;
//! and targets that are missing because the registry itself was away keep their place until
//! they have had time to register again.
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

/// The time for which a target's own word that it leaves is remembered: far longer than any
/// leaving takes.
const LEAVING_TIME: Duration = Duration::from_secs(600);

/// The time in which targets register again after the registry was away.
pub const RESTORE_GRACE: Duration = Duration::from_millis(2_000);

data! {
    /// A target as its registry describes it.
    pub struct Listing {
        /// The name, new at most starts of the target.
        pub name: String,
        /// The service.
        pub service: String,
        /// Where it takes requests.
        pub address: SocketAddr,
        /// The failure domain.
        pub domain: String,
        /// The requests that it serves at a time.
        pub slots: u32,
        /// Whether it takes no new requests.
        pub draining: bool,
        /// When it started, in milliseconds since the Unix epoch; zero where unknown.
        pub born: u64,
    }
}

data! {
    /// A target that has said itself that it leaves.
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

/// What a feed has learnt of a target.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Change {
    /// A target may get requests.
    #[display("event=target-joined target={_0}")]
    Joined(String),
    /// A target says that it takes no new requests.
    #[display("event=target-draining target={_0}")]
    Draining(String),
    /// A target has started again under the same name.
    #[display("event=target-restarted target={_0}")]
    Restarted(String),
    /// A target is no longer listed.
    #[display("event=target-left target={_0}")]
    Left(String),
    /// A target is missing after the registry was away.
    #[display("event=target-lapsed target={_0}")]
    Lapsed(String),
    /// Another target has the address of this one.
    #[display("event=target-moved target={_0}")]
    Moved(String),
}

#[derive(Clone, Debug)]
struct Known {
    listing: Listing,
    lapsed: bool,
    moved: bool,
}

/// The targets that are known now.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    known: BTreeMap<Target, Known>,
    grace: Option<Time>,
    /// The targets that have said themselves that they leave, whatever the registry says.
    leaving: BTreeMap<Target, Leaving>,
}

/// A target's own word that it leaves, which holds until it starts again.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    born: u64,
    at: Time,
}

impl Feed {
    /// Takes in the whole list of targets and returns what has changed.
    ///
    /// `restored` says that this is the first list after the registry was away.
    pub fn update(&mut self, now: Time, list: Vec<Listing>, restored: bool) -> Vec<Change> {
        if restored {
            self.grace = Some(now + RESTORE_GRACE);
        }
        let lenient = self.grace.is_some_and(|grace| now < grace);
        self.leaving.retain(|_, said| now < said.at + LEAVING_TIME);
        let mut changes = Vec::new();
        let mut listed: BTreeMap<Target, Listing> = BTreeMap::new();
        for listing in list {
            listed.insert(id(&listing.name), listing);
        }
        self.known.retain(|target, known| {
            if listed.contains_key(target) {
                return true;
            }
            if lenient && !known.lapsed {
                changes.push(Change::Lapsed(known.listing.name.clone()));
            }
            known.lapsed = lenient;
            if !lenient {
                changes.push(Change::Left(known.listing.name.clone()));
            }
            lenient
        });
        for (target, listing) in listed {
            changes.extend(self.note(target, listing));
        }
        changes
    }

    /// Takes away the targets that are still missing when they have had time to register again.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        if self.grace.is_none_or(|grace| now < grace) {
            return Vec::new();
        }
        self.grace = None;
        let mut changes = Vec::new();
        self.known.retain(|_, known| {
            if known.lapsed {
                changes.push(Change::Left(known.listing.name.clone()));
            }
            !known.lapsed
        });
        changes
    }

    fn note(&mut self, target: Target, mut listing: Listing) -> Option<Change> {
        let name = listing.name.clone();
        let said = self.leaving.get(&target);
        listing.draining |= said.is_some_and(|said| said.born >= listing.born);
        let Some(known) = self.known.get_mut(&target) else {
            let draining = listing.draining;
            let known = Known {
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
        // A heartbeat of an earlier start was delayed.
        if listing.born < known.listing.born {
            return None;
        }
        if listing.born > known.listing.born {
            *known = Known {
                listing,
                lapsed: false,
                moved: false,
            };
            return Some(Change::Restarted(name));
        }
        let drained = known.listing.draining;
        let leaves = listing.draining && !drained;
        // An older heartbeat doesn't bring back a target that has said that it leaves.
        known.listing = Listing {
            draining: drained || listing.draining,
            ..listing
        };
        leaves.then_some(Change::Draining(name))
    }

    /// Notes that a target that was started at `born` has said itself that it leaves; one that
    /// starts again is new.
    pub fn record_drain(&mut self, now: Time, target: Target, born: u64) -> Option<Change> {
        let said = self.leaving.get(&target);
        if said.is_some_and(|said| said.born >= born) {
            return None;
        }
        self.leaving.insert(target, Leaving { born, at: now });
        let known = self.known.get_mut(&target)?;
        if known.listing.draining || known.listing.born > born {
            return None;
        }
        known.listing.draining = true;
        Some(Change::Draining(known.listing.name.clone()))
    }

    /// Returns the targets that have said since some time that they leave.
    pub fn leaving(&self, since: Time) -> impl Iterator<Item = DrainNotice> {
        let all = self.leaving.iter();
        let lately = all.filter(move |(_, said)| said.at >= since);
        lately.map(|(target, said)| DrainNotice {
            target: *target,
            born: said.born,
        })
    }

    /// Notes that another target answered at a target's address.
    pub fn moved(&mut self, target: Target) -> Option<Change> {
        let known = self.known.get_mut(&target)?;
        let fresh = !known.moved;
        known.moved = true;
        fresh.then(|| Change::Moved(known.listing.name.clone()))
    }

    /// Returns a target, whether or not it may get new requests.
    pub fn get(&self, target: Target) -> Option<&Listing> {
        self.known.get(&target).map(|known| &known.listing)
    }

    /// Returns the targets that may get new requests.
    pub fn serving(&self) -> impl Iterator<Item = &Listing> {
        let may = |known: &&Known| !known.listing.draining && !known.moved;
        let known = self.known.values().filter(may);
        known.map(|known| &known.listing)
    }
}

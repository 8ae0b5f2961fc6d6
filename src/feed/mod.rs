//! The targets that are listed in a registry instead of the rules.
//!
//! A [`Feed`] takes complete lists of targets, as a registry publishes them, and determines
//! which targets may get new requests. It handles two cases specially. A target gets no new
//! requests once it is known to be draining, even if an older heartbeat that arrives late says
//! otherwise. Targets that are missing after an outage of the registry are kept until they have
//! had time to register again. The targets of an evacuated failure domain get no requests.
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

mod evacuation;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use derive_more::Display;
pub use evacuation::{
    DomainNames,
    Evacuation,
    EvacuationDelta,
    EvacuationSource,
    MAX_EVACUATED, //
};

use crate::ids::{
    Domain,
    Position,
    Revision,
    Target,
    Time,
    id, //
};

/// The time for which a target's drain notice is kept, which is far longer than any drain takes.
const DRAIN_NOTICE_LIFETIME: Duration = Duration::from_secs(600);

/// The time for which an entry in an older copy of the registry does not count if its target had left
/// before: longer than the three heartbeats after which the registry removes a silent target's entry.
pub const HELD_TIME: Duration = Duration::from_secs(10);

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
        /// The registry's revision at which the entry was last written; zero where unknown.
        pub revision: Revision,
        /// How much longer it was cold when the entry was written, if the entry says so.
        pub cold: Option<Duration>,
        /// The number of the entry's fields that can't be used as written and count as absent.
        pub odd_fields: u32,
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
            revision: 0,
            cold: None,
            odd_fields: 0,
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
    /// A target that had left is in an older copy of the registry, and gets no requests for now.
    #[display("event=target-held target={_0}")]
    Held(String),
    /// A failure domain is evacuated: its targets get no requests.
    #[display("event=evacuated domain={domain} targets={targets} source={source} {position}")]
    Evacuated {
        /// The name of the domain, or its hash if no name is known.
        domain: String,
        /// The number of its targets.
        targets: usize,
        /// Where the set of evacuated domains comes from.
        source: EvacuationSource,
        /// The position up to which that set is known.
        position: Position,
    },
    /// A failure domain has returned to service.
    #[display(
        "event=evacuation-ended domain={domain} targets={} source={source} {position}",
        targets.len()
    )]
    EvacuationEnded {
        /// The name of the domain, or its hash if no name is known.
        domain: String,
        /// Its targets.
        targets: Vec<Target>,
        /// Where the set of evacuated domains comes from.
        source: EvacuationSource,
        /// The position up to which that set is known.
        position: Position,
    },
}

#[derive(Clone, Debug)]
struct KnownTarget {
    listing: Listing,
    /// The greatest revision at which its entry may have been written.
    written: Revision,
    /// Whether it is missing from the list, but kept because of an outage of the registry.
    lapsed: bool,
    /// Whether another target has answered at its address.
    moved: bool,
}

impl KnownTarget {
    fn departure(&self, now: Time) -> Departure {
        Departure {
            born: self.listing.born,
            draining: self.listing.draining,
            at: now,
            written: self.written,
        }
    }
}

/// The known targets.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    known: BTreeMap<Target, KnownTarget>,
    /// Until when missing targets are kept, after an outage of the registry.
    grace_end: Option<Time>,
    /// The last drain notice of each target. It takes precedence over the registry.
    leaving: BTreeMap<Target, ReceivedNotice>,
    /// The targets that have left.
    departed: BTreeMap<Target, Departure>,
    /// The older copy of the registry that was read last, if it was not long ago.
    copy: Option<OldCopy>,
    /// The entries of targets that have left, which were in that copy.
    held: BTreeMap<Target, Listing>,
    /// The revision at which the next list was read, if changes before it may have been missed.
    read: Option<Revision>,
    evacuation: Evacuation,
}

/// The last known state of a target that has left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    born: u64,
    draining: bool,
    at: Time,
    /// The greatest revision at which its entry may have been written before.
    written: Revision,
}

/// An older copy of the registry, from which it has come back.
#[derive(Clone, Copy, Debug)]
struct OldCopy {
    /// The first revision of it that was read: entries of later ones were written since.
    revision: Revision,
    /// Until when an entry of the copy does not show that its target is alive.
    hold_end: Time,
    /// Whether the return was seen here, and not only heard of.
    seen: bool,
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
        self.departed
            .retain(|_, departure| now < departure.at + DRAIN_NOTICE_LIFETIME);
        let mut changes = Vec::new();
        let mut listed: BTreeMap<Target, Listing> = BTreeMap::new();
        for listing in list {
            listed.insert(id(&listing.name), listing);
        }
        self.held.retain(|target, _| listed.contains_key(target));
        if let Some(read) = self.read.take() {
            let missing = |target: &Target| !listed.contains_key(target);
            let known = self.known.iter_mut();
            let known = known.map(|(target, known)| (target, &mut known.written));
            let departed = self.departed.iter_mut();
            let departed = departed.map(|(target, last)| (target, &mut last.written));
            for (_, written) in known.chain(departed).filter(|(target, _)| missing(target)) {
                *written = read.max(*written);
            }
        }
        let departed = &mut self.departed;
        self.known.retain(|target, known| {
            if listed.contains_key(target) {
                return true;
            }
            if in_grace && !known.lapsed {
                changes.push(Change::Lapsed(known.listing.name.clone()));
            }
            known.lapsed = in_grace;
            if !in_grace {
                departed.insert(*target, known.departure(now));
                changes.push(Change::Left(known.listing.name.clone()));
            }
            in_grace
        });
        for (target, listing) in listed {
            let change = match self.holds(now, target, &listing) {
                true => self.hold(target, listing),
                false => self.apply(target, listing),
            };
            changes.extend(change);
        }
        changes
    }

    /// Records that the next list was read at a revision, and that changes before it may have been
    /// missed: an entry that it lacks may have been written until then.
    pub fn read_at(&mut self, revision: Revision) {
        self.read = Some(revision);
    }

    /// Records that the entry of a target was removed, which was last written at a revision.
    pub fn record_removal(&mut self, target: Target, written: Revision) {
        if let Some(known) = self.known.get_mut(&target) {
            known.written = known.written.max(written);
        }
        if let Some(departure) = self.departed.get_mut(&target) {
            departure.written = departure.written.max(written);
        }
    }

    /// Records that the registry has come back from an older copy, whose first `revision` was read
    /// now. The next list is the first one of that copy.
    ///
    /// What the copy lacks is kept as after an outage. What had left and is in the copy again gets no
    /// requests until it is written anew, or until [`HELD_TIME`] has passed and it is still there. An
    /// entry of a later revision than any at which it was written before its target left was written
    /// anew.
    pub fn return_to(&mut self, now: Time, revision: Revision) {
        let hold_end = now + HELD_TIME;
        self.copy = Some(OldCopy {
            revision,
            hold_end,
            seen: true,
        });
    }

    /// Returns whether an entry is that of a target that has left, from an older copy of the registry.
    fn holds(&self, now: Time, target: Target, listing: &Listing) -> bool {
        let is_old = |copy: &OldCopy| listing.revision <= copy.revision && now < copy.hold_end;
        let departed = self.departed.get(&target);
        let departed = departed.map(|departure| (departure.born, departure.written));
        let held = self.held.get(&target);
        let held = held.map(|held| (held.born, held.revision));
        let has_left = |(born, revision)| born >= listing.born && revision >= listing.revision;
        self.copy.as_ref().is_some_and(is_old)
            && (departed.is_some_and(has_left) || held.is_some_and(has_left))
    }

    fn hold(&mut self, target: Target, listing: Listing) -> Option<Change> {
        let name = listing.name.clone();
        let first = self.held.insert(target, listing).is_none();
        first.then_some(Change::Held(name))
    }

    /// Returns the entries that are held back, as their targets had left.
    pub fn held(&self) -> impl Iterator<Item = &Listing> {
        self.held.values()
    }

    /// Returns the entries that are held back, those from a target on first.
    pub fn held_from(&self, start: Target) -> impl Iterator<Item = &Listing> {
        let rest = self.held.range(..start);
        let held = self.held.range(start..).chain(rest);
        held.map(|(_, listing)| listing)
    }

    /// Holds back the entry of a target that has left, as another router knows: it read the same
    /// `revision` of the entry from an older copy of the registry.
    pub fn hold_entry(&mut self, now: Time, target: Target, revision: Revision) -> Option<Change> {
        let known = self.known.get(&target)?;
        // An entry that was written after the first revision of the copy that was read here is new.
        let is_new = |copy: OldCopy| copy.seen && revision > copy.revision;
        let is_new = self.copy.is_some_and(is_new);
        if known.listing.revision != revision || is_new {
            return None;
        }
        let known = self.known.remove(&target)?;
        let hold_end = now + HELD_TIME;
        let copy = self.copy.get_or_insert(OldCopy {
            revision,
            hold_end,
            seen: false,
        });
        copy.revision = copy.revision.max(revision);
        self.hold(target, known.listing)
    }

    /// Removes the targets that are still missing once [`RESTORE_GRACE`] has passed since an
    /// outage of the registry.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.copy.is_some_and(|copy| now >= copy.hold_end) {
            self.copy = None;
            for (target, listing) in std::mem::take(&mut self.held) {
                changes.extend(self.apply(target, listing));
            }
        }
        if self.grace_end.is_none_or(|grace_end| now < grace_end) {
            return changes;
        }
        self.grace_end = None;
        let departed = &mut self.departed;
        self.known.retain(|target, known| {
            if known.lapsed {
                departed.insert(*target, known.departure(now));
                changes.push(Change::Left(known.listing.name.clone()));
            }
            !known.lapsed
        });
        changes
    }

    fn apply(&mut self, target: Target, mut listing: Listing) -> Option<Change> {
        let name = listing.name.clone();
        self.held.remove(&target);
        let notice = self.leaving.get(&target);
        listing.draining |= notice.is_some_and(|notice| notice.born >= listing.born);
        let departure = self.departed.remove(&target);
        listing.draining |=
            departure.is_some_and(|last| last.draining && last.born >= listing.born);
        let Some(known) = self.known.get_mut(&target) else {
            let draining = listing.draining;
            let known = KnownTarget {
                written: listing.revision,
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
        known.written = known.written.max(listing.revision);
        // A delayed heartbeat from an earlier start of the target is ignored.
        if listing.born < known.listing.born {
            return None;
        }
        if listing.born > known.listing.born {
            *known = KnownTarget {
                listing,
                written: known.written,
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

    /// Takes the set of evacuated failure domains that was read from the registry up to a position;
    /// see [`Evacuation::read`].
    pub fn read_evacuated(
        &mut self,
        now: Time,
        position: Position,
        names: &DomainNames,
    ) -> Vec<Change> {
        let delta = self.evacuation.read(now, position, names);
        self.evacuation_changes(delta)
    }

    /// Takes the set of evacuated failure domains that another router knows up to a position; see
    /// [`Evacuation::merge`].
    pub fn merge_evacuated(
        &mut self,
        now: Time,
        position: Position,
        domains: &[Domain],
    ) -> Vec<Change> {
        let delta = self.evacuation.merge(now, position, domains);
        self.evacuation_changes(delta)
    }

    /// Returns the changes that an operator sees and the pool needs.
    fn evacuation_changes(&self, delta: EvacuationDelta) -> Vec<Change> {
        let source = self.evacuation.source();
        let position = self.evacuation.position().unwrap_or_default();
        let begun = delta.begun.into_iter().map(|(domain, name)| {
            let targets = self.targets_in(domain).count();
            Change::Evacuated {
                domain: self.domain_label(domain, name.as_deref()),
                targets,
                source,
                position,
            }
        });
        let ended = delta.ended.into_iter().map(|(domain, name)| {
            let targets = self.targets_in(domain).map(|(target, _)| target).collect();
            Change::EvacuationEnded {
                domain: self.domain_label(domain, name.as_deref()),
                targets,
                source,
                position,
            }
        });
        begun.chain(ended).collect()
    }

    /// Returns the known targets of a failure domain.
    fn targets_in(&self, domain: Domain) -> impl Iterator<Item = (Target, &Listing)> {
        let known = self.known.iter();
        let all = known.map(|(target, known)| (*target, &known.listing));
        all.filter(move |(_, listing)| id(&listing.domain) == domain)
    }

    /// Returns the name of a failure domain, which may be known from a target, or else its hash.
    pub fn domain_label(&self, domain: Domain, name: Option<&str>) -> String {
        let of_target = || Some(self.targets_in(domain).next()?.1.domain.as_str());
        let name = name.or_else(of_target).map(str::to_owned);
        name.unwrap_or_else(|| format!("{domain:08x}"))
    }

    /// Returns the evacuated failure domains.
    pub fn evacuation(&self) -> &Evacuation {
        &self.evacuation
    }

    /// Returns whether a target is in an evacuated failure domain.
    pub fn is_evacuated(&self, listing: &Listing) -> bool {
        !self.evacuation.is_empty() && self.evacuation.contains(id(&listing.domain))
    }

    /// Returns a target, whether or not it may get new requests.
    pub fn get(&self, target: Target) -> Option<&Listing> {
        self.known.get(&target).map(|known| &known.listing)
    }

    /// Returns the targets that may get new requests.
    pub fn serving(&self) -> impl Iterator<Item = &Listing> {
        let is_serving = |known: &&KnownTarget| {
            !known.listing.draining && !known.moved && !self.is_evacuated(&known.listing)
        };
        let known = self.known.values().filter(is_serving);
        known.map(|known| &known.listing)
    }
}

//! The evacuated failure domains, whose targets get no requests.
//!
//! The registry decides which domains are evacuated. A router takes the set from its own reads and
//! from other routers, and keeps the one that is known up to the greatest position.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use derive_more::Display;
use serde::Serialize;

use crate::ids::{
    Domain,
    Position,
    Time,
    id, //
};

/// The largest number of domains that a router tells others at a time.
pub const MAX_EVACUATED: usize = 64;

/// The names of evacuated failure domains.
pub type DomainNames = Arc<BTreeSet<String>>;

/// Where a set of evacuated domains comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EvacuationSource {
    /// This router's own read of the registry.
    #[default]
    #[display("store")]
    Store,
    /// Another router.
    #[display("peer")]
    Peer,
}

#[derive(Clone, Debug)]
struct EvacuatedDomain {
    /// The name; other routers tell only the hash.
    name: Option<String>,
    /// When this router learned of the evacuation.
    since: Time,
}

/// The evacuated failure domains and the position up to which they are known.
///
/// ```
/// use std::time::Duration;
/// use redwingyard::{feed::Evacuation, ids::{Position, id}};
///
/// let (now, mut evacuation) = (Duration::ZERO, Evacuation::default());
/// evacuation.merge(now, Position::new(0, 9), &[id("zone-a")]);
/// assert!(evacuation.contains(id("zone-a")));
/// // An older set changes nothing.
/// evacuation.merge(now, Position::new(0, 8), &[]);
/// assert!(evacuation.contains(id("zone-a")));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuation {
    position: Option<Position>,
    source: EvacuationSource,
    /// Whether the set lacks domains, because another router has more than it tells at a time.
    partial: bool,
    /// Whether any router has reported an evacuated domain since the start of this process.
    observed: bool,
    domains: BTreeMap<Domain, EvacuatedDomain>,
}

/// The domains that were evacuated or returned to service by a new set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationDelta {
    /// The domains that were evacuated, each with its name if that is known.
    pub begun: Vec<(Domain, Option<String>)>,
    /// The domains that returned to service.
    pub ended: Vec<(Domain, Option<String>)>,
}

impl Evacuation {
    /// Takes the set that was read from the registry up to a position, unless a set of the same or a
    /// later position is known.
    pub fn read(&mut self, now: Time, position: Position, names: &DomainNames) -> EvacuationDelta {
        let is_newer = Some(position) > self.position;
        let is_rest = self.partial && Some(position) == self.position;
        if !is_newer && !is_rest {
            return EvacuationDelta::default();
        }
        let named = names.iter().map(|name| (id(name), Some(name.clone())));
        self.partial = false;
        self.replace(now, position, EvacuationSource::Store, named.collect())
    }

    /// Takes the set that another router knows up to a position, if that is later than the position
    /// of the known set. Domains beyond [`MAX_EVACUATED`] are ignored. A set of that many may lack
    /// others, so it is added to the known one.
    pub fn merge(&mut self, now: Time, position: Position, domains: &[Domain]) -> EvacuationDelta {
        self.observed |= !domains.is_empty();
        let partial = domains.len() >= MAX_EVACUATED;
        let is_newer = Some(position) > self.position;
        let is_rest = partial && self.partial && Some(position) == self.position;
        if !is_newer && !is_rest {
            return EvacuationDelta::default();
        }
        let told = domains.iter().take(MAX_EVACUATED);
        let mut all: BTreeMap<_, _> = told.map(|domain| (*domain, None)).collect();
        if partial {
            let known = self.domains.iter();
            all.extend(known.map(|(domain, known)| (*domain, known.name.clone())));
        }
        self.partial = partial;
        self.replace(now, position, EvacuationSource::Peer, all)
    }

    fn replace(
        &mut self,
        now: Time,
        position: Position,
        source: EvacuationSource,
        domains: BTreeMap<Domain, Option<String>>,
    ) -> EvacuationDelta {
        self.position = Some(position);
        self.source = source;
        self.observed |= !domains.is_empty();
        let mut delta = EvacuationDelta::default();
        self.domains.retain(|domain, known| {
            let is_kept = domains.contains_key(domain);
            if !is_kept {
                delta.ended.push((*domain, known.name.take()));
            }
            is_kept
        });
        for (domain, name) in domains {
            match self.domains.get_mut(&domain) {
                Some(known) => known.name = name.or(known.name.take()),
                None => {
                    delta.begun.push((domain, name.clone()));
                    let evacuated = EvacuatedDomain { name, since: now };
                    self.domains.insert(domain, evacuated);
                }
            }
        }
        delta
    }

    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: Domain) -> bool {
        self.domains.contains_key(&domain)
    }

    /// Returns the number of evacuated domains.
    pub fn len(&self) -> usize {
        self.domains.len()
    }

    /// Returns whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Returns the position up to which the set is known, if any set was taken.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns where the set comes from.
    pub fn source(&self) -> EvacuationSource {
        self.source
    }

    /// Returns the evacuated domains, each with its name if that is known and the time since this
    /// router learned of it.
    pub fn domains(&self, now: Time) -> impl Iterator<Item = (Domain, Option<&str>, Duration)> {
        self.domains.iter().map(move |(domain, known)| {
            let age = now.saturating_sub(known.since);
            (*domain, known.name.as_deref(), age)
        })
    }

    /// Returns the set to tell other routers, which need it once any evacuation has been known: its
    /// position and at most [`MAX_EVACUATED`] domains, those from a domain on first.
    pub fn report(&self, start: Domain) -> Option<(Position, Vec<Domain>)> {
        let position = self.position.filter(|_| self.observed)?;
        let rest = self.domains.range(..start);
        let domains = self.domains.range(start..).chain(rest);
        let domains = domains.map(|(domain, _)| *domain);
        Some((position, domains.take(MAX_EVACUATED).collect()))
    }
}

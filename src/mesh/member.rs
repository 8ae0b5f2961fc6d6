//! The routers that are known, and how long ago each was heard of.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    time::Duration, //
};

use derive_more::Display;

use super::{
    Scope,
    Source,
    plan::{
        Peer,
        Plan,
        group_of,
        number, //
    }, //
};
use crate::ids::Time;

/// The time after which a router of the own group that says nothing is taken to be gone, and
/// others speak for the group in its place: three of the longest rounds.
const NEAR_LIFE: Duration = Duration::from_secs(2);

/// The time after which any other router of which nothing is heard is taken to be gone: rumors
/// of each of 400 come every few seconds, and a router that is kept too long costs a datagram.
const FAR_LIFE: Duration = Duration::from_secs(15);

/// How much newer a rumor must be that a router stays after it has said that it stops: a rumor's
/// age leaves out its own way, and no router starts again sooner.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// The time for which a router that has gone is tried now and then: partitions of minutes heal.
const REMEMBERED: Duration = Duration::from_secs(600);

/// The most routers that are remembered beside those that live: their addresses take little
/// memory, and a fleet that is replaced many times must not fill it.
const MOST_REMEMBERED: usize = 2_000;

data! {
    /// What one router has heard of another.
    #[derive(Copy)]
    pub struct MemberUpdate {
        /// The address of the other one.
        pub ip: IpAddr,
        /// Its failure domain.
        pub domain: u32,
        /// How long ago something was heard of it, in milliseconds.
        pub age: u32,
        /// Whether it is stopping.
        pub leaving: bool,
    }
}

/// What has changed among the routers.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Change {
    /// A router is there.
    #[display("event=peer-joined peer={_0}")]
    Joined(IpAddr),
    /// A router is stopping.
    #[display("event=peer-left peer={_0}")]
    Left(IpAddr),
    /// Nothing is heard of a router any more.
    #[display("event=peer-lost peer={_0}")]
    Lost(IpAddr),
}

#[derive(Clone, Copy, Debug)]
struct Known {
    domain: u32,
    heard: Time,
    leaving: bool,
    /// Whether others speak in its place, as it has said nothing for long.
    silent: bool,
}

impl Known {
    fn is_there(&self) -> bool {
        !self.leaving && !self.silent
    }
}

/// The routers that are known to one of them.
#[derive(Clone, Debug)]
pub struct Mesh {
    own: IpAddr,
    domain: u32,
    seeds: Vec<IpAddr>,
    known: BTreeMap<IpAddr, Known>,
    gone: BTreeMap<IpAddr, Time>,
    plan: Plan,
    /// Whether the members have changed since the plan was made.
    stale: bool,
}

impl Mesh {
    /// Creates the view of a router that knows none but some addresses to try.
    pub fn new(own: IpAddr, domain: u32, seeds: Vec<IpAddr>) -> Self {
        let mut mesh = Self {
            own,
            domain,
            seeds,
            known: BTreeMap::new(),
            gone: BTreeMap::new(),
            plan: Plan::default(),
            stale: true,
        };
        mesh.replan();
        mesh
    }

    /// Notes that a router itself was heard.
    pub fn hear(&mut self, now: Time, ip: IpAddr, domain: u32, leaving: bool) -> Option<Change> {
        if ip == self.own {
            return None;
        }
        let known = Known {
            domain,
            heard: now,
            leaving,
            silent: false,
        };
        let before = self.known.insert(ip, known);
        self.gone.remove(&ip);
        self.stale |= before.is_none_or(|before| before.domain != domain || before.silent);
        match (before.is_some_and(|before| before.is_there()), leaving) {
            (false, false) => Some(Change::Joined(ip)),
            (true, true) => Some(Change::Left(ip)),
            _ => None,
        }
    }

    /// Takes in what another router has heard; the newer of two views of a third one holds.
    pub fn learn(&mut self, now: Time, rumors: &[MemberUpdate]) -> Vec<Change> {
        let mut changes = Vec::new();
        for rumor in rumors {
            let age = Duration::from_millis(u64::from(rumor.age));
            if age >= self.life_of(rumor.ip, rumor.domain) {
                continue;
            }
            let heard = now.saturating_sub(age);
            match self.known.get_mut(&rumor.ip) {
                Some(known) if known.heard >= heard => {}
                Some(known)
                    if known.leaving && !rumor.leaving && heard < known.heard + RETURN_TIME => {}
                Some(known) if known.leaving == rumor.leaving => known.heard = heard,
                _ => changes.extend(self.hear(heard, rumor.ip, rumor.domain, rumor.leaving)),
            }
        }
        changes
    }

    /// Forgets the routers of which nothing is heard any more, and works out who tells whom from
    /// now on.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        let late = |(ip, known): &(&IpAddr, &Known)| now >= known.heard + self.life(ip, known);
        let late: Vec<_> = self.known.iter().filter(late).map(|(ip, _)| *ip).collect();
        for ip in late {
            let Some(known) = self.known.get_mut(&ip) else {
                continue;
            };
            if known.is_there() {
                changes.push(Change::Lost(ip));
            }
            self.stale |= !known.silent;
            known.silent = true;
            if now >= known.heard + FAR_LIFE {
                self.known.remove(&ip);
                self.gone.insert(ip, now);
                self.stale = true;
            }
        }
        self.gone.retain(|_, since| now < *since + REMEMBERED);
        while self.gone.len() > MOST_REMEMBERED {
            let oldest = self.gone.iter().min_by_key(|(_, since)| **since);
            let Some(ip) = oldest.map(|(ip, _)| *ip) else {
                break;
            };
            self.gone.remove(&ip);
        }
        if self.stale {
            self.replan();
        }
        changes
    }

    /// Returns up to `count` of the routers that were heard of, for others: the freshest of twice
    /// as many that are drawn at random, so that news travels fast and no router is left out.
    pub fn rumors(&self, now: Time, count: usize, rng: &mut fastrand::Rng) -> Vec<MemberUpdate> {
        let rumor = |(ip, known): (&IpAddr, &Known)| MemberUpdate {
            ip: *ip,
            domain: known.domain,
            age: now.saturating_sub(known.heard).as_millis() as u32,
            leaving: known.leaving,
        };
        let drawn = rng.choose_multiple(self.known.iter(), 2 * count);
        let mut rumors: Vec<_> = drawn.into_iter().map(rumor).collect();
        rumors.sort_unstable_by_key(|rumor| rumor.age);
        rumors.truncate(count);
        rumors
    }

    /// Returns an address to try that is not heard of, so that parted fleets meet again, and one
    /// that is, whose view may be fuller; all seeds while no router is known.
    pub fn contacts(&self, rng: &mut fastrand::Rng) -> Vec<IpAddr> {
        let is_silent = |ip: &IpAddr| self.known.get(ip).is_none_or(|known| known.silent);
        let seeds = self.seeds.iter().chain(self.gone.keys());
        let silent = seeds.chain(self.known.keys()).filter(|ip| is_silent(ip));
        let silent = silent.filter(|ip| **ip != self.own);
        let count = match self.known.is_empty() {
            true => self.seeds.len(),
            false => 1,
        };
        let mut contacts = rng.choose_multiple(silent.copied(), count);
        let heard = self.known.keys().filter(|ip| !is_silent(ip));
        contacts.extend(rng.choose_multiple(heard.copied(), 1));
        contacts
    }

    /// Returns who is told the figures of a scope.
    pub fn listeners(&self, scope: Scope) -> &[IpAddr] {
        self.plan.listeners(scope)
    }

    /// Returns how many members of this router's group come before it; each has a rank of its own
    /// where all have the same view.
    pub fn rank(&self) -> u32 {
        let near = self.listeners(Scope::Router).iter();
        near.filter(|ip| **ip < self.own).count() as u32
    }

    /// Returns whose sum this router tells in a scope, and the number of groups that it reckons
    /// with.
    pub fn speaks_for(&self, scope: Scope) -> (Source, u32) {
        let id = match scope {
            Scope::Router => number(self.own),
            Scope::Group => self.plan.group,
            Scope::Domain => self.domain,
        };
        (Source { scope, id }, self.plan.groups)
    }

    /// Returns whether figures from a router count here: those of this router's own group or
    /// domain are in its own sums already.
    pub fn counts(&self, from: IpAddr, source: Source, groups: u32) -> bool {
        let Some(known) = self.known.get(&from) else {
            return false;
        };
        let near = known.domain == self.domain;
        match source.scope {
            Scope::Router => near && source.id == number(from) && self.expects(source),
            Scope::Group => near && groups == self.plan.groups && self.expects(source),
            Scope::Domain => source.id == known.domain && self.expects(source),
        }
    }

    /// Returns whether figures of a source may still count here, whoever tells them.
    pub fn expects(&self, source: Source) -> bool {
        let plan = &self.plan;
        match source.scope {
            Scope::Router => group_of(source.id, plan.groups) == plan.group,
            Scope::Group => source.id < plan.groups && source.id != plan.group,
            Scope::Domain => source.id != self.domain,
        }
    }

    /// Returns whether anything was heard of a router lately.
    pub fn knows(&self, ip: IpAddr) -> bool {
        self.known.contains_key(&ip)
    }

    /// Returns the number of other routers that are there and not stopping.
    pub fn len(&self) -> usize {
        self.known.values().filter(|known| known.is_there()).count()
    }

    /// Returns whether no other router is there.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how long a router may say nothing.
    fn life(&self, ip: &IpAddr, known: &Known) -> Duration {
        self.life_of(*ip, known.domain)
    }

    fn life_of(&self, ip: IpAddr, domain: u32) -> Duration {
        let plan = &self.plan;
        match domain == self.domain && group_of(number(ip), plan.groups) == plan.group {
            true => NEAR_LIFE,
            false => FAR_LIFE,
        }
    }

    fn replan(&mut self) {
        let peer = |(ip, known): (&IpAddr, &Known)| {
            let (domain, silent) = (known.domain, known.silent);
            (*ip, Peer { domain, silent })
        };
        let own = Peer {
            domain: self.domain,
            silent: false,
        };
        let others = self.known.iter().map(peer);
        let members = others.chain([(self.own, own)]).collect();
        self.stale = false;
        self.plan = Plan::new(self.own, self.domain, &members);
    }
}

//! The membership view of one router: the known routers and when each was last seen.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    net::IpAddr,
    time::Duration, //
};

use derive_more::Display;

use super::{
    Scope,
    Source,
    plan::{
        Candidate,
        Plan,
        group_of,
        router_id, //
    }, //
};
use crate::ids::Time;

/// The time without any news of a member of the own group after which it is suspected, and
/// another member sends the group's aggregates in its place. It is three rounds at their longest
/// interval.
const GROUP_TIMEOUT: Duration = Duration::from_secs(2);

/// The time without any news of a router after which it is removed. In a fleet of 400, updates
/// about each router arrive every few seconds; each router that is kept for too long costs a
/// datagram.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(15);

/// How much later than its announcement to stop a router must have been seen for an update to
/// bring it back. An update's age leaves out its own transit time, so it looks newer than it is;
/// no router restarts within this time.
const REJOIN_DELAY: Duration = Duration::from_millis(500);

/// The time for which a removed router stays among the addresses to contact, so that the fleet
/// is whole again after a partition of several minutes.
const REMOVED_LIFE: Duration = Duration::from_secs(600);

/// The time within which a router must have heard of others to count them as a majority. The others
/// need at least [`GROUP_TIMEOUT`] to find out that it is silent.
const HEARD_TIME: Duration = Duration::from_secs(2);

/// [`HEARD_TIME`] in fleets of more than [`LARGE_FLEET`] routers. In a fleet of 400, a router has
/// heard of 205 within 2 s on average, itself included, and of at least 219 within 3 s.
const LARGE_HEARD_TIME: Duration = Duration::from_secs(3);

/// The number of routers beyond which [`LARGE_HEARD_TIME`] applies.
const LARGE_FLEET: usize = 200;

/// The period after which a number of routers no longer counts as the largest one, at the latest
/// after twice this time: a fleet that has become smaller must not count as partitioned for good.
const LARGEST_PERIOD: Duration = Duration::from_secs(600);

/// The largest number of removed routers to keep. Their addresses take little memory, but a
/// fleet whose routers are replaced many times must not fill it.
const MAX_REMOVED: usize = 2_000;

data! {
    /// One router's information about another, passed on by gossip.
    #[derive(Copy)]
    pub struct MemberUpdate {
        /// The address of the other router.
        pub ip: IpAddr,
        /// Its failure domain.
        pub domain: u32,
        /// The time since it was last seen, directly or through updates, in milliseconds.
        pub age: u32,
        /// Whether it has announced that it is stopping.
        pub leaving: bool,
    }
}

/// What a router knows of the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// The identifier of this router.
    pub own: u32,
    /// Whether no other router is configured or known.
    pub alone: bool,
    /// Whether this router is stopping.
    pub leaving: bool,
    /// The identifiers of the other routers that are alive, in an order that does not change, and
    /// when each was last known to be running.
    pub routers: Vec<(u32, Time)>,
    /// The largest number of routers that were alive at a time, this one included, without those
    /// that have announced that they are stopping.
    pub largest: usize,
}

impl FleetView {
    /// Returns until when more than half of the largest known number of routers, this one included,
    /// were heard of within 2 s, if none is heard of again; in fleets of more than 200 routers,
    /// within 3 s.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::mesh::FleetView;
    /// let seen = [7, 9, 8].map(Duration::from_secs);
    /// let routers = (1..).zip(seen).collect();
    /// let view = FleetView { routers, largest: 4, ..FleetView::default() };
    /// assert_eq!(view.majority_end(), Duration::from_secs(10));
    /// ```
    pub fn majority_end(&self) -> Time {
        let others = (self.largest / 2).max(1);
        let mut seen: Vec<_> = self.routers.iter().map(|(_, seen)| *seen).collect();
        seen.sort_unstable_by_key(|seen| Reverse(*seen));
        let heard_time = match self.largest > LARGE_FLEET {
            true => LARGE_HEARD_TIME,
            false => HEARD_TIME,
        };
        let last = seen.get(others - 1);
        last.map_or(Duration::ZERO, |seen| *seen + heard_time)
    }
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Change {
    /// A router is new, is back, or is no longer suspected.
    #[display("event=peer-joined peer={_0}")]
    Joined(IpAddr),
    /// A router has announced that it is stopping.
    #[display("event=peer-left peer={_0}")]
    Left(IpAddr),
    /// There was no news of a router for its timeout.
    #[display("event=peer-lost peer={_0}")]
    Lost(IpAddr),
}

#[derive(Clone, Copy, Debug)]
struct Member {
    domain: u32,
    /// The latest time at which it is known to have been running.
    seen: Time,
    leaving: bool,
    /// Whether there was no news of it for its timeout, so that others take over its sending.
    suspected: bool,
}

impl Member {
    fn is_alive(&self) -> bool {
        !self.leaving && !self.suspected
    }
}

/// The membership view of one router.
#[derive(Clone, Debug)]
pub struct Mesh {
    own: IpAddr,
    domain: u32,
    /// The configured addresses of other routers.
    seeds: Vec<IpAddr>,
    members: BTreeMap<IpAddr, Member>,
    /// The removed routers and when each was removed.
    removed: BTreeMap<IpAddr, Time>,
    plan: Plan,
    /// Whether the members have changed since the plan was computed.
    stale: bool,
    /// The largest numbers of routers that were alive in the current period and the one before.
    largest: [usize; 2],
    /// When the current period began.
    period_begun: Time,
}

impl Mesh {
    /// Creates a view without members; `seeds` are the addresses to contact first.
    pub fn new(own: IpAddr, domain: u32, seeds: Vec<IpAddr>) -> Self {
        let mut mesh = Self {
            own,
            domain,
            seeds,
            members: BTreeMap::new(),
            removed: BTreeMap::new(),
            plan: Plan::default(),
            stale: true,
            largest: [1; 2],
            period_begun: Duration::ZERO,
        };
        mesh.replan();
        mesh
    }

    /// Records that a router was running at `now`, such as when a datagram of it arrives.
    pub fn record_contact(
        &mut self,
        now: Time,
        ip: IpAddr,
        domain: u32,
        leaving: bool,
    ) -> Option<Change> {
        if ip == self.own {
            return None;
        }
        let member = Member {
            domain,
            seen: now,
            leaving,
            suspected: false,
        };
        let before = self.members.insert(ip, member);
        self.removed.remove(&ip);
        self.stale |= before.is_none_or(|before| before.domain != domain || before.suspected);
        match (before.is_some_and(|before| before.is_alive()), leaving) {
            (false, false) => Some(Change::Joined(ip)),
            (true, true) => {
                // It has stopped by itself, so it can't be in another part of the fleet.
                self.largest = self.largest.map(|count| count.saturating_sub(1));
                Some(Change::Left(ip))
            }
            _ => None,
        }
    }

    /// Merges the updates of another router; for each member the later time of contact wins.
    ///
    /// An update that is as old as the member's timeout is ignored. After a member has announced
    /// that it is stopping, only an update that is newer by `REJOIN_DELAY` brings it back.
    pub fn merge(&mut self, now: Time, updates: &[MemberUpdate]) -> Vec<Change> {
        let mut changes = Vec::new();
        for update in updates {
            let age = Duration::from_millis(u64::from(update.age));
            if age >= self.timeout_of(update.ip, update.domain) {
                continue;
            }
            let seen = now.saturating_sub(age);
            match self.members.get_mut(&update.ip) {
                Some(member) if member.seen >= seen => {}
                Some(member)
                    if member.leaving && !update.leaving && seen < member.seen + REJOIN_DELAY => {}
                Some(member) if member.leaving == update.leaving => member.seen = seen,
                _ => changes.extend(self.record_contact(
                    seen,
                    update.ip,
                    update.domain,
                    update.leaving,
                )),
            }
        }
        changes
    }

    /// Suspects or removes the members whose timeout has passed, and computes the recipients
    /// again if the members have changed.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        let late =
            |(ip, member): &(&IpAddr, &Member)| now >= member.seen + self.timeout(ip, member);
        let late: Vec<_> = self
            .members
            .iter()
            .filter(late)
            .map(|(ip, _)| *ip)
            .collect();
        for ip in late {
            let Some(member) = self.members.get_mut(&ip) else {
                continue;
            };
            if member.is_alive() {
                changes.push(Change::Lost(ip));
            }
            self.stale |= !member.suspected;
            member.suspected = true;
            if now >= member.seen + MEMBER_TIMEOUT {
                self.members.remove(&ip);
                self.removed.insert(ip, now);
                self.stale = true;
            }
        }
        self.removed.retain(|_, since| now < *since + REMOVED_LIFE);
        while self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, since)| **since);
            let Some(ip) = oldest.map(|(ip, _)| *ip) else {
                break;
            };
            self.removed.remove(&ip);
        }
        if self.stale {
            self.replan();
        }
        if now >= self.period_begun + LARGEST_PERIOD {
            self.period_begun = now;
            self.largest = [0, self.largest[0]];
        }
        self.largest[0] = self.largest[0].max(self.len() + 1);
        changes
    }

    /// Returns what is known of the whole fleet; see [`FleetView`].
    pub fn fleet_view(&self) -> FleetView {
        let alive = self.members.iter().filter(|(_, member)| member.is_alive());
        let routers: Vec<_> = alive
            .map(|(ip, member)| (router_id(*ip), member.seen))
            .collect();
        FleetView {
            own: router_id(self.own),
            alone: self.seeds.is_empty() && self.members.is_empty(),
            leaving: false,
            largest: self.largest[0].max(self.largest[1]).max(routers.len() + 1),
            routers,
        }
    }

    /// Returns updates about up to `count` members to pass on to other routers.
    ///
    /// Twice as many members are drawn at random and the most recently seen of them are kept, so
    /// that news spreads fast and every member is drawn at times.
    pub fn member_updates(
        &self,
        now: Time,
        count: usize,
        rng: &mut fastrand::Rng,
    ) -> Vec<MemberUpdate> {
        let update = |(ip, member): (&IpAddr, &Member)| MemberUpdate {
            ip: *ip,
            domain: member.domain,
            age: now.saturating_sub(member.seen).as_millis() as u32,
            leaving: member.leaving,
        };
        let drawn = rng.choose_multiple(self.members.iter(), 2 * count);
        let mut updates: Vec<_> = drawn.into_iter().map(update).collect();
        updates.sort_unstable_by_key(|update| update.age);
        updates.truncate(count);
        updates
    }

    /// Returns the routers to ask for their members, chosen at random.
    ///
    /// One is an address without recent news (a seed, a removed router or a suspected member), so
    /// that the halves of a partitioned fleet find each other again. While no member is known, up
    /// to as many such addresses are returned as there are seeds. Another one is a member that is
    /// not suspected, whose view may be more complete.
    pub fn contacts(&self, rng: &mut fastrand::Rng) -> Vec<IpAddr> {
        let is_silent = |ip: &IpAddr| self.members.get(ip).is_none_or(|member| member.suspected);
        let seeds = self.seeds.iter().chain(self.removed.keys());
        let silent = seeds.chain(self.members.keys()).filter(|ip| is_silent(ip));
        let silent = silent.filter(|ip| **ip != self.own);
        let count = match self.members.is_empty() {
            true => self.seeds.len(),
            false => 1,
        };
        let mut contacts = rng.choose_multiple(silent.copied(), count);
        let active = self.members.keys().filter(|ip| !is_silent(ip));
        contacts.extend(rng.choose_multiple(active.copied(), 1));
        contacts
    }

    /// Returns the routers to which this one sends the aggregates of a scope.
    pub fn recipients(&self, scope: Scope) -> &[IpAddr] {
        self.plan.recipients(scope)
    }

    /// Returns the number of unsuspected members of this router's group with a smaller address.
    ///
    /// The ranks of a group's members differ where their views agree.
    pub fn rank(&self) -> u32 {
        let group = self.recipients(Scope::Router).iter();
        group.filter(|ip| **ip < self.own).count() as u32
    }

    /// Returns the number of members in the whole fleet that are alive and have a smaller address.
    pub fn fleet_rank(&self) -> u32 {
        let before = self.members.range(..self.own);
        before.filter(|(_, member)| member.is_alive()).count() as u32
    }

    /// Returns the source of the aggregates that this router sends in a scope, and the number of
    /// groups of its failure domain in its view.
    pub fn own_source(&self, scope: Scope) -> (Source, u32) {
        let id = match scope {
            Scope::Router => router_id(self.own),
            Scope::Group => self.plan.group,
            Scope::Domain => self.domain,
        };
        (Source { scope, id }, self.plan.groups)
    }

    /// Returns whether aggregates in a datagram of the router `from` are to be used here.
    ///
    /// The sender must be a member and entitled to send for the source: a router for itself, its
    /// group or its failure domain. Aggregates of a group are used only if the sender assumes the
    /// same number of groups. Aggregates of this router's own group or failure domain are not
    /// used, as its own sums contain them already.
    pub fn accepts_from(&self, from: IpAddr, source: Source, groups: u32) -> bool {
        let Some(member) = self.members.get(&from) else {
            return false;
        };
        let near = member.domain == self.domain;
        match source.scope {
            Scope::Router => near && source.id == router_id(from) && self.accepts(source),
            Scope::Group => near && groups == self.plan.groups && self.accepts(source),
            Scope::Domain => source.id == member.domain && self.accepts(source),
        }
    }

    /// Returns whether aggregates of a source are to be used here, whichever router sent them.
    pub fn accepts(&self, source: Source) -> bool {
        let plan = &self.plan;
        match source.scope {
            Scope::Router => group_of(source.id, plan.groups) == plan.group,
            Scope::Group => source.id < plan.groups && source.id != plan.group,
            Scope::Domain => source.id != self.domain,
        }
    }

    /// Returns whether a router is a member, including a suspected or leaving one.
    pub fn contains(&self, ip: IpAddr) -> bool {
        self.members.contains_key(&ip)
    }

    /// Returns the number of members that are neither suspected nor leaving; this router is not
    /// counted.
    pub fn len(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.is_alive())
            .count()
    }

    /// Returns whether no member is alive.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the time without news after which a member is suspected.
    fn timeout(&self, ip: &IpAddr, member: &Member) -> Duration {
        self.timeout_of(*ip, member.domain)
    }

    fn timeout_of(&self, ip: IpAddr, domain: u32) -> Duration {
        let plan = &self.plan;
        match domain == self.domain && group_of(router_id(ip), plan.groups) == plan.group {
            true => GROUP_TIMEOUT,
            false => MEMBER_TIMEOUT,
        }
    }

    fn replan(&mut self) {
        let candidate = |(ip, member): (&IpAddr, &Member)| {
            let (domain, suspected) = (member.domain, member.suspected);
            (*ip, Candidate { domain, suspected })
        };
        let own = Candidate {
            domain: self.domain,
            suspected: false,
        };
        let others = self.members.iter().map(candidate);
        let members = others.chain([(self.own, own)]).collect();
        self.stale = false;
        self.plan = Plan::new(self.own, self.domain, &members);
    }
}

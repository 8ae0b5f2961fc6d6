//! Who tells whom, worked out by each router from the members that it knows.

use std::{
    collections::BTreeMap,
    net::IpAddr, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::Scope;
use crate::ids::rendezvous_weight;

/// The routers of a group at which it is split: a group is heard at once, and each further one
/// costs its members one datagram more.
const GROUP_SIZE: usize = 8;

/// The listeners of one router.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    /// The groups of its failure domain.
    pub(super) groups: u32,
    /// The group that it is in.
    pub(super) group: u32,
    listeners: [Vec<IpAddr>; 3],
}

/// What a plan takes into account of a router.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    pub(super) domain: u32,
    /// Whether others speak in its place.
    pub(super) silent: bool,
}

impl Plan {
    /// Works out the listeners of `own` among all routers, itself included.
    pub(super) fn new(own: IpAddr, domain: u32, members: &BTreeMap<IpAddr, Peer>) -> Self {
        let here = |ip: &IpAddr| members[ip].domain == domain;
        let home: Vec<_> = members.keys().copied().filter(here).collect();
        let groups = home.len().div_ceil(GROUP_SIZE).next_power_of_two() as u32;
        let group = group_of(number(own), groups);
        let is_near = |ip: IpAddr| group_of(number(ip), groups) == group;
        let near = home.iter().copied().filter(|ip| is_near(*ip));
        let near: Vec<_> = near.filter(|ip| !members[ip].silent).collect();
        let siblings = home.iter().copied().filter(|ip| !is_near(*ip));
        let siblings = siblings.filter(|to| speaker(&near, *to) == Some(own));
        // All agree on the group, by a member that may be silent; only the group itself knows
        // soon which of its members live.
        let spoken = |to: &IpAddr| speaker(&home, *to).is_some_and(is_near);
        let others = members.keys().copied().filter(|ip| !here(ip));
        let others = others.filter(|to| spoken(to) && speaker(&near, *to) == Some(own));
        let listeners = [Vec::new(), siblings.collect(), others.collect()];
        let mut plan = Self {
            groups,
            group,
            listeners,
        };
        plan.listeners[0] = near.into_iter().filter(|ip| *ip != own).collect();
        plan
    }

    /// Returns who is told the figures of a scope.
    pub(super) fn listeners(&self, scope: Scope) -> &[IpAddr] {
        &self.listeners[scope as usize]
    }
}

/// Returns the number of a router, the hash of its address.
///
/// ```
/// use redwingyard::mesh::number;
/// assert_ne!(number([10, 0, 0, 1].into()), number([10, 0, 0, 2].into()));
/// ```
pub fn number(ip: IpAddr) -> u32 {
    let hash = match ip {
        IpAddr::V4(ip) => xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxh3_64(&ip.octets()),
    };
    hash as u32
}

/// Returns the group of a router with a number among `groups`, a power of two.
pub(super) fn group_of(number: u32, groups: u32) -> u32 {
    number & (groups - 1)
}

/// Returns the one of a group that speaks to another router: the one with the greatest
/// rendezvous weight, so that a member that only some believe in leaves the others as they are.
fn speaker(group: &[IpAddr], to: IpAddr) -> Option<IpAddr> {
    let to = u64::from(number(to));
    let best = group
        .iter()
        .max_by_key(|from| rendezvous_weight(number(**from), to));
    best.copied()
}

//! The recipients of a router's aggregates, which each router computes from its membership view.

use std::{
    collections::BTreeMap,
    net::IpAddr, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::Scope;
use crate::ids::rendezvous_weight;

/// The mean size above which the groups of a failure domain are split into twice as many.
///
/// A router's own loads and usage reach its whole group in one step, and each further group costs
/// each router one datagram more.
const GROUP_SIZE: usize = 8;

/// The recipients of one router's aggregates.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    /// The number of groups in the router's failure domain, a power of two.
    pub(super) groups: u32,
    pub(super) group: u32,
    /// The recipients in each [`Scope`].
    recipients: [Vec<IpAddr>; 3],
}

/// A router that is considered as a sender and as a recipient.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) domain: u32,
    /// Whether there was no news of it for its timeout, so that it is passed over as a sender.
    pub(super) suspected: bool,
}

impl Plan {
    /// Computes the recipients of `own` among `members`, which include `own` itself.
    pub(super) fn new(own: IpAddr, domain: u32, members: &BTreeMap<IpAddr, Candidate>) -> Self {
        let is_local = |ip: &IpAddr| members[ip].domain == domain;
        let local: Vec<_> = members.keys().copied().filter(is_local).collect();
        let groups = local.len().div_ceil(GROUP_SIZE).next_power_of_two() as u32;
        let group = group_of(router_id(own), groups);
        let in_group = |ip: IpAddr| group_of(router_id(ip), groups) == group;
        let active = local.iter().copied().filter(|ip| in_group(*ip));
        let active: Vec<_> = active.filter(|ip| !members[ip].suspected).collect();
        let other_groups = local.iter().copied().filter(|ip| !in_group(*ip));
        let other_groups = other_groups.filter(|to| sender(&active, *to) == Some(own));
        // One group of the failure domain sends to each router of another domain. It is the
        // group of the sender that is chosen among all local routers, suspected ones included,
        // so that all groups agree on it: only the group itself detects quickly which of its
        // members have failed. The group then chooses among its unsuspected members.
        let is_served = |to: &IpAddr| sender(&local, *to).is_some_and(in_group);
        let other_domains = members.keys().copied().filter(|ip| !is_local(ip));
        let other_domains =
            other_domains.filter(|to| is_served(to) && sender(&active, *to) == Some(own));
        let recipients = [Vec::new(), other_groups.collect(), other_domains.collect()];
        let mut plan = Self {
            groups,
            group,
            recipients,
        };
        plan.recipients[0] = active.into_iter().filter(|ip| *ip != own).collect();
        plan
    }

    pub(super) fn recipients(&self, scope: Scope) -> &[IpAddr] {
        &self.recipients[scope as usize]
    }
}

/// Returns the identifier of a router in the mesh, a hash of its address.
///
/// ```
/// use redwingyard::mesh::router_id;
/// assert_ne!(router_id([10, 0, 0, 1].into()), router_id([10, 0, 0, 2].into()));
/// ```
pub fn router_id(ip: IpAddr) -> u32 {
    let hash = match ip {
        IpAddr::V4(ip) => xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxh3_64(&ip.octets()),
    };
    hash as u32
}

/// Returns the group of the router with the identifier `id`; `groups` is a power of two.
pub(super) fn group_of(id: u32, groups: u32) -> u32 {
    id & (groups - 1)
}

/// Returns the router of `group` that sends to the router `to`, the one with the greatest
/// rendezvous weight.
///
/// With rendezvous hashing, a member that is in only some routers' views changes the sender only
/// for those recipients for which it is itself chosen.
fn sender(group: &[IpAddr], to: IpAddr) -> Option<IpAddr> {
    let to = u64::from(router_id(to));
    let best = group
        .iter()
        .max_by_key(|from| rendezvous_weight(router_id(**from), to));
    best.copied()
}

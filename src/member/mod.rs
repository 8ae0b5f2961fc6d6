//! Deterministic choices that each process derives from the VM list: the same list gives the
//! same result at every process.

use crate::ids::{
    Router,
    rendezvous_weight, //
};

/// The number of routers to which a sidecar keeps permanent links.
pub const SUBSET_SIZE: usize = 4;

/// The number of children of a router in the exchange tree.
pub const FAN_OUT: usize = 2;

/// The number of processes that read the configuration service at the same time.
pub const READER_COUNT: usize = 6;

/// Returns the routers that a sidecar links to, most preferred first. They are chosen by
/// rendezvous hashing.
///
/// ```
/// let all: Vec<u32> = (0..40).collect();
/// let subset = redwingyard::member::subset(7, &all, 6);
/// assert_eq!(subset.len(), 6);
/// assert_eq!(subset, redwingyard::member::subset(7, &all, 6));
/// ```
pub fn subset(me: u32, routers: &[Router], count: usize) -> Vec<Router> {
    let mut ranked = routers.to_vec();
    ranked.sort_by_key(|router| std::cmp::Reverse(rendezvous_weight(*router, u64::from(me))));
    ranked.truncate(count);
    ranked
}

/// Returns a router's possible parents in the exchange tree, most preferred first.
///
/// A parent always has a lower rank, so no cycle can form even where processes have different
/// VM lists. The router of the lowest rank has no parent.
///
/// ```
/// use redwingyard::member::parents;
/// let all: Vec<u32> = (0..10).collect();
/// let roots = all.iter().filter(|me| parents(**me, &all).is_empty()).count();
/// assert_eq!(roots, 1);
/// ```
pub fn parents(me: Router, routers: &[Router]) -> Vec<Router> {
    let mut ranked = routers.to_vec();
    if !ranked.contains(&me) {
        ranked.push(me);
    }
    ranked.sort_by_key(|router| rank(*router));
    ranked.dedup();
    let mut place = ranked
        .iter()
        .position(|router| *router == me)
        .unwrap_or_default();
    let own_rank = place;
    let mut parents = Vec::new();
    while place > 0 {
        place = (place - 1) / FAN_OUT;
        parents.push(ranked[place]);
    }
    let rest = ranked[..own_rank].iter().copied();
    let rest: Vec<_> = rest.filter(|router| !parents.contains(router)).collect();
    parents.extend(rest);
    parents
}

/// Returns whether a process is among the readers of the configuration service.
///
/// `live` are the processes that are up. Where a reader is no longer among them, the next
/// process in rank takes its place.
///
/// ```
/// let live: Vec<u32> = (0..5_500).collect();
/// let readers = live.iter().filter(|me| redwingyard::member::is_reader(**me, &live, 6));
/// assert_eq!(readers.count(), 6);
/// ```
pub fn is_reader(me: u32, live: &[u32], count: usize) -> bool {
    let preceding = live
        .iter()
        .filter(|other| **other != me && rank(**other) < rank(me));
    preceding.take(count).count() < count
}

/// Returns the sort key of a process in the order that all processes use.
pub(crate) fn rank(node: u32) -> (u64, u32) {
    (rendezvous_weight(node, 0), node)
}

//! Choices that every process makes alike from the VM list.

use crate::ids::{
    Router,
    rendezvous_weight, //
};

/// The routers to which a sidecar keeps links while it has work.
pub const SUBSET_SIZE: usize = 4;

/// The children of a router in the exchange tree.
pub const FAN_OUT: usize = 2;

/// The processes that read the configuration service at a time.
pub const READER_COUNT: usize = 6;

/// Returns the routers that a sidecar links to, most preferred first.
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
/// A parent always has a lower rank, so no view of the VM list can form a cycle. The
/// one of lowest rank has no parent.
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
    let lower = place;
    let mut parents = Vec::new();
    while place > 0 {
        place = (place - 1) / FAN_OUT;
        parents.push(ranked[place]);
    }
    let rest = ranked[..lower].iter().copied();
    let rest: Vec<_> = rest.filter(|router| !parents.contains(router)).collect();
    parents.extend(rest);
    parents
}

/// Returns whether a process is among the readers of the configuration service.
///
/// `live` are the processes that have been heard of lately; those that go quiet lose
/// their place to the next ones.
///
/// ```
/// let live: Vec<u32> = (0..5_500).collect();
/// let readers = live.iter().filter(|me| redwingyard::member::is_reader(**me, &live, 6));
/// assert_eq!(readers.count(), 6);
/// ```
pub fn is_reader(me: u32, live: &[u32], count: usize) -> bool {
    let better = live
        .iter()
        .filter(|other| **other != me && rank(**other) < rank(me));
    better.take(count).count() < count
}

/// Returns the place of a process in the order on which all agree.
pub(crate) fn rank(node: u32) -> (u64, u32) {
    (rendezvous_weight(node, 0), node)
}

//! Identifiers and the clock type that every module shares.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// A client account, as the hash of its name.
pub type Account = u32;

/// A service, as the hash of its name.
pub type Service = u32;

/// A target, as the hash of its name.
pub type Target = u32;

/// A router, as the hash of its VM's name.
pub type Router = u32;

/// A number drawn at random when a process starts.
pub type Incarnation = u64;

/// The number of a rules file; a newer file has a larger one.
pub type Generation = u64;

/// The number of a change in the store; each change of any key has the next one.
pub type Revision = u64;

/// The sequence number that a router gives a request.
pub type Sequence = u64;

/// A position on a process's own monotonic clock, measured from its start.
pub type Time = Duration;

/// Service received, in microseconds of one slot divided by the account's share.
pub type Usage = u64;

/// Returns the identifier of a name.
///
/// ```
/// assert_eq!(redwingyard::ids::id("shop-api"), redwingyard::ids::id("shop-api"));
/// assert_ne!(redwingyard::ids::id("shop-api"), redwingyard::ids::id("sizer-llm"));
/// ```
pub fn id(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Returns the rendezvous weight of `node` for `key`; the largest weight wins.
///
/// The method is highest random weight hashing (Thaler and Ravishankar, 1998).
///
/// ```
/// use redwingyard::ids::rendezvous_weight;
/// let owner = [1, 2, 3].into_iter().max_by_key(|node| rendezvous_weight(*node, 42));
/// assert!(owner.is_some());
/// ```
pub fn rendezvous_weight(node: u32, key: u64) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&node.to_le_bytes());
    bytes[4..].copy_from_slice(&key.to_le_bytes());
    xxh3_64(&bytes)
}

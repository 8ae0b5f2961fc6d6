//! The identifier and clock types that all modules share.

use std::time::Duration;

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64;

/// The identifier of a client account, the hash of its name.
pub type Account = u32;

/// The identifier of a service, the hash of its name.
pub type Service = u32;

/// The identifier of a target, the hash of its name.
pub type Target = u32;

/// The identifier of a router, the hash of its VM's name.
pub type Router = u32;

/// The identifier of a failure domain, the hash of its name.
pub type Domain = u32;

/// A random number that a process draws when it starts, which tells its starts apart.
pub type Incarnation = u64;

/// The generation number of a rules file; a newer file has a larger number.
pub type Generation = u64;

/// The revision of the store; each change of any key increments it.
pub type Revision = u64;

/// The number of times that the store has come back from an older copy of itself; zero where it says
/// none. Changes after the copy are lost, and their revisions are given to other changes.
pub type Era = u64;

data! {
    /// A position in the store's history. A position of a later era is later, whatever the revisions.
    ///
    /// ```
    /// use redwingyard::ids::Position;
    /// assert!(Position::new(2, 15) > Position::new(1, 120));
    /// ```
    #[derive(Copy, Default, PartialOrd, Ord, Display)]
    #[display("era={era} revision={revision}")]
    pub struct Position {
        /// The era.
        pub era: Era,
        /// The revision of the last change.
        pub revision: Revision,
    }
}

impl Position {
    /// Returns the position of a revision of an era.
    pub const fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }
}

/// The identifier of a part of a prompt, its name as a number or the hash of its name.
pub type Part = u64;

/// The sequence number that a router gives a request.
pub type Sequence = u64;

/// A time on a process's own monotonic clock, measured from the start of the process.
pub type Time = Duration;

/// The service that an account has received: the time for which its requests took a slot, in
/// microseconds, divided by the account's share.
pub type Usage = u64;

/// Returns the identifier of a name, its hash.
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
/// This is rendezvous hashing, also called highest random weight hashing (Thaler and Ravishankar,
/// 1998).
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

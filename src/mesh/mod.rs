//! Which routers tell each other what, so that each one hears of the whole fleet in few
//! datagrams.
//!
//! The routers of a failure domain fall into groups by a hash of their address. A router tells
//! its group what it has itself, other groups of its domain what its group has, and other
//! domains what its domain has. Each member of a group speaks to a part of each other group, so
//! a router sends to its group, once to each other group of its domain, and once to each other
//! domain. A figure reaches everyone in three steps and is in exactly one sum at each of them.
//!
//! ```
//! use std::{net::IpAddr, time::Duration};
//! use redwingyard::mesh::{Mesh, Scope};
//!
//! let address = |i: u8| IpAddr::from([10, 0, 0, i]);
//! let mut mesh = Mesh::new(address(1), 7, Vec::new());
//! mesh.hear(Duration::ZERO, address(2), 8, false);
//! mesh.expire(Duration::ZERO);
//! assert!(mesh.listeners(Scope::Router).is_empty());
//! assert_eq!(mesh.listeners(Scope::Domain), [address(2)]);
//! ```

mod member;
mod plan;
mod round;
mod source;

pub use member::{
    Change,
    MemberUpdate,
    Mesh, //
};
pub use plan::number;
pub use round::Round;
pub use source::{
    Scope,
    Source, //
};

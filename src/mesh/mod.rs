//! Membership of the routers, and the plan by which they send each other aggregates of their loads
//! and of accounts' usage, so that each router gets those of the whole fleet in few datagrams.
//!
//! The routers of a failure domain are divided into groups by a hash of their addresses. A router
//! sends its own loads and usage to the members of its group, the sum over its group to other
//! groups of its failure domain, and the sum over its failure domain to other failure domains. The
//! members of a group share the recipients in other groups and domains among themselves. A router
//! therefore sends to each member of its group, to about one router of each other group of its
//! failure domain, and to about one router of each other failure domain. A value reaches every
//! router in three steps and is part of exactly one sum in each step.
//!
//! ```
//! use std::{net::IpAddr, time::Duration};
//! use redwingyard::mesh::{Mesh, Scope};
//!
//! let address = |i: u8| IpAddr::from([10, 0, 0, i]);
//! let mut mesh = Mesh::new(address(1), 7, Vec::new());
//! mesh.record_contact(Duration::ZERO, address(2), 8, false);
//! mesh.expire(Duration::ZERO);
//! assert!(mesh.recipients(Scope::Router).is_empty());
//! assert_eq!(mesh.recipients(Scope::Domain), [address(2)]);
//! ```

mod member;
mod plan;
mod round;
mod source;

pub use member::{
    Change,
    FleetView,
    MemberUpdate,
    Mesh, //
};
pub use plan::router_id;
pub use round::RoundCost;
pub use source::{
    Scope,
    Source, //
};

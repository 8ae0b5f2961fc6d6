//! A discrete-event simulator for the state machines of routers and sidecars. It delivers their
//! messages with simulated delays, runs requests for their simulated costs, and records what
//! really happened.

// Each program that includes this folder uses only a part of it.
#![allow(dead_code, clippy::allow_attributes, unreachable_pub)]

pub mod fleet;
pub mod plan;
pub mod truth;

pub use fleet::Fleet;
pub use plan::{
    Load,
    Plan, //
};

//! Stand-ins for what the routers, sidecars and gateways communicate with (targets, platform, store
//! and callers), and functions that start whole fleets over loopback.

// Each program that includes this module uses only some of its items.
#![allow(dead_code, clippy::allow_attributes, unreachable_pub)]

pub mod client;
pub mod engine;
pub mod fleet;
pub mod forwarder;
pub mod gateways;
pub mod instance;
pub mod plain;
pub mod platform;
pub mod raw;
pub mod scripted;
pub mod server;
pub mod store;

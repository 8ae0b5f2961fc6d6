//! The gateway process: connects the state machines of [`crate::pool`], [`crate::mesh`] and
//! [`crate::feed`] to sockets.
//!
//! A gateway is a router that sends requests to targets itself. A request passes through `front`,
//! `call`, `attempt` and `relay`; `watch` reads the store, and `peers` exchanges gossip with other
//! gateways.

mod attempt;
mod call;
mod decision_line;
mod exchange;
mod front;
mod metrics;
mod overload;
mod peers;
mod process;
mod refusal;
mod relay;
mod serve;
mod store_state;
mod targets;
mod watch;

pub use serve::GatewayProcess;

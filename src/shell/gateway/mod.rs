//! A gateway as a process: a router that sends to targets itself.

mod attempt;
mod call;
mod decision_line;
mod events;
mod freshness;
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

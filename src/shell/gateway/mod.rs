//! A gateway as a process: a router that sends to targets itself.

mod attempt;
mod belief;
mod call;
mod events;
mod front;
mod inbox;
mod log;
mod metrics;
mod peers;
mod process;
mod refusal;
mod relay;
mod serve;
mod strain;
mod targets;
mod watch;

pub use serve::GatewayProcess;

//! The processes of the system: sockets, timers and logs that connect the state machines of
//! [`crate::router`], [`crate::sidecar`] and [`crate::pool`] to the outside.

mod admin;
mod body;
mod caller_watch;
mod clock;
mod dial;
mod ending;
mod fields;
mod front;
mod gateway;
mod intake;
mod link;
mod logs;
mod memory;
mod open_list;
mod panics;
mod platform;
mod presence;
mod problem;
mod router;
mod rules_sync;
mod sidecar;
mod signals;
mod stream;
mod target;
mod tls;

pub use clock::Clock;
pub use gateway::GatewayProcess;
pub use link::LinkError;
pub use logs::Logs;
pub use memory::fix_allocator;
pub use panics::log_panics;
pub use platform::Vm;
pub use router::{
    RouterProcess,
    StartError, //
};
pub use sidecar::SidecarProcess;
pub use signals::Signals;
pub use tls::{
    KeyError,
    generate_keys, //
};

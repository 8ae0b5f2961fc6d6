//! The decisions of a router: queueing, dispatch to targets, retries and answers.

mod answer;
mod budget;
mod core;
mod event;
mod exchange;
mod outcome;
mod place;
mod probe;
mod queue;
mod reply;
mod request;

pub use budget::{
    RetryBudget,
    RetryLimits, //
};
pub use core::{
    Input,
    Output,
    Router,
    Settings, //
};
pub use event::Event;
pub use queue::{
    Bounds,
    Queues,
    Waiter, //
};
pub use reply::{
    Cause,
    Ran,
    Refusal,
    Reply, //
};
pub use request::RequestSpec;

//! The decisions of a sidecar: admission to its target and the outcome of each attempt.

mod admit;
mod answer;
mod core;
mod event;
mod grant;
mod key;
mod limit;
mod record;
mod run;
mod sweep;

pub use answer::Answer;
pub use core::{
    Input,
    Output,
    Settings,
    Sidecar, //
};
pub use event::Event;
pub use key::{
    KEY_LIFETIME,
    KeyDecision, //
    Keys,
};
pub use limit::ConcurrencyLimit;
pub use record::{
    DISPATCH_LIFETIME,
    Record,
    Records,
    State, //
};

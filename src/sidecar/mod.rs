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
    KEY_LIFE,
    Keys,
    Verdict, //
};
pub use limit::Limit;
pub use record::{
    DISPATCH_LIFE,
    Record,
    Records,
    State, //
};

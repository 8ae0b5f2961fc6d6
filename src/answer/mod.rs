//! The one place that decides whether a target's answer has arrived whole.
//!
//! An answer that states its length, or comes in chunks, says by itself where it ends. One with
//! neither ends with its connection, which a target that crashes closes as well. A [`Progress`]
//! judges such an end by the bytes that came before it and by the state of the target.

mod events;
mod framing;
mod progress;

pub use events::{
    ContinuationError, //
    EventSplitter,
};
pub use framing::Framing;
pub use progress::{
    Flaw,
    Progress,
    TargetState, //
};

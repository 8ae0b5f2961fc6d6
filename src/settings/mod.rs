//! The settings of a process, read from JSON.

mod error;
mod model;

pub use error::{
    Category,
    Error, //
};
pub use model::{
    Keys,
    Name,
    Platform,
    RouterSettings,
    SidecarSettings,
    from_str, //
};

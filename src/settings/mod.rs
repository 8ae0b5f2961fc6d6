//! The settings of a process, read from JSON.

mod error;
mod gateway;
mod model;

pub use error::{
    Category,
    Error, //
};
pub use gateway::{
    ColdSettings,
    GatewaySettings,
    Policy, //
};
pub use model::{
    Check,
    Keys,
    Name,
    Platform,
    RouterSettings,
    SidecarSettings,
    from_str, //
};

//! The adapter to the users' platform: its store, its documents and its header fields.
//!
//! Nothing outside this folder knows the platform's names. The store's documents become a
//! rules file and a list of targets; a caller's header fields become an [`Envelope`]; a
//! target's become a [`ResponseKind`].

mod config;
mod fields;
mod store;
mod targets;

pub use config::{
    ConfigError,
    rules_text, //
};
pub use fields::{
    Envelope,
    Notice,
    ResponseKind,
    TargetFields,
    classify_response,
    client_timeout,
    envelope,
    notice,
    set_target_fields, //
};
pub use store::{
    Store,
    StoreError,
    Update, //
};
pub use targets::parse_listing;

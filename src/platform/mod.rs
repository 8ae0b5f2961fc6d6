//! The adapter to the users' platform: its store, its documents and its header fields.
//!
//! Nothing outside this folder knows the platform's names. The store's documents become a
//! rules file and a list of targets; a caller's header fields become an [`Envelope`]; a
//! target's become a [`Verdict`].

mod config;
mod fields;
mod store;
mod targets;

pub use config::{
    ConfigError,
    rules_text, //
};
pub use fields::{
    Address,
    Envelope,
    Notice,
    Verdict,
    address,
    envelope,
    notice,
    patience,
    verdict, //
};
pub use store::{
    Store,
    StoreError,
    Update, //
};
pub use targets::listing;

//! The adapter to the users' platform: its store, its documents and its header fields.
//!
//! The platform's names for documents and fields are used only in this folder. Documents of
//! the store are translated into rules and a list of targets, a caller's header fields
//! into an [`Envelope`], and a target's into a [`ResponseKind`] and a [`Notice`].

mod config;
mod fields;
mod store;
mod targets;

pub use config::{
    ConfigError,
    config_rules, //
};
pub use fields::{
    Envelope,
    IdEcho,
    Notice,
    ResponseKind,
    TargetFields,
    classify_response,
    client_timeout,
    envelope,
    id_echo,
    is_account_sendable,
    notice,
    set_target_fields, //
};
pub use store::{
    ConfigItem,
    Registry,
    Step,
    Store,
    StoreError, //
};
pub use targets::parse_listing;

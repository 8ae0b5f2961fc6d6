//! The macro that gives domain types their common derives.

/// Declares domain types with the derives that all of them share.
macro_rules! data {
    ($($(#[$meta:meta])* pub $kind:ident $name:ident $body:tt)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $(#[$meta])*
            pub $kind $name $body
        )*
    };
}

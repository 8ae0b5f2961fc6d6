//! The macro that declares domain types with their common derives.

/// Declares types that are compared, printed for debugging and serialized.
macro_rules! data {
    ($($(#[$meta:meta])* pub $kind:ident $name:ident $body:tt)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $(#[$meta])*
            pub $kind $name $body
        )*
    };
}

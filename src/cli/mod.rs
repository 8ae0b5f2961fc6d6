//! The command-line interface.

mod status;
mod verbs;

pub use verbs::{
    Exit,
    main, //
};

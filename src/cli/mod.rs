//! The command line.

mod status;
mod verbs;

pub use verbs::{
    Exit,
    main, //
};

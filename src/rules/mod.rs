//! The rules file: its model, parser, printer, comparison and explanation.
//!
//! Each line holds one rule and a comment with the person who asked for it and, after a colon, the
//! reason.
//!
//! ```
//! let text = "generation 1  # kim: first rules\n\
//!             share * stall-7 2  # mei: paid plan\n";
//! let rules = redwingyard::rules::from_str(text)?;
//! assert_eq!(rules.generation(), 1);
//! assert_eq!(redwingyard::rules::to_string(&rules), text);
//! # Ok::<(), redwingyard::rules::Errors>(())
//! ```

mod build;
mod defect;
mod diff;
mod error;
mod explain;
mod model;
mod parse;
mod print;
mod route;

pub use defect::{
    Defect,
    Defects, //
};
pub use diff::{
    Change,
    diff, //
};
pub use error::{
    Category,
    Error,
    Errors, //
};
pub use explain::{
    explain_account,
    explain_request,
    explain_route,
    explain_target, //
};
pub use model::{
    Entry,
    MAX_COLD_MS,
    MAX_COLD_RATE,
    MAX_SHARE,
    MAX_TEXT,
    Rule,
    Rules, //
};
pub use parse::from_str;
pub use print::to_string;
pub use route::{
    KeyDigest,
    Limit,
    RetryPolicy,
    Route,
    WeightedService,
    digest, //
};

//! A router fleet that shares capacity fairly between client accounts.
//!
//! Callers speak HTTP to a [`router::Router`]. Beside each target runs a
//! [`sidecar::Sidecar`], which admits requests to it. A request waits in its router until
//! a sidecar with a free slot asks for it, so no early guess binds it to a busy target.
//! Sidecars choose the account that has had the least service from the whole fleet.
//!
//! Operators write a rules file, one rule a line:
//!
//! ```
//! let rules = redwingyard::rules::from_str(
//!     "generation 7                     # kim: weekly review\n\
//!      target shop-api shop-1           # kim: new VM\n\
//!      share * stall-7 4                # mei: paid plan\n\
//!      write shop-api POST /profiles/*  # lin: saves run once\n",
//! )?;
//! assert!(rules.write_entry("shop-api", "POST", "/profiles/9").is_some());
//! # Ok::<(), redwingyard::rules::Errors>(())
//! ```
//!
//! The decisions are plain state machines that take inputs with a time and return
//! outputs; [`shell`] connects them to sockets and clocks.

#[macro_use]
mod macros;

pub mod cli;
pub mod config;
pub mod fair;
pub mod feed;
pub mod ids;
pub mod member;
pub mod mesh;
pub mod platform;
pub mod pool;
pub mod router;
pub mod rules;
pub mod settings;
pub mod shell;
pub mod sidecar;
pub mod story;
pub mod wire;

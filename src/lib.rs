//! A router fleet that shares capacity fairly between client accounts.
//!
//! Callers send HTTP requests to a [`router::Router`]. A [`sidecar::Sidecar`] runs beside
//! each target and admits requests to it. A request stays in its router's queue until a
//! sidecar with a free slot pulls it, so it is not bound early to a target that turns out
//! to be busy. Sidecars choose the account that has received the least service from the
//! whole fleet. A gateway is a router that sends to targets itself, without sidecars.
//!
//! Operators write a rules file with one rule per line:
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
//! Decisions are made by pure state machines, which take inputs with a time and return
//! outputs; [`shell`] connects them to sockets and clocks.

#[macro_use]
mod macros;

pub mod answer;
pub mod cli;
pub mod config;
pub mod fair;
pub mod feed;
pub mod ids;
pub mod member;
pub mod mesh;
pub mod platform;
pub mod pool;
pub mod replica;
pub mod router;
pub mod rules;
pub mod settings;
pub mod shell;
pub mod sidecar;
pub mod story;
pub mod wire;

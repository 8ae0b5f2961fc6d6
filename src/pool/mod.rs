//! The decisions of a router that sends to targets itself: queueing, refusing and placing.
//!
//! A [`Pool`] answers three loads: more requests than the targets can serve in time, an
//! account that sends far more than its share, and targets that fail or slow down. It
//! places a request only where its first byte is expected within the caller's objective,
//! holds the rest for a part of that objective, and refuses what cannot be served, early
//! and with a time at which to come back.
//!
//! ```
//! use std::time::Duration;
//! use redwingyard::pool::{Ask, Output, Pool, Seat, Settings};
//!
//! let mut pool = Pool::new(Settings::default());
//! let seat = Seat { target: 1, service: 7, slots: 6, ..Seat::default() };
//! pool.seats(Duration::ZERO, vec![seat]);
//! let (sequence, outs) = pool.arrive(Duration::ZERO, Ask { service: 7, ..Ask::default() });
//! assert!(matches!(outs[0], Output::Send { sequence: s, target: 1, .. } if s == sequence));
//! ```

mod ask;
mod batch;
mod cache;
mod core;
mod exchange;
mod fair;
mod health;
mod member;
mod memory;
mod model;
mod order;
mod pace;
mod place;
mod queue;
mod refuse;
mod retry;
mod served;
mod timer;

pub use ask::{
    Ask,
    Part,
    Prompt, //
};
pub use batch::Batch;
pub use cache::Cache;
pub use core::Pool;
pub use fair::Ledger;
pub use health::Health;
pub use member::Load;
pub use memory::{
    Holding,
    Memory,
    Opened, //
};
pub use model::{
    Fault,
    Output,
    Refusal,
    Seat,
    Settings,
    Standing, //
};
use order::Order;
pub use pace::Pace;
pub use queue::Queue;
pub use served::Served;

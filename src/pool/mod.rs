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
//! use redwingyard::pool::{RequestSpec, Output, Pool, TargetSpec, Settings};
//!
//! let mut pool = Pool::new(Settings::default());
//! let seat = TargetSpec { target: 1, service: 7, slots: 6, ..TargetSpec::default() };
//! pool.set_targets(Duration::ZERO, vec![seat]);
//! let (sequence, outs) = pool.arrive(Duration::ZERO, RequestSpec { service: 7, ..RequestSpec::default() });
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
    Prompt, //
    PromptPart,
    RequestSpec,
};
pub use batch::ConcurrencyLimit;
pub use cache::PrefixCache;
pub use core::Pool;
pub use fair::Ledger;
pub use health::Health;
pub use member::Load;
pub use memory::{
    ConnectionGuard, //
    MemoryBudget,
    Reservation,
};
pub use model::{
    Fault,
    Output,
    Refusal,
    Settings,
    TargetSpec,
    UsageReport, //
};
use order::Order;
pub use pace::LatencyModel;
pub use queue::Queue;
pub use served::AccountUsage;

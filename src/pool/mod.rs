//! Queueing, load shedding and placement for a gateway, a router that sends to targets itself.
//!
//! A [`Pool`] is built for three conditions: more requests arrive than the targets can serve in
//! time, one account sends far more than its share, and targets fail or slow down. It sends a
//! request only to a target whose first byte is expected within the caller's latency objective.
//! Other requests wait in a queue for up to a fraction of that objective. A request that can't be
//! served is refused early, with the time after which the caller should retry.
//!
//! ```
//! use std::time::Duration;
//! use redwingyard::pool::{Output, Pool, RequestSpec, Settings, TargetSpec};
//!
//! let mut pool = Pool::new(Settings::default());
//! let spec = TargetSpec { target: 1, service: 7, slots: 6, ..TargetSpec::default() };
//! pool.set_targets(Duration::ZERO, vec![spec]);
//! let request = RequestSpec { service: 7, ..RequestSpec::default() };
//! let (sequence, outputs) = pool.arrive(Duration::ZERO, request);
//! assert!(matches!(outputs[0], Output::Send { sequence: s, target: 1, .. } if s == sequence));
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
use order::Fairness;
pub use pace::LatencyModel;
pub use queue::Queue;
pub use served::RecentService;

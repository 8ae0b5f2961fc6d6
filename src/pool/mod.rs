//! Queueing, load shedding and placement for a gateway, a router that sends to targets itself.
//!
//! A [`Pool`] is built for three conditions: more requests arrive than the targets can serve in
//! time, one account sends far more than its share, and targets fail or slow down. It sends a
//! request only to a target whose first byte is expected within the caller's latency objective.
//! Other requests wait in a queue for up to a fraction of that objective. A request that can't be
//! served is refused early, with the time after which the caller should retry. A prompt part that
//! crashes the targets that answer it is quarantined; see [`Quarantine`].
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

mod cache;
mod concurrency;
mod core;
mod exchange;
mod headroom;
mod health;
mod latency;
mod ledger;
mod member;
mod memory;
mod model;
mod pace;
mod place;
mod quarantine;
mod queue;
mod refuse;
mod request;
mod retry;
mod run_times;
mod slow_start;
mod spare;
mod speed;
mod stop;
mod suspect;
mod throttle;
mod timer;
mod usage;
mod warmup;

use self::{
    core::ServiceState,
    member::Member,
    throttle::Fairness, //
};
pub use cache::PrefixCache;
pub use concurrency::ConcurrencyLimit;
pub use core::Pool;
pub use headroom::{
    Headroom,
    HeadroomSum, //
};
pub use health::Health;
pub use latency::LatencyModel;
pub use ledger::Ledger;
pub use member::{
    Attempt,
    Load,
    StatedLoad,
    TargetView, //
};
pub use memory::{
    ConnectionGuard,
    IdleTargetGuard,
    MemoryBudget,
    Reservation,
    TargetConnectionGuard, //
};
pub use model::{
    Fault,
    Output,
    Refusal,
    Settings,
    ShareReport,
    TargetSpec,
    UsageReport, //
};
pub use pace::{
    Pace,
    PaceCause,
    join_position, //
};
pub use quarantine::{
    CrashId,
    CrashReport,
    PartReport,
    PartStatus,
    Quarantine,
    QuarantineChange,
    Verdict, //
};
pub use queue::Queue;
pub use request::{
    Prompt, //
    PromptPart,
    RequestSpec,
    part_id,
};
pub use retry::{
    RetryDecision,
    RetryVerdict, //
};
pub use run_times::RunTimes;
pub use slow_start::PaceChange;
pub use speed::{
    EngineSpeed,
    MAX_SLOWDOWNS, //
};
pub use stop::{
    ACCEPT_GRACE,
    STOP_MARGIN,
    Stop, //
};
pub use usage::{
    Hold,
    RecentService,
    Standing, //
};
pub use warmup::{
    Arrival,
    ColdCause,
    ColdChange,
    ColdLimit,
    ColdStatus,
    MAX_COLD_TIME,
    MAX_SEND_DELAY,
    SEND_WINDOW,
    StatedCold,
    Warmup, //
};

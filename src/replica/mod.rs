//! A gateway's copy of what the store holds: which rules and targets it has read, and when they were
//! last known to be the newest.
//!
//! The store can come back from an older copy of itself, which starts an era of its history. A
//! position of a later era is newer than any of an earlier one, and knowledge of one era confirms
//! nothing about another.

mod copy;
mod freshness;
mod outage;
mod receipts;

pub use copy::{
    Pending,
    Replica,
    TargetList,
    replaces, //
};
pub use freshness::Freshness;
pub use outage::{
    MIN_LAPSE_OUTAGE,
    Outage, //
};
pub use receipts::{
    Receipts,
    SentTimes,
    Undated, //
};

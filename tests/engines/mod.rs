//! Engines of a pool, and what the pool sends to them.

// Each test file that includes this module uses only a part of it.
#![allow(dead_code, clippy::allow_attributes, unreachable_pub)]

use std::time::Duration;

use redwingyard::pool::{
    Output,
    TargetSpec, //
};

/// The service of the engines.
pub(crate) const ENGINE: u32 = 2;

pub(crate) fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Returns engines whose names count from 1.
pub(crate) fn engines(count: u32) -> Vec<TargetSpec> {
    let spec = |target| TargetSpec {
        target,
        service: ENGINE,
        slots: 64,
        kv_capacity: 500_000,
        ..TargetSpec::default()
    };
    (1..=count).map(spec).collect()
}

/// Returns the targets to which requests are sent.
pub(crate) fn sent(outputs: &[Output]) -> Vec<u32> {
    let target = |out: &Output| match out {
        Output::Send { target, .. } => Some(*target),
        _ => None,
    };
    outputs.iter().filter_map(target).collect()
}

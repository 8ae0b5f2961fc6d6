//! The bounds that each scenario is checked against, and the format of the printed lines.

use std::time::Duration;

use super::scenario::{
    Group,
    Scenario, //
};

/// The most control bytes per second that a process may send and receive.
const MAX_CONTROL_RATE: f64 = 19_000.0;

/// The least utilisation while requests wait, in scenarios without faults.
const MIN_UTILISATION: f64 = 0.99;

/// The least utilisation while requests wait, in scenarios with faults.
const MIN_FAULT_UTILISATION: f64 = 0.97;

/// The least ratio of the utilisation to that of the omniscient policy.
const MIN_UTILISATION_RATIO: f64 = 0.99;

/// The figures of a scenario under one policy.
pub(super) struct Figures {
    pub(super) policy: &'static str,
    /// The largest change of one account's lead over another while both waited, in seconds of
    /// slot time divided by share.
    pub(super) gap: f64,
    /// The fraction of the slot time that was used while requests waited.
    pub(super) utilisation: f64,
    /// The control bytes per second at the process with the most traffic.
    pub(super) control_rate: Option<f64>,
    /// The fraction of one core that the busiest state machine used.
    pub(super) core_fraction: Option<f64>,
    /// The median and the 99th percentile of the waiting times of each group.
    pub(super) waits: Vec<(Group, Duration, Duration)>,
}

/// The list of known failures. A bound that it lists may be missed without failing the bench.
const KNOWN_RED: &str = include_str!("../../KNOWN-RED.txt");

/// Returns whether a missed bound is listed in `KNOWN-RED.txt`.
pub(super) fn is_known_failure(scenario: &Scenario, bound: &str) -> bool {
    let entry = format!("fairness {} {bound} ", scenario.name);
    KNOWN_RED.lines().any(|line| line.starts_with(&entry))
}

/// Returns the names of the bounds that the measured figures miss.
pub(super) fn missed_bounds(
    scenario: &Scenario,
    measured: &Figures,
    omniscient: &Figures,
) -> Vec<&'static str> {
    let min_utilisation = match scenario.has_fault {
        true => MIN_FAULT_UTILISATION,
        false => MIN_UTILISATION,
    };
    let mut missed = Vec::new();
    if measured.gap > scenario.gap_bound() {
        missed.push("gap");
    }
    if measured.utilisation < min_utilisation {
        missed.push("utilisation");
    }
    if measured.utilisation < omniscient.utilisation * MIN_UTILISATION_RATIO {
        missed.push("utilisation_of_limit");
    }
    if measured
        .control_rate
        .is_some_and(|rate| rate > MAX_CONTROL_RATE)
    {
        missed.push("control");
    }
    missed
}

/// Returns the line to print for a scenario under one policy.
pub(super) fn format_line(scenario: &Scenario, figures: &Figures, missed: &[&str]) -> String {
    let mut line = format!(
        "scenario={} policy={} gap_s={:.2} gap_bound_s={:.1} utilisation={:.4}",
        scenario.name,
        figures.policy,
        figures.gap,
        scenario.gap_bound(),
        figures.utilisation
    );
    for (group, median, p99) in &figures.waits {
        let group = format!("{group:?}").to_lowercase();
        line += &format!(
            " wait_{group}_p50_ms={} wait_{group}_p99_ms={}",
            median.as_millis(),
            p99.as_millis()
        );
    }
    if let Some(rate) = figures.control_rate {
        line += &format!(" control_bytes_s={rate:.0}");
    }
    if let Some(fraction) = figures.core_fraction {
        line += &format!(" core_percent={:.2}", fraction * 100.0);
    }
    let (known, new): (Vec<&str>, Vec<&str>) = missed
        .iter()
        .copied()
        .partition(|bound| is_known_failure(scenario, bound));
    for (label, bounds) in [("missed", new), ("known_red", known)] {
        if !bounds.is_empty() {
            line += &format!(" {label}={}", bounds.join(","));
        }
    }
    line
}

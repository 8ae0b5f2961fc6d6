//! The counters and histograms of a gateway.

use std::time::Duration;

use prometheus::{
    Encoder,
    Histogram,
    HistogramOpts,
    IntCounter,
    IntCounterVec,
    IntGauge,
    Opts,
    Registry,
    TextEncoder, //
};

/// The upper bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.5, 5.0, 15.0,
];

/// The upper bounds of the buckets of histograms of ratios.
const RATIO_BUCKETS: [f64; 10] = [0.25, 0.5, 0.8, 1.25, 2.0, 3.0, 4.0, 6.0, 8.0, 16.0];

/// The counters, gauges and histograms of a gateway, and their registry.
pub(super) struct Metrics {
    registry: Registry,
    outcomes: IntCounterVec,
    faults: IntCounterVec,
    pub(super) accepted: IntCounter,
    cuts: IntCounterVec,
    early_ends: IntCounterVec,
    closed: IntCounterVec,
    retries: IntCounterVec,
    confirmations: IntCounterVec,
    wait: Histogram,
    first_byte: Histogram,
    total: Histogram,
    end_check: Histogram,
    load_ratio: Histogram,
    first_byte_ratio: Histogram,
    caller_age: Histogram,
    hangup: Histogram,
    pub(super) active: IntGauge,
    pub(super) generation: IntGauge,
    pub(super) config_unreadable: IntGauge,
    pub(super) config_defects: IntGauge,
    pub(super) panics: IntGauge,
    pub(super) rules_age: IntGauge,
    pub(super) era: IntGauge,
    pub(super) held_entries: IntGauge,
    pub(super) evacuated: IntGauge,
    pub(super) delay: IntGauge,
    pub(super) memory: IntGauge,
    pub(super) held: IntGauge,
    pub(super) connections: IntGauge,
    pub(super) quarantined: IntGauge,
    pub(super) slow_engines: IntGauge,
    pub(super) headroom: IntGauge,
    pub(super) cold: IntGauge,
    pub(super) cold_held: IntGauge,
    pub(super) slow_starts: IntGauge,
    pub(super) slow_start_held: IntGauge,
}

impl Metrics {
    pub(super) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name, help, label| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label]);
            let counter = counter.expect("the metric name and its label are valid");
            let _ = registry.register(Box::new(counter.clone()));
            counter
        };
        let histogram_of = |buckets: &[f64], name, help| {
            let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = Histogram::with_opts(opts).expect("the buckets are in order");
            let _ = registry.register(Box::new(histogram.clone()));
            histogram
        };
        let histogram = |name, help| histogram_of(&BUCKETS, name, help);
        let gauge = |name, help| {
            let gauge = IntGauge::new(name, help).expect("the metric name is valid");
            let _ = registry.register(Box::new(gauge.clone()));
            gauge
        };
        let accepted = IntCounter::new(
            "redwingyard_connections_accepted_total",
            "Connections of callers that were accepted.",
        );
        let accepted = accepted.expect("the metric name is valid");
        let _ = registry.register(Box::new(accepted.clone()));
        Self {
            accepted,
            outcomes: counter(
                "redwingyard_requests_total",
                "Requests that have ended, by outcome.",
                "outcome",
            ),
            faults: counter(
                "redwingyard_attempts_failed_total",
                "Attempts at targets that failed, by fault.",
                "fault",
            ),
            cuts: counter(
                "redwingyard_requests_cut_total",
                "Requests whose connection ended before their answer was complete, by cause.",
                "cause",
            ),
            early_ends: counter(
                "redwingyard_requests_ended_early_total",
                "Requests that were ended for their deadline while their callers may have waited, by \
                 outcome.",
                "outcome",
            ),
            closed: counter(
                "redwingyard_connections_closed_total",
                "Connections of callers that were closed for what they sent, or for others, by cause.",
                "cause",
            ),
            retries: counter(
                "redwingyard_retries_total",
                "Decisions on a retry after a failed attempt, by verdict.",
                "verdict",
            ),
            confirmations: counter(
                "redwingyard_peer_confirmations_total",
                "Confirmations of the rules by other gateways: dated here, or why they are not.",
                "result",
            ),
            wait: histogram(
                "redwingyard_wait_seconds",
                "Time from arrival until a request was sent to a target.",
            ),
            first_byte: histogram(
                "redwingyard_first_byte_seconds",
                "Time from arrival to the first byte of the answer.",
            ),
            total: histogram(
                "redwingyard_total_seconds",
                "Time from arrival to the end of the answer.",
            ),
            end_check: histogram(
                "redwingyard_end_check_seconds",
                "Time to learn the state of the target of an answer that ended with its connection.",
            ),
            load_ratio: histogram_of(
                &RATIO_BUCKETS,
                "redwingyard_load_ratio",
                "Requests that a target states to have, running or waiting, divided by those that it \
                 was believed to have.",
            ),
            first_byte_ratio: histogram_of(
                &RATIO_BUCKETS,
                "redwingyard_first_byte_ratio",
                "Time from sending a prompt to the first byte, divided by the expected one.",
            ),
            caller_age: histogram(
                "redwingyard_caller_age_seconds",
                "Time since the caller was last known to be there when its request was sent.",
            ),
            hangup: histogram(
                "redwingyard_hangup_seconds",
                "Longest time for which the close of a caller may have lain unread.",
            ),
            active: gauge("redwingyard_requests", "Requests that have not ended."),
            generation: gauge("redwingyard_generation", "Generation in force."),
            config_unreadable: gauge(
                "redwingyard_config_unreadable",
                "Whether the newest configuration can't be read, so that older rules are in force.",
            ),
            config_defects: gauge(
                "redwingyard_config_defects",
                "Entries of the configuration in force that are not used as written.",
            ),
            panics: gauge(
                "redwingyard_panics_total",
                "Panics since the start of the process, each a fault of it.",
            ),
            era: gauge(
                "redwingyard_store_era",
                "Times that the store has come back from an older copy, by its own count.",
            ),
            held_entries: gauge(
                "redwingyard_held_entries",
                "Entries of targets in an older copy of the store that get no requests, as they had \
                 left.",
            ),
            evacuated: gauge(
                "redwingyard_evacuated_domains",
                "Failure domains that are evacuated, so that their targets get no requests.",
            ),
            rules_age: gauge(
                "redwingyard_rules_age_ms",
                "Milliseconds since the rules in force were known to be the newest.",
            ),
            delay: gauge(
                "redwingyard_delay_ms",
                "Milliseconds by which the last timer of this process was late.",
            ),
            memory: gauge(
                "redwingyard_memory_bytes",
                "Memory that the process takes, as the system counts it.",
            ),
            held: gauge(
                "redwingyard_held_bytes",
                "Bytes of bodies and answers that are promised room.",
            ),
            connections: gauge(
                "redwingyard_connections",
                "Connections of callers that are open.",
            ),
            quarantined: gauge(
                "redwingyard_quarantined_parts",
                "Prompt parts whose requests are refused because they crash targets.",
            ),
            slow_engines: gauge(
                "redwingyard_slow_engines",
                "Engines that are expected to take twice as long as the others of their service, or longer.",
            ),
            headroom: gauge(
                "redwingyard_headroom_percent",
                "The rate up to which accounts are served, in percent of the stated one; the largest of all services.",
            ),
            cold: gauge(
                "redwingyard_cold_targets",
                "Targets that are cold, so that only one gateway sends to each of them.",
            ),
            cold_held: gauge(
                "redwingyard_cold_sends_held_total",
                "Times that a cold target was passed over in a placement.",
            ),
            slow_starts: gauge(
                "redwingyard_slow_start_targets",
                "Targets in slow start, as they have started or recovered.",
            ),
            slow_start_held: gauge(
                "redwingyard_slow_start_held_total",
                "Requests that had to wait while slow start kept them from a target.",
            ),
            registry,
        }
    }

    pub(super) fn count_outcome(&self, outcome: &str) {
        self.outcomes.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_fault(&self, fault: &str) {
        self.faults.with_label_values(&[fault]).inc();
    }

    pub(super) fn count_cut(&self, cause: &str) {
        self.cuts.with_label_values(&[cause]).inc();
    }

    pub(super) fn count_early_end(&self, outcome: &str) {
        self.early_ends.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_closed(&self, cause: &str) {
        self.closed.with_label_values(&[cause]).inc();
    }

    pub(super) fn count_retry(&self, verdict: &str) {
        self.retries.with_label_values(&[verdict]).inc();
    }

    pub(super) fn count_confirmation(&self, result: &str) {
        self.confirmations.with_label_values(&[result]).inc();
    }

    pub(super) fn observe_wait(&self, time: Duration) {
        self.wait.observe(time.as_secs_f64());
    }

    pub(super) fn observe_first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    pub(super) fn observe_total(&self, time: Duration) {
        self.total.observe(time.as_secs_f64());
    }

    pub(super) fn observe_end_check(&self, time: Duration) {
        self.end_check.observe(time.as_secs_f64());
    }

    pub(super) fn observe_load_ratio(&self, ratio: f64) {
        self.load_ratio.observe(ratio);
    }

    pub(super) fn observe_first_byte_ratio(&self, ratio: f64) {
        self.first_byte_ratio.observe(ratio);
    }

    pub(super) fn observe_caller_age(&self, time: Duration) {
        self.caller_age.observe(time.as_secs_f64());
    }

    pub(super) fn observe_hangup(&self, time: Duration) {
        self.hangup.observe(time.as_secs_f64());
    }

    /// Returns the metrics in the Prometheus text format.
    pub(super) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a `Vec` does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

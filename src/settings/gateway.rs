//! The settings of a gateway.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

use super::{
    Check,
    model::{
        Name,
        check_retry, //
    }, //
};
use crate::router::RetryLimits;

/// The limit below which the setting `stop_s` must be, in seconds.
const MAX_STOP_SECONDS: f64 = 3_600.0;

/// The limit below which the settings `trust_ms` and `apply_ms` must be, in milliseconds.
const MAX_TRUST_MS: f64 = 3_600_000.0;

/// The largest factor of the setting `cold`.
const MAX_COLD_OVER: f64 = 100.0;

/// The largest slack of the setting `cold`, in requests per second.
const MAX_COLD_SLACK: f64 = 1_000_000.0;

/// How a gateway queues requests and chooses their targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Queues requests in fair order between client accounts, and chooses targets by expected
    /// time and locality.
    #[default]
    Fair,
    /// Sends requests in the order of their arrival to the least busy target; for comparison.
    Baseline,
}

/// An operator's decision about a prompt part, which goes before the evidence of crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRule {
    /// The part, as callers name it.
    pub part: Name,
    /// Whether requests with the part are refused; otherwise it is never quarantined.
    pub refuse: bool,
    /// Who asked for it, and why.
    pub by: Name,
}

/// How far the requests to a cold target may exceed the rate that its service states.
///
/// A value that is not a number, negative or too large counts as absent; see
/// [`ColdSettings::defects`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdSettings {
    /// The factor by which they may; one if it is absent.
    pub over: Value,
    /// The requests per second by which they may beyond that; none if it is absent.
    pub slack: Value,
}

impl ColdSettings {
    /// Returns the most requests per second that a cold target may get from all gateways together.
    ///
    /// ```
    /// use redwingyard::settings::ColdSettings;
    /// let cold = ColdSettings { over: 1.5.into(), slack: 5.into() };
    /// assert_eq!(cold.bound(14.0), 26.0);
    /// let odd = ColdSettings { over: (-1).into(), slack: "5".into() };
    /// assert_eq!(odd.bound(14.0), 14.0);
    /// ```
    pub fn bound(&self, rate: f64) -> f64 {
        let over = figure(&self.over, MAX_COLD_OVER).unwrap_or(1.0);
        rate * over + figure(&self.slack, MAX_COLD_SLACK).unwrap_or(0.0)
    }

    /// Returns the values that can't be used as written, with their names.
    pub fn defects(&self) -> impl Iterator<Item = (&'static str, &Value)> {
        let all = [
            ("over", &self.over, MAX_COLD_OVER),
            ("slack", &self.slack, MAX_COLD_SLACK),
        ];
        let odd = all
            .into_iter()
            .filter(|(_, value, largest)| !value.is_null() && figure(value, *largest).is_none());
        odd.map(|(name, value, _)| (name, value))
    }
}

/// Returns a number from zero to `largest`.
fn figure(value: &Value, largest: f64) -> Option<f64> {
    let value = value.as_f64()?;
    (0.0..=largest).contains(&value).then_some(value)
}

/// The settings of a gateway: a router that sends to targets itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the VM.
    pub name: Name,
    /// The failure domain of the VM.
    pub domain: Name,
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for operators and the platform's readiness check.
    pub admin: SocketAddr,
    /// The address for messages from other gateways.
    pub peer: SocketAddr,
    /// Addresses of VMs that may run gateways; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// The address of the store that holds the rules and the targets.
    pub store: SocketAddr,
    /// The time limit of a graceful shutdown, in seconds.
    pub stop_s: f64,
    /// The time since the rules were last confirmed after which API keys are no longer trusted, in
    /// milliseconds.
    #[serde(default)]
    pub trust_ms: Option<f64>,
    /// The time within which a change of the rules must be in force, in milliseconds. While the rules
    /// were last confirmed longer ago, a route or a key that they lack is not refused as unknown, and
    /// if the store can be reached all the same, no request is served.
    #[serde(default)]
    pub apply_ms: Option<f64>,
    /// How requests are queued and their targets chosen.
    #[serde(default)]
    pub policy: Policy,
    /// How often all gateways together may retry the requests of a service.
    #[serde(default)]
    pub retry: RetryLimits,
    /// The memory limit of the process, in MB, which limits the callers' connections.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// The number of callers' connections above which each further one is closed after a refusal.
    /// If it is not set, a part of the process's file descriptors is used.
    #[serde(default)]
    pub connections: Option<usize>,
    /// How far the requests to a cold target may exceed the rate that its service states.
    #[serde(default)]
    pub cold: Option<ColdSettings>,
    /// Operators' decisions about prompt parts.
    #[serde(default)]
    pub parts: Vec<PartRule>,
    /// Whether targets that have started or recovered get requests at a pace that follows their
    /// answers.
    #[serde(default)]
    pub slow_start: bool,
}

impl GatewaySettings {
    /// Returns the time limit of a graceful shutdown.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }

    /// Returns the age of the rules after which API keys are no longer trusted, if there is a limit.
    pub fn trust_limit(&self) -> Option<Duration> {
        self.trust_ms
            .map(|limit| Duration::from_secs_f64(limit / 1_000.0))
    }

    /// Returns the time within which a change of the rules must be in force, if there is a limit.
    pub fn apply_limit(&self) -> Option<Duration> {
        self.apply_ms
            .map(|limit| Duration::from_secs_f64(limit / 1_000.0))
    }

    /// Returns the most requests per second that a cold target may get, whose service states that it
    /// can take `rate`.
    pub fn cold_bound(&self, rate: f64) -> f64 {
        self.cold.as_ref().map_or(rate, |cold| cold.bound(rate))
    }

    /// Returns the seed addresses at which to look for other gateways, without that of this VM.
    pub fn peers(&self) -> impl Iterator<Item = IpAddr> {
        let seeds = self.seeds.iter().map(SocketAddr::ip);
        seeds.filter(|ip| *ip != self.peer.ip())
    }
}

impl Check for GatewaySettings {
    fn check(&self) -> Option<(&'static str, String)> {
        if self.name.is_empty() {
            return Some(("name", "must not be empty".to_owned()));
        }
        if self.http == self.admin && self.http.port() != 0 {
            return Some(("admin", "is the same address as \"http\"".to_owned()));
        }
        if self.peer.ip().is_unspecified() {
            return Some(("peer", "must name an address of this VM".to_owned()));
        }
        if !(0.0..MAX_STOP_SECONDS).contains(&self.stop_s) {
            return Some(("stop_s", format!("must be from 0 to {MAX_STOP_SECONDS}")));
        }
        for (name, limit) in [("trust_ms", self.trust_ms), ("apply_ms", self.apply_ms)] {
            if limit.is_some_and(|limit| !(0.0..MAX_TRUST_MS).contains(&limit)) {
                return Some((name, format!("must be from 0 to {MAX_TRUST_MS}")));
            }
        }
        if let Some(detail) = check_retry(&self.retry) {
            return Some(("retry", detail));
        }
        let incomplete = |rule: &PartRule| rule.part.is_empty() || rule.by.is_empty();
        if self.parts.iter().any(incomplete) {
            return Some((
                "parts",
                "must name each part and who asked for it".to_owned(),
            ));
        }
        None
    }
}

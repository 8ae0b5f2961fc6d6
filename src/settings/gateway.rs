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

use super::{
    Check,
    model::Name, //
};

/// The longest graceful shutdown, in seconds.
const MAX_STOP: f64 = 3_600.0;

/// The greatest age of rules that keys may be trusted at, in milliseconds.
const MAX_TRUST: f64 = 3_600_000.0;

/// How a gateway queues and places.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// By fair order, expected time and locality.
    #[default]
    Fair,
    /// First come first served to the least busy target, for comparison.
    Baseline,
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
    /// The address for messages of other gateways.
    pub peer: SocketAddr,
    /// Addresses of VMs that may run gateways; their ports do not matter.
    pub seeds: Vec<SocketAddr>,
    /// The address of the store that holds the rules and the targets.
    pub store: SocketAddr,
    /// The longest time that a graceful shutdown takes, in seconds.
    pub stop_s: f64,
    /// The age of confirmed rules beyond which keys are not trusted, in milliseconds.
    #[serde(default)]
    pub trust_ms: Option<f64>,
    /// How requests are queued and placed.
    #[serde(default)]
    pub policy: Policy,
    /// The retries of each service that may be saved up.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// The memory that the process may take, in MB; it bounds the callers' connections.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// The callers' connections beyond which each is closed after a refusal; a part of the
    /// process's descriptors where this is not set.
    #[serde(default)]
    pub connections: Option<usize>,
}

impl GatewaySettings {
    /// Returns the longest time that a graceful shutdown takes.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }

    /// Returns the age beyond which keys are not trusted, if there is one.
    pub fn trust_limit(&self) -> Option<Duration> {
        self.trust_ms
            .map(|limit| Duration::from_secs_f64(limit / 1_000.0))
    }

    /// Returns the addresses at which other gateways may be reached at first.
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
        if !(0.0..MAX_STOP).contains(&self.stop_s) {
            return Some(("stop_s", format!("must be from 0 to {MAX_STOP}")));
        }
        if self
            .trust_ms
            .is_some_and(|limit| !(0.0..MAX_TRUST).contains(&limit))
        {
            return Some(("trust_ms", format!("must be from 0 to {MAX_TRUST}")));
        }
        None
    }
}

fn default_retries() -> u32 {
    10
}

//! Translates the operator's configuration into a rules file.

use std::fmt::Write;

use derive_more::{
    Display,
    Error,
    From, //
};
use serde::Deserialize;

use crate::rules::{
    Limit,
    RetryPolicy,
    Route,
    Rule,
    WeightedService, //
};

/// Why a configuration can't be used.
#[derive(Debug, Display, Error, From)]
pub enum ConfigError {
    /// It is not JSON, or a field is missing or of the wrong type.
    #[display("the configuration can't be read: {_0}")]
    Json(serde_json::Error),
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Config {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteDoc>,
    #[serde(default)]
    services: Vec<ServiceDoc>,
    #[serde(default)]
    limits: Limits,
    /// If the list is absent, no route requires a key; if it is empty, no key is valid.
    #[serde(default)]
    tenants: Option<Vec<Tenant>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteDoc {
    name: String,
    host: String,
    prefix: String,
    kind: String,
    timeout_ms: f64,
    /// The latency objective: an answer within this time is on time.
    target_latency_ms: f64,
    #[serde(default)]
    service: Option<String>,
    /// Services that share the route's requests by weight, in place of `service`.
    #[serde(default)]
    traffic_split: Vec<SplitDoc>,
    #[serde(default = "default_attempts")]
    max_attempts: u32,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    anonymous: bool,
    #[serde(default)]
    resumable: bool,
}

#[derive(Deserialize)]
struct SplitDoc {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceDoc {
    name: String,
    #[serde(default)]
    engine: Option<EngineDoc>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineDoc {
    slots: u32,
    kv_capacity_tokens: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_header_bytes: Option<u64>,
    max_body_bytes: Option<u64>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
    /// The total throughput of all engines in tokens per second: each token read counts as one,
    /// each token generated as two.
    tokens_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
}

fn default_attempts() -> u32 {
    1
}

/// Translates the operator's configuration into the text of a rules file.
///
/// A comment on each line names the configuration's version and the entry that the line was
/// made from. API keys appear only as digests.
///
/// ```
/// let text = redwingyard::platform::rules_text(
///     br#"{"version":7,"routes":[],"services":[],"limits":{"idleTimeoutMs":15000}}"#,
/// )?;
/// assert_eq!(
///     text,
///     "generation 7  # operator: version 7\n\
///      limit idle-ms 15000  # operator: version 7, limits\n"
/// );
/// # Ok::<(), redwingyard::platform::ConfigError>(())
/// ```
///
/// # Errors
///
/// Fails if `value` is not a valid configuration document.
pub fn rules_text(value: &[u8]) -> Result<String, ConfigError> {
    let config: Config = serde_json::from_slice(value)?;
    let version = config.version;
    let mut text = format!("generation {version}  # operator: version {version}\n");
    let mut add_rule = |rule: Rule, origin: &str| {
        let _ = writeln!(text, "{rule}  # operator: version {version}, {origin}");
    };
    for (limit, value) in config.limits.entries() {
        add_rule(Rule::Limit { limit, value }, "limits");
    }
    for service in &config.services {
        if let Some(engine) = &service.engine {
            let rule = Rule::Engine {
                service: service.name.clone(),
                slots: engine.slots,
                memory: engine.kv_capacity_tokens as u64,
            };
            add_rule(rule, &format!("service {}", service.name));
        }
    }
    let keyed = config.tenants.is_some();
    for mut route in config.routes {
        let origin = format!("route {}", route.name);
        route.anonymous |= !keyed;
        add_rule(Rule::Route(route.into_route()), &origin);
    }
    for tenant in config.tenants.unwrap_or_default() {
        let origin = format!("tenant {}", tenant.name);
        for key in &tenant.api_keys {
            let rule = Rule::Key {
                account: tenant.name.clone(),
                digest: crate::rules::digest(key.as_bytes()),
            };
            add_rule(rule, &origin);
        }
    }
    Ok(text)
}

impl Limits {
    /// Returns the limits that are set.
    fn entries(&self) -> impl Iterator<Item = (Limit, u64)> {
        let all = [
            (Limit::HeaderBytes, self.max_header_bytes),
            (Limit::BodyBytes, self.max_body_bytes),
            (Limit::HeaderTime, self.header_timeout_ms),
            (Limit::IdleTime, self.idle_timeout_ms),
            (Limit::TokenRate, self.tokens_per_s.map(|rate| rate as u64)),
        ];
        let configured = |(limit, value): (Limit, Option<u64>)| Some((limit, value?));
        all.into_iter().filter_map(configured)
    }
}

impl RouteDoc {
    fn into_route(self) -> Route {
        let stream = self.kind == "streaming";
        let repeat = match (self.kind.as_str(), self.resumable) {
            ("streaming", true) => RetryPolicy::Resume,
            ("safe", _) => RetryPolicy::Repeat,
            _ => RetryPolicy::Once,
        };
        let single = self
            .service
            .map(|service| WeightedService { service, weight: 1 });
        let weighted = self.traffic_split.into_iter().map(|part| WeightedService {
            service: part.service,
            weight: part.weight.round() as u32,
        });
        Route {
            split: single.into_iter().chain(weighted).collect(),
            name: self.name,
            host: self.host,
            prefix: self.prefix,
            repeat,
            stream,
            open: self.anonymous,
            attempts: self.max_attempts.max(1),
            timeout: self.timeout_ms as u64,
            objective: self.target_latency_ms as u64,
        }
    }
}

//! The operator's configuration as a rules file.

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

/// Why a configuration is not usable.
#[derive(Debug, Display, Error, From)]
pub enum ConfigError {
    /// It is not a document of the known form.
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
    /// Where there is none, no route needs a key; an empty list takes every key away.
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
    /// The objective: the time in which an answer is on time.
    target_latency_ms: f64,
    #[serde(default)]
    service: Option<String>,
    /// Instead of one service, several that share the route's requests.
    #[serde(default)]
    traffic_split: Vec<SplitDoc>,
    #[serde(default = "one")]
    max_attempts: u32,
    /// Whether requests need no key.
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
    /// The throughput of all engines together: tokens read, and twice those generated.
    tokens_per_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
}

fn one() -> u32 {
    1
}

/// Returns the rules file that says what the operator's configuration says.
///
/// Each line names the configuration's version and the entry that it came from. Keys appear
/// as digests only.
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
/// Fails on a document that is not a configuration.
pub fn rules_text(value: &[u8]) -> Result<String, ConfigError> {
    let config: Config = serde_json::from_slice(value)?;
    let version = config.version;
    let mut text = format!("generation {version}  # operator: version {version}\n");
    let mut line = |rule: Rule, origin: &str| {
        let _ = writeln!(text, "{rule}  # operator: version {version}, {origin}");
    };
    for (limit, value) in config.limits.named() {
        line(Rule::Limit { limit, value }, "limits");
    }
    for service in &config.services {
        if let Some(engine) = &service.engine {
            let rule = Rule::Engine {
                service: service.name.clone(),
                slots: engine.slots,
                memory: engine.kv_capacity_tokens as u64,
            };
            line(rule, &format!("service {}", service.name));
        }
    }
    let keyed = config.tenants.is_some();
    for mut route in config.routes {
        let origin = format!("route {}", route.name);
        route.anonymous |= !keyed;
        line(Rule::Route(route.decode()), &origin);
    }
    for tenant in config.tenants.unwrap_or_default() {
        let origin = format!("tenant {}", tenant.name);
        for key in &tenant.api_keys {
            let rule = Rule::Key {
                account: tenant.name.clone(),
                digest: crate::rules::digest(key.as_bytes()),
            };
            line(rule, &origin);
        }
    }
    Ok(text)
}

impl Limits {
    fn named(&self) -> impl Iterator<Item = (Limit, u64)> {
        let all = [
            (Limit::HeaderBytes, self.max_header_bytes),
            (Limit::BodyBytes, self.max_body_bytes),
            (Limit::HeaderTime, self.header_timeout_ms),
            (Limit::IdleTime, self.idle_timeout_ms),
            (Limit::TokenRate, self.tokens_per_s.map(|rate| rate as u64)),
        ];
        let set = |(limit, value): (Limit, Option<u64>)| Some((limit, value?));
        all.into_iter().filter_map(set)
    }
}

impl RouteDoc {
    fn decode(self) -> Route {
        let stream = self.kind == "streaming";
        let repeat = match (self.kind.as_str(), self.resumable) {
            ("streaming", true) => RetryPolicy::Resume,
            ("safe", _) => RetryPolicy::Repeat,
            _ => RetryPolicy::Once,
        };
        let whole = self
            .service
            .map(|service| WeightedService { service, weight: 1 });
        let parts = self.traffic_split.into_iter().map(|part| WeightedService {
            service: part.service,
            weight: part.weight.round() as u32,
        });
        Route {
            split: whole.into_iter().chain(parts).collect(),
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

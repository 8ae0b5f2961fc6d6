//! Translates the operator's configuration into rules.
//!
//! The store accepts only valid configurations, so no name, size or figure in one is a reason to refuse
//! it: an entry that can't be used as written is reported, and the others come into force.

use derive_more::{
    Display,
    Error,
    From, //
};
use serde::{
    Deserialize,
    de::DeserializeOwned, //
};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use super::fields::is_account_sendable;
use crate::rules::{
    Defects,
    Entry,
    Limit,
    MAX_COLD_MS,
    MAX_COLD_RATE,
    RetryPolicy,
    Route,
    Rule,
    Rules,
    WeightedService, //
};

/// The author of the rules.
const REQUESTER: &str = "operator";

/// The greatest time of a route, in milliseconds: a year.
const MAX_ROUTE_TIME: f64 = 365.0 * 86_400_000.0;

/// The sum of a route's weights, if they are not whole numbers.
const WEIGHT_SUM: f64 = 1_000_000.0;

/// The thousandths in one.
const MILLIS: f64 = 1_000.0;

/// Why a configuration can't be used.
#[derive(Debug, Display, Error, From)]
pub enum ConfigError {
    /// It is not JSON, has no version, or one of its lists is not a list.
    #[display("the configuration can't be read: {_0}")]
    Json(serde_json::Error),
}

/// The configuration. Its entries are read one by one, so that an odd one leaves the others.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Config<'a> {
    version: u64,
    #[serde(borrow, default)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    services: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    limits: Limits<'a>,
    /// If the list is absent, no route requires a key; if it is empty, no key is valid.
    #[serde(borrow, default)]
    tenants: Option<Vec<&'a RawValue>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteDoc {
    name: String,
    #[serde(flatten)]
    place: PlaceDoc,
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
    max_attempts: f64,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    anonymous: bool,
    #[serde(default)]
    resumable: bool,
}

/// The part of a route that selects its requests.
#[derive(Deserialize)]
struct PlaceDoc {
    host: String,
    prefix: String,
}

#[derive(Deserialize)]
struct SplitDoc {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceDoc {
    name: String,
    #[serde(default)]
    engine: Option<EngineDoc>,
    /// The time for which a target is cold after its start, in seconds. If it or `cold_per_s` is zero
    /// or absent, targets are never cold.
    #[serde(default)]
    cold_start_s: Option<Box<RawValue>>,
    /// The requests per second that a cold target can take.
    #[serde(default)]
    cold_per_s: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineDoc {
    slots: f64,
    kv_capacity_tokens: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits<'a> {
    #[serde(borrow)]
    max_header_bytes: Option<&'a RawValue>,
    #[serde(borrow)]
    max_body_bytes: Option<&'a RawValue>,
    #[serde(borrow)]
    header_timeout_ms: Option<&'a RawValue>,
    #[serde(borrow)]
    idle_timeout_ms: Option<&'a RawValue>,
    /// The total throughput of all engines in tokens per second: each token read counts as one,
    /// each token generated as two.
    #[serde(borrow)]
    tokens_per_s: Option<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant<'a> {
    name: String,
    #[serde(borrow, default)]
    api_keys: Vec<&'a RawValue>,
}

fn default_attempts() -> f64 {
    1.0
}

/// Reads a figure from zero to `largest`, or returns why it can't be used.
pub(super) fn figure(raw: Option<&RawValue>, largest: f64) -> Result<Option<f64>, String> {
    let Some(raw) = raw else {
        return Ok(None);
    };
    match serde_json::from_str::<Option<f64>>(raw.get()) {
        Ok(Some(value)) if !(0.0..=largest).contains(&value) => {
            Err(format!("{value} is not from 0 to {largest}"))
        }
        Ok(value) => Ok(value),
        Err(err) => Err(err.to_string()),
    }
}

/// The rules that a configuration is translated into.
struct Translation {
    version: u64,
    entries: Vec<Entry>,
    defects: Defects,
}

impl Translation {
    fn add(&mut self, rule: Rule, origin: &str) {
        let version = self.version;
        let comma = if origin.is_empty() { "" } else { ", " };
        self.entries.push(Entry {
            line: self.entries.len() + 1,
            rule,
            requester: REQUESTER.to_owned(),
            reason: format!("version {version}{comma}{origin}"),
        });
    }

    /// Reads an entry, or reports why it can't be read.
    fn read<T: DeserializeOwned>(&mut self, origin: &str, raw: &RawValue) -> Option<T> {
        match serde_json::from_str(raw.get()) {
            Ok(value) => Some(value),
            Err(err) => {
                self.defects
                    .push(origin, format!("it can't be read: {err}"));
                None
            }
        }
    }

    fn add_limits(&mut self, limits: &Limits<'_>) {
        for (limit, raw) in limits.entries() {
            let origin = format!("limit {limit}");
            let Some(value) = self.read::<f64>(&origin, raw) else {
                continue;
            };
            match value >= 1.0 || value >= 0.0 && limit == Limit::BodyBytes {
                true => {
                    let value = value as u64;
                    self.add(Rule::Limit { limit, value }, "limits");
                }
                false => self.defects.push(origin, format!("{value} is not a limit")),
            }
        }
    }

    fn add_service(&mut self, i: usize, raw: &RawValue) {
        let origin = format!("service {}", i + 1);
        let Some(service) = self.read::<ServiceDoc>(&origin, raw) else {
            return;
        };
        self.add_cold(&service);
        let Some(engine) = service.engine else {
            return;
        };
        let (slots, memory) = (engine.slots as u32, engine.kv_capacity_tokens as u64);
        let origin = format!("service {}", service.name);
        if slots == 0 || memory == 0 {
            let detail = "the slots or the memory of its engines are zero";
            return self.defects.push(origin, detail);
        }
        let rule = Rule::Engine {
            service: service.name,
            slots,
            memory,
        };
        self.add(rule, &origin);
    }

    /// Adds what the targets of a service can take after their start, if that is stated.
    fn add_cold(&mut self, service: &ServiceDoc) {
        let origin = format!("service {}", service.name);
        let start = service.cold_start_s.as_deref();
        let per_s = service.cold_per_s.as_deref();
        let largest = |limit: u64| limit as f64 / MILLIS;
        let mut read = |raw, limit, name| match figure(raw, largest(limit)) {
            Ok(figure) => (figure.unwrap_or(0.0) * MILLIS).round() as u64,
            Err(detail) => {
                let detail = format!("its {name} counts as absent: {detail}");
                self.defects.push(origin.as_str(), detail);
                0
            }
        };
        let time = read(start, MAX_COLD_MS, "cold time");
        let rate = read(per_s, MAX_COLD_RATE, "cold rate");
        if time > 0 && rate > 0 {
            let service = service.name.clone();
            let rule = Rule::Cold {
                service,
                time,
                rate,
            };
            self.add(rule, &origin);
        }
    }

    /// Adds a route. One whose requests can't be sent anywhere still takes them from routes with a
    /// shorter prefix, whose services are not meant to get them.
    fn add_route(&mut self, i: usize, raw: &RawValue, keyed: bool) {
        let number = (i + 1).to_string();
        let origin = format!("route {number}");
        let route = match self.read::<RouteDoc>(&origin, raw) {
            Some(doc) => {
                let origin = format!("route {}", doc.name);
                doc.into_route(keyed, &origin, &mut self.defects)
            }
            None => match serde_json::from_str::<PlaceDoc>(raw.get()) {
                Ok(place) => place.into_closed_route(number),
                Err(_) => return,
            },
        };
        let origin = format!("route {}", route.name);
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            let detail = "its prefix does not begin and end with a slash, so no path has it";
            self.defects.push(origin.as_str(), detail);
        }
        self.add(Rule::Route(route), &origin);
    }

    fn add_tenant(&mut self, i: usize, raw: &RawValue) {
        let tenant: Tenant<'_> = match serde_json::from_str(raw.get()) {
            Ok(tenant) => tenant,
            Err(err) => {
                let detail = format!("it can't be read, so its keys are not accepted: {err}");
                return self.defects.push(format!("tenant {}", i + 1), detail);
            }
        };
        let origin = format!("tenant {}", tenant.name);
        if !is_account_sendable(&tenant.name) {
            let detail = "targets can't be told its name, so its requests are refused";
            self.defects.push(origin.as_str(), detail);
        }
        for raw in &tenant.api_keys {
            let Some(key) = self.read::<String>(&origin, raw) else {
                continue;
            };
            let rule = Rule::Key {
                account: tenant.name.clone(),
                digest: crate::rules::digest(key.as_bytes()),
            };
            self.add(rule, &origin);
        }
    }
}

/// Translates the operator's configuration into rules.
///
/// The reason of each rule names the configuration's version and the entry that it was made from. API
/// keys appear only as digests. An entry that can't be used as written does not affect the others; see
/// [`Rules::defects`].
///
/// ```
/// use redwingyard::rules::{self, Limit};
/// let rules = redwingyard::platform::config_rules(
///     br#"{"version":7,"routes":[],"services":[],"limits":{"idleTimeoutMs":15000}}"#,
/// )?;
/// assert_eq!(rules.limit(Limit::IdleTime), Some(15_000));
/// assert_eq!(
///     rules::to_string(&rules),
///     "generation 7  # operator: version 7\n\
///      limit idle-ms 15000  # operator: version 7, limits\n"
/// );
/// # Ok::<(), redwingyard::platform::ConfigError>(())
/// ```
///
/// # Errors
///
/// Fails if `value` is not a configuration document.
pub fn config_rules(value: &[u8]) -> Result<Rules, ConfigError> {
    let config: Config<'_> = serde_json::from_slice(value)?;
    let mut translation = Translation {
        version: config.version,
        entries: Vec::new(),
        defects: Defects::default(),
    };
    translation.add(Rule::Generation(config.version), "");
    translation.add_limits(&config.limits);
    for (i, raw) in config.services.iter().enumerate() {
        translation.add_service(i, raw);
    }
    let keyed = config.tenants.is_some();
    for (i, raw) in config.routes.iter().enumerate() {
        translation.add_route(i, raw, keyed);
    }
    for (i, raw) in config.tenants.iter().flatten().enumerate() {
        translation.add_tenant(i, raw);
    }
    let digest = xxh3_64(value);
    let Translation {
        entries, defects, ..
    } = translation;
    Ok(Rules::from_entries(entries, digest, defects))
}

impl<'a> Limits<'a> {
    /// Returns the limits that are set.
    fn entries(&self) -> impl Iterator<Item = (Limit, &'a RawValue)> + use<'a> {
        let all = [
            (Limit::HeaderBytes, self.max_header_bytes),
            (Limit::BodyBytes, self.max_body_bytes),
            (Limit::HeaderTime, self.header_timeout_ms),
            (Limit::IdleTime, self.idle_timeout_ms),
            (Limit::TokenRate, self.tokens_per_s),
        ];
        let configured = |(limit, value): (Limit, Option<&'a RawValue>)| Some((limit, value?));
        all.into_iter().filter_map(configured)
    }
}

impl RouteDoc {
    fn into_route(self, keyed: bool, origin: &str, defects: &mut Defects) -> Route {
        let stream = self.kind == "streaming";
        let repeat = match (self.kind.as_str(), self.resumable) {
            ("streaming", true) => RetryPolicy::Resume,
            ("safe", _) => RetryPolicy::Repeat,
            _ => RetryPolicy::Once,
        };
        let timeout = self.timeout_ms.clamp(0.0, MAX_ROUTE_TIME) as u64;
        let objective = match self.target_latency_ms.clamp(0.0, MAX_ROUTE_TIME) as u64 {
            0 => {
                defects.push(origin, "it has no latency objective; its timeout is used");
                timeout
            }
            objective => objective,
        };
        let split = match self.traffic_split.is_empty() {
            true => Vec::from_iter(
                self.service
                    .map(|service| WeightedService { service, weight: 1 }),
            ),
            false => weighted_services(self.traffic_split),
        };
        if split.is_empty() {
            defects.push(origin, "no service has a weight above zero");
        }
        Route {
            repeat,
            stream,
            split,
            open: self.anonymous || !keyed,
            attempts: self.max_attempts.max(1.0) as u32,
            timeout,
            objective,
            ..self.place.into_closed_route(self.name)
        }
    }
}

impl PlaceDoc {
    /// Returns a route without services, whose requests are refused.
    fn into_closed_route(self, name: String) -> Route {
        Route {
            name,
            host: self.host,
            prefix: self.prefix,
            split: Vec::new(),
            repeat: RetryPolicy::Once,
            stream: false,
            open: true,
            attempts: 1,
            timeout: 0,
            objective: 0,
        }
    }
}

/// Returns the services of a split, with whole weights in the same proportions; none if no weight is
/// above zero.
fn weighted_services(split: Vec<SplitDoc>) -> Vec<WeightedService> {
    let largest = split.iter().map(|part| part.weight).fold(0.0, f64::max);
    if largest <= 0.0 {
        return Vec::new();
    }
    let is_whole = |part: &SplitDoc| part.weight.fract() == 0.0;
    let exact = largest <= f64::from(u32::MAX) && split.iter().all(is_whole);
    let relative = |part: &SplitDoc| part.weight.max(0.0) / largest;
    let sum: f64 = split.iter().map(relative).sum();
    let weight = |part: &SplitDoc| match (exact, part.weight > 0.0) {
        (_, false) => 0,
        (true, true) => part.weight as u32,
        (false, true) => ((relative(part) / sum * WEIGHT_SUM).round() as u32).max(1),
    };
    let weighted = |part: SplitDoc| WeightedService {
        weight: weight(&part),
        service: part.service,
    };
    split.into_iter().map(weighted).collect()
}

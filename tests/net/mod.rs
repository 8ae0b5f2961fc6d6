//! A region of gateways with two targets on loopback addresses, for tests of the gateway.

// Each test file that includes this module uses only a part of it.
#![allow(dead_code, clippy::allow_attributes, unreachable_pub)]

use std::{
    cell::RefCell,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use compio::runtime::Runtime;
use redwingyard::settings::GatewaySettings;
use serde_json::{
    Value,
    json, //
};

use crate::standin::{
    client::{
        Answer,
        Client, //
    },
    gateways::{
        self,
        Region, //
    },
    instance::{
        Instance,
        Mode, //
    }, //
};

/// The header field with an API key of the configuration.
pub const KEY: (&str, &str) = ("credential", "secret");

/// The header field with the ID of a request.
pub const ID: (&str, &str) = ("request-id", "r1");

/// The header field with the host of all routes.
pub const HOST: (&str, &str) = ("host", "a.example");

/// The timeout for a change in the store to come into force at a gateway, with a margin for a busy
/// machine.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// The region that a test runs in: some gateways with two targets.
pub struct Net(pub Region);

impl Net {
    /// Starts some gateways with default settings.
    pub fn start(gateways: u8) -> Self {
        Self::start_with(gateways, |_| {})
    }

    /// Starts some gateways after `change` has edited the settings of each.
    pub fn start_with(gateways: u8, change: impl Fn(&mut GatewaySettings)) -> Self {
        let targets = vec![Instance::new("i-1"), Instance::new("i-2")];
        let config = config(1, &["secret"]);
        Self(Region::start(gateways, "web", targets, &config, change))
    }

    /// Starts some gateways, and returns the settings of the last one, with which another can be
    /// started.
    pub fn start_with_settings(gateways: u8) -> (Self, GatewaySettings) {
        let settings = RefCell::new(None);
        let net = Self::start_with(gateways, |all| {
            settings.replace(Some(all.clone()));
        });
        let settings = settings.take().expect("the region has started a gateway");
        (net, settings)
    }

    /// Starts a gateway whose limits of time do not end a request or a connection before a stop does,
    /// and returns its settings, with which another can be started.
    pub fn start_patient() -> (Self, GatewaySettings) {
        let (net, settings) = Self::start_with_settings(1);
        let mut config = config(2, &["secret"]);
        let routes = config["routes"].as_array_mut().expect("routes are a list");
        for route in routes {
            route["timeoutMs"] = json!(12_000);
        }
        config["limits"]["idleTimeoutMs"] = json!(20_000);
        net.0.items.put("op/config", &config);
        eventually("the configuration is in force", || {
            net.status(0)["generation"] == 2
        });
        (net, settings)
    }

    /// Publishes a version of the configuration with the API keys of the account.
    pub fn configure(&self, version: u64, keys: &[&str]) {
        self.0.items.put("op/config", &config(version, keys));
    }

    /// Registers the target at index `i` in the store, with a name and a state.
    pub fn register(&self, name: &str, i: usize, state: &str) {
        let address = self.0.addresses[i];
        gateways::register(&self.0.items, name, "web", address, state);
    }

    /// Sets what each of the two targets does with requests.
    pub fn set_modes(&self, modes: [Mode; 2]) {
        for (target, mode) in self.0.targets.iter().zip(modes) {
            target.set_mode(mode);
        }
    }

    /// Returns how many requests the targets have run.
    pub fn run_count(&self) -> usize {
        self.0
            .targets
            .iter()
            .map(|target| target.runs().len())
            .sum()
    }

    /// Sends a request to the first gateway; `None` if there was no whole answer.
    pub fn send(&self, method: &str, path: &str, fields: &[(&str, &str)]) -> Option<Answer> {
        let address = self.0.gateways[0].addresses.http;
        let runtime = Runtime::new().expect("a runtime starts");
        runtime.block_on(Client::new(address).send(method, path, fields, ""))
    }

    /// Sends a valid `GET` request to the first gateway and returns the answer.
    pub fn get(&self, path: &str) -> Answer {
        self.send("GET", path, &[HOST, KEY, ID])
            .expect("the gateway answers")
    }

    /// Returns the status page of a gateway.
    pub fn status(&self, gateway: usize) -> Value {
        let address = self.0.gateways[gateway].addresses.admin;
        let runtime = Runtime::new().expect("a runtime starts");
        let answer = runtime.block_on(Client::new(address).send("GET", "/status", &[], ""));
        let answer = answer.expect("the status page answers");
        serde_json::from_slice(&answer.body).expect("the status page is JSON")
    }

    /// Returns the value of a metric of a gateway, or `None` if it has none yet.
    pub fn metric(&self, gateway: usize, name: &str) -> Option<f64> {
        let address = self.0.gateways[gateway].addresses.admin;
        let runtime = Runtime::new().expect("a runtime starts");
        let answer = runtime.block_on(Client::new(address).send("GET", "/metrics", &[], ""));
        let answer = answer.expect("the metrics page answers");
        let text = String::from_utf8_lossy(&answer.body);
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        value.parse().ok()
    }
}

/// Returns a configuration with one route of each kind and one account.
pub fn config(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, resumable: bool| {
        json!({
            "name": name, "host": "a.example", "prefix": prefix, "kind": kind,
            "timeoutMs": 3000, "targetLatencyMs": 400, "service": "web",
            "maxAttempts": 2, "resumable": resumable,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("read", "/read/", "safe", false),
            route("save", "/save/", "unsafe", false),
            route("stream", "/stream/", "streaming", false),
            route("resume", "/stream/resume/", "streaming", true),
        ],
        "services": [{ "name": "web", "engine": { "slots": 64, "kvCapacityTokens": 100000 } }],
        "limits": { "maxBodyBytes": 1000, "maxHeaderBytes": 8192, "idleTimeoutMs": 700 },
        "tenants": [{ "name": "stall", "apiKeys": keys }],
    })
}

/// Waits until a condition holds, and panics with its description after [`IN_FORCE_LIMIT`].
pub fn eventually(description: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < IN_FORCE_LIMIT,
            "expected within {IN_FORCE_LIMIT:?}: {description}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

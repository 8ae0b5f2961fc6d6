//! A region of gateways with two targets, for tests over loopback.

// Each test file that includes this folder uses a part of it.
#![allow(dead_code, clippy::allow_attributes, unreachable_pub)]

use std::{
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

pub const KEY: (&str, &str) = ("credential", "secret");
pub const ID: (&str, &str) = ("request-id", "r1");
pub const HOST: (&str, &str) = ("host", "a.example");

/// The time in which what the store says must be in force, with a margin for the machine.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// The region that a test runs in: some gateways with two targets.
pub struct Net(pub Region);

impl Net {
    pub fn start(gateways: u8) -> Self {
        Self::start_with(gateways, |_| {})
    }

    pub fn start_with(gateways: u8, change: impl Fn(&mut GatewaySettings)) -> Self {
        let targets = vec![Instance::new("i-1"), Instance::new("i-2")];
        let config = config(1, &["secret"]);
        Self(Region::start(gateways, "web", targets, &config, change))
    }

    pub fn configure(&self, version: u64, keys: &[&str]) {
        self.0.items.put("op/config", &config(version, keys));
    }

    pub fn register(&self, name: &str, i: usize, state: &str) {
        let address = self.0.addresses[i];
        gateways::register(&self.0.items, name, "web", address, state);
    }

    pub fn set_modes(&self, modes: [Mode; 2]) {
        for (target, mode) in self.0.targets.iter().zip(modes) {
            target.set_mode(mode);
        }
    }

    pub fn run_count(&self) -> usize {
        self.0
            .targets
            .iter()
            .map(|target| target.runs().len())
            .sum()
    }

    pub fn send(&self, method: &str, path: &str, fields: &[(&str, &str)]) -> Option<Answer> {
        let address = self.0.gateways[0].addresses.http;
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(Client::new(address).send(method, path, fields, ""))
    }

    pub fn get(&self, path: &str) -> Answer {
        self.send("GET", path, &[HOST, KEY, ID])
            .expect("the gateway answers")
    }

    pub fn status(&self, gateway: usize) -> Value {
        let address = self.0.gateways[gateway].addresses.admin;
        let runtime = Runtime::new().expect("a runtime");
        let answer = runtime.block_on(Client::new(address).send("GET", "/status", &[], ""));
        let answer = answer.expect("the page answers");
        serde_json::from_slice(&answer.body).expect("the page is JSON")
    }
}

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

pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(
            begun.elapsed() < IN_FORCE_LIMIT,
            "{what} within {IN_FORCE_LIMIT:?}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

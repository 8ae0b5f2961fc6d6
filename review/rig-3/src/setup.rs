//! A small deployment: a store, runners and a gateway.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    Run,
    gateway::{Gateway, Machine, free_port},
    http,
    runner::Arrival,
    store::Store,
};

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Returns a route of a configuration.
pub fn route(
    name: &str,
    kind: &str,
    service: &str,
    timeout: u32,
    objective: u32,
    attempts: u32,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout},\"targetLatencyMs\":{objective},\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts},\"anonymous\":false,\"sticky\":{},\"resumable\":{},\"gapAimMs\":400}}",
        kind == "streaming",
        kind == "streaming" && attempts > 1
    )
}

/// Returns a configuration with these routes, limits on heads, and the keys of one tenant.
pub fn config(version: u32, routes: &[String], head_bytes: u32, keys: &[&str]) -> String {
    // Each key is that of a tenant of its own.
    let tenant = |(i, key): (usize, &&str)| {
        format!("{{\"name\":\"parish-{i}\",\"apiKeys\":[\"{key}\"],\"priority\":1}}")
    };
    let tenants: Vec<_> = keys.iter().enumerate().map(tenant).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"letters\",\"healthPath\":\"/health\",\
         \"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kvCapacityTokens\":578068,\"tokenKvBytes\":35136,\"linkMbps\":1500000.0,\"moves\":true,\
         \"backups\":true,\"stride\":6,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"signup\",\"healthPath\":\"/health\",\
         \"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":{head_bytes},\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":710000}},\
         \"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

/// Starts a gateway, and waits until it is ready.
pub fn gateway(run: &mut Run, store: std::net::SocketAddr, memory_mb: u32) -> Option<Gateway> {
    let ip = [127, 0, 0, 1].into();
    let mut machine = Machine::new("edge-1", ip, free_port(ip), store);
    machine.memory_mb = memory_mb;
    let gateway = Gateway::start(machine, &run.folder);
    if http::wait_for(Duration::from_secs(10), || gateway.is_ready()) {
        return Some(gateway);
    }
    run.note("the gateway did not become ready");
    None
}

pub fn store() -> (Store, std::net::SocketAddr) {
    Store::start()
}

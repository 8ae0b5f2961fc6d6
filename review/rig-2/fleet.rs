//! What the cases share: the configuration, the runners and the requests.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Stdio},
    sync::OnceLock,
};

use crate::kit::{adopt, free_port, now_ms};

static SCRATCH: OnceLock<PathBuf> = OnceLock::new();

/// Returns the temporary folder of this case. It is removed at the end, unless `KEEP` is set.
pub fn scratch() -> String {
    let name = || std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), now_ms()));
    let dir = SCRATCH.get_or_init(name);
    std::fs::create_dir_all(dir).expect("a temporary folder can be made");
    dir.to_string_lossy().into_owned()
}

pub fn remove_scratch() {
    if let Some(dir) = SCRATCH.get() {
        let _ = std::fs::remove_dir_all(dir);
    }
}

/// Returns the configuration: the kinds of route of fitwell-tw, without keys.
pub fn config() -> String {
    config_with(7, "")
}

/// Returns the configuration of a version with the tenants that are given, as a field.
pub fn config_with(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-book\",\"host\":\"shop.example\",\"prefix\":\"/book/\",\"kind\":\"unsafe\",\
         \"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"shop\",\
         \"maxAttempts\":1,\"anonymous\":false,\"sticky\":false,\"resumable\":false}},\
         {{\"name\":\"r-talk\",\"host\":\"shop.example\",\"prefix\":\"/talk/\",\"kind\":\"streaming\",\
         \"timeoutMs\":15000,\"targetLatencyMs\":600,\"priority\":1,\"service\":\"llm\",\
         \"maxAttempts\":1,\"anonymous\":false,\"sticky\":true,\"resumable\":false,\
         \"gapAimMs\":400}}],\
         \"services\":[{{\"name\":\"shop\",\"healthPath\":\"/health\",\"maxConnections\":100,\
         \"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":620,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":128,\"kvCapacityTokens\":960364}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000,\"tokensPerS\":430000}}{tenants}}}"
    )
}

pub struct Runner {
    pub name: String,
    pub process: u32,
    pub address: SocketAddr,
    pub born: u64,
}

/// Starts a runner as a process of its own, at an address that is free, or at the given one.
pub fn start_runner(name: &str, at: Option<SocketAddr>, log: &str, options: &[&str]) -> Runner {
    let address = at.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], free_port(&["127.0.0.1"]))));
    let born = now_ms();
    let program = std::env::current_exe().expect("this program has a path");
    let child = Command::new(program)
        .args(["runner", &address.to_string(), name, &born.to_string(), log])
        .args(options)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("a runner starts");
    Runner {
        name: name.to_owned(),
        process: adopt(name, child),
        address,
        born,
    }
}

impl Runner {
    /// Returns the entry that the runner writes into the store.
    pub fn entry(&self, service: &str, slots: u32, state: &str) -> String {
        self.entry_at(self.address, service, slots, state)
    }

    /// Returns the same with the address of a proxy before the runner.
    pub fn entry_at(&self, at: SocketAddr, service: &str, slots: u32, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"tw-north-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":0,\"born\":{}}}",
            at, self.born
        )
    }
}

pub fn plain_request(id: &str) -> String {
    format!(
        "POST /book/{id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline: 2500\r\n\
         Connection: close\r\nContent-Length: 4\r\n\r\nbody"
    )
}

pub fn stream_request(id: &str, parts: &str) -> String {
    format!(
        "POST /talk/{id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 1460,80\r\nPrompt-Prefix: {parts}\r\nDeadline: 15000\r\n\
         Connection: close\r\nContent-Length: 4\r\n\r\nbody"
    )
}

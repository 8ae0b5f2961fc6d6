//! A process under test, started from the program as a child.

// Each test file that includes this module uses only a part of it.
#![allow(dead_code, clippy::allow_attributes, unreachable_pub)]

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    }, //
};

use redwingyard::settings::{
    GatewaySettings,
    RouterSettings, //
};
use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use serde::Serialize;

use crate::net::eventually;

/// A gateway or router that runs as a child process.
pub struct Process {
    pub child: Child,
    pub http: SocketAddr,
    pub admin: SocketAddr,
}

/// Returns a local address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("127.0.0.1 has a free port");
    listener
        .local_addr()
        .expect("a bound listener has an address")
}

impl Process {
    /// Starts a gateway with the settings of a region's gateways, but its own addresses; `memory` is
    /// its limit in MB.
    pub fn gateway(settings: &GatewaySettings, name: &str, memory: Option<usize>) -> Self {
        let mut settings = settings.clone();
        settings.peer.set_ip([127, 0, 0, 9].into());
        Self::gateway_of(&settings, name, memory)
    }

    /// Starts a gateway as [`Process::gateway`] does, but at the address for other gateways that is
    /// in its settings.
    pub fn gateway_of(settings: &GatewaySettings, name: &str, memory: Option<usize>) -> Self {
        let mut settings = settings.clone();
        settings.http = free_address();
        settings.admin = free_address();
        settings.memory_mb = memory;
        let (http, admin) = (settings.http, settings.admin);
        Self::start("gateway", &settings, name, http, admin)
    }

    /// Starts a router with addresses of its own; `memory` is its limit in MB.
    pub fn router(settings: &RouterSettings, name: &str, memory: Option<usize>) -> Self {
        let mut settings = settings.clone();
        settings.http = free_address();
        settings.admin = free_address();
        settings.memory_mb = memory;
        let (http, admin) = (settings.http, settings.admin);
        Self::start("router", &settings, name, http, admin)
    }

    fn start(
        role: &str,
        settings: &impl Serialize,
        name: &str,
        http: SocketAddr,
        admin: SocketAddr,
    ) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = folder.join(format!("{role}-{name}.json"));
        let text = serde_json::to_string(settings).expect("settings can be written as JSON");
        fs::write(&file, text).expect("the settings file can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_redwingyard"))
            .args([role, "--settings"])
            .arg(file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let process = Self { child, http, admin };
        eventually("the process is ready", || {
            process.page("/readyz").contains(" 200 ")
        });
        process
    }

    /// Sends the process a signal. If it has ended, nothing happens.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("the process has an id");
        // Fails if the process has ended, which its connections show.
        let _ = kill_process(pid, signal);
    }

    /// Returns the answer of the admin interface to a request, or an empty text if it has none.
    pub fn page(&self, path: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.admin) {
            let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            let _ = stream.write_all(request.as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        text
    }

    /// Returns the peak resident memory of the process, in KB.
    pub fn peak(&self) -> usize {
        let file = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(file).expect("/proc has a status of the running process");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        peak.expect("VmHWM is a number")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

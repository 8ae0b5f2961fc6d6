//! Starts the program of the deploy file with settings that its template gives.

use std::{
    fs,
    net::{IpAddr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
};

use crate::http;

/// The figures of a machine and of a site that the template asks for.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peer_port: u16,
    pub seeds: Vec<String>,
    pub store: SocketAddr,
    pub memory_mb: u32,
    pub grace_s: u32,
    /// The descriptors that the process may have.
    pub files: u64,
}

#[repr(C)]
struct Limit {
    current: u64,
    largest: u64,
}

unsafe extern "C" {
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// `PR_SET_PDEATHSIG` and `SIGKILL`: the gateway ends with this process.
const DEATH_SIGNAL: i32 = 1;
const KILL: u64 = 9;

/// `RLIMIT_NOFILE` of Linux on x86-64 and arm64.
const DESCRIPTORS: i32 = 7;

/// Sets how many descriptors this process may have, up to its hard limit.
pub fn limit_descriptors(count: u64) {
    let mut limit = Limit {
        current: 0,
        largest: 0,
    };
    // SAFETY: both calls take a pointer to a value that lives on.
    unsafe {
        if getrlimit(DESCRIPTORS, &mut limit) == 0 {
            limit.current = count.min(limit.largest);
            setrlimit(DESCRIPTORS, &limit);
        }
    }
}

/// Returns a port that is free at an address, for TCP and UDP.
pub fn free_port(ip: IpAddr) -> u16 {
    loop {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let port = listener.local_addr().unwrap().port();
        if std::net::UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

impl Machine {
    pub fn new(name: &str, ip: IpAddr, peer_port: u16, store: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            zone: "zone-a".to_owned(),
            front: (ip, free_port(ip)).into(),
            ready: (ip, free_port(ip)).into(),
            peer_port,
            seeds: vec![format!("{ip}:{}", free_port(ip))],
            store,
            memory_mb: 110,
            grace_s: 8,
            files: 4_100,
        }
    }

    fn value(&self, name: &str) -> Option<String> {
        let quote = |text: &str| format!("\"{text}\"");
        Some(match name {
            "nodeName|json" => quote(&self.name),
            "zone|json" => quote(&self.zone),
            "listen.front|json" => quote(&self.front.to_string()),
            "listen.ready|json" => quote(&self.ready.to_string()),
            "ip" => self.front.ip().to_string(),
            "internalPorts.0" => self.peer_port.to_string(),
            "seeds|json" => {
                let seeds: Vec<_> = self.seeds.iter().map(|seed| quote(seed)).collect();
                format!("[{}]", seeds.join(","))
            }
            "platform.address|json" => quote(&self.store.to_string()),
            "bounds.revokeMs|json" => "5000".to_owned(),
            "." | ".|json" => "2000".to_owned(),
            "bounds.retryBudgetRatio|json" => "0.2".to_owned(),
            "bounds.budgetWindowS|json" => "10".to_owned(),
            "bounds.budgetSlack|json" => "54".to_owned(),
            "limits.memoryMb|json" => self.memory_mb.to_string(),
            "bounds.graceS|json" => self.grace_s.to_string(),
            _ => return None,
        })
    }

    /// Fills in the template. Sections for values that these bounds have are kept, others dropped.
    fn settings(&self, template: &str) -> String {
        let mut text = template.to_owned();
        for (section, kept) in [
            ("bounds.failClosed", true),
            ("bounds.configApplyMs", true),
            ("bounds.coldOver", false),
        ] {
            let (open, close) = (format!("{{{{#{section}}}}}"), format!("{{{{/{section}}}}}"));
            while let (Some(from), Some(to)) = (text.find(&open), text.find(&close)) {
                let inner = if kept {
                    text[from + open.len()..to].to_owned()
                } else {
                    String::new()
                };
                text.replace_range(from..to + close.len(), &inner);
            }
        }
        while let Some(from) = text.find("{{") {
            let to = from + text[from..].find("}}").expect("the placeholder ends");
            let name = text[from + 2..to].to_owned();
            let value = self.value(&name);
            let value = value.unwrap_or_else(|| panic!("the template asks for {name}"));
            text.replace_range(from..to + 2, &value);
        }
        text
    }
}

pub struct Gateway {
    pub machine: Machine,
    pub child: Child,
}

/// Returns the words of the command in the deploy file.
fn command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file can be read");
    let line = text
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("it has a command");
    let words = line.split('"').nth(1).expect("the command is quoted");
    words.split(' ').map(str::to_owned).collect()
}

impl Gateway {
    pub fn start(machine: Machine, folder: &std::path::Path) -> Self {
        let template = fs::read_to_string("deploy/gateway.json").expect("the template can be read");
        let settings = folder.join(format!("{}.json", machine.name));
        fs::write(&settings, machine.settings(&template)).unwrap();
        let log = folder.join(format!("{}.log", machine.name));
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap();
        let words = command();
        let mut command = Command::new(&words[0]);
        let files = machine.files;
        // SAFETY: the closure only calls functions that are safe between fork and exec.
        unsafe {
            command.pre_exec(move || {
                prctl(DEATH_SIGNAL, KILL, 0, 0, 0);
                limit_descriptors(files);
                Ok(())
            });
        }
        let child = command
            .args(&words[1..])
            .env_clear()
            .env("REDWINGYARD_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .expect("the gateway starts");
        Self { machine, child }
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::ask(self.machine.ready, request).is_ok_and(|(status, ..)| status == 200)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

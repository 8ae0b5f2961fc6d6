//! A gateway as a process of its own on a VM with little memory.

mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    cell::RefCell,
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
    },
    thread,
    time::Duration, //
};

use net::{
    Net,
    eventually, //
};
use redwingyard::settings::GatewaySettings;
use rstest::rstest;

/// The memory of the VM, in MB.
const MEMORY: usize = 64;

/// How long a caller waits for an answer: longer than any request may take.
const PATIENCE: Duration = Duration::from_secs(8);

/// A gateway that runs as a process of its own.
struct Process {
    child: Child,
    http: SocketAddr,
    admin: SocketAddr,
}

impl Process {
    /// Starts a gateway beside those of a region.
    fn start(settings: &GatewaySettings, name: &str) -> Self {
        let free = || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.local_addr().expect("a bound port")
        };
        let (http, admin) = (free(), free());
        let mut settings = settings.clone();
        settings.http = http;
        settings.admin = admin;
        settings.peer.set_ip([127, 0, 0, 9].into());
        settings.memory_mb = Some(MEMORY);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = folder.join(format!("{name}.json"));
        let text = serde_json::to_string(&settings).expect("settings are JSON");
        fs::write(&file, text).expect("the file can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_redwingyard"))
            .args(["gateway", "--settings"])
            .arg(file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let process = Self { child, http, admin };
        eventually("it is ready", || process.page("/readyz").contains(" 200 "));
        process
    }

    fn page(&self, path: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.admin) {
            let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            let _ = stream.write_all(request.as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        text
    }

    /// Returns the most memory that it has taken, in KB.
    fn peak(&self) -> usize {
        let file = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(file).expect("the process runs");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        peak.expect("the system counts it")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Crowd {
    name: &'static str,
    callers: usize,
    /// The size of each body, in bytes.
    body: usize,
    /// What is sent of it before the others' turn.
    first: usize,
    chunked: bool,
}

/// The load: bodies that take more than the VM's memory together.
#[rstest]
#[case::slow(Crowd { name: "slow", callers: 400, body: 256 << 10, first: 200 << 10, chunked: false })]
#[case::without_a_length(Crowd { name: "chunked", callers: 400, body: 256 << 10, first: 200 << 10, chunked: true })]
#[case::large(Crowd { name: "large", callers: 40, body: 4 << 20, first: 3 << 20, chunked: false })]
fn callers_get_answers_from_a_process_that_keeps_within_its_memory(#[case] crowd: Crowd) {
    let settings = RefCell::new(None);
    let net = Net::with(1, |all| {
        settings.replace(Some(all.clone()));
    });
    let mut config = net::config(2, &["secret"]);
    config["limits"]["maxBodyBytes"] = (8 << 20).into();
    config["limits"]["idleTimeoutMs"] = 10_000.into();
    net.0.items.put("op/config", &config);
    let settings = settings.take().expect("settings");
    let process = Process::start(&settings, crowd.name);
    eventually("the new limits are in force", || {
        let page = process.page("/status");
        page.lines().any(|line| line.contains("\"generation\": 2,"))
    });
    let callers: Vec<_> = (0..crowd.callers)
        .map(|i| {
            let mut stream = TcpStream::connect(process.http).expect("it listens");
            stream
                .set_read_timeout(Some(PATIENCE))
                .expect("a valid time");
            stream
                .set_write_timeout(Some(Duration::from_millis(200)))
                .expect("a valid time");
            let (framing, size) = match crowd.chunked {
                true => (
                    "transfer-encoding: chunked".to_owned(),
                    format!("{:x}\r\n", crowd.body),
                ),
                false => (format!("content-length: {}", crowd.body), String::new()),
            };
            let head = format!(
                "POST /save/{i} HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
                 request-id: {i}\r\n{framing}\r\n\r\n{size}"
            );
            stream.write_all(head.as_bytes()).expect("it is sent");
            // It is not read to its end where there is no room.
            let _ = stream.write_all(&vec![b'x'; crowd.first]);
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let answers: Vec<_> = callers
        .into_iter()
        .map(|mut stream| {
            let mut head = [0; 512];
            let read = stream.read(&mut head);
            String::from_utf8_lossy(&head[..read.unwrap_or(0)]).to_ascii_lowercase()
        })
        .collect();
    let peak = process.peak();
    assert!(peak < MEMORY << 10, "{peak} KB of {MEMORY} MB");
    let refused = |answer: &&String| answer.starts_with("http/1.1 503");
    assert!(answers.iter().any(|answer| refused(&answer)), "{answers:?}");
    for answer in &answers {
        let told = !refused(&answer) || answer.contains("retry-after:");
        assert!(answer.starts_with("http/1.1 ") && told, "{answer:?}");
    }
    assert_eq!(net.runs(), 0);
}

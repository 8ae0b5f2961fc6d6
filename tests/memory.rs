//! A process that takes callers, on a VM with little memory: a gateway, and a router.

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
    time::{
        Duration,
        Instant, //
    }, //
};

use net::{
    Net,
    eventually, //
};
use redwingyard::settings::{
    GatewaySettings,
    RouterSettings, //
};
use rstest::rstest;
use serde::Serialize;
use standin::{
    fleet::{
        self,
        Handle,
        Surroundings,
        on_thread, //
    },
    plain::{
        self,
        Writes, //
    }, //
};

/// The memory of the VM, in MB.
const MEMORY: usize = 64;

/// How long the callers wait for their answers: longer than any request may take.
const PATIENCE: Duration = Duration::from_secs(8);

/// The least time that an answer is looked for, once that is over.
const LOOK: Duration = Duration::from_millis(10);

/// The program as a process of its own.
struct Process {
    child: Child,
    http: SocketAddr,
    admin: SocketAddr,
}

fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound port")
}

impl Process {
    /// Starts a gateway beside those of a region.
    fn gateway(settings: &GatewaySettings, name: &str) -> Self {
        let mut settings = settings.clone();
        settings.http = free();
        settings.admin = free();
        settings.peer.set_ip([127, 0, 0, 9].into());
        settings.memory_mb = Some(MEMORY);
        let (http, admin) = (settings.http, settings.admin);
        Self::start("gateway", &settings, name, http, admin)
    }

    /// Starts a router.
    fn router(settings: &RouterSettings, name: &str) -> Self {
        let mut settings = settings.clone();
        settings.http = free();
        settings.admin = free();
        settings.memory_mb = Some(MEMORY);
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
        let text = serde_json::to_string(settings).expect("settings are JSON");
        fs::write(&file, text).expect("the file can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_redwingyard"))
            .args([role, "--settings"])
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

/// Reads an answer up to its last byte, or for as long as it arrives.
fn answer(stream: &mut TcpStream) -> String {
    let (mut text, mut part) = (String::new(), [0; 1024]);
    while !text.ends_with('}') {
        match stream.read(&mut part) {
            Ok(read @ 1..) => text.push_str(&String::from_utf8_lossy(&part[..read])),
            _ => break,
        }
    }
    text.to_ascii_lowercase()
}

impl Crowd {
    /// Sends the bodies to a process that may keep only a part of them, and checks what it takes
    /// and what it answers.
    fn load(&self, process: &Process, path: &str, field: &str) {
        let callers: Vec<_> = (0..self.callers)
            .map(|i| self.call(process.http, &format!("{path}/{i}"), field))
            .collect();
        thread::sleep(Duration::from_millis(300));
        let begun = Instant::now();
        let answers: Vec<_> = callers
            .into_iter()
            .map(|mut stream| {
                let left = PATIENCE.saturating_sub(begun.elapsed()).max(LOOK);
                stream.set_read_timeout(Some(left)).expect("a valid time");
                answer(&mut stream)
            })
            .collect();
        let refused = |answer: &&String| answer.starts_with("http/1.1 503");
        let count = answers.iter().filter(refused).count();
        let silent = answers.iter().filter(|answer| answer.is_empty()).count();
        let peak = process.peak();
        println!("peak_kb={peak} refused={count} unanswered={silent}");
        assert!(peak < MEMORY << 10, "{peak} KB of {MEMORY} MB");
        assert!(count > 0, "{answers:?}");
        for answer in &answers {
            let told = !refused(&answer) || answer.contains("retry-after:");
            assert!(answer.starts_with("http/1.1 ") && told, "{answer:?}");
            assert!(answer.contains("\"ran\":\"no\""), "{answer:?}");
        }
    }

    /// Sends the first part of a body.
    fn call(&self, http: SocketAddr, path: &str, field: &str) -> TcpStream {
        let mut stream = TcpStream::connect(http).expect("it listens");
        stream
            .set_write_timeout(Some(Duration::from_millis(200)))
            .expect("a valid time");
        let (framing, size) = match self.chunked {
            true => (
                "transfer-encoding: chunked".to_owned(),
                format!("{:x}\r\n", self.body),
            ),
            false => (format!("content-length: {}", self.body), String::new()),
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: a.example\r\n{field}\r\n{framing}\r\n\r\n{size}"
        );
        stream.write_all(head.as_bytes()).expect("it is sent");
        // It is not read to its end where there is no room.
        let _ = stream.write_all(&vec![b'x'; self.first]);
        stream
    }
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
    let process = Process::gateway(&settings, crowd.name);
    eventually("the new limits are in force", || {
        let page = process.page("/status");
        page.lines().any(|line| line.contains("\"generation\": 2,"))
    });
    crowd.load(&process, "/save", "credential: secret\r\nrequest-id: r1");
    assert_eq!(net.runs(), 0);
}

const RULES: &str = "\
generation 1                    # kim: test
share * stall-1 1               # mei: test
write shop POST /save/*         # lin: test
target shop shop-1              # kim: test
";

/// The surroundings of a router: a platform, and a shop with its sidecar.
struct Shop {
    settings: RouterSettings,
    writes: Writes,
    _sidecar: Handle,
}

impl Shop {
    fn start() -> Self {
        let Surroundings {
            values,
            platform,
            keys,
        } = fleet::surroundings(RULES);
        let writes = Writes::default();
        let counted = writes.clone();
        let target = on_thread(move |sender| async move {
            let _ = sender.send(plain::serve(Duration::ZERO, counted).await);
            std::future::pending::<()>().await;
        });
        let mut settings = fleet::router_settings("router-0", &keys, &platform);
        settings.link = free();
        settings.deadline_ms = 3_000;
        settings.body_bytes = 2 << 20;
        fleet::publish_vms(&values, &[("router-0", settings.link)]);
        let sidecar = fleet::sidecar_settings("shop-1", "shop", target, 8, &keys, &platform);
        Self {
            settings,
            writes,
            _sidecar: fleet::sidecar(sidecar),
        }
    }
}

/// Fails without the settings' bound on the memory of bodies, and without their time-out.
#[rstest]
#[case::slow(Crowd { name: "slow", callers: 400, body: 256 << 10, first: 200 << 10, chunked: false })]
#[case::without_a_length(Crowd { name: "chunked", callers: 400, body: 256 << 10, first: 200 << 10, chunked: true })]
#[case::large(Crowd { name: "large", callers: 80, body: 2 << 20, first: 3 << 19, chunked: false })]
fn callers_get_answers_from_a_router_that_keeps_within_its_memory(#[case] crowd: Crowd) {
    let shop = Shop::start();
    let process = Process::router(&shop.settings, crowd.name);
    crowd.load(&process, "/shop/save", "x-account: stall-1");
    for i in 0..crowd.callers {
        assert_eq!(shop.writes.count(&format!("/save/{i}")), 0);
    }
}

/// Starts a gateway of its own beside a region, under rules that allow large bodies and heads.
fn small_process(name: &str, head: usize) -> (Net, Process) {
    let settings = RefCell::new(None);
    let net = Net::with(1, |all| {
        settings.replace(Some(all.clone()));
    });
    let mut config = net::config(2, &["secret"]);
    config["limits"]["maxBodyBytes"] = (8 << 20).into();
    config["limits"]["maxHeaderBytes"] = head.into();
    config["limits"]["idleTimeoutMs"] = 20_000.into();
    net.0.items.put("op/config", &config);
    let settings = settings.take().expect("settings");
    let process = Process::gateway(&settings, name);
    eventually("the new limits are in force", || {
        let page = process.page("/status");
        page.lines().any(|line| line.contains("\"generation\": 2,"))
    });
    (net, process)
}

const ASKED: &str = "GET /read/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
                     request-id: b\r\n\r\n";

/// Returns the head of a request with a body of that length.
fn with_body(length: usize) -> Vec<u8> {
    format!(
        "POST /save/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
         request-id: a\r\ncontent-length: {length}\r\n\r\n"
    )
    .into_bytes()
}

/// Returns a head of 60 KB that has not ended.
fn endless_head() -> Vec<u8> {
    let mut head = b"GET /read/1 HTTP/1.1\r\nhost: a.example\r\nx: ".to_vec();
    head.resize(60 << 10, b'x');
    head
}

/// Connects and sends what is taken of a text.
fn caller(process: &Process, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(process.http).expect("it listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .expect("a valid time");
    stream
        .set_write_timeout(Some(Duration::from_millis(200)))
        .expect("a valid time");
    let _ = stream.write_all(text);
    stream
}

/// Returns the beginning of an answer.
fn beginning(stream: &mut TcpStream) -> String {
    let mut head = [0; 512];
    let read = stream.read(&mut head);
    String::from_utf8_lossy(&head[..read.unwrap_or(0)]).to_ascii_lowercase()
}

/// The load: a few callers name bodies and send nothing of them.
#[test]
fn callers_who_only_name_bodies_keep_no_others_out() {
    let (_net, process) = small_process("named", 8 << 10);
    let greedy: Vec<_> = (0..200)
        .map(|_| caller(&process, &with_body(256 << 10)))
        .collect();
    thread::sleep(Duration::from_millis(200));
    let begun = Instant::now();
    let mut others: Vec<_> = (0..100)
        .map(|_| caller(&process, ASKED.as_bytes()))
        .collect();
    let answered = others
        .iter_mut()
        .filter_map(|other| beginning(other).starts_with("http/1.1 ").then_some(()))
        .count();
    let took = begun.elapsed();
    drop(greedy);
    assert!(
        answered == 100 && took < Duration::from_secs(1),
        "{answered} of 100 in {took:?}"
    );
}

/// The load: callers that leave, and more callers after them.
#[test]
fn a_process_whose_callers_have_left_takes_others() {
    let (_net, process) = small_process("left", 64 << 10);
    let head = endless_head();
    let callers: Vec<_> = (0..760).map(|_| caller(&process, &head)).collect();
    thread::sleep(Duration::from_millis(500));
    drop(callers);
    thread::sleep(Duration::from_secs(2));
    let mut others = Vec::new();
    for i in 0..80 {
        let mut other = caller(&process, ASKED.as_bytes());
        let answer = beginning(&mut other);
        assert!(answer.starts_with("http/1.1 "), "caller {i}: {answer:?}");
        others.push(other);
    }
}

/// The load: callers that stay after a body of 200 KB has been answered.
#[test]
fn callers_that_stay_keep_within_the_memory() {
    let (_net, process) = small_process("idle", 64 << 10);
    let mut text = with_body(200 << 10);
    text.resize(text.len() + (200 << 10), b'x');
    let mut callers = Vec::new();
    for i in 0..800 {
        let mut stream = caller(&process, &text);
        let answer = beginning(&mut stream);
        let peak = process.peak();
        assert!(peak < MEMORY << 10, "caller {i}: {peak} KB of {MEMORY} MB");
        assert!(answer.starts_with("http/1.1 "), "caller {i}: {answer:?}");
        callers.push(stream);
    }
}

/// The load: a body that names a length beyond the rules, of which nothing arrives.
#[test]
fn a_body_that_is_too_long_is_told_so_at_once() {
    let (_net, process) = small_process("long", 8 << 10);
    let mut stream = caller(&process, &with_body(100 << 20));
    let answer = beginning(&mut stream);
    assert!(answer.starts_with("http/1.1 413"), "{answer:?}");
}

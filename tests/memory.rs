//! Gateways and routers on a VM with little memory: they refuse callers and stay within the memory
//! limit.

mod child;
mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    cell::RefCell,
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use child::{
    Process,
    free_address, //
};
use net::{
    Net,
    eventually, //
};
use redwingyard::settings::RouterSettings;
use rstest::rstest;
use standin::{
    fleet::{
        self,
        Environment,
        Handle,
        on_thread, //
    },
    plain::{
        self,
        Writes, //
    }, //
};

/// The memory limit of the process, in MB.
const MEMORY_MB: usize = 64;

/// How long the callers wait for their answers: longer than any request may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// The shortest read timeout, for answers that are read after [`ANSWER_TIMEOUT`].
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(10);

/// Callers that send bodies at the same time.
struct Load {
    /// Distinguishes the settings files of the cases.
    name: &'static str,
    callers: usize,
    /// The size of each body, in bytes.
    body: usize,
    /// The bytes of each body that are sent; the rest never follows.
    first: usize,
    /// Whether the body is sent with chunked transfer encoding, without a length.
    chunked: bool,
}

/// Reads an answer in lower case, up to the closing brace of its body or until the read fails.
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

impl Load {
    /// Sends the bodies to a process that has memory for only some of them. Checks that it stays
    /// within its memory, refuses some requests, and answers all.
    fn run(&self, process: &Process, path: &str, field: &str) {
        let callers: Vec<_> = (0..self.callers)
            .map(|i| self.call(process.http, &format!("{path}/{i}"), field))
            .collect();
        thread::sleep(Duration::from_millis(300));
        let start = Instant::now();
        let answers: Vec<_> = callers
            .into_iter()
            .map(|mut stream| {
                let left = ANSWER_TIMEOUT
                    .saturating_sub(start.elapsed())
                    .max(MIN_READ_TIMEOUT);
                stream
                    .set_read_timeout(Some(left))
                    .expect("a timeout above zero is valid");
                answer(&mut stream)
            })
            .collect();
        let refused = |answer: &&String| answer.starts_with("http/1.1 503");
        let count = answers.iter().filter(refused).count();
        let silent = answers.iter().filter(|answer| answer.is_empty()).count();
        let peak = process.peak();
        println!("peak_kb={peak} refused={count} unanswered={silent}");
        assert!(
            peak < MEMORY_MB << 10,
            "peak of {peak} KB of {MEMORY_MB} MB"
        );
        assert!(count > 0, "no caller was refused: {answers:?}");
        for answer in &answers {
            let complete = !refused(&answer) || answer.contains("retry-after:");
            assert!(answer.starts_with("http/1.1 ") && complete, "{answer:?}");
            assert!(answer.contains("\"ran\":\"no\""), "{answer:?}");
        }
    }

    /// Connects and sends a request's head and the first part of its body.
    fn call(&self, http: SocketAddr, path: &str, field: &str) -> TcpStream {
        let mut stream = TcpStream::connect(http).expect("the process listens");
        stream
            .set_write_timeout(Some(Duration::from_millis(200)))
            .expect("a timeout above zero is valid");
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
        stream
            .write_all(head.as_bytes())
            .expect("the request's head can be sent");
        // This fails where the process has no memory for the body and stops reading it.
        let _ = stream.write_all(&vec![b'x'; self.first]);
        stream
    }
}

/// The bodies together take more memory than the process may use.
#[rstest]
#[case::slow(Load { name: "slow", callers: 400, body: 256 << 10, first: 200 << 10, chunked: false })]
#[case::without_a_length(Load { name: "chunked", callers: 400, body: 256 << 10, first: 200 << 10, chunked: true })]
#[case::large(Load { name: "large", callers: 40, body: 4 << 20, first: 3 << 20, chunked: false })]
fn a_gateway_answers_all_callers_and_stays_within_its_memory(#[case] load: Load) {
    let settings = RefCell::new(None);
    let net = Net::start_with(1, |all| {
        settings.replace(Some(all.clone()));
    });
    let mut config = net::config(2, &["secret"]);
    config["limits"]["maxBodyBytes"] = (8 << 20).into();
    config["limits"]["idleTimeoutMs"] = 10_000.into();
    net.0.items.put("op/config", &config);
    let settings = settings.take().expect("the region has started a gateway");
    let process = Process::gateway(&settings, load.name, Some(MEMORY_MB));
    eventually("the new limits are in force", || {
        let page = process.page("/status");
        page.lines().any(|line| line.contains("\"generation\": 2,"))
    });
    load.run(&process, "/save", "credential: secret\r\nrequest-id: r1");
    assert_eq!(net.run_count(), 0);
}

const RULES: &str = "\
generation 1                    # kim: test
share * stall-1 1               # mei: test
write shop POST /save/*         # lin: test
target shop shop-1              # kim: test
";

/// The environment of a router: a platform, and the service `shop` with one target and its sidecar.
struct Shop {
    settings: RouterSettings,
    writes: Writes,
    _sidecar: Handle,
}

impl Shop {
    fn start() -> Self {
        let Environment {
            values,
            platform,
            keys,
        } = fleet::start_platform(RULES);
        let writes = Writes::default();
        let target_writes = writes.clone();
        let target = on_thread(move |sender| async move {
            let _ = sender.send(plain::serve(Duration::ZERO, target_writes).await);
            std::future::pending::<()>().await;
        });
        let mut settings = fleet::router_settings("router-0", &keys, &platform);
        settings.link = free_address();
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

/// The bodies together take more memory than the router may use. The test fails without the memory
/// limit of the settings, and without the timeout of bodies.
#[rstest]
#[case::slow(Load { name: "slow", callers: 400, body: 256 << 10, first: 200 << 10, chunked: false })]
#[case::without_a_length(Load { name: "chunked", callers: 400, body: 256 << 10, first: 200 << 10, chunked: true })]
#[case::large(Load { name: "large", callers: 80, body: 2 << 20, first: 3 << 19, chunked: false })]
fn a_router_answers_all_callers_and_stays_within_its_memory(#[case] load: Load) {
    let shop = Shop::start();
    let process = Process::router(&shop.settings, load.name, Some(MEMORY_MB));
    load.run(&process, "/shop/save", "x-account: stall-1");
    for i in 0..load.callers {
        assert_eq!(shop.writes.count(&format!("/save/{i}")), 0);
    }
}

/// Starts a gateway with little memory beside a region. Its rules allow bodies of up to 8 MB and
/// heads of up to `head` bytes.
fn small_gateway(name: &str, head: usize) -> (Net, Process) {
    let settings = RefCell::new(None);
    let net = Net::start_with(1, |all| {
        settings.replace(Some(all.clone()));
    });
    let mut config = net::config(2, &["secret"]);
    config["limits"]["maxBodyBytes"] = (8 << 20).into();
    config["limits"]["maxHeaderBytes"] = head.into();
    config["limits"]["idleTimeoutMs"] = 20_000.into();
    net.0.items.put("op/config", &config);
    let settings = settings.take().expect("the region has started a gateway");
    let process = Process::gateway(&settings, name, Some(MEMORY_MB));
    eventually("the new limits are in force", || {
        let page = process.page("/status");
        page.lines().any(|line| line.contains("\"generation\": 2,"))
    });
    (net, process)
}

/// A complete request without a body.
const REQUEST: &str = "GET /read/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
                     request-id: b\r\n\r\n";

/// Returns the head of a request whose body has `length` bytes.
fn with_body(length: usize) -> Vec<u8> {
    format!(
        "POST /save/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
         request-id: a\r\ncontent-length: {length}\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the first 60 KB of a head that does not end.
fn unfinished_head() -> Vec<u8> {
    let mut head = b"GET /read/1 HTTP/1.1\r\nhost: a.example\r\nx: ".to_vec();
    head.resize(60 << 10, b'x');
    head
}

/// Connects and sends as much of a text as the process reads.
fn caller(process: &Process, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(process.http).expect("the process listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .expect("a timeout above zero is valid");
    stream
        .set_write_timeout(Some(Duration::from_millis(200)))
        .expect("a timeout above zero is valid");
    let _ = stream.write_all(text);
    stream
}

/// Returns the beginning of an answer in lower case, or an empty text if there is none.
fn beginning(stream: &mut TcpStream) -> String {
    let mut head = [0; 512];
    let read = stream.read(&mut head);
    String::from_utf8_lossy(&head[..read.unwrap_or(0)]).to_ascii_lowercase()
}

/// 200 callers announce bodies of 256 KB and send none of them. They must not take up the memory of
/// 100 callers without a body.
#[test]
fn announced_bodies_that_do_not_arrive_do_not_block_other_callers() {
    let (_net, process) = small_gateway("named", 8 << 10);
    let announcers: Vec<_> = (0..200)
        .map(|_| caller(&process, &with_body(256 << 10)))
        .collect();
    thread::sleep(Duration::from_millis(200));
    let start = Instant::now();
    let mut others: Vec<_> = (0..100)
        .map(|_| caller(&process, REQUEST.as_bytes()))
        .collect();
    let answered = others
        .iter_mut()
        .filter_map(|other| beginning(other).starts_with("http/1.1 ").then_some(()))
        .count();
    let took = start.elapsed();
    drop(announcers);
    assert!(
        answered == 100 && took < Duration::from_secs(1),
        "{answered} of 100 callers answered in {took:?}"
    );
}

/// 760 callers send unfinished heads and disconnect. Their memory must become free for later
/// callers.
#[test]
fn memory_of_disconnected_callers_becomes_free() {
    let (_net, process) = small_gateway("left", 64 << 10);
    let head = unfinished_head();
    let callers: Vec<_> = (0..760).map(|_| caller(&process, &head)).collect();
    thread::sleep(Duration::from_millis(500));
    drop(callers);
    thread::sleep(Duration::from_secs(2));
    let mut others = Vec::new();
    for i in 0..80 {
        let mut other = caller(&process, REQUEST.as_bytes());
        let answer = beginning(&mut other);
        assert!(answer.starts_with("http/1.1 "), "caller {i}: {answer:?}");
        others.push(other);
    }
}

/// Callers keep their connections open after an answer to a body of 200 KB. The idle connections
/// must not exceed the memory.
#[test]
fn idle_connections_stay_within_the_memory() {
    let (_net, process) = small_gateway("idle", 64 << 10);
    let mut text = with_body(200 << 10);
    text.resize(text.len() + (200 << 10), b'x');
    let mut callers = Vec::new();
    for i in 0..800 {
        let mut stream = caller(&process, &text);
        let answer = beginning(&mut stream);
        let peak = process.peak();
        assert!(
            peak < MEMORY_MB << 10,
            "caller {i}: {peak} KB of {MEMORY_MB} MB"
        );
        assert!(answer.starts_with("http/1.1 "), "caller {i}: {answer:?}");
        callers.push(stream);
    }
}

/// A request announces a body that is longer than the rules allow, and sends none of it.
#[test]
fn a_body_that_is_too_long_is_refused_before_it_arrives() {
    let (_net, process) = small_gateway("long", 8 << 10);
    let mut stream = caller(&process, &with_body(100 << 20));
    let answer = beginning(&mut stream);
    assert!(answer.starts_with("http/1.1 413"), "{answer:?}");
}

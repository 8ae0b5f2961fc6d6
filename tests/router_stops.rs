//! Tests of what a stop of a router or a sidecar does with requests and answers in hand.

#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::Duration, //
};

use compio::runtime::Runtime;
use standin::{
    client::Client,
    fleet::{
        self,
        Addresses,
        Environment,
        Handle,
        on_thread, //
    },
    plain,
    raw::{
        self,
        Next, //
    }, //
};

const RULES: &str = "\
generation 1                    # kim: test
share * stall-1 1               # mei: test
target shop shop-1              # kim: test
target large large-1            # kim: test
";

/// The time that the target of the service `shop` takes.
const SERVICE_TIME: Duration = Duration::from_millis(600);

/// The difference between the sizes of two answers, in bytes. Less than a router takes of an answer
/// that its caller does not read.
const SIZE_STEP: usize = 128 << 10;

/// Long enough for an answer to arrive at a router.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// The time for which a caller does not read after a stop has begun.
const READ_PAUSE: Duration = Duration::from_millis(800);

/// The time after which the target begins an answer whose path asks for a late one.
const LATE_TIME: Duration = Duration::from_millis(600);

/// A time for which a router is not there, in which its links stay open.
const STALL_TIME: Duration = Duration::from_millis(1_200);

/// A router with two targets and their sidecars.
struct Cluster {
    router: Handle,
    sidecars: Vec<Handle>,
}

impl Cluster {
    fn start() -> Self {
        let Environment {
            values,
            platform,
            keys,
        } = fleet::start_platform(RULES);
        let shop = on_thread(|sender| async move {
            let _ = sender.send(plain::serve(SERVICE_TIME, Default::default()).await);
            std::future::pending::<()>().await;
        });
        let large = raw::serve(|exchange| {
            let size = exchange
                .path
                .split('/')
                .find(|part| part.parse::<usize>().is_ok());
            let size: usize = size.and_then(|size| size.parse().ok()).unwrap_or_default();
            if exchange.path.starts_with("/late/") {
                thread::sleep(LATE_TIME);
            }
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
            (head + &"x".repeat(size), Next::Keep)
        });
        let mut settings = fleet::router_settings("router-0", &keys, &platform);
        settings.drain_ms = 30_000;
        let router = fleet::router(settings);
        fleet::publish_vms(&values, &[("router-0", router.addresses.link)]);
        let targets = [
            ("shop-1", "shop", shop),
            ("large-1", "large", large.address),
        ];
        let sidecars = targets.map(|(name, service, address)| {
            let settings = fleet::sidecar_settings(name, service, address, 8, &keys, &platform);
            fleet::sidecar(settings)
        });
        for handle in sidecars.iter().chain([&router]) {
            fleet::await_ready(handle.addresses.admin);
        }
        Self {
            router,
            sidecars: sidecars.into(),
        }
    }
}

/// A caller's connection.
struct Caller(TcpStream);

impl Caller {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the router accepts connections");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("the read timeout is valid");
        stream.set_nodelay(true).expect("the connection is open");
        Self(stream)
    }

    fn send(&mut self, text: &str) {
        self.0
            .write_all(text.as_bytes())
            .expect("the router reads the request");
    }

    /// Sends the head of a request with a body of `length` bytes.
    fn send_head(&mut self, service: &str, timeout_ms: u64, length: usize) {
        self.send(&format!(
            "POST /{service}/v1/completions HTTP/1.1\r\nhost: a\r\nx-account: stall-1\r\n\
             connection: close\r\nx-timeout-ms: {timeout_ms}\r\ncontent-length: {length}\r\n\r\n"
        ));
    }

    /// Returns all that arrives until the connection ends.
    fn read_all(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Returns the number of requests that have not ended at a router.
fn open_requests(admin: SocketAddr) -> usize {
    let runtime = Runtime::new().expect("the runtime starts");
    let answer = runtime.block_on(Client::new(admin).send("GET", "/metrics", &[], ""));
    let text = String::from_utf8_lossy(&answer.expect("the page answers").body).into_owned();
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix("redwingyard_requests "));
    value
        .and_then(|value| value.parse().ok())
        .expect("the metric is a number")
}

/// A stop did not wait for callers who had yet to read the end of their answers.
#[test]
fn a_stop_does_not_cut_answers_that_are_not_read_yet() {
    let mut cluster = Cluster::start();
    let Addresses { http, admin, .. } = cluster.router.addresses;
    // The largest answer that has arrived at the router whole while its caller reads nothing.
    let mut last = None;
    for size in (1..128).map(|i| i * SIZE_STEP) {
        let mut caller = Caller::connect(http);
        caller.send_head(&format!("large/{size}"), 30_000, 0);
        thread::sleep(SETTLE_TIME);
        if open_requests(admin) > 0 {
            break;
        }
        last = Some((size, caller));
    }
    let (size, mut caller) = last.expect("the router holds a part of an answer");
    let idle = || (open_requests(admin) == 0).then_some(());
    (0..500)
        .find_map(|_| {
            thread::sleep(Duration::from_millis(10));
            idle()
        })
        .expect("the last request ends with its caller");
    let stop = thread::spawn(move || cluster.router.drain());
    thread::sleep(READ_PAUSE);
    let text = caller.read_all();
    assert!(stop.join().expect("the stopping thread does not panic"));
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    assert_eq!(body.len(), size);
}

/// A stop did not wait for requests whose bodies were still arriving.
#[test]
fn a_stop_answers_requests_whose_bodies_are_not_read_yet() {
    let mut cluster = Cluster::start();
    let mut caller = Caller::connect(cluster.router.addresses.http);
    caller.send_head("shop", 5_000, 8);
    caller.send("half");
    thread::sleep(Duration::from_millis(200));
    let stop = thread::spawn(move || cluster.router.drain());
    thread::sleep(Duration::from_millis(700));
    // Fails if the connection is closed.
    let _ = caller.0.write_all(b"body");
    let text = caller.read_all();
    stop.join().expect("the stopping thread does not panic");
    assert!(
        text.starts_with("HTTP/1.1 503") && text.contains("draining"),
        "{text:?}"
    );
}

/// A sidecar that stops doesn't wait until a late router has taken its answers.
#[test]
#[ignore = "red: KNOWN-RED.txt, issue 66"]
fn a_stopping_sidecar_hands_its_answers_to_a_late_router() {
    let mut cluster = Cluster::start();
    let mut caller = Caller::connect(cluster.router.addresses.http);
    caller.send_head(&format!("large/late/{SIZE_STEP}"), 5_000, 0);
    thread::sleep(LATE_TIME / 2);
    cluster.router.stall_trigger()(STALL_TIME);
    assert!(cluster.sidecars[1].drain());
    let text = caller.read_all();
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    assert_eq!(body.len(), SIZE_STEP, "{}", &text[..text.len().min(400)]);
}

//! Tests of when a router ends a request for its deadline.

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
    time::{
        Duration,
        Instant, //
    }, //
};

use rstest::rstest;
use standin::{
    engine::{
        self,
        Engine, //
    },
    fleet::{
        self,
        Environment,
        Handle,
        on_thread, //
    },
    plain, //
};

const RULES: &str = "\
generation 1                    # kim: test
share * stall-1 1               # mei: test
target shop shop-1              # kim: test
target sizer sizer-1            # kim: test
target none none-1              # kim: test
";

/// The time that the target of the service `shop` takes.
const SERVICE_TIME: Duration = Duration::from_millis(600);

/// The time between two tokens of the engine of the service `sizer`.
const TOKEN_TIME: Duration = Duration::from_millis(50);

/// The deadline of the requests, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

/// How late a refusal may come on a busy machine.
const LATENESS: Duration = Duration::from_millis(400);

/// A router with two targets and their sidecars, and a service without any.
struct Cluster {
    router: Handle,
    _sidecars: Vec<Handle>,
}

impl Cluster {
    fn start() -> Self {
        let Environment {
            values,
            platform,
            keys,
        } = fleet::start_platform(RULES);
        let (shop, sizer) = on_thread(|sender| async move {
            let shop = plain::serve(SERVICE_TIME, Default::default()).await;
            let sizer = engine::serve(Engine {
                token_time: TOKEN_TIME,
                max_tokens: 40,
            })
            .await;
            let _ = sender.send((shop, sizer));
            std::future::pending::<()>().await;
        });
        let router = fleet::router(fleet::router_settings("router-0", &keys, &platform));
        fleet::publish_vms(&values, &[("router-0", router.addresses.link)]);
        let targets = [("shop-1", "shop", shop), ("sizer-1", "sizer", sizer)];
        let sidecars = targets.map(|(name, service, address)| {
            let settings = fleet::sidecar_settings(name, service, address, 8, &keys, &platform);
            fleet::sidecar(settings)
        });
        for handle in sidecars.iter().chain([&router]) {
            fleet::await_ready(handle.addresses.admin);
        }
        Self {
            router,
            _sidecars: sidecars.into(),
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

struct SlowBody {
    service: &'static str,
    /// The pause in the middle of the body.
    pause: Duration,
    status: &'static str,
    /// What the answer has.
    text: &'static str,
    /// Whether the answer comes at the deadline, or else before.
    at_deadline: bool,
}

/// The timeout of a request was counted anew once its body was read.
#[rstest]
#[case::no_target(SlowBody {
    service: "none",
    pause: Duration::from_millis(600),
    status: "503",
    text: "\"deadline\"",
    at_deadline: true,
})]
#[case::at_a_target(SlowBody {
    service: "shop",
    pause: Duration::from_millis(850),
    status: "504",
    text: "\"timeout\"",
    at_deadline: true,
})]
#[case::late_body(SlowBody {
    service: "shop",
    pause: Duration::from_millis(1_800),
    status: "408",
    text: "\"slow-body\"",
    at_deadline: true,
})]
#[case::in_time(SlowBody {
    service: "shop",
    pause: Duration::from_millis(100),
    status: "200",
    text: "/v1/completions",
    at_deadline: false,
})]
fn a_slow_body_does_not_prolong_the_timeout(#[case] case: SlowBody) {
    let cluster = Cluster::start();
    let mut caller = Caller::connect(cluster.router.addresses.http);
    let begun = Instant::now();
    caller.send_head(case.service, TIMEOUT_MS, 8);
    caller.send("half");
    let mut rest = Caller(caller.0.try_clone().expect("the connection is open"));
    let sender = thread::spawn(move || {
        thread::sleep(case.pause);
        // Fails if the request has been answered already.
        let _ = rest.0.write_all(b"body");
    });
    let mut first = [0; 12];
    caller
        .0
        .read_exact(&mut first)
        .expect("the request is answered");
    let took = begun.elapsed();
    let text = String::from_utf8_lossy(&first).into_owned() + &caller.read_all();
    sender.join().expect("the sending thread does not panic");
    let timeout = Duration::from_millis(TIMEOUT_MS);
    assert!(
        text.starts_with(&format!("HTTP/1.1 {}", case.status)) && text.contains(case.text),
        "after {took:?}: {text}"
    );
    assert!(took < timeout + LATENESS, "{took:?}");
    assert_eq!(took >= timeout, case.at_deadline, "{took:?}");
}

#[test]
fn an_answer_that_has_begun_goes_on_after_the_deadline() {
    let cluster = Cluster::start();
    let mut caller = Caller::connect(cluster.router.addresses.http);
    let body = r#"{"prompt":"fit?","stream":true,"max_tokens":30}"#;
    caller.send_head("sizer", 500, body.len());
    caller.send(body);
    let begun = Instant::now();
    let text = caller.read_all();
    assert!(begun.elapsed() > TOKEN_TIME * 20, "{:?}", begun.elapsed());
    assert!(text.contains("data: [DONE]\n\n"), "{text}");
    assert!(text.ends_with("0\r\n\r\n"), "{text}");
}

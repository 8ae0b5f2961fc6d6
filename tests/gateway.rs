//! Tests of gateways over loopback, with a store, targets that register themselves, and callers.

mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    sync::Mutex,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use compio::{
    runtime::Runtime,
    time::timeout, //
};
use futures_util::future::join_all;
use hyper::HeaderMap;
use net::{
    HOST,
    ID,
    IN_FORCE_LIMIT,
    KEY,
    Net,
    eventually, //
};
use rstest::rstest;
use standin::{
    client::{
        Answer,
        Client, //
    },
    instance::{
        EVENT_COUNT,
        Instance,
        Mode, //
    }, //
};

#[test]
fn target_receives_the_account_but_not_the_key() {
    let net = Net::start(1);
    let fields = [HOST, KEY, ID, ("tenant", "other"), ("expect-version", "9")];
    let answer = net
        .send("GET", "/read/7", &fields)
        .expect("the gateway answers the request");
    assert_eq!((answer.status, answer.complete), (200, true));
    let runs: Vec<_> = net.0.targets.iter().flat_map(Instance::runs).collect();
    let [fields] = &runs[..] else {
        panic!("{runs:?}");
    };
    let field = |name: &str| fields.get(name).map(|value| value.to_str().unwrap_or("?"));
    assert_eq!(field("tenant"), Some("stall"));
    assert_eq!(field("credential"), None);
    assert_eq!(field("expect-version"), None);
    let left: u64 = field("deadline")
        .and_then(|left| left.parse().ok())
        .unwrap_or(0);
    assert!((1..=3_000).contains(&left), "{left}");
}

struct Rejected {
    method: &'static str,
    path: &'static str,
    fields: &'static [(&'static str, &'static str)],
    status: u16,
}

#[rstest]
#[case::no_route(Rejected { method: "GET", path: "/x", fields: &[HOST, KEY], status: 404 })]
#[case::other_host(Rejected { method: "GET", path: "/read/7", fields: &[("host", "b"), KEY], status: 404 })]
#[case::two_hosts(Rejected { method: "GET", path: "/read/7", fields: &[HOST, ("host", "b"), KEY], status: 400 })]
#[case::no_key(Rejected { method: "GET", path: "/read/7", fields: &[HOST], status: 401 })]
#[case::unknown_key(Rejected { method: "GET", path: "/read/7", fields: &[HOST, ("credential", "no")], status: 401 })]
fn requests_that_no_rule_allows_are_rejected_without_running(#[case] case: Rejected) {
    let net = Net::start(1);
    let answer = net
        .send(case.method, case.path, case.fields)
        .expect("the gateway answers the request");
    assert_eq!(answer.status, case.status);
    assert_eq!(net.run_count(), 0);
}

#[test]
fn oversized_bodies_and_heads_are_rejected_without_running() {
    let net = Net::start(1);
    let address = net.0.gateways[0].addresses.http;
    let runtime = Runtime::new().expect("the runtime starts");
    let body = vec![b'x'; 1_001];
    let answer = runtime.block_on(Client::new(address).send("POST", "/save/1", &[HOST, KEY], body));
    assert_eq!(answer.expect("the gateway answers the request").status, 413);
    let long = "x".repeat(9_000);
    let fields = [HOST, KEY, ("x-long", &long)];
    let answer = net
        .send("GET", "/read/7", &fields)
        .expect("the gateway answers the request");
    assert_eq!(answer.status, 431);
    assert_eq!(net.run_count(), 0);
}

struct IdleConnection {
    /// What the caller sends before it goes silent.
    sent: &'static str,
}

#[rstest]
#[case::nothing(IdleConnection { sent: "" })]
#[case::half_a_head(IdleConnection { sent: "GET /read/7 HTTP/1.1\r\nhost: a.ex" })]
#[case::between_requests(IdleConnection { sent: "GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n" })]
fn an_idle_connection_is_closed(#[case] case: IdleConnection) {
    let net = Net::start(1);
    let mut stream = TcpStream::connect(net.0.gateways[0].addresses.http)
        .expect("the gateway accepts connections");
    stream
        .set_read_timeout(Some(IN_FORCE_LIMIT))
        .expect("the read timeout is valid");
    stream
        .write_all(case.sent.as_bytes())
        .expect("the connection accepts the bytes");
    let begun = Instant::now();
    let mut answer = Vec::new();
    stream
        .read_to_end(&mut answer)
        .expect("the gateway closes the connection without a reset");
    assert!(begun.elapsed() >= Duration::from_millis(600));
    assert_eq!(net.run_count(), 0);
}

/// With more connections than the gateway may keep open, a refusal closes its connection, so that
/// callers who are only refused make room for others.
#[test]
fn refusals_close_connections_above_the_limit() {
    let net = Net::start_with(1, |settings| settings.connections = Some(2));
    let runtime = Runtime::new().expect("the runtime starts");
    let address = net.0.gateways[0].addresses.http;
    let mut clients: Vec<_> = (0..4).map(|_| Client::new(address)).collect();
    let mut closes = |path| {
        let closes = clients.iter_mut().map(|client| {
            let answer = runtime.block_on(client.send("GET", path, &[HOST, KEY, ID], ""));
            let answer = answer.expect("the gateway answers the request");
            answer.headers.contains_key("connection")
        });
        closes.collect::<Vec<_>>()
    };
    assert_eq!(closes("/read/1"), [false; 4]);
    // The connections that were closed make room, so the others stay open.
    assert_eq!(closes("/nowhere"), [true, true, false, false]);
}

/// With as many connections as the gateway can hold, the next caller is accepted only when another
/// one leaves. Until then the readiness page tells the platform to send callers elsewhere.
#[test]
fn callers_above_the_connection_limit_wait_until_one_leaves() {
    let net = Net::start_with(1, |settings| settings.connections = Some(2));
    let address = net.0.gateways[0].addresses.http;
    let is_ready = || {
        let runtime = Runtime::new().expect("the runtime starts");
        let admin = net.0.gateways[0].addresses.admin;
        let answer = runtime.block_on(Client::new(admin).send("GET", "/readyz", &[], ""));
        answer.expect("the readiness page answers").status == 200
    };
    let mut inside: Vec<_> = (0..5)
        .map(|_| TcpStream::connect(address).expect("the gateway accepts connections"))
        .collect();
    thread::sleep(Duration::from_millis(100));
    let next_caller = thread::spawn(move || {
        let runtime = Runtime::new().expect("the runtime starts");
        runtime.block_on(Client::new(address).send("GET", "/read/1", &[HOST, KEY, ID], ""))
    });
    thread::sleep(Duration::from_millis(200));
    assert!(!next_caller.is_finished());
    assert!(!is_ready());
    inside.pop();
    let answer = next_caller
        .join()
        .expect("the caller's thread does not panic")
        .expect("the gateway answers the request");
    assert_eq!(answer.status, 200);
    drop(inside);
    eventually("the gateway is ready again", is_ready);
}

struct FailedAttempt {
    path: &'static str,
    method: &'static str,
    /// How the two targets behave.
    modes: [Mode; 2],
    /// The status that the caller gets.
    status: u16,
    /// How many times targets run the request.
    runs: usize,
}

#[rstest]
#[case::refused_once(FailedAttempt { method: "POST", path: "/save/1", modes: [Mode::Refuse, Mode::Serve], status: 200, runs: 1 })]
#[case::all_refuse(FailedAttempt { method: "POST", path: "/save/1", modes: [Mode::Refuse; 2], status: 503, runs: 0 })]
#[case::write_breaks(FailedAttempt { method: "POST", path: "/save/1", modes: [Mode::Break; 2], status: 502, runs: 1 })]
#[case::write_fails(FailedAttempt { method: "POST", path: "/save/1", modes: [Mode::Fail; 2], status: 500, runs: 1 })]
#[case::write_is_shed(FailedAttempt { method: "POST", path: "/save/1", modes: [Mode::Shed; 2], status: 502, runs: 1 })]
#[case::write_hangs(FailedAttempt { method: "POST", path: "/save/1", modes: [Mode::Hang; 2], status: 504, runs: 1 })]
#[case::read_breaks(FailedAttempt { method: "GET", path: "/read/1", modes: [Mode::Break; 2], status: 502, runs: 2 })]
#[case::read_fails(FailedAttempt { method: "GET", path: "/read/1", modes: [Mode::Fail; 2], status: 500, runs: 2 })]
fn the_status_tells_whether_the_request_may_have_run(#[case] case: FailedAttempt) {
    let net = Net::start(1);
    net.set_modes(case.modes);
    // Runs with the modes in both orders, as either target may be tried first.
    for swapped in [false, true] {
        if swapped {
            net.set_modes([case.modes[1], case.modes[0]]);
        }
        let before = net.run_count();
        let answer = net
            .send(case.method, case.path, &[HOST, KEY, ID])
            .expect("the gateway answers the request");
        assert_eq!(
            (answer.status, net.run_count() - before),
            (case.status, case.runs)
        );
        let retry = answer.headers.contains_key("retry-after");
        assert_eq!(retry, case.status == 503);
    }
}

/// Guards against telling a caller that its request has not run when it has. One target breaks off
/// every answer, and retries fill the other one, so some requests that may have run time out in the
/// queue.
#[test]
fn a_request_that_ran_is_never_refused_as_not_run() {
    let net = Net::start(1);
    net.set_modes([Mode::Break, Mode::Hang]);
    let address = net.0.gateways[0].addresses.http;
    let ids: Vec<_> = (0..300).map(|i| format!("r{i}")).collect();
    let runtime = Runtime::new().expect("the runtime starts");
    let statuses = runtime.block_on(join_all(ids.iter().map(|id| async move {
        let mut client = Client::new(address);
        let fields = [HOST, KEY, ("request-id", id.as_str())];
        let answer = client.send("GET", "/read/1", &fields, "").await;
        answer.expect("the gateway answers the request").status
    })));
    let runs = net.0.targets.iter().flat_map(Instance::runs);
    let ran: Vec<_> = runs.map(|fields| fields["request-id"].clone()).collect();
    let answers = ids.iter().zip(&statuses);
    let false_refusals =
        answers.filter(|(id, status)| **status == 503 && ran.iter().any(|run| run == *id));
    assert_eq!(false_refusals.count(), 0);
    assert!(statuses.contains(&502), "{statuses:?}");
}

#[test]
fn a_stream_is_continued_where_its_route_allows_it() {
    let net = Net::start(1);
    let ids = |answer: &Answer| {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap_or(0)).collect::<Vec<u32>>()
    };
    let all: Vec<_> = (1..=EVENT_COUNT).collect();
    let answer = net.get("/stream/1");
    assert_eq!((ids(&answer), answer.complete), (all.clone(), true));
    net.set_modes([Mode::Break; 2]);
    let answer = net.get("/stream/2");
    assert_eq!((ids(&answer).len(), answer.complete), (3, false));
    // Each of the two attempts sends three events; the route allows no third attempt.
    let answer = net.get("/stream/resume/3");
    assert_eq!((ids(&answer), answer.complete), ((1..=6).collect(), false));
}

/// Two gateways get the requests of a session in turn. Both must place them where the prompt prefix
/// is cached, so that no engine reads a part twice.
#[test]
fn gateways_send_a_session_to_the_target_that_caches_its_prefix() {
    let net = Net::start(2);
    let runtime = Runtime::new().expect("the runtime starts");
    let addresses = net.0.gateways.iter().map(|gateway| gateway.addresses.http);
    let mut clients: Vec<_> = addresses.map(Client::new).collect();
    for i in 0..6 {
        let parts = format!("5c:800,91:1200,{i}:10");
        let fields = [
            HOST,
            KEY,
            ID,
            ("token-count", "2010,8"),
            ("prompt-prefix", &parts),
        ];
        let send = clients[i % 2].send("GET", "/stream/1", &fields, "");
        assert_eq!(
            runtime
                .block_on(send)
                .expect("the gateway answers the request")
                .status,
            200
        );
    }
    let read: u64 = net.0.targets.iter().map(Instance::tokens_read).sum();
    assert_eq!(read, 2_000 + 6 * 10);
}

/// How long a stalled gateway reads nothing.
const STALL_TIME: Duration = Duration::from_millis(400);

/// The delay that a busy machine may add to a measured time.
const SLACK: Duration = Duration::from_millis(250);

/// The timeout of the routes.
const TIMEOUT: Duration = Duration::from_secs(3);

struct LateRead {
    stall: Duration,
    /// The time that the caller says it waits, in milliseconds.
    budget: &'static str,
    /// Whether the connection has had a request before.
    reused: bool,
    body: &'static str,
    status: u16,
}

/// A gateway without processor time reads a request long after it was sent. If it passed the
/// caller's whole time budget on, the target would go on working after the caller had given up.
#[rstest]
#[case::in_time(LateRead { stall: Duration::ZERO, budget: "2000", reused: false, body: "", status: 200 })]
#[case::in_time_on_a_kept_connection(LateRead { stall: Duration::ZERO, budget: "2000", reused: true, body: "", status: 200 })]
#[case::next_caller(LateRead { stall: STALL_TIME, budget: "2000", reused: false, body: "", status: 200 })]
#[case::late_on_a_kept_connection(LateRead { stall: STALL_TIME, budget: "2000", reused: true, body: "", status: 200 })]
#[case::late_with_a_body(LateRead { stall: STALL_TIME, budget: "2000", reused: true, body: "body", status: 200 })]
#[case::longer_than_the_route(LateRead { stall: STALL_TIME, budget: "9000", reused: false, body: "", status: 200 })]
#[case::too_late(LateRead { stall: STALL_TIME, budget: "300", reused: false, body: "", status: 503 })]
#[case::too_late_on_a_kept_connection(LateRead { stall: STALL_TIME, budget: "300", reused: true, body: "", status: 503 })]
#[case::too_late_with_a_body(LateRead { stall: STALL_TIME, budget: "300", reused: true, body: "body", status: 503 })]
fn time_before_reading_is_deducted_from_the_budget(#[case] case: LateRead) {
    let net = Net::start(1);
    let gateway = &net.0.gateways[0];
    let runtime = Runtime::new().expect("the runtime starts");
    let mut client = Client::new(gateway.addresses.http);
    let before = if case.reused { 1 } else { 0 };
    if case.reused {
        let send = client.send("GET", "/read/1", &[HOST, KEY, ID], "");
        assert_eq!(
            runtime
                .block_on(send)
                .expect("the gateway answers the request")
                .status,
            200
        );
        // Lets the work of the first request end, so that no connection to a target is in use.
        thread::sleep(Duration::from_millis(100));
    }
    gateway.stall(case.stall);
    thread::sleep(Duration::from_millis(50));
    let sent = Instant::now();
    let fields = [HOST, KEY, ID, ("deadline", case.budget)];
    let send = client.send("POST", "/save/1", &fields, case.body);
    let answer = runtime
        .block_on(send)
        .expect("the gateway answers the request");
    assert_eq!(answer.status, case.status);
    assert_eq!(
        answer.headers.contains_key("retry-after"),
        case.status == 503
    );
    let runs: Vec<_> = net.0.targets.iter().flat_map(Instance::runs).collect();
    let given = |fields: &HeaderMap| {
        let text = fields.get("deadline")?.to_str().ok()?;
        Some(Duration::from_millis(text.parse().ok()?))
    };
    let given: Vec<_> = runs.iter().filter_map(given).collect();
    if case.status == 503 {
        assert_eq!(given.len(), before, "the request has not run");
        return;
    }
    let given = given.into_iter().min().expect("the request has run");
    let budget = Duration::from_millis(case.budget.parse().expect("the text is a number"));
    let unread = case.stall.saturating_sub(Duration::from_millis(50));
    let left = budget.min(TIMEOUT) - unread;
    assert!(given <= left + Duration::from_millis(5), "{given:?}");
    let took = sent.elapsed().saturating_sub(unread);
    assert!(given + took + SLACK >= left, "{given:?} after {took:?}");
}

struct ClosedEarly {
    sent: &'static str,
    /// Whether the connection has had a request before.
    reused: bool,
}

/// A gateway without processor time reads a request after its caller has closed the connection. The
/// request has not been sent to a target by then, and must not be sent any more.
#[rstest]
#[case::read(ClosedEarly { sent: "GET /read/2 HTTP/1.1\r\ncredential: secret\r\nhost: a.example\r\n\r\n", reused: false })]
#[case::reused(ClosedEarly { sent: "GET /read/2 HTTP/1.1\r\ncredential: secret\r\nhost: a.example\r\n\r\n", reused: true })]
#[case::body(ClosedEarly { sent: "POST /save/2 HTTP/1.1\r\ncredential: secret\r\nhost: a.example\r\ncontent-length: 4\r\n\r\nbody", reused: false })]
#[case::stream(ClosedEarly { sent: "GET /stream/2 HTTP/1.1\r\ncredential: secret\r\nhost: a.example\r\n\r\n", reused: true })]
fn a_request_read_after_its_caller_disconnected_is_not_sent_on(#[case] case: ClosedEarly) {
    let net = Net::start(1);
    let gateway = &net.0.gateways[0];
    let mut stream =
        TcpStream::connect(gateway.addresses.http).expect("the gateway accepts connections");
    let before = if case.reused { 1 } else { 0 };
    if case.reused {
        let first = "GET /read/1 HTTP/1.1\r\ncredential: secret\r\nhost: a.example\r\n\r\n";
        stream
            .write_all(first.as_bytes())
            .expect("the connection accepts the bytes");
        assert!(
            stream
                .read(&mut [0; 4_096])
                .expect("the gateway answers the request")
                > 0
        );
        thread::sleep(Duration::from_millis(100));
    }
    gateway.stall(STALL_TIME);
    thread::sleep(Duration::from_millis(50));
    stream
        .write_all(case.sent.as_bytes())
        .expect("the connection accepts the bytes");
    drop(stream);
    thread::sleep(STALL_TIME + SLACK);
    assert_eq!(net.run_count(), before);
    assert_eq!(net.status(0)["requests"], 0);
}

struct Disconnect {
    path: &'static str,
    mode: Mode,
}

#[rstest]
#[case::waiting(Disconnect { path: "/read/7", mode: Mode::Hang })]
#[case::streaming(Disconnect { path: "/stream/7", mode: Mode::Serve })]
fn work_stops_when_its_caller_disconnects(#[case] case: Disconnect) {
    let net = Net::start(1);
    net.set_modes([case.mode; 2]);
    let address = net.0.gateways[0].addresses.http;
    let runtime = Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let mut client = Client::new(address);
        let fields = [HOST, KEY, ID];
        let send = client.send("GET", case.path, &fields, "");
        let gone = timeout(Duration::from_millis(40), send).await;
        assert!(gone.is_err(), "the request is still running");
    });
    // Dropping the runtime closes the caller's connection.
    drop(runtime);
    let abandoned = || net.0.targets.iter().map(Instance::abandoned).sum::<u32>();
    eventually("the target stops the work", || abandoned() == 1);
    eventually("the gateway drops the request", || {
        net.status(0)["requests"] == 0
    });
}

#[test]
fn draining_and_removed_targets_get_no_more_requests() {
    let net = Net::start(1);
    net.register("i-1", 0, "draining");
    net.0.items.remove("servers/i-2");
    eventually("no target serves", || net.get("/read/1").status == 503);
    let runs = net.run_count();
    for i in 0..5 {
        assert_eq!(net.get(&format!("/read/{i}")).status, 503);
    }
    assert_eq!(net.run_count(), runs);
}

/// The store still lists a target whose address another target has taken over. Requests meant for
/// the first one must not run at the second one, and all of them must be served.
#[test]
fn a_reused_address_gets_no_requests_for_its_previous_target() {
    let net = Net::start(1);
    net.register("i-0", 1, "ready");
    thread::sleep(Duration::from_secs(1));
    for i in 0..8 {
        let answer = net.send("POST", &format!("/save/{i}"), &[HOST, KEY, ID]);
        assert_eq!(answer.expect("the gateway answers the request").status, 200);
    }
    assert_eq!(net.run_count(), 8);
}

#[test]
fn gateways_discover_each_other_and_remove_those_that_stop() {
    let mut net = Net::start(3);
    for i in 0..3 {
        eventually("each gateway knows all others", || {
            net.status(i)["peers"] == 2
        });
    }
    assert!(net.0.gateways[2].drain());
    for i in 0..2 {
        eventually("the stopped gateway is removed", || {
            net.status(i)["peers"] == 1
        });
    }
}

/// Collects the log lines of all tests in this file.
struct LogLines(Mutex<Vec<String>>);

static LINES: LogLines = LogLines(Mutex::new(Vec::new()));

impl log::Log for LogLines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut lines = self.0.lock().expect("no holder of the lock panics");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// A stopping gateway keeps sending its loads. The other gateways must not treat this as joining
/// again, which would log its leaving more than once.
#[test]
fn a_stopping_gateway_is_reported_as_left_once() {
    if log::set_logger(&LINES).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    // No other test starts four gateways, so only this one has log lines with the fourth address.
    let mut net = Net::start(4);
    eventually("each gateway knows all others", || {
        net.status(0)["peers"] == 3
    });
    assert!(net.0.gateways[3].drain());
    thread::sleep(Duration::from_millis(300));
    let lines = LINES.0.lock().expect("no holder of the lock panics");
    let count = |event: &str| {
        let line = format!("event={event} peer=127.0.0.4");
        lines
            .iter()
            .filter(|other| other.starts_with(&line))
            .count()
    };
    assert_eq!((count("peer-joined"), count("peer-left")), (3, 3));
}

struct GracefulStop {
    path: &'static str,
    /// How the targets behave.
    mode: Mode,
    status: u16,
}

#[rstest]
#[case::short(GracefulStop { path: "/stream/1", mode: Mode::Serve, status: 200 })]
#[case::longer_than_the_accept_grace(GracefulStop { path: "/read/1", mode: Mode::Hang, status: 504 })]
fn a_graceful_stop_completes_requests_that_have_begun(#[case] case: GracefulStop) {
    let mut net = Net::start(1);
    net.set_modes([case.mode; 2]);
    let address = net.0.gateways[0].addresses.http;
    let caller = thread::spawn(move || {
        let runtime = Runtime::new().expect("the runtime starts");
        runtime.block_on(Client::new(address).send("GET", case.path, &[HOST, KEY, ID], ""))
    });
    eventually("the target runs the request", || net.run_count() == 1);
    assert!(net.0.gateways[0].drain());
    let answer = caller
        .join()
        .expect("the caller's thread does not panic")
        .expect("the gateway answers the request");
    assert_eq!((answer.status, answer.complete), (case.status, true));
}

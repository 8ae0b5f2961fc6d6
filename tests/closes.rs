//! Tests of what callers get on connections that a gateway closes, or might close, while requests
//! arrive.

mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    io::{
        self,
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

use net::{
    HOST,
    ID,
    IN_FORCE_LIMIT,
    KEY,
    Net,
    config,
    eventually, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use standin::instance::Mode;

/// Long enough for bytes that were sent to arrive and be processed.
const PROCESSING_TIME: Duration = Duration::from_millis(100);

/// A request that a target serves at once.
const READ: &str = "GET /read/7 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\r\n";

struct Caller(TcpStream);

/// The head of a response with a content length.
struct Reply {
    status: u16,
    closes: bool,
}

impl Caller {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the gateway accepts connections");
        stream
            .set_read_timeout(Some(IN_FORCE_LIMIT))
            .expect("the read timeout is valid");
        stream.set_nodelay(true).expect("the connection is open");
        Self(stream)
    }

    fn send(&mut self, text: &str) -> io::Result<()> {
        self.0.write_all(text.as_bytes())
    }

    fn reply(&mut self) -> io::Result<Reply> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte)?;
            head.extend(byte);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length = field("content-length:").and_then(|length| length.trim().parse().ok());
        let mut body = vec![0; length.expect("the answer has a content length")];
        self.0.read_exact(&mut body)?;
        Ok(Reply {
            status: head[9..12].parse().expect("the answer has a status"),
            closes: field("connection:").is_some_and(|value| value.trim() == "close"),
        })
    }

    fn ask(&mut self, text: &str) -> io::Result<Reply> {
        self.send(text)?;
        self.reply()
    }
}

struct UnreadBody {
    /// Whether the connection has had a request before.
    reused: bool,
    head: &'static str,
    body: &'static [&'static str],
    status: u16,
}

#[rstest]
#[case::no_key(UnreadBody {
    reused: false,
    head: "POST /save/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\n",
    body: &["abc", "def", "ghi"],
    status: 401,
})]
#[case::no_route(UnreadBody {
    reused: false,
    head: "POST /x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\n",
    body: &["abc", "def", "ghi"],
    status: 404,
})]
#[case::in_chunks(UnreadBody {
    reused: false,
    head: "POST /x HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n",
    body: &["3\r\nabc\r\n", "3\r\ndef\r\n", "0\r\n\r\n"],
    status: 404,
})]
#[case::in_chunks_at_once(UnreadBody {
    reused: false,
    head: "POST /x HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n\
           3\r\nabc\r\n3\r\ndef\r\n3\r\nghi\r\n0\r\n\r\n",
    body: &[],
    status: 404,
})]
#[case::kept(UnreadBody {
    reused: true,
    head: "POST /x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\n",
    body: &["abc", "def", "ghi"],
    status: 404,
})]
fn a_rejection_before_the_body_has_arrived_keeps_the_connection(#[case] case: UnreadBody) {
    let net = Net::start(1);
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    if case.reused {
        assert_eq!(
            caller
                .ask(READ)
                .expect("the gateway answers the request")
                .status,
            200
        );
    }
    caller.send(case.head).expect("the connection is open");
    for piece in case.body {
        thread::sleep(PROCESSING_TIME);
        caller.send(piece).expect("the connection is still open");
    }
    thread::sleep(PROCESSING_TIME);
    let reply = caller.reply().expect("the gateway answers the request");
    assert_eq!((reply.status, reply.closes), (case.status, false));
    assert_eq!(
        caller
            .ask(READ)
            .expect("the gateway answers the request")
            .status,
        200
    );
}

/// A caller reads its answer only after it has sent the whole body, which is too large. If the
/// gateway closed the connection with bytes unread, the reset would lose the answer.
#[test]
fn an_oversized_body_is_rejected_without_a_reset() {
    let net = Net::start(1);
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    let head = "POST /save/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n";
    caller
        .send(&format!("{head}content-length: 400000\r\n\r\n"))
        .expect("the connection is open");
    for _ in 0..40 {
        caller
            .send(&"x".repeat(10_000))
            .expect("the connection is still open");
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(
        caller
            .reply()
            .expect("the gateway answers the request")
            .status,
        413
    );
    assert_eq!(net.run_count(), 0);
}

/// A request head that arrives in two parts.
const SPLIT_HEAD: (&str, &str) = READ.split_at("GET /read/7 HTTP/1.1".len());

/// A request and the first part of the next one.
const READ_AND_PARTIAL: &str =
    "GET /read/7 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\r\nGET /read/7 HTTP/1.1";

struct ConnectedBefore {
    /// What the caller sends before the stop.
    before: &'static str,
    /// Whether an answer comes before the stop.
    answered: bool,
    /// What the caller sends after the stop has begun.
    after: &'static str,
}

/// Callers that the platform sent here just before a stop, or that reuse a connection and don't
/// know of the stop yet, are still served, and their connection is closed with the answer.
#[rstest]
#[case::new(ConnectedBefore { before: "", answered: false, after: READ })]
#[case::kept(ConnectedBefore { before: READ, answered: true, after: READ })]
#[case::half_a_head(ConnectedBefore { before: SPLIT_HEAD.0, answered: false, after: SPLIT_HEAD.1 })]
#[case::half_a_head_kept(ConnectedBefore { before: READ_AND_PARTIAL, answered: true, after: SPLIT_HEAD.1 })]
fn callers_connected_before_a_stop_are_served(#[case] case: ConnectedBefore) {
    let mut net = Net::start(1);
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    caller.send(case.before).expect("the connection is open");
    if case.answered {
        assert_eq!(
            caller
                .reply()
                .expect("the gateway answers the request")
                .status,
            200
        );
    }
    thread::sleep(PROCESSING_TIME);
    let caller_thread = thread::spawn(move || {
        thread::sleep(PROCESSING_TIME);
        caller.ask(case.after)
    });
    assert!(net.0.gateways[0].drain());
    let reply = caller_thread
        .join()
        .expect("the caller's thread does not panic")
        .expect("the gateway answers the request");
    assert_eq!((reply.status, reply.closes), (200, true));
}

struct Cut {
    path: &'static str,
    mode: Mode,
    /// Whether the caller disconnects while the target works on the request.
    leaves: bool,
    /// The cause that is counted, if any.
    cause: Option<&'static str>,
}

#[rstest]
#[case::caller_leaves(Cut { path: "/save/1", mode: Mode::Hang, leaves: true, cause: Some("caller-closed") })]
#[case::stream_breaks(Cut { path: "/stream/1", mode: Mode::Break, leaves: false, cause: Some("answer-broke-off") })]
#[case::refused(Cut { path: "/save/1", mode: Mode::Refuse, leaves: false, cause: None })]
#[case::answered(Cut { path: "/save/1", mode: Mode::Serve, leaves: false, cause: None })]
#[case::streamed(Cut { path: "/stream/1", mode: Mode::Serve, leaves: false, cause: None })]
fn requests_without_a_complete_answer_are_counted(#[case] case: Cut) {
    let net = Net::start(1);
    net.set_modes([case.mode; 2]);
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    let fields = "host: a.example\r\ncredential: secret\r\ncontent-length: 0\r\nrequest-id: r1";
    let request = format!("POST {} HTTP/1.1\r\n{fields}\r\n\r\n", case.path);
    caller.send(&request).expect("the connection is open");
    if case.leaves {
        eventually("the target runs the request", || net.run_count() == 1);
        drop(caller);
    } else {
        let mut answer = [0; 4096];
        while matches!(caller.0.read(&mut answer), Ok(1..)) {}
    }
    eventually("the connection has ended", || {
        net.metric(0, "redwingyard_connections") == Some(0.0)
    });
    for cause in [
        "caller-closed",
        "answer-broke-off",
        "closed",
        "timeout",
        "connection-failed",
    ] {
        let name = format!("redwingyard_requests_cut_total{{cause=\"{cause}\"}}");
        let expected = (case.cause == Some(cause)).then_some(1.0);
        assert_eq!(net.metric(0, &name), expected, "{cause}");
    }
}

struct Unfinished {
    path: &'static str,
}

/// Targets are still working on requests when the stop timeout is over. Their callers must get an
/// answer that says so, not a broken connection.
#[rstest]
#[case::read(Unfinished { path: "/read/1" })]
#[case::write(Unfinished { path: "/save/1" })]
#[case::stream(Unfinished { path: "/stream/1" })]
fn requests_unfinished_at_the_end_of_a_stop_are_answered(#[case] case: Unfinished) {
    let mut net = Net::start_with(1, |settings| settings.stop_s = 1.0);
    net.set_modes([Mode::Hang; 2]);
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    let fields = "host: a.example\r\ncredential: secret\r\ncontent-length: 0";
    let request = format!("POST {} HTTP/1.1\r\n{fields}\r\n\r\n", case.path);
    let asked = thread::spawn(move || caller.ask(&request));
    eventually("the target runs the request", || net.run_count() == 1);
    assert!(!net.0.gateways[0].drain());
    let reply = asked
        .join()
        .expect("the caller's thread does not panic")
        .expect("the gateway answers the request");
    assert_eq!((reply.status, reply.closes), (504, true));
}

/// How far a caller has come when it sends its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerState {
    /// It has had an answer on this connection.
    Answered,
    /// It has connected.
    Connected,
    /// It has sent a part of the request head.
    Begun,
    /// It connects when it sends its request.
    New,
}

struct StalledClose {
    state: CallerState,
    /// Whether the gateway stops gracefully meanwhile.
    stop: bool,
    /// When the gateway stalls, in milliseconds.
    at: u64,
}

/// A gateway stalls just when it closes connections, because of an idle timeout or a stop. Requests
/// that arrive meanwhile and wait unread must still be answered.
#[rstest]
#[case::idle_limit_kept(StalledClose { state: CallerState::Answered, stop: false, at: 400 })]
#[case::idle_limit(StalledClose { state: CallerState::Connected, stop: false, at: 400 })]
#[case::idle_limit_begun(StalledClose { state: CallerState::Begun, stop: false, at: 400 })]
#[case::stop_begun(StalledClose { state: CallerState::Begun, stop: true, at: 0 })]
#[case::stop_kept(StalledClose { state: CallerState::Answered, stop: true, at: 0 })]
#[case::stop(StalledClose { state: CallerState::Connected, stop: true, at: 0 })]
#[case::stop_new(StalledClose { state: CallerState::New, stop: true, at: 0 })]
#[case::last_callers(StalledClose { state: CallerState::New, stop: true, at: 2_450 })]
fn requests_that_arrive_while_the_gateway_stalls_are_answered(#[case] case: StalledClose) {
    let mut net = Net::start(1);
    let address = net.0.gateways[0].addresses.http;
    let mut caller = (case.state != CallerState::New).then(|| Caller::connect(address));
    let mut request = READ;
    match (case.state, &mut caller) {
        (CallerState::Answered, Some(caller)) => {
            assert_eq!(
                caller
                    .ask(READ)
                    .expect("the gateway answers the request")
                    .status,
                200
            );
        }
        (CallerState::Begun, Some(caller)) => {
            caller.send(SPLIT_HEAD.0).expect("the connection is open");
            request = SPLIT_HEAD.1;
        }
        _ => {}
    }
    let stall = net.0.gateways[0].stall_trigger();
    let caller_thread = thread::spawn(move || {
        thread::sleep(Duration::from_millis(case.at));
        stall(Duration::from_millis(600));
        thread::sleep(Duration::from_millis(250));
        let caller = caller.get_or_insert_with(|| Caller::connect(address));
        caller.ask(request)
    });
    thread::sleep(PROCESSING_TIME);
    if case.stop {
        assert!(net.0.gateways[0].drain());
    }
    let reply = caller_thread
        .join()
        .expect("the caller's thread does not panic")
        .expect("the gateway answers the request");
    assert_eq!((reply.status, reply.closes), (200, case.stop));
}

struct ConfigChange {
    path: &'static str,
    /// The prompt's tokens, which set how long the target reads.
    tokens: &'static str,
    change: fn(&Net, Value),
}

fn put(net: &Net, config: &Value) {
    net.0.items.put("op/config", config);
}

fn drop_route(net: &Net, mut config: Value) {
    config["routes"] = json!([]);
    put(net, &config);
}

fn drop_key(net: &Net, mut config: Value) {
    config["tenants"][0]["apiKeys"] = json!(["other"]);
    put(net, &config);
}

fn shorten(net: &Net, mut config: Value) {
    for route in config["routes"]
        .as_array_mut()
        .expect("the configuration has a list of routes")
    {
        route["timeoutMs"] = json!(300);
    }
    config["limits"]["idleTimeoutMs"] = json!(200);
    put(net, &config);
}

fn drop_service(net: &Net, mut config: Value) {
    for route in config["routes"]
        .as_array_mut()
        .expect("the configuration has a list of routes")
    {
        route["service"] = json!("other");
    }
    config["services"] = json!([{ "name": "other" }]);
    put(net, &config);
    drop_targets(net, config);
}

fn drop_targets(net: &Net, config: Value) {
    for target in &net.0.targets {
        net.0.items.remove(&format!("servers/{}", target.name));
    }
    put(net, &config);
}

fn move_targets(net: &Net, config: Value) {
    for (target, address) in net.0.targets.iter().zip(&net.0.addresses) {
        standin::gateways::register(&net.0.items, &target.name, "other", *address, "ready");
    }
    put(net, &config);
}

/// The configuration changes while requests are in progress; they must still be answered whole.
#[rstest]
#[case::no_route(ConfigChange { path: "/save/1", tokens: "80000", change: drop_route })]
#[case::no_key(ConfigChange { path: "/save/1", tokens: "80000", change: drop_key })]
#[case::shorter(ConfigChange { path: "/save/1", tokens: "80000", change: shorten })]
#[case::no_service(ConfigChange { path: "/save/1", tokens: "80000", change: drop_service })]
#[case::no_target(ConfigChange { path: "/save/1", tokens: "80000", change: drop_targets })]
#[case::moved(ConfigChange { path: "/save/1", tokens: "80000", change: move_targets })]
#[case::stream_without_route(ConfigChange { path: "/stream/1", tokens: "80000", change: drop_route })]
#[case::stream_without_target(ConfigChange { path: "/stream/1", tokens: "80000", change: drop_targets })]
#[case::resumable(ConfigChange { path: "/stream/resume/1", tokens: "80000", change: drop_service })]
fn a_configuration_change_ends_no_answer_in_progress(#[case] case: ConfigChange) {
    let net = Net::start(1);
    let prompt = format!("1:{}", case.tokens);
    let count = format!("{},8", case.tokens);
    let fields = [
        HOST,
        KEY,
        ID,
        ("token-count", &count),
        ("prompt-prefix", &prompt),
    ];
    thread::scope(|scope| {
        let asked = scope.spawn(|| net.send("POST", case.path, &fields));
        eventually("the target runs the request", || net.run_count() == 1);
        (case.change)(&net, config(2, &["secret"]));
        eventually("the new configuration is in force", || {
            net.status(0)["generation"] == 2
        });
        assert!(!asked.is_finished());
        let answer = asked
            .join()
            .expect("the caller's thread does not panic")
            .expect("the gateway answers the request");
        assert_eq!((answer.status, answer.complete), (200, true));
    });
}

struct SlowStart {
    method: &'static str,
    path: &'static str,
}

/// A target reads a prompt for longer than a connection without traffic is kept.
#[rstest]
#[case::write(SlowStart { method: "POST", path: "/save/1" })]
#[case::stream(SlowStart { method: "POST", path: "/stream/1" })]
fn an_answer_that_begins_late_is_waited_for(#[case] case: SlowStart) {
    let net = Net::start(1);
    let fields = [HOST, KEY, ID, ("prompt-prefix", "1:250000")];
    let answer = net
        .send(case.method, case.path, &fields)
        .expect("the gateway answers the request");
    assert_eq!((answer.status, answer.complete), (200, true));
}

/// What a caller claims about the size of its prompt.
struct TokenClaim {
    tokens: &'static str,
    parts: &'static str,
}

#[rstest]
#[case::input(TokenClaim { tokens: "18446744073709551615,8", parts: "1:8,2:8" })]
#[case::output(TokenClaim { tokens: "8,18446744073709551615", parts: "1:8,2:8" })]
#[case::parts(TokenClaim { tokens: "8,8", parts: "1:18446744073709551615,2:18446744073709551615,3:1" })]
fn token_counts_of_any_size_get_an_answer(#[case] case: TokenClaim) {
    let net = Net::start(1);
    let fields = format!(
        "host: a.example\r\ncredential: secret\r\ntoken-count: {}\r\nprompt-prefix: {}",
        case.tokens, case.parts
    );
    // The target would take very long to read so many tokens; the gateway must keep serving.
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    let head = format!("GET /read/7 HTTP/1.1\r\n{fields}\r\ndeadline: 200\r\n\r\n");
    assert!(caller.ask(&head).is_ok());
    assert_eq!(
        caller
            .ask(READ)
            .expect("the gateway answers the request")
            .status,
        200
    );
}

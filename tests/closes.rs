//! What callers get on connections that a gateway closes, or might close, while requests arrive.

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
    IN_FORCE,
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

/// The time in which what was sent has arrived and was dealt with.
const ARRIVED: Duration = Duration::from_millis(100);

/// A request that is served at once.
const READ: &str = "GET /read/7 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\r\n";

/// A caller's connection.
struct Caller(TcpStream);

/// What a caller got, with a length.
struct Reply {
    status: u16,
    closes: bool,
}

impl Caller {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("it listens");
        stream
            .set_read_timeout(Some(IN_FORCE))
            .expect("a valid time");
        stream.set_nodelay(true).expect("it is open");
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
        let mut body = vec![0; length.expect("a length")];
        self.0.read_exact(&mut body)?;
        Ok(Reply {
            status: head[9..12].parse().expect("a status"),
            closes: field("connection:").is_some_and(|value| value.trim() == "close"),
        })
    }

    fn ask(&mut self, text: &str) -> io::Result<Reply> {
        self.send(text)?;
        self.reply()
    }
}

struct Unread {
    kept: bool,
    head: &'static str,
    body: &'static [&'static str],
    status: u16,
}

#[rstest]
#[case::no_key(Unread {
    kept: false,
    head: "POST /save/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\n",
    body: &["abc", "def", "ghi"],
    status: 401,
})]
#[case::no_route(Unread {
    kept: false,
    head: "POST /x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\n",
    body: &["abc", "def", "ghi"],
    status: 404,
})]
#[case::in_chunks(Unread {
    kept: false,
    head: "POST /x HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n",
    body: &["3\r\nabc\r\n", "3\r\ndef\r\n", "0\r\n\r\n"],
    status: 404,
})]
#[case::in_chunks_at_once(Unread {
    kept: false,
    head: "POST /x HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n\
           3\r\nabc\r\n3\r\ndef\r\n3\r\nghi\r\n0\r\n\r\n",
    body: &[],
    status: 404,
})]
#[case::kept(Unread {
    kept: true,
    head: "POST /x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\n",
    body: &["abc", "def", "ghi"],
    status: 404,
})]
fn a_refusal_before_the_body_has_come_keeps_the_connection(#[case] case: Unread) {
    let net = Net::start(1);
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    if case.kept {
        assert_eq!(caller.ask(READ).expect("an answer").status, 200);
    }
    caller.send(case.head).expect("it is open");
    for piece in case.body {
        thread::sleep(ARRIVED);
        caller.send(piece).expect("it is still open");
    }
    thread::sleep(ARRIVED);
    let reply = caller.reply().expect("an answer");
    assert_eq!((reply.status, reply.closes), (case.status, false));
    assert_eq!(caller.ask(READ).expect("an answer").status, 200);
}

/// A caller reads its answer only when it has sent the whole body, which is too large.
#[test]
fn a_body_that_is_too_large_is_refused_and_not_reset() {
    let net = Net::start(1);
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    let head = "POST /save/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n";
    caller
        .send(&format!("{head}content-length: 400000\r\n\r\n"))
        .expect("it is open");
    for _ in 0..40 {
        caller.send(&"x".repeat(10_000)).expect("it is still open");
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(caller.reply().expect("an answer").status, 413);
    assert_eq!(net.runs(), 0);
}

/// A head that arrives in two parts.
const HALVES: (&str, &str) = READ.split_at("GET /read/7 HTTP/1.1".len());

/// A request and the first part of another one.
const READ_AND_HALF: &str =
    "GET /read/7 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\r\nGET /read/7 HTTP/1.1";

struct LetIn {
    before: &'static str,
    answered: bool,
    after: &'static str,
}

/// The load: callers that the platform sent here just before the stop, or that keep a connection
/// and have not heard of the stop yet.
#[rstest]
#[case::new(LetIn { before: "", answered: false, after: READ })]
#[case::kept(LetIn { before: READ, answered: true, after: READ })]
#[case::half_a_head(LetIn { before: HALVES.0, answered: false, after: HALVES.1 })]
#[case::half_a_head_kept(LetIn { before: READ_AND_HALF, answered: true, after: HALVES.1 })]
fn a_caller_that_is_in_before_a_stop_is_served(#[case] case: LetIn) {
    let mut net = Net::start(1);
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    caller.send(case.before).expect("it is open");
    if case.answered {
        assert_eq!(caller.reply().expect("an answer").status, 200);
    }
    thread::sleep(ARRIVED);
    let later = thread::spawn(move || {
        thread::sleep(ARRIVED);
        caller.ask(case.after)
    });
    assert!(net.0.gateways[0].drain());
    let reply = later.join().expect("it ends").expect("an answer");
    assert_eq!((reply.status, reply.closes), (200, true));
}

struct Unended {
    path: &'static str,
}

/// The load: targets that are still at work when the time for a stop is over.
#[rstest]
#[case::read(Unended { path: "/read/1" })]
#[case::write(Unended { path: "/save/1" })]
#[case::stream(Unended { path: "/stream/1" })]
fn what_a_stop_does_not_wait_for_is_told_so(#[case] case: Unended) {
    let mut net = Net::with(1, |settings| settings.stop_s = 1.0);
    net.set([Mode::Mute; 2]);
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    let fields = "host: a.example\r\ncredential: secret\r\ncontent-length: 0";
    let request = format!("POST {} HTTP/1.1\r\n{fields}\r\n\r\n", case.path);
    let asked = thread::spawn(move || caller.ask(&request));
    eventually("it runs", || net.runs() == 1);
    assert!(!net.0.gateways[0].drain());
    let reply = asked.join().expect("it ends").expect("an answer");
    assert_eq!((reply.status, reply.closes), (504, true));
}

/// How long a caller has been there when its request comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    /// It has had an answer.
    Answered,
    /// It has connected.
    Connected,
    /// It has sent a part of the head.
    Begun,
    /// It connects with its request.
    New,
}

struct Late {
    known: Known,
    /// Whether the gateway is told to stop.
    stop: bool,
    /// When it stalls.
    at: u64,
}

/// The load: a gateway that is late itself where it closes connections, while requests lie unread.
#[rstest]
#[case::idle_limit_kept(Late { known: Known::Answered, stop: false, at: 400 })]
#[case::idle_limit(Late { known: Known::Connected, stop: false, at: 400 })]
#[case::idle_limit_begun(Late { known: Known::Begun, stop: false, at: 400 })]
#[case::stop_begun(Late { known: Known::Begun, stop: true, at: 0 })]
#[case::stop_kept(Late { known: Known::Answered, stop: true, at: 0 })]
#[case::stop(Late { known: Known::Connected, stop: true, at: 0 })]
#[case::stop_new(Late { known: Known::New, stop: true, at: 0 })]
#[case::last_callers(Late { known: Known::New, stop: true, at: 2_450 })]
fn what_comes_while_a_gateway_is_late_is_answered(#[case] case: Late) {
    let mut net = Net::start(1);
    let address = net.0.gateways[0].addresses.http;
    let mut caller = (case.known != Known::New).then(|| Caller::connect(address));
    let mut request = READ;
    match (case.known, &mut caller) {
        (Known::Answered, Some(caller)) => {
            assert_eq!(caller.ask(READ).expect("an answer").status, 200);
        }
        (Known::Begun, Some(caller)) => {
            caller.send(HALVES.0).expect("it is open");
            request = HALVES.1;
        }
        _ => {}
    }
    let stall = net.0.gateways[0].staller();
    let late = thread::spawn(move || {
        thread::sleep(Duration::from_millis(case.at));
        stall(Duration::from_millis(600));
        thread::sleep(Duration::from_millis(250));
        let caller = caller.get_or_insert_with(|| Caller::connect(address));
        caller.ask(request)
    });
    thread::sleep(ARRIVED);
    if case.stop {
        assert!(net.0.gateways[0].drain());
    }
    let reply = late.join().expect("it ends").expect("an answer");
    assert_eq!((reply.status, reply.closes), (200, case.stop));
}

struct Change {
    path: &'static str,
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
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(300);
    }
    config["limits"]["idleTimeoutMs"] = json!(200);
    put(net, &config);
}

fn drop_service(net: &Net, mut config: Value) {
    for route in config["routes"].as_array_mut().expect("routes") {
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

/// The load: the configuration changes while answers are on their way.
#[rstest]
#[case::no_route(Change { path: "/save/1", tokens: "80000", change: drop_route })]
#[case::no_key(Change { path: "/save/1", tokens: "80000", change: drop_key })]
#[case::shorter(Change { path: "/save/1", tokens: "80000", change: shorten })]
#[case::no_service(Change { path: "/save/1", tokens: "80000", change: drop_service })]
#[case::no_target(Change { path: "/save/1", tokens: "80000", change: drop_targets })]
#[case::moved(Change { path: "/save/1", tokens: "80000", change: move_targets })]
#[case::stream_without_route(Change { path: "/stream/1", tokens: "80000", change: drop_route })]
#[case::stream_without_target(Change { path: "/stream/1", tokens: "80000", change: drop_targets })]
#[case::resumable(Change { path: "/stream/resume/1", tokens: "80000", change: drop_service })]
fn a_change_of_the_configuration_ends_no_answer(#[case] case: Change) {
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
        let asked = scope.spawn(|| net.ask("POST", case.path, &fields));
        eventually("it runs", || net.runs() == 1);
        (case.change)(&net, config(2, &["secret"]));
        eventually("it is in force", || net.status(0)["generation"] == 2);
        assert!(!asked.is_finished());
        let answer = asked.join().expect("it ends").expect("an answer");
        assert_eq!((answer.status, answer.whole), (200, true));
    });
}

struct Silence {
    method: &'static str,
    path: &'static str,
}

/// A target reads a prompt for longer than a connection without a sign of life is kept.
#[rstest]
#[case::write(Silence { method: "POST", path: "/save/1" })]
#[case::stream(Silence { method: "POST", path: "/stream/1" })]
fn an_answer_that_begins_late_is_waited_for(#[case] case: Silence) {
    let net = Net::start(1);
    let fields = [HOST, KEY, ID, ("prompt-prefix", "1:250000")];
    let answer = net.ask(case.method, case.path, &fields).expect("an answer");
    assert_eq!((answer.status, answer.whole), (200, true));
}

struct Claim {
    tokens: &'static str,
    parts: &'static str,
}

#[rstest]
#[case::input(Claim { tokens: "18446744073709551615,8", parts: "1:8,2:8" })]
#[case::output(Claim { tokens: "8,18446744073709551615", parts: "1:8,2:8" })]
#[case::parts(Claim { tokens: "8,8", parts: "1:18446744073709551615,2:18446744073709551615,3:1" })]
fn a_claim_of_any_size_gets_an_answer(#[case] case: Claim) {
    let net = Net::start(1);
    let fields = format!(
        "host: a.example\r\ncredential: secret\r\ntoken-count: {}\r\nprompt-prefix: {}",
        case.tokens, case.parts
    );
    // The target would read all of it for long; what matters is that the gateway goes on.
    let mut caller = Caller::connect(net.0.gateways[0].addresses.http);
    let head = format!("GET /read/7 HTTP/1.1\r\n{fields}\r\ndeadline: 200\r\n\r\n");
    assert!(caller.ask(&head).is_ok());
    assert_eq!(caller.ask(READ).expect("an answer").status, 200);
}

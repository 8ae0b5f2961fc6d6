//! Gateways over loopback: the store, targets that register themselves, and callers.

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
use net::{
    HOST,
    ID,
    IN_FORCE,
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
        EVENTS,
        Instance,
        Mode, //
    }, //
};

#[test]
fn a_target_gets_the_account_and_not_the_key() {
    let net = Net::start(1);
    let fields = [HOST, KEY, ID, ("tenant", "other"), ("expect-version", "9")];
    let answer = net.ask("GET", "/read/7", &fields).expect("an answer");
    assert_eq!((answer.status, answer.whole), (200, true));
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
fn what_the_rules_do_not_allow_is_rejected_unrun(#[case] case: Rejected) {
    let net = Net::start(1);
    let answer = net
        .ask(case.method, case.path, case.fields)
        .expect("an answer");
    assert_eq!(answer.status, case.status);
    assert_eq!(net.runs(), 0);
}

#[test]
fn large_bodies_and_heads_are_rejected_unrun() {
    let net = Net::start(1);
    let address = net.0.gateways[0].addresses.http;
    let runtime = Runtime::new().expect("a runtime");
    let body = vec![b'x'; 1_001];
    let answer = runtime.block_on(Client::new(address).send("POST", "/save/1", &[HOST, KEY], body));
    assert_eq!(answer.expect("an answer").status, 413);
    let long = "x".repeat(9_000);
    let fields = [HOST, KEY, ("x-long", &long)];
    let answer = net.ask("GET", "/read/7", &fields).expect("an answer");
    assert_eq!(answer.status, 431);
    assert_eq!(net.runs(), 0);
}

struct Quiet {
    sent: &'static str,
}

#[rstest]
#[case::nothing(Quiet { sent: "" })]
#[case::half_a_head(Quiet { sent: "GET /read/7 HTTP/1.1\r\nhost: a.ex" })]
#[case::between_requests(Quiet { sent: "GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n" })]
fn an_idle_connection_is_closed(#[case] case: Quiet) {
    let net = Net::start(1);
    let mut stream = TcpStream::connect(net.0.gateways[0].addresses.http).expect("it listens");
    stream
        .set_read_timeout(Some(IN_FORCE))
        .expect("a valid time");
    stream.write_all(case.sent.as_bytes()).expect("it is sent");
    let begun = Instant::now();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("it is closed");
    assert!(begun.elapsed() >= Duration::from_millis(600));
    assert_eq!(net.runs(), 0);
}

/// The load: more callers than the gateway may keep connections open for.
#[test]
fn connections_of_a_crowd_close_after_refusals() {
    let net = Net::with(1, |settings| settings.connections = Some(2));
    let runtime = Runtime::new().expect("a runtime");
    let address = net.0.gateways[0].addresses.http;
    let mut clients: Vec<_> = (0..4).map(|_| Client::new(address)).collect();
    let mut closes = |path| {
        let closes = clients.iter_mut().map(|client| {
            let answer = runtime.block_on(client.send("GET", path, &[HOST, KEY, ID], ""));
            let answer = answer.expect("an answer");
            answer.headers.contains_key("connection")
        });
        closes.collect::<Vec<_>>()
    };
    assert_eq!(closes("/read/1"), [false; 4]);
    // The connections that are closed make room for the others.
    assert_eq!(closes("/nowhere"), [true, true, false, false]);
}

/// The load: more callers than the gateway can bear. Those that are in are served, and the next
/// one gets in when another one leaves; until then the platform is told to send callers elsewhere.
#[test]
fn callers_beyond_the_last_place_wait_outside() {
    let net = Net::with(1, |settings| settings.connections = Some(2));
    let address = net.0.gateways[0].addresses.http;
    let is_ready = || {
        let runtime = Runtime::new().expect("a runtime");
        let admin = net.0.gateways[0].addresses.admin;
        let answer = runtime.block_on(Client::new(admin).send("GET", "/readyz", &[], ""));
        answer.expect("the page answers").status == 200
    };
    let mut inside: Vec<_> = (0..5)
        .map(|_| TcpStream::connect(address).expect("it listens"))
        .collect();
    thread::sleep(Duration::from_millis(100));
    let late = thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(Client::new(address).send("GET", "/read/1", &[HOST, KEY, ID], ""))
    });
    thread::sleep(Duration::from_millis(200));
    assert!(!late.is_finished());
    assert!(!is_ready());
    inside.pop();
    let answer = late.join().expect("it ends").expect("an answer");
    assert_eq!(answer.status, 200);
    drop(inside);
    eventually("it takes callers again", is_ready);
}

struct Fault {
    path: &'static str,
    method: &'static str,
    modes: [Mode; 2],
    status: u16,
    runs: usize,
}

#[rstest]
#[case::refused_once(Fault { method: "POST", path: "/save/1", modes: [Mode::Refuse, Mode::Serve], status: 200, runs: 1 })]
#[case::all_refuse(Fault { method: "POST", path: "/save/1", modes: [Mode::Refuse; 2], status: 503, runs: 0 })]
#[case::write_breaks(Fault { method: "POST", path: "/save/1", modes: [Mode::Break; 2], status: 502, runs: 1 })]
#[case::write_fails(Fault { method: "POST", path: "/save/1", modes: [Mode::Fail; 2], status: 500, runs: 1 })]
#[case::write_is_shed(Fault { method: "POST", path: "/save/1", modes: [Mode::Shed; 2], status: 502, runs: 1 })]
#[case::write_is_mute(Fault { method: "POST", path: "/save/1", modes: [Mode::Mute; 2], status: 504, runs: 1 })]
#[case::read_breaks(Fault { method: "GET", path: "/read/1", modes: [Mode::Break; 2], status: 502, runs: 2 })]
#[case::read_fails(Fault { method: "GET", path: "/read/1", modes: [Mode::Fail; 2], status: 500, runs: 2 })]
fn answers_are_true_about_what_ran(#[case] case: Fault) {
    let net = Net::start(1);
    net.set(case.modes);
    // Whichever target is tried first.
    for swapped in [false, true] {
        if swapped {
            net.set([case.modes[1], case.modes[0]]);
        }
        let before = net.runs();
        let answer = net
            .ask(case.method, case.path, &[HOST, KEY, ID])
            .expect("an answer");
        assert_eq!(
            (answer.status, net.runs() - before),
            (case.status, case.runs)
        );
        let retry = answer.headers.contains_key("retry-after");
        assert_eq!(retry, case.status == 503);
    }
}

/// The load: one target breaks every answer, and the other one is full of what is tried again,
/// so some requests that may have run wait for room that does not come.
#[test]
fn nothing_that_ran_is_refused_as_not_run() {
    let net = Net::with(1, |settings| settings.retries = 1_000);
    net.set([Mode::Break, Mode::Mute]);
    let address = net.0.gateways[0].addresses.http;
    let ids: Vec<_> = (0..300).map(|i| format!("r{i}")).collect();
    let runtime = Runtime::new().expect("a runtime");
    let statuses = runtime.block_on(join_all(ids.iter().map(|id| async move {
        let mut client = Client::new(address);
        let fields = [HOST, KEY, ("request-id", id.as_str())];
        let answer = client.send("GET", "/read/1", &fields, "").await;
        answer.expect("an answer").status
    })));
    let runs = net.0.targets.iter().flat_map(Instance::runs);
    let ran: Vec<_> = runs.map(|fields| fields["request-id"].clone()).collect();
    let answers = ids.iter().zip(&statuses);
    let untrue = answers.filter(|(id, status)| **status == 503 && ran.iter().any(|run| run == *id));
    assert_eq!(untrue.count(), 0);
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
    let all: Vec<_> = (1..=EVENTS).collect();
    let answer = net.get("/stream/1");
    assert_eq!((ids(&answer), answer.whole), (all.clone(), true));
    net.set([Mode::Break; 2]);
    let answer = net.get("/stream/2");
    assert_eq!((ids(&answer).len(), answer.whole), (3, false));
    // Two attempts have three events each; the route allows no third one.
    let answer = net.get("/stream/resume/3");
    assert_eq!((ids(&answer), answer.whole), ((1..=6).collect(), false));
}

/// Two gateways take the requests of a session in turn, and no engine reads its parts twice.
#[test]
fn gateways_send_a_session_where_its_parts_are_kept() {
    let net = Net::start(2);
    let runtime = Runtime::new().expect("a runtime");
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
        assert_eq!(runtime.block_on(send).expect("an answer").status, 200);
    }
    let read: u64 = net.0.targets.iter().map(Instance::read).sum();
    assert_eq!(read, 2_000 + 6 * 10);
}

struct Leaving {
    path: &'static str,
    mode: Mode,
}

#[rstest]
#[case::waiting(Leaving { path: "/read/7", mode: Mode::Mute })]
#[case::streaming(Leaving { path: "/stream/7", mode: Mode::Serve })]
fn the_work_of_a_caller_that_has_gone_stops(#[case] case: Leaving) {
    let net = Net::start(1);
    net.set([case.mode; 2]);
    let address = net.0.gateways[0].addresses.http;
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut client = Client::new(address);
        let fields = [HOST, KEY, ID];
        let send = client.send("GET", case.path, &fields, "");
        let gone = timeout(Duration::from_millis(40), send).await;
        assert!(gone.is_err(), "it still runs");
    });
    // The runtime and its connection end here.
    drop(runtime);
    let left = || net.0.targets.iter().map(Instance::left).sum::<u32>();
    eventually("the target stops", || left() == 1);
    eventually("nothing is kept", || net.status(0)["requests"] == 0);
}

#[test]
fn targets_that_leave_get_nothing_more() {
    let net = Net::start(1);
    net.register("i-1", 0, "draining");
    net.0.items.remove("servers/i-2");
    eventually("no target is left", || net.get("/read/1").status == 503);
    let runs = net.runs();
    for i in 0..5 {
        assert_eq!(net.get(&format!("/read/{i}")).status, 503);
    }
    assert_eq!(net.runs(), runs);
}

/// Another target has taken over an address, and the store does not know it yet.
#[test]
fn an_address_that_is_used_again_gets_nothing_for_its_old_target() {
    let net = Net::start(1);
    net.register("i-0", 1, "ready");
    thread::sleep(Duration::from_secs(1));
    for i in 0..8 {
        let answer = net.ask("POST", &format!("/save/{i}"), &[HOST, KEY, ID]);
        assert_eq!(answer.expect("an answer").status, 200);
    }
    assert_eq!(net.runs(), 8);
}

#[test]
fn gateways_find_each_other_and_miss_those_that_leave() {
    let mut net = Net::start(3);
    for i in 0..3 {
        eventually("all are known", || net.status(i)["peers"] == 2);
    }
    assert!(net.0.gateways[2].drain());
    for i in 0..2 {
        eventually("one has left", || net.status(i)["peers"] == 1);
    }
}

/// Every line that any test of this file has logged.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut lines = self.0.lock().expect("no holder panics");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// A gateway that stops keeps telling what it still has at the targets.
#[test]
fn a_leaving_gateway_is_missed_once() {
    if log::set_logger(&LINES).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
    // No other test has as many gateways, so the address of the fourth is its own.
    let mut net = Net::start(4);
    eventually("all are known", || net.status(0)["peers"] == 3);
    assert!(net.0.gateways[3].drain());
    thread::sleep(Duration::from_millis(300));
    let lines = LINES.0.lock().expect("no holder panics");
    let count = |event: &str| {
        let line = format!("event={event} peer=127.0.0.4");
        lines
            .iter()
            .filter(|other| other.starts_with(&line))
            .count()
    };
    assert_eq!((count("peer-joined"), count("peer-left")), (3, 3));
}

struct Stop {
    path: &'static str,
    mode: Mode,
    status: u16,
}

#[rstest]
#[case::short(Stop { path: "/stream/1", mode: Mode::Serve, status: 200 })]
#[case::longer_than_callers_come(Stop { path: "/read/1", mode: Mode::Mute, status: 504 })]
fn a_graceful_stop_ends_what_has_begun(#[case] case: Stop) {
    let mut net = Net::start(1);
    net.set([case.mode; 2]);
    let address = net.0.gateways[0].addresses.http;
    let caller = thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(Client::new(address).send("GET", case.path, &[HOST, KEY, ID], ""))
    });
    eventually("it runs", || net.runs() == 1);
    assert!(net.0.gateways[0].drain());
    let answer = caller.join().expect("the caller ends").expect("an answer");
    assert_eq!((answer.status, answer.whole), (case.status, true));
}

//! Tests of what targets get of requests whose callers have closed their connections.

mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use compio::runtime::Runtime;
use net::{
    Net,
    config,
    eventually, //
};
use rstest::rstest;
use serde_json::json;
use socket2::{
    Domain,
    SockRef,
    Socket,
    Type, //
};
use standin::{
    client::Client,
    gateways::register,
    instance::Mode, //
};

/// Longer than a gateway relies on what it knows of a caller, and shorter than the timeout for
/// connecting to a target.
const CLOSE_TIME: Duration = Duration::from_millis(60);

/// The time for which a gateway gets no processor time.
const STALL_TIME: Duration = Duration::from_millis(400);

/// The answer of a target that has not run the request.
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\nrequest-id: gone\r\n\
                       content-length: 0\r\n\r\n";

/// The beginning of a stream: its head and an event.
const STREAM: &str = "HTTP/1.1 200 OK\r\nrequest-id: gone\r\ncontent-type: text/event-stream\r\n\
                      transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";

/// How a caller leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    Close,
    Reset,
    /// It closes after it has sent another request.
    ClosePipelined,
    ResetPipelined,
}

impl Leave {
    /// Connects, and sends a request with the id `gone`.
    fn send(self, address: SocketAddr, path: &str) -> TcpStream {
        let fields = "host: a.example\r\ncredential: secret";
        let mut text = format!("GET {path} HTTP/1.1\r\n{fields}\r\nrequest-id: gone\r\n\r\n");
        if self.is_pipelined() {
            text += &format!("GET {path} HTTP/1.1\r\n{fields}\r\nrequest-id: next\r\n\r\n");
        }
        let mut stream = TcpStream::connect(address).expect("the gateway accepts connections");
        stream
            .write_all(text.as_bytes())
            .expect("the connection is open");
        stream
    }

    fn is_pipelined(self) -> bool {
        matches!(self, Self::ClosePipelined | Self::ResetPipelined)
    }

    fn leave(self, caller: TcpStream) {
        if matches!(self, Self::Reset | Self::ResetPipelined) {
            SockRef::from(&caller)
                .set_linger(Some(Duration::ZERO))
                .expect("the socket is open");
        }
    }
}

/// What a target does with its first request once it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// It says that it has not run the request.
    Refuse,
    /// It closes the connection without an answer.
    Lose,
    /// It breaks off a stream that it has begun.
    Break,
}

#[derive(Debug, Default)]
struct State {
    /// The requests that have arrived.
    requests: usize,
    released: bool,
    /// Whether the connection of the first request was closed by the gateway.
    left: bool,
}

/// A target that holds its first request until it is released.
#[derive(Clone, Debug, Default)]
struct HeldTarget(Arc<(Mutex<State>, Condvar)>);

impl HeldTarget {
    fn serve(&self, listener: TcpListener, fault: Fault) {
        let target = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = target.clone();
                thread::spawn(move || target.handle(stream, fault));
            }
        });
    }

    fn handle(&self, mut stream: TcpStream, fault: Fault) -> std::io::Result<()> {
        if stream.read(&mut [0; 4_096])? == 0 {
            return Ok(());
        }
        self.state().requests += 1;
        if self.state().requests > 1 {
            return stream.write_all(REFUSAL.as_bytes());
        }
        if fault == Fault::Break {
            stream.write_all(STREAM.as_bytes())?;
        }
        let (target, mut reader) = (self.clone(), stream.try_clone()?);
        thread::spawn(move || {
            let ended = !matches!(reader.read(&mut [0; 1]), Ok(1));
            let mut state = target.state();
            state.left = ended && !state.released;
        });
        let state = self.0.1.wait_while(self.state(), |state| !state.released);
        drop(state.expect("no holder of the lock panics"));
        if fault == Fault::Refuse {
            return stream.write_all(REFUSAL.as_bytes());
        }
        stream.shutdown(std::net::Shutdown::Both)
    }

    fn release(&self) {
        self.state().released = true;
        self.0.1.notify_all();
    }

    fn requests(&self) -> usize {
        self.state().requests
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.0.lock().expect("no holder of the lock panics")
    }
}

/// Returns a listener whose queue of new connections is full, and the connections that fill it.
fn dark_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket opens");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("the address is valid");
    socket.bind(&any.into()).expect("a port is free");
    socket.listen(0).expect("the socket listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("the listener has an address");
    let mut fillers = Vec::new();
    while let Ok(filler) = TcpStream::connect_timeout(&address, CLOSE_TIME) {
        fillers.push(filler);
    }
    (listener, fillers)
}

/// Replaces the targets of a region by two at the same address.
fn replace_targets(net: &Net, address: SocketAddr) {
    for target in &net.0.targets {
        net.0.items.remove(&format!("servers/{}", target.name));
    }
    for name in ["held-1", "held-2"] {
        register(&net.0.items, name, "web", address, "ready");
    }
    net.configure(2, &["secret"]);
    eventually("the new targets are known", || {
        net.status(0)["generation"] == 2
    });
}

fn metrics(net: &Net) -> String {
    let address = net.0.gateways[0].addresses.admin;
    let runtime = Runtime::new().expect("a runtime starts");
    let answer = runtime.block_on(Client::new(address).send("GET", "/metrics", &[], ""));
    let answer = answer.expect("the metrics page answers");
    String::from_utf8(answer.body.to_vec()).expect("the metrics are text")
}

/// Waits until the gateway has ended all requests.
fn await_end(net: &Net) {
    eventually("all requests have ended", || net.status(0)["requests"] == 0);
}

struct LostAttempt {
    path: &'static str,
    fault: Fault,
}

/// A request was sent again at another target although its caller had closed its connection.
#[rstest]
#[case::refused(LostAttempt { path: "/read/1", fault: Fault::Refuse })]
#[case::lost(LostAttempt { path: "/read/1", fault: Fault::Lose })]
#[case::stream(LostAttempt { path: "/stream/resume/1", fault: Fault::Break })]
fn no_request_is_retried_after_its_caller_has_closed(
    #[case] case: LostAttempt,
    #[values(
        Leave::Close,
        Leave::Reset,
        Leave::ClosePipelined,
        Leave::ResetPipelined
    )]
    leave: Leave,
) {
    let net = Net::start(1);
    let target = HeldTarget::default();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    replace_targets(&net, listener.local_addr().expect("it has an address"));
    target.serve(listener, case.fault);
    let caller = leave.send(net.0.gateways[0].addresses.http, case.path);
    eventually("the target gets the request", || target.requests() == 1);
    leave.leave(caller);
    thread::sleep(CLOSE_TIME);
    target.release();
    await_end(&net);
    assert_eq!(target.requests(), 1, "{leave:?}");
}

/// A request was sent once its target accepted connections, long after its caller had closed.
#[rstest]
#[ignore = "listed in KNOWN-RED.txt"]
fn no_request_is_sent_when_its_caller_closed_while_connecting(
    #[values(
        Leave::Close,
        Leave::Reset,
        Leave::ClosePipelined,
        Leave::ResetPipelined
    )]
    leave: Leave,
) {
    let net = Net::start(1);
    let target = HeldTarget::default();
    let (listener, fillers) = dark_listener();
    replace_targets(&net, listener.local_addr().expect("it has an address"));
    let caller = leave.send(net.0.gateways[0].addresses.http, "/read/1");
    eventually("the request is on its way", || {
        net.status(0)["requests"] == 1
    });
    leave.leave(caller);
    target.serve(listener, Fault::Refuse);
    target.release();
    await_end(&net);
    assert_eq!(target.requests(), 0, "{leave:?}");
    drop(fillers);
}

/// A request was sent when a place became free, although its caller had closed its connection.
#[rstest]
fn no_request_is_sent_from_the_queue_after_its_caller_has_closed(
    #[values(
        Leave::Close,
        Leave::Reset,
        Leave::ClosePipelined,
        Leave::ResetPipelined
    )]
    leave: Leave,
) {
    let net = Net::start(1);
    let mut patient = config(2, &["secret"]);
    for route in patient["routes"].as_array_mut().expect("there are routes") {
        route["targetLatencyMs"] = json!(9_000);
        route["timeoutMs"] = json!(20_000);
    }
    net.0.items.put("op/config", &patient);
    eventually("the new configuration is in force", || {
        net.status(0)["generation"] == 2
    });
    net.set_modes([Mode::Hang; 2]);
    let address = net.0.gateways[0].addresses.http;
    let is_waiting = || {
        let status = net.status(0);
        let waiting = status["waiting"].as_array().expect("it is a list");
        waiting.iter().any(|entry| entry[1] != 0)
    };
    let mut callers = Vec::new();
    while !is_waiting() {
        let sent = callers.len() + 1;
        callers.push(Leave::Close.send(address, "/read/1"));
        eventually("the request is queued or sent", || {
            net.run_count() == sent || is_waiting()
        });
    }
    let running = net.run_count();
    let mut caller = callers.pop().expect("a caller waits");
    if leave.is_pipelined() {
        let next = "GET /read/1 HTTP/1.1\r\nhost: a.example\r\n\r\n";
        caller
            .write_all(next.as_bytes())
            .expect("the connection is open");
    }
    leave.leave(caller);
    thread::sleep(CLOSE_TIME);
    drop(callers);
    await_end(&net);
    assert_eq!(net.run_count(), running, "{leave:?}");
}

/// A request lay unread while the gateway had no processor time, and was sent on a kept connection
/// though its caller had closed meanwhile.
#[rstest]
fn no_request_is_sent_that_is_read_after_its_caller_has_closed(
    #[values(
        Leave::Close,
        Leave::Reset,
        Leave::ClosePipelined,
        Leave::ResetPipelined
    )]
    leave: Leave,
) {
    let net = Net::start(1);
    // These requests leave a kept connection.
    net.get("/read/1");
    net.get("/read/1");
    let runs = net.run_count();
    let address = net.0.gateways[0].addresses.http;
    net.0.gateways[0].stall(STALL_TIME);
    thread::sleep(CLOSE_TIME);
    leave.leave(leave.send(address, "/read/1"));
    let answer = net.get("/read/2");
    assert_eq!(answer.status, 200);
    await_end(&net);
    assert_eq!(net.run_count(), runs + 1, "{leave:?}");
}

/// A target worked on until the request's deadline for a caller that had closed its connection.
#[rstest]
#[case::plain(LostAttempt { path: "/save/1", fault: Fault::Lose })]
#[case::stream(LostAttempt { path: "/stream/1", fault: Fault::Break })]
#[ignore = "listed in KNOWN-RED.txt"]
fn a_target_is_left_when_the_caller_closes(
    #[case] case: LostAttempt,
    #[values(
        Leave::Close,
        Leave::Reset,
        Leave::ClosePipelined,
        Leave::ResetPipelined
    )]
    leave: Leave,
) {
    let net = Net::start(1);
    let target = HeldTarget::default();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    replace_targets(&net, listener.local_addr().expect("it has an address"));
    target.serve(listener, case.fault);
    let caller = leave.send(net.0.gateways[0].addresses.http, case.path);
    eventually("the target gets the request", || target.requests() == 1);
    leave.leave(caller);
    eventually("the gateway closes the connection", || target.state().left);
    target.release();
    await_end(&net);
    let metrics = metrics(&net);
    let gone = "redwingyard_requests_total{outcome=\"caller-gone\"} 1";
    assert!(metrics.contains(gone), "{leave:?}: {metrics}");
    assert!(metrics.contains("redwingyard_hangup_seconds_count 1"));
    assert!(metrics.contains("redwingyard_caller_age_seconds_count 1"));
}

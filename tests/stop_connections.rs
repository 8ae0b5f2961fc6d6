//! What callers get that connect to a gateway in the later part of its graceful stop.

mod child;
mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use child::Process;
use net::{
    Net,
    eventually, //
};
use redwingyard::pool::ACCEPT_GRACE;
use rustix::process::Signal;

/// The time limit of the stop.
const GRACE: Duration = Duration::from_secs(8);

/// A request that a target works on until the stop is nearly over.
const LONG: &str = "POST /save/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
                    content-length: 0\r\nprompt-prefix: 1:600000\r\n\r\n";

/// A request that a target answers at once.
const SHORT: &str = "GET /read/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
                     connection: close\r\n\r\n";

/// The time within which a caller must know that it is not served: one third of the shortest time
/// that callers wait, after which they try elsewhere.
const NOTICE_LIMIT: Duration = Duration::from_millis(500);

/// The number of callers that connect one after the other.
const CALLERS: u32 = 10;

/// How a caller's attempt ended.
#[derive(Debug)]
enum End {
    NotConnected,
    Answered(#[expect(dead_code, reason = "printed if the end is not allowed")] String),
    Cut,
}

/// Connects, sends a request and returns how that ended, and after what time.
fn ask(process: &Process) -> (End, Duration) {
    let start = Instant::now();
    let Ok(mut caller) = TcpStream::connect(process.http) else {
        return (End::NotConnected, start.elapsed());
    };
    caller
        .set_read_timeout(Some(GRACE))
        .expect("the read timeout is valid");
    let mut answer = String::new();
    let sent = caller.write_all(SHORT.as_bytes());
    let read = sent.and_then(|()| caller.read_to_string(&mut answer));
    let end = match read {
        Ok(_) if !answer.is_empty() => End::Answered(answer),
        _ => End::Cut,
    };
    (end, start.elapsed())
}

#[test]
fn callers_that_connect_late_in_a_stop_are_not_left_in_the_listen_queue() {
    let (net, mut settings) = Net::start_patient();
    settings.stop_s = GRACE.as_secs_f64();
    let mut process = Process::gateway(&settings, "stop-connections", None);
    let mut busy = TcpStream::connect(process.http).expect("the process listens");
    let before = net.run_count();
    busy.write_all(LONG.as_bytes())
        .expect("the connection is open");
    eventually("a target runs the request", || net.run_count() > before);
    process.signal(Signal::TERM);
    thread::sleep(ACCEPT_GRACE + Duration::from_millis(200));
    for caller in 0..CALLERS {
        let (end, took) = ask(&process);
        assert!(
            !matches!(end, End::Cut) && took < NOTICE_LIMIT,
            "caller {caller}: {end:?} after {took:?}"
        );
    }
    let running = process
        .child
        .try_wait()
        .expect("the child can be waited for");
    assert!(running.is_none(), "the process still stops: {running:?}");
    let mut answer = String::new();
    busy.read_to_string(&mut answer)
        .expect("the request in hand is answered");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

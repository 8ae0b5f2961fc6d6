//! What callers get from a gateway that lacks processor time when it reads their requests, so that it
//! knows only bounds of their deadlines.

mod child;
mod engines;
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
use engines::{
    ENGINE,
    engines,
    millis, //
};
use net::Net;
use redwingyard::pool::{
    Output,
    Pool,
    RequestSpec,
    Settings, //
};
use rstest::rstest;
use rustix::process::Signal;

/// The stage of a request when its deadline passes.
#[derive(Clone, Copy, Debug)]
enum Stage {
    Unanswered,
    Answering,
}

struct Expiry {
    stage: Stage,
    /// How late the process read the request, in milliseconds.
    read_delay: u64,
}

#[rstest]
#[case::unanswered(Expiry { stage: Stage::Unanswered, read_delay: 300 })]
#[case::answering(Expiry { stage: Stage::Answering, read_delay: 300 })]
#[case::unanswered_read_in_time(Expiry { stage: Stage::Unanswered, read_delay: 0 })]
#[case::answering_read_in_time(Expiry { stage: Stage::Answering, read_delay: 0 })]
fn a_request_is_not_ended_while_its_caller_may_wait(#[case] case: Expiry) {
    let mut pool = Pool::new(Settings::default());
    pool.set_targets(Duration::ZERO, engines(1));
    let deadline = millis(1_000);
    let (sequence, _) = pool.arrive(
        Duration::ZERO,
        RequestSpec {
            account: 7,
            service: ENGINE,
            attempts: 2,
            objective: millis(400),
            deadline,
            read_delay: millis(case.read_delay),
            ..RequestSpec::default()
        },
    );
    if let Stage::Answering = case.stage {
        pool.first_byte(millis(100), sequence);
    }
    let expired = (0..100).map(|tick| millis(20 * tick)).find(|now| {
        let outputs = pool.tick(*now);
        outputs.contains(&Output::Expire { sequence })
    });
    let waits_until = deadline + millis(case.read_delay);
    assert_eq!(expired, Some(waits_until), "{:?}", case.stage);
}

/// The time for which the gateway does not run before it reads a request.
const FREEZE: Duration = Duration::from_millis(300);

/// The time that a caller waits for its answer.
const BUDGET: Duration = Duration::from_millis(1_400);

struct Slow {
    /// Distinguishes the settings files of the cases.
    name: &'static str,
    path: &'static str,
    /// The time that a target takes until its answer begins, in tokens of the prompt. A stream takes 80 ms
    /// from there.
    tokens: u32,
    /// The end of a complete answer.
    end: &'static str,
}

/// The answers come or end after the earliest moment, and before the latest, at which the caller may
/// have stopped waiting, as the gateway knows it.
#[rstest]
#[case::plain(Slow { name: "plain", path: "/read/1", tokens: 120_000, end: "i-" })]
#[case::stream(Slow { name: "stream", path: "/stream/1", tokens: 120_000, end: "0\r\n\r\n" })]
#[case::stream_begun(Slow { name: "begun", path: "/stream/1", tokens: 107_000, end: "0\r\n\r\n" })]
fn a_late_gateway_does_not_end_answers_before_their_callers_deadlines(#[case] case: Slow) {
    let (_net, settings) = Net::start_patient();
    let process = Process::gateway(&settings, &format!("late-read-{}", case.name), None);
    let mut caller = TcpStream::connect(process.http).expect("the process listens");
    caller
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("the read timeout is valid");
    // The connection must be accepted before the process stands still.
    thread::sleep(Duration::from_millis(200));
    process.signal(Signal::STOP);
    thread::sleep(FREEZE);
    let (path, tokens, budget) = (case.path, case.tokens, BUDGET.as_millis());
    let sent = Instant::now();
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\nrequest-id: {}\r\n\
         deadline: {budget}\r\nprompt-prefix: 1:{tokens}\r\n\r\n",
        case.name
    );
    caller
        .write_all(request.as_bytes())
        .expect("the connection is open");
    process.signal(Signal::CONT);
    let (mut answer, mut part) = (String::new(), [0; 1024]);
    while !answer.contains(case.end) {
        match caller.read(&mut part).expect("the answer arrives") {
            0 => break,
            read => answer.push_str(&String::from_utf8_lossy(&part[..read])),
        }
        if !answer.starts_with("HTTP/1.1 200 ") {
            break;
        }
    }
    let took = sent.elapsed();
    assert!(
        answer.starts_with("HTTP/1.1 200 ") && answer.contains(case.end),
        "after {took:?}: {answer}"
    );
}

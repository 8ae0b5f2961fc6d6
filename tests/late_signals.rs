//! What callers get from a process that notices the signal of its graceful stop late.

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
use redwingyard::pool::{
    STOP_MARGIN,
    Stop, //
};
use rstest::rstest;
use rustix::process::Signal;

/// The time limit of the stop.
const GRACE: Duration = Duration::from_secs(3);

/// The time for which the process gets no processor time.
const FREEZE: Duration = Duration::from_millis(600);

/// A request whose prompt a target reads for longer than the stop lasts.
const LONG: &str = "POST /save/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
                    content-length: 0\r\nprompt-prefix: 1:600000\r\n\r\n";

struct Bounds {
    /// How long the signal lay unnoticed, in milliseconds.
    late: u64,
    /// The stop timeout, in milliseconds.
    timeout: u64,
    /// The end of the stop after the signal, without the margin, in milliseconds.
    end: u64,
}

#[rstest]
#[case::noticed_at_once(Bounds { late: 0, timeout: 8_000, end: 8_000 })]
#[case::noticed_late(Bounds { late: 500, timeout: 8_000, end: 7_500 })]
#[case::noticed_so_late_that_the_reserve_shrinks(Bounds { late: 900, timeout: 7_200, end: 7_200 })]
#[case::noticed_so_late_that_part_is_reserved(Bounds { late: 700, timeout: 7_200, end: 7_000 })]
#[case::noticed_after_half_of_the_time(Bounds { late: 4_300, timeout: 8_300, end: 8_300 })]
#[case::noticed_too_late(Bounds { late: 9_000, timeout: 8_000, end: 8_000 })]
#[case::shorter_than_the_margin(Bounds { late: 0, timeout: 100, end: 300 })]
fn a_stop_ends_as_much_sooner_as_its_signal_was_noticed_late(#[case] case: Bounds) {
    let begun = Duration::from_secs(60);
    let noticed = begun + Duration::from_millis(case.late);
    let stop = Stop::new(begun, noticed, Duration::from_millis(case.timeout));
    let end = begun + Duration::from_millis(case.end);
    assert_eq!(stop.end() + STOP_MARGIN, end);
}

#[test]
fn a_process_that_notices_a_stop_late_answers_and_ends_before_it_is_killed() {
    let (net, mut settings) = Net::start_patient();
    settings.stop_s = GRACE.as_secs_f64();
    let mut process = Process::gateway(&settings, "late-signal", None);
    let mut caller = TcpStream::connect(process.http).expect("the process listens");
    caller
        .set_read_timeout(Some(2 * GRACE))
        .expect("the read timeout is valid");
    let before = net.run_count();
    caller
        .write_all(LONG.as_bytes())
        .expect("the connection is open");
    eventually("a target runs the request", || net.run_count() > before);
    process.signal(Signal::STOP);
    process.signal(Signal::TERM);
    let sent = Instant::now();
    thread::sleep(FREEZE);
    process.signal(Signal::CONT);
    let mut answer = String::new();
    let read = caller.read_to_string(&mut answer);
    process.child.wait().expect("the process ends");
    let took = sent.elapsed();
    assert!(
        read.is_ok() && answer.starts_with("HTTP/1.1 504 "),
        "{answer}"
    );
    assert!(took < GRACE, "the process would be killed: {took:?}");
}

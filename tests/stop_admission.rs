//! Which requests a gateway lets in during its graceful stop.

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
use net::Net;
use redwingyard::pool::Stop;
use rstest::rstest;
use rustix::process::Signal;

/// The time limit of the stop.
const GRACE: Duration = Duration::from_secs(4);

struct Admission {
    /// How long the signal lay unnoticed, in milliseconds.
    late: u64,
    /// When the request is read, in milliseconds since the signal.
    at: u64,
    /// When it arrived at the earliest, in milliseconds since the signal.
    arrived: u64,
    /// When it must have ended, in milliseconds since the signal.
    latest: u64,
    /// How long it is expected to take, in milliseconds.
    expected: u64,
    admitted: bool,
}

/// A request in the time in which callers still come.
const EARLY: Admission = Admission {
    late: 0,
    at: 2_500,
    arrived: 2_500,
    latest: 12_000,
    expected: 1_000,
    admitted: true,
};

/// A request after that time.
const LATE: Admission = Admission {
    at: 2_600,
    arrived: 2_600,
    admitted: false,
    ..EARLY
};

#[rstest]
#[case::early(EARLY)]
#[case::early_and_too_long(Admission { expected: 5_200, admitted: false, ..EARLY })]
#[case::early_and_as_long_as_the_rest(Admission { expected: 5_199, ..EARLY })]
#[case::early_and_ends_by_its_deadline(Admission { expected: 9_000, latest: 7_700, ..EARLY })]
#[case::late(LATE)]
#[case::late_but_unread(Admission { at: 3_000, arrived: 2_599, admitted: true, ..EARLY })]
#[case::late_but_unread_and_long(Admission { at: 3_000, arrived: 2_599, expected: 2_400, admitted: false, ..EARLY })]
#[case::late_and_short(Admission { expected: 1, ..LATE })]
#[case::late_and_ends_by_its_deadline(Admission { latest: 7_700, admitted: true, ..LATE })]
#[case::late_and_may_outlast_the_stop(Admission { latest: 7_701, ..LATE })]
#[case::early_but_noticed_late(Admission { late: 500, expected: 4_700, admitted: false, ..EARLY })]
#[case::late_and_noticed_late(Admission { late: 500, ..LATE })]
#[case::ends_in_what_is_reserved(Admission { late: 500, latest: 7_201, ..LATE })]
#[case::ends_before_what_is_reserved(Admission { late: 500, latest: 7_200, admitted: true, ..LATE })]
fn a_stop_admits_what_it_can_expect_to_end_and_later_what_surely_ends(#[case] case: Admission) {
    let begun = Duration::from_secs(60);
    let after = |time| begun + Duration::from_millis(time);
    let stop = Stop::new(begun, after(case.late), Duration::from_secs(8));
    let expected = Duration::from_millis(case.expected);
    let admitted = stop.admits(
        after(case.at),
        after(case.arrived),
        after(case.latest),
        expected,
    );
    assert_eq!(admitted, case.admitted);
}

#[rstest]
#[case::early(EARLY)]
#[case::too_long(Admission { expected: 5_200, admitted: false, ..EARLY })]
#[case::late(Admission { admitted: true, ..LATE })]
#[case::late_and_too_long(Admission { expected: 5_100, ..LATE })]
#[case::ends_by_its_deadline(Admission { expected: 9_000, latest: 7_700, admitted: true, ..LATE })]
#[case::noticed_late(Admission { late: 500, expected: 4_600, ..LATE })]
fn an_attempt_in_a_stop_is_made_if_it_can_be_expected_to_end(#[case] case: Admission) {
    let begun = Duration::from_secs(60);
    let after = |time| begun + Duration::from_millis(time);
    let stop = Stop::new(begun, after(case.late), Duration::from_secs(8));
    let expected = Duration::from_millis(case.expected);
    let fits = stop.fits(after(case.at), after(case.latest), expected);
    assert_eq!(fits, case.admitted);
}

struct Late {
    /// Distinguishes the settings files of the cases.
    name: &'static str,
    /// When the request is sent after the signal, in milliseconds.
    at: u64,
    /// The time for which a target works on it, in tokens of its prompt.
    tokens: u32,
    /// The caller's time limit, in milliseconds.
    budget: u32,
    status: &'static str,
}

#[rstest]
#[case::usual(Late { name: "usual", at: 1_000, tokens: 1, budget: 12_000, status: "200" })]
#[case::longer_than_usual_and_late(Late { name: "longer", at: 2_800, tokens: 300_000, budget: 12_000, status: "503" })]
#[case::late_but_with_a_short_limit(Late { name: "limit", at: 2_800, tokens: 1, budget: 700, status: "200" })]
fn a_request_whose_head_ends_late_in_a_stop_is_refused_or_surely_ends(#[case] case: Late) {
    let (net, mut settings) = Net::start_patient();
    settings.stop_s = GRACE.as_secs_f64();
    let process = Process::gateway(&settings, &format!("admission-{}", case.name), None);
    let connect = || {
        let caller = TcpStream::connect(process.http).expect("the process listens");
        caller
            .set_read_timeout(Some(2 * GRACE))
            .expect("the read timeout is valid");
        caller
    };
    let request = |tokens: u32, budget: u32| {
        format!(
            "GET /stream/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
             deadline: {budget}\r\nprompt-prefix: {tokens}:{tokens}\r\nconnection: close\r\n\r\n"
        )
    };
    let send = |mut caller: &TcpStream, text: &str| {
        caller
            .write_all(text.as_bytes())
            .expect("the connection is open");
    };
    let answer = |mut caller: &TcpStream| {
        let mut answer = String::new();
        let _ = caller.read_to_string(&mut answer);
        answer
    };
    // The gateway has seen how long such requests take.
    for _ in 0..3 {
        let caller = connect();
        send(&caller, &request(1, 12_000));
        assert!(answer(&caller).contains(" 200 "));
    }
    let (caller, request) = (connect(), request(case.tokens, case.budget));
    let (early, late) = request.split_at(request.len() - 1);
    send(&caller, early);
    // The connection must be accepted before the stop.
    thread::sleep(Duration::from_millis(300));
    let before = net.run_count();
    process.signal(Signal::TERM);
    let start = Instant::now();
    thread::sleep(Duration::from_millis(case.at).saturating_sub(start.elapsed()));
    send(&caller, late);
    let answer = answer(&caller);
    assert_eq!(answer.get(9..12), Some(case.status), "{answer}");
    let ran = net.run_count() > before;
    assert_eq!(ran, case.status == "200", "{answer}");
}

//! Tests of what callers of a process get while it receives signals one after another.

mod child;
mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::TcpStream,
    process::ExitStatus,
    time::{
        Duration,
        Instant, //
    }, //
};

use child::Process;
use net::{
    IN_FORCE_LIMIT,
    Net,
    eventually, //
};
use rstest::rstest;
use rustix::process::Signal;

/// A request that a target answers at once.
const SHORT: &str = "GET /read/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\r\n";

/// A request whose prompt a target reads for 0.6 s.
const LONG: &str = "POST /save/1 HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\n\
                    content-length: 0\r\nprompt-prefix: 1:60000\r\n\r\n";

/// The time for which signals are sent without a pause; a request is in progress for longer.
const HANG_UP_TIME: Duration = Duration::from_millis(200);

/// A signal, or several, and what the test waits for afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// SIGHUP, once.
    HangUp,
    /// SIGHUP again and again for [`HANG_UP_TIME`].
    HangUps,
    /// SIGTERM; then the process must report itself as not ready.
    Terminate,
}

impl Process {
    fn take(&self, step: Step) {
        match step {
            Step::HangUp => self.signal(Signal::HUP),
            Step::HangUps => {
                let start = Instant::now();
                while start.elapsed() < HANG_UP_TIME {
                    self.signal(Signal::HUP);
                }
            }
            Step::Terminate => {
                self.signal(Signal::TERM);
                eventually("the process is not ready", || {
                    !self.page("/readyz").contains(" 200 ")
                });
            }
        }
    }

    /// Waits until the process has ended.
    fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        eventually("the process ends", || {
            status = self.child.try_wait().expect("the child can be waited for");
            status.is_some()
        });
        status.expect("the process has ended")
    }
}

/// Reads an answer whose body is the name of a target, and returns its status.
fn status(caller: &mut TcpStream) -> io::Result<String> {
    let (mut text, mut part) = (String::new(), [0; 1024]);
    while !text.contains("\r\n\r\ni-") {
        match caller.read(&mut part)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => text.push_str(&String::from_utf8_lossy(&part[..read])),
        }
    }
    Ok(text[9..12].to_owned())
}

fn connect(process: &Process) -> TcpStream {
    let caller = TcpStream::connect(process.http).expect("the process listens");
    caller
        .set_read_timeout(Some(IN_FORCE_LIMIT))
        .expect("the read timeout is valid");
    caller
}

struct Signals {
    /// Distinguishes the settings files of the cases.
    name: &'static str,
    /// Whether the connection has had a request before.
    kept: bool,
    steps: &'static [Step],
}

#[rstest]
#[case::hang_up(Signals { name: "hup", kept: true, steps: &[Step::HangUp] })]
#[case::hang_ups(Signals { name: "hups", kept: true, steps: &[Step::HangUps] })]
#[case::hang_ups_new(Signals { name: "hups-new", kept: false, steps: &[Step::HangUps] })]
#[case::term(Signals { name: "term", kept: true, steps: &[Step::Terminate] })]
#[case::term_twice(Signals { name: "terms", kept: true, steps: &[Step::Terminate, Step::Terminate] })]
#[case::term_twice_new(Signals { name: "terms-new", kept: false, steps: &[Step::Terminate, Step::Terminate] })]
#[case::term_and_hang_ups(Signals { name: "term-hups", kept: true, steps: &[Step::Terminate, Step::HangUps] })]
#[case::hang_ups_and_term(Signals { name: "hups-term", kept: true, steps: &[Step::HangUps, Step::Terminate] })]
fn requests_in_progress_survive_a_series_of_signals(#[case] case: Signals) {
    let (net, settings) = Net::start_with_settings(1);
    let mut process = Process::gateway(&settings, case.name, None);
    let mut caller = connect(&process);
    if case.kept {
        caller
            .write_all(SHORT.as_bytes())
            .expect("the connection is open");
        assert_eq!(status(&mut caller).expect("the request is answered"), "200");
    }
    let before = net.run_count();
    caller
        .write_all(LONG.as_bytes())
        .expect("the connection is open");
    eventually("a target runs the request", || net.run_count() > before);
    for step in case.steps {
        process.take(*step);
    }
    let answer = status(&mut caller);
    assert_eq!(answer.ok().as_deref(), Some("200"), "{:?}", case.steps);
    if case.steps.contains(&Step::Terminate) {
        assert_eq!(process.ended().code(), Some(0));
    } else {
        let mut other = connect(&process);
        other
            .write_all(SHORT.as_bytes())
            .expect("the connection is open");
        assert_eq!(status(&mut other).expect("the request is answered"), "200");
    }
}

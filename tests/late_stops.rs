//! What callers get whose requests come late in the graceful stop of a gateway, on connections that
//! they keep open until the process is gone.

mod child;
mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    collections::HashSet,
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
use rstest::rstest;
use rustix::process::Signal;

/// The time limit of the stop.
const GRACE: Duration = Duration::from_secs(8);

/// The interval between two requests of a kind.
const INTERVAL: Duration = Duration::from_millis(100);

/// How long after it was sent a request may be cut off without an answer, if it has not run: the
/// request and the close cross each other. It includes the delay of a busy machine.
const CROSSING: Duration = Duration::from_millis(400);

/// How long a caller waits for its answer after the process has ended.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// The part of a request that is sent before the signal.
#[derive(Clone, Copy)]
enum Early {
    /// Nothing.
    Nothing,
    /// A part of the head.
    Line,
    /// The head and the first byte of the body.
    Head,
}

/// What the requests of a case are.
struct Kind {
    /// Distinguishes the settings files and the requests of the cases.
    name: &'static str,
    method: &'static str,
    path: &'static str,
    /// The time for which a target works on the request, in tokens of its prompt.
    tokens: u32,
    body: &'static str,
    /// What is sent before the signal.
    early: Early,
    /// Whether the connection has had a request before.
    kept: bool,
}

const SHORT: Kind = Kind {
    name: "short",
    method: "GET",
    path: "/read/1",
    tokens: 1,
    body: "",
    early: Early::Nothing,
    kept: false,
};

/// What has become of a request.
#[derive(Debug)]
struct Outcome {
    id: String,
    /// When it was sent, since the signal.
    #[expect(dead_code, reason = "printed if the outcome is not allowed")]
    sent: Duration,
    /// How long after that its connection ended.
    ended: Duration,
    /// The status of its complete answer.
    status: Option<u16>,
}

/// Returns the status of an answer if it is complete.
fn complete_status(answer: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
    let complete = match length {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    };
    complete.then(|| head[9..12].parse::<u16>().ok()).flatten()
}

impl Kind {
    /// Returns the text of a request.
    fn request(&self, id: &str) -> String {
        let (method, path, tokens, body) = (self.method, self.path, self.tokens, self.body);
        format!(
            "{method} {path} HTTP/1.1\r\nhost: a.example\r\ncredential: secret\r\nrequest-id: {id}\r\n\
             content-length: {}\r\nprompt-prefix: {id}:{tokens}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Returns the length of the part of a request that is sent before the signal.
    fn early_length(&self, request: &str) -> usize {
        match self.early {
            Early::Nothing => 0,
            Early::Line => request.len() - self.body.len() - 6,
            Early::Head => request.len() - self.body.len() + 1,
        }
    }

    /// Sends a request whole and waits for its answer.
    fn warm_up(&self, caller: &mut TcpStream, id: &str) {
        caller
            .write_all(self.request(id).as_bytes())
            .expect("the connection is open");
        let mut answer = Vec::new();
        while complete_status(&answer).is_none() {
            let mut part = [0; 1024];
            let read = caller.read(&mut part).expect("the answer arrives");
            assert!(read > 0, "the connection is kept");
            answer.extend_from_slice(&part[..read]);
        }
    }

    /// Sends a request on an open connection at a time after the signal, and reads its answer.
    fn ask(&self, mut caller: TcpStream, id: String, start: Instant, at: Duration) -> Outcome {
        let request = self.request(&id);
        let (early, late) = request.split_at(self.early_length(&request));
        let _ = caller.write_all(early.as_bytes());
        thread::sleep(at.saturating_sub(start.elapsed()));
        let sent = start.elapsed();
        let mut answer = Vec::new();
        // A request that crosses the close of its connection fails here, or reads nothing.
        let _ = caller.write_all(late.as_bytes());
        let mut part = [0; 1024];
        while let Ok(read) = caller.read(&mut part) {
            if read == 0 {
                break;
            }
            answer.extend_from_slice(&part[..read]);
        }
        Outcome {
            id,
            sent,
            ended: start.elapsed() - sent,
            status: complete_status(&answer),
        }
    }
}

#[rstest]
#[case::short(SHORT)]
#[case::short_on_a_kept_connection(Kind { name: "kept", kept: true, ..SHORT })]
#[case::write(Kind { name: "write", method: "POST", path: "/save/1", ..SHORT })]
#[case::long_write(Kind { name: "long-write", method: "POST", path: "/save/1", tokens: 120_000, ..SHORT })]
#[case::stream(Kind { name: "stream", path: "/stream/1", ..SHORT })]
#[case::long_stream(Kind { name: "long-stream", path: "/stream/1", tokens: 120_000, ..SHORT })]
#[case::slow_head(Kind { name: "slow-head", early: Early::Line, ..SHORT })]
#[case::slow_head_long_write(Kind { name: "slow-head-long", method: "POST", path: "/save/1", tokens: 120_000, early: Early::Line, ..SHORT })]
#[case::slow_body(Kind { name: "slow-body", method: "POST", path: "/save/1", body: "abcdef", early: Early::Head, ..SHORT })]
#[case::slow_body_long_write(Kind { name: "slow-body-long", method: "POST", path: "/save/1", tokens: 120_000, body: "abcdef", early: Early::Head, ..SHORT })]
#[case::slow_body_long_stream(Kind { name: "slow-body-stream", method: "POST", path: "/stream/1", tokens: 120_000, body: "abcdef", early: Early::Head, ..SHORT })]
fn a_request_that_comes_late_in_a_stop_is_answered_or_refused(#[case] kind: Kind) {
    let (net, mut settings) = Net::start_patient();
    settings.stop_s = GRACE.as_secs_f64();
    let mut process = Process::gateway(&settings, &format!("late-{}", kind.name), None);
    let connect = || {
        let caller = TcpStream::connect(process.http).expect("the process listens");
        caller
            .set_read_timeout(Some(GRACE + READ_LIMIT))
            .expect("the read timeout is valid");
        caller
    };
    // The gateway has seen how long such requests take.
    for i in 0..3 {
        kind.warm_up(&mut connect(), &format!("{}-warm-{i}", kind.name));
    }
    let count = (GRACE.as_millis() / INTERVAL.as_millis()) as u32;
    let callers: Vec<_> = (0..count)
        .map(|i| {
            let mut caller = connect();
            if kind.kept {
                kind.warm_up(&mut caller, &format!("{}-kept-{i}", kind.name));
            }
            caller
        })
        .collect();
    // The connections must be accepted before the stop.
    thread::sleep(Duration::from_millis(300));
    process.signal(Signal::TERM);
    let start = Instant::now();
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let asked: Vec<_> = callers
            .into_iter()
            .enumerate()
            .map(|(i, caller)| {
                let (kind, id) = (&kind, format!("{}-{i}", kind.name));
                scope.spawn(move || kind.ask(caller, id, start, INTERVAL * i as u32))
            })
            .collect();
        let asked = asked.into_iter();
        asked
            .map(|caller| caller.join().expect("the caller ends"))
            .collect()
    });
    let status = process.child.wait().expect("the process ends");
    assert!(start.elapsed() < GRACE, "{:?}", start.elapsed());
    let ran: HashSet<String> = net
        .0
        .targets
        .iter()
        .flat_map(|target| target.runs())
        .filter_map(|fields| Some(fields.get("request-id")?.to_str().ok()?.to_owned()))
        .collect();
    let is_kept = |outcome: &&Outcome| match outcome.status {
        Some(200) => true,
        Some(408 | 503) => !ran.contains(&outcome.id),
        Some(_) => false,
        None => !ran.contains(&outcome.id) && outcome.ended < CROSSING,
    };
    let broken: Vec<_> = outcomes
        .iter()
        .filter(|outcome| !is_kept(outcome))
        .collect();
    assert!(broken.is_empty(), "{} of {count}: {broken:?}", broken.len());
    let answered = outcomes
        .iter()
        .filter(|outcome| outcome.status == Some(200))
        .count();
    assert!(answered > 0, "no request was answered; {status}");
}

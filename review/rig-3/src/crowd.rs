//! A crowd of silent connections, and the ordinary callers beside it.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Run,
    gateway::limit_descriptors,
    http::Conn,
    runner::{self, Arrival, Runner},
    setup::{self, Arrivals},
};

const CROWD: usize = 4_600;
const ORDINARY: usize = 10;
const MEMORY_MB: u32 = 260;
const BEFORE: Duration = Duration::from_secs(5);
/// `contactMs` of the sheet.
const CONTACT_MS: u128 = 3_000;
const CROWDED: Duration = Duration::from_secs(25);

/// What an ordinary caller saw.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    Good,
    Refused,
    NoConnection,
    NoAnswer,
}

/// One call of an ordinary caller, on a connection of its own.
struct Call {
    caller: usize,
    began: u128,
    ended: u128,
    what: Seen,
}

fn ask(front: SocketAddr, id: &str) -> Seen {
    let limit = Duration::from_secs(1);
    let Ok(stream) = TcpStream::connect_timeout(&front, limit) else {
        return Seen::NoConnection;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1_200)));
    let mut conn = Conn::new(stream);
    let text = format!(
        "GET /view/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline: 1200\r\nCredential: k1\r\nConnection: close\r\n\r\n"
    );
    if conn.send(text.as_bytes()).is_err() {
        return Seen::NoAnswer;
    }
    match conn.head() {
        Ok(Some(head)) if head.status() == 200 => Seen::Good,
        Ok(Some(_)) => Seen::Refused,
        _ => Seen::NoAnswer,
    }
}

pub fn run(run: &mut Run) -> Outcome {
    if !limit_descriptors(CROWD as u64 + 1_000) {
        run.note("this process may not have enough descriptors");
        return Outcome::Failed;
    }
    let (store, address) = setup::store();
    let arrivals: Arrivals = Arc::default();
    for i in 0..3 {
        let answer =
            |_: &Runner, arrival: &Arrival, conn: &mut Conn| runner::whole(conn, &arrival.id, 800);
        let id = format!("i-{i:08x}");
        let runner = Runner::start(&id, [127, 0, 0, 1].into(), arrivals.clone(), answer);
        store.put(
            &format!("servers/{id}"),
            &runner.entry("signup", 6, "ready"),
        );
    }
    let routes = [setup::route("view", "safe", "signup", 1_200, 150, 2)];
    store.put("op/config", &setup::config(3, &routes, 16_384, &["k1"]));
    let Some(mut gateway) = setup::gateway(run, address, MEMORY_MB) else {
        return Outcome::Failed;
    };
    let front = gateway.machine.front;
    let start = Instant::now();
    let end = start + BEFORE + CROWDED;
    let (stop, open, opened) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    let seen: Arc<Mutex<Vec<Call>>> = Arc::default();
    let mut ordinary = Vec::new();
    for i in 0..ORDINARY {
        let seen = seen.clone();
        ordinary.push(thread::spawn(move || {
            let mut serial = 0;
            while Instant::now() < end {
                serial += 1;
                let began = start.elapsed().as_millis();
                let what = ask(front, &format!("c{i:02}-{serial}"));
                let ended = start.elapsed().as_millis();
                seen.lock().unwrap().push(Call {
                    caller: i,
                    began,
                    ended,
                    what,
                });
                thread::sleep(Duration::from_millis(300));
            }
        }));
    }
    if run.trouble {
        for part in 0..4 {
            let (stop, open, opened) = (stop.clone(), open.clone(), opened.clone());
            thread::spawn(move || {
                thread::sleep(BEFORE);
                let mut held: Vec<TcpStream> = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    held.retain(|stream| {
                        let mut byte = [0];
                        let _ = stream.set_nonblocking(true);
                        !matches!(stream.peek(&mut byte), Ok(0))
                            && !matches!(stream.peek(&mut byte), Err(err) if err.kind() != std::io::ErrorKind::WouldBlock)
                    });
                    for _ in 0..64 {
                        if held.len() < CROWD / 4
                            && let Ok(stream) =
                                TcpStream::connect_timeout(&front, Duration::from_millis(500))
                        {
                            opened.fetch_add(1, Ordering::Relaxed);
                            held.push(stream);
                        }
                    }
                    if part == 0 {
                        open.store(held.len() * 4, Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    }
    // The platform asks once a second, on a connection that it keeps.
    let mut probe = Probe::new(gateway.machine.ready);
    let mut ready = Vec::new();
    let mut next = Instant::now();
    while Instant::now() < end && !gateway.has_ended() {
        next = (next + Duration::from_secs(1)).max(Instant::now());
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let is_ready = probe.ask();
        let at = start.elapsed().as_millis();
        ready.push((at, is_ready));
        let recent: Vec<_> = seen
            .lock()
            .unwrap()
            .iter()
            .filter(|call| call.ended + 1_000 > at)
            .map(|call| call.what)
            .collect();
        let count = |what| recent.iter().filter(|seen| **seen == what).count();
        let files = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
            .map_or(0, Iterator::count);
        run.note(&format!(
            "{at} ms: ready {is_ready}, descriptors {files}, memory {} KB, crowd {} open; ordinary calls that ended in the last second: {} answered, {} refused, {} without connection, {} without answer",
            gateway.memory_kb("RssAnon:"), open.load(Ordering::Relaxed),
            count(Seen::Good), count(Seen::Refused), count(Seen::NoConnection), count(Seen::NoAnswer)
        ));
    }
    stop.store(true, Ordering::Relaxed);
    for caller in ordinary {
        let _ = caller.join();
    }
    let seen = seen.lock().unwrap();
    let total = |what| seen.iter().filter(|call| call.what == what).count();
    run.note(&format!(
        "ordinary calls: {} answered, {} refused, {} without connection, {} without answer; {} ran; the crowd opened {} connections",
        total(Seen::Good), total(Seen::Refused), total(Seen::NoConnection), total(Seen::NoAnswer),
        arrivals.lock().unwrap().len(), opened.load(Ordering::Relaxed)
    ));
    for call in seen.iter() {
        run.record.push_str(&format!(
            "call of ordinary caller {} on a new connection from {} ms to {} ms: {:?}\n",
            call.caller, call.began, call.ended, call.what
        ));
    }
    let longest = longest_hang(&ready, &seen);
    let Some((from, to, callers)) = longest else {
        run.note("no time in which the gateway said that it was ready and took no new connection");
        return Outcome::Held;
    };
    run.note(&format!(
        "from {from} ms to {to} ms the gateway said each second that it was ready, took no new connection, and {callers} callers tried"
    ));
    match to - from >= CONTACT_MS && callers >= 7 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Returns the longest span of answers "ready" in which no ordinary call on a new connection got an
/// answer, and how many callers tried in it.
fn longest_hang(ready: &[(u128, bool)], seen: &[Call]) -> Option<(u128, u128, usize)> {
    let mut longest: Option<(u128, u128, usize)> = None;
    for (i, (from, _)) in ready.iter().enumerate() {
        let rest = ready[i..].iter().take_while(|(_, is_ready)| *is_ready);
        for (to, _) in rest {
            let is_taken = |call: &&Call| {
                matches!(call.what, Seen::Good | Seen::Refused)
                    && call.ended > *from
                    && call.began < *to
            };
            if seen.iter().any(|call| is_taken(&call)) {
                break;
            }
            let tried = seen
                .iter()
                .filter(|call| call.began >= *from && call.began < *to);
            let callers: std::collections::BTreeSet<_> = tried.map(|call| call.caller).collect();
            if longest.is_none_or(|(a, b, _)| to - from > b - a) {
                longest = Some((*from, *to, callers.len()));
            }
        }
    }
    longest
}

/// The platform's question whether a machine is ready.
struct Probe {
    to: SocketAddr,
    conn: Option<Conn>,
}

impl Probe {
    fn new(to: SocketAddr) -> Self {
        Self { to, conn: None }
    }

    fn ask(&mut self) -> bool {
        for _ in 0..2 {
            if self.conn.is_none() {
                let limit = Duration::from_millis(800);
                self.conn = TcpStream::connect_timeout(&self.to, limit)
                    .ok()
                    .map(|stream| {
                        let _ = stream.set_read_timeout(Some(limit));
                        Conn::new(stream)
                    });
            }
            let Some(conn) = &mut self.conn else {
                return false;
            };
            let answer = conn
                .send(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                .and_then(|()| conn.head());
            if let Ok(Some(head)) = answer {
                conn.body(&head, false);
                return head.status() == 200;
            }
            self.conn = None;
        }
        false
    }
}

//! Stand-ins of runners: sound servers as PROTOCOL.md describes them, with an answer of each case's own.

use std::{
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Conn, Head};

/// A request that a runner has received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub runner: String,
    pub id: String,
    pub head: Head,
    #[allow(dead_code, reason = "not every case looks at it")]
    pub body: Vec<u8>,
}

/// What happens with a connection after an answer.
#[derive(Clone, Copy, PartialEq)]
pub enum After {
    Keep,
    Close,
}

type Answer = dyn Fn(&Runner, &Arrival, &mut Conn) -> After + Send + Sync;

/// One runner. Cloning gives another handle.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub busy: Arc<AtomicUsize>,
    pub most: Arc<AtomicUsize>,
    pub born: u64,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    early: Option<(usize, Duration)>,
}

pub fn unix_ms() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}

/// Returns the fields that every answer of a runner to a request has.
pub fn fields(id: &str) -> String {
    format!("Request-Id: {id}\r\nServer-Seal: 3e1b.07.{id}\r\n")
}

impl Runner {
    pub fn start(
        id: &str,
        ip: IpAddr,
        arrivals: Arc<Mutex<Vec<Arrival>>>,
        answer: impl Fn(&Runner, &Arrival, &mut Conn) -> After + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(id, ip, arrivals, answer, None)
    }

    fn start_with(
        id: &str,
        ip: IpAddr,
        arrivals: Arc<Mutex<Vec<Arrival>>>,
        answer: impl Fn(&Runner, &Arrival, &mut Conn) -> After + Send + Sync + 'static,
        early: Option<(usize, Duration)>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let runner = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            arrivals,
            busy: Arc::default(),
            most: Arc::default(),
            born: unix_ms(),
            streams: Arc::default(),
            early,
        };
        let answer: Arc<Answer> = Arc::new(answer);
        let accepting = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runner, answer) = (accepting.clone(), answer.clone());
                let small = thread::Builder::new().stack_size(128 << 10);
                let _ = small.spawn(move || {
                    let copy = stream.try_clone();
                    runner.serve(stream, &*answer);
                    // A crash may still hold a handle of the connection.
                    let _ = copy.map(|stream| stream.shutdown(std::net::Shutdown::Both));
                    runner
                        .streams
                        .lock()
                        .unwrap()
                        .retain(|stream| stream.peer_addr().is_ok());
                });
            }
        });
        runner
    }

    /// Starts a runner that answers a long request once its head and a part of its body are in, keeps the
    /// connection, and reads the rest of the body later: a part after each pause.
    pub fn start_early(
        id: &str,
        ip: IpAddr,
        arrivals: Arc<Mutex<Vec<Arrival>>>,
        part: usize,
        pause: Duration,
        answer: impl Fn(&Runner, &Arrival, &mut Conn) -> After + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(id, ip, arrivals, answer, Some((part, pause)))
    }

    /// Closes all connections, as the system does for a process that crashes.
    pub fn crash(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Returns the entry of the runner in the store, with the address at which others reach it.
    pub fn entry_at(&self, address: SocketAddr, service: &str, slots: u32, state: &str) -> String {
        let behind = Self {
            address,
            ..self.clone()
        };
        behind.entry(service, slots, state)
    }

    /// Returns the entry of the runner in the store.
    pub fn entry(&self, service: &str, slots: u32, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{}}}",
            self.address, self.born
        )
    }

    fn serve(&self, stream: TcpStream, answer: &Answer) {
        if let Ok(copy) = stream.try_clone() {
            self.streams.lock().unwrap().push(copy);
        }
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.head() {
            let id = head.get("request-id").unwrap_or("").to_owned();
            let expected = head.get("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let (body, _) = conn.body(&head, true);
                drop(body);
                let text = format!(
                    "HTTP/1.1 421 M\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if conn.send(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let length = head
                .get("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let early = self.early.filter(|(part, _)| length > *part);
            let (body, whole) = match early {
                Some((part, _)) => (conn.exact(part).unwrap_or_default(), true),
                None => conn.body(&head, true),
            };
            if !whole {
                return;
            }
            let arrival = Arrival {
                at: Instant::now(),
                runner: self.id.clone(),
                id,
                head,
                body,
            };
            self.arrivals.lock().unwrap().push(arrival.clone());
            let now = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
            self.most.fetch_max(now, Ordering::SeqCst);
            let after = answer(self, &arrival, &mut conn);
            self.busy.fetch_sub(1, Ordering::SeqCst);
            if after == After::Close {
                return;
            }
            if let Some((part, pause)) = early {
                let mut left = length - part;
                while left > 0 {
                    thread::sleep(pause);
                    let next = left.min(part);
                    if conn.exact(next).is_err() {
                        return;
                    }
                    left -= next;
                }
            }
        }
    }
}

/// Sends a whole answer with a body.
pub fn whole(conn: &mut Conn, id: &str, size: usize) -> After {
    thread::sleep(Duration::from_millis(30));
    let body = "y".repeat(size);
    let text = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: {size}\r\n\r\n{body}",
        fields(id)
    );
    match conn.send(text.as_bytes()) {
        Ok(()) => After::Keep,
        Err(_) => After::Close,
    }
}

/// Sends a stream of events with a pause before each, in chunks, and its end.
pub fn stream(conn: &mut Conn, id: &str, events: u32, pause: Duration) -> After {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        fields(id)
    );
    thread::sleep(pause.min(Duration::from_millis(50)));
    if conn.send(head.as_bytes()).is_err() {
        return After::Close;
    }
    for i in 1..=events {
        let event = format!("id: {i}\ndata: {id} piece {i}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if conn.send(chunk.as_bytes()).is_err() {
            return After::Close;
        }
        thread::sleep(pause);
    }
    match conn.send(b"0\r\n\r\n") {
        Ok(()) => After::Keep,
        Err(_) => After::Close,
    }
}

/// Sends a stream of events with a pause before each, without a length or chunks, from the one after the
/// request's `Last-Event-Id` on, and closes.
pub fn unframed(conn: &mut Conn, arrival: &Arrival, events: u32, pause: Duration) -> After {
    let last = arrival
        .head
        .get("last-event-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
        fields(&arrival.id)
    );
    if conn.send(head.as_bytes()).is_err() {
        return After::Close;
    }
    for i in last + 1..=events {
        thread::sleep(pause);
        let event = format!("id: {i}\ndata: {} piece {i}\n\n", arrival.id);
        if conn.send(event.as_bytes()).is_err() {
            break;
        }
    }
    After::Close
}

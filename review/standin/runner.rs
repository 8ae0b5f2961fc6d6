//! A runner, which registers itself in the store.
//!
//! It leaves in the planned way once a file `NAME.leave` is in its folder: it reports that it drains,
//! serves for `drainMs` and a little longer after the store has accepted that, and exits.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{TcpListener, TcpStream},
    path::Path,
    process::exit,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::http::{Head, now_ms, put_item, read_body, read_head, record};

/// The interval of liveness reports, `heartbeatMs` of the site.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// `drainMs` of the site.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// How much longer than [`DRAIN_TIME`] a runner that leaves serves.
const EXTRA_TIME: Duration = Duration::from_millis(500);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Runner {
    name: String,
    service: String,
    address: String,
    store: String,
    record: String,
    folder: String,
    born: u128,
    /// The value of the field `Keep-Alive` in answers with a length; none if empty.
    keep_alive: String,
    /// How long a plain request takes.
    work: Duration,
    /// The number of events of a stream; without them, answers are plain.
    events: u64,
    /// The pause between two events.
    gap: Duration,
    /// Whether a stream has neither a length nor chunks, and ends with its connection.
    unframed: bool,
}

/// Serves a runner until it leaves.
pub fn serve(args: &[String]) -> i32 {
    let options: BTreeMap<_, _> = args.iter().filter_map(|arg| arg.split_once('=')).collect();
    let text = |name: &str| options.get(name).copied().unwrap_or_default().to_owned();
    let number = |name: &str| text(name).parse().unwrap_or(0);
    let runner = Arc::new(Runner {
        name: text("name"),
        service: text("service"),
        address: text("address"),
        store: text("store"),
        record: text("record"),
        folder: text("folder"),
        born: now_ms(),
        keep_alive: text("keep-alive"),
        work: Duration::from_millis(number("work-ms")),
        events: number("events"),
        gap: Duration::from_millis(number("gap-ms")),
        unframed: text("framing") == "none",
    });
    let listener = TcpListener::bind(&runner.address).expect("the address is free");
    let reporter = runner.clone();
    thread::spawn(move || reporter.report_liveness());
    for stream in listener.incoming().flatten() {
        let runner = runner.clone();
        // A connection that fails ends.
        thread::spawn(move || runner.serve_connection(stream).ok());
    }
    0
}

impl Runner {
    fn log(&self, line: &str) {
        record(&self.record, &format!("runner {} {line}", self.name));
    }

    fn register(&self, state: &str, sequence: u64) -> bool {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.born
        );
        put_item(&self.store, &format!("servers/{}", self.name), &entry)
    }

    fn report_liveness(&self) {
        let leave = Path::new(&self.folder).join(format!("{}.leave", self.name));
        for sequence in 1.. {
            self.register("ready", sequence);
            let reported = Instant::now();
            while reported.elapsed() < HEARTBEAT {
                if leave.exists() && self.register("draining", sequence + 1) {
                    self.log("the store has accepted: draining");
                    sleep(DRAIN_TIME + EXTRA_TIME);
                    self.log("exits");
                    exit(0);
                }
                sleep(POLL_INTERVAL);
            }
        }
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = read_head(&mut reader)?;
            read_body(&mut reader, &head)?;
            let id = head.field("request-id").to_owned();
            let stream = reader.get_mut();
            if head.field("expect-instance") != self.name {
                let refusal = format!(
                    "HTTP/1.1 421 -\r\nInstance-Id: {}\r\nRequest-Id: {id}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.name
                );
                stream.write_all(refusal.as_bytes())?;
                continue;
            }
            self.log(&format!("runs {id} {}", head.word(1)));
            match self.events {
                0 => self.answer(stream, &id)?,
                _ => self.answer_events(stream, &head, &id)?,
            }
            if self.events > 0 && self.unframed {
                return Ok(());
            }
        }
    }

    fn fields(&self, id: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}.{id}\r\n",
            self.name
        )
    }

    fn answer(&self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        sleep(self.work);
        let body = format!("{} has run {id}", self.name);
        let keep_alive = match self.keep_alive.is_empty() {
            true => String::new(),
            false => format!("Keep-Alive: {}\r\n", self.keep_alive),
        };
        let fields = self.fields(id);
        let length = body.len();
        let text = format!("{fields}{keep_alive}Content-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes())
    }

    /// Answers with the events that follow `Last-Event-Id`.
    fn answer_events(&self, stream: &mut TcpStream, head: &Head, id: &str) -> io::Result<()> {
        let framing = match self.unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let fields = self.fields(id);
        let text = format!("{fields}Content-Type: text/event-stream\r\n{framing}\r\n\r\n");
        stream.write_all(text.as_bytes())?;
        let last: u64 = head.field("last-event-id").parse().unwrap_or(0);
        for event in last + 1..=self.events {
            let text = format!("id: {event}\ndata: {}-{event}\n\n", self.name);
            match self.unframed {
                true => stream.write_all(text.as_bytes())?,
                false => {
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    stream.write_all(chunk.as_bytes())?;
                }
            }
            sleep(self.gap);
        }
        self.log(&format!("has ended {id}"));
        match self.unframed {
            true => Ok(()),
            false => stream.write_all(b"0\r\n\r\n"),
        }
    }
}

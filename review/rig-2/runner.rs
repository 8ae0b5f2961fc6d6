//! The stand-in of a runner. It runs only requests that name it in `Expect-Instance`, repeats
//! `Request-Id` in all its answers, and keeps connections open for the next request.
//!
//! Arguments: address, id, birth, log, and options: `work=MS` (the work of a plain request),
//! `events=N` and `every=MS` (of a stream), `unframed` (streams have neither a length nor chunks and
//! end with their connection), `deadly=PART` (the part of a prompt that ends it as it begins to
//! write an answer).

use std::{
    io::{BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
};

use crate::kit::{field, now_ms, open_log, read_head, sleep_ms};

pub struct Options {
    id: String,
    born: u64,
    log: String,
    work: u64,
    events: u64,
    every: u64,
    unframed: bool,
    deadly: Option<String>,
}

pub fn main(args: &[String]) {
    let number = |name: &str, default: u64| {
        let found = args.iter().find_map(|arg| arg.strip_prefix(name)?.strip_prefix('='));
        found.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let options = Options {
        id: args[1].clone(),
        born: args[2].parse().expect("the birth is a number"),
        log: args[3].clone(),
        work: number("work", 30),
        events: number("events", 76),
        every: number("every", 20),
        unframed: args.iter().any(|arg| arg == "unframed"),
        deadly: args.iter().find_map(|arg| Some(arg.strip_prefix("deadly=")?.to_owned())),
    };
    let options = Arc::new(options);
    let mut tries = 0;
    let listener = loop {
        match TcpListener::bind(&args[0]) {
            Ok(listener) => break listener,
            Err(err) if tries > 200 => panic!("{}: {err}", args[0]),
            Err(_) => tries += 1,
        }
        sleep_ms(10);
    };
    log(&options, "start -");
    for stream in listener.incoming().flatten() {
        let options = options.clone();
        thread::spawn(move || serve(&options, stream));
    }
}

/// Writes a line: the time, this runner, its birth, what happened, and the request.
fn log(options: &Options, text: &str) {
    let line = format!("{} {} {} {text}\n", now_ms(), options.id, options.born);
    let _ = open_log(&options.log).write_all(line.as_bytes());
}

fn serve(options: &Options, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(reader) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(reader);
    while let Ok(Some((first, headers))) = read_head(&mut input) {
        let path = first.split(' ').nth(1).unwrap_or("/").to_owned();
        let length = field(&headers, "content-length").and_then(|text| text.parse().ok());
        let mut body = Vec::new();
        let mut rest = (&mut input).take(length.unwrap_or(0));
        if rest.read_to_end(&mut body).is_err() {
            return;
        }
        let id = field(&headers, "request-id").unwrap_or("").to_owned();
        let send = |text: &str| (&stream).write_all(text.as_bytes()).is_ok();
        let plain = |status: &str, fields: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n{body}")
        };
        if path == "/report" || path == "/health" {
            let report = format!("{{\"born\":{},\"running\":0,\"waiting\":0}}", options.born);
            let fields = format!("Instance-Id: {}\r\n", options.id);
            if !send(&plain("200 OK", &fields, &report)) {
                return;
            }
            continue;
        }
        let echo = format!("Request-Id: {id}\r\n");
        if field(&headers, "expect-instance").is_some_and(|expected| expected != options.id) {
            log(options, &format!("other {id}"));
            let fields = format!("{echo}Instance-Id: {}\r\n", options.id);
            if !send(&plain("421 Misdirected Request", &fields, "")) {
                return;
            }
            continue;
        }
        log(options, &format!("run {id}"));
        let parts = field(&headers, "prompt-prefix").unwrap_or("");
        let is_deadly = |part: &str| Some(part.split(':').next().unwrap_or("")) == options.deadly.as_deref();
        if parts.split(',').any(|part| is_deadly(part.trim())) {
            sleep_ms(options.work);
            log(options, &format!("crash {id}"));
            std::process::abort();
        }
        let seal = format!("Server-Seal: {}.{id}\r\n", options.id);
        if !path.starts_with("/talk/") {
            sleep_ms(options.work);
            log(options, &format!("done {id}"));
            let body = format!("done {id} by {}", options.id);
            if !send(&plain("200 OK", &format!("{echo}{seal}"), &body)) {
                return;
            }
            continue;
        }
        let framing = match options.unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}{seal}Content-Type: text/event-stream\r\n{framing}\r\n"
        );
        if !send(&head) {
            return;
        }
        let from = field(&headers, "last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        for event in from + 1..=options.events {
            sleep_ms(options.every);
            let event = format!("id: {event}\ndata: t{event} of {id}\n\n");
            let sent = match options.unframed {
                true => send(&event),
                false => send(&format!("{:x}\r\n{event}\r\n", event.len())),
            };
            if !sent {
                log(options, &format!("left {id}"));
                return;
            }
        }
        log(options, &format!("done {id}"));
        if options.unframed {
            return;
        }
        if !send("0\r\n\r\n") {
            return;
        }
    }
}

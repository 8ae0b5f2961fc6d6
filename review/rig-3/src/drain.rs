//! A runner answers long requests before it has read them, and leaves the service meanwhile.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Run,
    http::Conn,
    runner::{self, Arrival, Runner},
    setup::{self, Arrivals},
};

const RUNNERS: usize = 8;
const LONG: usize = 1_000_000;
const LONGS: usize = 24;
const SHORTS: usize = 48;
const DRAIN: Duration = Duration::from_millis(2_000);
/// The part of a long body that a runner reads at a time once it has answered, and the pause between.
const PART: usize = 64 << 10;
const PAUSE: Duration = Duration::from_millis(300);

fn request(id: &str, body: usize) -> Vec<u8> {
    let head = format!(
        "POST /book/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline: 12000\r\n\
         Credential: k1\r\nContent-Length: {body}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'x'; body]].concat()
}

fn send(
    front: std::net::SocketAddr,
    id: String,
    body: usize,
    start: Instant,
) -> thread::JoinHandle<String> {
    thread::spawn(move || {
        let sent = start.elapsed().as_millis();
        let answer = Conn::connect(front).and_then(|mut conn| {
            conn.send(&request(&id, body))?;
            let head = conn.head()?.unwrap_or_default();
            let (_, whole) = conn.body(&head, false);
            Ok((head.status(), whole))
        });
        format!(
            "request {id} of {body} bytes sent at {sent} ms: {answer:?} at {} ms",
            start.elapsed().as_millis()
        )
    })
}

pub fn run(run: &mut Run) -> Outcome {
    let (store, address) = setup::store();
    let arrivals: Arrivals = Arc::default();
    let mut runners = Vec::new();
    for i in 0..RUNNERS {
        let answer =
            |_: &Runner, arrival: &Arrival, conn: &mut Conn| runner::whole(conn, &arrival.id, 800);
        let id = format!("i-{i:08x}");
        let runner = Runner::start_early(
            &id,
            [127, 0, 0, 1].into(),
            arrivals.clone(),
            PART,
            PAUSE,
            answer,
        );
        store.put(
            &format!("servers/{id}"),
            &runner.entry("signup", 6, "ready"),
        );
        runners.push(runner);
    }
    let routes = [setup::route("book", "unsafe", "signup", 12_000, 1_000, 1)];
    store.put("op/config", &setup::config(3, &routes, 16_384, &["k1"]));
    let Some(gateway) = setup::gateway(run, address, 110) else {
        return Outcome::Failed;
    };
    let front = gateway.machine.front;
    thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    let mut calls = Vec::new();
    for i in 0..LONGS {
        calls.push(send(front, format!("a{i:03}"), LONG, start));
    }
    thread::sleep(Duration::from_millis(300));
    for i in 0..SHORTS {
        calls.push(send(front, format!("b{i:03}"), 600, start));
    }
    thread::sleep(Duration::from_millis(300));
    let acked = Instant::now();
    if run.trouble {
        store.put(
            &format!("servers/{}", runners[0].id),
            &runners[0].entry("signup", 6, "draining"),
        );
        run.note(&format!(
            "runner {} is draining, acknowledged at {} ms",
            runners[0].id,
            (acked - start).as_millis()
        ));
    }
    for call in calls {
        let line = call.join().unwrap_or_default();
        run.note(&line);
    }
    let mut late = 0;
    for arrival in arrivals.lock().unwrap().iter() {
        let is_late = run.trouble && arrival.runner == runners[0].id && arrival.at > acked + DRAIN;
        late += u32::from(is_late);
        let line = format!(
            "request {} reached runner {} at {} ms{}",
            arrival.id,
            arrival.runner,
            arrival.at.saturating_duration_since(start).as_millis(),
            if is_late { ": too late" } else { "" }
        );
        run.note(&line);
    }
    run.note(&format!(
        "{late} requests reached the draining runner later than 2,000 ms after the acknowledgement"
    ));
    match late {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

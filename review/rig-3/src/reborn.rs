//! A runner crashes behind a cut and starts again, while it streams without framing.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Run,
    http::Conn,
    proxy::Proxy,
    runner::{self, Arrival, Runner},
    setup::{self, Arrivals},
};

/// The pieces of a stream, as `schedule-answer` has on average, and the pause before each.
const EVENTS: u32 = 49;
const PAUSE: Duration = Duration::from_millis(100);
const STREAMS: usize = 60;
const RUNNERS: usize = 5;
/// When the cut begins, the runner crashes, and starts again, and when the cut ends.
const CUT: Duration = Duration::from_millis(2_500);
const CRASH: Duration = Duration::from_millis(300);
const START: Duration = Duration::from_millis(700);
const HEAL: Duration = Duration::from_millis(500);

fn start(id: &str, arrivals: &Arrivals) -> Runner {
    let answer = |_: &Runner, arrival: &Arrival, conn: &mut Conn| {
        runner::unframed(conn, arrival, EVENTS, PAUSE)
    };
    Runner::start(id, [127, 0, 0, 1].into(), arrivals.clone(), answer)
}

/// What a client saw of its stream: the status, the ids of its events, and whether it ended as complete.
fn stream(front: SocketAddr, id: &str) -> (u16, Vec<u32>, bool) {
    let text = format!(
        "POST /answer/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Count: 826,49\r\n\
         Prompt-Prefix: 5c:198,{id}:628\r\nDeadline: 12000\r\nCredential: k1\r\nContent-Length: 2\r\n\r\nhi"
    );
    let Ok(mut conn) = Conn::connect(front) else {
        return (0, Vec::new(), false);
    };
    let head = conn.send(text.as_bytes()).and_then(|()| conn.head());
    let Ok(Some(head)) = head else {
        return (0, Vec::new(), false);
    };
    let (body, whole) = conn.body(&head, false);
    let body = String::from_utf8_lossy(&body).into_owned();
    let ids = body
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    (head.status(), ids.collect(), whole)
}

pub fn run(run: &mut Run) -> Outcome {
    let (store, address) = setup::store();
    let arrivals: Arrivals = Arc::default();
    let mut runners = Vec::new();
    for i in 0..RUNNERS {
        let id = format!("i-{i:08x}");
        let runner = start(&id, &arrivals);
        let proxy = Proxy::start([127, 0, 0, 1].into(), runner.address);
        store.put(
            &format!("servers/{id}"),
            &runner.entry_at(proxy.address, "letters", 64, "ready"),
        );
        runners.push((runner, proxy));
    }
    let routes = [setup::route(
        "answer",
        "streaming",
        "letters",
        12_000,
        400,
        2,
    )];
    store.put("op/config", &setup::config(3, &routes, 16_384, &["k1"]));
    let Some(gateway) = setup::gateway(run, address, 110) else {
        return Outcome::Failed;
    };
    let front = gateway.machine.front;
    thread::sleep(Duration::from_secs(4));
    let begun = Instant::now();
    let mut clients = Vec::new();
    for i in 0..STREAMS {
        clients.push(thread::spawn(move || {
            let id = format!("{:x}", 0xa000 + i);
            let seen = stream(front, &id);
            (id, seen)
        }));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(CUT.saturating_sub(begun.elapsed()));
    if run.trouble {
        let (old, proxy) = &runners[0];
        let at = |begun: Instant| begun.elapsed().as_millis();
        proxy.hold(true);
        run.note(&format!("{} ms: runner {} is cut off", at(begun), old.id));
        thread::sleep(CRASH);
        old.crash();
        run.note(&format!(
            "{} ms: it crashes behind the cut, at {} requests",
            at(begun),
            old.busy.load(std::sync::atomic::Ordering::SeqCst)
        ));
        thread::sleep(START);
        let new = start("i-000000ff", &arrivals);
        proxy.redirect(new.address);
        run.note(&format!("{} ms: it starts again as {}", at(begun), new.id));
        thread::sleep(HEAL);
        store.put(
            &format!("servers/{}", new.id),
            &new.entry_at(proxy.address, "letters", 64, "ready"),
        );
        proxy.hold(false);
        run.note(&format!(
            "{} ms: the cut heals, and the runner writes its entry",
            at(begun)
        ));
    }
    let (mut early, mut good) = (0, 0);
    for client in clients {
        let (id, (status, ids, whole)) = client.join().unwrap_or_default();
        let in_order = ids.iter().copied().eq(1..=ids.len() as u32);
        let all = in_order && ids.len() as u32 == EVENTS;
        let is_early = status == 200 && whole && !all;
        early += u32::from(is_early);
        good += u32::from(status == 200 && whole && all);
        let verdict = if is_early {
            ": ends as complete before its last piece"
        } else {
            ""
        };
        run.note(&format!("stream {id}: status {status}, {} of {EVENTS} pieces, in order {in_order}, ended as complete {whole}{verdict}", ids.len()));
    }
    for arrival in arrivals.lock().unwrap().iter() {
        let last = arrival.head.get("last-event-id").unwrap_or("-");
        run.record.push_str(&format!(
            "request {} ran at {} from {last}\n",
            arrival.id, arrival.runner
        ));
    }
    run.note(&format!(
        "{good} of {STREAMS} streams came whole; {early} ended as complete before their last piece"
    ));
    if good < 10 {
        return Outcome::Failed;
    }
    match early {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

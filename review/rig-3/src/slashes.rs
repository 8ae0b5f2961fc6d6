//! Paths of slashes, inside the limit on heads, and ordinary callers beside them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Run,
    http::Conn,
    ordinary::{Calls, ORDINARY, TIMEOUT_MS, ask},
    runner::{self, Arrival, Runner},
    setup::{self, Arrivals},
};

/// The callers that ask for long paths, and the length of these with and without the disruption.
const CALLERS: usize = 150;
const MANY_SLASHES: usize = 16_000;
const FEW_SLASHES: usize = 3;
const PLAIN: usize = 3;
const MEMORY_MB: u32 = 260;
const LENGTH: Duration = Duration::from_secs(25);

fn request(id: &str, slashes: usize) -> String {
    let path = "/".repeat(slashes);
    format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline: 2500\r\n\r\n"
    )
}

/// Asks for a path of slashes, one request after the other.
fn asking(front: SocketAddr, end: Instant, i: usize, slashes: usize, answered: &AtomicU64) {
    let mut serial = 0;
    while Instant::now() < end {
        let Ok(mut conn) = Conn::connect(front) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while Instant::now() < end {
            serial += 1;
            if ask(&mut conn, &request(&format!("s{i}-{serial}"), slashes)) == 0 {
                break;
            }
            answered.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(100));
        }
    }
}

pub fn run(run: &mut Run) -> Outcome {
    let slashes = if run.trouble {
        MANY_SLASHES
    } else {
        FEW_SLASHES
    };
    let (store, address) = setup::store();
    let arrivals: Arrivals = Arc::default();
    for i in 0..PLAIN {
        let answer =
            |_: &Runner, arrival: &Arrival, conn: &mut Conn| runner::whole(conn, &arrival.id, 800);
        let id = format!("i-{i:08x}");
        let runner = Runner::start(&id, [127, 0, 0, 1].into(), arrivals.clone(), answer);
        store.put(
            &format!("servers/{id}"),
            &runner.entry("signup", 6, "ready"),
        );
    }
    let routes = [setup::route("lookup", "safe", "signup", TIMEOUT_MS, 150, 2)];
    store.put("op/config", &setup::config(3, &routes, 16_384, &["k00"]));
    let Some(mut gateway) = setup::gateway(run, address, MEMORY_MB) else {
        return Outcome::Failed;
    };
    let front = gateway.machine.front;
    let head = request("s100-1", slashes).len();
    run.note(&format!("{CALLERS} callers ask for a path of {slashes} slashes in heads of {head} bytes; {ORDINARY} ordinary callers beside them"));
    let start = Instant::now();
    let end = start + LENGTH;
    let answered: Arc<AtomicU64> = Arc::default();
    for i in 0..CALLERS {
        let answered = answered.clone();
        let small = thread::Builder::new().stack_size(128 << 10);
        let _ = small.spawn(move || asking(front, end, i, slashes, &answered));
    }
    let calls = Calls::make(front, start, end, &["k00"]);
    calls.note(run);
    run.note(&format!(
        "requests for slashes: {} answered; {} requests reached runners",
        answered.load(Ordering::Relaxed),
        arrivals.lock().unwrap().len()
    ));
    if gateway.has_ended() {
        return Outcome::Failed;
    }
    calls.judge(run)
}

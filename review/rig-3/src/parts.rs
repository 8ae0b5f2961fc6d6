//! Prompts of many parts that are all the same, and ordinary callers of another service beside them.

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

/// The figures of the sheet.
const ENGINES: usize = 18;
const SLOTS: u32 = 64;
const KV_TOKENS: u32 = 578_068;
const PLAIN: usize = 3;
const MEMORY_MB: u32 = 260;
/// The keys of the 16 tenants.
const KEYS: [&str; 16] = [
    "k00", "k01", "k02", "k03", "k04", "k05", "k06", "k07", "k08", "k09", "k10", "k11", "k12",
    "k13", "k14", "k15",
];
const CALLERS: usize = 600;
const MANY_PARTS: usize = 2_500;
const FEW_PARTS: usize = 3;
const LENGTH: Duration = Duration::from_secs(25);

fn prompt(id: &str, key: &str, parts: usize) -> String {
    let list: Vec<_> = (0..parts).map(|i| format!("{i:x}:1")).collect();
    let body = "x".repeat(800);
    format!(
        "POST /dialogue/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Count: {parts},20\r\n\
         Prompt-Prefix: {}\r\nDeadline: 15000\r\nCredential: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        list.join(","),
        body.len()
    )
}

/// Sends prompts one after the other.
fn prompting(front: SocketAddr, end: Instant, i: usize, parts: usize, counts: &[AtomicU64; 3]) {
    let mut serial = 0;
    while Instant::now() < end {
        let Ok(mut conn) = Conn::connect(front) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while Instant::now() < end {
            serial += 1;
            let status = ask(
                &mut conn,
                &prompt(&format!("p{i}-{serial}"), KEYS[i % KEYS.len()], parts),
            );
            let at = match status {
                200 => 0,
                0 => 2,
                _ => 1,
            };
            counts[at].fetch_add(1, Ordering::Relaxed);
            if status != 200 {
                thread::sleep(Duration::from_millis(300));
            }
            if status == 0 {
                break;
            }
        }
    }
}

pub fn run(run: &mut Run) -> Outcome {
    let parts = if run.trouble { MANY_PARTS } else { FEW_PARTS };
    let (store, address) = setup::store();
    let arrivals: Arrivals = Arc::default();
    for i in 0..ENGINES + PLAIN {
        let is_engine = i < ENGINES;
        let answer = move |_: &Runner, arrival: &Arrival, conn: &mut Conn| match is_engine {
            true => runner::stream(conn, &arrival.id, 4, Duration::from_millis(50)),
            false => runner::whole(conn, &arrival.id, 800),
        };
        let id = format!("i-{i:08x}");
        let runner = Runner::start(&id, [127, 0, 0, 1].into(), arrivals.clone(), answer);
        let (service, slots) = if is_engine {
            ("letters", SLOTS)
        } else {
            ("signup", 6)
        };
        store.put(
            &format!("servers/{id}"),
            &runner.entry(service, slots, "ready"),
        );
    }
    let routes = [
        setup::route("dialogue", "streaming", "letters", 15_000, 600, 1),
        setup::route("lookup", "safe", "signup", TIMEOUT_MS, 150, 2),
    ];
    let config = setup::config(3, &routes, 16_384, &KEYS);
    let config = config.replace("\"slots\":64", &format!("\"slots\":{SLOTS}"));
    store.put(
        "op/config",
        &config.replace("578068", &KV_TOKENS.to_string()),
    );
    let Some(mut gateway) = setup::gateway(run, address, MEMORY_MB) else {
        return Outcome::Failed;
    };
    let front = gateway.machine.front;
    let head = prompt("p100-1", KEYS[0], parts).len() - 800;
    run.note(&format!("{CALLERS} callers of {} tenants send prompts of {parts} parts in heads of {head} bytes; {ORDINARY} ordinary callers beside them", KEYS.len()));
    let start = Instant::now();
    let end = start + LENGTH;
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    for i in 0..CALLERS {
        let counts = counts.clone();
        let small = thread::Builder::new().stack_size(128 << 10);
        let _ = small.spawn(move || prompting(front, end, i, parts, &counts));
    }
    let calls = Calls::make(front, start, end, &KEYS);
    calls.note(run);
    let [answered, refused, broken] = [0, 1, 2].map(|i| counts[i].load(Ordering::Relaxed));
    run.note(&format!("prompts: {answered} answered, {refused} refused, {broken} broken off; {} requests reached runners", arrivals.lock().unwrap().len()));
    if gateway.has_ended() {
        return Outcome::Failed;
    }
    calls.judge(run)
}

//! Prompts of many parts that are all the same, and ordinary callers of another service beside them.

use std::{
    net::{SocketAddr, TcpStream},
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
    runner::{self, Arrival, Runner},
    setup::{self, Arrivals},
};

/// The figures of the sheet.
const ENGINES: usize = 9;
const SLOTS: u32 = 128;
const KV_TOKENS: u32 = 960_364;
const PLAIN: usize = 3;
const TIMEOUT_MS: u32 = 1_200;
const BUDGET_MS: u32 = 2_500;
const MEMORY_MB: u32 = 260;
/// The keys of the 16 tenants.
const KEYS: [&str; 16] = [
    "k00", "k01", "k02", "k03", "k04", "k05", "k06", "k07", "k08", "k09", "k10", "k11", "k12",
    "k13", "k14", "k15",
];
const CALLERS: usize = 600;
const ORDINARY: usize = 20;
const MANY_PARTS: usize = 2_500;
const FEW_PARTS: usize = 3;
const LENGTH: Duration = Duration::from_secs(25);
/// The time from the start from which on ordinary calls count: `contactMs`.
const WARM: u128 = 3_000;

/// One call of an ordinary caller.
struct Call {
    began: u128,
    took: u128,
    /// The status; 0 if the caller gave up at its time budget.
    status: u16,
}

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

fn ask(conn: &mut Conn, text: &str) -> u16 {
    let answer = conn.send(text.as_bytes()).and_then(|()| conn.head());
    let Ok(Some(head)) = answer else {
        return 0;
    };
    match conn.body(&head, false).1 {
        true => head.status(),
        false => 0,
    }
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

/// Asks for a chart again and again, and gives each call up at its time budget.
fn ordinary(front: SocketAddr, start: Instant, end: Instant, i: usize) -> Vec<Call> {
    let budget = Duration::from_millis(u64::from(BUDGET_MS));
    let (mut calls, mut serial, mut kept) = (Vec::new(), 0, None);
    while Instant::now() < end {
        serial += 1;
        let began = Instant::now();
        let conn = kept.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
            Some(Conn::new(stream))
        });
        let status = conn.map_or(0, |mut conn| {
            let _ = conn.stream.set_read_timeout(Some(budget.saturating_sub(began.elapsed()).max(Duration::from_millis(1))));
            let text = format!(
                "GET /lookup/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: o{i}-{serial}\r\nDeadline: {BUDGET_MS}\r\nCredential: {}\r\n\r\n",
                KEYS[i % KEYS.len()]
            );
            let status = ask(&mut conn, &text);
            kept = (status != 0).then_some(conn);
            status
        });
        calls.push(Call {
            began: (began - start).as_millis(),
            took: began.elapsed().as_millis(),
            status,
        });
        thread::sleep(Duration::from_millis(100));
    }
    calls
}

pub fn run(run: &mut Run) -> Outcome {
    let parts = if run.trouble { MANY_PARTS } else { FEW_PARTS };
    let (store, address) = setup::store();
    let arrivals: Arrivals = Arc::default();
    for i in 0..ENGINES + PLAIN {
        let is_engine = i < ENGINES;
        let answer = move |_: &Runner, arrival: &Arrival, conn: &mut Conn| match is_engine {
            true => runner::stream(conn, &arrival.id, 10, Duration::from_millis(50)),
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
    let callers: Vec<_> = (0..ORDINARY)
        .map(|i| thread::spawn(move || ordinary(front, start, end, i)))
        .collect();
    let mut calls: Vec<_> = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap_or_default())
        .collect();
    calls.sort_by_key(|call| call.began);
    for call in &calls {
        let what = if call.status == 0 {
            "no answer".to_owned()
        } else {
            call.status.to_string()
        };
        run.record.push_str(&format!(
            "ordinary call at {} ms: {what} after {} ms\n",
            call.began, call.took
        ));
    }
    let counted: Vec<_> = calls.iter().filter(|call| call.began >= WARM).collect();
    let timeout = u128::from(TIMEOUT_MS);
    let without = |limit: u128| counted.iter().filter(|call| call.took > limit).count();
    let (at, later) = (without(timeout), without(timeout + 500));
    let good = counted.iter().filter(|call| call.status == 200).count();
    let longest = calls.iter().map(|call| call.took).max().unwrap_or(0);
    let [answered, refused, broken] = [0, 1, 2].map(|i| counts[i].load(Ordering::Relaxed));
    run.note(&format!("prompts: {answered} answered, {refused} refused, {broken} broken off; {} requests reached runners", arrivals.lock().unwrap().len()));
    run.note(&format!(
        "ordinary calls: {}, {good} answered with success, the longest took {longest} ms",
        counted.len()
    ));
    run.note(&format!("{at} had no answer at their route's timeout of {TIMEOUT_MS} ms, and {later} of them none half a second later"));
    if gateway.has_ended() || good == 0 && !run.trouble {
        return Outcome::Failed;
    }
    match later >= 8 && later * 2 > at {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

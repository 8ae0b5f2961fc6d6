//! Prompts of many parts, inside the limit on heads, and the memory of two gateways.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Run,
    gateway::{Gateway, Machine, free_port},
    http::{self, Conn},
    runner::{self, Arrival, Runner},
    setup::{self, Arrivals},
};

/// The figures of the sheet: runners, their slots, and the memory of an edge machine.
const RUNNERS: usize = 18;
const SLOTS: u32 = 64;
const MEMORY_MB: u32 = 110;
const MACHINES: usize = 2;
/// The callers at each machine, and the parts of a prompt with and without the disruption.
const CALLERS: usize = 700;
const MANY_PARTS: usize = 2_500;
const FEW_PARTS: usize = 3;
/// The size of a body, and the number of further fields of a head.
const BODY: usize = 8_000;
const NOTES: usize = 80;
const LENGTH: Duration = Duration::from_secs(50);
/// How often processes must end by themselves for the rule.
const ENDS: u32 = 3;

#[derive(Default)]
struct Counts {
    answered: u64,
    refused: u64,
    broken: u64,
}

fn request(serial: u64, parts: usize) -> String {
    let part = |i: usize| match i {
        0 => format!("{:x}:1", serial << 16),
        _ => format!("{i:x}:1"),
    };
    let list: Vec<_> = (0..parts).map(part).collect();
    let body = "x".repeat(BODY);
    let notes: String = (0..NOTES).map(|i| format!("X-{i:02}: a\r\n")).collect();
    format!(
        "POST /welcome/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {serial:016x}\r\nModel: m\r\n\
         Token-Count: {parts},20\r\nPrompt-Prefix: {}\r\nDeadline: 15000\r\nCredential: k1\r\n{notes}\
         Content-Length: {}\r\n\r\n{body}",
        list.join(","),
        body.len()
    )
}

/// Sends one request after the other until the end.
fn caller(
    fronts: &[SocketAddr],
    at: &AtomicUsize,
    end: Instant,
    parts: usize,
    serial: &AtomicU64,
    counts: &Mutex<Counts>,
) {
    while Instant::now() < end {
        let chosen = at.load(Ordering::Relaxed);
        let Ok(mut conn) = Conn::connect(fronts[chosen]) else {
            thread::sleep(Duration::from_millis(500));
            continue;
        };
        while Instant::now() < end && at.load(Ordering::Relaxed) == chosen {
            let text = request(serial.fetch_add(1, Ordering::Relaxed), parts);
            let answer = conn.send(text.as_bytes()).and_then(|()| conn.head());
            let Ok(Some(head)) = answer else {
                counts.lock().unwrap().broken += 1;
                thread::sleep(Duration::from_millis(500));
                break;
            };
            let (_, whole) = conn.body(&head, false);
            let mut counts = counts.lock().unwrap();
            match (head.status(), whole) {
                (200, true) => counts.answered += 1,
                (200, false) => counts.broken += 1,
                _ => counts.refused += 1,
            }
            drop(counts);
            if head.status() != 200 {
                thread::sleep(Duration::from_millis(500));
            }
            if !whole || head.get("connection").is_some_and(|text| text == "close") {
                break;
            }
        }
    }
}

pub fn run(run: &mut Run) -> Outcome {
    let parts = if run.trouble { MANY_PARTS } else { FEW_PARTS };
    let (store, address) = setup::store();
    let arrivals: Arrivals = Arc::default();
    for i in 0..RUNNERS {
        let answer = |_: &Runner, arrival: &Arrival, conn: &mut Conn| {
            runner::stream(conn, &arrival.id, 64, Duration::from_millis(100))
        };
        let id = format!("i-{i:08x}");
        let runner = Runner::start(&id, [127, 0, 0, 1].into(), arrivals.clone(), answer);
        store.put(
            &format!("servers/{id}"),
            &runner.entry("letters", SLOTS, "ready"),
        );
    }
    let routes = [setup::route(
        "welcome",
        "streaming",
        "letters",
        15_000,
        600,
        2,
    )];
    store.put("op/config", &setup::config(3, &routes, 16_384, &["k1"]));
    let ips: Vec<IpAddr> = (0..MACHINES)
        .map(|i| [127, 0, 0, 1 + i as u8].into())
        .collect();
    let peer_port = free_port(ips[0]);
    let seeds: Vec<_> = ips.iter().map(|ip| format!("{ip}:{peer_port}")).collect();
    let mut machines = Vec::new();
    for (i, ip) in ips.iter().enumerate() {
        let mut machine = Machine::new(&format!("edge-{}", i + 1), *ip, peer_port, address);
        machine.memory_mb = MEMORY_MB;
        machine.seeds = seeds.clone();
        machines.push(machine);
    }
    let mut gateways: Vec<_> = machines
        .iter()
        .map(|machine| Gateway::start(machine.clone(), &run.folder))
        .collect();
    if !http::wait_for(Duration::from_secs(10), || {
        gateways.iter().all(Gateway::is_ready)
    }) {
        run.note("the gateways did not become ready");
        return Outcome::Failed;
    }
    let size = request(1 << 20, parts).len() - BODY;
    run.note(&format!("{MACHINES} gateways of {MEMORY_MB} MB, {CALLERS} callers at each; heads of {size} bytes with {parts} parts, maxHeaderBytes 16,384"));
    let start = Instant::now();
    let end = start + LENGTH;
    let serial = Arc::new(AtomicU64::new(1 << 20));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    // The platform sends all connections of one client to the same machine, until that one is lost.
    let chosen = Arc::new(AtomicUsize::new(0));
    for _ in 0..CALLERS {
        let fronts: Vec<_> = machines.iter().map(|machine| machine.front).collect();
        let (chosen, serial, counts) = (chosen.clone(), serial.clone(), counts.clone());
        let small = thread::Builder::new().stack_size(128 << 10);
        let _ = small.spawn(move || caller(&fronts, &chosen, end, parts, &serial, &counts));
    }
    let limit = u64::from(MEMORY_MB) << 10;
    let mut ends = [0; MACHINES];
    let mut most = [0; MACHINES];
    let mut noted = start;
    while Instant::now() < end && ends.iter().any(|count| *count < ENDS) {
        thread::sleep(Duration::from_millis(20));
        for (i, gateway) in gateways.iter_mut().enumerate() {
            let taken = gateway.memory_kb("RssAnon:");
            most[i] = most[i].max(taken);
            let at = start.elapsed().as_millis();
            let by_itself = gateway.has_ended();
            if taken <= limit && !by_itself {
                continue;
            }
            // The platform kills a process that exceeds its memory, and starts it again.
            ends[i] += 1;
            let counts = counts.lock().unwrap();
            run.note(&format!(
                "{at} ms: {} has {taken} KB of anonymous memory, more than {limit} KB, and ends (by itself: {by_itself}); until now {} answered, {} refused, {} broken off",
                gateway.machine.name, counts.answered, counts.refused, counts.broken
            ));
            drop(counts);
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
            *gateway = Gateway::start(machines[i].clone(), &run.folder);
            let next = chosen.load(Ordering::Relaxed) + 1;
            if i + 1 == next && ends[i] >= ENDS && next < MACHINES {
                chosen.store(next, Ordering::Relaxed);
            }
        }
        if start.elapsed() > LENGTH / 2 && chosen.load(Ordering::Relaxed) == 0 {
            chosen.store(1, Ordering::Relaxed);
        }
        if noted.elapsed() > Duration::from_secs(5) {
            noted = Instant::now();
            let counts = counts.lock().unwrap();
            run.note(&format!(
                "{} ms: {} answered, {} refused, {} broken off; largest anonymous memory {most:?} KB",
                start.elapsed().as_millis(), counts.answered, counts.refused, counts.broken
            ));
        }
    }
    let counts = counts.lock().unwrap();
    run.note(&format!(
        "{} requests reached runners; {} answered, {} refused, {} broken off; largest anonymous memory {most:?} KB; processes ended {ends:?} times",
        arrivals.lock().unwrap().len(), counts.answered, counts.refused, counts.broken
    ));
    if !run.trouble && counts.answered < 1_000 {
        return Outcome::Failed;
    }
    match ends.iter().all(|count| *count >= ENDS) {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

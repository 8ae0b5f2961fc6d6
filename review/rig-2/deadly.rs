//! BUDGET: a part of a prompt crashes each runner that begins to write an answer on it. It stands
//! behind many other parts.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use crate::{
    fleet,
    kit::{
        Ports, Record, Store, call, finish, is_running, kill, now_ms, read_log, sleep_ms, sleep_until,
        start_gateway, trouble,
    },
};

const CONTACT_MS: u64 = 3_000;

/// The parts of a conversation before its deadly one; `TURNS` sets another number.
const TURNS: usize = 70;

pub fn main(dir: &str) {
    let record = Record::create(&format!("{dir}/record.txt"));
    let work = fleet::scratch();
    let (store, store_address) = Store::start();
    let ips = ["127.0.0.2"];
    let ports = Ports::free(&ips);
    let log = format!("{work}/runs.log");
    store.put("op/config", Some(&fleet::config()));
    let options = ["events=20", "every=20", "work=50", "deadly=dead"];
    let mut runners = Vec::new();
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        let runner = fleet::start_runner(name, None, &log, &options);
        store.put(&format!("servers/{name}"), Some(&runner.entry("llm", 128, "ready")));
        runners.push(runner);
    }
    let gateway = start_gateway(&work, "edge-1", ips[0], ports, &ips, store_address);
    if !gateway.await_ready() {
        finish(&record, 2, "the gateway is not ready");
    }
    // A runner that has crashed is back after three seconds, under its id.
    let stop = Arc::new(AtomicBool::new(false));
    let (stopped, of_store, of_log) = (stop.clone(), store.clone(), log.clone());
    let keeper = thread::spawn(move || {
        let mut down = vec![None; runners.len()];
        while !stopped.load(Ordering::SeqCst) {
            for (i, since) in down.iter_mut().enumerate() {
                match *since {
                    None if !is_running(runners[i].process) => *since = Some(now_ms()),
                    Some(at) if now_ms() >= at + 3_000 => {
                        kill(runners[i].process);
                        let (name, address) = (runners[i].name.clone(), runners[i].address);
                        runners[i] = fleet::start_runner(&name, Some(address), &of_log, &options);
                        sleep_ms(30);
                        of_store.put(&format!("servers/{name}"), Some(&runners[i].entry("llm", 128, "ready")));
                        *since = None;
                    }
                    _ => {}
                }
            }
            sleep_ms(20);
        }
    });
    let start = now_ms();
    let mut clients = Vec::new();
    // A conversation of many turns; the requests differ in the last part.
    let count = std::env::var("TURNS").ok().and_then(|text| text.parse().ok()).unwrap_or(TURNS);
    let turns: Vec<_> = (0..count).map(|i| format!("a{i:x}:20")).collect();
    let turns = turns.join(",");
    for n in 0..450_u64 {
        let (to, record) = (gateway.http, record.clone());
        let deadly = n % 15 == 14;
        let middle = if deadly && trouble() { "dead:20," } else { "" };
        let parts = format!("{turns},{middle}{:x}:10", 0x1000_0000 + n);
        clients.push(thread::spawn(move || {
            sleep_until(start + 100 * n);
            let id = if deadly { format!("d{n}") } else { format!("s{n}") };
            let at = now_ms();
            let seen = call(to, &fleet::stream_request(&id, &parts), 4_000);
            record.line_at(at, &format!("sent {id} status {} complete {} {}", seen.status, seen.complete, seen.error));
            (id, seen.status == 200 && seen.complete)
        }));
    }
    let seen: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
    stop.store(true, Ordering::SeqCst);
    let _ = keeper.join();
    let runs = read_log(&log);
    let mut crashes = Vec::new();
    for run in &runs {
        let at: u64 = run[0].parse().unwrap_or(0);
        record.line_at(at, &format!("at runner {} {} {}", run[1], run[3], run.get(4).map_or("", String::as_str)));
        if run[3] == "crash" {
            crashes.push(at);
        }
    }
    crashes.sort_unstable();
    let bound = crashes.get(4).map_or(u64::MAX, |at| at + CONTACT_MS);
    let late = runs.iter().filter(|run| {
        let at: u64 = run[0].parse().unwrap_or(0);
        run[3] == "run" && run[4].starts_with('d') && trouble() && at > bound
    });
    let late = late.count();
    let sound = seen.iter().filter(|(id, _)| id.starts_with('s'));
    let served = sound.clone().filter(|(_, served)| *served).count();
    let summary = format!(
        "{} crashes; {late} requests with the deadly part reached runners later than contactMs after the fifth; \
         {served} of {} sound requests were served",
        crashes.len(),
        sound.count()
    );
    record.line(&gateway.status().replace('\n', " "));
    if served == 0 {
        finish(&record, 2, &format!("nothing was served: {summary}"));
    }
    finish(&record, i32::from(late > 3), &summary);
}

//! DRAIN: the open connections to the store go silent, and in the same second a runner leaves that
//! never reports `draining`: its entry is removed.

use std::{
    sync::atomic::Ordering,
    thread,
    time::Duration,
};

use crate::kit::{
    Ports, Proxy, Record, Store, call, finish, kill, now_ms, read_log, sleep_ms, sleep_until,
    start_gateway, trouble,
};

use crate::fleet;

const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

/// What is added to the bounds for the scheduling of this machine.
const MARGIN_MS: u64 = 100;

pub fn main(dir: &str) {
    let record = Record::create(&format!("{dir}/record.txt"));
    let work = fleet::scratch();
    let (store, store_address) = Store::start();
    let proxy = Proxy::start(store_address);
    let ips = ["127.0.0.2", "127.0.0.3"];
    let ports = Ports::free(&ips);
    let log = format!("{work}/runs.log");
    store.put("op/config", Some(&fleet::config()));
    let mut runners = Vec::new();
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        let runner = fleet::start_runner(name, None, &log, &["work=30"]);
        store.put(&format!("servers/{name}"), Some(&runner.entry("shop", 6, "ready")));
        runners.push(runner);
    }
    let gateways: Vec<_> = ips
        .iter()
        .zip(["edge-1", "edge-2"])
        .map(|(ip, name)| start_gateway(&work, name, ip, ports, &ips, proxy.address))
        .collect();
    if !gateways.iter().all(|gateway| gateway.await_ready()) {
        finish(&record, 2, "a gateway is not ready");
    }
    // 75 unsafe requests a second at each gateway, for 16 s.
    let start = now_ms();
    let end = start + 16_000;
    let mut clients = Vec::new();
    for (g, gateway) in gateways.iter().enumerate() {
        for c in 0..15 {
            let (to, record) = (gateway.http, record.clone());
            clients.push(thread::spawn(move || {
                let mut sent = Vec::new();
                for n in 0.. {
                    sleep_until(start + 200 * n + 13 * c + 7 * g as u64);
                    if now_ms() >= end {
                        return sent;
                    }
                    let id = format!("g{g}c{c}n{n}");
                    let request = fleet::plain_request(&id);
                    let at = now_ms();
                    let seen = call(to, &request, 4_000);
                    record.line_at(at, &format!("sent {id} to edge-{} status {} {}", g + 1, seen.status, seen.error));
                    sent.push((id, at, seen.status));
                }
                sent
            }));
        }
    }
    sleep_until(start + 5_000);
    // The moment just after a gateway has asked the store for its newest revision.
    let calls = store.key_calls.load(Ordering::SeqCst);
    while store.key_calls.load(Ordering::SeqCst) == calls && now_ms() < start + 8_000 {
        sleep_ms(2);
    }
    sleep_ms(20);
    let silent = now_ms();
    if trouble() {
        proxy.silence();
        record.line("the open connections to the store go silent; new ones work");
    }
    sleep_until(silent + 300);
    // The runner with the most requests leaves.
    let runs = read_log(&log);
    let count = |name: &str| runs.iter().filter(|run| run[1] == name && run[3] == "run").count();
    let leaver = runners.iter().max_by_key(|runner| count(&runner.name)).expect("there are runners");
    let name = leaver.name.as_str();
    let removed = store.put(&format!("servers/{name}"), None);
    record.line_at(removed, &format!("the store acknowledges that {name} is gone"));
    // It goes on serving for drainMs and a little longer.
    sleep_until(removed + DRAIN_MS + 1_000);
    kill(leaver.process);
    record.line(&format!("{name} has ended"));
    let sent: Vec<_> = clients.into_iter().flat_map(|client| client.join().expect("a client ends")).collect();
    thread::sleep(Duration::from_millis(200));

    let bound = (removed + DRAIN_MS).max(if trouble() { silent + CONTACT_MS } else { 0 }) + MARGIN_MS;
    let mut late = 0;
    let mut last = 0;
    for run in read_log(&log) {
        let at: u64 = run[0].parse().unwrap_or(0);
        record.line_at(at, &format!("at runner {} {} {}", run[1], run[3], run.get(4).map_or("", String::as_str)));
        if run[1] == name && run[3] == "run" {
            last = last.max(at);
            let taken = sent.iter().find(|(id, ..)| *id == run[4]).map_or(0, |(_, at, _)| *at);
            late += u32::from(at > bound && taken > bound);
        }
    }
    let others = sent.iter().filter(|(_, _, status)| *status != 200).count();
    let served = sent.len() - others;
    let summary = format!(
        "{late} requests reached {name} later than drainMs after the store's acknowledgement, from gateways that \
         were in touch; the last request there {} ms after it; {served} of {} requests served, {others} not ({})",
        last as i64 - removed as i64,
        sent.len(),
        sent.iter().filter(|(_, _, status)| *status != 200).map(|(_, _, status)| status.to_string()).collect::<Vec<_>>().join(" ")
    );
    if served < sent.len() / 2 {
        finish(&record, 2, &format!("too few were served: {summary}"));
    }
    finish(&record, i32::from(late > 0), &summary);
}

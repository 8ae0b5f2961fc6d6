//! LETTERS, hard load: "no process ends or hangs, each stays within the memory of its machine".
//! Clients that we don't control send heads inside the limits, whose `Prompt-Prefix` has very many
//! small parts, and are slow with the body.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use crate::{
    fleet,
    kit::{
        Ports, Record, Store, call, finish, is_running, kill, now_ms, read_log, sleep_ms, sleep_until,
        start_gateway_with, trouble,
    },
};

/// The memory of an edge machine of magnolia-studies.
const MEMORY_MB: u64 = 110;

/// The connections of the clients that we don't control; `maxFds` allows 4,100.
const CONNECTIONS: u64 = 900;

pub fn main(dir: &str) {
    let record = Record::create(&format!("{dir}/record.txt"));
    let work = fleet::scratch();
    let (store, store_address) = Store::start();
    let ips = ["127.0.0.2"];
    let ports = Ports::free(&ips);
    let log = format!("{work}/runs.log");
    store.put("op/config", Some(&fleet::config()));
    for name in ["i-1", "i-2", "i-3"] {
        let runner = fleet::start_runner(name, None, &log, &["events=20", "every=20"]);
        store.put(&format!("servers/{name}"), Some(&runner.entry("llm", 64, "ready")));
    }
    let gateway = start_gateway_with(&work, "edge-1", ips[0], ports, &ips, store_address, MEMORY_MB, None);
    if !gateway.await_ready() {
        finish(&record, 2, "the gateway is not ready");
    }
    let start = now_ms();
    // The platform, which kills a process that exceeds its machine's memory. The limit is taken as
    // MiB, which is the more lenient reading.
    let (id, of_platform) = (gateway.id, record.clone());
    let platform = thread::spawn(move || {
        let mut peak = 0;
        let mut noted = 0;
        while now_ms() < start + 20_000 {
            peak = peak.max(resident_kb(id, "VmRSS"));
            if now_ms() >= noted + 500 {
                noted = now_ms();
                of_platform.line(&format!("resident {} kB, at most {peak} kB", resident_kb(id, "VmRSS")));
            }
            if peak > MEMORY_MB * 1_024 {
                of_platform.line(&format!("resident {peak} kB: the platform kills the gateway"));
                kill(id);
                return (peak, true);
            }
            sleep_ms(5);
        }
        (peak, !is_running(id))
    });
    // Ordinary callers: 10 requests a second, for 20 s.
    let mut clients = Vec::new();
    for n in 0..200_u64 {
        let (to, record) = (gateway.http, record.clone());
        clients.push(thread::spawn(move || {
            sleep_until(start + 100 * n);
            let id = format!("s{n}");
            let parts = format!("a{:x}:800,b{:x}:410,c{n:x}:250", n % 4, n % 8);
            let at = now_ms();
            let seen = call(to, &fleet::stream_request(&id, &parts), 4_000);
            record.line_at(at, &format!("sent {id} status {} complete {} {}", seen.status, seen.complete, seen.error));
            seen.status == 200 && seen.complete
        }));
    }
    sleep_until(start + 3_000);
    let parts = match trouble() {
        // 3,900 parts in 15,600 bytes: inside maxHeaderBytes, which is 16,384.
        true => vec!["1:1"; 3_900].join(","),
        false => "a1:800,b2:410,c3:250".to_owned(),
    };
    let mut open = Vec::new();
    for n in 0..CONNECTIONS {
        // 225 connections a second.
        sleep_until(start + 3_000 + n * 4_000 / CONNECTIONS);
        let Ok(stream) = TcpStream::connect_timeout(&gateway.http, Duration::from_secs(1)) else {
            continue;
        };
        let head = format!(
            "POST /talk/h{n} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: h{n}\r\nModel: m\r\n\
             Token-Count: 4000,80\r\nPrompt-Prefix: {parts}\r\nDeadline: 15000\r\nContent-Length: 40\r\n\r\n"
        );
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        if (&stream).write_all(head.as_bytes()).is_ok() {
            open.push(stream);
        }
    }
    record.line(&format!("{} connections have sent a head of 16 KB or less and no body yet", open.len()));
    sleep_until(start + 11_000);
    // They go on with their bodies, as slow clients do, and are answered or refused.
    for stream in &open {
        let _ = (&*stream).write_all(&[b'x'; 40]);
    }
    sleep_ms(1_000);
    let mut answered = 0;
    for stream in &open {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        let mut bytes = [0; 64];
        answered += u32::from((&*stream).read(&mut bytes).is_ok_and(|read| read > 0));
    }
    drop(open);
    let (peak, ended) = platform.join().expect("the platform's watch ends");
    let served = clients.into_iter().map(|client| client.join().expect("a client ends"));
    let served = served.filter(|served| *served).count();
    let runs = read_log(&log).iter().filter(|run| run[3] == "run").count();
    let summary = format!(
        "the gateway took up to {} MB of its machine's {MEMORY_MB} MB{}; {answered} of the {CONNECTIONS} got an answer; \
         {served} of 200 ordinary requests were served; {runs} requests ran",
        peak * 1_024 / 1_000_000,
        if ended { ", and was killed for it" } else { "" }
    );
    if served == 0 {
        finish(&record, 2, &format!("nothing was served: {summary}"));
    }
    finish(&record, i32::from(ended), &summary);
}

/// Returns a figure of the memory of a process, in kB.
fn resident_kb(id: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

//! ORDER and MIXED: a runner whose streams end with their connection is cut off, crashes behind the
//! cut and starts again, all within the cut.

use std::thread;

use crate::{
    fleet,
    kit::{
        Ports, Proxy, Record, Store, call, finish, kill, now_ms, read_log, sleep_ms, sleep_until,
        start_gateway, trouble,
    },
};

const EVENTS: usize = 76;

const OPTIONS: [&str; 3] = ["events=76", "every=50", "unframed"];

pub fn main(dir: &str) {
    let record = Record::create(&format!("{dir}/record.txt"));
    let work = fleet::scratch();
    let (store, store_address) = Store::start();
    let ips = ["127.0.0.2"];
    let ports = Ports::free(&ips);
    let log = format!("{work}/runs.log");
    store.put("op/config", Some(&fleet::config()));
    let mut runners = Vec::new();
    let mut proxies = Vec::new();
    for name in ["i-1", "i-2", "i-3", "i-4", "i-5"] {
        let runner = fleet::start_runner(name, None, &log, &OPTIONS);
        let proxy = Proxy::start(runner.address);
        store.put(&format!("servers/{name}"), Some(&runner.entry_at(proxy.address, "llm", 128, "ready")));
        runners.push(runner);
        proxies.push(proxy);
    }
    let gateway = start_gateway(&work, "edge-1", ips[0], ports, &ips, store_address);
    if !gateway.await_ready() {
        finish(&record, 2, "the gateway is not ready");
    }
    let start = now_ms();
    let mut clients = Vec::new();
    for n in 0..60_u64 {
        let (to, record) = (gateway.http, record.clone());
        clients.push(thread::spawn(move || {
            sleep_until(start + 100 * n);
            let id = format!("s{n}");
            let request = fleet::stream_request(&id, &format!("a{:x}:800,b{:x}:410,c{n:x}:250", n % 4, n % 8));
            let at = now_ms();
            let seen = call(to, &request, 3_000);
            let body = String::from_utf8_lossy(&seen.body).into_owned();
            let events = body.lines().filter(|line| line.starts_with("id:")).count();
            let ended = now_ms();
            record.line_at(at, &format!("sent {id}"));
            record.line_at(
                ended,
                &format!("answer {id} status {} events {events} complete {} {}", seen.status, seen.complete, seen.error),
            );
            (id, seen.status, events, seen.complete)
        }));
    }
    sleep_until(start + 2_500);
    // The runner with the most requests is cut off.
    let runs = read_log(&log);
    let count = |name: &str| runs.iter().filter(|run| run[1] == name && run[3] == "run").count();
    let leaver = runners.iter().max_by_key(|runner| count(&runner.name)).expect("there are runners");
    let name = leaver.name.as_str();
    if trouble() {
        let at = runners.iter().position(|runner| runner.name == name).expect("it is one of them");
        proxies[at].set_cut(true);
        record.line(&format!("{name} is cut off"));
        sleep_ms(400);
        kill(leaver.process);
        record.line(&format!("{name} crashes behind the cut"));
        sleep_ms(400);
        let again = fleet::start_runner(name, Some(leaver.address), &log, &OPTIONS);
        sleep_ms(700);
        proxies[at].set_cut(false);
        record.line(&format!("the cut heals; {name} runs again, born {}", again.born));
        store.put(&format!("servers/{name}"), Some(&again.entry_at(proxies[at].address, "llm", 128, "ready")));
    }
    let seen: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
    sleep_ms(100);
    let runs = read_log(&log);
    for run in &runs {
        record.line_at(
            run[0].parse().unwrap_or(0),
            &format!("at runner {} {} {}", run[1], run[3], run.get(4).map_or("", String::as_str)),
        );
    }
    let whole = |id: &str| runs.iter().any(|run| run[3] == "done" && run[4] == id);
    let short = seen.iter().filter(|(id, status, events, complete)| {
        *status == 200 && *complete && (*events < EVENTS || !whole(id))
    });
    let short = short.count();
    let broken = seen.iter().filter(|(_, status, _, complete)| *status == 200 && !complete).count();
    let served = seen.iter().filter(|(_, status, events, complete)| *status == 200 && *complete && *events == EVENTS);
    let summary = format!(
        "{short} streams ended as complete before their last piece; {broken} ended as broken off; {} of {} were \
         served whole",
        served.count(),
        seen.len()
    );
    if !seen.iter().any(|(_, status, ..)| *status == 200) {
        finish(&record, 2, &format!("nothing was served: {summary}"));
    }
    finish(&record, i32::from(short > 0), &summary);
}

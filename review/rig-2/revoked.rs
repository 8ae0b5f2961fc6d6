//! CONFIG: some gateways are killed and start again; later the store turns them away, and a key is taken
//! away.

use std::thread;

use crate::{
    fleet,
    kit::{
        Gateway, Ports, Proxy, Record, Store, call, finish, kill, now_ms, read_log, sleep_ms, sleep_until,
        start_gateway_in, trouble,
    },
};

const REVOKE_MS: u64 = 5_000;

/// What is added to the bound for the scheduling of this machine.
const MARGIN_MS: u64 = 100;

/// The gateways of each of three zones.
const IN_ZONE: usize = 8;

/// When the gateways of the first zone are killed, after the start.
const KILL_MS: u64 = 15_000;

/// When the store turns them away, and the key is taken away.
const CUT_MS: u64 = 25_000;

pub fn main(dir: &str) {
    let record = Record::create(&format!("{dir}/record.txt"));
    let work = fleet::scratch();
    let (store, store_address) = Store::start();
    let log = format!("{work}/runs.log");
    let both = ",\"tenants\":[{\"name\":\"stall-1\",\"apiKeys\":[\"key-one\"],\"priority\":1},\
                {\"name\":\"stall-2\",\"apiKeys\":[\"key-two\"],\"priority\":1}]";
    let one = ",\"tenants\":[{\"name\":\"stall-1\",\"apiKeys\":[\"key-one\"],\"priority\":1},\
               {\"name\":\"stall-2\",\"apiKeys\":[],\"priority\":1}]";
    store.put("op/config", Some(&fleet::config_with(7, both)));
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        let runner = fleet::start_runner(name, None, &log, &["work=20"]);
        store.put(&format!("servers/{name}"), Some(&runner.entry("shop", 24, "ready")));
    }
    let ips: Vec<_> = (0..3 * IN_ZONE).map(|i| format!("127.0.0.{}", i + 2)).collect();
    let names: Vec<_> = ips.iter().map(String::as_str).collect();
    let ports = Ports::free(&names);
    let seeds = [names[0], names[IN_ZONE], names[2 * IN_ZONE]];
    let proxies: Vec<_> = names.iter().map(|_| Proxy::start(store_address)).collect();
    let start_one = |i: usize| {
        let zone = ["tw-north-a", "tw-north-b", "tw-north-c"][i / IN_ZONE];
        let name = format!("edge-{i}");
        start_gateway_in(zone, &work, &name, names[i], ports, &seeds, proxies[i].address, 260, None)
    };
    let mut gateways: Vec<_> = (0..names.len()).map(start_one).collect();
    let start = now_ms();
    if !gateways.iter().all(|gateway| gateway.await_ready()) {
        finish(&record, 2, "a gateway is not ready");
    }
    // KILL=0 leaves the kills out, to see that the rest alone breaks nothing.
    if trouble() && std::env::var("KILL").map_or(true, |value| value != "0") {
        sleep_until(start + KILL_MS);
        record.line("the gateways of tw-north-a are killed");
        for gateway in &gateways[..IN_ZONE] {
            kill(gateway.id);
        }
        sleep_ms(1_000);
        for (i, gateway) in gateways.iter_mut().enumerate().take(IN_ZONE) {
            *gateway = start_one(i);
        }
        record.line("they start again");
    }
    // From here on, 10 requests a second with the key that is taken away, at each gateway of the zone.
    sleep_until(start + CUT_MS - 2_000);
    let end = start + CUT_MS + 20_000;
    let mut clients = Vec::new();
    for (g, gateway) in gateways.iter().enumerate().take(IN_ZONE) {
        let to = gateway.http;
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let mut sent = Vec::new();
            for n in 0.. {
                sleep_until(start + CUT_MS - 2_000 + 100 * n + 20 * g as u64);
                if now_ms() >= end {
                    return sent;
                }
                let id = format!("g{g}n{n}");
                let request = fleet::plain_request(&id).replace("Connection:", "Credential: key-two\r\nConnection:");
                let at = now_ms();
                let seen = call(to, &request, 3_000);
                record.line_at(at, &format!("sent {id} status {} {}", seen.status, seen.error));
                sent.push((id, at, seen.status));
            }
            sent
        }));
    }
    sleep_until(start + CUT_MS);
    if trouble() {
        proxies[..IN_ZONE].iter().for_each(|proxy| proxy.set_cut(true));
        record.line("the store turns the gateways of tw-north-a away");
    }
    sleep_ms(200);
    let revoked = store.put("op/config", Some(&fleet::config_with(9, one)));
    record.line_at(revoked, "the store acknowledges version 9, without the key");
    // What the gateways say of the age of their rules.
    while now_ms() < end {
        let age = |gateway: &Gateway| {
            let status = gateway.status();
            let rest = status.split("rules_age_ms").nth(1).unwrap_or("");
            rest.split(',').next().unwrap_or("").chars().filter(char::is_ascii_digit).collect::<String>()
        };
        let ages = gateways[..IN_ZONE].iter().map(age);
        record.line(&format!("rules_age_ms {}", ages.collect::<Vec<_>>().join(" ")));
        sleep_ms(1_000);
    }
    let sent: Vec<_> = clients.into_iter().flat_map(|client| client.join().expect("a client ends")).collect();
    let runs = read_log(&log);
    let ran = |id: &str| runs.iter().any(|run| run[3] == "run" && run[4] == id);
    let bound = revoked + REVOKE_MS + MARGIN_MS;
    let late: Vec<_> = sent.iter().filter(|(id, at, _)| *at > bound && ran(id)).collect();
    let last = late.iter().map(|(_, at, _)| at - revoked).max().unwrap_or(0);
    let before = sent.iter().filter(|(_, at, status)| *at < revoked && *status == 200).count();
    let summary = format!(
        "{} requests with the key ran that were sent later than revokeMs after the acknowledgement, the last one \
         {last} ms after it; {before} requests with it were served before",
        late.len()
    );
    if before == 0 {
        finish(&record, 2, &format!("nothing was served before: {summary}"));
    }
    finish(&record, i32::from(!late.is_empty()), &summary);
}

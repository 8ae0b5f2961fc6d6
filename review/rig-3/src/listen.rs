//! The store returns from an older copy while a gateway starts again, and a key that was taken away.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
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

const REVOKE: Duration = Duration::from_millis(5_000);
/// What is added to the bound for this machine.
const MARGIN: Duration = Duration::from_millis(100);
const CALLERS: usize = 20;
/// The times after the acknowledgement at which the store goes away, and then until it returns, and until
/// the operator writes again.
const LEAVE: Duration = Duration::from_millis(5_300);
const AWAY: Duration = Duration::from_millis(2_000);
const REWRITE: Duration = Duration::from_millis(2_000);
/// The time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(300);

fn call(conn: &mut Conn, id: &str, key: &str) -> u16 {
    let text = format!(
        "GET /view/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline: 1000\r\nCredential: {key}\r\n\r\n"
    );
    let answer = conn.send(text.as_bytes()).and_then(|()| conn.head());
    let Ok(Some(head)) = answer else {
        return 0;
    };
    conn.body(&head, false);
    head.status()
}

pub fn run(run: &mut Run) -> Outcome {
    let (store, address) = setup::store();
    let arrivals: Arrivals = Arc::default();
    for i in 0..3 {
        let answer =
            |_: &Runner, arrival: &Arrival, conn: &mut Conn| runner::whole(conn, &arrival.id, 800);
        let id = format!("i-{i:08x}");
        let runner = Runner::start(&id, [127, 0, 0, 1].into(), arrivals.clone(), answer);
        store.put(
            &format!("servers/{id}"),
            &runner.entry("signup", 6, "ready"),
        );
    }
    let routes = [setup::route("view", "safe", "signup", 1_200, 150, 2)];
    store.put(
        "op/config",
        &setup::config(3, &routes, 16_384, &["k1", "k2"]),
    );
    let ips: Vec<IpAddr> = (1..=2).map(|i| [127, 0, 0, i].into()).collect();
    let peer_port = free_port(ips[0]);
    let seeds: Vec<_> = ips.iter().map(|ip| format!("{ip}:{peer_port}")).collect();
    let mut machines = Vec::new();
    for (i, ip) in ips.iter().enumerate() {
        let mut machine = Machine::new(&format!("edge-{}", i + 1), *ip, peer_port, address);
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
    thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    store.put("op/config", &setup::config(4, &routes, 16_384, &["k1"]));
    let acked = Instant::now();
    run.note("0 ms: version 4 takes the key k2 away and is acknowledged");
    let end = acked + LEAVE + AWAY + REWRITE + Duration::from_secs(2);
    let sent: Arc<Mutex<Vec<(String, Duration, usize, u16)>>> = Arc::default();
    let mut callers = Vec::new();
    for i in 0..CALLERS {
        let at = i % 2;
        let (sent, front): (_, SocketAddr) = (sent.clone(), machines[at].front);
        callers.push(thread::spawn(move || {
            let mut serial = 0;
            while Instant::now() < end {
                let Ok(mut conn) = Conn::connect(front) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                while Instant::now() < end {
                    serial += 1;
                    let id = format!("k{i}-{serial}");
                    let began = acked.elapsed();
                    let status = call(&mut conn, &id, "k2");
                    sent.lock().unwrap().push((id, began, at, status));
                    thread::sleep(Duration::from_millis(40 + i as u64));
                    if status == 0 {
                        break;
                    }
                }
            }
        }));
    }
    thread::sleep(LEAVE.saturating_sub(acked.elapsed()));
    if run.trouble {
        store.leave();
    }
    let _ = gateways[0].child.kill();
    let _ = gateways[0].child.wait();
    run.note(&format!(
        "{} ms: edge-1 is killed{}",
        acked.elapsed().as_millis(),
        if run.trouble {
            " and the store goes away"
        } else {
            ""
        }
    ));
    thread::sleep(RESTART);
    gateways[0] = Gateway::start(machines[0].clone(), &run.folder);
    thread::sleep((LEAVE + AWAY).saturating_sub(acked.elapsed()));
    if run.trouble {
        store.return_from(copy);
        run.note(&format!(
            "{} ms: the store returns from its copy with version 3",
            acked.elapsed().as_millis()
        ));
    }
    thread::sleep((LEAVE + AWAY + REWRITE).saturating_sub(acked.elapsed()));
    if run.trouble {
        store.put("op/config", &setup::config(4, &routes, 16_384, &["k1"]));
        run.note(&format!(
            "{} ms: the operator writes version 4 again",
            acked.elapsed().as_millis()
        ));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let sent = sent.lock().unwrap();
    let ran: std::collections::HashSet<_> =
        arrivals.iter().map(|arrival| arrival.id.as_str()).collect();
    let mut late = Vec::new();
    for (id, began, at, status) in sent.iter() {
        let has_run = ran.contains(id.as_str());
        let is_late = has_run && *began > REVOKE + MARGIN;
        run.record.push_str(&format!(
            "request {id} with k2 sent at {} ms to edge-{}: {status}, ran {has_run}{}\n",
            began.as_millis(),
            at + 1,
            if is_late { ": too late" } else { "" }
        ));
        if is_late {
            late.push(began.as_millis());
        }
    }
    run.note(&format!(
        "{} requests with k2, {} of them sent later than 5,100 ms ran, from {:?} to {:?} ms",
        sent.len(),
        late.len(),
        late.iter().min(),
        late.iter().max()
    ));
    match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

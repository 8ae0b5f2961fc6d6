//! A configuration raises the limit on heads while callers keep their connections.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use crate::{
    Outcome, Run,
    http::Conn,
    runner::{self, Arrival, Runner},
    setup::{self, Arrivals},
};

const CALLERS: usize = 40;

fn request(id: &str, head: usize) -> String {
    let start = format!(
        "GET /view/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline: 1200\r\nCredential: k1\r\nX-Note: "
    );
    let fill = head.saturating_sub(start.len() + 4);
    format!("{start}{}\r\n\r\n", "n".repeat(fill))
}

fn call(conn: &mut Conn, id: &str, head: usize) -> u16 {
    let sent = conn.send(request(id, head).as_bytes());
    let answer = sent.and_then(|()| conn.head());
    let Ok(Some(head)) = answer else {
        return 0;
    };
    conn.body(&head, false);
    head.status()
}

fn connect(front: SocketAddr) -> Option<Conn> {
    Conn::connect(front).ok()
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
    let before = if run.trouble { 8_192 } else { 16_384 };
    store.put("op/config", &setup::config(3, &routes, before, &["k1"]));
    let Some(gateway) = setup::gateway(run, address, 110) else {
        return Outcome::Failed;
    };
    let front = gateway.machine.front;
    thread::sleep(Duration::from_secs(4));
    let mut kept: Vec<Conn> = (0..CALLERS).filter_map(|_| connect(front)).collect();
    let mut answers = Vec::new();
    for (i, conn) in kept.iter_mut().enumerate() {
        let status = call(conn, &format!("a{i:03}"), 400);
        answers.push((format!("a{i:03}"), 400, "kept", status));
    }
    if run.trouble {
        store.put("op/config", &setup::config(4, &routes, 16_384, &["k1"]));
        run.note("version 4 raises maxHeaderBytes from 8,192 to 16,384 and is acknowledged");
    }
    thread::sleep(Duration::from_secs(4));
    for (i, conn) in kept.iter_mut().enumerate() {
        let id = format!("b{i:03}");
        let status = call(conn, &id, 12_000);
        answers.push((id, 12_000, "kept", status));
        thread::sleep(Duration::from_millis(20));
    }
    for i in 0..CALLERS {
        let id = format!("c{i:03}");
        let status = connect(front).map_or(0, |mut conn| call(&mut conn, &id, 12_000));
        answers.push((id, 12_000, "new", status));
        thread::sleep(Duration::from_millis(20));
    }
    for (id, head, connection, status) in &answers {
        run.note(&format!(
            "request {id}, head of {head} bytes, {connection} connection: {status}"
        ));
    }
    let denied = answers
        .iter()
        .filter(|(.., status)| (300..500).contains(status) && ![408, 421, 429].contains(status))
        .count();
    let ran = arrivals.lock().unwrap().len();
    run.note(&format!(
        "{} requests, {ran} run, {denied} ended with a 3xx or 4xx; allowed are 5 and one in 500",
        answers.len()
    ));
    if answers.iter().filter(|(.., status)| *status == 200).count() < CALLERS {
        return Outcome::Failed;
    }
    match denied > 5 + answers.len() / 500 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

//! LETTERS, hard load: "no process ends or hangs [...] and ordinary callers still get answers".
//! Clients that we don't control open connections and send nothing.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use crate::{
    fleet,
    kit::{
        Ports, Record, Store, adopt, call, finish, is_running, now_ms, read_answer, sleep_ms, sleep_until,
        start_gateway_with, trouble,
    },
};

const CONTACT_MS: u64 = 3_000;

/// `maxFds` of an edge machine of fitwell-tw.
const DESCRIPTORS: usize = 4_100;

/// The connections that the clients that we don't control keep open: a few more than there are
/// descriptors.
const CONNECTIONS: usize = 4_500;

const PROCESSES: usize = 10;

pub fn main(dir: &str) {
    let record = Record::create(&format!("{dir}/record.txt"));
    let work = fleet::scratch();
    let (store, store_address) = Store::start();
    let ips = ["127.0.0.2"];
    let ports = Ports::free(&ips);
    let log = format!("{work}/runs.log");
    store.put("op/config", Some(&fleet::config()));
    for name in ["i-1", "i-2", "i-3"] {
        let runner = fleet::start_runner(name, None, &log, &["work=30"]);
        store.put(&format!("servers/{name}"), Some(&runner.entry("shop", 6, "ready")));
    }
    let gateway = start_gateway_with(&work, "edge-1", ips[0], ports, &ips, store_address, 260, Some(DESCRIPTORS));
    if !gateway.await_ready() {
        finish(&record, 2, "the gateway is not ready");
    }
    let start = now_ms();
    let (attack, end) = (start + 4_000, start + 24_000);
    // Ordinary callers: 20 requests a second on new connections.
    let mut clients = Vec::new();
    for n in 0..480_u64 {
        let (to, record) = (gateway.http, record.clone());
        clients.push(thread::spawn(move || {
            sleep_until(start + 50 * n);
            let id = format!("s{n}");
            let at = now_ms();
            let seen = call(to, &fleet::plain_request(&id), 2_500);
            record.line_at(at, &format!("sent {id} status {} {}", seen.status, seen.error));
            (at, seen.status)
        }));
    }
    // The clients that we don't control, as processes of their own.
    let idle = trouble().then(|| {
        let program = std::env::current_exe().expect("this program has a path");
        let start_one = |_| {
            let mut command = Command::new(&program);
            command.args(["idle", &gateway.http.to_string(), &attack.to_string(), &end.to_string()]);
            adopt("idle", command.stdin(Stdio::null()).spawn().expect("a client starts"))
        };
        (0..PROCESSES).map(start_one).collect::<Vec<_>>()
    });
    record.line(&format!("{} processes of idle clients", idle.map_or(0, |all| all.len())));
    // The platform asks once per second, on a connection that it keeps.
    let mut check = None;
    let mut answers = Vec::new();
    let mut at = start;
    while at < end {
        sleep_until(at);
        let ready = ask_ready(&mut check, gateway.admin);
        record.line(&format!("ready {ready} running {}", is_running(gateway.id)));
        answers.push((at, ready));
        at += 1_000;
    }
    let ended = !is_running(gateway.id);
    let seen: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
    let before = seen.iter().filter(|(at, _)| *at < attack);
    let during: Vec<_> = seen.iter().filter(|(at, _)| *at >= attack + 2_000).collect();
    let answered = |status: u16| status != 0;
    // The longest time in which the gateway said that it was ready and answered no request on a new
    // connection, although callers tried.
    let mut times: Vec<_> = seen.iter().filter(|(_, status)| answered(*status)).map(|(at, _)| *at).collect();
    times.extend([start, end]);
    times.sort_unstable();
    let gaps = times.windows(2).map(|pair| (pair[0], pair[1]));
    let ready_in = |from: u64, to: u64| {
        let within = answers.iter().filter(|(at, _)| *at > from + 1_000 && *at <= to);
        // Two misses in a row take it out.
        let all: Vec<_> = within.map(|(_, ready)| *ready).collect();
        !all.windows(2).any(|pair| !pair[0] && !pair[1])
    };
    let (from, to) = gaps.max_by_key(|(from, to)| to - from).expect("there are two times");
    let tried = seen.iter().filter(|(at, _)| *at > from && *at < to).count();
    let said_ready = ready_in(from, to);
    let misses = answers.iter().filter(|(_, ready)| !ready).count();
    let summary = format!(
        "before: {} of {} ordinary requests answered; from 2 s after the connections were opened: {} of {} answered, \
         {} with success; none of {tried} on new connections in the {} ms from {}, in which it {} ready; {misses} of {} \
         readiness checks failed{}",
        before.clone().filter(|(_, status)| answered(*status)).count(),
        before.count(),
        during.iter().filter(|(_, status)| answered(*status)).count(),
        during.len(),
        during.iter().filter(|(_, status)| *status == 200).count(),
        to - from,
        from - start,
        if said_ready { "said that it was" } else { "did not say that it was" },
        answers.len(),
        if ended { "; the gateway ended" } else { "" },
    );
    let broken = ended || to - from > CONTACT_MS && tried >= 7 && said_ready;
    finish(&record, i32::from(broken), &summary);
}

/// Asks a gateway whether it is ready, on a kept connection.
fn ask_ready(kept: &mut Option<TcpStream>, to: SocketAddr) -> bool {
    let stream = kept.take().or_else(|| TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok());
    let Some(stream) = stream else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(800)));
    if (&stream).write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").is_err() {
        return false;
    }
    let seen = read_answer(&mut BufReader::new(&stream));
    if seen.complete {
        *kept = Some(stream);
    }
    seen.status == 200
}

/// Keeps connections open that send nothing, and opens those again that were closed.
pub fn idle(args: &[String]) {
    let to: SocketAddr = args[0].parse().expect("an address");
    let (from, end): (u64, u64) = (args[1].parse().expect("a time"), args[2].parse().expect("a time"));
    let mut open: Vec<TcpStream> = Vec::new();
    sleep_until(from);
    while now_ms() < end {
        open.retain(|stream| {
            let mut byte = [0; 1];
            let _ = stream.set_nonblocking(true);
            let peeked = stream.peek(&mut byte);
            matches!(peeked, Err(err) if err.kind() == std::io::ErrorKind::WouldBlock)
        });
        for _ in open.len()..CONNECTIONS / PROCESSES {
            match TcpStream::connect_timeout(&to, Duration::from_millis(500)) {
                Ok(stream) => open.push(stream),
                Err(_) => break,
            }
        }
        sleep_ms(200);
    }
}

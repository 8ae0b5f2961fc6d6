//! Stand-ins for the review's scripts: the platform's store, runners, and the clients and operator of
//! each case.
//!
//! They speak what the users' pages say and need no library. The operator and the runners write to
//! the store by `PUT /item?key=KEY`, which stands for the platform's own interfaces; its answer is the
//! acknowledgement.

mod cases;
mod http;
mod runner;
mod store;

use std::{
    env, fs,
    net::{TcpListener, TcpStream},
    process::exit,
    thread::sleep,
    time::{Duration, Instant},
};

const START_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let rest = args.get(1..).unwrap_or_default();
    let status = match args.first().map(String::as_str) {
        Some("port") => print_port(&rest[0]),
        Some("await-port") => await_all(rest, |address| TcpStream::connect(address).is_ok()),
        Some("await-closed") => await_all(rest, |address| TcpStream::connect(address).is_err()),
        Some("await-ready") => await_all(rest, |address| http::status(address, "/readyz") == 200),
        Some("await-memory") => await_memory(&rest[0], &rest[1]),
        Some("store") => store::serve(&rest[0]),
        Some("runner") => runner::serve(rest),
        Some("case") => cases::run(rest),
        _ => 2,
    };
    exit(status);
}

/// Prints a free TCP port of an address.
fn print_port(host: &str) -> i32 {
    let listener = TcpListener::bind((host, 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    println!("{}", address.port());
    0
}

/// Waits until a condition holds for all addresses.
fn await_all(addresses: &[String], holds: impl Fn(&str) -> bool) -> i32 {
    let start = Instant::now();
    while !addresses.iter().all(|address| holds(address)) {
        if start.elapsed() > START_TIMEOUT {
            return 2;
        }
        sleep(POLL_INTERVAL);
    }
    0
}

/// Waits until a process has more anonymous memory resident than a limit in kB, and prints how much.
/// Returns 1 if the process ends before.
fn await_memory(pid: &str, limit: &str) -> i32 {
    const INTERVAL: Duration = Duration::from_millis(5);
    let limit: u64 = limit.parse().unwrap_or(u64::MAX);
    let path = format!("/proc/{pid}/status");
    while let Ok(status) = fs::read_to_string(&path) {
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let Some(size) = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok())
        else {
            return 1;
        };
        if size > limit {
            println!("{size}");
            return 0;
        }
        sleep(INTERVAL);
    }
    1
}

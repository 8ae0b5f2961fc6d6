//! Compares calls through a router with direct ones, over loopback with the real roles.
//!
//! Prints key=value lines. Its figures depend on the machine and have no bounds in CI.

#[path = "../../examples/standin/mod.rs"]
mod standin;

use std::{
    fs,
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use compio::{
    runtime::{
        Runtime,
        spawn, //
    },
    time::sleep, //
};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use standin::{
    client::Client,
    fleet::{
        self,
        Environment,
        Handle,
        on_thread, //
    },
    plain::{
        self,
        Writes, //
    }, //
};

const RULES: &str = "\
generation 1           # kim: bench
share * stall-1 1      # kim: bench
target shop shop-1     # kim: bench
target shop shop-2     # kim: bench
target shop shop-3     # kim: bench
target shop shop-4     # kim: bench
";

const SPAN: Duration = Duration::from_secs(5);
const ACCOUNT: (&str, &str) = ("x-account", "stall-1");

/// The router's name, and so that of its thread's processor time.
struct Net {
    router: Handle,
    _sidecars: Vec<Handle>,
    target: SocketAddr,
}

fn start() -> Net {
    let Environment {
        values,
        platform,
        keys,
    } = fleet::start_platform(RULES);
    let targets: Vec<SocketAddr> = (0..4)
        .map(|_| {
            on_thread(|sender| async move {
                let _ = sender.send(plain::serve(Duration::ZERO, Writes::default()).await);
                std::future::pending::<()>().await;
            })
        })
        .collect();
    let router = fleet::router(fleet::router_settings("router-0", &keys, &platform));
    fleet::publish_vms(&values, &[("router-0", router.addresses.link)]);
    let sidecar = |(i, target): (usize, &SocketAddr)| {
        let name = format!("shop-{}", i + 1);
        let settings = fleet::sidecar_settings(&name, "shop", *target, 64, &keys, &platform);
        fleet::sidecar(settings)
    };
    let sidecars: Vec<_> = targets.iter().enumerate().map(sidecar).collect();
    fleet::await_ready(router.addresses.admin);
    for sidecar in &sidecars {
        fleet::await_ready(sidecar.addresses.admin);
    }
    thread::sleep(Duration::from_millis(500));
    Net {
        router,
        _sidecars: sidecars,
        target: targets[0],
    }
}

/// Calls at a steady rate from several callers and returns the latencies.
fn paced(address: SocketAddr, path: &'static str, rate: u32) -> Histogram<u64> {
    const CALLERS: u32 = 20;
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let gap = Duration::from_secs(1) * CALLERS / rate;
        let caller = |i: u32| async move {
            let mut client = Client::new(address);
            let mut times = Vec::new();
            let start = Instant::now() + gap * i / CALLERS;
            let mut at = start;
            while at < start + SPAN {
                sleep(at.saturating_duration_since(Instant::now())).await;
                let sent = Instant::now();
                let answer = client.send("GET", path, &[ACCOUNT], "").await;
                assert!(answer.is_some_and(|answer| answer.status == 200));
                times.push(sent.elapsed().as_micros() as u64);
                at += gap;
            }
            times
        };
        let tasks = (0..CALLERS).map(|i| spawn(caller(i)));
        let mut histogram = Histogram::new(3).expect("three digits are allowed");
        for times in join_all(tasks).await {
            for time in times.expect("a caller ends") {
                let _ = histogram.record(time);
            }
        }
        histogram
    })
}

/// Calls as fast as the router answers, from some threads; returns calls a second.
fn flood(address: SocketAddr) -> f64 {
    const THREADS: usize = 3;
    const CALLERS: usize = 32;
    let caller = move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let start = Instant::now();
            let one = || async move {
                let mut client = Client::new(address);
                let mut count = 0_u64;
                while start.elapsed() < SPAN {
                    let answer = client.send("GET", "/shop/a", &[ACCOUNT], "").await;
                    count += u64::from(answer.is_some_and(|answer| answer.status == 200));
                }
                count
            };
            let tasks = (0..CALLERS).map(|_| spawn(one()));
            let counts = join_all(tasks).await;
            counts
                .into_iter()
                .map(|count| count.unwrap_or(0))
                .sum::<u64>()
        })
    };
    let threads: Vec<_> = (0..THREADS).map(|_| thread::spawn(caller)).collect();
    let total: u64 = threads
        .into_iter()
        .map(|thread| thread.join().unwrap_or(0))
        .sum();
    total as f64 / SPAN.as_secs_f64()
}

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok())
        .unwrap_or(0)
}

fn main() {
    let net = start();
    println!("resident_kb={} processes=5", resident());
    let http = net.router.addresses.http;
    for rate in [200, 1_000, 3_000] {
        let direct = paced(net.target, "/a", rate);
        let routed = paced(http, "/shop/a", rate);
        let at = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile);
        println!(
            "rate={rate} direct_p50_us={} routed_p50_us={} added_p50_us={} direct_p99_us={} \
             routed_p99_us={} added_p99_us={} ratio_p50={:.2}",
            at(&direct, 0.5),
            at(&routed, 0.5),
            at(&routed, 0.5).saturating_sub(at(&direct, 0.5)),
            at(&direct, 0.99),
            at(&routed, 0.99),
            at(&routed, 0.99).saturating_sub(at(&direct, 0.99)),
            at(&routed, 0.5) as f64 / at(&direct, 0.5).max(1) as f64
        );
    }
    println!("flood_direct_per_s={:.0}", flood_direct(net.target));
    println!("flood_routed_per_s={:.0}", flood(http));
}

/// The same flood at one target, for comparison.
fn flood_direct(address: SocketAddr) -> f64 {
    flood(address)
}

//! Compares the latency and throughput of calls through a router with those of direct calls to a
//! target. The router, the sidecars and the targets run in this process and are connected over
//! loopback.
//!
//! Prints key=value lines. The figures depend on the machine and have no bounds in CI.

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

/// The time of each measurement.
const SPAN: Duration = Duration::from_secs(5);
/// The header field that names the client account.
const ACCOUNT_FIELD: (&str, &str) = ("x-account", "stall-1");

/// A running router with its sidecars and targets.
struct Deployment {
    router: Handle,
    /// Kept so that the sidecars run as long as the router.
    _sidecars: Vec<Handle>,
    /// The address of the first target, for direct calls.
    target: SocketAddr,
}

/// Starts four targets, their sidecars and a router, and waits until the processes are ready.
fn start() -> Deployment {
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
    Deployment {
        router,
        _sidecars: sidecars,
        target: targets[0],
    }
}

/// Sends calls at a constant rate from several callers and returns the latencies in microseconds.
fn call_at_rate(address: SocketAddr, path: &'static str, rate: u32) -> Histogram<u64> {
    const CALLERS: u32 = 20;
    let runtime = Runtime::new().expect("the runtime can be created");
    runtime.block_on(async {
        let interval = Duration::from_secs(1) * CALLERS / rate;
        let caller = |i: u32| async move {
            let mut client = Client::new(address);
            let mut latencies = Vec::new();
            let start = Instant::now() + interval * i / CALLERS;
            let mut next_call = start;
            while next_call < start + SPAN {
                sleep(next_call.saturating_duration_since(Instant::now())).await;
                let sent_at = Instant::now();
                let answer = client.send("GET", path, &[ACCOUNT_FIELD], "").await;
                assert!(answer.is_some_and(|answer| answer.status == 200));
                latencies.push(sent_at.elapsed().as_micros() as u64);
                next_call += interval;
            }
            latencies
        };
        let tasks = (0..CALLERS).map(|i| spawn(caller(i)));
        let mut histogram = Histogram::new(3).expect("a histogram allows three significant digits");
        for latencies in join_all(tasks).await {
            for latency in latencies.expect("no caller panics") {
                let _ = histogram.record(latency);
            }
        }
        histogram
    })
}

/// Sends calls from several closed-loop callers on several threads, and returns the calls per
/// second that were answered with status 200.
fn flood(address: SocketAddr) -> f64 {
    const THREADS: usize = 3;
    const CALLERS: usize = 32;
    let caller = move || {
        let runtime = Runtime::new().expect("the runtime can be created");
        runtime.block_on(async {
            let start = Instant::now();
            let send_calls = || async move {
                let mut client = Client::new(address);
                let mut count = 0_u64;
                while start.elapsed() < SPAN {
                    let answer = client.send("GET", "/shop/a", &[ACCOUNT_FIELD], "").await;
                    count += u64::from(answer.is_some_and(|answer| answer.status == 200));
                }
                count
            };
            let tasks = (0..CALLERS).map(|_| spawn(send_calls()));
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

/// Returns the resident memory of this process in kilobytes.
fn resident_memory() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok())
        .unwrap_or(0)
}

fn main() {
    let deployment = start();
    // The processes are the router and its four sidecars. The targets run in this process too.
    println!("resident_kb={} processes=5", resident_memory());
    let http = deployment.router.addresses.http;
    for rate in [200, 1_000, 3_000] {
        let direct = call_at_rate(deployment.target, "/a", rate);
        let routed = call_at_rate(http, "/shop/a", rate);
        let quantile = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q);
        println!(
            "rate={rate} direct_p50_us={} routed_p50_us={} added_p50_us={} direct_p99_us={} \
             routed_p99_us={} added_p99_us={} ratio_p50={:.2}",
            quantile(&direct, 0.5),
            quantile(&routed, 0.5),
            quantile(&routed, 0.5).saturating_sub(quantile(&direct, 0.5)),
            quantile(&direct, 0.99),
            quantile(&routed, 0.99),
            quantile(&routed, 0.99).saturating_sub(quantile(&direct, 0.99)),
            quantile(&routed, 0.5) as f64 / quantile(&direct, 0.5).max(1) as f64
        );
    }
    println!("flood_direct_per_s={:.0}", flood_direct(deployment.target));
    println!("flood_routed_per_s={:.0}", flood(http));
}

/// Sends the same calls directly to one target, for comparison.
fn flood_direct(address: SocketAddr) -> f64 {
    flood(address)
}

//! Measures the cost of idle links between a router and sidecars that run in this process and are
//! connected over loopback.

use std::{
    collections::BTreeMap,
    fs,
    sync::{
        Mutex,
        OnceLock, //
    },
    thread,
    time::Duration, //
};

use compio::runtime::Runtime;
use redwingyard::{
    settings::Keys,
    shell::{
        RouterProcess,
        SidecarProcess, //
    }, //
};

use super::standin::fleet::{
    self,
    Environment, //
};

/// The time over which traffic and processor time are measured.
const SPAN: Duration = Duration::from_secs(3);

/// The cost of all links of a router together.
#[derive(Clone, Copy, Default)]
struct Cost {
    /// The resident memory that the sidecars and both ends of their links add to this process,
    /// in bytes.
    memory: f64,
    /// The link bytes of the router per second.
    traffic: f64,
    /// The processor time of the router's thread, in microseconds per second.
    time: f64,
}

/// Returns the memory of idle links in bytes.
pub(super) fn state(links: usize) -> f64 {
    cost(links).memory
}

/// Returns the traffic of idle links in bytes per second.
pub(super) fn traffic(links: usize) -> f64 {
    cost(links).traffic
}

/// Returns the processor time of idle links at the router in microseconds per second.
pub(super) fn time(links: usize) -> f64 {
    cost(links).time
}

/// Returns the cost of a number of idle links. It is measured once for each number.
fn cost(links: usize) -> Cost {
    static CACHE: OnceLock<Mutex<BTreeMap<usize, Cost>>> = OnceLock::new();
    let cache = CACHE.get_or_init(Mutex::default);
    let mut cache = cache
        .lock()
        .expect("no thread panics while it holds the lock");
    *cache.entry(links).or_insert_with(|| measure(links))
}

/// Starts a router and `links` sidecars, and measures their idle links.
fn measure(links: usize) -> Cost {
    let Environment {
        values,
        platform,
        keys,
    } = fleet::start_platform("generation 1 # kim\ntarget svc t # kim\n");
    let settings = fleet::router_settings("router-0", &keys, &platform);
    let (cost_sender, costs) = std::sync::mpsc::channel();
    let all_linked = move |router: &RouterProcess| router.sidecars() >= links;
    let sidecar_platform = settings.platform.clone();
    let (address_sender, address) = std::sync::mpsc::channel();
    let router = thread::spawn(move || {
        Runtime::new()
            .expect("the runtime can be created")
            .block_on(async {
                let router = RouterProcess::start(settings)
                    .await
                    .expect("the router starts");
                let _ = address_sender.send(router.link);
                while !all_linked(&router) {
                    compio::time::sleep(Duration::from_millis(20)).await;
                }
                compio::time::sleep(Duration::from_secs(1)).await;
                let (initial_bytes, initial_time) = (router.link_bytes(), thread_time());
                compio::time::sleep(SPAN).await;
                let traffic = (router.link_bytes() - initial_bytes) as f64 / SPAN.as_secs_f64();
                let time = (thread_time() - initial_time) / SPAN.as_secs_f64();
                let _ = cost_sender.send((traffic, time));
            });
    });
    let address = address.recv().expect("the router sends its link address");
    fleet::publish_vms(&values, &[("router-0", address)]);
    let initial_memory = resident_bytes();
    let (stop, stopped) = futures_channel::oneshot::channel::<()>();
    let sidecar_thread = thread::spawn(move || {
        Runtime::new()
            .expect("the runtime can be created")
            .block_on(async {
                let mut sidecars = Vec::new();
                for i in 0..links {
                    sidecars.push(sidecar(i, &keys, &sidecar_platform).await);
                }
                let _ = stopped.await;
            });
    });
    let (traffic, time) = costs
        .recv()
        .expect("the router thread sends its traffic and time");
    let memory = resident_bytes() - initial_memory;
    drop(stop);
    let _ = (router.join(), sidecar_thread.join());
    Cost {
        memory,
        traffic,
        time,
    }
}

/// Starts a sidecar. No server runs at the address of its target.
async fn sidecar(
    i: usize,
    keys: &Keys,
    platform: &redwingyard::settings::Platform,
) -> SidecarProcess {
    let target = "127.0.0.1:9".parse().expect("a valid address");
    let name = format!("t-{i}");
    let settings = fleet::sidecar_settings(&name, "svc", target, 8, keys, platform);
    SidecarProcess::start(settings)
        .await
        .expect("the sidecar starts")
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}

/// Returns the processor time of the current thread in microseconds.
fn thread_time() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos: f64 = text
        .split(' ')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0);
    nanos / 1_000.0
}

//! The cost of idle links, over loopback with the real roles.

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

/// The time over which traffic is counted.
const SPAN: Duration = Duration::from_secs(3);

/// What links cost together.
#[derive(Clone, Copy, Default)]
struct Cost {
    bytes: f64,
    traffic: f64,
    time: f64,
}

pub(super) fn state(links: usize) -> f64 {
    cost(links).bytes
}

pub(super) fn traffic(links: usize) -> f64 {
    cost(links).traffic
}

pub(super) fn time(links: usize) -> f64 {
    cost(links).time
}

/// Returns the cost at a router of idle links, measured once for each number.
fn cost(links: usize) -> Cost {
    static KNOWN: OnceLock<Mutex<BTreeMap<usize, Cost>>> = OnceLock::new();
    let known = KNOWN.get_or_init(Mutex::default);
    let mut known = known.lock().expect("no holder panics");
    *known.entry(links).or_insert_with(|| measure(links))
}

fn measure(links: usize) -> Cost {
    let Environment {
        values,
        platform,
        keys,
    } = fleet::start_platform("generation 1 # kim\ntarget svc t # kim\n");
    let settings = fleet::router_settings("router-0", &keys, &platform);
    let (sender, results) = std::sync::mpsc::channel();
    let linked = move |router: &RouterProcess| router.sidecars() >= links;
    let sidecars = settings.platform.clone();
    let (address_sender, link) = std::sync::mpsc::channel();
    let router = thread::spawn(move || {
        Runtime::new().expect("a runtime").block_on(async {
            let router = RouterProcess::start(settings).await.expect("a router");
            let _ = address_sender.send(router.link);
            while !linked(&router) {
                compio::time::sleep(Duration::from_millis(20)).await;
            }
            compio::time::sleep(Duration::from_secs(1)).await;
            let (bytes, time) = (router.link_bytes(), thread_time());
            compio::time::sleep(SPAN).await;
            let traffic = (router.link_bytes() - bytes) as f64 / SPAN.as_secs_f64();
            let time = (thread_time() - time) / SPAN.as_secs_f64();
            let _ = sender.send((traffic, time));
        });
    });
    let link = link.recv().expect("the router starts");
    fleet::publish_vms(&values, &[("router-0", link)]);
    let before = resident();
    let (stop, stopped) = futures_channel::oneshot::channel::<()>();
    let others = thread::spawn(move || {
        Runtime::new().expect("a runtime").block_on(async {
            let mut kept = Vec::new();
            for i in 0..links {
                kept.push(sidecar(i, &keys, &sidecars).await);
            }
            let _ = stopped.await;
        });
    });
    let (traffic, time) = results.recv().expect("the router measures");
    let bytes = resident() - before;
    drop(stop);
    let _ = (router.join(), others.join());
    Cost {
        bytes,
        traffic,
        time,
    }
}

async fn sidecar(
    i: usize,
    keys: &Keys,
    platform: &redwingyard::settings::Platform,
) -> SidecarProcess {
    let target = "127.0.0.1:9".parse().expect("a valid address");
    let name = format!("t-{i}");
    let settings = fleet::sidecar_settings(&name, "svc", target, 8, keys, platform);
    SidecarProcess::start(settings).await.expect("a sidecar")
}

/// Returns the process's resident memory in bytes.
fn resident() -> f64 {
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

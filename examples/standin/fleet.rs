//! Routers and sidecars over loopback, each on a thread with a runtime of its own.

use std::{
    net::SocketAddr,
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use compio::runtime::{
    Runtime,
    spawn, //
};
use futures_channel::mpsc;
use futures_util::StreamExt;
use redwingyard::{
    settings::{
        GatewaySettings,
        Keys,
        Platform,
        RouterSettings,
        SidecarSettings, //
    },
    shell::{
        GatewayProcess,
        RouterProcess,
        SidecarProcess,
        Vm,
        generate_keys, //
    }, //
};

use super::platform::{
    self,
    Values, //
};

/// What a process can be told.
enum Order {
    /// Break its links.
    Cut,
    /// Do nothing else for a time, as a process without processor time.
    Hold(Duration),
    /// Shut down gracefully.
    Drain,
    /// Stop at once, as if the VM had failed.
    Kill,
}

/// A process on a thread.
pub struct Handle {
    orders: mpsc::UnboundedSender<Order>,
    stalls: mpsc::UnboundedSender<Duration>,
    thread: Option<JoinHandle<bool>>,
    pub addresses: Addresses,
}

/// The addresses of a process.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub http: SocketAddr,
    pub link: SocketAddr,
    pub admin: SocketAddr,
}

impl Handle {
    fn order(&self, order: Order) {
        let _ = self.orders.unbounded_send(order);
    }

    fn join(&mut self) -> bool {
        let thread = self.thread.take();
        thread.is_some_and(|thread| thread.join().unwrap_or(false))
    }

    /// Returns what keeps the process from all of its work for a time, also while it drains.
    pub fn stall_trigger(&self) -> impl Fn(Duration) + Send + 'static {
        let stalls = self.stalls.clone();
        move |time| {
            let _ = stalls.unbounded_send(time);
        }
    }

    /// Breaks the process's links.
    pub fn break_links(&self) {
        self.order(Order::Cut);
    }

    /// Keeps the process from doing anything for a time.
    pub fn stall(&self, time: Duration) {
        self.order(Order::Hold(time));
    }

    /// Shuts the process down gracefully; returns whether it drained.
    pub fn drain(&mut self) -> bool {
        self.order(Order::Drain);
        self.join()
    }

    /// Stops the process at once.
    pub fn kill(&mut self) {
        self.order(Order::Kill);
        self.join();
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a future on a thread of its own and returns the first value that it sends.
pub fn on_thread<T: Send + 'static, F: Future<Output = ()>>(
    body: impl FnOnce(std::sync::mpsc::Sender<T>) -> F + Send + 'static,
) -> T {
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(body(sender));
    });
    receiver.recv().expect("the thread answers")
}

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

/// The platform that a fleet reads.
fn published(address: SocketAddr) -> Platform {
    Platform {
        rules: format!("http://{address}/v1/kv/rules"),
        vms: format!("http://{address}/v1/kv/vms"),
    }
}

/// The platform of a fleet, and the keys that its processes share.
pub struct Environment {
    pub values: Values,
    pub platform: Platform,
    pub keys: Keys,
}

/// Starts a platform that publishes `rules` and an empty VM list.
pub fn start_platform(rules: &str) -> Environment {
    let values = Values::default();
    values.set("rules", rules);
    values.set("vms", "[]");
    let service = values.clone();
    let address = on_thread(move |sender| async move {
        let _ = sender.send(platform::serve(service).await);
        std::future::pending::<()>().await;
    });
    Environment {
        values,
        platform: published(address),
        keys: generate_keys(&["fleet"])
            .expect("keys can be made")
            .remove(0),
    }
}

/// Returns a router's settings.
pub fn router_settings(name: &str, keys: &Keys, platform: &Platform) -> RouterSettings {
    RouterSettings {
        name: name.to_owned(),
        domain: "domain-a".to_owned(),
        http: any(),
        link: any(),
        admin: any(),
        keys: keys.clone(),
        platform: platform.clone(),
        account_header: "x-account".to_owned(),
        tokens: Default::default(),
        queues: Default::default(),
        deadline_ms: 30_000,
        body_bytes: 1 << 20,
        memory_mb: None,
        drain_ms: 10_000,
    }
}

/// Returns a sidecar's settings.
pub fn sidecar_settings(
    name: &str,
    service: &str,
    target: SocketAddr,
    slots: u32,
    keys: &Keys,
    platform: &Platform,
) -> SidecarSettings {
    SidecarSettings {
        name: name.to_owned(),
        domain: "domain-a".to_owned(),
        service: service.to_owned(),
        target,
        slots,
        admin: any(),
        keys: keys.clone(),
        platform: platform.clone(),
        drain_ms: 10_000,
    }
}

/// Runs a process on a thread of its own until it is told to stop.
fn launch<P: 'static, F: Future<Output = (P, Addresses)>>(
    start: impl FnOnce() -> F + Send + 'static,
    cut: impl Fn(&P) + Send + 'static,
    drain: impl AsyncFnOnce(P) -> bool + Send + 'static,
) -> Handle {
    let (orders, mut receiver) = mpsc::unbounded();
    let (stalls, mut times) = mpsc::unbounded();
    let (sender, addresses) = std::sync::mpsc::channel();
    let thread = thread::spawn(move || {
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(async {
            spawn(async move {
                while let Some(time) = times.next().await {
                    thread::sleep(time);
                }
            })
            .detach();
            let (process, addresses) = start().await;
            let _ = sender.send(addresses);
            while let Some(order) = receiver.next().await {
                match order {
                    Order::Cut => cut(&process),
                    Order::Hold(time) => thread::sleep(time),
                    Order::Drain => return drain(process).await,
                    Order::Kill => break,
                }
            }
            false
        })
    });
    Handle {
        orders,
        stalls,
        thread: Some(thread),
        addresses: addresses.recv().expect("the process starts"),
    }
}

/// Starts a router.
pub fn router(settings: RouterSettings) -> Handle {
    let start = async || {
        let process = RouterProcess::start(settings).await.expect("a router");
        let addresses = Addresses {
            http: process.http,
            link: process.link,
            admin: process.admin,
        };
        (process, addresses)
    };
    launch(start, RouterProcess::close_sidecar_links, async |process| {
        process.drain().await
    })
}

/// Starts a sidecar.
pub fn sidecar(settings: SidecarSettings) -> Handle {
    let start = async || {
        let process = SidecarProcess::start(settings).await.expect("a sidecar");
        let admin = process.admin;
        let addresses = Addresses {
            http: admin,
            link: admin,
            admin,
        };
        (process, addresses)
    };
    launch(start, |_| {}, async |process| process.drain().await)
}

/// Returns a gateway's settings; all gateways of a fleet have the same port for each other,
/// at addresses of their own.
pub fn gateway_settings(name: &str, store: SocketAddr, peers: &[SocketAddr]) -> GatewaySettings {
    GatewaySettings {
        name: name.to_owned(),
        domain: "domain-a".to_owned(),
        http: any(),
        admin: any(),
        peer: peers[0],
        seeds: peers.to_vec(),
        store,
        stop_s: 5.0,
        trust_ms: None,
        policy: Default::default(),
        retries: 10,
        memory_mb: None,
        connections: None,
    }
}

/// Starts a gateway.
pub fn gateway(settings: GatewaySettings) -> Handle {
    let start = async || {
        let link = settings.peer;
        let process = GatewayProcess::start(settings).await.expect("a gateway");
        let addresses = Addresses {
            http: process.http,
            link,
            admin: process.admin,
        };
        (process, addresses)
    };
    launch(start, |_| {}, GatewayProcess::drain)
}

/// Publishes the VM list.
pub fn publish_vms(values: &Values, routers: &[(&str, SocketAddr)]) {
    let vms: Vec<_> = routers
        .iter()
        .map(|(name, link)| Vm {
            name: (*name).to_owned(),
            domain: "domain-a".to_owned(),
            link: *link,
            leaving: false,
        })
        .collect();
    let text = serde_json::to_string(&vms).expect("a VM list serializes into memory");
    values.set("vms", &text);
}

/// Waits until a process's readiness page says yes.
pub fn await_ready(admin: SocketAddr) {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        for _ in 0..1_000 {
            let mut client = super::client::Client::new(admin);
            let answer = client.send("GET", "/readyz", &[], "").await;
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("{admin} does not become ready");
    });
}

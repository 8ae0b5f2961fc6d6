//! Starts routers, sidecars and gateways over loopback, each on its own thread and runtime.

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
    router::RetryLimits,
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

/// Limits with which each request earns its own retries, as a router has none when it starts.
pub const SELF_EARNED: RetryLimits = RetryLimits {
    ratio: 10.0,
    window_s: 10.0,
    slack: 0.0,
};

/// A command to the thread of a process.
enum Command {
    BreakLinks,
    /// Blocks the thread for a time, as when the process gets no processor time.
    Stall(Duration),
    /// Shuts the process down gracefully.
    Drain,
    /// Stops the process without a graceful shutdown, as if its VM had failed.
    Kill,
}

/// A process that runs on its own thread. Dropping the handle stops the process.
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
    stalls: mpsc::UnboundedSender<Duration>,
    thread: Option<JoinHandle<bool>>,
    pub addresses: Addresses,
}

/// The addresses that a process listens on.
///
/// A sidecar listens only on `admin`, so its other two addresses repeat that one. For a gateway,
/// `link` is the address for its peers.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub http: SocketAddr,
    pub link: SocketAddr,
    pub admin: SocketAddr,
}

impl Handle {
    fn send(&self, command: Command) {
        let _ = self.commands.unbounded_send(command);
    }

    fn join(&mut self) -> bool {
        let thread = self.thread.take();
        thread.is_some_and(|thread| thread.join().unwrap_or(false))
    }

    /// Returns a function that blocks the thread of the process for a time.
    ///
    /// Unlike [`Handle::stall`], it also works while the process drains, and it can be called from
    /// another thread.
    pub fn stall_trigger(&self) -> impl Fn(Duration) + Send + 'static {
        let stalls = self.stalls.clone();
        move |time| {
            let _ = stalls.unbounded_send(time);
        }
    }

    /// Breaks the links of a router to its sidecars without notifying them; does nothing for other
    /// processes.
    pub fn break_links(&self) {
        self.send(Command::BreakLinks);
    }

    /// Blocks the thread of the process for a time, unless the process is already draining.
    pub fn stall(&self, time: Duration) {
        self.send(Command::Stall(time));
    }

    /// Shuts the process down gracefully and returns whether all of its work ended before the drain
    /// limit of its settings.
    pub fn drain(&mut self) -> bool {
        self.send(Command::Drain);
        self.join()
    }

    /// Stops the process without a graceful shutdown.
    pub fn kill(&mut self) {
        self.send(Command::Kill);
        self.join();
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a future on a new thread and returns the first value that the future sends.
pub fn on_thread<T: Send + 'static, F: Future<Output = ()>>(
    body: impl FnOnce(std::sync::mpsc::Sender<T>) -> F + Send + 'static,
) -> T {
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = Runtime::new().expect("the runtime starts");
        runtime.block_on(body(sender));
    });
    receiver.recv().expect("the thread sends a value")
}

/// Returns a loopback address whose port the operating system chooses.
fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

/// Returns the URLs of the platform at an address.
fn platform_urls(address: SocketAddr) -> Platform {
    Platform {
        rules: format!("http://{address}/v1/kv/rules"),
        vms: format!("http://{address}/v1/kv/vms"),
    }
}

/// What the processes of a fleet have in common: the platform and the keys.
pub struct Environment {
    pub values: Values,
    pub platform: Platform,
    pub keys: Keys,
}

/// Starts a platform that publishes `rules` and an empty VM list, and generates the keys of a fleet.
pub fn start_platform(rules: &str) -> Environment {
    let values = Values::default();
    values.set("rules", rules);
    values.set("vms", "[]");
    let served = values.clone();
    let address = on_thread(move |sender| async move {
        let _ = sender.send(platform::serve(served).await);
        std::future::pending::<()>().await;
    });
    Environment {
        values,
        platform: platform_urls(address),
        keys: generate_keys(&["fleet"])
            .expect("the keys are generated")
            .remove(0),
    }
}

/// Returns the settings of a router.
pub fn router_settings(name: &str, keys: &Keys, platform: &Platform) -> RouterSettings {
    RouterSettings {
        name: name.to_owned(),
        domain: "domain-a".to_owned(),
        http: any_port(),
        link: any_port(),
        admin: any_port(),
        keys: keys.clone(),
        platform: platform.clone(),
        account_header: "x-account".to_owned(),
        tokens: Default::default(),
        queues: Default::default(),
        retry: SELF_EARNED,
        deadline_ms: 30_000,
        body_bytes: 1 << 20,
        memory_mb: None,
        drain_ms: 10_000,
    }
}

/// Returns the settings of a sidecar.
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
        admin: any_port(),
        keys: keys.clone(),
        platform: platform.clone(),
        drain_ms: 10_000,
    }
}

/// Starts a process on a new thread, waits until it listens, and executes its commands until one
/// of them ends it.
fn launch<P: 'static, F: Future<Output = (P, Addresses)>>(
    start: impl FnOnce() -> F + Send + 'static,
    break_links: impl Fn(&P) + Send + 'static,
    drain: impl AsyncFnOnce(P) -> bool + Send + 'static,
) -> Handle {
    let (commands, mut receiver) = mpsc::unbounded();
    let (stalls, mut stall_times) = mpsc::unbounded();
    let (sender, addresses) = std::sync::mpsc::channel();
    let thread = thread::spawn(move || {
        let runtime = Runtime::new().expect("the runtime starts");
        runtime.block_on(async {
            spawn(async move {
                while let Some(time) = stall_times.next().await {
                    thread::sleep(time);
                }
            })
            .detach();
            let (process, addresses) = start().await;
            let _ = sender.send(addresses);
            while let Some(command) = receiver.next().await {
                match command {
                    Command::BreakLinks => break_links(&process),
                    Command::Stall(time) => thread::sleep(time),
                    Command::Drain => return drain(process).await,
                    Command::Kill => break,
                }
            }
            false
        })
    });
    Handle {
        commands,
        stalls,
        thread: Some(thread),
        addresses: addresses
            .recv()
            .expect("the process starts and sends its addresses"),
    }
}

/// Starts a router.
pub fn router(settings: RouterSettings) -> Handle {
    let start = async || {
        let process = RouterProcess::start(settings)
            .await
            .expect("the router starts");
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
        let process = SidecarProcess::start(settings)
            .await
            .expect("the sidecar starts");
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

/// Returns the settings of a gateway.
///
/// All gateways of a fleet use the same port for peer traffic, each at its own IP address. The first
/// of `peers` is the address of this gateway.
pub fn gateway_settings(name: &str, store: SocketAddr, peers: &[SocketAddr]) -> GatewaySettings {
    GatewaySettings {
        name: name.to_owned(),
        domain: "domain-a".to_owned(),
        http: any_port(),
        admin: any_port(),
        peer: peers[0],
        seeds: peers.to_vec(),
        store,
        stop_s: 5.0,
        trust_ms: None,
        apply_ms: None,
        policy: Default::default(),
        retry: SELF_EARNED,
        memory_mb: None,
        connections: None,
        cold: None,
        slow_start: false,
        parts: Vec::new(),
    }
}

/// Starts a gateway.
pub fn gateway(settings: GatewaySettings) -> Handle {
    let start = async || {
        let link = settings.peer;
        let process = GatewayProcess::start(settings)
            .await
            .expect("the gateway starts");
        let addresses = Addresses {
            http: process.http,
            link,
            admin: process.admin,
        };
        (process, addresses)
    };
    launch(start, |_| {}, GatewayProcess::drain)
}

/// Publishes the routers with their link addresses as the VM list.
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
    let text = serde_json::to_string(&vms).expect("the VM list can be serialized as JSON");
    values.set("vms", &text);
}

/// Waits until the readiness page of a process answers with 200.
///
/// # Panics
///
/// Panics if the process is not ready after 1,000 calls with pauses of 10 ms, at least 10 s in all.
pub fn await_ready(admin: SocketAddr) {
    let runtime = Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        for _ in 0..1_000 {
            let mut client = super::client::Client::new(admin);
            let answer = client.send("GET", "/readyz", &[], "").await;
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the process with the admin address {admin} is not ready after 1,000 calls");
    });
}

//! Runs a whole fleet over loopback, sends it mixed traffic and prints what came of it.
//!
//! `cargo run --release --example local` runs for some seconds; with `--serve` it stays
//! up and prints addresses. With `--gateways` it runs gateways instead, which read the
//! users' platform and send to targets that register themselves.

mod gateways;
mod report;
mod traffic;

#[path = "../standin/mod.rs"]
mod standin;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use standin::{
    engine::{
        self,
        Engine, //
    },
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

const ENGINES: usize = 4;
const SHOPS: usize = 2;
const SLOTS: u32 = 8;

/// The rules of the demonstration.
const RULES: &str = "\
generation 1                       # kim: demonstration
share * stall-1 1                  # mei: free plan
share * stall-2 1                  # mei: free plan
share * outfitter 2                # mei: paid plan
write shop-api POST /profiles/*    # lin: saves run once
target sizer-llm sizer-1           # kim: new VM
target sizer-llm sizer-2           # kim: new VM
target sizer-llm sizer-3           # kim: new VM
target sizer-llm sizer-4           # kim: new VM
target shop-api shop-1             # kim: new VM
target shop-api shop-2             # kim: new VM
";

/// A fleet with its surroundings.
struct Local {
    routers: Vec<Handle>,
    sidecars: Vec<Handle>,
    engines: Vec<SocketAddr>,
    writes: Writes,
}

fn start() -> Local {
    let Environment {
        values,
        platform,
        keys,
    } = fleet::start_platform(RULES);
    let names = ["router-1", "router-2"];
    let router = |name: &&str| fleet::router(fleet::router_settings(name, &keys, &platform));
    let routers: Vec<_> = names.iter().map(router).collect();
    let links = routers.iter().map(|router| router.addresses.link);
    let vms: Vec<_> = names.into_iter().zip(links).collect();
    fleet::publish_vms(&values, &vms);
    let engine = Engine {
        token_time: Duration::from_millis(2),
        max_tokens: 60,
    };
    let writes = Writes::default();
    let (engines, shops) = targets(engine, writes.clone());
    let sidecar = |name: String, service: &str, target| {
        let settings = fleet::sidecar_settings(&name, service, target, SLOTS, &keys, &platform);
        fleet::sidecar(settings)
    };
    let mut sidecars = Vec::new();
    for (i, target) in engines.iter().enumerate() {
        sidecars.push(sidecar(format!("sizer-{}", i + 1), "sizer-llm", *target));
    }
    for (i, target) in shops.iter().enumerate() {
        sidecars.push(sidecar(format!("shop-{}", i + 1), "shop-api", *target));
    }
    for router in &routers {
        fleet::await_ready(router.addresses.admin);
    }
    for sidecar in &sidecars {
        fleet::await_ready(sidecar.addresses.admin);
    }
    Local {
        routers,
        sidecars,
        engines,
        writes,
    }
}

/// Starts the targets on one thread.
fn targets(engine: Engine, writes: Writes) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    on_thread(move |sender| async move {
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            engines.push(engine::serve(engine).await);
        }
        let mut shops = Vec::new();
        for _ in 0..SHOPS {
            shops.push(plain::serve(Duration::from_millis(5), writes.clone()).await);
        }
        let _ = sender.send((engines, shops));
        std::future::pending::<()>().await;
    })
}

fn main() {
    let filter = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(filter).init();
    if std::env::args().any(|arg| arg == "--gateways") {
        std::process::exit(i32::from(!gateways::run()));
    }
    let mut local = start();
    let http: Vec<_> = local
        .routers
        .iter()
        .map(|router| router.addresses.http)
        .collect();
    if std::env::args().any(|arg| arg == "--serve") {
        for router in &local.routers {
            let addresses = router.addresses;
            println!(
                "callers http://{} operators http://{}",
                addresses.http, addresses.admin
            );
        }
        println!(
            "try: curl -H 'x-account: stall-1' http://{}/shop-api/chart/7",
            http[0]
        );
        loop {
            std::thread::park();
        }
    }
    let outcome = traffic::run(&http, local.engines[0], ENGINES as u32 * SLOTS);
    report::print(&outcome, &local.writes);
    let drained = local.routers.iter_mut().all(Handle::drain);
    let sidecars = local.sidecars.iter_mut().all(Handle::drain);
    println!("graceful shutdown: routers {drained}, sidecars {sidecars}");
    let sound = outcome.is_sound(&local.writes) && drained && sidecars;
    std::process::exit(i32::from(!sound));
}

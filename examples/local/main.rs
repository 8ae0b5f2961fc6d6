//! Runs a whole fleet over loopback, sends mixed traffic to it and prints the results.
//!
//! `cargo run --release --example local` sends traffic for some seconds and then stops. With
//! `--serve` it prints the addresses of the routers and runs until it is killed. With `--gateways`
//! it runs gateways instead, which read their configuration and targets from the store of the users'
//! platform.

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

/// The number of targets of the service `sizer-llm`.
const ENGINE_COUNT: usize = 4;
/// The number of targets of the service `shop-api`.
const SHOP_COUNT: usize = 2;
/// The number of slots of each target.
const TARGET_SLOTS: u32 = 8;

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

/// A running fleet with its targets.
struct LocalFleet {
    routers: Vec<Handle>,
    sidecars: Vec<Handle>,
    engines: Vec<SocketAddr>,
    writes: Writes,
}

/// Starts the whole fleet and waits until every router and sidecar is ready.
fn start() -> LocalFleet {
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
    let (engines, shops) = start_targets(engine, writes.clone());
    let sidecar = |name: String, service: &str, target| {
        let settings =
            fleet::sidecar_settings(&name, service, target, TARGET_SLOTS, &keys, &platform);
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
    LocalFleet {
        routers,
        sidecars,
        engines,
        writes,
    }
}

/// Starts the targets on one thread and returns the addresses of the engines and of the shops.
fn start_targets(engine: Engine, writes: Writes) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    on_thread(move |sender| async move {
        let mut engines = Vec::new();
        for _ in 0..ENGINE_COUNT {
            engines.push(engine::serve(engine).await);
        }
        let mut shops = Vec::new();
        for _ in 0..SHOP_COUNT {
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
    let addresses: Vec<_> = local
        .routers
        .iter()
        .map(|router| router.addresses.http)
        .collect();
    if std::env::args().any(|arg| arg == "--serve") {
        for router in &local.routers {
            let listeners = router.addresses;
            println!(
                "requests: http://{} admin pages: http://{}",
                listeners.http, listeners.admin
            );
        }
        println!(
            "try: curl -H 'x-account: stall-1' http://{}/shop-api/chart/7",
            addresses[0]
        );
        loop {
            std::thread::park();
        }
    }
    let outcome = traffic::run(
        &addresses,
        local.engines[0],
        ENGINE_COUNT as u32 * TARGET_SLOTS,
    );
    report::print(&outcome, &local.writes);
    let routers_drained = local.routers.iter_mut().all(Handle::drain);
    let sidecars_drained = local.sidecars.iter_mut().all(Handle::drain);
    println!("graceful shutdown: routers {routers_drained}, sidecars {sidecars_drained}");
    let passed = outcome.is_correct(&local.writes) && routers_drained && sidecars_drained;
    std::process::exit(i32::from(!passed));
}

//! Gateways over loopback with a store and targets that register themselves.

use std::{
    collections::BTreeSet,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::Mutex, //
};

use redwingyard::settings::GatewaySettings;
use serde_json::{
    Value,
    json, //
};

use super::{
    fleet::{
        self,
        Handle,
        on_thread, //
    },
    instance::{
        self,
        Instance, //
    },
    store::{
        self,
        Items, //
    }, //
};

/// Some gateways with their surroundings.
pub struct Region {
    pub items: Items,
    pub targets: Vec<Instance>,
    pub addresses: Vec<SocketAddr>,
    pub gateways: Vec<Handle>,
}

impl Region {
    /// Starts a store with a configuration, targets of one service, and gateways whose
    /// settings may be changed before; all are ready on return.
    pub fn start(
        gateways: u8,
        service: &str,
        targets: Vec<Instance>,
        config: &Value,
        change: impl Fn(&mut GatewaySettings),
    ) -> Self {
        let items = Items::default();
        let (stored, instances) = (items.clone(), targets.clone());
        let (store, addresses) = on_thread(move |sender| async move {
            let mut addresses = Vec::new();
            for target in instances {
                addresses.push(instance::serve(target).await);
            }
            let store = store::serve(stored).await;
            let _ = sender.send((store, addresses));
            std::future::pending::<()>().await;
        });
        items.put("op/config", config);
        for (target, address) in targets.iter().zip(&addresses) {
            register(&items, &target.name, service, *address, "ready");
        }
        let settings = settings(gateways, store).map(|mut settings| {
            change(&mut settings);
            settings
        });
        let gateways: Vec<_> = settings.map(fleet::gateway).collect();
        for gateway in &gateways {
            fleet::await_ready(gateway.addresses.admin);
        }
        Self {
            items,
            targets,
            addresses,
            gateways,
        }
    }
}

/// Writes a target's entry to the store.
pub fn register(items: &Items, name: &str, service: &str, address: SocketAddr, state: &str) {
    let value = json!({
        "service": service, "address": address, "zone": "domain-a", "slots": 4,
        "state": state, "sequence": 1, "born": 1,
    });
    items.put(&format!("servers/{name}"), &value);
}

/// Returns a port that no other region of this program gets: a free one may be given out again
/// before it is bound.
fn free_port() -> u16 {
    static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut given = GIVEN.lock().expect("no holder panics");
    loop {
        let free = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let port = free.local_addr().expect("a bound port").port();
        if given.insert(port) {
            return port;
        }
    }
}

/// Returns the settings of gateways that share a port at addresses of their own.
fn settings(count: u8, store: SocketAddr) -> impl Iterator<Item = GatewaySettings> {
    let port = free_port();
    let peer = move |last| SocketAddr::from(([127, 0, 0, last], port));
    (1..=count).map(move |i| {
        let peers: Vec<_> = [i].into_iter().chain(1..=count).map(peer).collect();
        fleet::gateway_settings(&format!("gateway-{i}"), store, &peers)
    })
}

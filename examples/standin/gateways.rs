//! Starts gateways over loopback with a store and targets that are registered in it.

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

/// Gateways with their store and targets.
pub struct Region {
    /// The items of the store.
    pub items: Items,
    pub targets: Vec<Instance>,
    /// The addresses of the targets, in the same order.
    pub addresses: Vec<SocketAddr>,
    pub gateways: Vec<Handle>,
}

impl Region {
    /// Starts a store with a configuration, the targets of one service, and gateways, and waits until
    /// the gateways are ready. `edit_settings` may change the settings of each gateway.
    pub fn start(
        gateways: u8,
        service: &str,
        targets: Vec<Instance>,
        config: &Value,
        edit_settings: impl Fn(&mut GatewaySettings),
    ) -> Self {
        let items = Items::default();
        let (served_items, instances) = (items.clone(), targets.clone());
        let (store, addresses) = on_thread(move |sender| async move {
            let mut addresses = Vec::new();
            for target in instances {
                addresses.push(instance::serve(target).await);
            }
            let store = store::serve(served_items).await;
            let _ = sender.send((store, addresses));
            std::future::pending::<()>().await;
        });
        items.put("op/config", config);
        for (target, address) in targets.iter().zip(&addresses) {
            register(&items, &target.name, service, *address, "ready");
        }
        let settings = settings(gateways, store).map(|mut settings| {
            edit_settings(&mut settings);
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

/// Writes the entry of a target to the store.
pub fn register(items: &Items, name: &str, service: &str, address: SocketAddr, state: &str) {
    let value = json!({
        "service": service, "address": address, "zone": "domain-a", "slots": 4,
        "state": state, "sequence": 1, "born": 1,
    });
    items.put(&format!("servers/{name}"), &value);
}

/// Returns a free port that no other region of this program gets. The operating system may return
/// the same free port again before a gateway has bound it, so the ports in use are remembered.
fn free_port() -> u16 {
    static USED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut used = USED.lock().expect("no holder of the lock panics");
    loop {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free loopback port can be bound");
        let port = socket
            .local_addr()
            .expect("the bound socket has an address")
            .port();
        if used.insert(port) {
            return port;
        }
    }
}

/// Returns the settings of gateways that use the same port, each at its own loopback address.
fn settings(count: u8, store: SocketAddr) -> impl Iterator<Item = GatewaySettings> {
    let port = free_port();
    let address = move |host| SocketAddr::from(([127, 0, 0, host], port));
    (1..=count).map(move |i| {
        let peers: Vec<_> = [i].into_iter().chain(1..=count).map(address).collect();
        fleet::gateway_settings(&format!("gateway-{i}"), store, &peers)
    })
}

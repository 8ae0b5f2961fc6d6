//! Gateways whose store comes back from a copy some seconds old: what it had acknowledged since then
//! is gone, and its revisions are given out again.

mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    cell::{
        OnceCell,
        RefCell, //
    },
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use compio::runtime::Runtime;
use net::{
    HOST,
    ID,
    KEY,
    Net,
    config,
    eventually, //
};
use redwingyard::settings::GatewaySettings;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use standin::{
    client::Client,
    fleet::{
        self,
        Handle, //
    },
    forwarder::Forwarder, //
};

/// The time after the return in which what was known before must hold: shorter than the time for
/// which missing targets are kept.
const HOLD_TIME: Duration = Duration::from_millis(1_500);

/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Returns the status of a request to an address, or `None` if there is no answer.
fn status_at(address: SocketAddr, path: &str) -> Option<u16> {
    let runtime = Runtime::new().expect("a runtime starts");
    let answer = runtime.block_on(Client::new(address).send("GET", path, &[HOST, KEY, ID], ""));
    answer.map(|answer| answer.status)
}

/// Returns whether all gateways answer a request with a status.
fn all_answer(net: &Net, path: &str, status: u16) -> bool {
    let gateways = net.0.gateways.iter();
    let mut statuses = gateways.map(|gateway| status_at(gateway.addresses.http, path));
    statuses.all(|actual| actual == Some(status))
}

/// Returns configuration 2, in which another route is added.
fn config_with_route() -> Value {
    let mut config = config(2, &["secret"]);
    let mut route = config["routes"][0].clone();
    route["name"] = json!("added");
    route["prefix"] = json!("/added/");
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    routes.push(route);
    config
}

/// Returns configuration 2, in which a route is dropped.
fn config_without_route() -> Value {
    let mut config = config(2, &["secret"]);
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    routes.retain(|route| route["name"] != "save");
    config
}

/// Returns configuration 2, in which a route's requests go to a service without targets.
fn config_with_weights() -> Value {
    let mut config = config(2, &["secret"]);
    config["routes"][0]["service"] = Value::Null;
    config["routes"][0]["trafficSplit"] =
        json!([{ "service": "web", "weight": 0 }, { "service": "other", "weight": 100 }]);
    let services = config["services"]
        .as_array_mut()
        .expect("services are a list");
    services.push(json!({ "name": "other" }));
    config
}

struct Return {
    /// What the store acknowledges, and then loses if the copy was made before it.
    change: fn(&Net),
    /// The path of the request that shows the change, and its status afterwards.
    path: &'static str,
    status: u16,
    /// What is written after the return, in time.
    again: fn(&Net),
    /// The status of the request then.
    then: u16,
}

fn put_config(net: &Net, config: &Value) {
    net.0.items.put("op/config", config);
}

const REVOKED_KEY: Return = Return {
    change: |net| net.configure(2, &["other"]),
    path: "/read/1",
    status: 401,
    again: |net| net.configure(3, &["secret"]),
    then: 200,
};

const ADDED_ROUTE: Return = Return {
    change: |net| put_config(net, &config_with_route()),
    path: "/added/1",
    status: 200,
    again: |net| put_config(net, &config_with_route()),
    then: 200,
};

const DROPPED_ROUTE: Return = Return {
    change: |net| put_config(net, &config_without_route()),
    path: "/save/1",
    status: 404,
    again: |net| net.configure(3, &["secret"]),
    then: 200,
};

const CHANGED_WEIGHTS: Return = Return {
    change: |net| put_config(net, &config_with_weights()),
    path: "/read/1",
    status: 503,
    again: |net| net.configure(3, &["secret"]),
    then: 200,
};

/// Both targets are removed, and one is written again.
const TARGETS_LEFT: Return = Return {
    change: |net| {
        net.0.items.remove("servers/i-1");
        net.0.items.remove("servers/i-2");
    },
    path: "/read/1",
    status: 503,
    again: |net| net.register("i-1", 0, "ready"),
    then: 200,
};

/// Both targets drain, and one starts again under its name.
const TARGETS_DRAIN: Return = Return {
    change: |net| {
        net.register("i-1", 0, "draining");
        net.register("i-2", 1, "draining");
    },
    path: "/read/1",
    status: 503,
    again: |net| {
        let entry = json!({
            "service": "web", "address": net.0.addresses[0], "zone": "domain-a", "slots": 4,
            "state": "ready", "sequence": 1, "born": 2,
        });
        net.0.items.put("servers/i-1", &entry);
    },
    then: 200,
};

/// One target takes the place of both.
const TARGET_CAME: Return = Return {
    change: |net| {
        let entry = json!({
            "service": "web", "address": net.0.addresses[0], "zone": "domain-a", "slots": 4,
            "state": "ready", "sequence": 1, "born": 2,
        });
        net.0.items.put("servers/i-1", &entry);
        net.0.items.remove("servers/i-2");
    },
    path: "/read/1",
    status: 200,
    again: |net| net.register("i-2", 1, "ready"),
    then: 200,
};

#[rstest]
fn what_was_acknowledged_holds_after_a_return(
    #[values(1, 3, 8)] gateways: u8,
    #[values(true, false)] is_lost: bool,
    #[values(
        REVOKED_KEY,
        ADDED_ROUTE,
        DROPPED_ROUTE,
        CHANGED_WEIGHTS,
        TARGETS_LEFT,
        TARGETS_DRAIN,
        TARGET_CAME
    )]
    case: Return,
) {
    let net = Net::start(gateways);
    let before = net.0.items.copy();
    (case.change)(&net);
    eventually("the change is known", || {
        all_answer(&net, case.path, case.status)
    });
    let after = net.0.items.copy();
    // Later changes of other keys are lost with it.
    net.0.items.put("other", &json!(1));
    net.0.items.put("other", &json!(2));
    net.0.items.restore(if is_lost { before } else { after });
    let returned = Instant::now();
    while returned.elapsed() < HOLD_TIME {
        assert!(
            all_answer(&net, case.path, case.status),
            "{:?} after the return",
            returned.elapsed()
        );
        thread::sleep(PAUSE);
    }
    (case.again)(&net);
    eventually("what is written after the return is known", || {
        all_answer(&net, case.path, case.then)
    });
}

/// Targets that had left are written anew before any gateway has noticed the return. The copy is the
/// newest one, so that no watch fails.
#[rstest]
fn a_target_that_is_written_before_the_return_is_noticed_is_used(#[values(1, 3)] gateways: u8) {
    let net = Net::start(gateways);
    (TARGETS_LEFT.change)(&net);
    eventually("no target is left", || all_answer(&net, "/read/1", 503));
    net.0.items.restore(net.0.items.copy());
    (TARGETS_LEFT.again)(&net);
    eventually("the target is used", || all_answer(&net, "/read/1", 200));
}

/// A target whose entry the copy lacks is kept until it has had time to write it again.
#[rstest]
fn a_target_that_the_copy_lacks_is_gone_if_it_does_not_come_back(#[values(1, 3)] gateways: u8) {
    let net = Net::start(gateways);
    for name in ["servers/i-1", "servers/i-2"] {
        net.0.items.remove(name);
    }
    eventually("no target is left", || all_answer(&net, "/read/1", 503));
    let copy = net.0.items.copy();
    net.register("i-1", 0, "ready");
    eventually("the target is used", || all_answer(&net, "/read/1", 200));
    net.0.items.restore(copy);
    let returned = Instant::now();
    while returned.elapsed() < HOLD_TIME {
        assert!(all_answer(&net, "/read/1", 200));
        thread::sleep(PAUSE);
    }
    eventually("the target is gone", || all_answer(&net, "/read/1", 503));
    net.register("i-1", 0, "ready");
    eventually("the target is used again", || {
        all_answer(&net, "/read/1", 200)
    });
}

/// What is wrong in the region while the store comes back.
#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    /// All gateways but the first one are restarted, one after another.
    Rolling,
    /// Every second gateway can't reach the store.
    StoreCut,
    /// No gateway knows another one.
    GossipCut,
}

/// The copy lacks what was acknowledged. Gateways that hear of the return late, alone, or after a
/// restart serve nothing by the copy.
#[rstest]
fn a_return_brings_nothing_back_in_the_middle_of_other_trouble(
    #[values(3, 8)] gateways: u8,
    #[values(Trouble::Rolling, Trouble::StoreCut, Trouble::GossipCut)] trouble: Trouble,
    #[values(REVOKED_KEY, TARGETS_LEFT)] case: Return,
) {
    let forwarder = OnceCell::new();
    let settings = RefCell::new(Vec::new());
    let mut net = Net::start_with(gateways, |all| {
        if trouble == Trouble::GossipCut {
            all.seeds = vec![all.peer];
        }
        let odd = settings.borrow().len() % 2 == 1;
        if trouble == Trouble::StoreCut && odd {
            let forwarder = forwarder.get_or_init(|| Forwarder::start(all.store));
            all.store = forwarder.address;
        }
        settings.borrow_mut().push(all.clone());
    });
    let set_cut = |cut| {
        if let Some(forwarder) = forwarder.get() {
            forwarder.set_cut(cut);
        }
    };
    let copy = net.0.items.copy();
    (case.change)(&net);
    eventually("the change is known", || {
        all_answer(&net, case.path, case.status)
    });
    set_cut(true);
    net.0.items.restore(copy);
    let returned = Instant::now();
    let none_serve = |net: &Net| {
        for (i, gateway) in net.0.gateways.iter().enumerate() {
            let status = status_at(gateway.addresses.http, case.path);
            assert_ne!(
                status,
                Some(200),
                "gateway {i}, {:?} after the return",
                returned.elapsed()
            );
        }
    };
    if trouble == Trouble::Rolling {
        for i in 1..usize::from(gateways) {
            net.0.gateways[i].kill();
            net.0.gateways[i] = fleet::gateway(settings.borrow()[i].clone());
            none_serve(&net);
        }
    }
    while returned.elapsed() < HOLD_TIME {
        none_serve(&net);
        thread::sleep(PAUSE);
    }
    (case.again)(&net);
    set_cut(false);
    eventually("what is written after the return is known", || {
        all_answer(&net, case.path, case.then)
    });
}

/// Starts another gateway with the settings of a region, and checks that it serves nothing at first.
fn start_late(mut settings: GatewaySettings) -> Handle {
    settings.name = "gateway-9".to_owned();
    settings.peer.set_ip([127, 0, 0, 9].into());
    let late = fleet::gateway(settings);
    let started = Instant::now();
    while started.elapsed() < HOLD_TIME {
        let status = status_at(late.addresses.http, "/read/1");
        assert_ne!(status, Some(200), "{:?} after the start", started.elapsed());
        thread::sleep(PAUSE);
    }
    late
}

/// A gateway that starts after the return reads a key from the copy that its peers know to be
/// revoked.
#[rstest]
fn a_gateway_that_starts_after_the_return_learns_from_its_peers(#[values(1, 3)] gateways: u8) {
    let (net, settings) = Net::start_with_settings(gateways);
    let copy = net.0.items.copy();
    net.configure(2, &["other"]);
    eventually("the key is refused", || all_answer(&net, "/read/1", 401));
    net.0.items.restore(copy);
    let late = start_late(settings);
    net.configure(2, &["other"]);
    eventually("the key is refused by the new gateway", || {
        status_at(late.addresses.http, "/read/1") == Some(401)
    });
}

/// A gateway that starts after the return reads entries from the copy whose targets had left, as its
/// peers know.
#[rstest]
fn a_gateway_that_starts_after_the_return_holds_back_what_had_left(#[values(1, 3)] gateways: u8) {
    let (net, settings) = Net::start_with_settings(gateways);
    let copy = net.0.items.copy();
    (TARGETS_LEFT.change)(&net);
    eventually("no target is left", || all_answer(&net, "/read/1", 503));
    net.0.items.restore(copy);
    eventually("the entries are held back", || {
        let held = |i| net.status(i)["held"].as_array().map(Vec::len) == Some(2);
        (0..usize::from(gateways)).all(held)
    });
    let late = start_late(settings);
    (TARGETS_LEFT.again)(&net);
    eventually("the target that is back is used", || {
        status_at(late.addresses.http, "/read/1") == Some(200)
    });
}

/// Several returns in a row, with a change of the configuration before each.
#[rstest]
fn changes_between_several_returns_are_in_force(#[values(1, 3)] gateways: u8) {
    let net = Net::start(gateways);
    for version in [2, 4, 6, 8] {
        let copy = net.0.items.copy();
        net.configure(version, &["other"]);
        eventually("the key is refused", || all_answer(&net, "/read/1", 401));
        net.0.items.restore(copy);
        net.configure(version + 1, &["secret"]);
        eventually("the key is valid again", || {
            all_answer(&net, "/read/1", 200)
        });
    }
}

/// The store is away before it comes back from a copy, and a change is written while gateways still
/// wait for it.
#[rstest]
fn a_change_written_as_the_store_comes_back_is_in_force(#[values(1, 3)] gateways: u8) {
    let net = Net::start(gateways);
    let copy = net.0.items.copy();
    net.configure(2, &["secret"]);
    net.configure(3, &["secret"]);
    eventually("generation 3 is in force", || {
        (0..usize::from(gateways)).all(|i| net.status(i)["generation"] == 3)
    });
    net.0.items.set_down(true);
    thread::sleep(Duration::from_millis(500));
    net.0.items.restore(copy);
    net.configure(4, &["other"]);
    net.0.items.set_down(false);
    eventually("the key is refused", || all_answer(&net, "/read/1", 401));
}

/// Answers of an earlier era are those of a stale proxy or forged, whatever their revision.
#[test]
fn answers_of_an_earlier_era_are_ignored() {
    let net = Net::start(1);
    let copy = net.0.items.copy();
    net.0.items.restore(copy);
    let era = || net.status(0)["store"]["era"] == 1;
    eventually("the later era is read", era);
    net.0.items.set_era(0);
    net.configure(2, &["other"]);
    let started = Instant::now();
    while started.elapsed() < HOLD_TIME {
        assert_eq!(net.status(0)["generation"], 1);
        thread::sleep(PAUSE);
    }
    assert!(era());
    net.0.items.set_era(1);
    eventually("the key is refused", || all_answer(&net, "/read/1", 401));
}

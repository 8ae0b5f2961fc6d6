//! Tests of gateways over loopback with a store: how soon changes in the store take effect, how
//! often gateways call it, and what happens while it fails.

mod net;
#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use net::{
    Net,
    eventually, //
};
use rstest::rstest;
use standin::store::Items;

/// The strictest limit of today's deployments for the time until a change is in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);

#[test]
fn removed_keys_are_rejected() {
    let net = Net::start(2);
    assert_eq!(net.get("/read/1").status, 200);
    net.configure(2, &[]);
    eventually("the removed key is rejected", || {
        net.get("/read/1").status == 401
    });
    // A configuration with a lower version is never applied again.
    net.configure(1, &["secret"]);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(net.get("/read/1").status, 401);
}

struct Change {
    /// Puts the store into the state in which the change is made.
    prepare: fn(&Items),
    /// The time within which the change must be in force.
    limit: Duration,
}

#[rstest]
#[case::working(Change { prepare: |_| {}, limit: APPLY_LIMIT })]
#[case::history_compacted(Change { prepare: Items::compact, limit: APPLY_LIMIT })]
#[case::watches_paused(Change { prepare: |items| items.set_watches_paused(true), limit: APPLY_LIMIT.saturating_mul(2) })]
fn a_change_is_in_force_in_time(#[case] case: Change) {
    let net = Net::start(1);
    (case.prepare)(&net.0.items);
    net.configure(2, &["other"]);
    let start = Instant::now();
    eventually("the new configuration is in force", || {
        net.status(0)["generation"] == 2
    });
    assert!(start.elapsed() < case.limit, "{:?}", start.elapsed());
    assert_eq!(net.get("/read/1").status, 401);
}

struct IdleCalls {
    gateways: u8,
    /// The most calls to the store in three seconds.
    limit: u64,
}

/// While nothing changes, only one gateway of a group checks with the store that the data of all
/// gateways is current. If each gateway made two calls every 0.8 s, there would be 7 calls with one
/// gateway and 30 with four.
#[rstest]
#[case::alone(IdleCalls { gateways: 1, limit: 4 })]
#[case::group(IdleCalls { gateways: 4, limit: 6 })]
fn an_idle_group_makes_few_calls_to_the_store(#[case] case: IdleCalls) {
    let net = Net::start(case.gateways);
    for i in 0..usize::from(case.gateways) {
        let knows_peers = || net.status(i)["peers"] == case.gateways - 1;
        eventually("each gateway knows all others", knows_peers);
    }
    // Each gateway makes two reads and starts a watch.
    let start_calls = 3 * u64::from(case.gateways);
    eventually("each gateway watches the store", || {
        net.0.items.calls() >= start_calls
    });
    let before = net.0.items.calls();
    thread::sleep(Duration::from_secs(3));
    let calls = net.0.items.calls() - before;
    assert!((1..=case.limit).contains(&calls), "{calls}");
    for i in 0..usize::from(case.gateways) {
        let age = net.status(i)["rules_age_ms"].as_u64();
        assert!(age.is_some_and(|age| age < 3_000), "{age:?}");
    }
}

#[test]
fn keys_expire_while_the_store_is_down() {
    let net = Net::start_with(1, |settings| settings.trust_ms = Some(2_000.0));
    assert_eq!(net.get("/read/1").status, 200);
    net.0.items.set_down(true);
    eventually("keys are no longer trusted", || {
        net.get("/read/1").status == 503
    });
    net.0.items.set_down(false);
    eventually("keys are trusted again", || {
        net.get("/read/1").status == 200
    });
}

/// The history of the store no longer contains the removal of a target. As the store was reachable
/// all the time, the target must be dropped at once: its entry cannot merely have lapsed while the
/// store was away.
#[test]
fn a_target_removed_before_a_compaction_is_dropped_at_once() {
    let net = Net::start(1);
    net.0.items.set_watches_paused(true);
    for name in ["servers/i-1", "servers/i-2"] {
        net.0.items.remove(name);
    }
    net.0.items.compact();
    net.0.items.set_watches_paused(false);
    let start = Instant::now();
    eventually("no target is in use", || net.get("/read/1").status == 503);
    assert!(
        start.elapsed() < Duration::from_millis(1_000),
        "{:?}",
        start.elapsed()
    );
}

/// A call to the store may fail now and then. Such a short failure is not an outage in which entries
/// could lapse, so a target that was removed meanwhile must be dropped at once.
#[test]
fn a_target_removed_during_a_short_failure_is_dropped_at_once() {
    let net = Net::start(1);
    thread::sleep(Duration::from_millis(500));
    net.0.items.set_watches_paused(true);
    net.0.items.set_down(true);
    net.0.items.remove("servers/i-1");
    net.0.items.remove("servers/i-2");
    thread::sleep(Duration::from_millis(700));
    net.0.items.set_down(false);
    net.0.items.set_watches_paused(false);
    let start = Instant::now();
    eventually("no target is in use", || net.get("/read/1").status == 503);
    assert!(
        start.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        start.elapsed()
    );
}

/// Targets whose entries are still missing two seconds after the store is back are dropped, even if
/// nothing changes in the store any more.
#[test]
fn targets_removed_during_an_outage_are_dropped() {
    let net = Net::start(1);
    net.0.items.set_down(true);
    net.0.items.remove("servers/i-1");
    net.0.items.remove("servers/i-2");
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(net.get("/read/1").status, 200);
    net.0.items.set_down(false);
    eventually("no target is in use", || net.get("/read/1").status == 503);
}

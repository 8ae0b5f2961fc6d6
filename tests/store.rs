//! Gateways over loopback and the store: what they know, how soon, and what it costs.

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

/// The time in which the least patient of today's deployments has a change in force.
const APPLY: Duration = Duration::from_millis(2_000);

#[test]
fn a_key_that_was_taken_away_opens_nothing() {
    let net = Net::start(2);
    assert_eq!(net.get("/read/1").status, 200);
    net.configure(2, &[]);
    eventually("the key is refused", || net.get("/read/1").status == 401);
    // Older rules are never taken up again.
    net.configure(1, &["secret"]);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(net.get("/read/1").status, 401);
}

struct Change {
    /// What is wrong with the store.
    trouble: fn(&Items),
    /// The time in which a change must be in force.
    limit: Duration,
}

#[rstest]
#[case::sound(Change { trouble: |_| {}, limit: APPLY })]
#[case::history_lost(Change { trouble: Items::compact, limit: APPLY })]
#[case::watches_silent(Change { trouble: |items| items.set_watches_paused(true), limit: APPLY.saturating_mul(2) })]
fn a_change_is_in_force_soon(#[case] case: Change) {
    let net = Net::start(1);
    (case.trouble)(&net.0.items);
    net.configure(2, &["other"]);
    let begun = Instant::now();
    eventually("it is in force", || net.status(0)["generation"] == 2);
    assert!(begun.elapsed() < case.limit, "{:?}", begun.elapsed());
    assert_eq!(net.get("/read/1").status, 401);
}

struct Calm {
    gateways: u8,
    /// The calls to the store in three seconds.
    calls: u64,
}

/// While nothing changes, one gateway of a group asks the store how new all are. Two calls of
/// each gateway every 0.8 s would be 7 and 30.
#[rstest]
#[case::alone(Calm { gateways: 1, calls: 4 })]
#[case::in_a_group(Calm { gateways: 4, calls: 6 })]
fn the_store_is_asked_seldom(#[case] case: Calm) {
    let net = Net::start(case.gateways);
    for i in 0..usize::from(case.gateways) {
        let known = || net.status(i)["peers"] == case.gateways - 1;
        eventually("all are known", known);
    }
    // Two reads of each, and its watch.
    let all = 3 * u64::from(case.gateways);
    eventually("all watch", || net.0.items.calls() >= all);
    let before = net.0.items.calls();
    thread::sleep(Duration::from_secs(3));
    let calls = net.0.items.calls() - before;
    assert!((1..=case.calls).contains(&calls), "{calls}");
    for i in 0..usize::from(case.gateways) {
        let age = net.status(i)["rules_age_ms"].as_u64();
        assert!(age.is_some_and(|age| age < 3_000), "{age:?}");
    }
}

#[test]
fn keys_are_not_trusted_for_long_without_the_store() {
    let net = Net::with(1, |settings| settings.trust_ms = Some(2_000.0));
    assert_eq!(net.get("/read/1").status, 200);
    net.0.items.set_down(true);
    eventually("keys are doubted", || net.get("/read/1").status == 503);
    net.0.items.set_down(false);
    eventually("keys are trusted again", || {
        net.get("/read/1").status == 200
    });
}

/// The store has forgotten that a target left. It was there all the while, so the target is not one
/// whose entry may only have lapsed.
#[test]
fn a_target_that_left_is_missed_at_once_when_the_history_is_lost() {
    let net = Net::start(1);
    net.0.items.set_watches_paused(true);
    for name in ["servers/i-1", "servers/i-2"] {
        net.0.items.remove(name);
    }
    net.0.items.compact();
    net.0.items.set_watches_paused(false);
    let begun = Instant::now();
    eventually("no target is left", || net.get("/read/1").status == 503);
    assert!(
        begun.elapsed() < Duration::from_millis(1_000),
        "{:?}",
        begun.elapsed()
    );
}

/// A call to the store fails now and then; that is no absence in which entries lapse.
#[test]
fn a_target_that_left_while_a_call_failed_is_missed_at_once() {
    let net = Net::start(1);
    thread::sleep(Duration::from_millis(500));
    net.0.items.set_watches_paused(true);
    net.0.items.set_down(true);
    net.0.items.remove("servers/i-1");
    net.0.items.remove("servers/i-2");
    thread::sleep(Duration::from_millis(700));
    net.0.items.set_down(false);
    net.0.items.set_watches_paused(false);
    let begun = Instant::now();
    eventually("no target is left", || net.get("/read/1").status == 503);
    assert!(
        begun.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        begun.elapsed()
    );
}

/// Targets that are still missing two seconds after the store is back are gone, though nothing
/// changes in the store any more.
#[test]
fn targets_that_left_while_the_store_was_away_are_missed() {
    let net = Net::start(1);
    net.0.items.set_down(true);
    net.0.items.remove("servers/i-1");
    net.0.items.remove("servers/i-2");
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(net.get("/read/1").status, 200);
    net.0.items.set_down(false);
    eventually("no target is left", || net.get("/read/1").status == 503);
}

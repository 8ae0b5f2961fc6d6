//! New rules come into force at all processes within seconds, and are never replaced by older ones.

mod drive;

use std::time::Duration;

use drive::{
    Fleet,
    Load,
    Plan,
    fleet::Node, //
};
use redwingyard::{
    config::{
        Error,
        Store, //
    },
    member, //
};
use rstest::rstest;

/// The time within which new rules must be in force at all processes.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// The time after which a target that the rules list as leaving must start no more attempts.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);

fn fleet(routers: usize, targets: usize, seed: u64) -> Fleet {
    let loads = (0..4).map(|i| Load::at(i % routers, routers, targets * 4));
    Fleet::new(
        Plan::new(routers, targets, 4, loads.collect(), seed),
        Duration::ZERO,
    )
}

fn all_in_force(fleet: &Fleet, generation: u64) -> bool {
    let mut stores = fleet.stores.values();
    stores.all(|store| store.version().generation == generation)
}

struct Size {
    routers: usize,
    targets: usize,
    trials: u64,
}

/// Only one process reads the new rules from the configuration service. The others get them from
/// their peers, even if the service is down for them.
///
/// Fails without the announcement to peers or without `SyncAction::Fetch`.
#[rstest]
#[case::fitwell(Size { routers: 3, targets: 13, trials: 60 })]
#[case::magnolia(Size { routers: 3, targets: 23, trials: 40 })]
fn in_force_everywhere(#[case] size: Size) {
    let mut worst = Duration::ZERO;
    for seed in 0..size.trials {
        let mut fleet = fleet(size.routers, size.targets, seed);
        let start = Duration::from_secs(3) + Duration::from_millis(37 * seed);
        fleet.run(start);
        let text = fleet.plan.text(2, &[]);
        let reader = Node::Router(seed as usize % size.routers);
        fleet.publish(reader, &text);
        while !all_in_force(&fleet, 2) {
            fleet.run(fleet.now + Duration::from_millis(5));
            assert!(
                fleet.now < start + MAX_PROPAGATION_TIME,
                "trial {seed}: generation 2 is not in force at all processes after {MAX_PROPAGATION_TIME:?}"
            );
        }
        worst = worst.max(fleet.now - start);
    }
    println!("trials={} worst_ms={}", size.trials, worst.as_millis());
}

/// A process that starts without rules, or with old ones from a stale configuration service, gets
/// the newer rules from its peers. It then ignores the service.
#[test]
fn rules_never_revert() {
    let mut fleet = fleet(3, 6, 5);
    fleet.run(Duration::from_secs(3));
    let (old, new) = (fleet.plan.text(1, &[]), fleet.plan.text(2, &[]));
    fleet.publish(Node::Router(0), &new);
    fleet.run(Duration::from_secs(5));
    for i in 0..3 {
        fleet.kill(Node::Router(i));
        fleet.start(Node::Router(i), &old);
        fleet.run(fleet.now + MAX_PROPAGATION_TIME);
        assert!(all_in_force(&fleet, 2), "after router {i} restarted");
        fleet.publish(Node::Router(i), &old);
        assert!(
            all_in_force(&fleet, 2),
            "router {i} ignores the old rules of a stale service"
        );
    }
    fleet.kill(Node::Sidecar(0));
    fleet.start(Node::Sidecar(0), "");
    fleet.run(fleet.now + MAX_PROPAGATION_TIME);
    assert!(all_in_force(&fleet, 2));
}

/// Fails without the checks of `is_leaving` in `Sidecar::admit` and `Sidecar::schedule`.
#[test]
fn a_leaving_target_starts_no_new_work() {
    for seed in 0..5 {
        let mut fleet = fleet(3, 6, seed);
        fleet.run(Duration::from_secs(4));
        let text = fleet.plan.text(2, &[2]);
        fleet.publish(Node::Router(seed as usize % 3), &text);
        fleet.run(fleet.now + MAX_LEAVING_DELAY);
        let leaving = fleet.sidecars[2].as_ref().expect("sidecar 2 is running");
        let before = leaving.records().len() + leaving.running();
        assert!(before > 0, "the target had attempts before it left");
        // Every attempt takes less than a second, so one that still runs after that time was
        // started after the target had left.
        fleet.run(fleet.now + Duration::from_secs(1));
        for _ in 0..20 {
            fleet.run(fleet.now + Duration::from_millis(250));
            let leaving = fleet.sidecars[2].as_ref().expect("sidecar 2 is running");
            assert_eq!((leaving.running(), leaving.taken()), (0, 0));
        }
        let served = fleet
            .truth
            .calls
            .iter()
            .filter(|call| call.runs > 0)
            .count();
        assert!(served > 100, "the other targets serve requests");
    }
}

struct Install {
    first: &'static str,
    then: &'static str,
    error: Option<Error>,
}

#[rstest]
#[case::newer(Install { first: "generation 1 # a", then: "generation 2 # a", error: None })]
#[case::same(Install { first: "generation 1 # a", then: "generation 1 # a", error: None })]
#[case::older(Install {
    first: "generation 2 # a",
    then: "generation 1 # a",
    error: Some(Error::Older { offered: 1, current: 2 }),
})]
#[case::conflict(Install {
    first: "generation 2 # a",
    then: "generation 2 # b",
    error: Some(Error::Conflict(2)),
})]
fn installs_only_newer_rules(#[case] case: Install) {
    let mut store = Store::default();
    assert_eq!(store.install(case.first), Ok(true));
    assert_eq!(store.install(case.then).err(), case.error);
}

#[test]
fn an_invalid_text_leaves_the_rules_in_force() {
    let mut store = Store::default();
    assert_eq!(store.install("generation 4 # a"), Ok(true));
    assert!(store.install("generation 5 # a\nfly").is_err());
    assert_eq!(store.version().generation, 4);
}

/// Among 5,500 processes there are always as many readers as configured, whichever fail.
#[test]
fn failed_readers_are_replaced_one_for_one() {
    let mut live: Vec<u32> = (0..5_500)
        .map(|i| redwingyard::ids::id(&i.to_string()))
        .collect();
    for round in 0..5 {
        let readers: Vec<_> = live
            .iter()
            .copied()
            .filter(|me| member::is_reader(*me, &live, member::READER_COUNT))
            .collect();
        assert_eq!(readers.len(), member::READER_COUNT, "round {round}");
        live.retain(|process| !readers.contains(process));
    }
}

/// The patch for a change of one line among 10,000 takes less than a packet.
#[test]
fn a_change_of_one_line_is_sent_as_a_small_patch() {
    let mut text = "generation 1 # kim\n".to_owned();
    for i in 0..10_000 {
        text += &format!("share * account-{i:05} 1 # mei: plan\n");
    }
    let new = text
        .replace("generation 1", "generation 2")
        .replace("account-05000 1", "account-05000 7");
    let mut store = Store::default();
    assert_eq!(store.install(&text), Ok(true));
    let patch = redwingyard::config::patch(&text, &new, store.version());
    let message = redwingyard::wire::Message::Patch(patch.clone().into());
    let size = redwingyard::wire::encode(&message).len();
    assert!(size < 200, "{size} bytes");
    assert_eq!(store.install_patch(&patch), Some(Ok(true)));
    assert_eq!(store.text(), new);
    assert_eq!(
        store.install_patch(&patch),
        None,
        "the patch does not apply to the new text"
    );
}

/// A patch turns any old text into any new one. Applying a patch with wrong line numbers does
/// not panic.
#[test]
fn patches_reproduce_the_new_text() {
    let mut rng = fastrand::Rng::with_seed(4);
    for _ in 0..500 {
        let mut text = || {
            let lines = (0..rng.usize(..12)).map(|_| format!("{}\n", rng.u32(..5)));
            lines.collect::<String>()
        };
        let (old, new) = (text(), text());
        let version = redwingyard::wire::RulesVersion::default();
        let mut patch = redwingyard::config::patch(&old, &new, version);
        let got = redwingyard::config::apply(&old, &patch);
        assert_eq!(got, Some(new), "{old:?} {patch:?}");
        for edit in &mut patch.edits {
            edit.line = edit.line.wrapping_add(rng.u32(..));
        }
        let _ = redwingyard::config::apply(&old, &patch);
    }
}

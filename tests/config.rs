//! Rules come into force everywhere within seconds and never revert.

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

/// The time within which new rules must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// The time after which a leaving target must start no new work.
const LEAVING: Duration = Duration::from_secs(3);

fn fleet(routers: usize, targets: usize, seed: u64) -> Fleet {
    let loads = (0..4).map(|i| Load::at(i % routers, routers, targets * 4));
    Fleet::new(
        Plan::new(routers, targets, 4, loads.collect(), seed),
        Duration::ZERO,
    )
}

fn everyone(fleet: &Fleet, generation: u64) -> bool {
    let mut stores = fleet.stores.values();
    stores.all(|store| store.version().generation == generation)
}

struct Size {
    routers: usize,
    targets: usize,
    trials: u64,
}

/// One process reads the new rules; the service may then be down for all others.
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
        while !everyone(&fleet, 2) {
            fleet.run(fleet.now + Duration::from_millis(5));
            assert!(fleet.now < start + IN_FORCE, "trial {seed} took too long");
        }
        worst = worst.max(fleet.now - start);
    }
    println!("trials={} worst_ms={}", size.trials, worst.as_millis());
}

/// A process that starts empty beside a stale service is corrected by its peers.
#[test]
fn nothing_reverts() {
    let mut fleet = fleet(3, 6, 5);
    fleet.run(Duration::from_secs(3));
    let (old, new) = (fleet.plan.text(1, &[]), fleet.plan.text(2, &[]));
    fleet.publish(Node::Router(0), &new);
    fleet.run(Duration::from_secs(5));
    for i in 0..3 {
        fleet.kill(Node::Router(i));
        fleet.start(Node::Router(i), &old);
        fleet.run(fleet.now + IN_FORCE);
        assert!(everyone(&fleet, 2), "after router {i} restarted");
        fleet.publish(Node::Router(i), &old);
        assert!(everyone(&fleet, 2), "a stale service is ignored");
    }
    fleet.kill(Node::Sidecar(0));
    fleet.start(Node::Sidecar(0), "");
    fleet.run(fleet.now + IN_FORCE);
    assert!(everyone(&fleet, 2));
}

/// Fails without the check of `is_leaving` in `Sidecar::admit` and `Sidecar::pump`.
#[test]
fn a_leaving_target_starts_no_new_work() {
    for seed in 0..5 {
        let mut fleet = fleet(3, 6, seed);
        fleet.run(Duration::from_secs(4));
        let text = fleet.plan.text(2, &[2]);
        fleet.publish(Node::Router(seed as usize % 3), &text);
        fleet.run(fleet.now + LEAVING);
        let leaving = fleet.sidecars[2].as_ref().expect("the sidecar lives");
        let before = leaving.records().len() + leaving.running();
        assert!(before > 0, "it had work before");
        // Every attempt lasts less than a second, so what runs later was started later.
        fleet.run(fleet.now + Duration::from_secs(1));
        for _ in 0..20 {
            fleet.run(fleet.now + Duration::from_millis(250));
            let leaving = fleet.sidecars[2].as_ref().expect("the sidecar lives");
            assert_eq!((leaving.running(), leaving.taken()), (0, 0));
        }
        let served = fleet
            .truth
            .calls
            .iter()
            .filter(|call| call.runs > 0)
            .count();
        assert!(served > 100, "the others serve");
    }
}

struct Offer {
    first: &'static str,
    then: &'static str,
    error: Option<Error>,
}

#[rstest]
#[case::newer(Offer { first: "generation 1 # a", then: "generation 2 # a", error: None })]
#[case::same(Offer { first: "generation 1 # a", then: "generation 1 # a", error: None })]
#[case::older(Offer {
    first: "generation 2 # a",
    then: "generation 1 # a",
    error: Some(Error::Older { offered: 1, current: 2 }),
})]
#[case::conflict(Offer {
    first: "generation 2 # a",
    then: "generation 2 # b",
    error: Some(Error::Conflict(2)),
})]
fn offers(#[case] case: Offer) {
    let mut store = Store::default();
    assert_eq!(store.install(case.first), Ok(true));
    assert_eq!(store.install(case.then).err(), case.error);
}

#[test]
fn a_bad_file_leaves_the_old_one_in_force() {
    let mut store = Store::default();
    assert_eq!(store.install("generation 4 # a"), Ok(true));
    assert!(store.install("generation 5 # a\nfly").is_err());
    assert_eq!(store.version().generation, 4);
}

/// At 5,500 processes, the readers hold one watch each, whoever is gone.
#[test]
fn readers_stay_within_their_budget() {
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

/// A change of one line among 10,000 travels as less than a packet.
#[test]
fn a_small_change_travels_small() {
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
        "it is of another text now"
    );
}

/// Patches make the new text of the old one, whatever the two are, and never panic.
#[test]
fn patches_are_exact() {
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

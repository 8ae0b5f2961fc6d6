//! Golden files of whole scenarios: the log lines of every process and the outcomes of calls.
//!
//! `UPDATE_GOLDEN=1 cargo test --test golden` rewrites the files; review the difference.

mod drive;

use std::{
    fs,
    path::PathBuf,
    time::Duration, //
};

use drive::{
    Fleet,
    Load,
    Plan,
    fleet::Node, //
};
use rstest::rstest;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn fleet(write: bool) -> Fleet {
    let mut load = Load::at(0, 2, 0);
    load.write = write;
    let mut plan = Plan::new(2, 2, 2, vec![load.clone(), load], 12);
    plan.limit = Duration::from_secs(4);
    let mut fleet = Fleet::new(plan, Duration::ZERO);
    fleet.run(millis(1_000));
    fleet.logging = true;
    fleet
}

fn normal(fleet: &mut Fleet) {
    fleet.submit(0, 0, false, None, false);
    fleet.run(millis(1_300));
    fleet.submit(1, 1, true, None, false);
    fleet.run(millis(3_000));
}

/// More requests than slots wait, and the slots alternate between the accounts.
fn busy(fleet: &mut Fleet) {
    for i in 0..8 {
        fleet.submit(i % 2, usize::from(i > 4), false, None, false);
    }
    fleet.run(millis(4_000));
}

/// No sidecar runs, so the request is refused at its deadline.
fn refusal(fleet: &mut Fleet) {
    fleet.kill(Node::Sidecar(0));
    fleet.kill(Node::Sidecar(1));
    fleet.run(millis(4_000));
    fleet.submit(0, 0, true, None, false);
    fleet.run(millis(9_000));
}

/// Answers overlap, and the one that begins first ends last.
fn crossed(fleet: &mut Fleet) {
    fleet.plan.slow[0] = 3;
    fleet.submit(0, 0, false, None, false);
    fleet.submit(0, 0, false, None, false);
    fleet.submit(0, 1, false, None, false);
    fleet.run(millis(4_000));
}

/// Links stop delivering messages while a write runs; the router queries the write on the
/// new link.
fn silent(fleet: &mut Fleet) {
    fleet.submit(0, 0, true, None, false);
    fleet.run(millis(1_100));
    fleet.blackhole(Node::Router(0), Node::Sidecar(0));
    fleet.blackhole(Node::Router(0), Node::Sidecar(1));
    fleet.run(millis(6_000));
}

/// New rules make a target leave; its running request ends normally.
fn leaving(fleet: &mut Fleet) {
    fleet.submit(0, 0, true, None, false);
    fleet.run(millis(1_050));
    let text = fleet.plan.text(2, &[0]);
    fleet.publish(Node::Router(1), &text);
    fleet.run(millis(1_100));
    for _ in 0..3 {
        fleet.submit(0, 1, true, None, false);
    }
    fleet.run(millis(4_000));
}

/// A sidecar restarts while it runs writes and reads.
fn restart(fleet: &mut Fleet) {
    for write in [true, false, true, false] {
        fleet.submit(0, 0, write, None, false);
    }
    fleet.run(millis(1_050));
    fleet.kill(Node::Sidecar(0));
    let text = fleet.plan.text(1, &[]);
    fleet.start(Node::Sidecar(0), &text);
    fleet.run(millis(8_000));
}

/// A scenario and the name of its golden file.
struct Scenario {
    name: &'static str,
    run: fn(&mut Fleet),
}

#[rstest]
#[case(Scenario { name: "normal", run: normal })]
#[case(Scenario { name: "busy", run: busy })]
#[case(Scenario { name: "refusal", run: refusal })]
#[case(Scenario { name: "crossed", run: crossed })]
#[case(Scenario { name: "silent", run: silent })]
#[case(Scenario { name: "leaving", run: leaving })]
#[case(Scenario { name: "restart", run: restart })]
fn logs_match_the_golden_files(#[case] scenario: Scenario) {
    let mut fleet = fleet(false);
    (scenario.run)(&mut fleet);
    let actual = fleet.log.join("\n") + "\n";
    let name = format!("{}.txt", scenario.name);
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden", &name]
        .iter()
        .collect();
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::create_dir_all(path.parent().expect("the golden file has a parent folder"))
            .expect("cannot create the folder of the golden files");
        fs::write(&path, &actual).expect("cannot write the golden file");
    }
    let expected = fs::read_to_string(&path).expect("cannot read the golden file");
    assert_eq!(
        actual, expected,
        "the log differs from the golden file of scenario {}",
        scenario.name
    );
}

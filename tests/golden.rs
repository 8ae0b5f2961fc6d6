//! Whole sessions as text: the log lines of every process and what callers saw.
//!
//! `UPDATE_GOLDEN=1 cargo test --test golden` writes the files anew; review them as text.

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

/// More requests than slots wait, and the accounts take turns.
fn busy(fleet: &mut Fleet) {
    for i in 0..8 {
        fleet.submit(i % 2, usize::from(i > 4), false, None, false);
    }
    fleet.run(millis(4_000));
}

/// Nothing serves, so the deadline passes.
fn refusal(fleet: &mut Fleet) {
    fleet.kill(Node::Sidecar(0));
    fleet.kill(Node::Sidecar(1));
    fleet.run(millis(4_000));
    fleet.submit(0, 0, true, None, false);
    fleet.run(millis(9_000));
}

/// Answers cross: the one that began first ends last.
fn crossed(fleet: &mut Fleet) {
    fleet.plan.slow[0] = 3;
    fleet.submit(0, 0, false, None, false);
    fleet.submit(0, 0, false, None, false);
    fleet.submit(0, 1, false, None, false);
    fleet.run(millis(4_000));
}

/// A link goes silent while a write runs; the write is asked about on the new one.
fn silent(fleet: &mut Fleet) {
    fleet.submit(0, 0, true, None, false);
    fleet.run(millis(1_100));
    fleet.blackhole(Node::Router(0), Node::Sidecar(0));
    fleet.blackhole(Node::Router(0), Node::Sidecar(1));
    fleet.run(millis(6_000));
}

/// New rules make a target leave; what it has runs to its end.
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

/// A sidecar starts anew while it has a write and a read.
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

struct Session {
    name: &'static str,
    play: fn(&mut Fleet),
}

#[rstest]
#[case(Session { name: "normal", play: normal })]
#[case(Session { name: "busy", play: busy })]
#[case(Session { name: "refusal", play: refusal })]
#[case(Session { name: "crossed", play: crossed })]
#[case(Session { name: "silent", play: silent })]
#[case(Session { name: "leaving", play: leaving })]
#[case(Session { name: "restart", play: restart })]
fn sessions(#[case] session: Session) {
    let mut fleet = fleet(false);
    (session.play)(&mut fleet);
    let got = fleet.log.join("\n") + "\n";
    let name = format!("{}.txt", session.name);
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden", &name]
        .iter()
        .collect();
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::create_dir_all(path.parent().expect("a folder")).expect("the folder can be made");
        fs::write(&path, &got).expect("the file can be written");
    }
    let want = fs::read_to_string(&path).expect("the file is there");
    assert_eq!(got, want, "session {}", session.name);
}

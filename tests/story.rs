//! The story of one request, told from a log of several processes.
//!
//! `UPDATE_GOLDEN=1 cargo test --test story` writes the files anew; review them as text.

use std::{
    fs,
    path::PathBuf, //
};

use redwingyard::story::explain;
use rstest::rstest;

fn path(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("tests/golden/story").join(name)
}

fn log() -> String {
    fs::read_to_string(path("day.log")).expect("the log can be read")
}

#[rstest]
#[case::lost("r1")]
#[case::refused("r2")]
#[case::continued("r3")]
#[case::before_the_rules("r4")]
#[case::after_a_restart("r5")]
#[case::not_ended("r6")]
fn a_request_is_told_by_its_name(#[case] id: &str) {
    let story = explain(id, [("-", log().as_str())]).expect("the log names it");
    let file = path(&format!("{id}.txt"));
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&file, &story).expect("the file can be written");
    }
    assert_eq!(
        story,
        fs::read_to_string(&file).expect("the file can be read")
    );
}

#[test]
fn a_request_that_no_line_names_has_no_story() {
    assert_eq!(explain("r", [("-", log().as_str())]), None);
}

/// Each process may have a file of its own, whose lines begin with their time.
#[test]
fn files_name_the_processes_of_plain_lines() {
    let log = log();
    let plain = |process: &str| {
        let own = log.lines().filter_map(|line| {
            let (before, rest) = line.split_once("time_ms=")?;
            before
                .contains(process)
                .then(|| format!("time_ms={rest}\n"))
        });
        own.collect::<String>()
    };
    let (one, two) = (plain("gateway-1"), plain("gateway-2"));
    let joined = explain(
        "r3",
        [("gateway-2", two.as_str()), ("gateway-1", one.as_str())],
    );
    assert_eq!(joined, explain("r3", [("-", log.as_str())]));
}

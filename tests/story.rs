//! Compares explanations of requests, made from a log of several processes, with golden files.
//!
//! `UPDATE_GOLDEN=1 cargo test --test story` rewrites the golden files; review their changes.

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
    fs::read_to_string(path("day.log")).expect("tests/golden/story/day.log is readable")
}

#[rstest]
#[case::lost("r1")]
#[case::refused("r2")]
#[case::continued("r3")]
#[case::before_first_rules("r4")]
#[case::after_a_restart("r5")]
#[case::not_ended("r6")]
fn an_explanation_matches_its_golden_file(#[case] id: &str) {
    let story = explain(id, [("-", log().as_str())]).expect("the log names the request");
    let file = path(&format!("{id}.txt"));
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&file, &story).expect("the golden file is writable");
    }
    assert_eq!(
        story,
        fs::read_to_string(&file).expect("the golden file is readable")
    );
}

#[test]
fn a_request_that_no_line_names_is_not_explained() {
    assert_eq!(explain("r", [("-", log().as_str())]), None);
}

/// If each process has its own log file, whose lines begin with the time, the name given with the
/// file names the process.
#[test]
fn the_name_of_a_log_is_used_for_lines_without_a_process_name() {
    let log = log();
    let plain = |process: &str| {
        let lines = log.lines().filter_map(|line| {
            let (before, rest) = line.split_once("time_ms=")?;
            before
                .contains(process)
                .then(|| format!("time_ms={rest}\n"))
        });
        lines.collect::<String>()
    };
    let (one, two) = (plain("gateway-1"), plain("gateway-2"));
    let separate = explain(
        "r3",
        [("gateway-2", two.as_str()), ("gateway-1", one.as_str())],
    );
    assert_eq!(separate, explain("r3", [("-", log.as_str())]));
}

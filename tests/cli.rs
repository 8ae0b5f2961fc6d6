//! The command line and the settings: output, exit codes and exact errors.

use std::{
    fs,
    path::PathBuf,
    process::Command, //
};

use redwingyard::settings::{
    RouterSettings,
    SidecarSettings,
    from_str, //
};
use rstest::rstest;

const OLD: &str = "generation 1 # kim\ntarget api api-1 # kim: new VM\nshare * a 1 # mei\n";
const NEW: &str = "generation 2 # kim\ntarget api api-1 # kim: new VM\nshare * a 4 # mei: paid\n\
                   write api POST /seats/* # ann: booked once\nleaving api-1 # kim: tonight\n";

const LOG: &str = "gateway-1 time_ms=7 level=info event=reject request=r1 cause=no-route\n";

/// Writes a file for one test and returns its path.
fn file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(name);
    fs::write(&path, text).expect("the file can be written");
    path
}

struct Run {
    args: &'static [&'static str],
    code: i32,
    out: &'static str,
}

/// `OLD`, `NEW` and `LOG` among the arguments stand for files with those rules and lines.
#[rstest]
#[case::check(Run { args: &["check", "NEW"], code: 0, out: "generation 2: 5 rules are valid\n" })]
#[case::diff(Run {
    args: &["diff", "OLD", "NEW"],
    code: 0,
    out: "- share * a 1  # mei\n\
          + leaving api-1  # kim: tonight\n\
          + share * a 4  # mei: paid\n\
          + write api POST /seats/*  # ann: booked once\n\
          generation 2 would be accepted after 1\n",
})]
#[case::diff_back(Run {
    args: &["diff", "NEW", "NEW"],
    code: 1,
    out: "",
})]
#[case::account(Run {
    args: &["explain", "NEW", "a"],
    code: 0,
    out: "api: line 3: share * a 4  # mei: paid\n",
})]
#[case::target(Run {
    args: &["explain", "NEW", "api-1"],
    code: 0,
    out: "line 2: target api api-1  # kim: new VM\nline 5: leaving api-1  # kim: tonight\n",
})]
#[case::write(Run {
    args: &["explain", "NEW", "POST", "/api/seats/7"],
    code: 0,
    out: "non-idempotent: line 4: write api POST /seats/*  # ann: booked once\n",
})]
#[case::read(Run {
    args: &["explain", "NEW", "GET", "/api/seats/7"],
    code: 0,
    out: "idempotent: no line makes it a write\n",
})]
#[case::story(Run {
    args: &["explain-request", "r1", "LOG"],
    code: 0,
    out: "request r1 at gateway-1: no-route\n\
          It has not run: the rules do not allow it; try `redwingyard explain`.\n      \
          0 ms  gateway-1  rejected it before it was queued: cause=no-route\n",
})]
#[case::no_story(Run { args: &["explain-request", "r2", "LOG"], code: 1, out: "" })]
#[case::extra(Run { args: &["gateway", "--settings", "NEW", "extra"], code: 2, out: "" })]
#[case::nobody(Run { args: &["explain", "NEW", "nobody"], code: 1, out: "" })]
fn verbs(#[case] run: Run) {
    let name = run.args.join("-").replace('/', "_");
    let old = file(&format!("old-{name}"), OLD);
    let new = file(&format!("new-{name}"), NEW);
    let log = file(&format!("log-{name}"), LOG);
    let args = run.args.iter().map(|arg| match *arg {
        "OLD" => old.as_os_str(),
        "NEW" => new.as_os_str(),
        "LOG" => log.as_os_str(),
        other => other.as_ref(),
    });
    let output = Command::new(env!("CARGO_BIN_EXE_redwingyard"))
        .args(args)
        .output()
        .expect("the binary runs");
    assert_eq!(String::from_utf8_lossy(&output.stdout), run.out);
    assert_eq!(output.status.code(), Some(run.code));
}

fn router(change: &str) -> String {
    let text = r#"{
  "name": "router-1", "domain": "a",
  "http": "127.0.0.1:8080", "link": "127.0.0.1:8081", "admin": "127.0.0.1:8082",
  "keys": { "authority": "", "certificate": "", "key": "" },
  "platform": { "rules": "http://127.0.0.1/r", "vms": "http://127.0.0.1/v" }"#;
    format!("{text}{change}\n}}")
}

struct Settings {
    change: &'static str,
    error: &'static str,
}

#[rstest]
#[case::unknown(Settings {
    change: ",\n  \"queue\": 1",
    error: "line 6 column 9: unknown field `queue`, expected one of `name`, `domain`, `http`, \
            `link`, `admin`, `keys`, `platform`, `account_header`, `tokens`, `queues`, \
            `deadline_ms`, `body_bytes`, `memory_mb`, `drain_ms`",
})]
#[case::kind(Settings {
    change: ",\n  \"deadline_ms\": \"x\"",
    error: "line 6 column 20: invalid type: string \"x\", expected u64",
})]
#[case::range(Settings {
    change: ",\n  \"deadline_ms\": 0",
    error: "line 6 column 3: field `deadline_ms` must be at least 1",
})]
#[case::no_memory(Settings {
    change: ",\n  \"memory_mb\": 0",
    error: "line 6 column 3: field `memory_mb` must be at least 1",
})]
#[case::contradiction(Settings {
    change: ",\n  \"queues\": { \"account\": 9, \"total\": 3 }",
    error: "line 6 column 3: field `queues` \"total\" is less than \"account\"",
})]
#[case::syntax(Settings { change: ",", error: "line 6 column 1: trailing comma" })]
fn settings_are_refused(#[case] case: Settings) {
    let err = from_str::<RouterSettings>(&router(case.change)).expect_err("they are refused");
    assert_eq!(err.to_string(), case.error);
}

#[test]
fn missing_fields_are_named() {
    let err = from_str::<SidecarSettings>("{}").expect_err("they are refused");
    assert_eq!(err.to_string(), "line 1 column 2: missing field `name`");
    assert!(from_str::<RouterSettings>(&router("")).is_ok());
}

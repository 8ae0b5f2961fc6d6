//! The command line and the settings: output, exit codes and exact error messages.

use std::{
    fs,
    path::PathBuf,
    process::Command, //
};

use redwingyard::settings::{
    GatewaySettings,
    RouterSettings,
    SidecarSettings,
    from_str, //
};
use rstest::rstest;

const OLD: &str = "generation 1 # kim\ntarget api api-1 # kim: new VM\nshare * a 1 # mei\n";
const NEW: &str = "generation 2 # kim\ntarget api api-1 # kim: new VM\nshare * a 4 # mei: paid\n\
                   write api POST /seats/* # ann: booked once\nleaving api-1 # kim: tonight\n";

const LOG: &str = "gateway-1 time_ms=7 level=info event=reject request=r1 cause=no-route\n";

/// Writes a file for a test case and returns its path.
fn file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(name);
    fs::write(&path, text).expect("the test's temporary file is writable");
    path
}

struct Run {
    args: &'static [&'static str],
    code: i32,
    stdout: &'static str,
}

/// The arguments `OLD`, `NEW` and `LOG` are replaced by the paths of files with these contents.
#[rstest]
#[case::check(Run { args: &["check", "NEW"], code: 0, stdout: "generation 2: 5 rules are valid\n" })]
#[case::diff(Run {
    args: &["diff", "OLD", "NEW"],
    code: 0,
    stdout: "- share * a 1  # mei\n\
          + leaving api-1  # kim: tonight\n\
          + share * a 4  # mei: paid\n\
          + write api POST /seats/*  # ann: booked once\n\
          generation 2 would be accepted after 1\n",
})]
#[case::diff_same_generation(Run {
    args: &["diff", "NEW", "NEW"],
    code: 1,
    stdout: "",
})]
#[case::account(Run {
    args: &["explain", "NEW", "a"],
    code: 0,
    stdout: "api: line 3: share * a 4  # mei: paid\n",
})]
#[case::target(Run {
    args: &["explain", "NEW", "api-1"],
    code: 0,
    stdout: "line 2: target api api-1  # kim: new VM\nline 5: leaving api-1  # kim: tonight\n",
})]
#[case::write(Run {
    args: &["explain", "NEW", "POST", "/api/seats/7"],
    code: 0,
    stdout: "non-idempotent: line 4: write api POST /seats/*  # ann: booked once\n",
})]
#[case::read(Run {
    args: &["explain", "NEW", "GET", "/api/seats/7"],
    code: 0,
    stdout: "idempotent: no line makes it a write\n",
})]
#[case::explain_request(Run {
    args: &["explain-request", "r1", "LOG"],
    code: 0,
    stdout: "request r1 at gateway-1: no-route\n\
          It has not run: the rules do not allow it; try `redwingyard explain`.\n      \
          0 ms  gateway-1  rejected it before it was queued: cause=no-route\n",
})]
#[case::unknown_request(Run { args: &["explain-request", "r2", "LOG"], code: 1, stdout: "" })]
#[case::extra_argument(Run { args: &["gateway", "--settings", "NEW", "extra"], code: 2, stdout: "" })]
#[case::unknown_account(Run { args: &["explain", "NEW", "nobody"], code: 1, stdout: "" })]
fn verbs_print_and_exit(#[case] run: Run) {
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
        .expect("the redwingyard binary starts");
    assert_eq!(String::from_utf8_lossy(&output.stdout), run.stdout);
    assert_eq!(output.status.code(), Some(run.code));
}

fn router_settings(change: &str) -> String {
    let text = r#"{
  "name": "router-1", "domain": "a",
  "http": "127.0.0.1:8080", "link": "127.0.0.1:8081", "admin": "127.0.0.1:8082",
  "keys": { "authority": "", "certificate": "", "key": "" },
  "platform": { "rules": "http://127.0.0.1/r", "vms": "http://127.0.0.1/v" }"#;
    format!("{text}{change}\n}}")
}

struct InvalidSettings {
    change: &'static str,
    error: &'static str,
}

#[rstest]
#[case::unknown_field(InvalidSettings {
    change: ",\n  \"queue\": 1",
    error: "line 6 column 9: unknown field `queue`, expected one of `name`, `domain`, `http`, \
            `link`, `admin`, `keys`, `platform`, `account_header`, `tokens`, `queues`, `retry`, \
            `deadline_ms`, `body_bytes`, `memory_mb`, `drain_ms`",
})]
#[case::wrong_type(InvalidSettings {
    change: ",\n  \"deadline_ms\": \"x\"",
    error: "line 6 column 20: invalid type: string \"x\", expected u64",
})]
#[case::out_of_range(InvalidSettings {
    change: ",\n  \"deadline_ms\": 0",
    error: "line 6 column 3: field `deadline_ms` must be at least 1",
})]
#[case::zero_memory(InvalidSettings {
    change: ",\n  \"memory_mb\": 0",
    error: "line 6 column 3: field `memory_mb` must be at least 1",
})]
#[case::contradiction(InvalidSettings {
    change: ",\n  \"queues\": { \"account\": 9, \"total\": 3 }",
    error: "line 6 column 3: field `queues` \"total\" is less than \"account\"",
})]
#[case::negative_retries(InvalidSettings {
    change: ",\n  \"retry\": { \"ratio\": -0.1 }",
    error: "line 6 column 3: field `retry` needs a ratio from 0 to 10",
})]
#[case::no_retry_window(InvalidSettings {
    change: ",\n  \"retry\": { \"window_s\": 0 }",
    error: "line 6 column 3: field `retry` needs a window from 0.1 to 3600 s",
})]
#[case::negative_retry_slack(InvalidSettings {
    change: ",\n  \"retry\": { \"slack\": -1 }",
    error: "line 6 column 3: field `retry` needs a slack from 0 to 1000000",
})]
#[case::syntax(InvalidSettings { change: ",", error: "line 6 column 1: trailing comma" })]
fn invalid_settings_are_refused_at_their_place(#[case] case: InvalidSettings) {
    let err = from_str::<RouterSettings>(&router_settings(case.change))
        .expect_err("the settings are refused");
    assert_eq!(err.to_string(), case.error);
}

#[test]
fn a_decision_about_a_prompt_part_names_who_asked() {
    let text = |by: &str| {
        format!(
            r#"{{
  "name": "gateway-1", "domain": "a", "http": "127.0.0.1:8080", "admin": "127.0.0.1:8081",
  "peer": "127.0.0.1:8082", "seeds": [], "store": "127.0.0.1:8083", "stop_s": 5,
  "parts": [{{ "part": "5c", "refuse": true, "by": "{by}" }}]
}}"#
        )
    };
    let settings = from_str::<GatewaySettings>(&text("kim: crashes engines"));
    assert!(settings.is_ok_and(|settings| settings.parts[0].refuse));
    let err = from_str::<GatewaySettings>(&text("")).expect_err("the settings are refused");
    let expected = "line 4 column 3: field `parts` must name each part and who asked for it";
    assert_eq!(err.to_string(), expected);
}

#[test]
fn a_gateway_takes_the_limits_of_retries_from_its_settings() {
    let text = |retry: &str| {
        format!(
            r#"{{
  "name": "gateway-1", "domain": "a", "http": "127.0.0.1:8080", "admin": "127.0.0.1:8081",
  "peer": "127.0.0.1:8082", "seeds": [], "store": "127.0.0.1:8083", "stop_s": 5,
  "retry": {retry}
}}"#
        )
    };
    let settings = from_str::<GatewaySettings>(&text(r#"{ "slack": 246 }"#));
    let retry = settings.expect("the settings are valid").retry;
    assert_eq!(
        (retry.ratio, retry.window_s, retry.slack),
        (0.2, 10.0, 246.0)
    );
    let err = from_str::<GatewaySettings>(&text(r#"{ "ratio": 11 }"#));
    let expected = "line 4 column 3: field `retry` needs a ratio from 0 to 10";
    assert_eq!(
        err.expect_err("the settings are refused").to_string(),
        expected
    );
}

#[test]
fn missing_fields_are_named() {
    let err = from_str::<SidecarSettings>("{}").expect_err("the settings are refused");
    assert_eq!(err.to_string(), "line 1 column 2: missing field `name`");
    assert!(from_str::<RouterSettings>(&router_settings("")).is_ok());
}

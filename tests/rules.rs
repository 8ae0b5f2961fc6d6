//! The rules file: valid and invalid texts, printing, the size limit, and randomized tests of the
//! parser.

use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        TestRng,
        TestRunner, //
    }, //
};
use redwingyard::{
    ids::id,
    rules::{
        self,
        MAX_TEXT, //
    }, //
};
use rstest::rstest;

struct InvalidFile {
    text: &'static str,
    errors: &'static str,
}

#[rstest]
#[case::empty(InvalidFile { text: "", errors: "line 1 column 1: no line gives the generation" })]
#[case::byte_order_mark(InvalidFile {
    text: "\u{feff}generation 1 # kim",
    errors: "line 1 column 1: the file begins with a byte order mark",
})]
#[case::route_prefix(InvalidFile {
    text: "generation 1 # kim\nroute r a.example /x api:1 once plain open 1 900 90 # kim",
    errors: "line 2 column 19: \"/x\" is not a prefix between slashes",
})]
#[case::route_split(InvalidFile {
    text: "generation 1 # kim\nroute r a.example / api:0 once plain open 1 900 90 # kim",
    errors: "line 2 column 21: \"api:0\" is not SERVICE:WEIGHT,... with a weight above zero",
})]
#[case::plain_text_key(InvalidFile {
    text: "generation 1 # kim\nkey a secret # kim",
    errors: "line 2 column 7: \"secret\" is not sha256: and 64 hexadecimal digits",
})]
#[case::unknown_limit(InvalidFile {
    text: "generation 1 # kim\nlimit speed 3 # kim",
    errors: "line 2 column 7: \"speed\" is not header-bytes, body-bytes, header-ms, idle-ms, \
             tokens-per-s",
})]
#[case::no_comment(InvalidFile {
    text: "generation 1",
    errors: "line 1 column 13: no comment names who asked for this rule",
})]
#[case::empty_comment(InvalidFile {
    text: "generation 1 # : because",
    errors: "line 1 column 14: no comment names who asked for this rule",
})]
#[case::unknown_rule(InvalidFile {
    text: "generation 1 # kim\n  shares a 1 # kim",
    errors: "line 2 column 3: unknown rule \"shares\"",
})]
#[case::missing_word(InvalidFile {
    text: "generation 1 # kim\nshare svc a # kim",
    errors: "line 2 column 12: expected \"share SERVICE ACCOUNT WEIGHT\"",
})]
#[case::extra_word(InvalidFile {
    text: "generation 1 # kim\nleaving a b # kim",
    errors: "line 2 column 11: expected \"leaving TARGET\"",
})]
#[case::zero_share(InvalidFile {
    text: "generation 1 # kim\nshare svc a 0 # kim",
    errors: "line 2 column 13: \"0\" is not a number from 1 to 10000",
})]
#[case::zero_generation(InvalidFile {
    text: "generation 0 # kim",
    errors: "line 1 column 12: \"0\" is not a number from 1 to 18446744073709551615",
})]
#[case::repeated(InvalidFile {
    text: "generation 1 # kim\nshare * a 1 # kim\nshare * a 2 # mei",
    errors: "line 3 column 1: this contradicts or repeats line 2",
})]
#[case::leaving_without_service(InvalidFile {
    text: "generation 1 # kim\nleaving t # kim",
    errors: "line 2 column 9: no line makes \"t\" a target of a service",
})]
#[case::bad_pattern(InvalidFile {
    text: "generation 1 # kim\nwrite svc POST a*/b # kim",
    errors: "line 2 column 16: \"a*/b\" is not a path pattern: it starts with '/', \
             '*' is a whole segment and '**' the last",
})]
#[case::several_errors(InvalidFile {
    text: "generation x # kim\nfly\nshare * a 1",
    errors: "line 1 column 12: \"x\" is not a number from 1 to 18446744073709551615\n\
             line 2 column 1: unknown rule \"fly\"\n\
             line 3 column 12: no comment names who asked for this rule",
})]
fn refuses_invalid_files(#[case] case: InvalidFile) {
    let errors = rules::from_str(case.text).expect_err("the text is invalid");
    assert_eq!(errors.to_string(), case.errors);
}

struct PathMatch {
    pattern: &'static str,
    path: &'static str,
    matches: bool,
}

#[rstest]
#[case(PathMatch { pattern: "/a/*", path: "/a/b", matches: true })]
#[case(PathMatch { pattern: "/a/*", path: "/a/b?c=d", matches: true })]
#[case(PathMatch { pattern: "/a/*", path: "/a/b/c", matches: false })]
#[case(PathMatch { pattern: "/a/*", path: "/a", matches: false })]
#[case(PathMatch { pattern: "/a/**", path: "/a/b/c", matches: true })]
#[case(PathMatch { pattern: "/a", path: "/a", matches: true })]
#[case(PathMatch { pattern: "/a", path: "/b", matches: false })]
fn matches_paths(#[case] case: PathMatch) {
    let text = format!(
        "generation 1 # kim\nwrite svc POST {} # kim\n",
        case.pattern
    );
    let rules = rules::from_str(&text).expect("the rules are valid");
    let found = rules.write_entry("svc", "POST", case.path).is_some();
    assert_eq!(found, case.matches);
}

#[test]
fn most_specific_share_decides() {
    let text = "generation 1 # kim\n\
                share * * 1 # kim\nshare svc * 2 # kim\nshare * a 3 # kim\nshare svc a 4 # kim\n";
    let rules = rules::from_str(text).expect("the rules are valid");
    let share = |service, account| rules.share(id(service), id(account));
    assert_eq!(share("other", "b"), 1);
    assert_eq!(share("svc", "b"), 2);
    assert_eq!(share("other", "a"), 3);
    assert_eq!(share("svc", "a"), 4);
}

/// A file with a line for each of 10,000 accounts, with requester and reason, fits into one value
/// of the configuration service.
#[test]
fn ten_thousand_accounts_fit() {
    let mut text = "generation 1  # kim: all accounts\n".to_owned();
    for i in 0..10_000 {
        text += &format!(
            "share * account-{i:05} {}  # mei.lin: plan of order {i:05}\n",
            1 + i % 9
        );
    }
    assert!(text.len() < MAX_TEXT, "{} bytes", text.len());
    let rules = rules::from_str(&text).expect("the rules are valid");
    assert!(rules.has_account(id("account-09999")));
    assert_eq!(rules::to_string(&rules), text);
}

#[test]
fn only_keys_of_a_leaving_target_change_owner() {
    let text = |leaving: &str| {
        let mut text = "generation 1 # kim\n".to_owned();
        for i in 0..5 {
            text += &format!("target svc t{i} # kim\n");
        }
        rules::from_str(&(text + leaving)).expect("the rules are valid")
    };
    let (before, after) = (text(""), text("leaving t2 # kim\n"));
    for key in 0..1_000 {
        let owner = before
            .idempotency_owner(id("svc"), key)
            .expect("a target owns the key");
        if owner != id("t2") {
            assert_eq!(after.idempotency_owner(id("svc"), key), Some(owner));
        }
    }
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn parser_never_panics() {
    let word = prop_oneof![
        "generation|share|write|target|leaving|\\*|#|:|\n|/a/\\*\\*",
        "[a-z0-9 #:*/\n\u{e9}\u{4e2d}]{0,12}",
        any::<String>(),
    ];
    let text = proptest::collection::vec(word, 0..20).prop_map(|words| words.join(" "));
    let result = runner(2_000).run(&text, |text| {
        if let Ok(rules) = rules::from_str(&text) {
            let parsed = rules::from_str(&rules::to_string(&rules));
            prop_assert_eq!(parsed, Ok(rules));
        }
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

#[test]
fn printed_rules_parse_to_the_same_rules() {
    let name = "[a-z][a-z0-9._-]{0,8}";
    let line = prop_oneof![
        (name, name, 1..=10_000_u32).prop_map(|(s, a, w)| format!("share {s} {a} {w}")),
        (name, name).prop_map(|(s, t)| format!("target {s} {t}")),
        (name, "[A-Z]{3,6}").prop_map(|(s, m)| format!("write {s} {m} /x/*/y/**")),
        Just(String::new()),
    ];
    let line = (line, name, "[a-z ]{0,10}").prop_map(|(line, who, why)| match line.as_str() {
        "" => String::new(),
        _ => format!("{line}   #{who}:  {why}"),
    });
    let text = proptest::collection::vec(line, 0..30);
    let result = runner(500).run(&text, |lines| {
        let text = format!("generation 9 # kim\n{}", lines.join("\n"));
        if let Ok(rules) = rules::from_str(&text) {
            let printed = rules::to_string(&rules);
            prop_assert_eq!(rules::from_str(&printed), Ok(rules));
        }
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

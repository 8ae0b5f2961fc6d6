//! The parser of the rules file.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    Category,
    Entry,
    Error,
    Errors,
    KeyDigest,
    Limit,
    MAX_COLD_MS,
    MAX_COLD_RATE,
    MAX_SHARE,
    MAX_TEXT,
    RetryPolicy,
    Route,
    Rule,
    Rules,
    WeightedService,
    build::unique_key,
    model::{
        ANY,
        RATE_UNIT,
        is_name_character, //
    }, //
};
use crate::ids::{
    Generation,
    id, //
};

/// The length of the longest name in bytes.
const MAX_NAME: usize = 64;

/// The character that some editors write at the start of a file.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// A word of a line; its column is counted in characters from one.
#[derive(Clone, Copy)]
struct Word<'a> {
    text: &'a str,
    column: usize,
}

/// Parses a rules file.
///
/// ```
/// use redwingyard::rules;
/// let errs = rules::from_str("generation 1\n").unwrap_err();
/// assert_eq!(errs.to_string(), "line 1 column 13: no comment names who asked for this rule");
/// ```
///
/// # Errors
///
/// Returns all errors of the file, each with its line and column.
pub fn from_str(text: &str) -> Result<Rules, Errors> {
    if text.len() > MAX_TEXT {
        let detail = format!("the file has {} bytes; {MAX_TEXT} are allowed", text.len());
        return Err(Errors(vec![data(1, 1, detail)]));
    }
    if text.starts_with(BYTE_ORDER_MARK) {
        let detail = "the file begins with a byte order mark".to_owned();
        return Err(Errors(vec![syntax(1, 1, detail)]));
    }
    let mut errs = Vec::new();
    let mut entries = Vec::new();
    for (i, line) in text.lines().enumerate() {
        match parse_line(i + 1, line) {
            Ok(Some(entry)) => entries.push(entry),
            Ok(None) => {}
            Err(err) => errs.push(err),
        }
    }
    check(&entries, &mut errs);
    if errs.is_empty() {
        return Ok(Rules::new(entries, xxh3_64(text.as_bytes())));
    }
    errs.sort_by_key(|err| (err.line, err.column));
    Err(Errors(errs))
}

fn parse_line(line: usize, text: &str) -> Result<Option<Entry>, Error> {
    let (body, comment) = match text.split_once('#') {
        Some((body, comment)) => (body, Some(comment)),
        None => (text, None),
    };
    let words = split_words(body);
    let Some(first) = words.first() else {
        return Ok(None);
    };
    let rule = parse_rule(line, *first, &words[1..], body)?;
    let (requester, reason) = parse_comment(line, body, comment)?;
    Ok(Some(Entry {
        line,
        rule,
        requester,
        reason,
    }))
}

/// Splits the part of a line before the comment at white space.
fn split_words(body: &str) -> Vec<Word<'_>> {
    let mut words = Vec::new();
    let mut start = None;
    for (column, (i, c)) in body.char_indices().enumerate() {
        match (c.is_whitespace(), start) {
            (false, None) => start = Some((i, column + 1)),
            (true, Some((from, column))) => {
                words.push(Word {
                    text: &body[from..i],
                    column,
                });
                start = None;
            }
            _ => {}
        }
    }
    if let Some((from, column)) = start {
        words.push(Word {
            text: &body[from..],
            column,
        });
    }
    words
}

fn parse_rule(
    line: usize,
    keyword: Word<'_>,
    args: &[Word<'_>],
    body: &str,
) -> Result<Rule, Error> {
    let form = match keyword.text {
        "generation" => "generation NUMBER",
        "share" => "share SERVICE ACCOUNT WEIGHT",
        "write" => "write SERVICE METHOD PATH",
        "target" => "target SERVICE TARGET",
        "leaving" => "leaving TARGET",
        "route" => {
            "route NAME HOST PREFIX SERVICE:WEIGHT,... once|repeat|resume plain|stream keyed|open \
             ATTEMPTS TIMEOUT-MS OBJECTIVE-MS"
        }
        "key" => "key ACCOUNT sha256:DIGEST",
        "limit" => "limit NAME VALUE",
        "engine" => "engine SERVICE SLOTS TOKENS",
        "cold" => "cold SERVICE TIME-MS REQUESTS-PER-S",
        other => {
            let detail = format!("unknown rule {other:?}");
            return Err(syntax(line, keyword.column, detail));
        }
    };
    let arity = form.split_whitespace().count() - 1;
    if args.len() != arity {
        let column = match args.get(arity) {
            Some(extra) => extra.column,
            None => body.trim_end().chars().count() + 1,
        };
        return Err(syntax(line, column, format!("expected \"{form}\"")));
    }
    Ok(match keyword.text {
        "generation" => Rule::Generation(number(line, args[0], 1, Generation::MAX)?),
        "share" => Rule::Share {
            service: name(line, args[0], true)?,
            account: name(line, args[1], true)?,
            weight: number(line, args[2], 1, u64::from(MAX_SHARE))? as u32,
        },
        "write" => Rule::Write {
            service: name(line, args[0], true)?,
            method: method(line, args[1])?,
            path: path(line, args[2])?,
        },
        "target" => Rule::Target {
            service: name(line, args[0], false)?,
            target: name(line, args[1], false)?,
        },
        "route" => Rule::Route(route(line, args)?),
        "key" => Rule::Key {
            account: name(line, args[0], false)?,
            digest: digest(line, args[1])?,
        },
        "limit" => Rule::Limit {
            limit: limit(line, args[0])?,
            value: number(line, args[1], 1, u64::MAX)?,
        },
        "engine" => Rule::Engine {
            service: name(line, args[0], false)?,
            slots: number(line, args[1], 1, u64::from(u32::MAX))? as u32,
            memory: number(line, args[2], 1, u64::MAX)?,
        },
        "cold" => Rule::Cold {
            service: name(line, args[0], false)?,
            time: number(line, args[1], 1, MAX_COLD_MS)?,
            rate: rate(line, args[2])?,
        },
        _ => Rule::Leaving {
            target: name(line, args[0], false)?,
        },
    })
}

fn route(line: usize, args: &[Word<'_>]) -> Result<Route, Error> {
    let repeat = args[4];
    Ok(Route {
        name: name(line, args[0], false)?,
        host: name(line, args[1], false)?,
        prefix: prefix(line, args[2])?,
        split: service_split(line, args[3])?,
        repeat: RetryPolicy::from_name(repeat.text)
            .ok_or_else(|| expected(line, repeat, "once, repeat or resume"))?,
        stream: choice(line, args[5], "stream", "plain")?,
        open: choice(line, args[6], "open", "keyed")?,
        attempts: number(line, args[7], 1, u64::from(u32::MAX))? as u32,
        timeout: number(line, args[8], 1, u64::from(u32::MAX))?,
        objective: number(line, args[9], 1, u64::from(u32::MAX))?,
    })
}

fn prefix(line: usize, word: Word<'_>) -> Result<String, Error> {
    match word.text.starts_with('/') && word.text.ends_with('/') {
        true => Ok(word.text.to_owned()),
        false => Err(expected(line, word, "a prefix between slashes")),
    }
}

fn service_split(line: usize, word: Word<'_>) -> Result<Vec<WeightedService>, Error> {
    let part = |text: &str| {
        let (service, weight) = text.split_once(':')?;
        let word = Word {
            text: service,
            column: word.column,
        };
        Some(WeightedService {
            service: name(line, word, false).ok()?,
            weight: weight.parse().ok()?,
        })
    };
    let parts: Option<Vec<_>> = word.text.split(',').map(part).collect();
    let parts = parts.filter(|parts| parts.iter().any(|part| part.weight > 0));
    parts.ok_or_else(|| expected(line, word, "SERVICE:WEIGHT,... with a weight above zero"))
}

/// Returns whether a word is `yes` rather than `no`; any other word is an error.
fn choice(line: usize, word: Word<'_>, yes: &str, no: &str) -> Result<bool, Error> {
    match word.text {
        text if text == yes => Ok(true),
        text if text == no => Ok(false),
        _ => Err(expected(line, word, &format!("{yes} or {no}"))),
    }
}

fn digest(line: usize, word: Word<'_>) -> Result<KeyDigest, Error> {
    let hex = word.text.strip_prefix("sha256:").unwrap_or_default();
    let is_valid = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    match hex.len() == 64 && hex.chars().all(is_valid) {
        true => Ok(hex.to_owned()),
        false => Err(expected(line, word, "sha256: and 64 hexadecimal digits")),
    }
}

fn limit(line: usize, word: Word<'_>) -> Result<Limit, Error> {
    Limit::from_name(word.text).ok_or_else(|| {
        let names: Vec<_> = Limit::ALL.iter().map(Limit::to_string).collect();
        expected(line, word, &names.join(", "))
    })
}

#[cold]
fn expected(line: usize, word: Word<'_>, expectation: &str) -> Error {
    let detail = format!("{:?} is not {expectation}", word.text);
    syntax(line, word.column, detail)
}

fn number(line: usize, word: Word<'_>, min: u64, max: u64) -> Result<u64, Error> {
    match word.text.parse() {
        Ok(value) if (min..=max).contains(&value) => Ok(value),
        _ => {
            let detail = format!("{:?} is not a number from {min} to {max}", word.text);
            Err(data(line, word.column, detail))
        }
    }
}

/// Parses a rate in requests per second into thousandths of it.
fn rate(line: usize, word: Word<'_>) -> Result<u64, Error> {
    let rate = word
        .text
        .parse::<f64>()
        .map(|rate| (rate * RATE_UNIT).round());
    match rate {
        Ok(rate) if (1.0..=MAX_COLD_RATE as f64).contains(&rate) => Ok(rate as u64),
        _ => Err(expected(
            line,
            word,
            "a rate above zero, in requests per second",
        )),
    }
}

/// Parses a name; `wildcard` also allows `*`.
fn name(line: usize, word: Word<'_>, wildcard: bool) -> Result<String, Error> {
    if wildcard && word.text == ANY {
        return Ok(ANY.to_owned());
    }
    if word.text.len() <= MAX_NAME && word.text.chars().all(is_name_character) {
        return Ok(word.text.to_owned());
    }
    let detail = format!(
        "{:?} is not a name of at most {MAX_NAME} letters, digits, '.', '_' or '-'",
        word.text
    );
    Err(syntax(line, word.column, detail))
}

fn method(line: usize, word: Word<'_>) -> Result<String, Error> {
    if word.text == ANY || word.text.chars().all(|c| c.is_ascii_uppercase()) {
        return Ok(word.text.to_owned());
    }
    let detail = format!("{:?} is not an HTTP method in capitals", word.text);
    Err(syntax(line, word.column, detail))
}

fn path(line: usize, word: Word<'_>) -> Result<String, Error> {
    let inner = word.text.strip_suffix("/**").unwrap_or(word.text);
    let whole = |part: &str| part == ANY || !part.contains(ANY);
    if word.text.starts_with('/') && !word.text.contains('?') && inner.split('/').all(whole) {
        return Ok(word.text.to_owned());
    }
    let detail = format!(
        "{:?} is not a path pattern: it starts with '/', '*' is a whole segment and '**' the last",
        word.text
    );
    Err(syntax(line, word.column, detail))
}

/// Returns the person who asked for a rule and the reason, from the comment of its line.
fn parse_comment(
    line: usize,
    body: &str,
    comment: Option<&str>,
) -> Result<(String, String), Error> {
    let Some(comment) = comment else {
        let column = body.trim_end().chars().count() + 1;
        return Err(unattributed(line, column));
    };
    let (requester, reason) = match comment.split_once(':') {
        Some((requester, reason)) => (requester.trim(), reason.trim()),
        None => (comment.trim(), ""),
    };
    if requester.is_empty() || requester.contains(char::is_whitespace) {
        return Err(unattributed(line, body.chars().count() + 1));
    }
    Ok((requester.to_owned(), reason.to_owned()))
}

/// Reports lines that contradict each other, names whose identifiers collide, leaving targets that
/// belong to no service, and the lack of a generation.
fn check(entries: &[Entry], errs: &mut Vec<Error>) {
    let mut seen = HashMap::new();
    let mut names = HashMap::new();
    let mut targets = HashMap::new();
    for entry in entries {
        if let Rule::Target { service, target } = &entry.rule {
            targets.insert(target.clone(), service.clone());
        }
    }
    for entry in entries {
        if let Some(first) = seen.insert(unique_key(&entry.rule), entry.line) {
            let detail = format!("this contradicts or repeats line {first}");
            errs.push(data(entry.line, 1, detail));
        }
        for name in entry.rule.names() {
            let other = names.entry(id(name)).or_insert(name);
            if *other != name {
                let detail = format!("the identifiers of {name:?} and {other:?} collide");
                errs.push(data(entry.line, 1, detail));
            }
        }
        if let Rule::Leaving { target } = &entry.rule
            && !targets.contains_key(target)
        {
            let detail = format!("no line makes {target:?} a target of a service");
            errs.push(data(entry.line, "leaving ".len() + 1, detail));
        }
    }
    let is_generation = |entry: &Entry| matches!(entry.rule, Rule::Generation(_));
    if !entries.iter().any(is_generation) && errs.is_empty() {
        errs.push(data(1, 1, "no line gives the generation".to_owned()));
    }
}

#[cold]
fn syntax(line: usize, column: usize, detail: String) -> Error {
    Error {
        category: Category::Syntax,
        line,
        column,
        detail,
    }
}

#[cold]
fn data(line: usize, column: usize, detail: String) -> Error {
    Error {
        category: Category::Data,
        line,
        column,
        detail,
    }
}

#[cold]
fn unattributed(line: usize, column: usize) -> Error {
    Error {
        category: Category::Attribution,
        line,
        column,
        detail: "no comment names who asked for this rule".to_owned(),
    }
}

//! The canonical text of a rules file.

use std::fmt::{
    Display,
    Write, //
};

use super::{
    Entry,
    Rule,
    Rules,
    model::{
        ANY,
        RATE_UNIT,
        is_name_character, //
    }, //
};

/// Returns the canonical text of rules; parsing that of a rules file gives the same rules on the same
/// lines. Names that a rules file can't have are quoted, so that they are never read as other rules.
///
/// ```
/// use redwingyard::rules;
/// let rules = rules::from_str("generation   3 # kim:  new\n")?;
/// assert_eq!(rules::to_string(&rules), "generation 3  # kim: new\n");
/// # Ok::<(), rules::Errors>(())
/// ```
pub fn to_string(rules: &Rules) -> String {
    let mut text = String::new();
    let mut line = 1;
    for entry in rules.entries() {
        while line < entry.line {
            text.push('\n');
            line += 1;
        }
        text.push_str(&entry.to_string());
        text.push('\n');
        line += 1;
    }
    text
}

impl std::fmt::Display for Rule {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Rule::Generation(number) => write!(f, "generation {number}"),
            Rule::Share {
                service,
                account,
                weight,
            } => write!(
                f,
                "share {} {} {weight}",
                pattern(service),
                pattern(account)
            ),
            Rule::Write {
                service,
                method,
                path,
            } => write!(f, "write {} {method} {path}", pattern(service)),
            Rule::Target { service, target } => {
                write!(f, "target {} {}", name(service), name(target))
            }
            Rule::Leaving { target } => write!(f, "leaving {}", name(target)),
            Rule::Route(route) => route.fmt(f),
            Rule::Key { account, digest } => write!(f, "key {} sha256:{digest}", name(account)),
            Rule::Limit { limit, value } => write!(f, "limit {limit} {value}"),
            Rule::Engine {
                service,
                slots,
                memory,
            } => write!(f, "engine {} {slots} {memory}", name(service)),
            Rule::Cold {
                service,
                time,
                rate,
            } => {
                let rate = *rate as f64 / RATE_UNIT;
                write!(f, "cold {} {time} {rate}", name(service))
            }
        }
    }
}

impl std::fmt::Display for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut comment = self.requester.clone();
        if !self.reason.is_empty() {
            write!(comment, ": {}", self.reason)?;
        }
        write!(f, "{}  # ", self.rule)?;
        comment.chars().try_for_each(|c| match c.is_control() {
            true => c.escape_default().try_for_each(|c| f.write_char(c)),
            false => f.write_char(c),
        })
    }
}

/// Returns a name for a rules file.
pub(super) fn name(name: &str) -> impl Display {
    word(name, is_name_character)
}

/// Returns a name or the wildcard for a rules file.
fn pattern(text: &str) -> impl Display {
    match text {
        ANY => ANY.to_owned(),
        _ => word(text, is_name_character),
    }
}

/// Returns the prefix of a path for a rules file.
pub(super) fn prefix(prefix: &str) -> impl Display {
    word(prefix, |c| {
        !(c.is_whitespace() || c.is_control() || c == '#')
    })
}

/// Returns a word for a rules file, in quotes if it has characters that such a word can't have.
fn word(text: &str, is_valid: impl Fn(char) -> bool) -> String {
    match !text.is_empty() && text.chars().all(is_valid) {
        true => text.to_owned(),
        false => format!("{text:?}"),
    }
}

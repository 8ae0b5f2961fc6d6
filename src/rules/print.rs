//! The canonical text of a rules file.

use std::fmt::Write;

use super::{
    Entry,
    Rule,
    Rules, //
};

/// Returns the canonical text of rules; parsing it gives the same rules on the same lines.
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
            } => write!(f, "share {service} {account} {weight}"),
            Rule::Write {
                service,
                method,
                path,
            } => write!(f, "write {service} {method} {path}"),
            Rule::Target { service, target } => write!(f, "target {service} {target}"),
            Rule::Leaving { target } => write!(f, "leaving {target}"),
            Rule::Route(route) => route.fmt(f),
            Rule::Key { account, digest } => write!(f, "key {account} sha256:{digest}"),
            Rule::Limit { limit, value } => write!(f, "limit {limit} {value}"),
            Rule::Engine {
                service,
                slots,
                memory,
            } => write!(f, "engine {service} {slots} {memory}"),
        }
    }
}

impl std::fmt::Display for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut comment = self.requester.clone();
        if !self.reason.is_empty() {
            write!(comment, ": {}", self.reason)?;
        }
        write!(f, "{}  # {comment}", self.rule)
    }
}

//! The difference between two rules files.

use std::collections::BTreeMap;

use derive_more::Display;

use super::{
    Entry,
    Rule,
    Rules, //
};

/// One difference between two rules files.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Change {
    /// A rule that only the newer file has.
    #[display("+ {_0}")]
    Added(Entry),
    /// A rule that only the older file has.
    #[display("- {_0}")]
    Removed(Entry),
}

/// Returns the rules that were removed from `old`, then those that were added in `new`.
///
/// Rules are compared without the person and the reason behind them. The generation is left out.
///
/// ```
/// use redwingyard::rules;
/// let old = rules::from_str("generation 1 # kim\nshare * a 1 # kim\n")?;
/// let new = rules::from_str("generation 2 # kim\nshare * a 4 # mei: paid\n")?;
/// let changes: Vec<_> = rules::diff(&old, &new).iter().map(ToString::to_string).collect();
/// assert_eq!(changes, ["- share * a 1  # kim", "+ share * a 4  # mei: paid"]);
/// # Ok::<(), rules::Errors>(())
/// ```
pub fn diff(old: &Rules, new: &Rules) -> Vec<Change> {
    let before = by_text(old);
    let after = by_text(new);
    let removed = before
        .iter()
        .filter(|(key, _)| !after.contains_key(*key))
        .map(|(_, entry)| Change::Removed((*entry).clone()));
    let added = after
        .iter()
        .filter(|(key, _)| !before.contains_key(*key))
        .map(|(_, entry)| Change::Added((*entry).clone()));
    removed.chain(added).collect()
}

/// Returns the entries of all rules but the generation, by the text of the rule.
fn by_text(rules: &Rules) -> BTreeMap<String, &Entry> {
    rules
        .entries()
        .iter()
        .filter(|entry| !matches!(entry.rule, Rule::Generation(_)))
        .map(|entry| (entry.rule.to_string(), entry))
        .collect()
}

//! The comparison of two rules files.

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

/// Lists what changes from `old` to `new`, generation lines aside.
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
    let before = keyed(old);
    let after = keyed(new);
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

fn keyed(rules: &Rules) -> BTreeMap<String, &Entry> {
    rules
        .entries()
        .iter()
        .filter(|entry| !matches!(entry.rule, Rule::Generation(_)))
        .map(|entry| (entry.rule.to_string(), entry))
        .collect()
}

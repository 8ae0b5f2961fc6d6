//! Builds rules from entries that were not read from a rules file.

use std::collections::{
    HashMap,
    HashSet,
    hash_map, //
};

use super::{
    Defects,
    Entry,
    Rule,
    Rules, //
};
use crate::ids::{
    Service,
    id, //
};

impl Rules {
    /// Builds rules from entries, such as those of another format than that of the rules file.
    ///
    /// Names may have any characters and any length. Of entries that contradict each other, the first
    /// one is used. A route to a service whose identifier is also that of another service keeps its
    /// host and prefix but loses its services, as its requests could reach the other one. `defects`
    /// are those that were found before; `digest` tells rules of the same generation apart.
    ///
    /// ```
    /// use redwingyard::rules::{Defects, Entry, Rule, Rules};
    /// let entry = |line, rule| Entry { line, rule, requester: "kim".into(), reason: "".into() };
    /// let share = |weight| Rule::Share { service: "*".into(), account: "a b".into(), weight };
    /// let entries = [Rule::Generation(4), share(2), share(3)];
    /// let entries = (1..).zip(entries).map(|(line, rule)| entry(line, rule)).collect();
    /// let rules = Rules::from_entries(entries, 9, Defects::default());
    /// assert_eq!(rules.entries().len(), 2);
    /// assert_eq!(rules.defects().listed[0].detail, "line 3 contradicts line 2, which is used");
    /// ```
    pub fn from_entries(entries: Vec<Entry>, digest: u64, mut defects: Defects) -> Self {
        let mut entries = without_contradictions(entries, &mut defects);
        close_ambiguous_routes(&mut entries, &mut defects);
        find_shared_accounts(&entries, &mut defects);
        let mut rules = Self::new(entries, digest);
        rules.defects = defects;
        rules
    }
}

/// Drops each entry that sets the same as an earlier one.
fn without_contradictions(entries: Vec<Entry>, defects: &mut Defects) -> Vec<Entry> {
    let mut kept: Vec<Entry> = Vec::with_capacity(entries.len());
    let mut seen = HashMap::with_capacity(entries.len());
    for entry in entries {
        match seen.entry(unique_key(&entry.rule)) {
            hash_map::Entry::Vacant(vacant) => {
                vacant.insert(kept.len());
                kept.push(entry);
            }
            hash_map::Entry::Occupied(first) => {
                let first = &kept[*first.get()];
                if first.rule != entry.rule {
                    let (line, used) = (entry.line, first.line);
                    let detail = format!("line {line} contradicts line {used}, which is used");
                    defects.push(entry.reason, detail);
                }
            }
        }
    }
    kept
}

/// Closes each route to a service whose identifier is also that of another one.
fn close_ambiguous_routes(entries: &mut [Entry], defects: &mut Defects) {
    let ambiguous = ambiguous_services(entries);
    if ambiguous.is_empty() {
        return;
    }
    for entry in entries {
        let Rule::Route(route) = &mut entry.rule else {
            continue;
        };
        let is_ambiguous = |name: &str| ambiguous.contains(&id(name));
        if route.split.iter().any(|part| is_ambiguous(&part.service)) {
            route.split.clear();
            defects.push(
                entry.reason.as_str(),
                "the identifier of a service is that of another one",
            );
        }
    }
}

/// Returns the identifiers that several services have.
fn ambiguous_services(entries: &[Entry]) -> HashSet<Service> {
    let mut names: HashMap<Service, &str> = HashMap::new();
    let mut ambiguous = HashSet::new();
    for name in entries.iter().flat_map(|entry| entry.rule.services()) {
        if *names.entry(id(name)).or_insert(name) != name {
            ambiguous.insert(id(name));
        }
    }
    ambiguous
}

/// Reports accounts whose identifier is also that of another one: they share capacity as one account.
fn find_shared_accounts(entries: &[Entry], defects: &mut Defects) {
    let mut names = HashMap::new();
    for entry in entries {
        let Some(name) = entry.rule.account() else {
            continue;
        };
        let other = *names.entry(id(name)).or_insert(name);
        if other != name {
            let detail = format!("it shares capacity with {other:?}, which has its identifier");
            defects.push(entry.reason.as_str(), detail);
        }
    }
}

/// Returns the part of a rule that must be unique: without the values that it sets.
pub(super) fn unique_key(rule: &Rule) -> String {
    match rule {
        Rule::Generation(_) => "generation".to_owned(),
        Rule::Share {
            service, account, ..
        } => format!("share {service} {account}"),
        Rule::Target { target, .. } => format!("target {target}"),
        Rule::Route(route) => format!("route {:?} {:?}", route.host, route.prefix),
        Rule::Key { digest, .. } => format!("key {digest}"),
        Rule::Limit { limit, .. } => format!("limit {limit}"),
        Rule::Engine { service, .. } => format!("engine {service}"),
        Rule::Cold { service, .. } => format!("cold {service}"),
        other => other.to_string(),
    }
}

//! Explanations of decisions by the lines of the rules file that lead to them, with the person who
//! asked for each.

use super::{
    Entry,
    Rule,
    Rules,
    model::ANY, //
};
use crate::ids::id;

/// Explains an account's share of each service, and lists the account's API keys.
///
/// The result is empty if no line names the account.
///
/// ```
/// use redwingyard::rules;
/// let rules = rules::from_str("generation 1 # kim\ntarget api t # kim\nshare * a 3 # mei\n")?;
/// assert_eq!(rules::explain_account(&rules, "a"), ["api: line 3: share * a 3  # mei"]);
/// # Ok::<(), rules::Errors>(())
/// ```
pub fn explain_account(rules: &Rules, account: &str) -> Vec<String> {
    if !rules.has_account(id(account)) {
        return Vec::new();
    }
    let mut services: Vec<_> = rules
        .service_targets()
        .map(|(service, _)| service)
        .collect();
    services.sort_unstable();
    services.dedup();
    if services.is_empty() {
        services.push(ANY);
    }
    let shares = services.into_iter().filter_map(|service| {
        let entry = rules.share_entry(id(service), id(account))?;
        Some(format!("{service}: {}", describe(entry)))
    });
    let keys = rules.entries().iter().filter(
        |entry| matches!(&entry.rule, Rule::Key { account: a, .. } if a == account), //
    );
    shares.chain(keys.map(describe)).collect()
}

/// Returns the line that assigns a target to a service and the line that marks it as leaving.
///
/// ```
/// use redwingyard::rules;
/// let rules = rules::from_str("generation 1 # kim\ntarget api t # kim\n")?;
/// assert_eq!(rules::explain_target(&rules, "t"), ["line 2: target api t  # kim"]);
/// # Ok::<(), rules::Errors>(())
/// ```
pub fn explain_target(rules: &Rules, target: &str) -> Vec<String> {
    let target = id(target);
    let entries = [rules.target_entry(target), rules.leaving_entry(target)];
    entries.into_iter().flatten().map(describe).collect()
}

/// Returns the line that routes a host and path.
///
/// ```
/// use redwingyard::rules;
/// let rules = rules::from_str(
///     "generation 1 # kim\nroute r a.example / api:1 once plain open 1 900 90 # kim\n",
/// )?;
/// assert!(rules::explain_route(&rules, "a.example", "/x")[0].starts_with("line 2: route r "));
/// # Ok::<(), rules::Errors>(())
/// ```
pub fn explain_route(rules: &Rules, host: &str, path: &str) -> Vec<String> {
    rules
        .route_entry(host, path)
        .into_iter()
        .map(describe)
        .collect()
}

/// Explains whether a request is idempotent; the first segment of `path` is the service.
///
/// ```
/// use redwingyard::rules;
/// let rules = rules::from_str("generation 1 # kim\nwrite api POST /a # ann\n")?;
/// let text = rules::explain_request(&rules, "POST", "/api/a");
/// assert_eq!(text, "non-idempotent: line 2: write api POST /a  # ann");
/// # Ok::<(), rules::Errors>(())
/// ```
pub fn explain_request(rules: &Rules, method: &str, path: &str) -> String {
    let trimmed = path.trim_start_matches('/');
    let (service, rest) = trimmed.split_at(trimmed.find('/').unwrap_or(trimmed.len()));
    match rules.write_entry(service, method, rest) {
        Some(entry) => format!("non-idempotent: {}", describe(entry)),
        None => "idempotent: no line makes it a write".to_owned(),
    }
}

fn describe(entry: &Entry) -> String {
    format!("line {}: {entry}", entry.line)
}

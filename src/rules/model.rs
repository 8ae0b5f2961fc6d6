//! The parsed rules file and the look-ups that processes make in it.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::{
    Limit,
    Route, //
};
use crate::ids::{
    Account,
    Generation,
    Service,
    Target,
    id, //
};

/// The largest rules file in bytes, the limit of the configuration service's values.
pub const MAX_TEXT: usize = 1 << 20;

/// The largest share that an account can have.
pub const MAX_SHARE: u32 = 10_000;

/// The name that stands for every service, account or method.
pub(crate) const ANY: &str = "*";

data! {
    /// What one line of the rules file says.
    #[serde(rename_all = "snake_case")]
    pub enum Rule {
        /// The number of the file.
        Generation(Generation),
        /// An account's share of a service.
        Share {
            /// The service, or `*` for all of them.
            service: String,
            /// The account, or `*` for those without a line of their own.
            account: String,
            /// The share; capacity is divided in proportion to it.
            weight: u32,
        },
        /// Requests that are non-idempotent.
        Write {
            /// The service.
            service: String,
            /// The HTTP method, or `*` for all of them.
            method: String,
            /// The path pattern; `*` is one segment and a last `**` is any rest.
            path: String,
        },
        /// A target of a service.
        Target {
            /// The service.
            service: String,
            /// The target.
            target: String,
        },
        /// A target that gets no new work.
        Leaving {
            /// The target.
            target: String,
        },
        /// Where requests of a host and path prefix go.
        Route(Route),
        /// A key of an account's callers.
        Key {
            /// The account.
            account: String,
            /// The SHA-256 digest of the key.
            digest: String,
        },
        /// A bound on what callers send.
        Limit {
            /// What is bounded.
            limit: Limit,
            /// The bound, in the limit's unit.
            value: u64,
        },
        /// Model engines that serve a service.
        Engine {
            /// The service.
            service: String,
            /// The requests that an engine runs at a time.
            slots: u32,
            /// The tokens that an engine's memory holds.
            memory: u64,
        },
    }

    /// One rule with its place and the person who asked for it.
    pub struct Entry {
        /// The line, counted from one.
        pub line: usize,
        /// What the line says.
        pub rule: Rule,
        /// Who asked for it.
        pub asker: String,
        /// Why, or an empty text.
        pub reason: String,
    }
}

impl Rule {
    /// Returns the services, accounts and targets that the rule names.
    pub(super) fn names(&self) -> impl Iterator<Item = &str> {
        let split = match self {
            Rule::Route(route) => &route.split[..],
            _ => &[],
        };
        let (first, second) = match self {
            Rule::Generation(_) | Rule::Limit { .. } | Rule::Route(_) => (None, None),
            Rule::Key { account, .. } => (Some(account), None),
            Rule::Engine { service, .. } => (Some(service), None),
            Rule::Share {
                service, account, ..
            } => (Some(service), Some(account)),
            Rule::Write { service, .. } => (Some(service), None),
            Rule::Target { service, target } => (Some(service), Some(target)),
            Rule::Leaving { target } => (Some(target), None),
        };
        let services = split.iter().map(|part| &part.service);
        let named = first.into_iter().chain(second);
        named.chain(services).map(String::as_str)
    }
}

/// A valid rules file.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    entries: Vec<Entry>,
    generation: Generation,
    digest: u64,
    shares: HashMap<(Service, Account), usize>,
    accounts: HashMap<Account, usize>,
    targets: HashMap<Target, usize>,
    leaving: HashMap<Target, usize>,
    names: HashMap<u32, Arc<str>>,
    routes: HashMap<String, usize>,
    keys: HashMap<String, Account>,
}

impl PartialEq for Rules {
    fn eq(&self, other: &Self) -> bool {
        self.entries == other.entries
    }
}

impl Rules {
    pub(super) fn new(entries: Vec<Entry>, digest: u64) -> Self {
        let mut rules = Self {
            digest,
            ..Self::default()
        };
        for (i, entry) in entries.iter().enumerate() {
            for name in entry.rule.names() {
                rules.names.insert(id(name), name.into());
            }
            match &entry.rule {
                Rule::Generation(number) => rules.generation = *number,
                Rule::Share {
                    service, account, ..
                } => {
                    rules.shares.insert((id(service), id(account)), i);
                    if account != ANY {
                        rules.accounts.insert(id(account), i);
                    }
                }
                Rule::Target { target, .. } => {
                    rules.targets.insert(id(target), i);
                }
                Rule::Leaving { target } => {
                    rules.leaving.insert(id(target), i);
                }
                Rule::Key { account, digest } => {
                    rules.accounts.insert(id(account), i);
                    rules.keys.insert(digest.clone(), id(account));
                }
                Rule::Route(route) => {
                    rules
                        .routes
                        .insert(route_key(&route.host, &route.prefix), i);
                }
                Rule::Write { .. } | Rule::Limit { .. } | Rule::Engine { .. } => {}
            }
        }
        rules.entries = entries;
        rules
    }

    /// Returns the rules in the order of the file.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the number of the file, or zero for the empty default.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the digest of the file's text.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the name behind an identifier, or the identifier in digits.
    ///
    /// ```
    /// use redwingyard::{ids::id, rules};
    /// let rules = rules::from_str("generation 1 # kim\nshare * a 3 # kim\n")?;
    /// assert_eq!(&*rules.name(id("a")), "a");
    /// assert_eq!(&*rules.name(5), "00000005");
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn name(&self, id: u32) -> Arc<str> {
        match self.names.get(&id) {
            Some(name) => name.clone(),
            None => format!("{id:08x}").into(),
        }
    }

    /// Returns whether any line names the account.
    pub fn has_account(&self, account: Account) -> bool {
        self.accounts.contains_key(&account)
    }

    /// Returns whether any line gives the service a target.
    pub fn has_service(&self, service: Service) -> bool {
        self.members().any(|(name, _)| id(name) == service)
    }

    /// Returns the entry that decides an account's share, the most specific one.
    ///
    /// ```
    /// use redwingyard::{ids::id, rules};
    /// let rules = rules::from_str("generation 1 # kim\nshare * a 3 # kim\n")?;
    /// assert_eq!(rules.share_entry(id("api"), id("a")).unwrap().line, 2);
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn share_entry(&self, service: Service, account: Account) -> Option<&Entry> {
        let any = id(ANY);
        [
            (service, account),
            (any, account),
            (service, any),
            (any, any),
        ]
        .iter()
        .find_map(|key| self.shares.get(key))
        .map(|i| &self.entries[*i])
    }

    /// Returns an account's share of a service; one where no line decides it.
    ///
    /// ```
    /// use redwingyard::{ids::id, rules};
    /// let rules = rules::from_str("generation 1 # kim\nshare * a 3 # kim\n")?;
    /// assert_eq!(rules.share(id("api"), id("a")), 3);
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn share(&self, service: Service, account: Account) -> u32 {
        match self.share_entry(service, account).map(|entry| &entry.rule) {
            Some(Rule::Share { weight, .. }) => *weight,
            _ => 1,
        }
    }

    /// Returns the share of each account that a line gives one for every service.
    pub fn shares(&self) -> HashMap<Account, u32> {
        let accounts = self.accounts.keys();
        let share = |account: &Account| (*account, self.share(id(ANY), *account));
        accounts.map(share).collect()
    }

    /// Returns the entry that makes a request non-idempotent.
    ///
    /// ```
    /// use redwingyard::rules;
    /// let rules = rules::from_str("generation 1 # kim\nwrite api POST /seats/* # ann\n")?;
    /// assert!(rules.write_entry("api", "POST", "/seats/7").is_some());
    /// assert!(rules.write_entry("api", "GET", "/seats/7").is_none());
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn write_entry(&self, service: &str, method: &str, path: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| match &entry.rule {
            Rule::Write {
                service: s,
                method: m,
                path: p,
            } => (s == service || s == ANY) && (m == method || m == ANY) && matches(p, path),
            _ => false,
        })
    }

    /// Returns the entry that lists a target.
    pub fn target_entry(&self, target: Target) -> Option<&Entry> {
        self.targets.get(&target).map(|i| &self.entries[*i])
    }

    /// Returns the entry that makes a target leave.
    pub fn leaving_entry(&self, target: Target) -> Option<&Entry> {
        self.leaving.get(&target).map(|i| &self.entries[*i])
    }

    /// Returns the route of a request: of those of its host, the one with the longest prefix.
    ///
    /// ```
    /// use redwingyard::rules;
    /// let rules = rules::from_str(
    ///     "generation 1  # kim\n\
    ///      route all shop.example / api:1 repeat plain open 2 1200 150  # kim\n\
    ///      route fit shop.example /fit/ llm:1 once stream open 1 15000 600  # kim\n",
    /// )?;
    /// assert_eq!(rules.route("shop.example", "/fit/7?x=1").unwrap().name, "fit");
    /// assert_eq!(rules.route("shop.example", "/fit").unwrap().name, "all");
    /// assert!(rules.route("other.example", "/fit/7").is_none());
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        match self.route_entry(host, path).map(|entry| &entry.rule) {
            Some(Rule::Route(route)) => Some(route),
            _ => None,
        }
    }

    /// Returns the entry that routes a request.
    pub fn route_entry(&self, host: &str, path: &str) -> Option<&Entry> {
        let path = path.split('?').next().unwrap_or_default();
        let slashes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let mut found = slashes.filter_map(|prefix| self.routes.get(&route_key(host, prefix)));
        found.next().map(|i| &self.entries[*i])
    }

    /// Returns the account that holds a key, given the key's digest.
    pub fn key_account(&self, digest: &str) -> Option<Account> {
        self.keys.get(digest).copied()
    }
    /// Returns a limit on what callers send, if a line sets it.
    pub fn limit(&self, limit: Limit) -> Option<u64> {
        self.entries.iter().find_map(|entry| match entry.rule {
            Rule::Limit { limit: l, value } if l == limit => Some(value),
            _ => None,
        })
    }

    /// Returns the slots and the memory in tokens of a service's engines.
    pub fn engine(&self, service: Service) -> Option<(u32, u64)> {
        self.entries.iter().find_map(|entry| match &entry.rule {
            Rule::Engine {
                service: s,
                slots,
                memory,
            } if id(s) == service => Some((*slots, *memory)),
            _ => None,
        })
    }

    /// Returns each target with its service.
    pub fn members(&self) -> impl Iterator<Item = (&str, &str)> {
        self.entries.iter().filter_map(|entry| match &entry.rule {
            Rule::Target { service, target } => Some((service.as_str(), target.as_str())),
            _ => None,
        })
    }

    /// Returns the target that owns an idempotency key, among those that stay.
    ///
    /// ```
    /// use redwingyard::{ids::id, rules};
    /// let rules = rules::from_str("generation 1 # kim\ntarget api api-1 # kim\n")?;
    /// assert_eq!(rules.key_owner(id("api"), 99), Some(id("api-1")));
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn key_owner(&self, service: Service, key: u64) -> Option<Target> {
        self.members()
            .filter(|(name, _)| id(name) == service)
            .map(|(_, target)| id(target))
            .filter(|target| !self.leaving.contains_key(target))
            .max_by_key(|target| crate::ids::rendezvous_weight(*target, key))
    }
}

fn route_key(host: &str, prefix: &str) -> String {
    format!("{host} {prefix}")
}

/// Returns whether a path matches a pattern, segment by segment.
fn matches(pattern: &str, path: &str) -> bool {
    let path = path.split('?').next().unwrap_or_default();
    let mut segments = path.split('/');
    for part in pattern.split('/') {
        if part == "**" {
            return true;
        }
        match segments.next() {
            Some(segment) if part == ANY || part == segment => {}
            _ => return false,
        }
    }
    segments.next().is_none()
}

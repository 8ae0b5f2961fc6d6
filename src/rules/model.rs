//! The parsed rules file and look-ups in it.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use super::{
    Defects,
    KeyDigest,
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

/// The longest cold time of a [`Rule::Cold`], in milliseconds.
pub const MAX_COLD_MS: u64 = 600_000;

/// The largest rate of a [`Rule::Cold`], in thousandths of a request per second.
pub const MAX_COLD_RATE: u64 = 1_000_000_000;

/// The units of a rate in one request per second.
pub(crate) const RATE_UNIT: f64 = 1_000.0;

/// The wildcard for services, accounts, HTTP methods and path segments.
pub(crate) const ANY: &str = "*";

data! {
    /// A rule, which is one line of the rules file.
    #[serde(rename_all = "snake_case")]
    pub enum Rule {
        /// The generation number of the file.
        Generation(Generation),
        /// An account's share of a service.
        Share {
            /// The service, or `*` for all of them.
            service: String,
            /// The account, or `*` for all accounts without a line of their own.
            account: String,
            /// The share; capacity is divided in proportion to it.
            weight: u32,
        },
        /// A pattern of non-idempotent requests.
        Write {
            /// The service.
            service: String,
            /// The HTTP method, or `*` for all of them.
            method: String,
            /// The path pattern. `*` matches one segment; `**` as the last segment matches the
            /// rest of the path.
            path: String,
        },
        /// A target of a service.
        Target {
            /// The service.
            service: String,
            /// The target.
            target: String,
        },
        /// A target that gets no new requests because it is leaving.
        Leaving {
            /// The target.
            target: String,
        },
        /// The route of the requests with some host and path prefix.
        Route(Route),
        /// An API key of an account's callers.
        Key {
            /// The account.
            account: String,
            /// The SHA-256 digest of the key in hexadecimal digits.
            digest: String,
        },
        /// A limit; see [`Limit`].
        Limit {
            /// The limited quantity.
            limit: Limit,
            /// The largest allowed value, in the limit's unit.
            value: u64,
        },
        /// The capacity of the model engines of a service.
        Engine {
            /// The service.
            service: String,
            /// The number of requests that one engine runs at a time.
            slots: u32,
            /// The number of tokens that fit into the memory of one engine.
            memory: u64,
        },
        /// What the targets of a service can take after their start.
        Cold {
            /// The service.
            service: String,
            /// The time for which a target is cold after its start, in milliseconds.
            time: u64,
            /// The requests that a cold target can take, in thousandths of a request per second.
            rate: u64,
        },
    }

    /// A rule with its line and the person who asked for it.
    pub struct Entry {
        /// The line, counted from one.
        pub line: usize,
        /// The rule.
        pub rule: Rule,
        /// The person who asked for the rule.
        pub requester: String,
        /// The reason for the rule; empty if none is given.
        pub reason: String,
    }
}

/// Returns whether a name in a rules file may have a character.
pub(super) fn is_name_character(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._-".contains(c)
}

impl Rule {
    /// Returns the services, accounts and targets that the rule names.
    pub(super) fn names(&self) -> impl Iterator<Item = &str> {
        let target = match self {
            Rule::Target { target, .. } | Rule::Leaving { target } => Some(target.as_str()),
            _ => None,
        };
        self.services().chain(self.account()).chain(target)
    }

    /// Returns the services that the rule names.
    pub(super) fn services(&self) -> impl Iterator<Item = &str> {
        let split = match self {
            Rule::Route(route) => &route.split[..],
            _ => &[],
        };
        let service = match self {
            Rule::Engine { service, .. }
            | Rule::Cold { service, .. }
            | Rule::Share { service, .. }
            | Rule::Write { service, .. }
            | Rule::Target { service, .. } => Some(service),
            _ => None,
        };
        let split = split.iter().map(|part| &part.service);
        service.into_iter().chain(split).map(String::as_str)
    }

    /// Returns the account that the rule names.
    pub(super) fn account(&self) -> Option<&str> {
        match self {
            Rule::Share { account, .. } | Rule::Key { account, .. } => Some(account),
            _ => None,
        }
    }
}

/// The rules of one generation, which do not contradict each other. The maps hold indexes into
/// `entries`.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    entries: Vec<Entry>,
    generation: Generation,
    digest: u64,
    /// What is wrong with the entries that the rules were made from.
    pub(super) defects: Defects,
    shares: HashMap<(Service, Account), usize>,
    accounts: HashMap<Account, usize>,
    targets: HashMap<Target, usize>,
    leaving: HashMap<Target, usize>,
    names: HashMap<u32, Arc<str>>,
    /// The routes of each host by their prefix.
    routes: HashMap<String, HashMap<String, usize>>,
    keys: HashMap<KeyDigest, usize>,
    limits: Vec<(Limit, u64)>,
    /// The slots and the memory of each service's engines.
    engines: HashMap<Service, (u32, u64)>,
    /// The cold time in milliseconds and the rate of each service's cold targets, in thousandths of a
    /// request per second.
    cold: HashMap<Service, (u64, u64)>,
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
                rules.names.entry(id(name)).or_insert_with(|| name.into());
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
                    rules.keys.insert(digest.clone(), i);
                }
                Rule::Route(route) => {
                    let prefixes = rules.routes.entry(route.host.clone()).or_default();
                    prefixes.insert(route.prefix.clone(), i);
                }
                Rule::Limit { limit, value } => rules.limits.push((*limit, *value)),
                Rule::Engine {
                    service,
                    slots,
                    memory,
                } => {
                    rules.engines.insert(id(service), (*slots, *memory));
                }
                Rule::Cold {
                    service,
                    time,
                    rate,
                } => {
                    rules.cold.insert(id(service), (*time, *rate));
                }
                Rule::Write { .. } => {}
            }
        }
        rules.entries = entries;
        rules
    }

    /// Returns the entries in the order of the file.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns whether there are no rules at all, as in the default.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what is wrong with the entries that the rules were made from. A rules file has no
    /// defects, as one with errors is refused.
    pub fn defects(&self) -> &Defects {
        &self.defects
    }

    /// Returns the generation number of the file; zero for the empty default.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the digest of the text that the rules were read from.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the name with an identifier, or the identifier in hexadecimal digits if no line
    /// contains the name.
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

    /// Returns whether any line gives the account a share or an API key.
    pub fn has_account(&self, account: Account) -> bool {
        self.accounts.contains_key(&account)
    }

    /// Returns whether any line assigns a target to the service.
    pub fn has_service(&self, service: Service) -> bool {
        self.service_targets().any(|(name, _)| id(name) == service)
    }

    /// Returns the entry that determines an account's share of a service, the most specific one.
    ///
    /// An entry for the account takes precedence over one for the service.
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

    /// Returns an account's share of a service; one if no line sets it.
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

    /// Returns the share of each known account in services without a share line of their own.
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

    /// Returns the entry that assigns a target to a service.
    pub fn target_entry(&self, target: Target) -> Option<&Entry> {
        self.targets.get(&target).map(|i| &self.entries[*i])
    }

    /// Returns the entry that marks a target as leaving.
    pub fn leaving_entry(&self, target: Target) -> Option<&Entry> {
        self.leaving.get(&target).map(|i| &self.entries[*i])
    }

    /// Returns the route of a request: among the routes of its host, the one with the longest
    /// prefix of the path.
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
        let prefixes = self.routes.get(host)?;
        let slashes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let mut found = slashes.filter_map(|prefix| prefixes.get(prefix));
        found.next().map(|i| &self.entries[*i])
    }

    /// Returns the name of the account whose callers use the API key with a digest.
    ///
    /// ```
    /// use redwingyard::rules;
    /// let digest = rules::digest(b"k");
    /// let rules = rules::from_str(&format!("generation 1 # kim\nkey a sha256:{digest} # kim\n"))?;
    /// assert_eq!(rules.api_key_account(&digest), Some("a"));
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn api_key_account(&self, digest: &str) -> Option<&str> {
        self.entries[*self.keys.get(digest)?].rule.account()
    }

    /// Returns the value of a limit, if a line sets it.
    pub fn limit(&self, limit: Limit) -> Option<u64> {
        let mut limits = self.limits.iter();
        limits.find_map(|(set, value)| (*set == limit).then_some(*value))
    }

    /// Returns the slots and the memory in tokens of each of a service's engines.
    pub fn engine(&self, service: Service) -> Option<(u32, u64)> {
        self.engines.get(&service).copied()
    }

    /// Returns the time for which a service's targets are cold after their start, and the requests
    /// per second that a cold one can take; none if they are never cold.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{ids::id, rules};
    /// let rules = rules::from_str("generation 1 # kim\ncold llm 3000 14.5 # kim\n")?;
    /// assert_eq!(rules.cold(id("llm")), Some((Duration::from_secs(3), 14.5)));
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn cold(&self, service: Service) -> Option<(Duration, f64)> {
        let (time, rate) = self.cold.get(&service).copied()?;
        Some((Duration::from_millis(time), rate as f64 / RATE_UNIT))
    }

    /// Returns each service with each of its targets, as pairs of service and target.
    pub fn service_targets(&self) -> impl Iterator<Item = (&str, &str)> {
        self.entries.iter().filter_map(|entry| match &entry.rule {
            Rule::Target { service, target } => Some((service.as_str(), target.as_str())),
            _ => None,
        })
    }

    /// Returns the target that owns an idempotency key: by rendezvous hashing, among the service's
    /// targets that are not leaving.
    ///
    /// ```
    /// use redwingyard::{ids::id, rules};
    /// let rules = rules::from_str("generation 1 # kim\ntarget api api-1 # kim\n")?;
    /// assert_eq!(rules.idempotency_owner(id("api"), 99), Some(id("api-1")));
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn idempotency_owner(&self, service: Service, key: u64) -> Option<Target> {
        self.service_targets()
            .filter(|(name, _)| id(name) == service)
            .map(|(_, target)| id(target))
            .filter(|target| !self.leaving.contains_key(target))
            .max_by_key(|target| crate::ids::rendezvous_weight(*target, key))
    }
}

/// Returns whether a path matches a pattern; a query is ignored.
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

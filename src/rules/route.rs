//! Routes, keys and limits: what a router needs that sends to targets itself.

use std::time::Duration;

use derive_more::Display;

use crate::ids::{
    Service,
    id, //
};

/// The SHA-256 digest of a caller's key, in hexadecimal digits.
pub type KeyDigest = String;

/// Returns the digest of a caller's key.
///
/// ```
/// assert!(redwingyard::rules::digest(b"k").starts_with("8254c329"));
/// ```
pub fn digest(key: &[u8]) -> KeyDigest {
    let digest = ring::digest::digest(&ring::digest::SHA256, key);
    let hex = |byte: &u8| format!("{byte:02x}");
    digest.as_ref().iter().map(hex).collect()
}

data! {
    /// What may be done again when an attempt fails.
    #[derive(Copy, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum RetryPolicy {
        /// Nothing: the request runs at most once.
        #[display("once")]
        Once,
        /// The request may run again from its start.
        #[display("repeat")]
        Repeat,
        /// The request is a stream that another target may continue.
        #[display("resume")]
        Resume,
    }

    /// One service of a route and its part of the requests.
    pub struct WeightedService {
        /// The service.
        pub service: String,
        /// The part, relative to those of the other services.
        pub weight: u32,
    }

    /// Where requests of a host and path prefix go, and how.
    pub struct Route {
        /// The route's name.
        pub name: String,
        /// The host that callers name.
        pub host: String,
        /// The prefix of the path; it begins and ends with a slash.
        pub prefix: String,
        /// The services that share the requests.
        pub split: Vec<WeightedService>,
        /// What may be done again.
        pub repeat: RetryPolicy,
        /// Whether answers are event streams.
        pub stream: bool,
        /// Whether requests need no key.
        pub open: bool,
        /// The targets that one request may run on.
        pub attempts: u32,
        /// The longest time until the answer is complete, in milliseconds.
        pub timeout: u64,
        /// The time until the answer's first byte that callers aim for, in milliseconds.
        pub objective: u64,
    }

    /// Bounds on what callers send, on idle connections and on what accounts share.
    #[derive(Copy, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Limit {
        /// The largest head of a request, in bytes.
        #[display("header-bytes")]
        HeaderBytes,
        /// The largest body of a request, in bytes.
        #[display("body-bytes")]
        BodyBytes,
        /// The longest time that a head takes to arrive, in milliseconds.
        #[display("header-ms")]
        HeaderTime,
        /// The longest time that a connection stays idle, in milliseconds.
        #[display("idle-ms")]
        IdleTime,
        /// The tokens that all engines together produce in a second: those read, and twice
        /// those generated.
        #[display("tokens-per-s")]
        TokenRate,
    }
}

impl Limit {
    /// Every limit.
    pub const ALL: [Limit; 5] = [
        Limit::HeaderBytes,
        Limit::BodyBytes,
        Limit::HeaderTime,
        Limit::IdleTime,
        Limit::TokenRate,
    ];

    /// Returns the limit of that name.
    ///
    /// ```
    /// use redwingyard::rules::Limit;
    /// assert_eq!(Limit::from_name("idle-ms"), Some(Limit::IdleTime));
    /// ```
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|limit| limit.to_string() == name)
    }
}

impl RetryPolicy {
    /// Returns what the word stands for.
    pub(super) fn from_name(word: &str) -> Option<Self> {
        [RetryPolicy::Once, RetryPolicy::Repeat, RetryPolicy::Resume]
            .into_iter()
            .find(|repeat| repeat.to_string() == word)
    }
}

impl Route {
    /// Returns the longest time until an answer is complete.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout)
    }

    /// Returns the time until the first byte that callers aim for.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective)
    }

    /// Returns whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.repeat != RetryPolicy::Once
    }

    /// Returns the service of a request, chosen by weight from a random number.
    ///
    /// ```
    /// use redwingyard::rules;
    /// let rules = rules::from_str(
    ///     "generation 1  # kim\n\
    ///      route r shop.example / api:3,web:1 once plain open 2 1200 150  # kim\n",
    /// )?;
    /// let route = rules.route("shop.example", "/chart").unwrap();
    /// assert_eq!(route.service(2), redwingyard::ids::id("api"));
    /// assert_eq!(route.service(3), redwingyard::ids::id("web"));
    /// # Ok::<(), rules::Errors>(())
    /// ```
    pub fn service(&self, random: u64) -> Service {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = random % total.max(1);
        for part in &self.split {
            let weight = u64::from(part.weight);
            if left < weight {
                return id(&part.service);
            }
            left -= weight;
        }
        self.split.first().map_or(0, |part| id(&part.service))
    }
}

impl std::fmt::Display for Route {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "route {} {} {} ", self.name, self.host, self.prefix)?;
        for (i, part) in self.split.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            write!(f, "{comma}{}:{}", part.service, part.weight)?;
        }
        let shape = if self.stream { "stream" } else { "plain" };
        let access = if self.open { "open" } else { "keyed" };
        write!(f, " {} {shape} {access}", self.repeat)?;
        write!(f, " {} {} {}", self.attempts, self.timeout, self.objective)
    }
}

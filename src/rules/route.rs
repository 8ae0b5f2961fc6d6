//! Routes, API keys and limits, which a router needs if it sends requests to targets itself.

use std::time::Duration;

use derive_more::Display;

use super::print::{
    name,
    prefix, //
};
use crate::ids::{
    Service,
    id, //
};

/// The SHA-256 digest of an API key, in hexadecimal digits.
pub type KeyDigest = String;

/// Returns the digest of an API key.
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
    /// How a request may be retried when an attempt fails.
    #[derive(Copy, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum RetryPolicy {
        /// Not at all: the request runs at most once.
        #[display("once")]
        Once,
        /// The request may run again from the start.
        #[display("repeat")]
        Repeat,
        /// The response is a stream, which another target may continue from where it broke off.
        #[display("resume")]
        Resume,
    }

    /// A service of a route, with its part of the route's requests.
    pub struct WeightedService {
        /// The service.
        pub service: String,
        /// The weight, in proportion to which requests are split between the route's services.
        pub weight: u32,
    }

    /// The services that get the requests with some host and path prefix, and how they are sent.
    pub struct Route {
        /// The route's name.
        pub name: String,
        /// The host that requests name.
        pub host: String,
        /// The prefix of the path; it begins and ends with a slash.
        pub prefix: String,
        /// The services between which the requests are split. A route without services is closed: its
        /// requests are refused.
        pub split: Vec<WeightedService>,
        /// How requests may be retried.
        pub repeat: RetryPolicy,
        /// Whether responses are event streams.
        pub stream: bool,
        /// Whether requests need no API key.
        pub open: bool,
        /// The largest number of targets on which one request may run.
        pub attempts: u32,
        /// The time limit for the complete response, in milliseconds.
        pub timeout: u64,
        /// The latency objective for the first byte of the response, in milliseconds.
        pub objective: u64,
    }

    /// A limit on what callers send, on idle connections, or on the rate that accounts share.
    #[derive(Copy, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Limit {
        /// The size of a request's head, in bytes.
        #[display("header-bytes")]
        HeaderBytes,
        /// The size of a request's body, in bytes.
        #[display("body-bytes")]
        BodyBytes,
        /// The time in which a request's head must arrive, in milliseconds.
        #[display("header-ms")]
        HeaderTime,
        /// The time for which a connection may stay idle, in milliseconds.
        #[display("idle-ms")]
        IdleTime,
        /// The token rate of all engines together, in tokens per second: tokens that are read count
        /// once, tokens that are generated count twice.
        #[display("tokens-per-s")]
        TokenRate,
    }
}

impl Limit {
    /// All limits.
    pub const ALL: [Limit; 5] = [
        Limit::HeaderBytes,
        Limit::BodyBytes,
        Limit::HeaderTime,
        Limit::IdleTime,
        Limit::TokenRate,
    ];

    /// Returns the limit with a name.
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
    pub(super) fn from_name(word: &str) -> Option<Self> {
        [RetryPolicy::Once, RetryPolicy::Repeat, RetryPolicy::Resume]
            .into_iter()
            .find(|repeat| repeat.to_string() == word)
    }
}

impl Route {
    /// Returns the time limit for the complete response.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout)
    }

    /// Returns the latency objective for the first byte of the response.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective)
    }

    /// Returns whether a request may run more than once, so that it can be retried.
    pub fn is_idempotent(&self) -> bool {
        self.repeat != RetryPolicy::Once
    }

    /// Returns the service for a request, chosen in proportion to the weights by a random number.
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
        let mut rest = random % total.max(1);
        for part in &self.split {
            let weight = u64::from(part.weight);
            if rest < weight {
                return id(&part.service);
            }
            rest -= weight;
        }
        self.split.first().map_or(0, |part| id(&part.service))
    }
}

impl std::fmt::Display for Route {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (route, host) = (name(&self.name), name(&self.host));
        write!(f, "route {route} {host} {} ", prefix(&self.prefix))?;
        if self.split.is_empty() {
            f.write_str("-")?;
        }
        for (i, part) in self.split.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            write!(f, "{comma}{}:{}", name(&part.service), part.weight)?;
        }
        let shape = if self.stream { "stream" } else { "plain" };
        let access = if self.open { "open" } else { "keyed" };
        write!(f, " {} {shape} {access}", self.repeat)?;
        write!(f, " {} {} {}", self.attempts, self.timeout, self.objective)
    }
}

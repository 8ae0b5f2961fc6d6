//! The settings of routers and sidecars, with their parsing and checks.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

use super::{
    Category,
    Error, //
};
use crate::router::{
    Bounds,
    RetryLimits, //
};

/// The name of a VM, target or failure domain.
pub type Name = String;

const MAX_SLOTS: u32 = 10_000;

/// The greatest ratio of the setting `retry`.
const MAX_RETRY_RATIO: f64 = 10.0;

/// The least window of the setting `retry`, in seconds.
const MIN_RETRY_WINDOW: f64 = 0.1;

/// The greatest window of the setting `retry`, in seconds.
const MAX_RETRY_WINDOW: f64 = 3_600.0;

/// The greatest slack of the setting `retry`, in retries.
const MAX_RETRY_SLACK: f64 = 1_000_000.0;

/// The certificates and the private key of a process, as PEM texts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// The certificate of the authority that signs every process's certificate.
    pub authority: String,
    /// The certificate of this process.
    pub certificate: String,
    /// The private key of this process.
    pub key: String,
}

/// The URLs at which the platform publishes the rules and the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The URL of the rules file in the configuration service.
    pub rules: String,
    /// The URL of the VM list.
    pub vms: String,
}

/// The settings of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The name of the router's VM.
    pub name: Name,
    /// The failure domain of the VM.
    pub domain: Name,
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for other processes of the system.
    pub link: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The certificates and the private key.
    pub keys: Keys,
    /// The URLs of the platform's documents.
    pub platform: Platform,
    /// The header field that names the client account.
    #[serde(default = "default_header")]
    pub account_header: String,
    /// The client account of each bearer token; if there are any tokens, each request needs one.
    #[serde(default)]
    pub tokens: BTreeMap<String, Name>,
    /// The limits on the lengths of the queues.
    #[serde(default)]
    pub queues: Bounds,
    /// How often the requests of a service may be retried.
    #[serde(default)]
    pub retry: RetryLimits,
    /// The time limit for the first byte of an answer, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// The largest allowed request body, in bytes.
    #[serde(default = "default_body")]
    pub body_bytes: usize,
    /// The memory limit of the process, in MB, which limits the callers' connections and bodies.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// The time limit of a graceful shutdown, in milliseconds.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
}

/// The settings of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// The name of the target.
    pub name: Name,
    /// The failure domain of the VM.
    pub domain: Name,
    /// The target's service.
    pub service: Name,
    /// The target's address.
    pub target: SocketAddr,
    /// The number of requests that the target serves at the same time.
    pub slots: u32,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The certificates and the private key.
    pub keys: Keys,
    /// The URLs of the platform's documents.
    pub platform: Platform,
    /// The time limit of a graceful shutdown, in milliseconds.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
}

impl RouterSettings {
    /// Returns the time limit for the first byte of an answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Settings with checks beyond the types of their fields.
pub trait Check {
    /// Returns the first field that is out of range or contradicts another one, with the reason;
    /// `None` if all are valid.
    fn check(&self) -> Option<(&'static str, String)>;
}

impl Check for RouterSettings {
    fn check(&self) -> Option<(&'static str, String)> {
        if self.name.is_empty() {
            return Some(("name", "must not be empty".to_owned()));
        }
        let addresses = [self.http, self.link, self.admin];
        if self.http == self.admin && self.http.port() != 0 {
            return Some(("admin", "is the same address as \"http\"".to_owned()));
        }
        if addresses
            .iter()
            .any(|address| address.ip().is_unspecified())
        {
            return Some(("http", "must name an address of this VM".to_owned()));
        }
        if self.deadline_ms == 0 {
            return Some(("deadline_ms", "must be at least 1".to_owned()));
        }
        if self.body_bytes > crate::wire::MAX_FRAME / 2 {
            let max = crate::wire::MAX_FRAME / 2;
            return Some(("body_bytes", format!("must be at most {max}")));
        }
        if self.memory_mb == Some(0) {
            return Some(("memory_mb", "must be at least 1".to_owned()));
        }
        if self.queues.total < self.queues.account {
            return Some(("queues", "\"total\" is less than \"account\"".to_owned()));
        }
        check_retry(&self.retry).map(|detail| ("retry", detail))
    }
}

impl Check for SidecarSettings {
    fn check(&self) -> Option<(&'static str, String)> {
        if self.name.is_empty() {
            return Some(("name", "must not be empty".to_owned()));
        }
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            return Some(("slots", format!("must be from 1 to {MAX_SLOTS}")));
        }
        if self.target == self.admin {
            return Some(("admin", "is the same address as \"target\"".to_owned()));
        }
        None
    }
}

/// Parses and checks settings.
///
/// ```
/// use redwingyard::settings::{RouterSettings, from_str};
/// let err = from_str::<RouterSettings>("{\n  \"nam\": 1\n}").unwrap_err();
/// assert!(err.to_string().starts_with("line 2 column 7: unknown field `nam`"));
/// ```
///
/// # Errors
///
/// Fails with a line and a column on text that is not JSON, on unknown, missing and
/// mistyped fields, and on fields that contradict each other.
pub fn from_str<T: DeserializeOwned + Check>(text: &str) -> Result<T, Error> {
    let settings: T = serde_json::from_str(text)?;
    match settings.check() {
        None => Ok(settings),
        Some((field, detail)) => Err(contradiction(text, field, &detail)),
    }
}

/// Builds an error at the first place where the text mentions `field`.
#[cold]
fn contradiction(text: &str, field: &str, detail: &str) -> Error {
    let offset = text.find(&format!("\"{field}\"")).unwrap_or(0);
    let before = &text[..offset];
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    Error {
        category: Category::Contradiction,
        line: before.matches('\n').count() + 1,
        column,
        detail: format!("field `{field}` {detail}"),
    }
}

/// Returns what is wrong with the limits of retries, if anything is.
pub(super) fn check_retry(limits: &RetryLimits) -> Option<String> {
    if !(0.0..=MAX_RETRY_RATIO).contains(&limits.ratio) {
        return Some(format!("needs a ratio from 0 to {MAX_RETRY_RATIO}"));
    }
    if !(MIN_RETRY_WINDOW..=MAX_RETRY_WINDOW).contains(&limits.window_s) {
        return Some(format!(
            "needs a window from {MIN_RETRY_WINDOW} to {MAX_RETRY_WINDOW} s"
        ));
    }
    if !(0.0..=MAX_RETRY_SLACK).contains(&limits.slack) {
        return Some(format!("needs a slack from 0 to {MAX_RETRY_SLACK}"));
    }
    None
}

fn default_header() -> String {
    "x-account".to_owned()
}

fn default_deadline() -> u64 {
    30_000
}

fn default_body() -> usize {
    1 << 20
}

fn default_drain() -> u64 {
    30_000
}

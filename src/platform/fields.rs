//! The header fields of callers and targets.

use std::time::Duration;

use hyper::header::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    RETRY_AFTER, //
};

use crate::pool::{
    Prompt, //
    PromptPart,
};

/// The caller's name for one attempt of a request; targets echo it.
const ID: HeaderName = HeaderName::from_static("request-id");
/// The key that says which account calls.
const KEY: HeaderName = HeaderName::from_static("credential");
/// The account, for the target.
const ACCOUNT: HeaderName = HeaderName::from_static("tenant");
/// The time that the caller still waits, in milliseconds.
const BUDGET: HeaderName = HeaderName::from_static("deadline");
/// The name of the only target that may run the request.
const TARGET: HeaderName = HeaderName::from_static("expect-instance");
/// Says that a target has not run the request.
const UNRUN: HeaderName = HeaderName::from_static("not-executed");
/// The prompt's tokens and the most tokens that are to be generated.
const TOKENS: HeaderName = HeaderName::from_static("token-count");
/// The parts of the prompt, with their tokens.
const PARTS: HeaderName = HeaderName::from_static("prompt-prefix");
/// The caller's estimate of the tokens that will be generated.
const HINT: HeaderName = HeaderName::from_static("length-hint");
/// The last event that the caller has of a stream.
const EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Says that the target leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// The most tokens that are counted of any claim: more than an engine's memory has, and so few that
/// sums of them fit into 64 bits.
const MAX_TOKENS: u64 = u32::MAX as u64;

/// The objectives that callers wait for the next event of a stream.
const PATIENCE: u32 = 4;
/// The least time that they wait for it.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// The fields that only the system may set, so those of callers are dropped.
const RESERVED: [&str; 8] = [
    "tenant",
    "expect-instance",
    "expect-version",
    "cache-hold",
    "pin-duration",
    "kv-backup",
    "kv-from",
    "kv-fetch",
];

/// What a caller's header fields say beside the request itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Envelope {
    /// The caller's name for this attempt.
    pub id: String,
    /// The key, if there is one.
    pub key: Option<String>,
    /// The time that the caller waits, if it says so.
    pub budget: Option<Duration>,
    /// What is asked of a model engine.
    pub prompt: Option<Prompt>,
}

/// What a router tells a target beside the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetFields<'a> {
    /// The target's name; any other one refuses the request.
    pub target: &'a str,
    /// The account, if the request has one.
    pub account: Option<&'a str>,
    /// The time that is left.
    pub time_left: Duration,
    /// The last event of the stream that the caller has, where another target goes on.
    pub last_event: Option<&'a str>,
}

/// What a target's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// It answers the request.
    Answer,
    /// The target has not run the request.
    NotExecuted,
    /// Another target is at the address; it has not run the request.
    Moved,
    /// It answers another request.
    Mismatched,
}

/// What a target's answer says of the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it leaves, and must get no new requests.
    pub leaving: bool,
    /// How long it wants no requests from this router.
    pub retry_after: Option<Duration>,
}

/// Reads a caller's header fields.
///
/// ```
/// use hyper::header::{HeaderMap, HeaderValue};
/// let mut headers = HeaderMap::new();
/// headers.insert("token-count", HeaderValue::from_static("1460,80"));
/// headers.insert("prompt-prefix", HeaderValue::from_static("5c:800,91:660"));
/// let prompt = redwingyard::platform::envelope(&headers).prompt.unwrap();
/// assert_eq!((prompt.input, prompt.output, prompt.parts.len()), (1460, 80, 2));
/// ```
pub fn envelope(headers: &HeaderMap) -> Envelope {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    Envelope {
        id: text(ID).unwrap_or_default().to_owned(),
        key: text(KEY).map(str::to_owned),
        budget: text(BUDGET)
            .and_then(|value| value.trim().parse().ok())
            .map(Duration::from_millis),
        prompt: text(TOKENS).and_then(|tokens| prompt(tokens, text(PARTS), text(HINT))),
    }
}

fn prompt(tokens: &str, parts: Option<&str>, hint: Option<&str>) -> Option<Prompt> {
    let (input, most) = tokens.split_once(',')?;
    let most = count(most)?;
    let hint = hint.and_then(count);
    let parts = parts.unwrap_or_default().split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((id, count(tokens)?))
    });
    Some(Prompt {
        parts: PromptPart::chain(parts),
        input: count(input)?,
        output: hint.unwrap_or(most).min(most),
    })
}

/// Returns a number of tokens, or the most that is counted.
fn count(text: &str) -> Option<u64> {
    let tokens: u64 = text.trim().parse().ok()?;
    Some(tokens.min(MAX_TOKENS))
}

/// Returns how long a caller at least waits for the first event of a stream with an objective.
///
/// ```
/// use std::time::Duration;
/// use redwingyard::platform::client_timeout;
/// assert_eq!(client_timeout(Duration::from_millis(600)), Duration::from_millis(2_400));
/// assert_eq!(client_timeout(Duration::from_millis(400)), Duration::from_secs(2));
/// ```
pub fn client_timeout(objective: Duration) -> Duration {
    (objective * PATIENCE).max(LEAST_PATIENCE)
}

/// Turns a caller's header fields into those for a target.
///
/// # Panics
///
/// Never: fields that can't be written are left out.
pub fn set_target_fields(headers: &mut HeaderMap, to: &TargetFields<'_>) {
    headers.remove(KEY);
    for name in RESERVED {
        headers.remove(name);
    }
    let mut set = |name, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(BUDGET, &to.time_left.as_millis().max(1).to_string());
    set(TARGET, to.target);
    if let Some(account) = to.account {
        set(ACCOUNT, account);
    }
    if let Some(event) = to.last_event {
        set(EVENT, event);
    }
}

/// Says what the head of a target's answer to the request `id` means.
///
/// ```
/// use hyper::header::{HeaderMap, HeaderValue};
/// use redwingyard::platform::{ResponseKind, classify_response};
/// let mut headers = HeaderMap::new();
/// assert_eq!(classify_response(421, &headers, "7"), ResponseKind::Moved);
/// headers.insert("request-id", HeaderValue::from_static("8"));
/// assert_eq!(classify_response(200, &headers, "7"), ResponseKind::Mismatched);
/// ```
pub fn classify_response(status: u16, headers: &HeaderMap, id: &str) -> ResponseKind {
    let echoed = headers.get(ID);
    if echoed.is_some_and(|value| value.as_bytes() != id.as_bytes()) {
        return ResponseKind::Mismatched;
    }
    match status {
        421 => ResponseKind::Moved,
        _ if headers.contains_key(UNRUN) => ResponseKind::NotExecuted,
        200..300 if echoed.is_none() && !id.is_empty() => ResponseKind::Mismatched,
        _ => ResponseKind::Answer,
    }
}

/// Reads what a target's answer says of the target.
///
/// ```
/// use std::time::Duration;
/// use hyper::header::{HeaderMap, HeaderValue};
/// use redwingyard::platform::notice;
/// let mut headers = HeaderMap::new();
/// headers.insert("retry-after", HeaderValue::from_static("1.5"));
/// assert_eq!(notice(503, &headers).retry_after, Some(Duration::from_millis(1_500)));
/// assert_eq!(notice(200, &headers).retry_after, None);
/// headers.insert("server-leaving", HeaderValue::from_static("1"));
/// assert!(notice(200, &headers).leaving);
/// ```
pub fn notice(status: u16, headers: &HeaderMap) -> Notice {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let seconds = text(&RETRY_AFTER).and_then(|value| value.trim().parse().ok());
    let rest = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Notice {
        leaving: text(&LEAVING).is_some_and(|value| value.trim() != "0"),
        retry_after: rest.filter(|_| status == 503),
    }
}

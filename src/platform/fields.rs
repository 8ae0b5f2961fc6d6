//! Reads and writes the header fields of requests from callers and responses from targets.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use derive_more::Display;
use hyper::header::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    RETRY_AFTER, //
};

use crate::pool::{
    Prompt,
    PromptPart,
    StatedLoad, //
};

/// The id that the caller gives to one attempt of a request; targets echo it.
const ID: HeaderName = HeaderName::from_static("request-id");
/// The API key, which identifies the client account.
const KEY: HeaderName = HeaderName::from_static("credential");
/// The client account, set on requests to targets.
const ACCOUNT: HeaderName = HeaderName::from_static("tenant");
/// How much longer the caller waits, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("deadline");
/// The name of the only target that may run the request.
const TARGET: HeaderName = HeaderName::from_static("expect-instance");
/// Marks a response of a target that has not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// The number of tokens in the prompt, and the largest number to generate.
const TOKENS: HeaderName = HeaderName::from_static("token-count");
/// The parts of the prompt, each with its number of tokens.
const PARTS: HeaderName = HeaderName::from_static("prompt-prefix");
/// The caller's estimate of the number of tokens that will be generated.
const HINT: HeaderName = HeaderName::from_static("length-hint");
/// The id of the last event of a stream that the caller has received.
const EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Announces that the target is leaving.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// The target's load: its running requests, its waiting requests and its slots, and possibly the time
/// that work takes now, in percent of the usual time.
const LOAD: HeaderName = HeaderName::from_static("server-load");

/// The limit that larger token counts in header fields are reduced to: more tokens than the memory
/// of an engine holds, and few enough that sums of counts fit into 64 bits.
const MAX_TOKENS: u64 = u32::MAX as u64;

/// The times that work may take, in percent of the usual time. Others are not believed.
const SPEED_BOUNDS: RangeInclusive<f64> = 10.0..=10_000.0;

/// How many times the latency objective callers wait for the next event of a stream.
const TIMEOUT_OBJECTIVES: u32 = 4;
/// The shortest time that callers wait for the next event of a stream.
const MIN_CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// The fields that only the system may set; they are removed from callers' requests.
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

/// What a caller's header fields say about the request: its id, key, time limit and prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Envelope {
    /// The caller's id for this attempt; empty if there is none.
    pub id: String,
    /// The API key, if there is one.
    pub key: Option<String>,
    /// How long the caller waits, if the request says so.
    pub budget: Option<Duration>,
    /// The prompt for a model engine, if the request describes one.
    pub prompt: Option<Prompt>,
}

/// The values of the header fields that a router sets on a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetFields<'a> {
    /// The target's name; a target with another name refuses the request.
    pub target: &'a str,
    /// The client account, if the request has one.
    pub account: Option<&'a str>,
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The id of the last event that the caller has received, if this target continues a stream
    /// that another target began.
    pub last_event: Option<&'a str>,
}

/// The kinds of responses from targets, by whether the target has run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The target has answered the request.
    Answer,
    /// The target has not run the request.
    NotExecuted,
    /// Another target has taken over the address; it has not run the request.
    Moved,
    /// The response belongs to another request, or may do so: it does not have the request's id.
    Mismatched,
}

/// How the id in a response compares with that of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum IdEcho {
    /// The response has the id of the request, or neither has one.
    #[display("same")]
    Same,
    /// The response has no id.
    #[display("missing")]
    Missing,
    /// The response has the id of another request.
    #[display("other")]
    Other,
}

/// What a target's response says about the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target is leaving and must get no new requests.
    pub leaving: bool,
    /// How long the target asks this router to send it no requests.
    pub retry_after: Option<Duration>,
    /// The load of the target at the time of the response.
    pub load: Option<StatedLoad>,
}

/// Reads what a caller's header fields say about the request.
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
        key: headers
            .get(KEY)
            .and_then(|value| String::from_utf8(value.as_bytes().to_vec()).ok()),
        budget: text(DEADLINE)
            .and_then(|value| value.trim().parse().ok())
            .map(Duration::from_millis),
        prompt: text(TOKENS).and_then(|tokens| prompt(tokens, text(PARTS), text(HINT))),
    }
}

fn prompt(tokens: &str, parts: Option<&str>, hint: Option<&str>) -> Option<Prompt> {
    let (input, max_output) = tokens.split_once(',')?;
    let max_output = parse_tokens(max_output)?;
    let hint = hint.and_then(parse_tokens);
    let parts = parts.unwrap_or_default().split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((id, parse_tokens(tokens)?))
    });
    Some(Prompt {
        parts: PromptPart::chain(parts),
        input: parse_tokens(input)?,
        output: hint.unwrap_or(max_output).min(max_output),
    })
}

/// Parses a number of tokens, and reduces it to [`MAX_TOKENS`] if it is larger.
fn parse_tokens(text: &str) -> Option<u64> {
    let tokens: u64 = text.trim().parse().ok()?;
    Some(tokens.min(MAX_TOKENS))
}

/// Returns the shortest time that callers wait for the first event of a stream with this latency
/// objective.
///
/// ```
/// use std::time::Duration;
/// use redwingyard::platform::client_timeout;
/// assert_eq!(client_timeout(Duration::from_millis(600)), Duration::from_millis(2_400));
/// assert_eq!(client_timeout(Duration::from_millis(400)), Duration::from_secs(2));
/// ```
pub fn client_timeout(objective: Duration) -> Duration {
    (objective * TIMEOUT_OBJECTIVES).max(MIN_CLIENT_TIMEOUT)
}

/// Turns the header fields of a caller's request into those of a request to a target.
///
/// The API key and the fields that only the system may set are removed, then `fields` are set.
///
/// # Panics
///
/// Never: a field whose value is not valid in a header is left out.
pub fn set_target_fields(headers: &mut HeaderMap, fields: &TargetFields<'_>) {
    headers.remove(KEY);
    for name in RESERVED {
        headers.remove(name);
    }
    let mut set = |name, value: &str| {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.insert(name, value);
        }
    };
    set(DEADLINE, &fields.time_left.as_millis().max(1).to_string());
    set(TARGET, fields.target);
    if let Some(account) = fields.account {
        set(ACCOUNT, account);
    }
    if let Some(event) = fields.last_event {
        set(EVENT, event);
    }
}

/// Returns whether a header field can hold the name of an account, so that targets can be told it.
///
/// ```
/// use redwingyard::platform::is_account_sendable;
/// assert!(is_account_sendable("caf\u{e9} 7"));
/// assert!(!is_account_sendable("two\nlines"));
/// ```
pub fn is_account_sendable(name: &str) -> bool {
    HeaderValue::from_bytes(name.as_bytes()).is_ok()
}

/// Compares the id in a response with that of the request; an empty `id` stands for none.
///
/// ```
/// use hyper::header::{HeaderMap, HeaderValue};
/// use redwingyard::platform::{IdEcho, id_echo};
/// let mut headers = HeaderMap::new();
/// assert_eq!(id_echo(&headers, "7"), IdEcho::Missing);
/// headers.insert("request-id", HeaderValue::from_static("8"));
/// assert_eq!(id_echo(&headers, "7"), IdEcho::Other);
/// ```
pub fn id_echo(headers: &HeaderMap, id: &str) -> IdEcho {
    let mut echoed = headers.get_all(ID).iter();
    match headers.contains_key(ID) {
        false if id.is_empty() => IdEcho::Same,
        false => IdEcho::Missing,
        true if echoed.all(|value| value.as_bytes() == id.as_bytes()) => IdEcho::Same,
        true => IdEcho::Other,
    }
}

/// Classifies a target's response to the request `id` by its status and header fields.
///
/// Targets repeat the id in all their responses, refusals included. A response without it may be one
/// to an earlier request, written once more.
///
/// ```
/// use hyper::header::{HeaderMap, HeaderValue};
/// use redwingyard::platform::{ResponseKind, classify_response};
/// let mut headers = HeaderMap::new();
/// assert_eq!(classify_response(421, &headers, "7"), ResponseKind::Mismatched);
/// headers.insert("request-id", HeaderValue::from_static("7"));
/// assert_eq!(classify_response(421, &headers, "7"), ResponseKind::Moved);
/// assert_eq!(classify_response(421, &headers, "8"), ResponseKind::Mismatched);
/// ```
pub fn classify_response(status: u16, headers: &HeaderMap, id: &str) -> ResponseKind {
    match status {
        _ if id_echo(headers, id) != IdEcho::Same => ResponseKind::Mismatched,
        421 => ResponseKind::Moved,
        _ if headers.contains_key(NOT_EXECUTED) => ResponseKind::NotExecuted,
        _ => ResponseKind::Answer,
    }
}

/// Reads what a target's response says about the target.
///
/// The field `retry-after` counts only with status 503.
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
/// headers.insert("server-load", HeaderValue::from_static("3,1,8"));
/// assert_eq!(notice(200, &headers).load.unwrap().waiting, 1);
/// ```
pub fn notice(status: u16, headers: &HeaderMap) -> Notice {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let seconds = text(&RETRY_AFTER).and_then(|value| value.trim().parse().ok());
    let retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Notice {
        leaving: text(&LEAVING).is_some_and(|value| value.trim() != "0"),
        retry_after: retry_after.filter(|_| status == 503),
        load: text(&LOAD).and_then(parse_load),
    }
}

/// Parses a load. A fourth figure that can't be used counts as not stated.
fn parse_load(text: &str) -> Option<StatedLoad> {
    let mut figures = text.split(',').map(str::trim);
    let mut counts = figures.by_ref().map(|count| count.parse().ok());
    Some(StatedLoad {
        running: counts.next()??,
        waiting: counts.next()??,
        slots: counts.next()??,
        speed: figures.next().and_then(parse_speed),
    })
}

/// Parses the time that work takes, in percent of the usual time.
fn parse_speed(text: &str) -> Option<u32> {
    let percent: f64 = text.parse().ok()?;
    SPEED_BOUNDS
        .contains(&percent)
        .then_some(percent.round() as u32)
}

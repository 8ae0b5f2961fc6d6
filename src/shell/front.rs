//! The callers' interface of a router: checks a request against the rules, reads its body and
//! passes it to the state machine.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use hyper::{
    HeaderMap,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::AUTHORIZATION,
    http::request, //
};
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64,
    xxh3_128, //
};

use super::{
    body::{
        Body,
        DisconnectGuard,
        Streamed, //
    },
    caller_watch::CallerWatch, //
    fields::{
        end_to_end_fields,
        to_header_map, //
    },
    intake::{
        BodyLimit,
        IDLE_LIMIT,
        Rejection,
        discard,
        receive_body, //
    },
    problem,
    router::Process,
};
use crate::{
    ids::{
        Account,
        id, //
    },
    router::{
        Cause,
        Ran,
        Refusal,
        Reply,
        RequestSpec, //
    },
    wire::{
        Head,
        IdempotencyKey, //
    }, //
};

/// The request header field with the idempotency key.
const KEY_FIELD: &str = "idempotency-key";

/// The request header field with the identifier of the conversation that the request continues.
const CONVERSATION_FIELD: &str = "x-conversation";

/// The request header field with the timeout for the first byte of the answer, in milliseconds.
const TIMEOUT_FIELD: &str = "x-timeout-ms";

/// The largest length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The retry time for callers whose body this router has no memory for. One second is the smallest
/// value that a refusal writes to `Retry-After`.
const NO_MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Answers one request of a caller; a body that was not read is drained.
pub(super) async fn handle(
    process: Rc<Process>,
    request: Request<Incoming>,
    watch: Rc<CallerWatch>,
) -> Response<Body> {
    let (parts, mut body) = request.into_parts();
    match read_request(&process, parts, &mut body, &watch).await {
        Ok(spec) => respond(&process, spec).await,
        Err(response) => {
            discard(body, watch);
            *response
        }
    }
}

/// Checks a request against the rules and reads its body, or returns the response that rejects it.
async fn read_request(
    process: &Process,
    parts: request::Parts,
    body: &mut Incoming,
    watch: &CallerWatch,
) -> Result<RequestSpec, Rejection> {
    let arrived = process.clock.now();
    let account = authenticate(process, &parts.headers)?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let (service, rest) = split_path(path).ok_or_else(|| {
        reject(
            StatusCode::NOT_FOUND,
            "unknown-service",
            "the path names no service",
        )
    })?;
    let rules = process.rules();
    if !rules.has_service(id(service)) {
        let detail = "no rule gives this service a target";
        return Err(reject(StatusCode::NOT_FOUND, "unknown-service", detail));
    }
    let write = rules
        .write_entry(service, parts.method.as_str(), rest)
        .map(|entry| entry.line);
    let time_limit = request_timeout(process, &parts.headers)?;
    let body = read_body(process, account, body, time_limit, watch).await?;
    let head = Head {
        status: 0,
        method: parts.method.as_str().to_owned(),
        path: rest.to_owned(),
        fields: end_to_end_fields(&parts.headers),
    };
    let key = read_key(account, service, &parts.headers, &head, &body)?;
    let conversation = parts.headers.get(CONVERSATION_FIELD);
    let elapsed = process.clock.now().saturating_sub(arrived);
    Ok(RequestSpec {
        account,
        service: id(service),
        write,
        key: key.filter(|_| write.is_some()),
        conversation: conversation.map(|value| xxh3_64(value.as_bytes())),
        head: Rc::new(head),
        body,
        timeout: time_limit.saturating_sub(elapsed),
    })
}

/// Returns the account of a request, which must occur in the rules.
///
/// Where the settings have tokens, it is the account of the bearer token, and a request whose
/// account field names another one is rejected. Otherwise, the account field alone names it.
fn authenticate(process: &Process, headers: &HeaderMap) -> Result<Account, Rejection> {
    let settings = &process.settings;
    let claimed = headers.get(&settings.account_header);
    let claimed = claimed.and_then(|value| value.to_str().ok());
    let name = if settings.tokens.is_empty() {
        claimed
    } else {
        let token = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
        let owner = token.and_then(|token| settings.tokens.get(token));
        let owner = owner.map(String::as_str);
        if claimed.is_some() && claimed != owner {
            None
        } else {
            owner
        }
    };
    let Some(name) = name else {
        let detail = "the request names no client account, or not the token's";
        return Err(reject(StatusCode::UNAUTHORIZED, "unknown-account", detail));
    };
    match process.rules().has_account(id(name)) {
        true => Ok(id(name)),
        false => {
            let detail = "no rule names this client account";
            Err(reject(StatusCode::FORBIDDEN, "unknown-account", detail))
        }
    }
}

/// Splits a path into the name of the service and the rest, which is the path sent to the target.
/// A rest that does not start with a slash becomes `/`.
fn split_path(path: &str) -> Option<(&str, &str)> {
    let path = path.strip_prefix('/')?;
    let at = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(at);
    match rest.starts_with('/') {
        _ if service.is_empty() => None,
        true => Some((service, rest)),
        false => Some((service, "/")),
    }
}

/// Returns the timeout that the caller asks for, limited to the deadline of the settings. That
/// deadline is also the default.
fn request_timeout(process: &Process, headers: &HeaderMap) -> Result<Duration, Rejection> {
    let max_timeout = process.settings.deadline();
    let Some(value) = headers.get(TIMEOUT_FIELD) else {
        return Ok(max_timeout);
    };
    match value.to_str().ok().and_then(|text| text.parse().ok()) {
        Some(millis) if millis > 0 => Ok(max_timeout.min(Duration::from_millis(millis))),
        _ => {
            let detail = "the timeout is not a positive number of milliseconds";
            Err(reject(StatusCode::BAD_REQUEST, "bad-timeout", detail))
        }
    }
}

/// Reads a complete body within `time_limit`.
async fn read_body(
    process: &Process,
    account: Account,
    body: &mut Incoming,
    time_limit: Duration,
    watch: &CallerWatch,
) -> Result<Bytes, Rejection> {
    let body_limit = BodyLimit {
        bytes: process.settings.body_bytes,
        phrase: "this router takes",
        time: time_limit,
        pause: IDLE_LIMIT,
    };
    let refuse_without_memory = || refuse_without_memory(process, account);
    receive_body(
        &process.memory,
        body,
        body_limit,
        watch,
        refuse_without_memory,
    )
    .await
}

/// Refuses a request because there is no memory for its body.
#[cold]
fn refuse_without_memory(process: &Process, account: Account) -> Rejection {
    let refusal = Refusal {
        cause: Cause::NoMemory,
        ran: Ran::No,
        retry: Some(NO_MEMORY_RETRY),
    };
    log::info!(
        "event=reject account={} cause={} held_kb={} connections={}",
        process.rules().name(account),
        refusal.cause,
        process.memory.reserved() >> 10,
        process.memory.connections(),
    );
    Box::new(problem::refuse(&refusal))
}

/// Returns a request's idempotency key, if it has one. The key is hashed together with the account
/// and the service, so that equal keys of different accounts or services do not collide. The
/// fingerprint is a hash of method, path and body, by which the reuse of a key for another request
/// is detected.
fn read_key(
    account: Account,
    service: &str,
    headers: &HeaderMap,
    head: &Head,
    body: &Bytes,
) -> Result<Option<IdempotencyKey>, Rejection> {
    let Some(value) = headers.get(KEY_FIELD) else {
        return Ok(None);
    };
    let text = value.as_bytes();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        let detail = "the idempotency key is empty or longer than 256 bytes";
        return Err(reject(StatusCode::BAD_REQUEST, "bad-key", detail));
    }
    let scope = format!("{account:08x}/{service}/");
    let key = xxh3_128(&[scope.as_bytes(), text].concat());
    let mut hash = Xxh3::new();
    hash.update(head.method.as_bytes());
    hash.update(head.path.as_bytes());
    hash.update(body);
    Ok(Some(IdempotencyKey {
        key,
        issued: issue_time(text),
        fingerprint: hash.digest(),
    }))
}

/// Returns the time at which a key was issued, in milliseconds since the Unix epoch, if the key is
/// a UUID of version 7.
fn issue_time(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?.trim_matches('"');
    let uuid = uuid::Uuid::try_parse(text).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

/// Returns the response that rejects a request with a problem document.
#[cold]
fn reject(status: StatusCode, title: &str, detail: &str) -> Rejection {
    Box::new(problem::reject(status, title, detail))
}

/// Passes a request to the state machine and returns the response.
async fn respond(process: &Rc<Process>, spec: RequestSpec) -> Response<Body> {
    let (sequence, mut replies) = process.arrive(spec);
    let owner = process.clone();
    let mut guard = DisconnectGuard {
        on_disconnect: Some(Box::new(move || owner.caller_gone(sequence))),
    };
    match replies.next().await {
        Some(Reply::Head(head)) => {
            let owner = process.clone();
            let on_consumed = Box::new(move |bytes| owner.caller_consumed(sequence, bytes));
            start_response(&head, replies, on_consumed, guard)
        }
        Some(Reply::Refuse(refusal)) => {
            guard.disarm();
            problem::refuse(&refusal)
        }
        _ => {
            guard.disarm();
            let detail = "this router stopped";
            let status = StatusCode::BAD_GATEWAY;
            problem::unknown(status, "router-stopped", detail)
        }
    }
}

/// Returns the response to an answer whose head has arrived.
fn start_response(
    head: &Head,
    mut replies: UnboundedReceiver<Reply>,
    on_consumed: Box<dyn Fn(u64)>,
    mut guard: DisconnectGuard,
) -> Response<Body> {
    let body = match take_arrived(&mut replies) {
        Arrival::Complete(data) => {
            guard.disarm();
            Body::full(data)
        }
        Arrival::Partial(buffered) => Body::Streamed(Box::new(Streamed {
            buffered,
            replies,
            on_consumed,
            guard,
        })),
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = to_header_map(&head.fields);
    response
}

/// The parts of an answer that have arrived together with its head.
enum Arrival {
    /// The answer is complete; this is its body.
    Complete(Bytes),
    /// The answer is not known to be complete; these are its parts so far.
    Partial(Vec<Reply>),
}

/// Takes the parts that have arrived, at most the two of a short answer (its data and its end), and
/// returns whether they complete the answer. An answer with trailers is always returned as partial.
fn take_arrived(replies: &mut UnboundedReceiver<Reply>) -> Arrival {
    let mut parts = Vec::new();
    while parts.len() < 2 {
        let Ok(reply) = replies.try_recv() else {
            break;
        };
        parts.push(reply);
    }
    match &parts[..] {
        [Reply::Data(data), Reply::End(end)] if end.trailers.is_empty() => {
            Arrival::Complete(data.clone())
        }
        [Reply::End(end), ..] if end.trailers.is_empty() => Arrival::Complete(Bytes::new()),
        _ => Arrival::Partial(parts),
    }
}

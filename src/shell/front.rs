//! The callers' interface of a router.

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
        Guard,
        Pending, //
    },
    fields::{
        end_to_end_fields,
        to_header_map, //
    },
    intake::{
        BodyLimit,
        Rejection,
        discard,
        receive_body, //
    },
    problem,
    router::Process, //
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

/// The header field with a caller's idempotency key.
const KEY_FIELD: &str = "idempotency-key";

/// The header field with the conversation that a request continues.
const CONVERSATION_FIELD: &str = "x-conversation";

/// The header field with the longest wait for an answer, in milliseconds.
const TIMEOUT_FIELD: &str = "x-timeout-ms";

const MAX_KEY: usize = 256;

/// When to come back to a router that has no memory for a body: the least that `Retry-After` says.
const ROOM_RETRY: Duration = Duration::from_secs(1);

/// Answers one request of a caller.
pub(super) async fn handle(process: Rc<Process>, request: Request<Incoming>) -> Response<Body> {
    let (parts, mut body) = request.into_parts();
    match classify(&process, parts, &mut body).await {
        Ok(ask) => answer(&process, ask).await,
        Err(response) => {
            discard(body);
            *response
        }
    }
}

async fn classify(
    process: &Process,
    parts: request::Parts,
    body: &mut Incoming,
) -> Result<RequestSpec, Rejection> {
    let account = account(process, &parts.headers)?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let (service, rest) = split(path).ok_or_else(|| {
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
    let limit = limit(process, &parts.headers)?;
    let body = collect(process, account, body, limit).await?;
    let head = Head {
        status: 0,
        method: parts.method.as_str().to_owned(),
        path: rest.to_owned(),
        fields: end_to_end_fields(&parts.headers),
    };
    let bid = bid(account, service, &parts.headers, &head, &body)?;
    let conversation = parts.headers.get(CONVERSATION_FIELD);
    Ok(RequestSpec {
        account,
        service: id(service),
        write,
        key: bid.filter(|_| write.is_some()),
        conversation: conversation.map(|value| xxh3_64(value.as_bytes())),
        head: Rc::new(head),
        body,
        timeout: limit,
    })
}

fn account(process: &Process, headers: &HeaderMap) -> Result<Account, Rejection> {
    let settings = &process.settings;
    let named = headers.get(&settings.account_header);
    let named = named.and_then(|value| value.to_str().ok());
    let name = if settings.tokens.is_empty() {
        named
    } else {
        let token = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
        let owner = token.and_then(|token| settings.tokens.get(token));
        let owner = owner.map(String::as_str);
        if named.is_some() && named != owner {
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

/// Splits a path into the service and the rest that its targets see.
fn split(path: &str) -> Option<(&str, &str)> {
    let path = path.strip_prefix('/')?;
    let at = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(at);
    match rest.starts_with('/') {
        _ if service.is_empty() => None,
        true => Some((service, rest)),
        false => Some((service, "/")),
    }
}

fn limit(process: &Process, headers: &HeaderMap) -> Result<Duration, Rejection> {
    let most = process.settings.deadline();
    let Some(value) = headers.get(TIMEOUT_FIELD) else {
        return Ok(most);
    };
    match value.to_str().ok().and_then(|text| text.parse().ok()) {
        Some(millis) if millis > 0 => Ok(most.min(Duration::from_millis(millis))),
        _ => {
            let detail = "the timeout is not a positive number of milliseconds";
            Err(reject(StatusCode::BAD_REQUEST, "bad-timeout", detail))
        }
    }
}

/// Reads a body whole.
async fn collect(
    process: &Process,
    account: Account,
    body: &mut Incoming,
    limit: Duration,
) -> Result<Bytes, Rejection> {
    let bound = BodyLimit {
        bytes: process.settings.body_bytes,
        phrase: "this router takes",
    };
    let unroomed = || unroomed(process, account);
    receive_body(&process.memory, body, bound, limit, unroomed).await
}

/// Refuses a request for whose body there is no memory.
#[cold]
fn unroomed(process: &Process, account: Account) -> Rejection {
    let refusal = Refusal {
        cause: Cause::NoMemory,
        ran: Ran::No,
        retry: Some(ROOM_RETRY),
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

/// Returns a request's idempotency key, bound to its account and service.
fn bid(
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
    if text.is_empty() || text.len() > MAX_KEY {
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
        issued: issued(text),
        fingerprint: hash.digest(),
    }))
}

/// Returns the time of issue within a UUID of version 7.
fn issued(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?.trim_matches('"');
    let uuid = uuid::Uuid::try_parse(text).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

#[cold]
fn reject(status: StatusCode, title: &str, detail: &str) -> Rejection {
    Box::new(problem::reject(status, title, detail))
}

async fn answer(process: &Rc<Process>, ask: RequestSpec) -> Response<Body> {
    let (sequence, mut replies) = process.arrive(ask);
    let gone = process.clone();
    let mut guard = Guard {
        gone: Some(Box::new(move || gone.caller_gone(sequence))),
    };
    match replies.next().await {
        Some(Reply::Head(head)) => {
            let taker = process.clone();
            let taken = Box::new(move |bytes| taker.caller_took(sequence, bytes));
            begin(&head, replies, taken, guard)
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

fn begin(
    head: &Head,
    mut replies: UnboundedReceiver<Reply>,
    taken: Box<dyn Fn(u64)>,
    mut guard: Guard,
) -> Response<Body> {
    let body = match whole(&mut replies) {
        Whole::Yes(data) => {
            guard.disarm();
            Body::full(data)
        }
        Whole::No(first) => Body::Pending(Box::new(Pending {
            first,
            replies,
            taken,
            guard,
        })),
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = to_header_map(&head.fields);
    response
}

/// Whether an answer is already whole.
enum Whole {
    Yes(Bytes),
    No(Vec<Reply>),
}

/// Looks whether a short answer has arrived with its end.
fn whole(replies: &mut UnboundedReceiver<Reply>) -> Whole {
    let mut seen = Vec::new();
    while seen.len() < 2 {
        let Ok(reply) = replies.try_recv() else {
            break;
        };
        seen.push(reply);
    }
    match &seen[..] {
        [Reply::Data(data), Reply::End(end)] if end.trailers.is_empty() => Whole::Yes(data.clone()),
        [Reply::End(end), ..] if end.trailers.is_empty() => Whole::Yes(Bytes::new()),
        _ => Whole::No(seen),
    }
}

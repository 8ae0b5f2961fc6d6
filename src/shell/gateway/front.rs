//! The callers' interface of a gateway: from a request's head to what the pool decides on.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use compio::time::timeout;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::{
    Request,
    Response,
    StatusCode,
    body::{
        Body as _,
        Incoming, //
    },
    header::HOST,
    http::request, //
};

use super::{
    call::{
        Call,
        CallerAsk, //
    },
    process::Process,
    refusal::refusal, //
};
use crate::{
    ids::Time,
    platform::{
        self,
        Envelope, //
    },
    pool::{
        Ask,
        Refusal, //
    },
    rules::{
        self,
        Limit,
        Repeat,
        Route,
        Rules, //
    },
    shell::{
        body::Body,
        problem, //
    }, //
};

/// The largest body where no rule sets a limit, in bytes.
const MAX_BODY: u64 = 4 << 20;

/// The least time that a body may take: it lay unread with its head.
const LEAST_BODY_TIME: Duration = Duration::from_millis(100);

/// When to come back to a gateway that does not know the rules yet.
const EMPTY_RETRY: Duration = Duration::from_millis(300);

/// A refusal before a request is queued.
type Rejection = Box<Response<Body>>;

/// Answers one request of a caller, which arrived at a time.
pub(super) async fn handle(
    process: Rc<Process>,
    request: Request<Incoming>,
    arrived: Time,
) -> Response<Body> {
    match admit(&process, request, arrived).await {
        Ok(call) => call.run().await,
        Err(response) => *response,
    }
}

async fn admit(
    process: &Rc<Process>,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Call, Rejection> {
    let unread = process.clock.now().saturating_sub(arrived);
    process.sync();
    let (head, body) = request.into_parts();
    let rules = process.rules();
    let envelope = platform::envelope(&head.headers);
    if rules.generation() == 0 {
        return Err(unready(process, &envelope, "no-rules"));
    }
    if head.headers.get_all(HOST).iter().count() > 1 {
        log::info!("event=reject request={} cause=two-hosts", envelope.id);
        let detail = "the request names two hosts";
        return Err(reject(StatusCode::BAD_REQUEST, "two-hosts", detail));
    }
    let Some(route) = find(&rules, &head) else {
        log::info!("event=reject request={} cause=no-route", envelope.id);
        let detail = "no rule routes this host and path";
        return Err(reject(StatusCode::NOT_FOUND, "no-route", detail));
    };
    let account = account(process, &rules, route, &envelope)?;
    let budget = envelope.budget.unwrap_or(route.timeout());
    let deadline = arrived + budget.min(route.timeout());
    let most = rules.limit(Limit::BodyBytes).unwrap_or(MAX_BODY);
    let left = deadline.saturating_sub(process.clock.now());
    let body = collect(body, most, left.max(LEAST_BODY_TIME)).await?;
    let ask = Ask {
        account: account.as_deref().map_or(0, crate::ids::id),
        service: route.service(fastrand::u64(..)),
        idempotent: route.is_idempotent(),
        attempts: route.attempts,
        objective: route.objective(),
        deadline,
        unread,
        patience: route.stream.then(|| platform::patience(route.objective())),
        prompt: envelope.prompt,
    };
    if let Some((cause, retry)) = process.turn_away(&ask) {
        let account = account.as_deref().unwrap_or("-");
        log::info!(
            "event=reject request={} cause=refused-{cause} account={account} route={} retry_ms={}",
            envelope.id,
            route.name,
            retry.as_millis(),
        );
        return Err(Box::new(refusal(cause, retry)));
    }
    let asked = CallerAsk {
        id: envelope.id,
        account,
        route: route.name.clone(),
        head,
        body,
        stream: route.stream,
        resumable: route.repeat == Repeat::Resume,
        arrived,
        deadline,
    };
    Ok(Call::new(process.clone(), asked, ask))
}

fn find<'a>(rules: &'a Rules, head: &request::Parts) -> Option<&'a Route> {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or(head.uri.host())?;
    let host = host.split(':').next()?;
    rules.route(host, head.uri.path())
}

/// Returns the account that a request's key belongs to, or `None` on an open route.
fn account(
    process: &Process,
    rules: &Rules,
    route: &Route,
    envelope: &Envelope,
) -> Result<Option<Arc<str>>, Rejection> {
    let digest = envelope
        .key
        .as_ref()
        .map(|key| rules::digest(key.as_bytes()));
    let holder = digest.and_then(|digest| rules.key_account(&digest));
    if route.open {
        return Ok(holder.map(|account| rules.name(account)));
    }
    // A key may have been taken away by rules that have not been read.
    if !process.is_trusted() {
        return Err(unready(process, envelope, "unconfirmed-rules"));
    }
    match holder {
        Some(account) => Ok(Some(rules.name(account))),
        None => {
            log::info!("event=reject request={} cause=unknown-key", envelope.id);
            let detail = "the request has no key, or one that no rule names";
            Err(reject(StatusCode::UNAUTHORIZED, "unknown-key", detail))
        }
    }
}

async fn collect(body: Incoming, most: u64, limit: Duration) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, usize::try_from(most).unwrap_or(usize::MAX));
    match timeout(limit, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let detail = "the body is larger than the rules allow";
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(reject(status, "body-too-large", detail))
        }
        Ok(Err(_)) => {
            let detail = "the body broke off";
            Err(reject(StatusCode::BAD_REQUEST, "bad-body", detail))
        }
        Err(_) => {
            let detail = "the body did not arrive in time";
            Err(reject(StatusCode::REQUEST_TIMEOUT, "slow-body", detail))
        }
    }
}

/// Refuses a request while this gateway does not know enough to decide on it.
#[cold]
fn unready(process: &Process, envelope: &Envelope, cause: &str) -> Rejection {
    let age = process.age().map_or(-1, |age| age.as_millis() as i64);
    log::info!(
        "event=reject request={} cause={cause} rules_age_ms={age}",
        envelope.id
    );
    process.metrics.outcome(cause);
    Box::new(refusal(Refusal::NoTarget, EMPTY_RETRY))
}

#[cold]
fn reject(status: StatusCode, title: &str, detail: &str) -> Rejection {
    Box::new(problem::reject(status, title, detail))
}

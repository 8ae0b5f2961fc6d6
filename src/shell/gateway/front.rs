//! The callers' interface of a gateway: checks a request against the rules, reads its body and
//! queues it in the pool.

use std::{
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::future::{
    Either,
    select, //
};
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::HOST,
    http::request, //
};

use super::{
    call::{
        Call,
        CallerRequest, //
    },
    decision_line::StandingFields,
    exchange::{
        Exchange,
        Stage, //
    },
    process::{
        Process,
        usual_limit, //
    },
    refusal::{
        FAULT_RETRY,
        STOP_RETRY,
        refusal,
        unusable_rule, //
    }, //
};
use crate::{
    ids::Time,
    platform::{
        self,
        Envelope, //
    },
    pool::{
        Refusal, //
        RequestSpec,
    },
    rules::{
        self,
        Limit,
        RetryPolicy,
        Route,
        Rules, //
    },
    shell::{
        body::Body,
        caller_watch::CallerWatch, //
        intake::{
            BodyLimit,
            IDLE_LIMIT,
            MAX_BODY,
            Rejection,
            discard,
            receive_body, //
        },
        panics,
        presence::{
            CallerGone,
            Presence, //
        },
        problem,
    }, //
};

/// The least time that is allowed for reading a body, even when the deadline has passed: if this
/// process read the head late, the body waited unread together with it.
const MIN_BODY_TIME: Duration = Duration::from_millis(100);

/// The retry time for callers of a gateway that does not know or can't confirm the rules.
const UNREADY_RETRY: Duration = Duration::from_millis(300);

/// Answers one request of a caller, which arrived at time `arrived` on the connection of `exchange`.
///
/// # Errors
///
/// Fails if the caller has closed its connection, which is then closed here too.
pub(super) async fn handle(
    process: Rc<Process>,
    request: Request<Incoming>,
    arrived: Time,
    exchange: Rc<Exchange>,
    presence: Presence,
    watch: Rc<CallerWatch>,
) -> Result<Response<Body>, CallerGone> {
    let (head, mut body) = request.into_parts();
    let answered = panics::catch(async {
        let call = admit(
            &process, head, &mut body, arrived, &exchange, presence, &watch,
        );
        match call.await {
            Ok(call) => call.run().await,
            Err(response) => {
                discard(body, watch);
                Ok(*response)
            }
        }
    });
    let response = match answered.await {
        Some(response) => response?,
        None => answer_panic(&process, &exchange),
    };
    exchange.advance(Stage::Answering);
    if matches!(response.body(), Body::Full(_)) {
        exchange.pass_answer();
    }
    Ok(response)
}

/// Admits a request to the pool's queue, or returns the response that rejects it.
async fn admit(
    process: &Rc<Process>,
    head: request::Parts,
    body: &mut Incoming,
    arrived: Time,
    exchange: &Rc<Exchange>,
    presence: Presence,
    watch: &CallerWatch,
) -> Result<Call, Rejection> {
    let unread = process.clock.now().saturating_sub(arrived);
    process.apply_updates();
    let rules = process.rules();
    let envelope = platform::envelope(&head.headers);
    exchange.begin(&envelope.id);
    if rules.is_empty() {
        return Err(refuse_unready(process, &envelope, "no-rules"));
    }
    if process.is_behind() {
        return Err(refuse_unready(process, &envelope, "overdue-rules"));
    }
    if head.headers.get_all(HOST).iter().count() > 1 {
        log::info!("event=reject request={} cause=two-hosts", envelope.id);
        let detail = "the request names two hosts";
        return Err(reject(StatusCode::BAD_REQUEST, "two-hosts", detail));
    }
    let Some(route) = find_route(&rules, &head) else {
        // Newer rules that have not been read yet may have the route.
        if !process.rules_are_recent() {
            return Err(refuse_unready(process, &envelope, "unconfirmed-route"));
        }
        log::info!("event=reject request={} cause=no-route", envelope.id);
        let detail = "no rule routes this host and path";
        return Err(reject(StatusCode::NOT_FOUND, "no-route", detail));
    };
    if route.split.is_empty() {
        return Err(refuse_unusable(process, &envelope, "unusable-route"));
    }
    let account = authenticate(process, &rules, route, &envelope)?;
    let budget = envelope.budget.unwrap_or(route.timeout());
    let deadline = arrived + budget.min(route.timeout());
    let latest = deadline + unread;
    if !process.admits(route, arrived, latest) {
        return Err(refuse_stopping(process, &envelope));
    }
    let max_bytes = rules.limit(Limit::BodyBytes).unwrap_or(MAX_BODY as u64);
    let left = deadline.saturating_sub(process.clock.now());
    let pause = rules.limit(Limit::IdleTime);
    let limit = BodyLimit {
        bytes: usize::try_from(max_bytes).unwrap_or(usize::MAX),
        phrase: "the rules allow",
        time: left.max(MIN_BODY_TIME),
        pause: pause.map_or(IDLE_LIMIT, Duration::from_millis),
    };
    let body = read_body(process, &envelope, body, limit, watch).await?;
    // A stop may have begun while the body arrived.
    let body_arrived = process.earliest_arrival(arrived);
    if !process.admits(route, body_arrived, latest) {
        return Err(refuse_stopping(process, &envelope));
    }
    let spec = RequestSpec {
        account: account.as_deref().map_or(0, crate::ids::id),
        service: route.service(fastrand::u64(..)),
        idempotent: route.is_idempotent(),
        attempts: route.attempts,
        objective: route.objective(),
        deadline,
        read_delay: unread,
        client_timeout: route
            .stream
            .then(|| platform::client_timeout(route.objective())),
        prompt: envelope.prompt,
    };
    if let Some((cause, retry)) = process.refuse_early(&spec) {
        let account = account.as_deref().unwrap_or("-");
        let part = match cause {
            Refusal::Quarantined(part) => format!(" part={part:x}"),
            _ => String::new(),
        };
        let standing = process.standing(&spec);
        log::info!(
            "event=reject request={} cause=refused-{cause}{part} account={account} route={} \
             retry_ms={} {}",
            envelope.id,
            route.name,
            retry.as_millis(),
            StandingFields(&standing),
        );
        return Err(Box::new(refusal(cause, retry)));
    }
    let caller_request = CallerRequest {
        id: envelope.id,
        account,
        route: route.name.clone(),
        head,
        body,
        stream: route.stream,
        resumable: route.repeat == RetryPolicy::Resume,
        arrived,
        deadline,
        latest,
        usual_limit: usual_limit(route),
        exchange: exchange.clone(),
        presence,
    };
    Ok(Call::new(process.clone(), caller_request, spec))
}

/// Finds the route for a request's host and path.
fn find_route<'a>(rules: &'a Rules, head: &request::Parts) -> Option<&'a Route> {
    let host_field = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host_field.or(head.uri.host())?;
    let host = host.split(':').next()?;
    rules.route(host, head.uri.path())
}

/// Returns the account that a request's key belongs to. On an open route, a missing or unknown key
/// is no error and gives `None`.
fn authenticate(
    process: &Process,
    rules: &Rules,
    route: &Route,
    envelope: &Envelope,
) -> Result<Option<Arc<str>>, Rejection> {
    let digest = envelope
        .key
        .as_ref()
        .map(|key| rules::digest(key.as_bytes()));
    let holder = digest.and_then(|digest| rules.api_key_account(&digest));
    if holder.is_some_and(|account| !platform::is_account_sendable(account)) {
        return Err(refuse_unusable(process, envelope, "unusable-account"));
    }
    if route.open {
        return Ok(holder.map(Arc::from));
    }
    // Newer rules that have not been read yet may have revoked the key.
    if !process.keys_trusted() {
        return Err(refuse_unready(process, envelope, "unconfirmed-rules"));
    }
    match holder {
        Some(account) => Ok(Some(account.into())),
        None if !process.rules_are_recent() => {
            Err(refuse_unready(process, envelope, "unconfirmed-key"))
        }
        None => {
            log::info!("event=reject request={} cause=unknown-key", envelope.id);
            let detail = "the request has no key, or one that no rule names";
            Err(reject(StatusCode::UNAUTHORIZED, "unknown-key", detail))
        }
    }
}

/// Reads a body whole, within `limit`, and counts it if it is refused.
async fn read_body(
    process: &Process,
    envelope: &Envelope,
    body: &mut Incoming,
    limit: BodyLimit,
    watch: &CallerWatch,
) -> Result<Bytes, Rejection> {
    let refuse_without_memory = || refuse_without_memory(process, envelope);
    let received = receive_body(&process.memory, body, limit, watch, refuse_without_memory);
    match select(pin!(received), process.closed()).await {
        Either::Left((Err(response), _)) => {
            match response.status() {
                StatusCode::PAYLOAD_TOO_LARGE => process.count_refused("body-too-large"),
                StatusCode::REQUEST_TIMEOUT => process.count_refused("slow-body"),
                StatusCode::BAD_REQUEST => process.count_refused("bad-body"),
                // It is counted where it is refused for want of memory.
                _ => {}
            }
            Err(response)
        }
        Either::Left((received, _)) => received,
        Either::Right(_) => Err(refuse_stopping(process, envelope)),
    }
}

/// Answers a request whose task has panicked; it may have run.
#[cold]
fn answer_panic(process: &Process, exchange: &Exchange) -> Response<Body> {
    log::error!("event=end request={} outcome=panic", exchange.request());
    process.metrics.count_outcome("panic");
    let detail = "the gateway failed while the request may have run";
    problem::unknown(StatusCode::BAD_GATEWAY, "gateway-failed", detail)
}

/// Refuses a request that may not end before this process does.
#[cold]
fn refuse_stopping(process: &Process, envelope: &Envelope) -> Rejection {
    let left = process.stop_end().unwrap_or_default();
    let left = left.saturating_sub(process.clock.now());
    log::info!(
        "event=reject request={} cause=stopping left_ms={}",
        envelope.id,
        left.as_millis()
    );
    process.metrics.count_outcome("stopping");
    Box::new(refusal(Refusal::Stopping, STOP_RETRY))
}

/// Refuses a request because there is no memory for its body.
#[cold]
fn refuse_without_memory(process: &Process, envelope: &Envelope) -> Rejection {
    log::info!(
        "event=reject request={} cause=no-memory held_kb={} connections={}",
        envelope.id,
        process.memory.reserved() >> 10,
        process.memory.connections(),
    );
    process.metrics.count_outcome("no-memory");
    Box::new(refusal(Refusal::Overload, FAULT_RETRY))
}

/// Refuses a request because this gateway has no rules, or none recent enough to trust their keys.
#[cold]
fn refuse_unready(process: &Process, envelope: &Envelope, cause: &str) -> Rejection {
    let age = process.rules_age().map_or(-1, |age| age.as_millis() as i64);
    log::info!(
        "event=reject request={} cause={cause} rules_age_ms={age}",
        envelope.id
    );
    process.metrics.count_outcome(cause);
    Box::new(refusal(Refusal::NoTarget, UNREADY_RETRY))
}

/// Refuses a request whose route or account can't be served as the rules are written.
#[cold]
fn refuse_unusable(process: &Process, envelope: &Envelope, cause: &str) -> Rejection {
    log::info!("event=reject request={} cause={cause}", envelope.id);
    process.metrics.count_outcome(cause);
    Box::new(unusable_rule())
}

#[cold]
fn reject(status: StatusCode, title: &str, detail: &str) -> Rejection {
    Box::new(problem::reject(status, title, detail))
}

//! Responses to requests that fail or are refused, as problem documents (RFC 9457).

use bytes::Bytes;
use hyper::{
    Response,
    StatusCode,
    header::{
        CONTENT_TYPE,
        HeaderValue,
        RETRY_AFTER, //
    }, //
};
use serde::Serialize;

use super::body::Body;
use crate::router::{
    Cause,
    Ran,
    Refusal, //
};

/// The content of a problem document.
#[derive(Serialize)]
struct Problem<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    /// Whether the request ran: an extension member, as text of [`Ran`].
    ran: &'a str,
    detail: &'a str,
}

/// Returns the response to a request that is rejected before it is queued, so it has not run.
pub(super) fn reject(status: StatusCode, title: &str, detail: &str) -> Response<Body> {
    document(status, title, Ran::No, detail)
}

/// Returns the response to a request that may have run, but whose answer is lost.
#[cold]
pub(super) fn unknown(status: StatusCode, title: &str, detail: &str) -> Response<Body> {
    document(status, title, Ran::Unknown, detail)
}

/// Returns the response to a request that the state machine of a router refuses.
pub(super) fn refuse(refusal: &Refusal) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.status()).expect("every cause has a valid status");
    let title = refusal.cause.to_string();
    let mut response = document(status, &title, refusal.ran, detail(refusal.cause));
    if let Some(retry) = refusal.retry {
        let seconds = retry.as_secs().max(1);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Returns a response with a problem document as its body.
fn document(status: StatusCode, title: &str, ran: Ran, detail: &str) -> Response<Body> {
    let ran = ran.to_string();
    let problem = Problem {
        r#type: "about:blank",
        title,
        status: status.as_u16(),
        ran: &ran,
        detail,
    };
    let text = serde_json::to_vec(&problem).expect("a problem document can be serialized as JSON");
    let mut response = Response::new(Body::full(Bytes::from(text)));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Returns the explanation of a cause for callers.
fn detail(cause: Cause) -> &'static str {
    match cause {
        Cause::QueueFull => "too many requests of this account wait",
        Cause::Deadline => "no target was free before the deadline",
        Cause::Overload => "the wait would exceed the deadline",
        Cause::NoMemory => "this router has no memory for the body now",
        Cause::Draining => "this router is shutting down",
        Cause::TargetLost => "the target was lost while the request may have run",
        Cause::Timeout => "the target did not answer before the deadline",
        Cause::KeyReused => "this idempotency key belongs to another request",
        Cause::KeyDone => "this idempotency key has run and its answer is no longer held",
        Cause::KeyUnknown => "this idempotency key may have run before",
        Cause::KeyRunning => "a request with this idempotency key is running",
    }
}

//! Responses to requests that have not run, with the time after which to retry.

use std::time::Duration;

use hyper::{
    Response,
    StatusCode,
    header::{
        HeaderValue,
        RETRY_AFTER, //
    }, //
};

use crate::{
    pool::Refusal,
    shell::{
        body::Body,
        problem, //
    }, //
};

/// The retry time for a request whose attempts all failed without running, or for whose body there
/// was no memory.
pub(super) const FAULT_RETRY: Duration = Duration::from_millis(500);

/// The retry time of a gateway that stops: others can serve the request at once.
pub(super) const STOP_RETRY: Duration = Duration::from_millis(50);

/// The retry time for a request that only a change of the rules can help.
const UNUSABLE_RETRY: Duration = Duration::from_secs(10);

/// What callers are told about a request with a quarantined part of its prompt.
pub(super) const QUARANTINED: &str =
    "a part of the prompt crashes the targets that answer it; a retry would be refused as well";

/// Returns the response that refuses a request; the caller may rely on it not having run.
pub(super) fn refusal(cause: Refusal, retry: Duration) -> Response<Body> {
    let detail = match cause {
        Refusal::Overload => "the wait would exceed the objective",
        Refusal::Held => {
            "the account has received its share, and no engine has room beyond it for this account"
        }
        Refusal::Waited => "no target had room within the objective",
        Refusal::NoTarget => "no target of the service is known",
        Refusal::CoolingDown => "every target has asked for a pause",
        Refusal::Quarantined(_) => QUARANTINED,
        Refusal::Stopping => "this gateway stops before the request could end",
        Refusal::Late => "the request was read too late",
        Refusal::Attempts => "no target took the request",
    };
    // Callers repeat a request after 503, but not after 400.
    let status = match cause {
        Refusal::Quarantined(_) => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let response = problem::reject(status, &cause.to_string(), detail);
    match cause {
        Refusal::Quarantined(_) => response,
        _ => with_retry_after(response, retry),
    }
}

/// Returns the response to a request that can't be served as the rules are written.
pub(super) fn unusable_rule() -> Response<Body> {
    let detail = "the rule for this request can't be used as it is written";
    let response = problem::reject(StatusCode::SERVICE_UNAVAILABLE, "unusable-rule", detail);
    with_retry_after(response, UNUSABLE_RETRY)
}

/// Adds the time after which the caller should retry to a response.
fn with_retry_after(mut response: Response<Body>, retry: Duration) -> Response<Body> {
    let seconds = format!("{:.2}", retry.as_secs_f64().max(0.05));
    if let Ok(value) = HeaderValue::try_from(seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

//! Answers that say truthfully that a request has not run, and when to come back.

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

/// When a request is worth sending again whose targets could not be reached.
pub(super) const FAULT_RETRY: Duration = Duration::from_millis(500);

/// Returns the answer to a request that has not run.
pub(super) fn refusal(cause: Refusal, retry: Duration) -> Response<Body> {
    let detail = match cause {
        Refusal::Overload => "the wait would exceed the objective",
        Refusal::Waited => "no target had room within the objective",
        Refusal::NoTarget => "no target of the service is known",
        Refusal::CoolingDown => "every target has asked for a pause",
        Refusal::Late => "the request was read too late",
        Refusal::Attempts => "no target took the request",
    };
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = problem::reject(status, &cause.to_string(), detail);
    let seconds = format!("{:.2}", retry.as_secs_f64().max(0.05));
    if let Ok(value) = HeaderValue::try_from(seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

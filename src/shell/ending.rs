//! Judges the end of an answer that has neither a length nor chunks.

use std::{
    fmt::Display,
    time::{
        Duration,
        Instant, //
    }, //
};

use compio::time::timeout;
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    header::CONTENT_TYPE,
    http::response, //
};

use super::dial::{
    Connections,
    Probe, //
};
use crate::answer::{
    Flaw,
    Framing,
    Progress,
    TargetState, //
};

/// The longest time that an answer is held back to learn the state of its target: many round trips,
/// and little beside the latency objectives of callers.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

const EVENT_STREAM: &str = "text/event-stream";

/// Returns the progress of an answer whose head has arrived; `stream` says that its route has
/// event streams.
pub(super) fn start_progress(head: &response::Parts, body: &Incoming, stream: bool) -> Progress {
    let framing = match body.is_end_stream() {
        true => Framing::Length,
        false => Framing::of(&head.headers),
    };
    let media = head.headers.get(CONTENT_TYPE);
    let media = media.and_then(|media| media.to_str().ok()).unwrap_or("");
    let named = media.split(';').next().unwrap_or("").trim();
    let stream = stream || named.eq_ignore_ascii_case(EVENT_STREAM);
    Progress::new(framing, stream && head.status.is_success())
}

/// Judges an answer whose connection was closed in order, and logs the end of one that has no
/// framing. `is_leaving` tells whether its target is known to stop.
///
/// Returns the time that it took to learn the state of the target; zero if nobody had to be asked.
///
/// # Errors
///
/// Returns what shows that the answer is not whole.
pub(super) async fn judge_end(
    request: &impl Display,
    progress: &Progress,
    connections: &Connections,
    is_leaving: impl Fn() -> bool,
) -> (Result<(), Flaw>, Duration) {
    if !progress.is_unframed() {
        return (Ok(()), Duration::ZERO);
    }
    let start = Instant::now();
    let state = match progress.flaw() {
        Some(_) => TargetState::Unknown,
        None => target_state(connections, is_leaving).await,
    };
    let took = start.elapsed();
    let judged = progress.judge(state);
    let verdict = judged.map_or_else(|flaw| flaw.to_string(), |()| "whole".to_owned());
    log::info!(
        "event=unframed-end request={request} target_state={state} took_ms={} verdict={verdict}",
        took.as_millis(),
    );
    (judged, took)
}

/// Finds out the state of a target that has just closed a connection in order.
///
/// A process that ends closes its listener too, so a refused connection tells its end from an answer
/// that closes one connection. A target that stops in order does the same, after its last answer.
async fn target_state(connections: &Connections, is_leaving: impl Fn() -> bool) -> TargetState {
    if is_leaving() {
        return TargetState::Leaving;
    }
    match timeout(PROBE_TIMEOUT, connections.probe()).await {
        Ok(Probe::Connected) => TargetState::Alive,
        // The news that it stops may have arrived meanwhile.
        Ok(Probe::Refused) if is_leaving() => TargetState::Leaving,
        Ok(Probe::Refused) => TargetState::Crashed,
        Ok(Probe::Unknown) | Err(_) => TargetState::Unknown,
    }
}

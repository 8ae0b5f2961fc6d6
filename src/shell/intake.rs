//! Reading the bodies of callers' requests, and the limits for heads, bodies and idle connections.

use std::{
    cell::Cell,
    error::Error,
    rc::Rc,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use compio::{
    runtime::spawn,
    time::timeout, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::{
    Response,
    StatusCode,
    body::{
        Body as _,
        Incoming, //
    }, //
};

use super::{
    body::Body,
    caller_watch::CallerWatch, //
    memory::with_reservation,
    problem::reject,
};
use crate::pool::MemoryBudget;

/// The time for which a connection may be idle, or take to send a head, where no rule sets a
/// limit. Today's large load balancers have the same limit.
pub(super) const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// The largest number of bytes that one call reads from a caller's connection: less than hyper's
/// smallest buffer, because hyper doubles the buffer when a call fills it.
pub(super) const MAX_READ: usize = (8 << 10) - 1;

/// The step in which memory is reserved for a body ahead of its arrival, in bytes.
const RESERVE_STEP: usize = 64 << 10;

/// The largest body where no rule sets a limit, in bytes. It is also the largest buffer that is
/// allocated for a body before it arrives, and the most that is drained of a rejected body.
pub(super) const MAX_BODY: usize = 4 << 20;

/// The memory that a buffer may take while it grows, as a multiple of its content: the old and the
/// new buffer exist together while the content is copied.
pub(super) const GROWTH_FACTOR: usize = 2;

/// The time that draining a rejected body may take. The `lingering_timeout` of today's web
/// servers is the same.
const DISCARD_LIMIT: Duration = Duration::from_secs(5);

pub(super) struct BodyLimit {
    /// The largest size of the body.
    pub(super) bytes: usize,
    /// The end of the sentence "the body is larger than ..." in the response to a larger body.
    pub(super) phrase: &'static str,
    /// The time within which the whole body must arrive.
    pub(super) time: Duration,
    /// The time in which some of it must arrive: a body that stands still is given up after once or
    /// twice this time.
    pub(super) pause: Duration,
}

/// The response that rejects a request before it is queued.
pub(super) type Rejection = Box<Response<Body>>;

/// Why a body was not received.
enum BodyError {
    /// It ended early, or is larger than its limit.
    Failed(Box<dyn Error + Send + Sync>),
    /// No memory could be reserved for it.
    NoMemory,
}

/// Receives a complete body within its limits, or returns the response that rejects the request:
/// the body is too large, late or incomplete, or there is no memory for it. In the last case,
/// `refuse_without_memory` creates the response.
pub(super) async fn receive_body(
    memory: &MemoryBudget,
    body: &mut Incoming,
    body_limit: BodyLimit,
    watch: &CallerWatch,
    refuse_without_memory: impl FnOnce() -> Rejection,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > body_limit.bytes {
        return Err(too_large(&body_limit));
    }
    let mut body = Limited::new(body, body_limit.bytes);
    let received = Cell::new(0);
    let mut reading = std::pin::pin!(read_reserved(memory, &mut body, watch, &received));
    let mut left = body_limit.time;
    let read = loop {
        let (wait, before) = (left.min(body_limit.pause), received.get());
        let read = timeout(wait, reading.as_mut()).await;
        left -= wait;
        if read.is_ok() || left.is_zero() || received.get() == before {
            break read;
        }
    };
    let (status, title, detail) = match read {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(BodyError::NoMemory)) => return Err(refuse_without_memory()),
        Ok(Err(BodyError::Failed(err))) if err.is::<LengthLimitError>() => {
            return Err(too_large(&body_limit));
        }
        Ok(Err(BodyError::Failed(_))) => {
            (StatusCode::BAD_REQUEST, "bad-body", "the body broke off")
        }
        Err(_) => (
            StatusCode::REQUEST_TIMEOUT,
            "slow-body",
            "the body did not arrive in time",
        ),
    };
    Err(Box::new(reject(status, title, detail)))
}

/// Rejects a request whose body is larger than its limit.
#[cold]
fn too_large(body_limit: &BodyLimit) -> Rejection {
    let detail = format!("the body is larger than {}", body_limit.phrase);
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    Box::new(reject(status, "body-too-large", &detail))
}

/// Reads a body, and reserves memory for it while it arrives.
async fn read_reserved(
    memory: &MemoryBudget,
    body: &mut Limited<&mut Incoming>,
    watch: &CallerWatch,
    received_bytes: &Cell<usize>,
) -> Result<Bytes, BodyError> {
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut reservation = memory
        .reserve(expected.min(RESERVE_STEP))
        .ok_or(BodyError::NoMemory)?;
    let mut received = BytesMut::with_capacity(expected.min(MAX_BODY));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Failed)?.into_data() else {
            continue;
        };
        let size = received.len() + data.len();
        let needed = match size > expected {
            true => size * GROWTH_FACTOR,
            false => size.next_multiple_of(RESERVE_STEP).min(expected),
        };
        if !reservation.grow(needed) {
            return Err(BodyError::NoMemory);
        }
        received.extend_from_slice(&data);
        received_bytes.set(size);
        watch.received_body(data.len());
    }
    Ok(with_reservation(received.freeze(), reservation))
}

/// Drains the body of a rejected request in the background while the response is sent. Closing the
/// connection with unread data would reset it, and the caller could lose the response.
pub(super) fn discard(body: Incoming, watch: Rc<CallerWatch>) {
    if body.is_end_stream() {
        return;
    }
    watch.set_draining(true);
    spawn(async move {
        let mut rest = Limited::new(body, MAX_BODY);
        let drain = async { while let Some(Ok(_)) = rest.frame().await {} };
        let _ = timeout(DISCARD_LIMIT, drain).await;
        drop(rest);
        watch.set_draining(false);
    })
    .detach();
}

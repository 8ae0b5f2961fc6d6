//! How what callers send is taken in.

use std::{
    error::Error,
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
    memory::with_reservation,
    problem::reject, //
};
use crate::pool::MemoryBudget;

/// The time that a connection may be idle, or take for a head, where no rule sets a limit: that
/// of today's large load balancers.
pub(super) const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// The most that is read at once from a caller's connection, in bytes: less than hyper's least
/// buffer, which doubles when a read fills it.
pub(super) const MAX_READ: usize = (8 << 10) - 1;

/// How much of a body is promised room ahead of its arrival, in bytes.
const AHEAD: usize = 64 << 10;

/// The largest body where no rule sets a limit, in bytes; no more than that is set aside at once
/// for a body, and no more is read of the rest of a refused one.
pub(super) const MAX_BODY: usize = 4 << 20;

/// How many times its size a buffer may take while it grows, since it is copied then.
pub(super) const GROWTH_FACTOR: usize = 2;

/// The time that reading the rest of a refused body may take: the `lingering_timeout` of today's web servers.
const DISCARD_LIMIT: Duration = Duration::from_secs(5);

/// How large a body may be.
pub(super) struct BodyLimit {
    pub(super) bytes: usize,
    /// What sets the bound, as callers are told.
    pub(super) phrase: &'static str,
}

/// A refusal before a request is queued.
pub(super) type Rejection = Box<Response<Body>>;

/// Why a body was not taken in.
enum Untaken {
    /// It broke off, or is larger than its bound.
    Failed(Box<dyn Error + Send + Sync>),
    /// There is no memory for it.
    NoRoom,
}

/// Reads a body whole; refuses the request with `unroomed` where there is no memory for it.
pub(super) async fn receive_body(
    memory: &MemoryBudget,
    body: &mut Incoming,
    bound: BodyLimit,
    limit: Duration,
    unroomed: impl FnOnce() -> Rejection,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let named = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if named > bound.bytes {
        return Err(too_large(&bound));
    }
    let mut body = Limited::new(body, bound.bytes);
    let (status, title, detail) = match timeout(limit, read(memory, &mut body)).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(Untaken::NoRoom)) => return Err(unroomed()),
        Ok(Err(Untaken::Failed(err))) if err.is::<LengthLimitError>() => {
            return Err(too_large(&bound));
        }
        Ok(Err(Untaken::Failed(_))) => (StatusCode::BAD_REQUEST, "bad-body", "the body broke off"),
        Err(_) => (
            StatusCode::REQUEST_TIMEOUT,
            "slow-body",
            "the body did not arrive in time",
        ),
    };
    Err(Box::new(reject(status, title, detail)))
}

#[cold]
fn too_large(bound: &BodyLimit) -> Rejection {
    let detail = format!("the body is larger than {}", bound.phrase);
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    Box::new(reject(status, "body-too-large", &detail))
}

/// Reads a body, which is promised room as it arrives.
async fn read(memory: &MemoryBudget, body: &mut Limited<&mut Incoming>) -> Result<Bytes, Untaken> {
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut holding = memory.reserve(expected.min(AHEAD)).ok_or(Untaken::NoRoom)?;
    let mut whole = BytesMut::with_capacity(expected.min(MAX_BODY));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Untaken::Failed)?.into_data() else {
            continue;
        };
        let size = whole.len() + data.len();
        let needed = match size > expected {
            true => size * GROWTH_FACTOR,
            false => size.next_multiple_of(AHEAD).min(expected),
        };
        if !holding.grow(needed) {
            return Err(Untaken::NoRoom);
        }
        whole.extend_from_slice(&data);
    }
    Ok(with_reservation(whole.freeze(), holding))
}

/// Reads what is left of a refused request's body while the answer leaves. Closing the connection
/// with bytes unread would reset it, and the caller could lose the answer.
pub(super) fn discard(body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    spawn(async move {
        let mut rest = Limited::new(body, MAX_BODY);
        let read = async { while let Some(Ok(_)) = rest.frame().await {} };
        let _ = timeout(DISCARD_LIMIT, read).await;
    })
    .detach();
}

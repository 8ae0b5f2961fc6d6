//! The body of a response to a caller.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::{
    Stream,
    stream::LocalBoxStream, //
};
use hyper::{
    Response,
    Version,
    body::{
        Frame,
        SizeHint, //
    },
    header::CONTENT_LENGTH, //
};

use super::{
    fields::to_header_map,
    stream::ResetHandle, //
};
use crate::router::Reply;

/// The error of an answer that ended early. hyper then closes the connection without the end mark
/// of the body, so that the caller can see that the answer is incomplete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer ended before it was complete")]
pub(super) struct Truncated;

/// The parts of an answer after its head, where the answer has not arrived complete.
pub(super) struct Streamed {
    /// The parts that arrived together with the head.
    pub(super) buffered: Vec<Reply>,
    pub(super) replies: UnboundedReceiver<Reply>,
    /// Called with the number of body bytes that were passed to hyper.
    pub(super) on_consumed: Box<dyn Fn(u64)>,
    pub(super) guard: DisconnectGuard,
}

/// Reports that the caller has disconnected if it is dropped before the answer has ended.
pub(super) struct DisconnectGuard {
    /// Called on drop; `None` once the answer has ended.
    pub(super) on_disconnect: Option<Box<dyn FnOnce()>>,
}

impl DisconnectGuard {
    /// Records that the answer has ended, so that nothing is reported.
    pub(super) fn disarm(&mut self) {
        self.on_disconnect = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(on_disconnect) = self.on_disconnect.take() {
            on_disconnect();
        }
    }
}

/// The body of a response, complete or still arriving.
pub(super) enum Body {
    /// The complete body, until hyper has taken it.
    Full(Option<Bytes>),
    /// A body whose parts arrive from the state machine of a router.
    Streamed(Box<Streamed>),
    /// A body that arrives from a target to which a gateway has sent the request itself.
    Relay(LocalBoxStream<'static, Result<Frame<Bytes>, Truncated>>),
    /// A body that ends with its connection, which is reset unless the body ends in order.
    CloseDelimited(Box<Body>, ResetHandle),
}

impl Body {
    pub(super) fn full(bytes: Bytes) -> Self {
        Body::Full(Some(bytes))
    }
}

/// Returns the response for a caller with this version of HTTP. HTTP/1.0 has no chunks, so a body
/// whose length is not known ends with its connection.
pub(super) fn for_version(
    response: Response<Body>,
    version: Version,
    reset: &ResetHandle,
) -> Response<Body> {
    let sized =
        matches!(response.body(), Body::Full(_)) || response.headers().contains_key(CONTENT_LENGTH);
    match version == Version::HTTP_10 && !sized {
        true => response.map(|body| Body::CloseDelimited(Box::new(body), reset.clone())),
        false => response,
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let answer = match self.get_mut() {
            Body::Full(bytes) => {
                return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))));
            }
            Body::Relay(frames) => return frames.as_mut().poll_next(cx),
            Body::CloseDelimited(body, reset) => {
                reset.arm();
                let polled = Pin::new(&mut **body).poll_frame(cx);
                let ended = match &polled {
                    Poll::Ready(Some(Ok(frame))) => frame.is_trailers(),
                    Poll::Ready(None) => true,
                    _ => false,
                };
                if ended {
                    reset.disarm();
                }
                return polled;
            }
            Body::Streamed(answer) => answer,
        };
        let reply = match answer.buffered.is_empty() {
            false => Some(answer.buffered.remove(0)),
            true => match Pin::new(&mut answer.replies).poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(reply) => reply,
            },
        };
        Poll::Ready(match reply {
            Some(Reply::Data(data)) => {
                (answer.on_consumed)(data.len() as u64);
                Some(Ok(Frame::data(data)))
            }
            Some(Reply::End(end)) => {
                answer.guard.disarm();
                let trailers = to_header_map(&end.trailers);
                (!trailers.is_empty()).then(|| Ok(Frame::trailers(trailers)))
            }
            Some(Reply::Break) => {
                answer.guard.disarm();
                Some(Err(Truncated))
            }
            // The channel was closed, or the reply cannot follow a head. Either is an error unless
            // the answer has ended.
            _ if answer.guard.on_disconnect.is_none() => None,
            _ => Some(Err(Truncated)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Body::Streamed(_) | Body::Relay(_) | Body::CloseDelimited(..) => SizeHint::default(),
        }
    }
}

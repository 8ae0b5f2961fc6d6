//! The body of an answer to a caller.

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
use hyper::body::{
    Frame,
    SizeHint, //
};

use super::fields::to_header_map;
use crate::router::Reply;

/// An answer that broke off; hyper then closes the connection without an end.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer broke off")]
pub(super) struct Truncated;

/// What becomes of an answer after its head.
pub(super) struct Pending {
    pub(super) first: Vec<Reply>,
    pub(super) replies: UnboundedReceiver<Reply>,
    pub(super) taken: Box<dyn Fn(u64)>,
    pub(super) guard: Guard,
}

/// Tells the router that the caller has gone, unless the answer was ended.
pub(super) struct Guard {
    pub(super) gone: Option<Box<dyn FnOnce()>>,
}

impl Guard {
    /// Notes that the answer has ended.
    pub(super) fn disarm(&mut self) {
        self.gone = None;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(gone) = self.gone.take() {
            gone();
        }
    }
}

/// The body of an answer, whole or still arriving.
pub(super) enum Body {
    /// It is here.
    Full(Option<Bytes>),
    /// It arrives.
    Pending(Box<Pending>),
    /// It arrives from a target that this process calls itself.
    Relay(LocalBoxStream<'static, Result<Frame<Bytes>, Truncated>>),
}

impl Body {
    pub(super) fn full(bytes: Bytes) -> Self {
        Body::Full(Some(bytes))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let pending = match self.get_mut() {
            Body::Full(bytes) => {
                return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))));
            }
            Body::Relay(frames) => return frames.as_mut().poll_next(cx),
            Body::Pending(pending) => pending,
        };
        let reply = match pending.first.is_empty() {
            false => Some(pending.first.remove(0)),
            true => match Pin::new(&mut pending.replies).poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(reply) => reply,
            },
        };
        Poll::Ready(match reply {
            Some(Reply::Data(data)) => {
                (pending.taken)(data.len() as u64);
                Some(Ok(Frame::data(data)))
            }
            Some(Reply::End(end)) => {
                pending.guard.disarm();
                let trailers = to_header_map(&end.trailers);
                (!trailers.is_empty()).then(|| Ok(Frame::trailers(trailers)))
            }
            Some(Reply::Break) => {
                pending.guard.disarm();
                Some(Err(Truncated))
            }
            _ if pending.guard.gone.is_none() => None,
            _ => Some(Err(Truncated)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Body::Pending(_) | Body::Relay(_) => SizeHint::default(),
        }
    }
}

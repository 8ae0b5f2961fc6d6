//! The HTTP calls of a sidecar to its target.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use derive_more::{
    Display,
    Error,
    From, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Method,
    Request,
    Uri,
    header::{
        HOST,
        HeaderValue, //
    }, //
};

use super::{
    dial::{
        Connections,
        DialError,
        DialLimits, //
    },
    ending::{
        judge_end,
        start_progress, //
    },
    fields::{
        end_to_end_fields,
        to_header_map, //
    }, //
};
use crate::{
    answer::Flaw,
    wire::{
        Dispatch,
        End,
        Head, //
    }, //
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call failed.
#[derive(Debug, Display, Error, From)]
pub(super) enum CallError {
    /// The request got no answer.
    #[display("{_0}")]
    Dial(DialError),
    /// The connection failed during the answer.
    #[display("the connection failed during the answer: {_0}")]
    Http(hyper::Error),
    /// The answer ended with its connection and is not whole.
    #[display("the answer broke off: {_0}")]
    #[from(skip)]
    Incomplete(#[error(not(source))] Flaw),
    /// The request is not valid HTTP. The target has not seen it.
    #[display("the request is not valid: {_0}")]
    Request(hyper::http::Error),
}

impl CallError {
    /// Returns whether the target may have seen the request.
    pub(super) fn is_sent(&self) -> bool {
        match self {
            CallError::Dial(err) => err.is_sent(),
            CallError::Http(_) | CallError::Incomplete(_) => true,
            CallError::Request(_) => false,
        }
    }
}

/// A part of the target's answer.
pub(super) struct AnswerChunk {
    /// The status and header fields, in the first chunk only.
    pub(super) head: Option<Head>,
    pub(super) data: Bytes,
    /// The end of the answer, in the last chunk only.
    pub(super) end: Option<End>,
}

/// The target of a sidecar and the connections to it.
#[derive(Debug)]
pub(super) struct Target {
    connections: Connections,
}

impl Target {
    pub(super) fn new(address: SocketAddr) -> Self {
        let limits = DialLimits {
            connect_timeout: CONNECT_TIMEOUT,
        };
        let connections = Connections::new(address, limits);
        Self { connections }
    }

    /// Sends a request and passes its answer to `on_chunk`, chunk by chunk.
    ///
    /// `wait_for_space` provides backpressure: it is awaited before more of the answer is read.
    /// `is_leaving` tells whether the target is known to stop.
    pub(super) async fn call(
        &self,
        dispatch: &Dispatch,
        mut on_chunk: impl FnMut(AnswerChunk),
        wait_for_space: impl AsyncFn(),
        is_leaving: impl Fn() -> bool,
    ) -> Result<(), CallError> {
        let request = self.request(dispatch)?;
        let (response, sender) = self.connections.send(request, None, || true).await?;
        let (parts, mut body) = response.into_parts();
        let mut progress = start_progress(&parts, &body, false);
        let mut head = Some(Head {
            status: parts.status.as_u16(),
            method: String::new(),
            path: String::new(),
            fields: end_to_end_fields(&parts.headers),
        });
        let mut length = 0;
        let mut trailers = Vec::new();
        // Data that may be the last, so that the end of the answer goes into the same chunk. A
        // short answer is then a single chunk with head, data and end.
        let mut pending = None;
        while let Some(frame) = body.frame().await {
            match frame?.into_data() {
                Ok(data) => {
                    progress.push(&data);
                    length += data.len() as u64;
                    let previous = pending.replace(data);
                    if let Some(data) = previous {
                        on_chunk(AnswerChunk {
                            head: head.take(),
                            data,
                            end: None,
                        });
                    }
                    if hyper::body::Body::size_hint(&body).exact() != Some(0) {
                        on_chunk(AnswerChunk {
                            head: head.take(),
                            data: pending.take().unwrap_or_default(),
                            end: None,
                        });
                        wait_for_space().await;
                    }
                }
                Err(frame) => {
                    if let Ok(fields) = frame.into_trailers() {
                        trailers = end_to_end_fields(&fields);
                    }
                }
            }
        }
        let (judged, _) = judge_end(&dispatch.id, &progress, &self.connections, is_leaving).await;
        judged.map_err(CallError::Incomplete)?;
        self.connections.put_idle(sender, &parts.headers);
        on_chunk(AnswerChunk {
            head,
            data: pending.unwrap_or_default(),
            end: Some(End { length, trailers }),
        });
        Ok(())
    }

    /// Builds the request for the target. `Content-Length` is removed, as hyper sets it from the
    /// body, and a missing `Host` is set to the target's address.
    fn request(&self, dispatch: &Dispatch) -> Result<Request<Full<Bytes>>, CallError> {
        let head = &dispatch.head;
        let method =
            Method::from_bytes(head.method.as_bytes()).map_err(hyper::http::Error::from)?;
        let uri: Uri = head.path.parse().map_err(hyper::http::Error::from)?;
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(dispatch.body.clone()))?;
        *request.headers_mut() = to_header_map(&head.fields);
        request.headers_mut().remove(hyper::header::CONTENT_LENGTH);
        if !request.headers().contains_key(HOST) {
            let host = HeaderValue::try_from(self.connections.address().to_string());
            request
                .headers_mut()
                .insert(HOST, host.map_err(hyper::http::Error::from)?);
        }
        Ok(request)
    }
}

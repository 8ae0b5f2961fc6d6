//! Calls of a sidecar to its target.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use compio::{
    net::TcpStream,
    runtime::spawn,
    time::timeout, //
};
use cyper_core::HyperStream;
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
    Response,
    Uri,
    body::Incoming,
    client::conn::http1::{
        SendRequest,
        handshake, //
    },
    header::{
        HOST,
        HeaderValue, //
    }, //
};

use super::fields::{
    forward,
    restore, //
};
use crate::wire::{
    Dispatch,
    End,
    Head, //
};

/// The time that connecting to the target may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// The idle connections that are kept.
const MAX_IDLE: usize = 64;

/// Why a call failed.
#[derive(Debug, Display, Error, From)]
pub(super) enum CallError {
    /// No connection could be opened; the target has not seen the request.
    #[display("the target cannot be reached: {_0}")]
    Connect(std::io::Error),
    /// Connecting took too long; the target has not seen the request.
    #[display("connecting to the target took too long")]
    #[from(skip)]
    Slow,
    /// The call broke off; the target may have seen the request.
    #[display("the call broke off: {_0}")]
    Http(hyper::Error),
    /// The request is not valid HTTP; the target has not seen it.
    #[display("the request is not valid: {_0}")]
    Request(hyper::http::Error),
}

impl CallError {
    /// Returns whether the target may have seen the request.
    pub(super) fn is_sent(&self) -> bool {
        matches!(self, CallError::Http(_))
    }
}

/// A piece of the target's answer.
pub(super) struct Piece {
    pub(super) head: Option<Head>,
    pub(super) data: Bytes,
    pub(super) end: Option<End>,
}

/// A target with its idle connections.
#[derive(Debug)]
pub(super) struct Target {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl Target {
    pub(super) fn new(address: SocketAddr) -> Self {
        let idle = RefCell::default();
        Self { address, idle }
    }

    /// Sends a request and hands on its answer piece by piece.
    ///
    /// `room` is awaited before each further piece is read.
    pub(super) async fn call(
        &self,
        dispatch: &Dispatch,
        mut take: impl FnMut(Piece),
        room: impl AsyncFn(),
    ) -> Result<(), CallError> {
        let (response, sender) = self.open(dispatch).await?;
        let (parts, mut body) = response.into_parts();
        let mut head = Some(Head {
            status: parts.status.as_u16(),
            method: String::new(),
            path: String::new(),
            fields: forward(&parts.headers),
        });
        let mut length = 0;
        let mut trailers = Vec::new();
        // A short answer comes with its head and end in one piece.
        let mut held = None;
        while let Some(frame) = body.frame().await {
            match frame?.into_data() {
                Ok(data) => {
                    length += data.len() as u64;
                    let data = held.replace(data);
                    if let Some(data) = data {
                        take(Piece {
                            head: head.take(),
                            data,
                            end: None,
                        });
                    }
                    if hyper::body::Body::size_hint(&body).exact() != Some(0) {
                        take(Piece {
                            head: head.take(),
                            data: held.take().unwrap_or_default(),
                            end: None,
                        });
                        room().await;
                    }
                }
                Err(frame) => {
                    if let Ok(map) = frame.into_trailers() {
                        trailers = forward(&map);
                    }
                }
            }
        }
        self.keep(sender);
        take(Piece {
            head,
            data: held.unwrap_or_default(),
            end: Some(End { length, trailers }),
        });
        Ok(())
    }

    /// Sends a request on an idle or a new connection.
    async fn open(
        &self,
        dispatch: &Dispatch,
    ) -> Result<(Response<Incoming>, SendRequest<Full<Bytes>>), CallError> {
        let mut request = self.request(dispatch)?;
        loop {
            let reused = self.reuse();
            let fresh = reused.is_none();
            let mut sender = match reused {
                Some(sender) => sender,
                None => self.connect().await?,
            };
            if sender.ready().await.is_err() && !fresh {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
                Err(mut err) => match err.take_message() {
                    // The connection closed before any byte of the request was written.
                    Some(unsent) if !fresh => request = unsent,
                    _ => return Err(CallError::Http(err.into_error())),
                },
            }
        }
    }

    fn reuse(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|sender| !sender.is_closed());
        idle.pop()
    }

    fn keep(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && !sender.is_closed() {
            idle.push(sender);
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(self.address))
            .await
            .map_err(|_| CallError::Slow)??;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(HyperStream::new_plain(stream)).await?;
        spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }

    fn request(&self, dispatch: &Dispatch) -> Result<Request<Full<Bytes>>, CallError> {
        let head = &dispatch.head;
        let method =
            Method::from_bytes(head.method.as_bytes()).map_err(hyper::http::Error::from)?;
        let uri: Uri = head.path.parse().map_err(hyper::http::Error::from)?;
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(dispatch.body.clone()))?;
        *request.headers_mut() = restore(&head.fields);
        request.headers_mut().remove(hyper::header::CONTENT_LENGTH);
        if !request.headers().contains_key(HOST) {
            let host = HeaderValue::try_from(self.address.to_string());
            request
                .headers_mut()
                .insert(HOST, host.map_err(hyper::http::Error::from)?);
        }
        Ok(request)
    }
}

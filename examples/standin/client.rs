//! An HTTP client that plays a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use compio::{
    net::TcpStream,
    runtime::spawn, //
};
use cyper_core::HyperStream;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    client::conn::http1::{
        SendRequest,
        handshake, //
    }, //
};

/// A caller with one connection, which is opened for the first request and reused while it lasts.
pub struct Client {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body was received to its end, without an error or an early close.
    pub complete: bool,
}

impl Answer {
    /// Returns the `ran` member of a refusal's problem document, which tells whether the request
    /// has run.
    pub fn ran(&self) -> Option<String> {
        let problem: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        Some(problem.get("ran")?.as_str()?.to_owned())
    }
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        let sender = None;
        Self { address, sender }
    }

    /// Sends a request and reads the whole answer. Returns `None` if the request is invalid, the
    /// connection fails, or no answer arrives.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Answer> {
        let mut builder = Request::builder()
            .method(Method::from_bytes(method.as_bytes()).ok()?)
            .uri(path);
        if !fields.iter().any(|(name, _)| *name == "host") {
            builder = builder.header("host", self.address.to_string());
        }
        for (name, value) in fields {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(body.into())).ok()?;
        let mut sender = match self.sender.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        sender.ready().await.ok()?;
        let response = sender.send_request(request).await.ok()?;
        let (parts, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        let mut complete = true;
        while let Some(frame) = incoming.frame().await {
            match frame {
                Ok(frame) => body.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        if complete {
            self.sender = Some(sender);
        }
        Some(Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.into(),
            complete,
        })
    }

    /// Opens a connection and spawns the task that drives it.
    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(HyperStream::new_plain(stream)).await.ok()?;
        spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Some(sender)
    }
}

//! Connections to one address, kept for further requests.

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use compio::{
    net::TcpStream,
    runtime::spawn,
    time::timeout, //
};
use derive_more::{
    Display,
    Error,
    From, //
};
use http_body_util::Full;
use hyper::{
    HeaderMap,
    Request,
    Response,
    body::Incoming,
    client::conn::http1::{
        Builder,
        SendRequest, //
    }, //
};
use socket2::{
    SockRef,
    TcpKeepalive, //
};

use super::stream::Stream;

/// The size of a connection's read buffer, in bytes: some events of a stream.
const READ_BUFFER: usize = 4 << 10;

/// The idle connections that are kept: each takes memory at both ends.
const MAX_IDLE: usize = 32;

/// The idle time after which a connection is not used again where the peer names none: below
/// the shortest idle limits in common use.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// How long before the end of the peer's idle limit a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// The time after which data without an acknowledgement, or a probe without an answer, ends
/// a connection: a few retransmissions.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// The idle time after which a connection is probed.
const PROBE_IDLE: Duration = Duration::from_secs(1);

/// How late a wait may end at most that counts.
const LATE: Duration = Duration::from_millis(50);

/// The limits of the connections to an address.
#[derive(Clone, Copy, Debug)]
pub(super) struct DialLimits {
    /// The time that connecting may take.
    pub(super) connect: Duration,
}

/// Why a request got no answer.
#[derive(Debug, Display, Error, From)]
pub(super) enum DialError {
    /// No connection could be opened; the peer has not seen the request.
    #[display("the target cannot be reached: {_0}")]
    Connect(std::io::Error),
    /// Connecting took too long; the peer has not seen the request.
    #[display("connecting to the target took too long")]
    #[from(skip)]
    Slow,
    /// The call broke off; the peer may have seen the request.
    #[display("the call broke off: {_0}")]
    Http(hyper::Error),
}

impl DialError {
    /// Returns whether the peer may have seen the request.
    pub(super) fn is_sent(&self) -> bool {
        matches!(self, DialError::Http(_))
    }
}

/// The sending side of a connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: Instant,
}

/// The connections to one address.
#[derive(Debug)]
pub(super) struct Connections {
    address: SocketAddr,
    limits: DialLimits,
    idle: RefCell<VecDeque<Idle>>,
}

impl Connections {
    pub(super) fn new(address: SocketAddr, limits: DialLimits) -> Self {
        Self {
            address,
            limits,
            idle: RefCell::default(),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request on an idle or a new connection.
    pub(super) async fn open(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), DialError> {
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
                    _ => return Err(DialError::Http(err.into_error())),
                },
            }
        }
    }

    /// Returns the connection that was used last: the others may then time out.
    fn reuse(&self) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|idle| !idle.sender.is_closed() && now < idle.until);
        idle.pop_back().map(|idle| idle.sender)
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(super) fn keep(&self, sender: Sender, headers: &HeaderMap) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_IDLE {
            idle.pop_front();
        }
        if !sender.is_closed() {
            let until = Instant::now() + idle_limit(headers);
            idle.push_back(Idle { sender, until });
        }
    }

    async fn connect(&self) -> Result<Sender, DialError> {
        let connect = std::pin::pin!(TcpStream::connect(self.address));
        let stream = within(self.limits.connect, connect)
            .await
            .ok_or(DialError::Slow)??;
        watch_silence(&stream)?;
        let (sender, connection) = Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER))
            .handshake(Stream::new(stream)?)
            .await?;
        spawn(async move {
            // The request that breaks off reports the error.
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }
}

/// Awaits work for a time; a wait that ends late does not count, as this process was busy then and
/// may not have seen what has arrived.
async fn within<F: Future + Unpin>(limit: Duration, mut work: F) -> Option<F::Output> {
    loop {
        let begun = Instant::now();
        match timeout(limit, &mut work).await {
            Ok(done) => return Some(done),
            Err(_) if begun.elapsed() > limit + LATE => {}
            Err(_) => return None,
        }
    }
}

/// Has the system end a connection whose peer no longer answers.
fn watch_silence(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_IDLE)
        .with_interval(PROBE_IDLE);
    socket.set_tcp_keepalive(&probes)
}

/// Returns how long a connection may stay idle, from the peer's `Keep-Alive` field.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let field = headers.get("keep-alive");
    let text = field.and_then(|value| value.to_str().ok()).unwrap_or("");
    let named = text.split(',').find_map(|part| {
        let seconds = part.trim().strip_prefix("timeout=")?;
        seconds.parse().ok().map(Duration::from_secs)
    });
    let limit = named.map(|limit| limit.saturating_sub(IDLE_MARGIN));
    limit.unwrap_or(DEFAULT_IDLE)
}

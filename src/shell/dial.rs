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
use futures_util::poll;
use http_body_util::Full;
use hyper::{
    HeaderMap,
    Request,
    Response,
    body::Incoming,
    client::conn::http1::{
        self,
        Builder,
        SendRequest, //
    }, //
};
use socket2::{
    SockRef,
    TcpKeepalive, //
};

use super::stream::{
    ShutdownGuard,
    Stream, //
};

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
    pub(super) connect_timeout: Duration,
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

/// The sending side of a connection, which ends with it: a peer whose answer nobody waits for is
/// told so at once, also by a process that is late.
#[derive(Debug)]
pub(super) struct Sender {
    requests: SendRequest<Full<Bytes>>,
    _hangup: ShutdownGuard,
}

/// The work of a connection.
type Connection = http1::Connection<Stream, Full<Bytes>>;

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
    pub(super) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), DialError> {
        loop {
            let Some(mut sender) = self.reuse() else {
                return self.send_on_new(request).await;
            };
            if sender.requests.ready().await.is_err() {
                continue;
            }
            match sender.requests.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
                Err(mut err) => match err.take_message() {
                    // The connection closed before any byte of the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(DialError::Http(err.into_error())),
                },
            }
        }
    }

    /// Sends a request on a new connection, before the connection's own task has its first turn.
    async fn send_on_new(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), DialError> {
        let (mut sender, mut connection) = self.connect().await?;
        let answer = sender.requests.try_send_request(request);
        if poll!(&mut connection).is_pending() {
            spawn(async move {
                // The request that breaks off reports the error.
                let _ = connection.await;
            })
            .detach();
        }
        match answer.await {
            Ok(response) => Ok((response, sender)),
            Err(err) => Err(DialError::Http(err.into_error())),
        }
    }

    /// Returns the connection that was used last: the others may then time out.
    fn reuse(&self) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|idle| !idle.sender.requests.is_closed() && now < idle.until);
        idle.pop_back().map(|idle| idle.sender)
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(super) fn put_idle(&self, sender: Sender, headers: &HeaderMap) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_IDLE {
            idle.pop_front();
        }
        if !sender.requests.is_closed() {
            let until = Instant::now() + idle_limit(headers);
            idle.push_back(Idle { sender, until });
        }
    }

    async fn connect(&self) -> Result<(Sender, Connection), DialError> {
        let connect = std::pin::pin!(TcpStream::connect(self.address));
        let stream = within(self.limits.connect_timeout, connect)
            .await
            .ok_or(DialError::Slow)??;
        watch_silence(&stream)?;
        let stream = Stream::new(stream)?;
        let hangup = stream.shutdown_guard();
        let (requests, connection) = Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER))
            .handshake(stream)
            .await?;
        let sender = Sender {
            requests,
            _hangup: hangup,
        };
        Ok((sender, connection))
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

#[cfg(test)]
mod tests {
    use std::{
        future::poll_fn,
        io::{
            Read,
            Write, //
        },
        net::TcpListener,
        sync::{
            Arc,
            atomic::{
                AtomicU32,
                Ordering, //
            }, //
        },
        task::Poll,
        thread, //
    };

    use compio::runtime::Runtime;

    use super::*;

    /// The other tasks of a busy process, which are always ready, and the time of each of them.
    const BUSY: u32 = 400;
    const BUSY_TIME: Duration = Duration::from_millis(1);

    /// What the peer answers, and how long it then waits to be hung up on.
    const BEGUN: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
    const WAIT: Duration = Duration::from_secs(1);

    /// An answer without a body.
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

    /// Accepts a connection and answers a request; returns how many tasks ran between the two.
    fn answer(listener: TcpListener, ran: Arc<AtomicU32>) -> std::io::Result<u32> {
        let (mut stream, _) = listener.accept()?;
        let accepted = ran.load(Ordering::Relaxed);
        assert!(stream.read(&mut [0; 1_024])? > 0);
        let read = ran.load(Ordering::Relaxed);
        stream.write_all(ANSWER)?;
        Ok(read - accepted)
    }

    /// Keeps a runtime busy with tasks that are ready again at once.
    fn keep_busy(ran: &Arc<AtomicU32>) {
        for _ in 0..BUSY {
            let ran = ran.clone();
            let work = poll_fn(move |cx| {
                thread::sleep(BUSY_TIME);
                ran.fetch_add(1, Ordering::Relaxed);
                cx.waker().wake_by_ref();
                Poll::<()>::Pending
            });
            spawn(work).detach();
        }
    }

    /// The load: a process without processor time. A request that waits for several turns after its
    /// connection was opened is sent on when its caller has gone.
    #[test]
    fn a_new_connection_carries_its_request_in_the_turn_in_which_it_is_open() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let ran = Arc::new(AtomicU32::new(0));
        let counted = ran.clone();
        let target = thread::spawn(move || answer(listener, counted));
        let connect_timeout = Duration::from_secs(2);
        let connections = Connections::new(address, DialLimits { connect_timeout });
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(async {
            keep_busy(&ran);
            let request = Request::new(Full::new(Bytes::new()));
            let sent = spawn(async move { connections.send(request).await.is_ok() });
            assert!(sent.await.expect("it ends"));
        });
        let waited = target.join().expect("the target ends").expect("a request");
        // The rest of a round of 61 tasks, after which sockets are looked at, and one turn.
        assert!(waited <= BUSY + BUSY / 2, "{waited} tasks ran before it");
    }

    /// The load: a process without processor time, in which the connection's own task has no turn
    /// for long after its caller has gone. The target must not work on all the while.
    #[test]
    fn a_target_is_hung_up_on_without_another_turn() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let target = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut bytes = [0; 1_024];
            assert!(stream.read(&mut bytes).expect("a request") > 0);
            stream.write_all(BEGUN).expect("it is sent");
            stream.set_read_timeout(Some(WAIT)).expect("a valid time");
            stream.read(&mut bytes)
        });
        let connections = Connections::new(
            address,
            DialLimits {
                connect_timeout: WAIT,
            },
        );
        let runtime = Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let request = Request::new(Full::new(Bytes::new()));
            let (response, sender) = connections.send(request).await.expect("an answer");
            drop(sender);
            let read = target.join().expect("the target ends");
            assert_eq!(read.expect("it is hung up on"), 0);
            drop(response);
        });
    }
}

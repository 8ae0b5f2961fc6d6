//! The connection pool for one address: idle connections are kept and used again.

use std::{
    cell::RefCell,
    collections::VecDeque,
    io,
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
    time::{
        sleep,
        timeout, //
    }, //
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
    Stream,
    WriteGate, //
};
use crate::pool::{
    IdleTargetGuard,
    MemoryBudget,
    TargetConnectionGuard, //
};

/// The size of a connection's read buffer, in bytes. It holds a few events of a streamed answer.
const READ_BUFFER: usize = 4 << 10;

/// The number of idle connections that are kept, limited as each takes memory at both ends.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The idle timeout of a connection whose peer states none. It is below the shortest idle timeouts
/// that servers commonly have.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The longest idle timeout that is used of those that peers state.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// How long before the peer's idle timeout a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// The time after which unacknowledged data or an unanswered keepalive probe ends a connection. It
/// leaves time for a few retransmissions.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The idle time before the first keepalive probe, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which a request that waits for a descriptor checks again.
const DESCRIPTOR_PAUSE: Duration = Duration::from_millis(2);

/// How late a timer may fire for its timeout to count.
const MAX_LATENESS: Duration = Duration::from_millis(50);

/// The limits of the connections to an address.
#[derive(Clone, Copy, Debug)]
pub(super) struct DialLimits {
    pub(super) connect_timeout: Duration,
}

/// Why a request got no answer.
#[derive(Debug, Display, Error, From)]
pub(super) enum DialError {
    /// No connection could be opened. The peer has not seen the request.
    #[display("cannot connect to the target: {_0}")]
    Connect(io::Error),
    /// Connecting timed out. The peer has not seen the request.
    #[display("connecting to the target timed out")]
    #[from(skip)]
    ConnectTimeout,
    /// The connection failed during the call. The peer may have seen the request.
    #[display("the connection failed before the answer began: {_0}")]
    Http(hyper::Error),
    /// The peer changed the protocol, which no request asks for. It has seen the request.
    #[display("the target answered with status 101, which nobody asked for")]
    #[from(skip)]
    Upgraded,
    /// The request was no longer wanted when it would have been written. The peer has not seen it.
    #[display("the request was withdrawn")]
    #[from(skip)]
    Withdrawn,
}

impl DialError {
    /// Returns whether the peer may have seen the request.
    pub(super) fn is_sent(&self) -> bool {
        matches!(self, DialError::Http(_) | DialError::Upgraded)
    }
}

/// Whether a peer accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Probe {
    Connected,
    /// Nothing listens at the address.
    Refused,
    /// There was no reply, or the connection failed.
    Unknown,
}

/// The sending side of a connection. Dropping it closes the connection at once, even if the
/// connection's own task has no turn for long, so that the peer stops working on an answer that
/// nobody waits for.
#[derive(Debug)]
pub(super) struct Sender {
    requests: SendRequest<Full<Bytes>>,
    gate: WriteGate,
    /// The last request that was sent on the connection, where it can be named.
    last: Option<RequestHash>,
    _hangup: ShutdownGuard,
}

/// The hash of the id under which a peer knows a request.
pub(super) type RequestHash = u64;

impl Sender {
    /// Returns the error of a request that was sent on this connection and failed.
    fn error(&self, err: hyper::Error) -> DialError {
        match self.gate.has_refused() {
            true => DialError::Withdrawn,
            false => DialError::Http(err),
        }
    }
}

/// Returns a response with its connection, unless it is no final one: after a status of 101 the connection
/// speaks another protocol, and it is closed.
fn final_response(
    response: Response<Incoming>,
    sender: Sender,
) -> Result<(Response<Incoming>, Sender), DialError> {
    match response.status().is_informational() {
        true => Err(DialError::Upgraded),
        false => Ok((response, sender)),
    }
}

/// The future that reads from and writes to a connection.
type Connection = http1::Connection<Stream, Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    /// When the connection is no longer used, as the peer may close it.
    until: Instant,
    _counted: Option<IdleTargetGuard>,
}

/// The connection pool for one address.
#[derive(Debug)]
pub(super) struct Connections {
    address: SocketAddr,
    limits: DialLimits,
    /// The idle connections, the one used last at the back.
    idle: RefCell<VecDeque<Idle>>,
    /// Where each connection is counted, if the process has a memory budget.
    memory: Option<MemoryBudget>,
}

impl Connections {
    pub(super) fn new(address: SocketAddr, limits: DialLimits) -> Self {
        Self {
            address,
            limits,
            idle: RefCell::default(),
            memory: None,
        }
    }

    /// Counts the connections in a memory budget.
    pub(super) fn with_memory(self, memory: MemoryBudget) -> Self {
        Self {
            memory: Some(memory),
            ..self
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request on an idle or a new connection, and returns the response once its head has
    /// arrived.
    ///
    /// An idle connection that turns out to be closed is replaced, as long as no byte of the
    /// request has been written. `is_wanted` is asked at the moment of the first write.
    ///
    /// A connection whose last request had the same `hash` is not used: an answer to that one that
    /// the peer writes once more could not be told from the right one.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached, the connection fails, or the request is not wanted.
    pub(super) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        hash: Option<RequestHash>,
        is_wanted: impl Fn() -> bool + Clone + 'static,
    ) -> Result<(Response<Incoming>, Sender), DialError> {
        loop {
            let Some(mut sender) = self.take_idle(hash) else {
                return self.send_on_new(request, hash, is_wanted).await;
            };
            if sender.requests.ready().await.is_err() {
                continue;
            }
            sender.gate.set(is_wanted.clone());
            sender.last = hash;
            match sender.requests.try_send_request(request).await {
                Ok(response) => return final_response(response, sender),
                Err(mut err) => match err.take_message() {
                    // The connection closed before any byte of the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(sender.error(err.into_error())),
                },
            }
        }
    }

    /// Sends a request on a new connection.
    ///
    /// The connection is polled once here, so that the request is written without waiting for the
    /// first turn of the connection's own task, which comes late in a process without processor
    /// time.
    async fn send_on_new(
        &self,
        request: Request<Full<Bytes>>,
        hash: Option<RequestHash>,
        is_wanted: impl Fn() -> bool + 'static,
    ) -> Result<(Response<Incoming>, Sender), DialError> {
        let (mut sender, mut connection) = self.connect().await?;
        sender.gate.set(is_wanted);
        sender.last = hash;
        let response_future = sender.requests.try_send_request(request);
        if poll!(&mut connection).is_pending() {
            spawn(async move {
                // The request that is interrupted reports the error.
                let _ = connection.await;
            })
            .detach();
        }
        match response_future.await {
            Ok(response) => final_response(response, sender),
            Err(err) => Err(sender.error(err.into_error())),
        }
    }

    /// Takes the idle connection that was used last, so that surplus connections reach their idle
    /// timeout, but none whose last request had the same `hash`.
    fn take_idle(&self, hash: Option<RequestHash>) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|idle| !idle.sender.requests.is_closed() && now < idle.until);
        let is_free = |idle: &Idle| hash.is_none() || idle.sender.last != hash;
        let at = idle.iter().rposition(is_free)?;
        idle.remove(at).map(|idle| idle.sender)
    }

    /// Returns a connection to the pool once its answer has been read completely. It is closed instead
    /// if its memory is needed for callers.
    pub(super) fn put_idle(&self, sender: Sender, headers: &HeaderMap) {
        if self
            .memory
            .as_ref()
            .is_some_and(|memory| !memory.has_room())
        {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            idle.pop_front();
        }
        if !sender.requests.is_closed() {
            let until = Instant::now() + idle_timeout(headers);
            let memory = self.memory.as_ref();
            let _counted = memory.map(MemoryBudget::track_idle_target);
            idle.push_back(Idle {
                sender,
                until,
                _counted,
            });
        }
    }

    /// Finds out whether the peer still accepts connections. A connection that is made is kept for
    /// the next request.
    pub(super) async fn probe(&self) -> Probe {
        match self.connect().await {
            Ok((sender, connection)) => {
                spawn(async move {
                    // The request that is interrupted reports the error.
                    let _ = connection.await;
                })
                .detach();
                self.put_idle(sender, &HeaderMap::new());
                Probe::Connected
            }
            Err(DialError::Connect(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
                Probe::Refused
            }
            Err(_) => Probe::Unknown,
        }
    }

    /// Waits while more connections are open than requests need. Those that are dropped close with the
    /// next turn of their tasks, which come late while callers keep the process busy.
    async fn wait_for_descriptor(&self) -> Result<Option<TargetConnectionGuard>, DialError> {
        let Some(memory) = &self.memory else {
            return Ok(None);
        };
        let start = Instant::now();
        while !memory.may_connect() {
            if start.elapsed() > self.limits.connect_timeout {
                return Err(DialError::ConnectTimeout);
            }
            sleep(DESCRIPTOR_PAUSE).await;
        }
        Ok(Some(memory.track_target_connection()))
    }

    async fn connect(&self) -> Result<(Sender, Connection), DialError> {
        let counted = self.wait_for_descriptor().await?;
        let connect = std::pin::pin!(TcpStream::connect(self.address));
        let stream = timeout_unless_late(self.limits.connect_timeout, connect)
            .await
            .ok_or(DialError::ConnectTimeout)??;
        set_socket_options(&stream)?;
        let stream = Stream::new(stream)?.counted(counted);
        let hangup = stream.shutdown_guard();
        let gate = stream.write_gate();
        let (requests, connection) = Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER))
            .handshake(stream)
            .await?;
        let sender = Sender {
            requests,
            gate,
            last: None,
            _hangup: hangup,
        };
        Ok((sender, connection))
    }
}

/// Waits for a future with a timeout, and returns `None` once that has passed.
///
/// If the timer fires late by more than [`MAX_LATENESS`], the wait starts again: the event loop was
/// then too busy to notice what had arrived.
async fn timeout_unless_late<F: Future + Unpin>(
    limit: Duration,
    mut future: F,
) -> Option<F::Output> {
    loop {
        let start = Instant::now();
        match timeout(limit, &mut future).await {
            Ok(output) => return Some(output),
            Err(_) if start.elapsed() > limit + MAX_LATENESS => {}
            Err(_) => return None,
        }
    }
}

/// Sets the socket options of a connection: it sends without delay, and the operating system ends
/// it once its peer no longer acknowledges data or answers keepalive probes.
fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}

/// Returns how long a connection may be idle, from the peer's `Keep-Alive` header field.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let field = headers.get("keep-alive");
    let text = field.and_then(|value| value.to_str().ok()).unwrap_or("");
    let stated = text.split(',').find_map(|part| {
        let seconds = part.trim().strip_prefix("timeout=")?;
        seconds.parse().ok().map(Duration::from_secs)
    });
    let limit = stated.map(|limit| limit.saturating_sub(IDLE_MARGIN));
    limit.unwrap_or(DEFAULT_IDLE_TIMEOUT).min(MAX_IDLE_TIMEOUT)
}

#[cfg(test)]
mod tests {
    use std::{
        cell::Cell,
        future::poll_fn,
        io::{
            Read,
            Write, //
        },
        net::TcpListener,
        rc::Rc,
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

    /// The number of the other tasks of a busy process, which are always ready to run.
    const BUSY_TASKS: u32 = 400;

    /// The time that each of these tasks takes for one turn.
    const TURN_TIME: Duration = Duration::from_millis(1);

    /// The beginning of an answer whose body does not follow.
    const PARTIAL_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";

    /// The timeout for connecting, and for the close that the target waits for.
    const WAIT_LIMIT: Duration = Duration::from_secs(1);

    /// An answer without a body.
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

    /// Accepts a connection and answers a request. Returns how many turns of tasks, as counted by
    /// `turns`, passed between the accept and the arrival of the request.
    fn serve_one(listener: TcpListener, turns: Arc<AtomicU32>) -> std::io::Result<u32> {
        let (mut stream, _) = listener.accept()?;
        let at_accept = turns.load(Ordering::Relaxed);
        assert!(stream.read(&mut [0; 1_024])? > 0);
        let at_request = turns.load(Ordering::Relaxed);
        stream.write_all(ANSWER)?;
        Ok(at_request - at_accept)
    }

    /// Keeps a runtime busy with tasks that are always ready, and counts their turns.
    fn spawn_busy_tasks(turns: &Arc<AtomicU32>) {
        for _ in 0..BUSY_TASKS {
            let turns = turns.clone();
            let work = poll_fn(move |cx| {
                thread::sleep(TURN_TIME);
                turns.fetch_add(1, Ordering::Relaxed);
                cx.waker().wake_by_ref();
                Poll::<()>::Pending
            });
            spawn(work).detach();
        }
    }

    /// The first write must not wait for the turn of the connection's own task. In a process
    /// without processor time the request would wait for several turns, and be sent after its
    /// caller has gone.
    #[test]
    fn new_connection_sends_its_request_in_the_turn_in_which_it_opens() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let turns = Arc::new(AtomicU32::new(0));
        let counter = turns.clone();
        let target = thread::spawn(move || serve_one(listener, counter));
        let connect_timeout = Duration::from_secs(2);
        let connections = Connections::new(address, DialLimits { connect_timeout });
        let runtime = Runtime::new().expect("a runtime starts");
        runtime.block_on(async {
            spawn_busy_tasks(&turns);
            let request = Request::new(Full::new(Bytes::new()));
            let sent = spawn(async move { connections.send(request, None, || true).await.is_ok() });
            assert!(sent.await.expect("the sending task ends"));
        });
        let waited = target
            .join()
            .expect("the target thread ends")
            .expect("the target reads a request");
        // At most the rest of a batch of 61 tasks, after which the runtime polls the sockets, and
        // one round of all tasks.
        assert!(
            waited <= BUSY_TASKS + BUSY_TASKS / 2,
            "{waited} turns passed before the request"
        );
    }

    struct Withdrawal {
        /// Whether an earlier request has left a connection.
        kept: bool,
    }

    /// A request whose caller closed before the connection's own task had a turn was still written.
    #[test]
    fn a_request_that_is_not_wanted_any_more_is_not_written() {
        for case in [Withdrawal { kept: false }, Withdrawal { kept: true }] {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("the listener has an address");
            let target = thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("a connection arrives");
                let mut bytes = [0; 1_024];
                if case.kept {
                    assert!(stream.read(&mut bytes).expect("a request arrives") > 0);
                    stream.write_all(ANSWER).expect("the answer is sent");
                }
                stream
                    .set_read_timeout(Some(WAIT_LIMIT))
                    .expect("the timeout is valid");
                stream.read(&mut bytes)
            });
            let connect_timeout = WAIT_LIMIT;
            let connections = Connections::new(address, DialLimits { connect_timeout });
            let runtime = Runtime::new().expect("a runtime starts");
            runtime.block_on(async {
                let request = || Request::new(Full::new(Bytes::new()));
                if case.kept {
                    let sent = connections.send(request(), None, || true).await;
                    let (response, sender) = sent.expect("the request is answered");
                    connections.put_idle(sender, response.headers());
                }
                let wanted = Rc::new(Cell::new(true));
                let condition = wanted.clone();
                let send = connections.send(request(), None, move || condition.get());
                let mut send = std::pin::pin!(send);
                assert!(poll!(send.as_mut()).is_pending());
                wanted.set(false);
                assert!(matches!(send.await, Err(DialError::Withdrawn)));
                while !target.is_finished() {
                    sleep(TURN_TIME).await;
                }
            });
            let read = target.join().expect("the target thread ends");
            assert_eq!(read.expect("the connection is closed"), 0);
        }
    }

    /// A target must not go on working for a caller that has gone. In a process without processor
    /// time the connection's own task may get no turn for long, so dropping the sender must close
    /// the socket.
    #[test]
    fn dropping_the_sender_closes_the_connection_without_another_turn() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let target = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection arrives");
            let mut bytes = [0; 1_024];
            assert!(stream.read(&mut bytes).expect("a request arrives") > 0);
            stream
                .write_all(PARTIAL_ANSWER)
                .expect("the answer is sent");
            stream
                .set_read_timeout(Some(WAIT_LIMIT))
                .expect("the timeout is valid");
            stream.read(&mut bytes)
        });
        let connections = Connections::new(
            address,
            DialLimits {
                connect_timeout: WAIT_LIMIT,
            },
        );
        let runtime = Runtime::new().expect("a runtime starts");
        runtime.block_on(async {
            let request = Request::new(Full::new(Bytes::new()));
            let (response, sender) = connections
                .send(request, None, || true)
                .await
                .expect("an answer begins");
            drop(sender);
            let read = target.join().expect("the target thread ends");
            assert_eq!(read.expect("the connection is closed in time"), 0);
            drop(response);
        });
    }
}

//! Links between routers and sidecars: QUIC connections that carry messages.
//!
//! Each link uses one bidirectional stream. The first message of each side is its hello. The side
//! that opened the link sends heartbeats while it is idle, and both sides close a link on which
//! nothing arrives any more.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use compio::{
    buf::BufResult,
    io::{
        AsyncRead,
        AsyncWriteExt, //
    },
    quic::{
        ConnectError,
        Connection,
        ConnectionError,
        Endpoint,
        RecvStream,
        SendStream,
        VarInt, //
    },
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
use futures_channel::mpsc::{
    UnboundedReceiver,
    UnboundedSender,
    unbounded, //
};
use futures_util::StreamExt;

use super::{
    Clock,
    tls::PEER_NAME, //
};
use crate::{
    ids::Time,
    wire::{
        self,
        Decoder,
        Hello,
        Message,
        RulesVersion,
        encode, //
    }, //
};

/// The time for which either direction of a link may be idle before the side that opened the link
/// sends a heartbeat. The other side replies with a heartbeat, which carries QUIC's acknowledgement
/// along.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);

/// The time without received data after which a link is closed. The side that opened it then opens
/// a new one.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The interval at which each link is checked for its timeout and for due heartbeats.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The timeout for opening a link, up to and including the peer's hello.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The size of the buffer for one read from a stream, in bytes.
const READ_BYTES: usize = 64 << 10;

/// The number of bytes from which on no further message is added to the same write.
const WRITE_BYTES: usize = 256 << 10;

/// Why a link could not be opened, or why it closed.
#[derive(Debug, Display, Error, From)]
pub enum LinkError {
    /// The connection could not be started.
    #[display("cannot connect: {_0}")]
    Connect(ConnectError),
    /// The connection was lost.
    #[display("connection lost: {_0}")]
    Connection(ConnectionError),
    /// Reading from the stream failed.
    #[display("stream lost: {_0}")]
    Io(io::Error),
    /// The peer sent bytes that do not decode to a message.
    #[display("{_0}")]
    Wire(wire::Error),
    /// The peer's hello did not arrive within the timeout for opening the link, or the peer sent
    /// another message first or closed the stream.
    #[display("the peer did not send a hello as its first message within {OPEN_TIMEOUT:?}")]
    NoHello,
}

/// The sending side of a link. A task writes the messages of its queue to the stream.
#[derive(Clone, Debug)]
pub(super) struct Sender {
    queue: UnboundedSender<Message>,
    connection: Connection,
    counters: Rc<Counters>,
    /// When a message was last queued.
    last_sent: Rc<Cell<Time>>,
    clock: Rc<Clock>,
}

/// The bytes of messages that a process has sent and received on its links.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) sent_bytes: Cell<u64>,
    pub(super) received_bytes: Cell<u64>,
}

impl Sender {
    /// Queues a message. It is dropped if the link has closed.
    pub(super) fn send(&self, message: Message) {
        self.last_sent.set(self.clock.now());
        let _ = self.queue.unbounded_send(message);
    }

    pub(super) fn close(&self) {
        self.connection.close(VarInt::from_u32(0), b"");
    }
}

/// An open link whose peer has sent its hello.
pub(super) struct Link {
    pub(super) hello: Hello,
    pub(super) sender: Sender,
    reader: Reader,
    /// Whether this side opened the link, and therefore sends the heartbeats.
    initiator: bool,
}

/// The receiving side of a link.
struct Reader {
    stream: RecvStream,
    decoder: Decoder,
    last_received: Rc<Cell<Time>>,
    counters: Rc<Counters>,
}

/// The state of a process that all its links share.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) clock: Rc<Clock>,
    pub(super) counters: Rc<Counters>,
    /// Returns the hello of this process, with the rules version that is in force now.
    pub(super) hello: Rc<dyn Fn() -> Hello>,
}

/// Opens a link to a peer.
pub(super) async fn dial(
    endpoint: &Endpoint,
    address: SocketAddr,
    context: &Context,
) -> Result<Link, LinkError> {
    let open = async {
        let connection = endpoint.connect(address, PEER_NAME, None)?.await?;
        let (send, recv) = connection.open_bi_wait().await?;
        exchange_hellos(connection, send, recv, context, true).await
    };
    timeout(OPEN_TIMEOUT, open)
        .await
        .unwrap_or(Err(LinkError::NoHello))
}

/// Accepts a link on a connection that a peer has opened.
pub(super) async fn accept(connection: Connection, context: &Context) -> Result<Link, LinkError> {
    let open = async {
        let (send, recv) = connection.accept_bi().await?;
        exchange_hellos(connection, send, recv, context, false).await
    };
    timeout(OPEN_TIMEOUT, open)
        .await
        .unwrap_or(Err(LinkError::NoHello))
}

/// Sends the hello of this process and waits for that of the peer.
async fn exchange_hellos(
    connection: Connection,
    send: SendStream,
    recv: RecvStream,
    context: &Context,
    initiator: bool,
) -> Result<Link, LinkError> {
    let (queue, messages) = unbounded();
    let last_received = Rc::new(Cell::new(context.clock.now()));
    let sender = Sender {
        queue,
        connection,
        counters: context.counters.clone(),
        last_sent: Rc::default(),
        clock: context.clock.clone(),
    };
    sender.send(Message::Hello((context.hello)()));
    spawn(write(send, messages, sender.counters.clone())).detach();
    let mut reader = Reader {
        stream: recv,
        decoder: Decoder::default(),
        last_received,
        counters: context.counters.clone(),
    };
    let first = reader.next(&context.clock).await?;
    let Some(Message::Hello(hello)) = first else {
        return Err(LinkError::NoHello);
    };
    Ok(Link {
        hello,
        sender,
        reader,
        initiator,
    })
}

impl Link {
    /// Passes each received message to `on_message` until the link fails, closes or times out.
    pub(super) async fn run(
        mut self,
        context: &Context,
        mut on_message: impl FnMut(Message),
    ) -> Result<(), LinkError> {
        let closed = Rc::new(Cell::new(false));
        let monitor = Monitor {
            sender: self.sender.clone(),
            context: context.clone(),
            last_received: self.reader.last_received.clone(),
            initiator: self.initiator,
            closed: closed.clone(),
        };
        spawn(monitor.run()).detach();
        let result = loop {
            match self.reader.next(&context.clock).await {
                Ok(Some(message)) => {
                    if !self.initiator && matches!(message, Message::Heartbeat(_)) {
                        self.sender.send(context.heartbeat());
                    }
                    on_message(message);
                }
                Ok(None) => break Ok(()),
                Err(err) => break Err(err),
            }
        };
        closed.set(true);
        self.sender.close();
        result
    }
}

impl Context {
    fn heartbeat(&self) -> Message {
        let version: RulesVersion = (self.hello)().version;
        Message::Heartbeat(version)
    }
}

/// The task that sends the heartbeats of a link and closes it once it has timed out.
struct Monitor {
    sender: Sender,
    context: Context,
    last_received: Rc<Cell<Time>>,
    initiator: bool,
    closed: Rc<Cell<bool>>,
}

impl Monitor {
    /// Runs until the link has closed or timed out.
    async fn run(self) {
        while !self.closed.get() {
            let now = self.context.clock.now();
            if now > self.last_received.get() + LINK_TIMEOUT {
                self.sender.close();
                return;
            }
            let idle_since = self.last_received.get().min(self.sender.last_sent.get());
            if self.initiator && now >= idle_since + HEARTBEAT_INTERVAL {
                self.sender.send(self.context.heartbeat());
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
}

impl Reader {
    /// Reads the next message; `None` once the peer has closed the stream.
    async fn next(&mut self, clock: &Clock) -> Result<Option<Message>, LinkError> {
        loop {
            if let Some(message) = self.decoder.next_message()? {
                return Ok(Some(message));
            }
            let buf = Vec::with_capacity(READ_BYTES);
            let BufResult(count, buf) = self.stream.read(buf).await;
            let count = count?;
            if count == 0 {
                return Ok(None);
            }
            self.last_received.set(clock.now());
            let counters = &self.counters;
            counters
                .received_bytes
                .set(counters.received_bytes.get() + count as u64);
            self.decoder.extend(&buf[..count]);
        }
    }
}

/// Writes queued messages, and combines those that are ready into one write of about
/// [`WRITE_BYTES`] at most.
async fn write(
    mut stream: SendStream,
    mut messages: UnboundedReceiver<Message>,
    counters: Rc<Counters>,
) {
    while let Some(message) = messages.next().await {
        let mut buf = encode(&message);
        while buf.len() < WRITE_BYTES {
            let Ok(message) = messages.try_recv() else {
                break;
            };
            buf.extend(encode(&message));
        }
        counters
            .sent_bytes
            .set(counters.sent_bytes.get() + buf.len() as u64);
        let BufResult(result, _) = stream.write_all(buf).await;
        if result.is_err() {
            return;
        }
    }
}

/// The open links of a process, one for each peer. A new link to a peer replaces its older one.
#[derive(Debug)]
pub(super) struct Links<K> {
    /// The serial number and the sending side of the link to each peer.
    links: RefCell<std::collections::BTreeMap<K, (u64, Sender)>>,
    /// The serial number of the newest link.
    last_serial: Cell<u64>,
}

impl<K: Ord + Copy> Links<K> {
    pub(super) fn new() -> Self {
        Self {
            links: RefCell::default(),
            last_serial: Cell::new(0),
        }
    }

    /// Adds a link, closes the one that it replaces, and returns the serial number of the new one.
    pub(super) fn insert(&self, peer: K, sender: Sender) -> u64 {
        let serial = self.last_serial.get() + 1;
        self.last_serial.set(serial);
        let old = self.links.borrow_mut().insert(peer, (serial, sender));
        if let Some((_, old)) = old {
            old.close();
        }
        serial
    }

    /// Returns whether a link has not been replaced or removed.
    pub(super) fn is_current(&self, peer: K, serial: u64) -> bool {
        let links = self.links.borrow();
        links
            .get(&peer)
            .is_some_and(|(current, _)| *current == serial)
    }

    /// Removes a link unless it has been replaced, and returns whether it was removed.
    pub(super) fn remove(&self, peer: K, serial: u64) -> bool {
        let current = self.is_current(peer, serial);
        if current {
            self.links.borrow_mut().remove(&peer);
        }
        current
    }

    /// Sends a message to a peer. It is dropped if there is no link to the peer.
    pub(super) fn send(&self, peer: K, message: Message) {
        if let Some((_, sender)) = self.links.borrow().get(&peer) {
            sender.send(message);
        }
    }

    pub(super) fn contains(&self, peer: K) -> bool {
        self.links.borrow().contains_key(&peer)
    }

    pub(super) fn peers(&self) -> Vec<K> {
        self.links.borrow().keys().copied().collect()
    }

    /// Returns the bytes of the UDP packets that the open links have sent and received.
    pub(super) fn bytes(&self) -> u64 {
        let bytes = |(_, sender): &(u64, Sender)| {
            let stats = sender.connection.stats();
            stats.udp_tx.bytes + stats.udp_rx.bytes
        };
        self.links.borrow().values().map(bytes).sum()
    }

    /// Closes the link to a peer. The task that runs the link then removes it.
    pub(super) fn close(&self, peer: K) {
        if let Some((_, sender)) = self.links.borrow().get(&peer) {
            sender.close();
        }
    }
}

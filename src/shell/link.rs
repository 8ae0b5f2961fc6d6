//! Links between the system's processes: QUIC connections that carry messages.

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

/// The idle time after which the side that opened a link sends a heartbeat; the other
/// side answers it, so that the answer carries the transport's acknowledgement.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);

/// The silence after which a link is replaced.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// The interval at which a link is checked for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The time that opening a link may take.
const OPEN_LIMIT: Duration = Duration::from_millis(1_000);

const READ_BYTES: usize = 64 << 10;

/// The bytes of messages that are written at a time.
const WRITE_BYTES: usize = 256 << 10;

/// Why a link could not be opened.
#[derive(Debug, Display, Error, From)]
pub enum LinkError {
    /// The connection could not be started.
    #[display("cannot connect: {_0}")]
    Connect(ConnectError),
    /// The connection broke.
    #[display("connection lost: {_0}")]
    Connection(ConnectionError),
    /// A stream broke.
    #[display("stream lost: {_0}")]
    Io(io::Error),
    /// The peer sent something that is not a message.
    #[display("{_0}")]
    Wire(wire::Error),
    /// The peer did not introduce itself.
    #[display("the peer sent no hello")]
    Silent,
}

/// The sending side of a link.
#[derive(Clone, Debug)]
pub(super) struct Sender {
    queue: UnboundedSender<Message>,
    connection: Connection,
    counters: Rc<Counters>,
    sent: Rc<Cell<Time>>,
    clock: Rc<Clock>,
}

/// What has passed over the links of a process.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) sent_bytes: Cell<u64>,
    pub(super) received_bytes: Cell<u64>,
}

impl Sender {
    /// Queues a message; one for a link that has gone is dropped.
    pub(super) fn send(&self, message: Message) {
        self.sent.set(self.clock.now());
        let _ = self.queue.unbounded_send(message);
    }

    /// Closes the link.
    pub(super) fn close(&self) {
        self.connection.close(VarInt::from_u32(0), b"");
    }
}

/// A link whose peer has introduced itself.
pub(super) struct Link {
    pub(super) hello: Hello,
    pub(super) sender: Sender,
    reader: Reader,
    opened: bool,
}

struct Reader {
    stream: RecvStream,
    decoder: Decoder,
    heard: Rc<Cell<Time>>,
    counters: Rc<Counters>,
}

/// What links need of their process.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) clock: Rc<Clock>,
    pub(super) counters: Rc<Counters>,
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
        introduce(connection, send, recv, context, true).await
    };
    timeout(OPEN_LIMIT, open)
        .await
        .unwrap_or(Err(LinkError::Silent))
}

/// Accepts a link on a connection that a peer has opened.
pub(super) async fn accept(connection: Connection, context: &Context) -> Result<Link, LinkError> {
    let open = async {
        let (send, recv) = connection.accept_bi().await?;
        introduce(connection, send, recv, context, false).await
    };
    timeout(OPEN_LIMIT, open)
        .await
        .unwrap_or(Err(LinkError::Silent))
}

async fn introduce(
    connection: Connection,
    send: SendStream,
    recv: RecvStream,
    context: &Context,
    opened: bool,
) -> Result<Link, LinkError> {
    let (queue, messages) = unbounded();
    let heard = Rc::new(Cell::new(context.clock.now()));
    let sender = Sender {
        queue,
        connection,
        counters: context.counters.clone(),
        sent: Rc::default(),
        clock: context.clock.clone(),
    };
    sender.send(Message::Hello((context.hello)()));
    spawn(write(send, messages, sender.counters.clone())).detach();
    let mut reader = Reader {
        stream: recv,
        decoder: Decoder::default(),
        heard,
        counters: context.counters.clone(),
    };
    let first = reader.next(&context.clock).await?;
    let Some(Message::Hello(hello)) = first else {
        return Err(LinkError::Silent);
    };
    Ok(Link {
        hello,
        sender,
        reader,
        opened,
    })
}

impl Link {
    /// Hands on messages until the link breaks or goes silent.
    pub(super) async fn run(
        mut self,
        context: &Context,
        mut take: impl FnMut(Message),
    ) -> Result<(), LinkError> {
        let done = Rc::new(Cell::new(false));
        let watched = Watched {
            sender: self.sender.clone(),
            context: context.clone(),
            heard: self.reader.heard.clone(),
            opened: self.opened,
            done: done.clone(),
        };
        spawn(watched.watch()).detach();
        let result = loop {
            match self.reader.next(&context.clock).await {
                Ok(Some(message)) => {
                    if !self.opened && matches!(message, Message::Heartbeat(_)) {
                        self.sender.send(context.heartbeat());
                    }
                    take(message);
                }
                Ok(None) => break Ok(()),
                Err(err) => break Err(err),
            }
        };
        done.set(true);
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

/// A link that is watched for silence.
struct Watched {
    sender: Sender,
    context: Context,
    heard: Rc<Cell<Time>>,
    opened: bool,
    done: Rc<Cell<bool>>,
}

impl Watched {
    /// Sends heartbeats and closes a link that has gone silent.
    async fn watch(self) {
        while !self.done.get() {
            let now = self.context.clock.now();
            if now > self.heard.get() + SILENCE_LIMIT {
                self.sender.close();
                return;
            }
            let quiet = self.heard.get().min(self.sender.sent.get());
            if self.opened && now >= quiet + HEARTBEAT_INTERVAL {
                self.sender.send(self.context.heartbeat());
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
}

impl Reader {
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
            self.heard.set(clock.now());
            let counters = &self.counters;
            counters
                .received_bytes
                .set(counters.received_bytes.get() + count as u64);
            self.decoder.extend(&buf[..count]);
        }
    }
}

/// Writes queued messages, as many at a time as are there.
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

/// The open links of a process by peer; a newer link replaces an older one.
#[derive(Debug)]
pub(super) struct Links<K> {
    links: RefCell<std::collections::BTreeMap<K, (u64, Sender)>>,
    serial: Cell<u64>,
}

impl<K: Ord + Copy> Links<K> {
    pub(super) fn new() -> Self {
        Self {
            links: RefCell::default(),
            serial: Cell::new(0),
        }
    }

    /// Adds a link, closes the one that it replaces and returns its number.
    pub(super) fn insert(&self, peer: K, sender: Sender) -> u64 {
        let serial = self.serial.get() + 1;
        self.serial.set(serial);
        let old = self.links.borrow_mut().insert(peer, (serial, sender));
        if let Some((_, old)) = old {
            old.close();
        }
        serial
    }

    /// Returns whether a link is the current one of its peer.
    pub(super) fn is_current(&self, peer: K, serial: u64) -> bool {
        let links = self.links.borrow();
        links
            .get(&peer)
            .is_some_and(|(current, _)| *current == serial)
    }

    /// Removes a link unless it has been replaced, and returns whether it was there.
    pub(super) fn remove(&self, peer: K, serial: u64) -> bool {
        let current = self.is_current(peer, serial);
        if current {
            self.links.borrow_mut().remove(&peer);
        }
        current
    }

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

    /// Returns the bytes of packets that the links have carried both ways.
    pub(super) fn bytes(&self) -> u64 {
        let bytes = |(_, sender): &(u64, Sender)| {
            let stats = sender.connection.stats();
            stats.udp_tx.bytes + stats.udp_rx.bytes
        };
        self.links.borrow().values().map(bytes).sum()
    }

    pub(super) fn close(&self, peer: K) {
        if let Some((_, sender)) = self.links.borrow().get(&peer) {
            sender.close();
        }
    }
}

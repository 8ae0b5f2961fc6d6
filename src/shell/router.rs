//! The router process: connects the state machine of [`crate::router`] to sockets, timers and the
//! configuration service.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        HashMap, //
    },
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    rc::Rc,
    time::Duration, //
};

use compio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    quic::Endpoint,
    runtime::spawn,
    time::sleep, //
};
use cyper_core::CompioTimer;
use derive_more::{
    Display,
    Error,
    From, //
};
use futures_channel::{
    mpsc::{
        UnboundedReceiver,
        UnboundedSender,
        unbounded, //
    },
    oneshot, //
};
use futures_util::future::{
    Either,
    select, //
};
use hyper::{
    Request,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};

use super::{
    Clock,
    KeyError,
    Vm,
    admin,
    body,
    caller_watch::CallerWatch, //
    front,
    intake::{
        IDLE_LIMIT,
        MAX_READ, //
    },
    link::{
        self,
        Context,
        Counters,
        Link,
        Links, //
    },
    memory::{
        self,
        MEASURE_INTERVAL, //
    },
    open_list::OpenList,
    platform::Watch,
    rules_sync::{
        Adopted,
        RulesOutcome,
        RulesSync, //
    },
    stream::Stream,
    tls,
};
use crate::{
    ids::{
        self,
        Incarnation,
        Sequence,
        Target,
        id, //
    },
    member,
    pool::MemoryBudget,
    router::{
        Input,
        Output,
        Reply,
        RequestSpec,
        Router,
        Settings, //
    },
    rules::Rules,
    settings::RouterSettings,
    wire::{
        Hello,
        Message,
        Peer,
        RulesVersion, //
    }, //
};

/// The interval at which a process passes timer ticks to its state machine, and at which waiting
/// loops check their condition again.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The pause before the router tries again to open a link to a parent in the exchange tree.
const DIAL_PAUSE: Duration = Duration::from_millis(200);

/// The largest size of a request's head, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// Why a process could not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// A socket could not be opened, or a thread of a gateway could not be started.
    #[display("cannot open a socket or start a thread: {_0}")]
    Io(io::Error),
    /// The TLS keys or certificates are not accepted.
    #[display("{_0}")]
    Keys(KeyError),
    /// The HTTP client for the platform could not be created.
    #[display("cannot create the HTTP client for the platform: {_0}")]
    #[from(skip)]
    Platform(#[error(not(source))] String),
}

/// The state shared by the tasks of a router.
pub(super) struct Process {
    pub(super) settings: RouterSettings,
    pub(super) clock: Rc<Clock>,
    /// The state machine.
    pub(super) core: RefCell<Router>,
    /// The rules in force, and their exchange with peers.
    pub(super) rules_sync: RulesSync,
    /// The rules version that each linked peer last reported.
    pub(super) versions: RefCell<BTreeMap<PeerId, RulesVersion>>,
    /// The bytes that the links have sent and received.
    pub(super) counters: Rc<Counters>,
    /// The last VM list that the platform published.
    pub(super) vms: RefCell<Vec<Vm>>,
    own_id: ids::Router,
    incarnation: Incarnation,
    /// The channels that carry the replies of active requests to their callers' connections.
    reply_senders: RefCell<HashMap<Sequence, UnboundedSender<Reply>>>,
    sidecars: Links<Target>,
    /// The links to other routers.
    peers: Links<ids::Router>,
    /// The channels that are notified once every request has ended after a drain.
    drain_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Tells each caller's connection to shut down gracefully.
    shutdowns: RefCell<OpenList<oneshot::Sender<()>>>,
    /// The number of callers' connections that are open and have had a request.
    used_connections: Rc<Cell<usize>>,
    /// Whether a graceful shutdown has started.
    stopping: Cell<bool>,
    pub(super) memory: MemoryBudget,
}

/// A process at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PeerId {
    Router(ids::Router),
    Sidecar(Target),
}

/// A running router.
pub struct RouterProcess {
    process: Rc<Process>,
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for links from sidecars and other routers.
    pub link: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

impl Process {
    /// Returns the rules in force.
    pub(super) fn rules(&self) -> Rc<Rules> {
        self.rules_sync.rules()
    }

    /// Passes a request to the state machine, and returns its sequence number and the channel on
    /// which the parts of its reply arrive.
    pub(super) fn arrive(&self, spec: RequestSpec) -> (Sequence, UnboundedReceiver<Reply>) {
        let (sender, receiver) = unbounded();
        let now = self.clock.now();
        let (sequence, outputs) = self.core.borrow_mut().arrive(now, spec);
        self.reply_senders.borrow_mut().insert(sequence, sender);
        self.execute(outputs);
        (sequence, receiver)
    }

    /// Ends a request whose caller has disconnected.
    pub(super) fn caller_gone(&self, sequence: Sequence) {
        self.reply_senders.borrow_mut().remove(&sequence);
        self.step(Input::CallerGone(sequence));
    }

    /// Records that a caller has read `bytes` more bytes of its answer's body.
    pub(super) fn caller_consumed(&self, sequence: Sequence, bytes: u64) {
        self.step(Input::Consumed(sequence, bytes));
    }

    /// Closes the callers' connections that are idle, and the others after their current request.
    fn start_shutdown(&self) {
        for shutdown in self.shutdowns.borrow_mut().take() {
            // Fails only if the connection has closed already.
            let _ = shutdown.send(());
        }
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Passes an input to the state machine and executes its outputs.
    fn step(&self, input: Input) {
        let now = self.clock.now();
        let outputs = self.core.borrow_mut().step(now, input);
        self.execute(outputs);
    }

    /// Carries out the outputs of the state machine.
    fn execute(&self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(target, message) => self.sidecars.send(target, message),
                Output::SendPeer(router, message) => self.peers.send(router, message),
                Output::Reply(sequence, reply) => self.reply(sequence, reply),
                Output::Drained => {
                    for sender in self.drain_waiters.borrow_mut().drain(..) {
                        // Fails only if the drain limit has passed and nobody waits.
                        let _ = sender.send(());
                    }
                }
                Output::Log(event) => log::info!("{event}"),
            }
        }
    }

    /// Passes a part of a reply to its caller's connection, and closes the channel after the last
    /// part.
    fn reply(&self, sequence: Sequence, reply: Reply) {
        let last = matches!(reply, Reply::End(_) | Reply::Refuse(_) | Reply::Break);
        let mut reply_senders = self.reply_senders.borrow_mut();
        if let Some(sender) = reply_senders.get(&sequence) {
            let _ = sender.unbounded_send(reply);
        }
        if last {
            reply_senders.remove(&sequence);
        }
    }

    /// Installs a rules text that the configuration service has published, if it is valid and newer
    /// than the rules in force.
    fn install_rules(&self, text: &str) {
        if let Some(adopted) = self.rules_sync.install(&self.clock, text, "service") {
            self.announce_rules(adopted);
        }
    }

    /// Passes new rules to the state machine and announces them to all linked peers.
    fn announce_rules(&self, adopted: Adopted) {
        let message = adopted.announcement();
        self.step(Input::Rules(adopted.rules));
        for target in self.sidecars.peers() {
            self.sidecars.send(target, message.clone());
        }
        for router in self.peers.peers() {
            self.peers.send(router, message.clone());
        }
    }

    /// Handles a message about rules and returns `None`, or returns a message about anything else
    /// for the state machine.
    fn handle_rules_message(&self, peer: PeerId, message: Message) -> Option<Message> {
        if let Message::Heartbeat(version) = message {
            self.versions.borrow_mut().insert(peer, version);
        }
        match self.rules_sync.handle(&self.clock, message) {
            RulesOutcome::Unrelated(message) => return Some(message),
            RulesOutcome::Reply(message) => self.send(peer, message),
            RulesOutcome::Adopted(adopted) => self.announce_rules(adopted),
            RulesOutcome::Done => {}
        }
        None
    }

    /// Sends a message to a peer, or drops it if there is no link.
    fn send(&self, peer: PeerId, message: Message) {
        match peer {
            PeerId::Router(router) => self.peers.send(router, message),
            PeerId::Sidecar(target) => self.sidecars.send(target, message),
        }
    }

    /// Returns the routers that are on the VM list and not leaving.
    fn routers(&self) -> Vec<ids::Router> {
        let vms = self.vms.borrow();
        let live = vms.iter().filter(|vm| !vm.leaving);
        live.map(|vm| id(&vm.name)).collect()
    }
}

impl RouterProcess {
    /// Binds the sockets and starts the tasks of a router on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the TLS keys are not accepted, or the HTTP client for
    /// the platform cannot be created.
    pub async fn start(settings: RouterSettings) -> Result<Self, StartError> {
        let clock = Rc::new(Clock::default());
        let incarnation = fastrand::u64(1..);
        let core = Router::new(Settings {
            router: id(&settings.name),
            incarnation,
            bounds: settings.queues,
            retry: settings.retry,
            seed: incarnation,
        });
        let (server, client) = tls::quic_configs(&settings.keys)?;
        let endpoint = Endpoint::server(settings.link, server).await?;
        let link = endpoint.local_addr()?;
        let http = TcpListener::bind(settings.http).await?;
        let admin = TcpListener::bind(settings.admin).await?;
        let (http_address, admin_address) = (http.local_addr()?, admin.local_addr()?);
        let rules = watch(&settings.platform.rules)?;
        let vms = watch(&settings.platform.vms)?;
        let memory = MemoryBudget::new(settings.memory_mb.map(|limit| limit << 20));
        let process = Rc::new(Process {
            own_id: id(&settings.name),
            settings,
            clock,
            core: RefCell::new(core),
            rules_sync: RulesSync::default(),
            versions: RefCell::default(),
            counters: Rc::default(),
            vms: RefCell::default(),
            incarnation,
            reply_senders: RefCell::default(),
            sidecars: Links::new(),
            peers: Links::new(),
            drain_waiters: RefCell::default(),
            shutdowns: RefCell::default(),
            used_connections: Rc::default(),
            stopping: Cell::new(false),
            memory,
        });
        log::info!(
            "event=start role=router name={} domain={} incarnation={incarnation:x} http={http_address} \
             link={link} admin={admin_address}",
            process.settings.name,
            process.settings.domain
        );
        let dialer = Endpoint::client(SocketAddr::new(link.ip(), 0)).await?;
        spawn(serve_links(process.clone(), endpoint)).detach();
        spawn(serve_http(process.clone(), http)).detach();
        spawn(admin::serve_router(process.clone(), admin)).detach();
        spawn(tick(process.clone())).detach();
        spawn(measure_memory(process.clone())).detach();
        spawn(maintain_parent_link(process.clone(), dialer, client)).detach();
        spawn(read_rules(process.clone(), rules)).detach();
        spawn(read_vms(process.clone(), vms)).detach();
        Ok(Self {
            process,
            http: http_address,
            link,
            admin: admin_address,
        })
    }

    /// Refuses new requests and waits until all others have ended and all answers are written, or
    /// until the time `drain_ms` of the settings has passed; requests that have not ended then are
    /// refused or broken off. Returns whether all have ended by themselves.
    pub async fn drain(&self) -> bool {
        self.process.stopping.set(true);
        log::info!("event=drain role=router");
        let (sender, receiver) = oneshot::channel();
        self.process.drain_waiters.borrow_mut().push(sender);
        self.process.step(Input::Drain);
        let limit = Duration::from_millis(self.process.settings.drain_ms);
        let end = self.process.clock.now() + limit;
        let ended = compio::time::timeout(limit, receiver).await.is_ok();
        if !ended {
            self.process.step(Input::Close);
        }
        let used_connections = &self.process.used_connections;
        while used_connections.get() > 0 && self.process.clock.now() < end {
            self.process.start_shutdown();
            sleep(TICK_INTERVAL).await;
        }
        let drained = ended && used_connections.get() == 0;
        // Gives the last answers and acknowledgements time to be sent.
        sleep(DIAL_PAUSE).await;
        log::info!("event=stop role=router drained={drained}");
        drained
    }

    /// Returns the generation of the rules in force, or zero if there are none.
    pub fn generation(&self) -> ids::Generation {
        self.process.rules_sync.version().generation
    }

    /// Returns the number of sidecars with an open link.
    pub fn sidecars(&self) -> usize {
        self.process.sidecars.peers().len()
    }

    /// Returns the total size of the UDP packets that the open links have sent and received, in
    /// bytes.
    pub fn link_bytes(&self) -> u64 {
        self.process.sidecars.bytes() + self.process.peers.bytes()
    }

    /// Closes the links to all sidecars without draining the router first, to simulate a failing
    /// network in tests.
    pub fn close_sidecar_links(&self) {
        for target in self.process.sidecars.peers() {
            self.process.sidecars.close(target);
        }
    }
}

/// Creates a watch on the value at a URL of the platform.
pub(super) fn watch(url: &str) -> Result<Watch, StartError> {
    Watch::new(url).map_err(|err| StartError::Platform(err.to_string()))
}

/// Passes a timer tick to the state machine at every [`TICK_INTERVAL`].
async fn tick(process: Rc<Process>) {
    loop {
        sleep(TICK_INTERVAL).await;
        process.step(Input::Tick);
    }
}

/// Measures the memory of this process at every [`MEASURE_INTERVAL`].
async fn measure_memory(process: Rc<Process>) {
    loop {
        sleep(MEASURE_INTERVAL).await;
        let requests = process.reply_senders.borrow().len();
        memory::measure(&process.memory, requests);
    }
}

/// Returns the context of the router's links, with the hello message that introduces the router.
fn link_context(process: &Rc<Process>) -> Context {
    let owner = process.clone();
    Context {
        clock: process.clock.clone(),
        counters: process.counters.clone(),
        hello: Rc::new(move || Hello {
            peer: Peer::Router {
                router: owner.own_id,
            },
            incarnation: owner.incarnation,
            version: owner.rules_sync.version(),
        }),
    }
}

/// Accepts links from sidecars and other routers.
async fn serve_links(process: Rc<Process>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.wait_incoming().await {
        let process = process.clone();
        spawn(async move {
            let context = link_context(&process);
            let link = match incoming.await {
                Ok(connection) => link::accept(connection, &context).await,
                Err(err) => Err(err.into()),
            };
            match link {
                Ok(link) => run_link(process, link, context).await,
                Err(err) => log::warn!("event=link-refused error=\"{err}\""),
            }
        })
        .detach();
    }
}

/// Passes the messages of an accepted link to the state machine until the link ends.
async fn run_link(process: Rc<Process>, link: Link, context: Context) {
    match link.hello.peer {
        Peer::Sidecar { target, service } => {
            let serial = process.sidecars.insert(target, link.sender.clone());
            let incarnation = link.hello.incarnation;
            log::info!("event=link-up target={target:08x} incarnation={incarnation:x}");
            process.step(Input::SidecarUp {
                target,
                service,
                incarnation,
            });
            let peer = PeerId::Sidecar(target);
            process.handle_rules_message(peer, Message::Heartbeat(link.hello.version));
            let owner = process.clone();
            let on_message = |message| {
                if owner.sidecars.is_current(target, serial)
                    && let Some(message) = owner.handle_rules_message(peer, message)
                {
                    owner.step(Input::SidecarMessage { target, message });
                }
            };
            let result = link.run(&context, on_message).await;
            if process.sidecars.remove(target, serial) {
                log_link_down("target", target, result.err());
                process.versions.borrow_mut().remove(&peer);
                process.step(Input::SidecarDown { target });
            }
        }
        Peer::Router { router } => run_peer(process, link, context, router).await,
    }
}

/// Passes the messages of a link to another router to the state machine until the link ends.
async fn run_peer(process: Rc<Process>, link: Link, context: Context, router: ids::Router) {
    let serial = process.peers.insert(router, link.sender.clone());
    log::info!("event=link-up router={router:08x}");
    process.step(Input::PeerUp { router });
    let peer = PeerId::Router(router);
    process.handle_rules_message(peer, Message::Heartbeat(link.hello.version));
    let owner = process.clone();
    let on_message = |message| {
        if owner.peers.is_current(router, serial)
            && let Some(message) = owner.handle_rules_message(peer, message)
        {
            owner.step(Input::PeerMessage { router, message });
        }
    };
    let result = link.run(&context, on_message).await;
    if process.peers.remove(router, serial) {
        log_link_down("router", router, result.err());
        process.versions.borrow_mut().remove(&peer);
        process.step(Input::PeerDown { router });
    }
}

/// Logs that the link to a peer has ended, and the reason.
pub(super) fn log_link_down(kind: &str, peer: u32, err: Option<super::LinkError>) {
    let reason = err.map_or("closed".to_owned(), |err| err.to_string());
    log::info!("event=link-down {kind}={peer:08x} reason=\"{reason}\"");
}

/// Keeps a link open to a parent in the exchange tree. Whenever there is none, the router tries its
/// possible parents, most preferred first.
async fn maintain_parent_link(
    process: Rc<Process>,
    mut endpoint: Endpoint,
    client: compio::quic::ClientConfig,
) {
    endpoint.default_client_config = Some(client);
    loop {
        let parents = member::parents(process.own_id, &process.routers());
        for parent in parents {
            let found = process
                .vms
                .borrow()
                .iter()
                .find(|vm| id(&vm.name) == parent)
                .map(|vm| vm.link);
            let Some(address) = found else {
                continue;
            };
            let context = link_context(&process);
            if let Ok(link) = link::dial(&endpoint, address, &context).await {
                run_peer(process.clone(), link, context, parent).await;
                break;
            }
        }
        sleep(DIAL_PAUSE).await;
    }
}

/// Reads the rules from the configuration service. The router watches them while it has no rules
/// yet or is among the readers. Otherwise it gets them from its peers, and polls the service only
/// rarely.
async fn read_rules(process: Rc<Process>, watch: Watch) {
    let owner = process.clone();
    let should_watch = move || {
        let routers = owner.routers();
        let first = owner.rules_sync.version().generation == 0;
        first || member::is_reader(owner.own_id, &routers, member::READER_COUNT)
    };
    watch
        .run(should_watch, |text| process.install_rules(&text))
        .await;
}

/// Watches the VM list of the platform; a list that cannot be parsed is logged and ignored.
async fn read_vms(process: Rc<Process>, watch: Watch) {
    let on_text = |text: String| match serde_json::from_str(&text) {
        Ok(vms) => {
            process.vms.replace(vms);
        }
        Err(err) => log::error!("event=vms-refused error=\"{err}\""),
    };
    watch.run(|| true, on_text).await;
}

/// Accepts callers' connections while there is room for them.
async fn serve_http(process: Rc<Process>, listener: TcpListener) {
    let max_connections = memory::connection_limit(&process.memory);
    loop {
        while process.memory.is_full(max_connections) {
            sleep(TICK_INTERVAL).await;
        }
        match listener.accept().await {
            Ok((stream, address)) => {
                let process = process.clone();
                let guard = process.memory.track_connection();
                spawn(async move {
                    serve_caller(&process, max_connections, stream, address.ip()).await;
                    drop(guard);
                })
                .detach();
            }
            Err(err) => {
                log::warn!("event=accept-failed error=\"{err}\"");
                sleep(TICK_INTERVAL).await;
            }
        }
    }
}

/// Counts a caller's connection that has had a request until it is closed.
struct UsedConnection(Rc<Cell<usize>>);

impl UsedConnection {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for UsedConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves the requests of one caller's connection until it is closed.
async fn serve_caller(
    process: &Rc<Process>,
    max_connections: usize,
    stream: TcpStream,
    address: IpAddr,
) {
    let _ = stream.set_nodelay(true);
    let (watch, _closed) = CallerWatch::new((*process.clock).clone(), &process.memory, address);
    let stream = match Stream::new(stream) {
        Ok(stream) => stream.with_max_read(MAX_READ).with_watch(watch.clone()),
        Err(err) => return log::warn!("event=accept-failed error=\"{err}\""),
    };
    let reset = stream.reset_handle();
    let used = RefCell::new(None);
    let service = service_fn(|request: Request<Incoming>| {
        let (version, reset) = (request.version(), reset.clone());
        let watch = watch.clone();
        watch.begin_request();
        used.borrow_mut()
            .get_or_insert_with(|| UsedConnection::new(&process.used_connections));
        async move {
            let response = front::handle(process.clone(), request, watch).await;
            let mut response = body::for_version(response, version, &reset);
            memory::close_if_near_limit(&process.memory, max_connections, &mut response);
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD)
        .timer(CompioTimer)
        // hyper's timeout also covers the idle time before a head begins.
        .header_read_timeout(IDLE_LIMIT)
        .serve_connection(stream, service);
    let (shutdown, shutdown_signal) = oneshot::channel();
    process
        .shutdowns
        .borrow_mut()
        .push(shutdown, |shutdown| !shutdown.is_canceled());
    let ended = match select(std::pin::pin!(connection), shutdown_signal).await {
        Either::Left((ended, _)) => ended,
        Either::Right((_, mut connection)) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("event=caller-connection error=\"{err}\"");
    }
}

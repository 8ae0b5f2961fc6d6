//! A router as a process.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        HashMap, //
    },
    io,
    net::SocketAddr,
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
use futures_channel::mpsc::{
    UnboundedReceiver,
    UnboundedSender,
    unbounded, //
};
use hyper::{
    server::conn::http1,
    service::service_fn, //
};

use super::{
    Clock,
    KeyError,
    Vm,
    admin,
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
    platform::Watch,
    rules_sync::{
        Adopted,
        RulesOutcome,
        RulesSync, //
    },
    stream::Stream,
    tls, //
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

/// The interval of a process's timers.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The pause before a parent is looked for again.
const DIAL_PAUSE: Duration = Duration::from_millis(200);

/// The largest head of a request, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// Why a process could not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// An address could not be bound.
    #[display("cannot listen: {_0}")]
    Io(io::Error),
    /// The keys are not accepted.
    #[display("{_0}")]
    Keys(KeyError),
    /// The platform's client could not be made.
    #[display("cannot watch the platform: {_0}")]
    #[from(skip)]
    Platform(#[error(not(source))] String),
}

/// The state that a router's tasks share.
pub(super) struct Process {
    pub(super) settings: RouterSettings,
    pub(super) clock: Rc<Clock>,
    pub(super) core: RefCell<Router>,
    pub(super) rules_sync: RulesSync,
    pub(super) versions: RefCell<BTreeMap<PeerId, RulesVersion>>,
    pub(super) counters: Rc<Counters>,
    pub(super) vms: RefCell<Vec<Vm>>,
    me: ids::Router,
    incarnation: Incarnation,
    callers: RefCell<HashMap<Sequence, UnboundedSender<Reply>>>,
    sidecars: Links<Target>,
    peers: Links<ids::Router>,
    drained: RefCell<Vec<futures_channel::oneshot::Sender<()>>>,
    stopping: std::cell::Cell<bool>,
    pub(super) memory: MemoryBudget,
}

/// A peer as the status page knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PeerId {
    /// A router.
    Router(ids::Router),
    /// A sidecar.
    Sidecar(Target),
}

/// A running router.
pub struct RouterProcess {
    process: Rc<Process>,
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for other processes of the system.
    pub link: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

impl Process {
    pub(super) fn rules(&self) -> Rc<Rules> {
        self.rules_sync.rules()
    }

    /// Takes a request in and returns where its answer arrives.
    pub(super) fn arrive(&self, ask: RequestSpec) -> (Sequence, UnboundedReceiver<Reply>) {
        let (sender, receiver) = unbounded();
        let now = self.clock.now();
        let (sequence, outs) = self.core.borrow_mut().arrive(now, ask);
        self.callers.borrow_mut().insert(sequence, sender);
        self.perform(outs);
        (sequence, receiver)
    }

    pub(super) fn caller_gone(&self, sequence: Sequence) {
        self.callers.borrow_mut().remove(&sequence);
        self.step(Input::CallerGone(sequence));
    }

    pub(super) fn caller_took(&self, sequence: Sequence, bytes: u64) {
        self.step(Input::Consumed(sequence, bytes));
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    fn step(&self, input: Input) {
        let now = self.clock.now();
        let outs = self.core.borrow_mut().step(now, input);
        self.perform(outs);
    }

    fn perform(&self, outs: Vec<Output>) {
        for out in outs {
            match out {
                Output::Send(target, message) => self.sidecars.send(target, message),
                Output::SendPeer(router, message) => self.peers.send(router, message),
                Output::Reply(sequence, reply) => self.reply(sequence, reply),
                Output::Drained => {
                    for sender in self.drained.borrow_mut().drain(..) {
                        let _ = sender.send(());
                    }
                }
                Output::Log(event) => log::info!("{event}"),
            }
        }
    }

    fn reply(&self, sequence: Sequence, reply: Reply) {
        let last = matches!(reply, Reply::End(_) | Reply::Refuse(_) | Reply::Break);
        let mut callers = self.callers.borrow_mut();
        if let Some(sender) = callers.get(&sequence) {
            let _ = sender.unbounded_send(reply);
        }
        if last {
            callers.remove(&sequence);
        }
    }

    /// Offers a rules text that the configuration service has published.
    fn offer(&self, text: &str) {
        if let Some(adopted) = self.rules_sync.install(&self.clock, text, "service") {
            self.adopted(adopted);
        }
    }

    fn adopted(&self, adopted: Adopted) {
        let message = adopted.announcement();
        self.step(Input::Rules(adopted.rules));
        for target in self.sidecars.peers() {
            self.sidecars.send(target, message.clone());
        }
        for router in self.peers.peers() {
            self.peers.send(router, message.clone());
        }
    }

    /// Handles messages about rules; returns any other message.
    fn govern(&self, peer: PeerId, message: Message) -> Option<Message> {
        if let Message::Heartbeat(version) = message {
            self.versions.borrow_mut().insert(peer, version);
        }
        match self.rules_sync.handle(&self.clock, message) {
            RulesOutcome::Unrelated(message) => return Some(message),
            RulesOutcome::Reply(message) => self.send(peer, message),
            RulesOutcome::Adopted(adopted) => self.adopted(adopted),
            RulesOutcome::Done => {}
        }
        None
    }

    fn send(&self, peer: PeerId, message: Message) {
        match peer {
            PeerId::Router(router) => self.peers.send(router, message),
            PeerId::Sidecar(target) => self.sidecars.send(target, message),
        }
    }

    /// Returns the routers of the VM list that are not leaving.
    fn routers(&self) -> Vec<ids::Router> {
        let vms = self.vms.borrow();
        let live = vms.iter().filter(|vm| !vm.leaving);
        live.map(|vm| id(&vm.name)).collect()
    }
}

impl RouterProcess {
    /// Starts a router on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound or the keys are not accepted.
    pub async fn start(settings: RouterSettings) -> Result<Self, StartError> {
        let clock = Rc::new(Clock::default());
        let incarnation = fastrand::u64(1..);
        let core = Router::new(Settings {
            router: id(&settings.name),
            incarnation,
            bounds: settings.queues,
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
            me: id(&settings.name),
            settings,
            clock,
            core: RefCell::new(core),
            rules_sync: RulesSync::default(),
            versions: RefCell::default(),
            counters: Rc::default(),
            vms: RefCell::default(),
            incarnation,
            callers: RefCell::default(),
            sidecars: Links::new(),
            peers: Links::new(),
            drained: RefCell::default(),
            stopping: std::cell::Cell::new(false),
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
        spawn(measure(process.clone())).detach();
        spawn(keep_parent(process.clone(), dialer, client)).detach();
        spawn(read_rules(process.clone(), rules)).detach();
        spawn(read_vms(process.clone(), vms)).detach();
        Ok(Self {
            process,
            http: http_address,
            link,
            admin: admin_address,
        })
    }

    /// Stops taking requests and waits until every one has ended or the drain limit of
    /// the settings is reached; returns whether all have ended.
    pub async fn drain(&self) -> bool {
        self.process.stopping.set(true);
        log::info!("event=drain role=router");
        let (sender, receiver) = futures_channel::oneshot::channel();
        self.process.drained.borrow_mut().push(sender);
        self.process.step(Input::Drain);
        let limit = Duration::from_millis(self.process.settings.drain_ms);
        let drained = compio::time::timeout(limit, receiver).await.is_ok();
        // Lets the last answers and acknowledgements leave.
        sleep(DIAL_PAUSE).await;
        log::info!("event=stop role=router drained={drained}");
        drained
    }

    /// Returns the generation in force, or zero.
    pub fn generation(&self) -> ids::Generation {
        self.process.rules_sync.version().generation
    }

    /// Returns the number of linked sidecars.
    pub fn sidecars(&self) -> usize {
        self.process.sidecars.peers().len()
    }

    /// Returns the bytes of packets that the open links have carried both ways.
    pub fn link_bytes(&self) -> u64 {
        self.process.sidecars.bytes() + self.process.peers.bytes()
    }

    /// Breaks the links to sidecars without telling them, as a failing network would.
    pub fn close_sidecar_links(&self) {
        for target in self.process.sidecars.peers() {
            self.process.sidecars.close(target);
        }
    }
}

pub(super) fn watch(url: &str) -> Result<Watch, StartError> {
    Watch::new(url).map_err(|err| StartError::Platform(err.to_string()))
}

async fn tick(process: Rc<Process>) {
    loop {
        sleep(TICK_INTERVAL).await;
        process.step(Input::Tick);
    }
}

/// Keeps noting how much memory this process takes.
async fn measure(process: Rc<Process>) {
    loop {
        sleep(MEASURE_INTERVAL).await;
        let requests = process.callers.borrow().len();
        memory::measure(&process.memory, requests);
    }
}

fn context(process: &Rc<Process>) -> Context {
    let hello = process.clone();
    Context {
        clock: process.clock.clone(),
        counters: process.counters.clone(),
        hello: Rc::new(move || Hello {
            peer: Peer::Router { router: hello.me },
            incarnation: hello.incarnation,
            version: hello.rules_sync.version(),
        }),
    }
}

async fn serve_links(process: Rc<Process>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.wait_incoming().await {
        let process = process.clone();
        spawn(async move {
            let context = context(&process);
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
            process.govern(peer, Message::Heartbeat(link.hello.version));
            let ours = process.clone();
            let take = |message| {
                if ours.sidecars.is_current(target, serial)
                    && let Some(message) = ours.govern(peer, message)
                {
                    ours.step(Input::SidecarMessage { target, message });
                }
            };
            let result = link.run(&context, take).await;
            if process.sidecars.remove(target, serial) {
                log_down("target", target, result.err());
                process.versions.borrow_mut().remove(&peer);
                process.step(Input::SidecarDown { target });
            }
        }
        Peer::Router { router } => run_peer(process, link, context, router).await,
    }
}

async fn run_peer(process: Rc<Process>, link: Link, context: Context, router: ids::Router) {
    let serial = process.peers.insert(router, link.sender.clone());
    log::info!("event=link-up router={router:08x}");
    process.step(Input::PeerUp { router });
    let peer = PeerId::Router(router);
    process.govern(peer, Message::Heartbeat(link.hello.version));
    let ours = process.clone();
    let take = |message| {
        if ours.peers.is_current(router, serial)
            && let Some(message) = ours.govern(peer, message)
        {
            ours.step(Input::PeerMessage { router, message });
        }
    };
    let result = link.run(&context, take).await;
    if process.peers.remove(router, serial) {
        log_down("router", router, result.err());
        process.versions.borrow_mut().remove(&peer);
        process.step(Input::PeerDown { router });
    }
}

/// Logs that a link has gone.
pub(super) fn log_down(kind: &str, peer: u32, err: Option<super::LinkError>) {
    let reason = err.map_or("closed".to_owned(), |err| err.to_string());
    log::info!("event=link-down {kind}={peer:08x} reason=\"{reason}\"");
}

/// Keeps a link to this router's parent in the exchange tree.
async fn keep_parent(
    process: Rc<Process>,
    mut endpoint: Endpoint,
    client: compio::quic::ClientConfig,
) {
    endpoint.default_client_config = Some(client);
    loop {
        let parents = member::parents(process.me, &process.routers());
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
            let context = context(&process);
            if let Ok(link) = link::dial(&endpoint, address, &context).await {
                run_peer(process.clone(), link, context, parent).await;
                break;
            }
        }
        sleep(DIAL_PAUSE).await;
    }
}

async fn read_rules(process: Rc<Process>, watch: Watch) {
    let reader = process.clone();
    let wanted = move || {
        let routers = reader.routers();
        let first = reader.rules_sync.version().generation == 0;
        first || member::is_reader(reader.me, &routers, member::READER_COUNT)
    };
    watch.run(wanted, |text| process.offer(&text)).await;
}

async fn read_vms(process: Rc<Process>, watch: Watch) {
    let take = |text: String| match serde_json::from_str(&text) {
        Ok(vms) => {
            process.vms.replace(vms);
        }
        Err(err) => log::error!("event=vms-refused error=\"{err}\""),
    };
    watch.run(|| true, take).await;
}

async fn serve_http(process: Rc<Process>, listener: TcpListener) {
    let most = memory::connection_limit(&process.memory);
    loop {
        while process.memory.is_full(most) {
            sleep(TICK_INTERVAL).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let process = process.clone();
                let opened = process.memory.track_connection();
                spawn(async move {
                    converse(&process, most, stream).await;
                    drop(opened);
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

/// Serves one connection of a caller until it ends.
async fn converse(process: &Rc<Process>, most: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let stream = match Stream::new(stream) {
        Ok(stream) => stream.with_max_read(MAX_READ),
        Err(err) => return log::warn!("event=accept-failed error=\"{err}\""),
    };
    let service = service_fn(|request| async move {
        let mut response = front::handle(process.clone(), request).await;
        memory::close_if_near_limit(&process.memory, most, &mut response);
        Ok::<_, std::convert::Infallible>(response)
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD)
        .timer(CompioTimer)
        // It also counts the time before a head begins.
        .header_read_timeout(IDLE_LIMIT)
        .serve_connection(stream, service);
    if let Err(err) = connection.await {
        log::debug!("event=caller-connection error=\"{err}\"");
    }
}

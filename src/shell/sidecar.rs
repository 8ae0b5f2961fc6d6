//! A sidecar as a process.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use compio::{
    net::TcpListener,
    quic::Endpoint,
    runtime::{
        JoinHandle,
        spawn, //
    },
    time::sleep, //
};
use futures_channel::oneshot;

use super::{
    Clock,
    Vm,
    admin,
    link::{
        self,
        Context,
        Counters,
        Link,
        Links, //
    },
    platform::Watch,
    router::{
        StartError,
        TICK_INTERVAL,
        log_down,
        watch, //
    },
    rules_sync::{
        Adopted,
        RulesOutcome,
        RulesSync, //
    },
    target::Target,
    tls, //
};
use crate::{
    ids::{
        self,
        Incarnation,
        Router,
        Time,
        id, //
    },
    member,
    settings::SidecarSettings,
    sidecar::{
        Input,
        Output,
        Settings,
        Sidecar, //
    },
    wire::{
        AttemptId,
        Dispatch,
        Hello,
        Message,
        Peer, //
    }, //
};

/// The interval at which links to routers are checked.
const DIAL_INTERVAL: Duration = Duration::from_millis(200);

/// The time after which an idle link to a router outside the subset is dropped.
const VISIT_LIFE: Duration = Duration::from_secs(5);

/// The state that a sidecar's tasks share.
pub(super) struct Process {
    pub(super) settings: SidecarSettings,
    pub(super) clock: Rc<Clock>,
    pub(super) core: RefCell<Sidecar>,
    pub(super) rules_sync: RulesSync,
    pub(super) counters: Rc<Counters>,
    vms: RefCell<Vec<Vm>>,
    incarnation: Incarnation,
    target: Target,
    links: Links<Router>,
    dialing: RefCell<BTreeSet<Router>>,
    visits: RefCell<BTreeMap<Router, Time>>,
    calls: RefCell<HashMap<AttemptId, JoinHandle<()>>>,
    rooms: RefCell<HashMap<AttemptId, oneshot::Sender<()>>>,
    drained: Cell<bool>,
}

/// A running sidecar.
pub struct SidecarProcess {
    process: Rc<Process>,
    /// The address for operators.
    pub admin: SocketAddr,
}

impl Process {
    fn step(self: &Rc<Self>, input: Input) {
        let now = self.clock.now();
        let outs = self.core.borrow_mut().step(now, input);
        for out in outs {
            self.perform(out);
        }
    }

    fn perform(self: &Rc<Self>, out: Output) {
        match out {
            Output::Send(router, message) => self.links.send(router, message),
            Output::Run(dispatch) => {
                let id = dispatch.id;
                let call = spawn(run(self.clone(), dispatch));
                self.calls.borrow_mut().insert(id, call);
            }
            Output::Abort(id) => {
                // Dropping the task closes its connection to the target.
                self.calls.borrow_mut().remove(&id);
                self.rooms.borrow_mut().remove(&id);
            }
            Output::Resume(id) => {
                self.rooms.borrow_mut().remove(&id);
            }
            Output::Connect(router) => {
                let now = self.clock.now();
                self.visits.borrow_mut().insert(router, now);
            }
            Output::Drained => self.drained.set(true),
            Output::Log(event) => log::info!("{event}"),
        }
    }

    fn message(self: &Rc<Self>, router: Router, message: Message) {
        match self.rules_sync.handle(&self.clock, message) {
            RulesOutcome::Unrelated(message) => self.step(Input::Message { router, message }),
            RulesOutcome::Reply(message) => self.links.send(router, message),
            RulesOutcome::Adopted(adopted) => self.adopted(adopted),
            RulesOutcome::Done => {}
        }
    }

    fn adopted(self: &Rc<Self>, adopted: Adopted) {
        self.step(Input::Rules(adopted.rules));
        // A router that is behind asks for the text.
        for router in self.links.peers() {
            let message = Message::Heartbeat(adopted.version);
            self.links.send(router, message);
        }
    }

    /// Returns the routers to link to: the subset and those that are visited.
    fn wanted(&self) -> BTreeSet<Router> {
        let vms = self.vms.borrow();
        let live: Vec<_> = vms
            .iter()
            .filter(|vm| !vm.leaving)
            .map(|vm| id(&vm.name))
            .collect();
        let me = id(&self.settings.name);
        let subset = member::subset(me, &live, member::SUBSET_SIZE);
        let now = self.clock.now();
        let core = self.core.borrow();
        let mut visits = self.visits.borrow_mut();
        visits.retain(|router, since| now < *since + VISIT_LIFE || !core.is_idle(*router));
        subset.into_iter().chain(visits.keys().copied()).collect()
    }
}

impl SidecarProcess {
    /// Starts a sidecar on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Fails where an address cannot be bound or the keys are not accepted.
    pub async fn start(settings: SidecarSettings) -> Result<Self, StartError> {
        let clock = Rc::new(Clock::default());
        let incarnation = fastrand::u64(1..);
        let core = Sidecar::new(Settings {
            target: id(&settings.name),
            service: id(&settings.service),
            slots: settings.slots,
            incarnation,
            epoch_offset: clock.epoch_offset(),
        });
        let (_, client) = tls::quic_configs(&settings.keys)?;
        let local = SocketAddr::new(settings.admin.ip(), 0);
        let mut endpoint = Endpoint::client(local).await?;
        endpoint.default_client_config = Some(client);
        let admin = TcpListener::bind(settings.admin).await?;
        let address = admin.local_addr()?;
        let vms = watch(&settings.platform.vms)?;
        let process = Rc::new(Process {
            target: Target::new(settings.target),
            settings,
            clock,
            core: RefCell::new(core),
            rules_sync: RulesSync::default(),
            counters: Rc::default(),
            vms: RefCell::default(),
            incarnation,
            links: Links::new(),
            dialing: RefCell::default(),
            visits: RefCell::default(),
            calls: RefCell::default(),
            rooms: RefCell::default(),
            drained: Cell::new(false),
        });
        log::info!(
            "event=start role=sidecar name={} service={} domain={} incarnation={incarnation:x} \
             admin={address}",
            process.settings.name,
            process.settings.service,
            process.settings.domain
        );
        spawn(tick(process.clone())).detach();
        spawn(keep_links(process.clone(), endpoint)).detach();
        spawn(admin::serve_sidecar(process.clone(), admin)).detach();
        spawn(read_vms(process.clone(), vms)).detach();
        Ok(Self {
            process,
            admin: address,
        })
    }

    /// Takes no new work and waits until every attempt has ended or the drain limit of
    /// the settings is reached; returns whether all have ended.
    pub async fn drain(&self) -> bool {
        log::info!("event=drain role=sidecar");
        self.process.step(Input::Drain);
        let limit =
            self.process.clock.now() + Duration::from_millis(self.process.settings.drain_ms);
        while !self.process.drained.get() && self.process.clock.now() < limit {
            sleep(TICK_INTERVAL).await;
        }
        // Lets the last answers leave.
        sleep(DIAL_INTERVAL).await;
        let drained = self.process.drained.get();
        log::info!("event=stop role=sidecar drained={drained}");
        drained
    }

    /// Returns the generation in force, or zero.
    pub fn generation(&self) -> ids::Generation {
        self.process.rules_sync.version().generation
    }
}

async fn tick(process: Rc<Process>) {
    loop {
        sleep(TICK_INTERVAL).await;
        process.step(Input::Tick);
    }
}

/// Calls the target for one attempt.
async fn run(process: Rc<Process>, dispatch: Rc<Dispatch>) {
    let id = dispatch.id;
    let take = |chunk: super::target::AnswerChunk| {
        process.step(Input::Answer {
            id,
            head: chunk.head,
            data: chunk.data,
            end: chunk.end,
        });
    };
    let room = async || {
        let full = process.core.borrow_mut().is_full(id);
        if full {
            let (sender, receiver) = oneshot::channel();
            process.rooms.borrow_mut().insert(id, sender);
            let _ = receiver.await;
        }
    };
    let result = process.target.call(&dispatch, take, room).await;
    if let Err(err) = result {
        log::warn!("event=call-failed request={id} error=\"{err}\"");
        let sent = err.is_sent();
        process.step(Input::Failed { id, sent });
    }
    if let Some(call) = process.calls.borrow_mut().remove(&id) {
        call.detach();
    }
}

fn context(process: &Rc<Process>) -> Context {
    let hello = process.clone();
    Context {
        clock: process.clock.clone(),
        counters: process.counters.clone(),
        hello: Rc::new(move || Hello {
            peer: Peer::Sidecar {
                target: id(&hello.settings.name),
                service: id(&hello.settings.service),
            },
            incarnation: hello.incarnation,
            version: hello.rules_sync.version(),
        }),
    }
}

/// Keeps a link to each router that is wanted.
async fn keep_links(process: Rc<Process>, endpoint: Endpoint) {
    let endpoint = Rc::new(endpoint);
    loop {
        let wanted = process.wanted();
        for router in process.links.peers() {
            if !wanted.contains(&router) && process.core.borrow().is_idle(router) {
                process.links.close(router);
            }
        }
        for router in wanted {
            let open = process.links.contains(router);
            if !open && process.dialing.borrow_mut().insert(router) {
                spawn(open_link(process.clone(), endpoint.clone(), router)).detach();
            }
        }
        sleep(DIAL_INTERVAL).await;
    }
}

async fn open_link(process: Rc<Process>, endpoint: Rc<Endpoint>, router: Router) {
    let found = process
        .vms
        .borrow()
        .iter()
        .find(|vm| id(&vm.name) == router)
        .map(|vm| vm.link);
    let context = context(&process);
    let link = match found {
        Some(address) => link::dial(&endpoint, address, &context).await.ok(),
        None => None,
    };
    process.dialing.borrow_mut().remove(&router);
    if let Some(link) = link {
        run_link(process, link, context, router).await;
    }
}

async fn run_link(process: Rc<Process>, link: Link, context: Context, router: Router) {
    let serial = process.links.insert(router, link.sender.clone());
    let incarnation = link.hello.incarnation;
    log::info!("event=link-up router={router:08x} incarnation={incarnation:x}");
    process.step(Input::Up {
        router,
        incarnation,
    });
    process.message(router, Message::Heartbeat(link.hello.version));
    let ours = process.clone();
    let take = |message| {
        if ours.links.is_current(router, serial) {
            ours.message(router, message);
        }
    };
    let result = link.run(&context, take).await;
    if process.links.remove(router, serial) {
        log_down("router", router, result.err());
        process.step(Input::Down { router });
    }
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

//! The sidecar process: connects the state machine of [`crate::sidecar`] to sockets, timers and
//! its target.

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
        log_link_down,
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

/// The interval at which missing links to routers are opened and unused ones closed.
const DIAL_INTERVAL: Duration = Duration::from_millis(200);

/// The time for which an idle link to a router outside the subset is kept, counted from the time at
/// which the state machine last asked for it.
const EXTRA_LINK_TIMEOUT: Duration = Duration::from_secs(5);

/// The state shared by the tasks of a sidecar.
pub(super) struct Process {
    pub(super) settings: SidecarSettings,
    pub(super) clock: Rc<Clock>,
    /// The state machine.
    pub(super) core: RefCell<Sidecar>,
    /// The rules in force, and their exchange with routers.
    pub(super) rules_sync: RulesSync,
    /// The bytes that the links have sent and received.
    pub(super) counters: Rc<Counters>,
    /// The last VM list that the platform published.
    vms: RefCell<Vec<Vm>>,
    incarnation: Incarnation,
    target: Target,
    links: Links<Router>,
    /// The routers to which a link is being opened.
    dialing: RefCell<BTreeSet<Router>>,
    /// The routers that the state machine asked to link to because of their backlog, and when it
    /// last did.
    extra_routers: RefCell<BTreeMap<Router, Time>>,
    /// The tasks that send attempts to the target.
    calls: RefCell<HashMap<AttemptId, JoinHandle<()>>>,
    /// The calls that have paused reading the answer; dropping the sender resumes a call.
    paused_reads: RefCell<HashMap<AttemptId, oneshot::Sender<()>>>,
    /// Whether every attempt has ended after a drain.
    drained: Cell<bool>,
}

/// A running sidecar.
pub struct SidecarProcess {
    process: Rc<Process>,
    /// The address for operators.
    pub admin: SocketAddr,
}

impl Process {
    /// Passes an input to the state machine and executes its outputs.
    fn step(self: &Rc<Self>, input: Input) {
        let now = self.clock.now();
        let outputs = self.core.borrow_mut().step(now, input);
        for output in outputs {
            self.execute(output);
        }
    }

    /// Carries out an output of the state machine.
    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send(router, message) => self.links.send(router, message),
            Output::Run(dispatch) => {
                let id = dispatch.id;
                let call = spawn(run_attempt(self.clone(), dispatch));
                self.calls.borrow_mut().insert(id, call);
            }
            Output::Abort(id) => {
                // Dropping the task closes its connection to the target.
                self.calls.borrow_mut().remove(&id);
                self.paused_reads.borrow_mut().remove(&id);
            }
            Output::Resume(id) => {
                self.paused_reads.borrow_mut().remove(&id);
            }
            Output::Connect(router) => {
                let now = self.clock.now();
                self.extra_routers.borrow_mut().insert(router, now);
            }
            Output::Drained => self.drained.set(true),
            Output::Log(event) => log::info!("{event}"),
        }
    }

    /// Handles a message about rules, and passes any other to the state machine.
    fn handle_message(self: &Rc<Self>, router: Router, message: Message) {
        match self.rules_sync.handle(&self.clock, message) {
            RulesOutcome::Unrelated(message) => self.step(Input::Message { router, message }),
            RulesOutcome::Reply(message) => self.links.send(router, message),
            RulesOutcome::Adopted(adopted) => self.announce_rules(adopted),
            RulesOutcome::Done => {}
        }
    }

    /// Passes new rules to the state machine and announces their version to all linked routers.
    fn announce_rules(self: &Rc<Self>, adopted: Adopted) {
        self.step(Input::Rules(adopted.rules));
        // A router with older rules then requests the text.
        for router in self.links.peers() {
            let message = Message::Heartbeat(adopted.version);
            self.links.send(router, message);
        }
    }

    /// Returns the routers to link to: those of the subset, and those that the state machine asked
    /// for recently or whose link is in use.
    fn desired_routers(&self) -> BTreeSet<Router> {
        let vms = self.vms.borrow();
        let live: Vec<_> = vms
            .iter()
            .filter(|vm| !vm.leaving)
            .map(|vm| id(&vm.name))
            .collect();
        let own_id = id(&self.settings.name);
        let subset = member::subset(own_id, &live, member::SUBSET_SIZE);
        let now = self.clock.now();
        let core = self.core.borrow();
        let mut extra_routers = self.extra_routers.borrow_mut();
        extra_routers.retain(|router, requested| {
            now < *requested + EXTRA_LINK_TIMEOUT || !core.is_idle(*router)
        });
        subset
            .into_iter()
            .chain(extra_routers.keys().copied())
            .collect()
    }
}

impl SidecarProcess {
    /// Binds the sockets and starts the tasks of a sidecar on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, the TLS keys are not accepted, or the HTTP client for
    /// the platform cannot be created.
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
            extra_routers: RefCell::default(),
            calls: RefCell::default(),
            paused_reads: RefCell::default(),
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
        spawn(maintain_links(process.clone(), endpoint)).detach();
        spawn(admin::serve_sidecar(process.clone(), admin)).detach();
        spawn(read_vms(process.clone(), vms)).detach();
        Ok(Self {
            process,
            admin: address,
        })
    }

    /// Admits no new attempts and waits until all others have ended, or until the time `drain_ms`
    /// of the settings has passed. Returns whether all attempts have ended.
    pub async fn drain(&self) -> bool {
        log::info!("event=drain role=sidecar");
        self.process.step(Input::Drain);
        let limit =
            self.process.clock.now() + Duration::from_millis(self.process.settings.drain_ms);
        while !self.process.drained.get() && self.process.clock.now() < limit {
            sleep(TICK_INTERVAL).await;
        }
        // Gives the last answers time to be sent.
        sleep(DIAL_INTERVAL).await;
        let drained = self.process.drained.get();
        log::info!("event=stop role=sidecar drained={drained}");
        drained
    }

    /// Returns the generation of the rules in force, or zero if there are none.
    pub fn generation(&self) -> ids::Generation {
        self.process.rules_sync.version().generation
    }
}

/// Passes a timer tick to the state machine at every [`TICK_INTERVAL`].
async fn tick(process: Rc<Process>) {
    loop {
        sleep(TICK_INTERVAL).await;
        process.step(Input::Tick);
    }
}

/// Sends one attempt to the target and passes the answer, or the failure, to the state machine.
async fn run_attempt(process: Rc<Process>, dispatch: Rc<Dispatch>) {
    let id = dispatch.id;
    let on_piece = |chunk: super::target::AnswerChunk| {
        process.step(Input::Answer {
            id,
            head: chunk.head,
            data: chunk.data,
            end: chunk.end,
        });
    };
    // Stops reading the answer until the router has acknowledged enough of it.
    let pause_if_full = async || {
        let full = process.core.borrow_mut().is_full(id);
        if full {
            let (sender, receiver) = oneshot::channel();
            process.paused_reads.borrow_mut().insert(id, sender);
            // Fails when the sender is dropped, which resumes the call.
            let _ = receiver.await;
        }
    };
    let is_leaving = || process.core.borrow().is_leaving();
    let result = process
        .target
        .call(&dispatch, on_piece, pause_if_full, is_leaving)
        .await;
    if let Err(err) = result {
        log::warn!("event=call-failed request={id} error=\"{err}\"");
        let sent = err.is_sent();
        process.step(Input::Failed { id, sent });
    }
    if let Some(call) = process.calls.borrow_mut().remove(&id) {
        call.detach();
    }
}

/// Returns the context of the sidecar's links, with the hello message that introduces the sidecar.
fn link_context(process: &Rc<Process>) -> Context {
    let owner = process.clone();
    Context {
        clock: process.clock.clone(),
        counters: process.counters.clone(),
        hello: Rc::new(move || Hello {
            peer: Peer::Sidecar {
                target: id(&owner.settings.name),
                service: id(&owner.settings.service),
            },
            incarnation: owner.incarnation,
            version: owner.rules_sync.version(),
        }),
    }
}

/// Opens links to the routers that the sidecar should be linked to, and closes idle links to
/// others.
async fn maintain_links(process: Rc<Process>, endpoint: Endpoint) {
    let endpoint = Rc::new(endpoint);
    loop {
        let desired = process.desired_routers();
        for router in process.links.peers() {
            if !desired.contains(&router) && process.core.borrow().is_idle(router) {
                process.links.close(router);
            }
        }
        for router in desired {
            let open = process.links.contains(router);
            if !open && process.dialing.borrow_mut().insert(router) {
                spawn(open_link(process.clone(), endpoint.clone(), router)).detach();
            }
        }
        sleep(DIAL_INTERVAL).await;
    }
}

/// Opens a link to a router that is on the VM list, and runs it until it ends.
async fn open_link(process: Rc<Process>, endpoint: Rc<Endpoint>, router: Router) {
    let found = process
        .vms
        .borrow()
        .iter()
        .find(|vm| id(&vm.name) == router)
        .map(|vm| vm.link);
    let context = link_context(&process);
    let link = match found {
        Some(address) => link::dial(&endpoint, address, &context).await.ok(),
        None => None,
    };
    process.dialing.borrow_mut().remove(&router);
    if let Some(link) = link {
        run_link(process, link, context, router).await;
    }
}

/// Passes the messages of a link to the state machine until the link ends.
async fn run_link(process: Rc<Process>, link: Link, context: Context, router: Router) {
    let serial = process.links.insert(router, link.sender.clone());
    let incarnation = link.hello.incarnation;
    log::info!("event=link-up router={router:08x} incarnation={incarnation:x}");
    process.step(Input::Up {
        router,
        incarnation,
    });
    process.handle_message(router, Message::Heartbeat(link.hello.version));
    let owner = process.clone();
    let on_message = |message| {
        if owner.links.is_current(router, serial) {
            owner.handle_message(router, message);
        }
    };
    let result = link.run(&context, on_message).await;
    if process.links.remove(router, serial) {
        log_link_down("router", router, result.err());
        process.step(Input::Down { router });
    }
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

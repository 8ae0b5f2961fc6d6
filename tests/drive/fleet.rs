//! The simulated routers, sidecars and targets, and the network between them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    }, //
};

use redwingyard::{
    config::{
        self,
        Store, //
        SyncAction,
    },
    ids::{
        self,
        Sequence,
        Time,
        id, //
    },
    member,
    router::{
        self,
        Reply,
        RequestSpec,
        Router, //
    },
    sidecar::{
        self,
        Sidecar, //
    },
    wire::{
        AttemptId,
        Dispatch,
        End,
        Head,
        IdempotencyKey,
        Message,
        encode, //
    }, //
};

use super::{
    plan::{
        Plan,
        SERVICE, //
    },
    truth::{
        Call,
        Outcome,
        Truth, //
    }, //
};

/// The interval of the timer ticks of each process.
pub const TICK: Duration = Duration::from_millis(10);

/// The interval at which the usage of accounts is sampled.
pub const SAMPLE: Duration = Duration::from_millis(50);

/// The interval at which missing links are opened and idle ones closed, as in the shell.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);

/// The time without messages after which a link is closed, as in the shell.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1_800);

/// The interval of heartbeats, as in the shell.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);

/// The time after which an idle link to a router outside the subset is closed, as in the shell.
const EXTRA_LINK_LIFETIME: Duration = Duration::from_secs(5);

/// The bytes that a packet adds to its messages: the IP, UDP and QUIC headers and the
/// authentication tag.
const PACKET_OVERHEAD: u64 = 62;

/// A simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    Router(usize),
    Sidecar(usize),
}

#[derive(Clone, Debug)]
enum Event {
    Message {
        from: Node,
        to: Node,
        link: u64,
        message: Message,
    },
    Tick(Node, u64),
    Finish {
        sidecar: usize,
        instance: u64,
        id: AttemptId,
        call: usize,
        run: u64,
    },
    Arrive {
        router: usize,
        account: usize,
        again: bool,
    },
    /// A link is established.
    Open(Node, Node),
    /// A link has timed out or is closed.
    Lost(Node, Node, u64),
    /// The first process notices that its link to the second has been closed.
    Down(Node, Node, u64),
    Maintain,
    Heartbeat,
    Sample,
}

struct Link {
    /// The number of the link. A new link between the same processes has another.
    serial: u64,
    /// Whether the timeout of the link is scheduled.
    lost: bool,
    /// Whether the link drops all messages.
    blackholed: bool,
}

/// The control traffic of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub bytes: u64,
    pub messages: u64,
}

/// A simulated fleet of processes.
pub struct Fleet {
    pub plan: Plan,
    pub now: Time,
    pub truth: Truth,
    pub routers: Vec<Option<Router>>,
    pub sidecars: Vec<Option<Sidecar>>,
    pub stores: BTreeMap<Node, Store>,
    pub control: BTreeMap<Node, Traffic>,
    /// The real time that each process has spent in its state machine.
    pub step_time: BTreeMap<Node, Duration>,
    pub log: Vec<String>,
    pub logging: bool,
    /// The groups of a network partition. Nodes of different groups cannot reach each other.
    pub groups: BTreeMap<Node, usize>,
    /// Until when each paused process handles no events.
    pub paused: BTreeMap<Node, Time>,
    rng: fastrand::Rng,
    events: BTreeMap<(Time, u64), Event>,
    serial: u64,
    /// A number for each process that changes when it is started or killed.
    instances: BTreeMap<Node, u64>,
    starts: BTreeMap<Node, Time>,
    links: BTreeMap<(Node, Node), Link>,
    /// The link to each peer that a process treats as open. A paused process notices only later
    /// that a link has been closed.
    open_links: BTreeMap<(Node, Node), u64>,
    opening: BTreeSet<(Node, Node)>,
    /// The links of sidecars to routers outside their subset, with the time at which the sidecar
    /// requested each.
    extra_links: BTreeMap<(Node, Node), Time>,
    calls: BTreeMap<(usize, u64, Sequence), usize>,
    by_id: HashMap<u32, Node>,
    running: BTreeMap<(usize, AttemptId), (usize, u64)>,
    /// When each process last sent a message to each peer.
    last_sent: BTreeMap<(Node, Node), Time>,
    arrivals: BTreeMap<(Node, Node), Time>,
}

impl Fleet {
    /// Creates and starts a fleet. Figures are measured from `from` on.
    pub fn new(plan: Plan, from: Time) -> Self {
        let shares: Vec<_> = plan.loads.iter().map(|load| load.share).collect();
        let slots = plan.targets as u32 * plan.slots;
        let mut fleet = Self {
            truth: Truth::new(shares.into_iter(), slots, from),
            rng: fastrand::Rng::with_seed(plan.seed),
            now: Time::ZERO,
            routers: (0..plan.routers).map(|_| None).collect(),
            sidecars: (0..plan.targets).map(|_| None).collect(),
            stores: BTreeMap::new(),
            control: BTreeMap::new(),
            step_time: BTreeMap::new(),
            log: Vec::new(),
            logging: false,
            groups: BTreeMap::new(),
            paused: BTreeMap::new(),
            events: BTreeMap::new(),
            serial: 0,
            instances: BTreeMap::new(),
            starts: BTreeMap::new(),
            links: BTreeMap::new(),
            open_links: BTreeMap::new(),
            opening: BTreeSet::new(),
            extra_links: BTreeMap::new(),
            calls: BTreeMap::new(),
            by_id: HashMap::new(),
            running: BTreeMap::new(),
            last_sent: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            plan,
        };
        let text = fleet.plan.text(1, &[]);
        for i in 0..fleet.plan.routers {
            fleet.start(Node::Router(i), &text);
        }
        for i in 0..fleet.plan.targets {
            fleet.start(Node::Sidecar(i), &text);
        }
        fleet.schedule(Time::ZERO, Event::Maintain);
        fleet.schedule(Time::ZERO, Event::Heartbeat);
        fleet.schedule(from, Event::Sample);
        fleet.schedule_first_arrivals();
        fleet
    }

    fn schedule_first_arrivals(&mut self) {
        for (at, router, account, again) in self.plan.arrivals(&mut self.rng) {
            let event = Event::Arrive {
                router,
                account,
                again,
            };
            self.schedule(at, event);
        }
    }

    fn schedule_arrival(&mut self, router: usize, account: usize) {
        let at = self.now + self.plan.gap(&mut self.rng, router, account);
        let again = false;
        self.schedule(
            at,
            Event::Arrive {
                router,
                account,
                again,
            },
        );
    }

    /// Starts a process with no state except a rules text.
    pub fn start(&mut self, node: Node, text: &str) {
        let instance = self.instances.entry(node).or_default();
        *instance += 1;
        let instance = *instance;
        self.starts.insert(node, self.now);
        let name = name_of(node);
        self.by_id.insert(id(&name), node);
        let incarnation = self.rng.u64(1..);
        match node {
            Node::Router(i) => {
                self.routers[i] = Some(Router::new(router::Settings {
                    router: id(&name),
                    incarnation,
                    bounds: self.plan.bounds,
                    retry: Default::default(),
                    seed: self.rng.u64(..),
                }));
            }
            Node::Sidecar(i) => {
                self.sidecars[i] = Some(Sidecar::new(sidecar::Settings {
                    target: id(&name),
                    service: id(SERVICE),
                    slots: self.plan.slots,
                    incarnation,
                    epoch_offset: Duration::from_secs(1_000_000) + self.now,
                }));
            }
        }
        self.stores.insert(node, Store::default());
        if !text.is_empty() {
            self.publish(node, text);
        }
        if matches!(node, Node::Sidecar(_)) {
            // The new process opens links at once, which replace those of the old process.
            self.links.retain(|(a, b), _| *a != node && *b != node);
        }
        self.open_links.retain(|(me, _), _| *me != node);
        let phase = Duration::from_micros(self.rng.u64(..10_000));
        self.schedule(self.now + phase, Event::Tick(node, instance));
    }

    /// Kills a process without a graceful shutdown.
    pub fn kill(&mut self, node: Node) {
        *self.instances.entry(node).or_default() += 1;
        match node {
            Node::Router(i) => {
                self.routers[i] = None;
                let cut: Vec<_> = self
                    .calls
                    .iter()
                    .filter(|((router, ..), _)| *router == i)
                    .map(|(key, call)| (*key, *call))
                    .collect();
                for (key, call) in cut {
                    self.calls.remove(&key);
                    self.truth.end(call, Outcome::Cut);
                    self.submit_again(call);
                }
            }
            Node::Sidecar(i) => {
                self.sidecars[i] = None;
                // The target aborts the requests that run there.
                let lost: Vec<_> = self
                    .running
                    .iter()
                    .filter(|((sidecar, _), _)| *sidecar == i)
                    .map(|(key, run)| (*key, *run))
                    .collect();
                for (key, (call, run)) in lost {
                    self.running.remove(&key);
                    self.truth.finish(self.now, call, run);
                }
            }
        }
        let links: Vec<_> = self
            .links
            .iter()
            .map(|(ends, link)| (*ends, link.serial))
            .collect();
        for ((a, b), serial) in links {
            if a == node || b == node {
                self.schedule(self.now + LINK_TIMEOUT, Event::Lost(a, b, serial));
            }
        }
    }

    /// Passes a rules text to one process, as its watch on the configuration service would.
    pub fn publish(&mut self, node: Node, text: &str) {
        let Some(store) = self.stores.get_mut(&node) else {
            return;
        };
        let old = store.clone();
        if store.install(text) == Ok(true) {
            self.apply_rules(node, &old);
        }
    }

    /// Applies rules that have come into force and announces them to the peers, as the shell
    /// does.
    fn apply_rules(&mut self, node: Node, old: &Store) {
        let store = self.stores[&node].clone();
        let rules = store.rules().clone();
        match node {
            Node::Router(i) if self.routers[i].is_some() => {
                self.router_step(i, router::Input::Rules(rules));
            }
            Node::Sidecar(i) if self.sidecars[i].is_some() => {
                self.sidecar_step(i, sidecar::Input::Rules(rules));
            }
            _ => {}
        }
        let patch = config::patch(old.text(), store.text(), old.version());
        let patch = Rc::new(patch);
        for peer in self.peers(node) {
            let message = match node {
                Node::Router(_) if old.version().generation > 0 => Message::Patch(patch.clone()),
                _ => Message::Heartbeat(store.version()),
            };
            self.send(node, peer, message);
        }
    }

    fn peers(&self, node: Node) -> Vec<Node> {
        let ends = self.links.keys();
        ends.filter_map(|(a, b)| match (*a == node, *b == node) {
            (true, _) => Some(*b),
            (_, true) => Some(*a),
            _ => None,
        })
        .collect()
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.serial += 1;
        self.events.insert((time, self.serial), event);
    }

    /// Runs the simulation until a time.
    pub fn run(&mut self, until: Time) {
        while let Some((&(at, serial), _)) = self.events.first_key_value() {
            if at > until {
                break;
            }
            let event = self
                .events
                .remove(&(at, serial))
                .expect("the first event of the queue exists");
            self.truth.advance(at);
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Returns until when the process that an event is for is paused, if it is.
    fn paused_until(&self, event: &Event) -> Option<Time> {
        let node = match event {
            Event::Message { to, .. } => *to,
            Event::Tick(node, _) => *node,
            Event::Finish { sidecar, .. } => Node::Sidecar(*sidecar),
            Event::Arrive { router, .. } => Node::Router(*router),
            Event::Down(me, ..) => *me,
            _ => return None,
        };
        self.paused
            .get(&node)
            .copied()
            .filter(|until| *until > self.now)
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.paused_until(&event) {
            return self.schedule(until, event);
        }
        match event {
            Event::Message {
                from,
                to,
                link,
                message,
            } => self.deliver(from, to, link, message),
            Event::Tick(node, instance) => self.tick(node, instance),
            Event::Finish {
                sidecar,
                instance,
                id,
                call,
                run,
            } => self.finish(sidecar, instance, id, call, run),
            Event::Arrive {
                router,
                account,
                again,
            } => self.arrive(router, account, again),
            Event::Open(a, b) => self.open(a, b),
            Event::Lost(a, b, serial) => self.close_link(a, b, serial),
            Event::Down(me, peer, serial) => self.down(me, peer, serial),
            Event::Maintain => self.maintain(),
            Event::Heartbeat => self.heartbeat(),
            Event::Sample => {
                self.truth.sample(self.now);
                self.schedule(self.now + SAMPLE, Event::Sample);
            }
        }
    }

    fn is_partitioned(&self, a: Node, b: Node) -> bool {
        let group = |node| self.groups.get(&node).copied().unwrap_or_default();
        group(a) != group(b)
    }

    fn is_live(&self, node: Node) -> bool {
        match node {
            Node::Router(i) => self.routers[i].is_some(),
            Node::Sidecar(i) => self.sidecars[i].is_some(),
        }
    }

    /// Returns the key of the link between two processes, in which the lower node comes first.
    fn ends(a: Node, b: Node) -> (Node, Node) {
        if a < b { (a, b) } else { (b, a) }
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        let link = match self.links.get(&Self::ends(from, to)) {
            Some(link) if !link.blackholed => link.serial,
            _ => return,
        };
        let data = matches!(message, Message::Dispatch(_) | Message::Chunk(_));
        // Messages that are sent to the same peer at the same time share a packet.
        let new_packet = self.last_sent.insert((from, to), self.now) != Some(self.now);
        if !data {
            let bytes =
                encode(&message).len() as u64 + if new_packet { PACKET_OVERHEAD } else { 0 };
            for node in [from, to] {
                let traffic = self.control.entry(node).or_default();
                traffic.bytes += bytes;
                traffic.messages += 1;
            }
        }
        let duplicated =
            self.plan.duplicate_rate > 0.0 && self.rng.f64() < self.plan.duplicate_rate;
        for _ in 0..=u32::from(duplicated) {
            let mut at = self.now + self.plan.delay;
            if self.plan.jitter > Duration::ZERO {
                at += Duration::from_micros(self.rng.u64(..self.plan.jitter.as_micros() as u64));
            }
            let event = Event::Message {
                from,
                to,
                link,
                message: message.clone(),
            };
            self.schedule(at, event);
        }
    }

    fn deliver(&mut self, from: Node, to: Node, link: u64, message: Message) {
        let open_link = self.open_links.get(&(to, from)).copied();
        if open_link != Some(link) || self.is_partitioned(from, to) || !self.is_live(to) {
            return;
        }
        let Some(message) = self.handle_rules(from, to, message) else {
            return;
        };
        match (from, to) {
            (Node::Sidecar(i), Node::Router(j)) => {
                let target = id(&name_of(Node::Sidecar(i)));
                self.router_step(j, router::Input::SidecarMessage { target, message });
            }
            (Node::Router(i), Node::Sidecar(j)) => {
                let router = id(&name_of(Node::Router(i)));
                self.sidecar_step(j, sidecar::Input::Message { router, message });
            }
            (Node::Router(i), Node::Router(j)) => {
                let router = id(&name_of(Node::Router(i)));
                self.router_step(j, router::Input::PeerMessage { router, message });
            }
            _ => {}
        }
    }

    /// Handles messages about rules, as the shell does, and returns all other messages.
    fn handle_rules(&mut self, from: Node, to: Node, message: Message) -> Option<Message> {
        match message {
            Message::Heartbeat(version) => {
                if self.stores[&to].compare(version) == SyncAction::Fetch {
                    self.send(to, from, Message::FetchRules);
                }
            }
            Message::FetchRules => {
                let text = self.stores[&to].text().to_owned();
                self.send(to, from, Message::Rules(text));
            }
            Message::Rules(text) => self.publish(to, &text),
            Message::Patch(patch) => {
                let old = self.stores[&to].clone();
                let store = self
                    .stores
                    .get_mut(&to)
                    .expect("each started process has a store");
                match store.install_patch(&patch) {
                    Some(Ok(true)) => self.apply_rules(to, &old),
                    Some(_) => {}
                    None => self.send(to, from, Message::FetchRules),
                }
            }
            other => return Some(other),
        }
        None
    }

    fn tick(&mut self, node: Node, instance: u64) {
        if self.instances[&node] != instance {
            return;
        }
        match node {
            Node::Router(i) => self.router_step(i, router::Input::Tick),
            Node::Sidecar(i) => self.sidecar_step(i, sidecar::Input::Tick),
        }
        self.schedule(self.now + TICK, Event::Tick(node, instance));
    }

    pub fn router_step(&mut self, i: usize, input: router::Input) {
        let time = self.local_time(Node::Router(i));
        let Some(router) = self.routers[i].as_mut() else {
            return;
        };
        let start = Instant::now();
        let outputs = router.step(time, input);
        *self.step_time.entry(Node::Router(i)).or_default() += start.elapsed();
        self.router_outputs(i, outputs);
    }

    fn router_outputs(&mut self, i: usize, outputs: Vec<router::Output>) {
        for out in outputs {
            match out {
                router::Output::Send(target, message) => {
                    let to = self.by_id[&target];
                    self.send(Node::Router(i), to, message);
                }
                router::Output::SendPeer(router, message) => {
                    let to = self.by_id[&router];
                    self.send(Node::Router(i), to, message);
                }
                router::Output::Reply(sequence, reply) => self.reply(i, sequence, reply),
                router::Output::Drained => {}
                router::Output::Log(event) => self.log_event(Node::Router(i), &event),
            }
        }
    }

    fn log_event(&mut self, node: Node, event: &dyn std::fmt::Display) {
        if self.logging {
            let time = self.now.as_micros();
            self.log.push(format!("{time} {} {event}", name_of(node)));
        }
    }

    /// Returns the time on a process's own clock, which starts with the process.
    fn local_time(&self, node: Node) -> Time {
        self.now - self.starts.get(&node).copied().unwrap_or_default()
    }

    pub fn sidecar_step(&mut self, i: usize, input: sidecar::Input) {
        let time = self.local_time(Node::Sidecar(i));
        let Some(sidecar) = self.sidecars[i].as_mut() else {
            return;
        };
        let start = Instant::now();
        let outputs = sidecar.step(time, input);
        *self.step_time.entry(Node::Sidecar(i)).or_default() += start.elapsed();
        for out in outputs {
            match out {
                sidecar::Output::Send(router, message) => {
                    let to = self.by_id[&router];
                    self.send(Node::Sidecar(i), to, message);
                }
                sidecar::Output::Run(dispatch) => self.begin(i, &dispatch),
                sidecar::Output::Abort(id) => {
                    if let Some((call, run)) = self.running.remove(&(i, id)) {
                        self.truth.finish(self.now, call, run);
                    }
                }
                sidecar::Output::Connect(router) => {
                    let to = self.by_id[&router];
                    self.extra_links.insert((Node::Sidecar(i), to), self.now);
                }
                sidecar::Output::Resume(_) | sidecar::Output::Drained => {}
                sidecar::Output::Log(event) => self.log_event(Node::Sidecar(i), &event),
            }
        }
    }

    fn begin(&mut self, sidecar: usize, dispatch: &Dispatch) {
        let call: usize = dispatch
            .head
            .path
            .parse()
            .expect("the path of a simulated request is the number of its call");
        let run = self.truth.begin(self.now, call);
        let account = self.truth.calls[call].account;
        let cost = self.plan.cost(call, account) * self.plan.slow[sidecar];
        self.running.insert((sidecar, dispatch.id), (call, run));
        let instance = self.instances[&Node::Sidecar(sidecar)];
        let event = Event::Finish {
            sidecar,
            instance,
            id: dispatch.id,
            call,
            run,
        };
        self.schedule(self.now + cost, event);
    }

    fn finish(&mut self, i: usize, instance: u64, id: AttemptId, call: usize, run: u64) {
        if self.instances[&Node::Sidecar(i)] != instance || self.running.remove(&(i, id)).is_none()
        {
            return;
        }
        self.truth.finish(self.now, call, run);
        let head = Head {
            status: 200,
            method: String::new(),
            path: String::new(),
            fields: Vec::new(),
        };
        let data = bytes::Bytes::from(call.to_string());
        let end = End {
            length: data.len() as u64,
            trailers: Vec::new(),
        };
        let input = sidecar::Input::Answer {
            id,
            head: Some(head),
            data,
            end: Some(end),
        };
        self.sidecar_step(i, input);
    }

    fn arrive(&mut self, router: usize, account: usize, again: bool) {
        // The platform's load balancer sends callers to a router that is up.
        let live = (0..self.plan.routers).filter(|i| self.routers[*i].is_some());
        let live: Vec<_> = live.collect();
        if live.is_empty() {
            let at = self.now + TICK;
            return self.schedule(
                at,
                Event::Arrive {
                    router,
                    account,
                    again,
                },
            );
        }
        if !again {
            self.schedule_arrival(router, account);
        }
        let load = &self.plan.loads[account];
        if !load.is_active(self.now) {
            if again {
                let at = self.now + Duration::from_millis(100);
                self.schedule(
                    at,
                    Event::Arrive {
                        router,
                        account,
                        again,
                    },
                );
            }
            return;
        }
        let router = match self.routers[router] {
            Some(_) => router,
            None => live[account % live.len()],
        };
        let write = load.write;
        self.submit(router, account, write, None, again);
    }

    /// Sends a request of a caller to a router and returns the number of the call.
    pub fn submit(
        &mut self,
        router: usize,
        account: usize,
        write: bool,
        key: Option<IdempotencyKey>,
        again: bool,
    ) -> usize {
        let call = self.truth.arrive(Call {
            account,
            router,
            arrived: self.now,
            write,
            again,
            key: key.map(|key| key.key),
            waiting: true,
            started: None,
            runs: 0,
            outcome: None,
        });
        let head = Head {
            status: 0,
            method: "POST".to_owned(),
            path: call.to_string(),
            fields: Vec::new(),
        };
        let ask = RequestSpec {
            account: id(&self.plan.account(account)),
            service: id(SERVICE),
            head: Rc::new(head),
            body: bytes::Bytes::new(),
            write: write.then_some(1),
            key,
            conversation: None,
            timeout: self.plan.limit,
        };
        let time = self.local_time(Node::Router(router));
        let instance = self.instances[&Node::Router(router)];
        let Some(core) = self.routers[router].as_mut() else {
            self.truth.end(call, Outcome::Cut);
            return call;
        };
        let start = Instant::now();
        let (sequence, outputs) = core.arrive(time, ask);
        *self.step_time.entry(Node::Router(router)).or_default() += start.elapsed();
        self.calls.insert((router, instance, sequence), call);
        self.router_outputs(router, outputs);
        call
    }

    fn reply(&mut self, router: usize, sequence: Sequence, reply: Reply) {
        let instance = self.instances[&Node::Router(router)];
        let key = (router, instance, sequence);
        let Some(call) = self.calls.get(&key).copied() else {
            return;
        };
        let outcome = match reply {
            Reply::Head(_) => return,
            Reply::Data(data) => {
                let own =
                    data == call.to_string().as_bytes() || self.truth.calls[call].key.is_some();
                assert!(own, "call {call} got the answer of another call");
                return;
            }
            Reply::End(_) => Outcome::Whole,
            Reply::Refuse(refusal) => Outcome::Refused(refusal),
            Reply::Break => Outcome::Broken,
        };
        self.calls.remove(&key);
        self.truth.end(call, outcome);
        if self.logging {
            self.log.push(format!(
                "{} caller {call} {outcome:?}",
                self.now.as_micros()
            ));
        }
        self.submit_again(call);
    }

    fn submit_again(&mut self, call: usize) {
        let call = &self.truth.calls[call];
        if call.again {
            let (router, account, again) = (call.router, call.account, true);
            let at = self.now + self.plan.delay * 2;
            self.schedule(
                at,
                Event::Arrive {
                    router,
                    account,
                    again,
                },
            );
        }
    }

    fn maintain(&mut self) {
        let routers: Vec<_> = (0..self.plan.routers)
            .map(|i| id(&name_of(Node::Router(i))))
            .collect();
        for i in 0..self.plan.targets {
            let me = Node::Sidecar(i);
            if self.is_paused(me) || self.sidecars[i].is_none() {
                continue;
            }
            let subset = member::subset(id(&name_of(me)), &routers, member::SUBSET_SIZE);
            let mut wanted: BTreeSet<_> = subset.iter().map(|router| self.by_id[router]).collect();
            for (from, to) in self.extra_links.keys() {
                if *from == me {
                    wanted.insert(*to);
                }
            }
            for peer in self.peers(me) {
                let idle = self.sidecars[i]
                    .as_ref()
                    .is_some_and(|core| core.is_idle(id(&name_of(peer))));
                let since = self
                    .extra_links
                    .get(&(me, peer))
                    .copied()
                    .unwrap_or_default();
                if !subset.contains(&id(&name_of(peer)))
                    && idle
                    && self.now > since + EXTRA_LINK_LIFETIME
                {
                    self.extra_links.remove(&(me, peer));
                    wanted.remove(&peer);
                    if let Some(serial) = self.links.get(&Self::ends(me, peer)).map(|l| l.serial) {
                        let (a, b) = Self::ends(me, peer);
                        self.schedule(self.now + self.plan.delay, Event::Lost(a, b, serial));
                    }
                }
            }
            for peer in wanted {
                self.dial(me, peer);
            }
        }
        for i in 0..self.plan.routers {
            let me = Node::Router(i);
            if self.is_paused(me) || self.routers[i].is_none() {
                continue;
            }
            // A router keeps a link to one parent, which has a lower rank, so the links between
            // routers form a forest.
            let parents = member::parents(routers[i], &routers);
            let parents: Vec<_> = parents.iter().map(|parent| self.by_id[parent]).collect();
            if self.peers(me).iter().any(|peer| parents.contains(peer)) {
                continue;
            }
            let parent = parents
                .into_iter()
                .filter(|parent| self.is_live(*parent) && !self.is_partitioned(me, *parent))
                .find(|parent| !self.is_paused(*parent));
            if let Some(parent) = parent {
                self.dial(me, parent);
            }
        }
        self.schedule(self.now + MAINTENANCE_INTERVAL, Event::Maintain);
    }

    fn is_paused(&self, node: Node) -> bool {
        self.paused
            .get(&node)
            .is_some_and(|until| *until > self.now)
    }

    fn dial(&mut self, from: Node, to: Node) {
        let ends = Self::ends(from, to);
        let ready = self.is_live(to) && !self.is_partitioned(from, to) && !self.is_paused(to);
        if ready && !self.links.contains_key(&ends) && self.opening.insert(ends) {
            self.schedule(self.now + self.plan.delay * 4, Event::Open(ends.0, ends.1));
        }
    }

    fn open(&mut self, a: Node, b: Node) {
        self.opening.remove(&(a, b));
        if !self.is_live(a) || !self.is_live(b) || self.is_partitioned(a, b) {
            return;
        }
        self.serial += 1;
        let serial = self.serial;
        let link = Link {
            serial,
            lost: false,
            blackholed: false,
        };
        self.links.insert((a, b), link);
        for (me, peer) in [(a, b), (b, a)] {
            self.open_links.insert((me, peer), serial);
            self.up(me, peer);
            let version = self.stores[&me].version();
            self.send(me, peer, Message::Heartbeat(version));
        }
    }

    fn up(&mut self, me: Node, peer: Node) {
        let peer_id = id(&name_of(peer));
        let incarnation = self
            .incarnation(peer)
            .expect("a link opens only while its peer is running");
        match (me, peer) {
            (Node::Router(i), Node::Sidecar(_)) => self.router_step(
                i,
                router::Input::SidecarUp {
                    target: peer_id,
                    service: id(SERVICE),
                    incarnation,
                },
            ),
            (Node::Router(i), Node::Router(_)) => {
                self.router_step(i, router::Input::PeerUp { router: peer_id });
            }
            (Node::Sidecar(i), _) => self.sidecar_step(
                i,
                sidecar::Input::Up {
                    router: peer_id,
                    incarnation,
                },
            ),
        }
    }

    fn incarnation(&self, node: Node) -> Option<ids::Incarnation> {
        match node {
            Node::Router(i) => self.routers[i].as_ref().map(Router::incarnation),
            Node::Sidecar(i) => self.sidecars[i].as_ref().map(Sidecar::incarnation),
        }
    }

    /// Closes a link at both ends. A paused process notices it when it resumes.
    fn close_link(&mut self, a: Node, b: Node, serial: u64) {
        if self.links.get(&(a, b)).map(|link| link.serial) != Some(serial) {
            return;
        }
        self.links.remove(&(a, b));
        for (me, peer) in [(a, b), (b, a)] {
            let until = self.paused.get(&me).copied().unwrap_or_default();
            match until > self.now {
                true => self.schedule(until, Event::Down(me, peer, serial)),
                false => self.down(me, peer, serial),
            }
        }
    }

    /// Reports the end of a link to one of its processes, unless that has a newer link.
    fn down(&mut self, me: Node, peer: Node, serial: u64) {
        if self.open_links.get(&(me, peer)) != Some(&serial) {
            return;
        }
        self.open_links.remove(&(me, peer));
        let peer_id = id(&name_of(peer));
        match (me, peer) {
            (Node::Router(i), Node::Sidecar(_)) => {
                self.router_step(i, router::Input::SidecarDown { target: peer_id });
            }
            (Node::Router(i), Node::Router(_)) => {
                self.router_step(i, router::Input::PeerDown { router: peer_id });
            }
            (Node::Sidecar(i), _) => {
                self.sidecar_step(i, sidecar::Input::Down { router: peer_id });
            }
        }
    }

    /// Makes a link drop all messages, until it times out at both ends.
    pub fn blackhole(&mut self, a: Node, b: Node) {
        let ends = Self::ends(a, b);
        if let Some(link) = self.links.get_mut(&ends) {
            // The new serial number also drops the messages that are in transit.
            self.serial += 1;
            link.serial = self.serial;
            link.lost = true;
            link.blackholed = true;
            let serial = self.serial;
            self.open_links.insert((a, b), serial);
            self.open_links.insert((b, a), serial);
            self.schedule(self.now + LINK_TIMEOUT, Event::Lost(ends.0, ends.1, serial));
        }
    }

    /// Sends heartbeats, and schedules the timeout of links that a partition or a pause has
    /// interrupted.
    fn heartbeat(&mut self) {
        let links: Vec<_> = self
            .links
            .iter()
            .map(|(ends, link)| (*ends, link.serial, link.lost))
            .collect();
        for ((a, b), serial, lost) in links {
            let unresponsive = self.is_partitioned(a, b) || self.is_paused(a) || self.is_paused(b);
            if unresponsive && !lost {
                if let Some(link) = self.links.get_mut(&(a, b)) {
                    link.lost = true;
                }
                self.schedule(self.now + LINK_TIMEOUT, Event::Lost(a, b, serial));
                continue;
            }
            for (from, to) in [(a, b), (b, a)] {
                // Any message counts as a heartbeat, so an explicit one is sent only after an
                // interval without messages.
                let last = self.last_sent.get(&(from, to)).copied();
                if last.is_none_or(|last| self.now >= last + HEARTBEAT_INTERVAL) {
                    let version = self.stores[&from].version();
                    self.send(from, to, Message::Heartbeat(version));
                }
            }
        }
        self.schedule(self.now + HEARTBEAT_INTERVAL, Event::Heartbeat);
    }

    /// Returns the control bytes per second of the process with the most, over a time span.
    pub fn control_rate(&self, span: Duration) -> f64 {
        let most = self.control.values().map(|traffic| traffic.bytes).max();
        most.unwrap_or_default() as f64 / span.as_secs_f64()
    }
}

/// Returns the name of a process.
pub fn name_of(node: Node) -> String {
    match node {
        Node::Router(i) => format!("router-{i}"),
        Node::Sidecar(i) => format!("target-{i}"),
    }
}

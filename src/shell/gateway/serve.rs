//! The listeners of a gateway, its start and its graceful shutdown.

use std::{
    cell::RefCell,
    net::{
        IpAddr,
        SocketAddr, //
    },
    pin::pin,
    rc::{
        Rc,
        Weak, //
    },
    task::Poll,
    time::Duration, //
};

use compio::{
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    runtime::spawn,
    time::sleep, //
};
use cyper_core::CompioTimer;
use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{
        Either,
        Shared,
        select, //
    },
    poll, //
};
use hyper::{
    Request,
    StatusCode,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use serde::Serialize;

use super::{
    exchange::{
        Exchange,
        Unanswered, //
    },
    front,
    peers,
    process::{
        Process,
        TICK_INTERVAL, //
    },
    watch, //
};
use crate::{
    feed::EvacuationSource,
    ids::{
        Position,
        Time, //
    },
    pool::{
        ACCEPT_GRACE,
        ColdStatus,
        MemoryBudget,
        PartStatus,
        Stop,
        part_id, //
    },
    rules::{
        Defects,
        Limit, //
    },
    settings::GatewaySettings,
    shell::{
        StartError,
        admin,
        body,
        caller_watch::{
            CallerWatch,
            CallerWatches, //
        }, //
        intake::{
            IDLE_LIMIT,
            MAX_READ, //
        },
        memory::{
            close_if_near_limit,
            connection_limit,
            set_connection_close, //
        },
        open_list::OpenList,
        panics::{
            self,
            restart_on_panic, //
        },
        presence::{
            CallerGone,
            Presence, //
        },
        stream::{
            LastEmpty,
            Stream, //
        },
    }, //
};

/// The part of [`STOP_MARGIN`](crate::pool::STOP_MARGIN) in which the answers to requests that have
/// not ended are written.
const CLOSE_GRACE: Duration = Duration::from_millis(250);

/// The interval at which a process that closes checks whether its answers are written.
const CLOSE_INTERVAL: Duration = Duration::from_millis(5);

/// The interval at which heads that take too long are looked for.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The largest request head where no rule sets a limit, in bytes.
const DEFAULT_MAX_HEAD: usize = 64 << 10;

/// The bound on the largest head that the rules may allow, in bytes.
const HEAD_BOUND: usize = 256 << 10;

/// The smallest read buffer that hyper accepts, in bytes.
const MIN_READ_BUFFER: usize = 8 << 10;

/// A running gateway.
pub struct GatewayProcess {
    process: Rc<Process>,
    callers: Rc<CallerConnections>,
    /// Stops the thread that reads the store when it is dropped.
    _store_reader: oneshot::Sender<()>,
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

struct CallerConnections {
    /// Counts the connections that are open.
    memory: MemoryBudget,
    /// The number of connections beyond which each is closed after a refusal.
    max_connections: usize,
    /// `None` once no more connections are to be accepted than those that wait.
    accepting: RefCell<Option<oneshot::Sender<()>>>,
    /// Ends when `accepting` is dropped.
    accept_end: Shared<oneshot::Receiver<()>>,
    /// Tells each connection to shut down gracefully.
    shutdowns: RefCell<OpenList<oneshot::Sender<()>>>,
    /// What the connections that are open send.
    watches: CallerWatches,
    /// The requests of the connections that are open.
    exchanges: RefCell<OpenList<Weak<Exchange>>>,
}

impl CallerConnections {
    fn new(max_connections: usize, memory: MemoryBudget) -> Self {
        let (accepting, accept_end) = oneshot::channel();
        Self {
            memory,
            max_connections,
            accepting: RefCell::new(Some(accepting)),
            accept_end: accept_end.shared(),
            shutdowns: RefCell::default(),
            watches: CallerWatches::default(),
            exchanges: RefCell::default(),
        }
    }

    /// Registers a connection; the returned signal tells it to close after its current request.
    fn shutdown_signal(&self) -> oneshot::Receiver<()> {
        let (shutdown, shutdown_signal) = oneshot::channel();
        let mut shutdowns = self.shutdowns.borrow_mut();
        shutdowns.push(shutdown, |shutdown| !shutdown.is_canceled());
        shutdown_signal
    }

    /// Registers the requests of a new connection.
    fn track_exchange(&self) -> Rc<Exchange> {
        let exchange = Rc::default();
        let mut exchanges = self.exchanges.borrow_mut();
        exchanges.push(Rc::downgrade(&exchange), |open| open.strong_count() > 0);
        exchange
    }

    /// Returns whether a request has no complete answer.
    fn has_unanswered(&self) -> bool {
        let exchanges = self.exchanges.borrow();
        let mut open = exchanges.iter().filter_map(Weak::upgrade);
        open.any(|exchange| exchange.is_unanswered())
    }

    /// Takes the requests that have no complete answer.
    fn take_unanswered(&self) -> Vec<Unanswered> {
        let exchanges = self.exchanges.borrow();
        let open = exchanges.iter().filter_map(Weak::upgrade);
        open.filter_map(|exchange| exchange.take()).collect()
    }

    /// Ends accepting: the connections that wait are the last ones, and the listener closes.
    fn end_accepting(&self) {
        self.accepting.take();
    }

    fn is_accepting(&self) -> bool {
        self.accepting.borrow().is_some()
    }

    /// Closes idle connections at once, and the others after their current request.
    fn start_shutdown(&self) {
        for shutdown in self.shutdowns.borrow_mut().take() {
            // Fails only if the connection has closed already.
            let _ = shutdown.send(());
        }
    }

    /// Returns whether there is no room for another connection.
    fn is_full(&self) -> bool {
        self.memory.is_full(self.max_connections)
    }
}

/// The status page of a gateway, which `redwingyard status` prints.
#[derive(Serialize)]
struct Status {
    name: String,
    generation: u64,
    digest: String,
    rules_age_ms: Option<u64>,
    /// Why the newest configuration can't be read.
    config_error: Option<String>,
    /// The entries of the configuration in force that are not used as written.
    config_defects: Defects,
    /// The store's position up to which everything was read.
    store: Option<Position>,
    /// The generation of rules that the store has lost and another gateway has in force.
    missing: Option<u64>,
    /// The entries that are held back because their targets had left.
    held: Vec<String>,
    /// The evacuated failure domains, once a set of them is known.
    evacuated: Option<EvacuationStatus>,
    ready: bool,
    peers: usize,
    requests: usize,
    waiting: Vec<(String, usize)>,
    /// The prompt parts that crashes count against.
    parts: Vec<PartStatus>,
    /// The engines that are expected to take much longer than the others of their service, each with the
    /// percentage.
    slow: Vec<(String, u32)>,
    /// The cold targets by name.
    cold: Vec<(String, ColdStatus)>,
}

/// The evacuated failure domains on the status page.
#[derive(Serialize)]
struct EvacuationStatus {
    /// The position of the store up to which they are known.
    position: Position,
    /// Where the set comes from.
    source: EvacuationSource,
    /// The number of other gateways that have last reported the same domains.
    reported: usize,
    domains: Vec<DomainStatus>,
}

#[derive(Serialize)]
struct DomainStatus {
    /// The name, or its hash if no name is known.
    domain: String,
    /// The time since this gateway learned of the evacuation, in milliseconds.
    age_ms: u64,
}

impl GatewayProcess {
    /// Binds the sockets and starts the tasks of a gateway.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound, or the thread that reads the store can't be started.
    pub async fn start(settings: GatewaySettings) -> Result<Self, StartError> {
        let listener = TcpListener::bind(settings.http).await?;
        let admin = TcpListener::bind(settings.admin).await?;
        let socket = peers::bind(&settings).await?;
        let name = settings.name.clone();
        let process = Rc::new(Process::new(settings));
        let max_connections = process.settings.connections;
        let max_connections = max_connections.unwrap_or_else(|| connection_limit(&process.memory));
        let (address, state) = (process.settings.store, process.store.clone());
        let (clock, apply_limit) = (process.clock.clone(), process.settings.apply_limit());
        let store_reader = watch::spawn_reader(address, state, clock, apply_limit)?;
        let callers = Rc::new(CallerConnections::new(
            max_connections,
            process.memory.clone(),
        ));
        let running = Self {
            http: listener.local_addr()?,
            admin: admin.local_addr()?,
            process: process.clone(),
            callers: callers.clone(),
            _store_reader: store_reader,
        };
        log::info!(
            "event=start role=gateway name={name} version={} incarnation={:x} http={} admin={}",
            env!("CARGO_PKG_VERSION"),
            process.incarnation,
            running.http,
            running.admin,
        );
        for rule in &process.settings.parts {
            let (part, by) = (part_id(&rule.part), &rule.by);
            log::info!(
                "event=part-rule part={part:x} refuse={} by=\"{by}\"",
                rule.refuse
            );
        }
        spawn_tasks(&process, callers, listener, socket);
        spawn(admin::serve(admin, move |path| page(&process, path))).detach();
        Ok(running)
    }

    /// Stops gracefully; returns whether every connection has closed in time.
    ///
    /// At first the gateway reports that it is not ready, so that the platform sends callers
    /// elsewhere; it still accepts connections, and each answer closes its connection. Then no
    /// connection is accepted and idle ones are closed. The stop ends shortly before the stop timeout,
    /// counted from the earliest time at which the signal can have come. A request that [`Stop`] does
    /// not admit is refused. One that has not ended at the end of the stop is answered as expired, or as
    /// refused if it is not at a target, and the process ends when the answers are written.
    pub async fn drain(self) -> bool {
        let noticed = self.process.clock.now();
        let begun = self.process.earliest_arrival(Duration::ZERO);
        let stop = Stop::new(begun, noticed, self.process.settings.stop_timeout());
        self.process.stop(stop);
        let requests = self.process.pool.borrow().active();
        let late = noticed.saturating_sub(begun);
        log::info!(
            "event=stopping requests={requests} connections={} late_ms={}",
            self.callers.memory.connections(),
            late.as_millis(),
        );
        let now = || self.process.clock.now();
        let end = stop.end();
        while now() < end.min(noticed + ACCEPT_GRACE) {
            sleep(TICK_INTERVAL).await;
        }
        self.callers.end_accepting();
        // This lets the connections be accepted that wait.
        sleep(TICK_INTERVAL).await;
        while self.callers.memory.connections() > 0 && now() < end {
            self.callers.start_shutdown();
            sleep(TICK_INTERVAL).await;
        }
        let left = self.callers.memory.connections();
        if left > 0 {
            self.process.close();
            // The requests' tasks run before their answers can be written.
            sleep(CLOSE_INTERVAL).await;
            while self.callers.has_unanswered() && now() < end + CLOSE_GRACE {
                sleep(CLOSE_INTERVAL).await;
            }
        }
        for unanswered in self.callers.take_unanswered() {
            log_cut(&self.process, &unanswered, "stop-timeout", None);
        }
        log::info!("event=stop connections={left}");
        left == 0
    }
}

/// Starts the tasks of a gateway, each of which goes on after a panic.
fn spawn_tasks(
    process: &Rc<Process>,
    callers: Rc<CallerConnections>,
    listener: TcpListener,
    socket: Rc<UdpSocket>,
) {
    let (of_receive, inbound) = (process.clone(), socket.clone());
    let receive = move || peers::receive_beacons(of_receive.clone(), inbound.clone());
    let of_send = process.clone();
    let send = move || peers::send_rounds(of_send.clone(), socket.clone());
    let of_tick = process.clone();
    let of_callers = callers.clone();
    let tick = move || tick(of_tick.clone(), of_callers.clone());
    let (of_accept, listener) = (process.clone(), Rc::new(listener));
    let accept = move || accept(of_accept.clone(), callers.clone(), listener.clone());
    spawn(restart_on_panic(receive)).detach();
    spawn(restart_on_panic(send)).detach();
    spawn(restart_on_panic(tick)).detach();
    spawn(restart_on_panic(accept)).detach();
}

async fn tick(process: Rc<Process>, callers: Rc<CallerConnections>) {
    let mut checked = process.clock.now();
    loop {
        sleep(TICK_INTERVAL).await;
        process.tick();
        let now = process.clock.now();
        if now < checked + HEAD_CHECK_INTERVAL {
            continue;
        }
        checked = now;
        if let Some(limit) = process.rules().limit(Limit::HeaderTime) {
            let limit = Duration::from_millis(limit);
            callers.watches.close_late_heads(now, limit);
        }
    }
}

/// Accepts connections of callers, and pauses while there is no room for another one. When accepting
/// ends, the listener is dropped, so that later callers are refused a connection and can try
/// elsewhere at once.
async fn accept(process: Rc<Process>, callers: Rc<CallerConnections>, listener: Rc<TcpListener>) {
    // The last time at which no connection was waiting to be accepted. It is not updated while
    // accepting is paused, because the queue of new connections is not checked then.
    let mut last_empty = process.clock.now();
    loop {
        while callers.is_full() {
            if !callers.is_accepting() {
                return;
            }
            process.at_capacity.set(true);
            callers.watches.evict(process.clock.now());
            sleep(TICK_INTERVAL).await;
        }
        process.at_capacity.set(false);
        let mut accept = std::pin::pin!(listener.accept());
        let accepted = match poll!(accept.as_mut()) {
            Poll::Ready(accepted) => accepted,
            Poll::Pending if !callers.is_accepting() => return,
            Poll::Pending => {
                last_empty = process.clock.now();
                match select(accept, callers.accept_end.clone()).await {
                    Either::Left((accepted, _)) => accepted,
                    // Connections that have come meanwhile are accepted by the next try.
                    Either::Right(_) => continue,
                }
            }
        };
        match accepted {
            Ok((stream, address)) => {
                process.count_accepted();
                let process = process.clone();
                let callers = callers.clone();
                let opened = callers.memory.track_connection();
                let drained =
                    LastEmpty::new(process.clock.clone(), process.earliest_arrival(last_empty));
                spawn(async move {
                    serve_caller(process, &callers, stream, address.ip(), drained).await;
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
async fn serve_caller(
    process: Rc<Process>,
    callers: &Rc<CallerConnections>,
    stream: TcpStream,
    address: IpAddr,
    drained: LastEmpty,
) {
    let _ = stream.set_nodelay(true);
    let exchange = callers.track_exchange();
    let (watch, closed) = CallerWatch::new(process.clock.clone(), &callers.memory, address);
    callers.watches.push(&watch);
    let (flushed, written) = (exchange.clone(), watch.clone());
    let stream = match Stream::new(stream) {
        Ok(stream) => stream
            .with_max_read(MAX_READ)
            .record_empty(drained.clone())
            .with_watch(watch.clone())
            .on_flush(move || {
                if flushed.flushed() {
                    written.end_answer();
                }
            }),
        Err(err) => return log::warn!("event=accept-failed error=\"{err}\""),
    };
    let reset = stream.reset_handle();
    let presence = Presence::new(process.clock.clone(), stream.socket(), drained.clone());
    let limit = process.rules().limit(Limit::HeaderBytes);
    let max_head = limit.map_or(DEFAULT_MAX_HEAD, |limit| limit as usize);
    let service = service_fn(|request: Request<Incoming>| {
        let (process, callers) = (process.clone(), callers.clone());
        let arrived = process.earliest_arrival(drained.at());
        process.count_head();
        let (version, reset) = (request.version(), reset.clone());
        let (exchange, presence) = (exchange.clone(), presence.clone());
        let watch = watch.clone();
        watch.begin_request();
        async move {
            let handled =
                front::handle(process.clone(), request, arrived, exchange, presence, watch);
            let response = handled.await?;
            let mut response = body::for_version(response, version, &reset);
            close_if_near_limit(&callers.memory, callers.max_connections, &mut response);
            if process.is_stopping() || process.sheds_connection(&response) {
                set_connection_close(&mut response);
            }
            Ok::<_, CallerGone>(response)
        }
    });
    let idle_limit = process.rules().limit(Limit::IdleTime);
    let connection = http1::Builder::new()
        .max_buf_size(max_head.clamp(MIN_READ_BUFFER, HEAD_BOUND))
        .timer(CompioTimer)
        // hyper's timeout also covers the idle time before a head begins.
        .header_read_timeout(idle_limit.map_or(IDLE_LIMIT, Duration::from_millis))
        .serve_connection(stream, service);
    let shutdown_signal = callers.shutdown_signal();
    let connection = std::pin::pin!(connection);
    let served = pin!(async {
        match select(connection, shutdown_signal).await {
            Either::Left((ended, _)) => ended,
            Either::Right((_, mut connection)) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    });
    let ended = match select(served, closed).await {
        Either::Left((ended, _)) => ended,
        // The connection is closed by dropping it.
        Either::Right(_) => Ok(()),
    };
    if let Some(cause) = close_cause(&watch, &ended) {
        process.count_closed(cause);
    }
    if let Some(unanswered) = exchange.take() {
        let seen = Some(presence.seen());
        log_cut(&process, &unanswered, cut_cause(&ended), seen);
    }
}

/// Returns why a connection was closed for what its caller sent, or so that others can be accepted.
fn close_cause(watch: &CallerWatch, ended: &hyper::Result<()>) -> Option<String> {
    let unread = match ended {
        Err(err) if err.is_parse_too_large() => Some("head-too-large"),
        Err(err) if err.is_parse() => Some("bad-head"),
        _ => None,
    };
    let cause = watch.cause().map(|cause| cause.to_string());
    cause.or(unread.map(str::to_owned))
}

/// Returns why a connection ended before its request had a complete answer.
fn cut_cause(ended: &hyper::Result<()>) -> &'static str {
    match ended {
        Ok(()) => "closed",
        Err(err) if err.is_incomplete_message() => "caller-closed",
        Err(err) if err.is_user() => "answer-broke-off",
        Err(err) if err.is_timeout() => "timeout",
        Err(_) => "connection-failed",
    }
}

/// Logs and counts a request whose connection ended before its answer was complete; `seen` is when
/// its caller was last known to be there.
#[cold]
fn log_cut(process: &Process, unanswered: &Unanswered, cause: &str, seen: Option<Time>) {
    process.metrics.count_cut(cause);
    let age = seen.map(|seen| process.clock.now().saturating_sub(seen));
    log::info!(
        "event=cut request={} cause={cause} stage={} stopping={} caller_age_ms={}",
        unanswered.request,
        unanswered.stage,
        process.is_stopping(),
        age.map_or(-1, |age| age.as_millis() as i64),
    );
}

/// Answers a request of an operator, or returns `None` for an unknown path.
fn page(process: &Process, path: &str) -> Option<admin::Page> {
    Some(match path {
        "/healthz" => (StatusCode::OK, b"ok\n".to_vec()),
        "/readyz" => admin::ready(process.is_ready()),
        "/status" => admin::json(&status(process)),
        "/metrics" => (StatusCode::OK, metrics(process)),
        _ => return None,
    })
}

fn status(process: &Process) -> Status {
    let rules = process.rules();
    let pool = process.pool.borrow();
    let waiting = pool.waiting();
    Status {
        name: process.settings.name.clone(),
        generation: rules.generation(),
        digest: format!("{:016x}", rules.digest()),
        rules_age_ms: process.rules_age().map(|age| age.as_millis() as u64),
        config_error: process.store.refused(),
        config_defects: rules.defects().clone(),
        store: process.store.applied(),
        missing: process.missing_generation(),
        held: process
            .feed
            .borrow()
            .held()
            .map(|listing| listing.name.clone())
            .collect(),
        evacuated: evacuation_status(process),
        ready: process.is_ready(),
        peers: process.peers.len(),
        requests: pool.active(),
        waiting: waiting
            .map(|(service, count)| (rules.name(service).to_string(), count))
            .collect(),
        parts: pool.part_status(process.clock.now()),
        slow: pool
            .slow_engines(process.clock.now())
            .filter_map(|(target, percent)| Some((process.target(target)?.name, percent)))
            .collect(),
        cold: pool
            .cold_status(process.clock.now())
            .into_iter()
            .map(|status| (process.target_name(status.target), status))
            .collect(),
    }
}

fn evacuation_status(process: &Process) -> Option<EvacuationStatus> {
    let now = process.clock.now();
    let feed = process.feed.borrow();
    let evacuation = feed.evacuation();
    let domains = evacuation.domains(now);
    let domains = domains.map(|(domain, name, age)| DomainStatus {
        domain: feed.domain_label(domain, name),
        age_ms: age.as_millis() as u64,
    });
    let hashes = evacuation.domains(now).map(|(domain, ..)| domain);
    Some(EvacuationStatus {
        position: evacuation.position()?,
        source: evacuation.source(),
        reported: process.peers.count_same_evacuation(hashes),
        domains: domains.collect(),
    })
}

/// Updates the gauges and returns all metrics as text.
fn metrics(process: &Process) -> Vec<u8> {
    let metrics = &process.metrics;
    let connections = process.memory.connections();
    metrics.connections.set(connections as i64);
    metrics.held.set(process.memory.reserved() as i64);
    metrics.active.set(process.pool.borrow().active() as i64);
    let headroom = process.pool.borrow().headroom(process.clock.now());
    metrics.headroom.set((headroom * 100.0) as i64);
    let slow_starts = process.pool.borrow().slow_starts();
    metrics.slow_starts.set(slow_starts as i64);
    let held = process.pool.borrow().slow_start_held();
    metrics.slow_start_held.set(held as i64);
    metrics.panics.set(panics::count() as i64);
    metrics.generation.set(process.rules().generation() as i64);
    let unreadable = process.store.is_unreadable();
    metrics.config_unreadable.set(i64::from(unreadable));
    let defects = process.rules().defects().count;
    metrics.config_defects.set(defects as i64);
    let age = process.rules_age().map_or(-1, |age| age.as_millis() as i64);
    metrics.rules_age.set(age);
    let position = process.store.applied().unwrap_or_default();
    metrics.era.set(position.era as i64);
    let (cold, cold_held) = process.pool.borrow().cold_counts();
    metrics.cold.set(cold as i64);
    metrics.cold_held.set(cold_held as i64);
    let held = process.feed.borrow().held().count();
    metrics.held_entries.set(held as i64);
    let slow = process.pool.borrow();
    let slow = slow.slow_engines(process.clock.now()).count();
    metrics.slow_engines.set(slow as i64);
    let evacuated = process.feed.borrow().evacuation().len();
    metrics.evacuated.set(evacuated as i64);
    metrics.text()
}

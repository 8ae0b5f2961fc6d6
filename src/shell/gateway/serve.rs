//! The listeners of a gateway, its start and its graceful shutdown.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    task::Poll,
    time::Duration, //
};

use compio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime::spawn,
    time::sleep, //
};
use cyper_core::CompioTimer;
use futures_channel::oneshot;
use futures_util::{
    future::{
        Either,
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
    front,
    peers,
    process::{
        Process,
        TICK_INTERVAL, //
    },
    watch, //
};
use crate::{
    pool::Memory,
    rules::Limit,
    settings::GatewaySettings,
    shell::{
        StartError,
        admin,
        intake::{
            IDLE_LIMIT,
            READ_PART, //
        },
        memory::{
            close,
            close_crowded,
            most_connections, //
        },
        stream::{
            Drained,
            Stream, //
        }, //
    }, //
};

/// The time after a stop is asked for in which callers may still come: two readiness checks a
/// second apart, and the time until the second one is acted on.
const LAST_CALLERS: Duration = Duration::from_millis(2_600);

/// The time that is kept at the end of a stop for the process to end.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// The part of that time in which callers whose requests have not ended are told so.
const LAST_ANSWERS: Duration = Duration::from_millis(100);

/// The largest head where no rule sets a limit, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// The least read buffer that hyper takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;

/// A running gateway.
pub struct GatewayProcess {
    process: Rc<Process>,
    door: Rc<Door>,
    /// Ends the thread that follows the store when it is dropped.
    _reader: oneshot::Sender<()>,
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

/// The callers' connections.
struct Door {
    /// Counts the connections that are open.
    memory: Memory,
    /// The connections beyond which each is closed after a refusal.
    most: usize,
    closed: Cell<bool>,
    stops: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Door {
    fn new(most: usize, memory: Memory) -> Self {
        Self {
            memory,
            most,
            closed: Cell::new(false),
            stops: RefCell::default(),
        }
    }

    /// Returns what ends when a connection is to close after the request that is under way.
    fn stopped(&self) -> oneshot::Receiver<()> {
        let (stop, stopped) = oneshot::channel();
        let mut stops = self.stops.borrow_mut();
        stops.retain(|stop| !stop.is_canceled());
        stops.push(stop);
        stopped
    }

    /// Closes connections where no request is under way, and the others after it.
    fn close_idle(&self) {
        for stop in self.stops.borrow_mut().drain(..) {
            // A connection that has closed already needs no word.
            let _ = stop.send(());
        }
    }

    /// Returns whether no further caller can be borne.
    fn is_full(&self) -> bool {
        self.memory.is_full(self.most)
    }
}

/// What `redwingyard status` prints of a gateway.
#[derive(Serialize)]
struct Status {
    name: String,
    generation: u64,
    digest: String,
    rules_age_ms: Option<u64>,
    ready: bool,
    peers: usize,
    requests: usize,
    waiting: Vec<(String, usize)>,
}

impl GatewayProcess {
    /// Starts a gateway.
    ///
    /// # Errors
    ///
    /// Fails where an address can't be bound.
    pub async fn start(settings: GatewaySettings) -> Result<Self, StartError> {
        let listener = TcpListener::bind(settings.http).await?;
        let admin = TcpListener::bind(settings.admin).await?;
        let socket = peers::bind(&settings).await?;
        let name = settings.name.clone();
        let process = Rc::new(Process::new(settings));
        let most = process.settings.connections;
        let most = most.unwrap_or_else(|| most_connections(&process.memory));
        let (store, inbox) = (process.settings.store, process.inbox.clone());
        let reader = watch::follow(store, inbox, process.clock.clone())?;
        let door = Rc::new(Door::new(most, process.memory.clone()));
        let running = Self {
            http: listener.local_addr()?,
            admin: admin.local_addr()?,
            process: process.clone(),
            door: door.clone(),
            _reader: reader,
        };
        log::info!(
            "event=start role=gateway name={name} version={} incarnation={:x} http={} admin={}",
            env!("CARGO_PKG_VERSION"),
            process.incarnation,
            running.http,
            running.admin,
        );
        spawn(accept(process.clone(), door, listener)).detach();
        spawn(peers::listen(process.clone(), socket.clone())).detach();
        spawn(peers::speak(process.clone(), socket)).detach();
        spawn(tick(process.clone())).detach();
        spawn(admin::serve(admin, move |path| page(&process, path))).detach();
        Ok(running)
    }

    /// Stops gracefully; returns whether every request has ended in time.
    ///
    /// The platform first stops sending callers here, while those that are connected are served
    /// once more and told to leave; then no connection is taken, and idle ones are closed; then
    /// the requests that are left end.
    pub async fn drain(self) -> bool {
        let begun = self.process.clock.now();
        let limit = self.process.settings.stop().saturating_sub(STOP_MARGIN);
        self.process.stop();
        let requests = self.process.pool.borrow().active();
        log::info!(
            "event=stopping requests={requests} connections={}",
            self.door.memory.connections()
        );
        let passed = || self.process.clock.now().saturating_sub(begun);
        while passed() < LAST_CALLERS.min(limit) {
            sleep(TICK_INTERVAL).await;
        }
        // Where this process was late just now, those who have connected meanwhile come in first.
        sleep(TICK_INTERVAL).await;
        self.door.closed.set(true);
        while self.door.memory.connections() > 0 && passed() < limit {
            self.door.close_idle();
            sleep(TICK_INTERVAL).await;
        }
        let left = self.door.memory.connections();
        if left > 0 {
            self.process.give_up();
            sleep(LAST_ANSWERS).await;
        }
        log::info!("event=stop connections={left}");
        left == 0
    }
}

async fn tick(process: Rc<Process>) {
    loop {
        sleep(TICK_INTERVAL).await;
        process.tick();
    }
}

async fn accept(process: Rc<Process>, door: Rc<Door>, listener: TcpListener) {
    // When no caller waited to be let in; the time for which the door was full is not known.
    let mut drained = process.clock.now();
    loop {
        while door.is_full() {
            process.full.set(true);
            sleep(TICK_INTERVAL).await;
        }
        process.full.set(false);
        let mut accept = std::pin::pin!(listener.accept());
        let accepted = match poll!(accept.as_mut()) {
            Poll::Ready(accepted) => accepted,
            Poll::Pending => {
                drained = process.clock.now();
                accept.await
            }
        };
        match accepted {
            Ok(_) if door.closed.get() => return,
            Ok((stream, _)) => {
                let process = process.clone();
                let door = door.clone();
                let opened = door.memory.open();
                let drained = Drained::new(process.clock.clone(), process.arrival(drained));
                spawn(async move {
                    converse(process, &door, stream, drained).await;
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
async fn converse(process: Rc<Process>, door: &Rc<Door>, stream: TcpStream, drained: Drained) {
    let _ = stream.set_nodelay(true);
    let stream = match Stream::new(stream) {
        Ok(stream) => stream.by_parts(READ_PART).noting(drained.clone()),
        Err(err) => return log::warn!("event=accept-failed error=\"{err}\""),
    };
    let limit = process.rules().limit(Limit::HeaderBytes);
    let most = limit.map_or(MAX_HEAD, |limit| limit as usize);
    let service = service_fn(|request: Request<Incoming>| {
        let (process, door) = (process.clone(), door.clone());
        let arrived = process.arrival(drained.at());
        async move {
            let mut response = front::handle(process.clone(), request, arrived).await;
            close_crowded(&door.memory, door.most, &mut response);
            if process.is_stopping() {
                close(&mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let idle = process.rules().limit(Limit::IdleTime);
    let connection = http1::Builder::new()
        .max_buf_size(most.max(LEAST_BUFFER))
        .timer(CompioTimer)
        // It also counts the time before a head begins.
        .header_read_timeout(idle.map_or(IDLE_LIMIT, Duration::from_millis))
        .serve_connection(stream, service);
    let stopped = door.stopped();
    let connection = std::pin::pin!(connection);
    if let Either::Right((Ok(()), mut connection)) = select(connection, stopped).await {
        connection.as_mut().graceful_shutdown();
        // How a connection ends is the caller's to choose.
        let _ = connection.await;
    }
}

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
        rules_age_ms: process.age().map(|age| age.as_millis() as u64),
        ready: process.is_ready(),
        peers: process.peers.len(),
        requests: pool.active(),
        waiting: waiting
            .map(|(service, count)| (rules.name(service).to_string(), count))
            .collect(),
    }
}

fn metrics(process: &Process) -> Vec<u8> {
    let metrics = &process.metrics;
    let connections = process.memory.connections();
    metrics.connections.set(connections as i64);
    metrics.held.set(process.memory.held() as i64);
    metrics.active.set(process.pool.borrow().active() as i64);
    metrics.generation.set(process.rules().generation() as i64);
    let age = process.age().map_or(-1, |age| age.as_millis() as i64);
    metrics.rules_age.set(age);
    metrics.text()
}

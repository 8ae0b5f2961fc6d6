//! A target as gateways use it. It runs only requests that name it in `expect-instance`, and an
//! answer repeats the `request-id` of its request.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::Bytes;
use compio::time::sleep;
use futures_channel::oneshot;
use futures_util::{
    StreamExt,
    stream, //
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        HeaderName,
        HeaderValue,
        RETRY_AFTER, //
    }, //
};

use super::server::{
    self,
    Body,
    broken,
    full,
    streamed, //
};

/// The time that the target takes to read a prompt token.
const TOKEN_TIME: Duration = Duration::from_micros(10);

/// The interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// The number of events of a complete stream.
pub const EVENT_COUNT: u32 = 8;

/// The number of events after which a stream breaks off in [`Mode::Break`].
const BREAK_AFTER: usize = 3;

/// The cooldown that a target requests in [`Mode::CoolDown`].
pub const COOLDOWN: Duration = Duration::from_secs(2);

/// How a target treats a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers it.
    #[default]
    Serve,
    /// Refuses it and says that it has not run.
    Refuse,
    /// Refuses it, says that it has not run, and requests a cooldown of [`COOLDOWN`].
    CoolDown,
    /// Answers it and announces that the target is leaving.
    Leave,
    /// Answers with 503 without saying whether the request has run. The stand-in counts it as run.
    Shed,
    /// Runs it and answers with 500.
    Fail,
    /// Runs it and breaks off the answer.
    Break,
    /// Runs it and never answers.
    Hang,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    /// The header fields of each request that has run.
    runs: Vec<HeaderMap>,
    /// A prompt part that crashes the target when it begins to answer a request with it.
    deadly: Option<String>,
    /// Ends the target; taken when it crashes.
    end: Option<oneshot::Sender<()>>,
    crashed: bool,
    /// The number of requests refused as not run.
    refused: u32,
    /// The number of requests dropped before their end.
    abandoned: u32,
    /// The cached prompt prefixes, each named by the ids of its parts in order.
    cached: HashSet<String>,
    /// The number of prompt tokens read so far.
    tokens_read: u64,
}

impl State {
    /// Reads and caches the parts of a prompt that are not cached yet, and returns their number of
    /// tokens. `parts` lists them as `ID:TOKENS`, separated by commas.
    fn read_prompt(&mut self, parts: &str) -> u64 {
        let mut prefix = String::new();
        let mut read = 0;
        for part in parts.split(',') {
            let (id, tokens) = part.split_once(':').unwrap_or((part, "0"));
            prefix.push_str(id);
            prefix.push('/');
            if self.cached.insert(prefix.clone()) {
                read = tokens.parse().unwrap_or(0_u64).saturating_add(read);
            }
        }
        self.tokens_read = self.tokens_read.saturating_add(read);
        read
    }
}

/// A target. Clones share its state, so its behaviour can be changed from any thread.
#[derive(Clone, Debug)]
pub struct Instance {
    pub name: String,
    state: Arc<Mutex<State>>,
}

impl Instance {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            state: Arc::default(),
        }
    }

    /// Sets how requests are treated from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .mode = mode;
    }

    /// Sets the prompt part that crashes the target when it begins to answer a request with it.
    pub fn set_deadly(&self, part: &str) {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .deadly = Some(part.to_owned());
    }

    /// Returns whether the target has crashed.
    pub fn has_crashed(&self) -> bool {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .crashed
    }

    /// Crashes if the prompt has the deadly part.
    fn crash_on(&self, parts: &str) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let ids = || parts.split(',').filter_map(|part| part.split(':').next());
        if state
            .deadly
            .as_deref()
            .is_some_and(|id| ids().any(|part| part == id))
        {
            state.crashed = true;
            state.end = None;
        }
    }

    /// Returns the header fields of each request that has run.
    pub fn runs(&self) -> Vec<HeaderMap> {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .runs
            .clone()
    }

    /// Returns the number of requests that the target has refused as not run.
    pub fn refused(&self) -> u32 {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .refused
    }

    /// Returns the number of prompt tokens that the target has read.
    pub fn tokens_read(&self) -> u64 {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .tokens_read
    }

    /// Returns the number of requests that were dropped before their end because the gateway closed
    /// the connection.
    pub fn abandoned(&self) -> u32 {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .abandoned
    }
}

/// Counts a request as abandoned if it is dropped before its end.
struct AbandonGuard {
    instance: Instance,
    /// Whether nothing is counted on drop: the request has ended, or its mode is one in which
    /// abandoned requests are not counted.
    done: bool,
}

impl AbandonGuard {
    /// Marks the request as ended.
    fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if !self.done {
            self.instance
                .state
                .lock()
                .expect("no holder of the lock panics")
                .abandoned += 1;
        }
    }
}

/// Serves a target until it crashes, and returns its address.
pub async fn serve(instance: Instance) -> SocketAddr {
    let (sender, receiver) = oneshot::channel();
    instance
        .state
        .lock()
        .expect("no holder of the lock panics")
        .end = Some(sender);
    // The channel is dropped, not used, when the target crashes.
    let end = async move {
        let _ = receiver.await;
    };
    server::serve_until(move |request| handle(instance.clone(), request), end).await
}

async fn handle(instance: Instance, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    // The content of the body does not matter here. If reading it fails, the connection ends
    // anyway.
    let _ = body.collect().await;
    let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    if field("expect-instance") != Some(&instance.name) {
        return echo_id(empty(StatusCode::MISDIRECTED_REQUEST), &head.headers);
    }
    let mode = instance
        .state
        .lock()
        .expect("no holder of the lock panics")
        .mode;
    let one = HeaderValue::from_static("1");
    if matches!(mode, Mode::Refuse | Mode::CoolDown) {
        instance
            .state
            .lock()
            .expect("no holder of the lock panics")
            .refused += 1;
        let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
        let not_executed = HeaderName::from_static("not-executed");
        response.headers_mut().insert(not_executed, one);
        if mode == Mode::CoolDown {
            let seconds = HeaderValue::from(COOLDOWN.as_secs());
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        return echo_id(response, &head.headers);
    }
    let state = &instance.state;
    state
        .lock()
        .expect("no holder of the lock panics")
        .runs
        .push(head.headers.clone());
    let is_stream = head.uri.path().starts_with("/stream/");
    let guard = AbandonGuard {
        instance: instance.clone(),
        done: mode != Mode::Hang && !(is_stream && mode == Mode::Serve),
    };
    if mode == Mode::Hang {
        std::future::pending::<()>().await;
    }
    let parts = field("prompt-prefix").unwrap_or_default();
    let read = state
        .lock()
        .expect("no holder of the lock panics")
        .read_prompt(parts);
    sleep(TOKEN_TIME * read as u32).await;
    instance.crash_on(parts);
    if instance.has_crashed() {
        // The connection is closed before there is an answer.
        std::future::pending::<()>().await;
    }
    let last_event = field("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let events = stream::unfold((last_event, guard), |(last, mut guard)| async move {
        let event = last + 1;
        if event > EVENT_COUNT {
            guard.finish();
            return None;
        }
        sleep(EVENT_INTERVAL).await;
        let text = format!("id: {event}\ndata: {event}\n\n");
        Some((Bytes::from(text), (event, guard)))
    });
    let mut response = match mode {
        Mode::Shed => empty(StatusCode::SERVICE_UNAVAILABLE),
        Mode::Fail => empty(StatusCode::INTERNAL_SERVER_ERROR),
        Mode::Break if is_stream => Response::new(broken(events.take(BREAK_AFTER))),
        Mode::Break => Response::new(broken(stream::empty())),
        _ if is_stream => Response::new(streamed(events)),
        _ => Response::new(full(instance.name.clone())),
    };
    if mode == Mode::Leave {
        let leaving = HeaderName::from_static("server-leaving");
        response.headers_mut().insert(leaving, one);
    }
    echo_id(response, &head.headers)
}

/// Repeats the id of the request in an answer.
fn echo_id(mut response: Response<Body>, request: &HeaderMap) -> Response<Body> {
    if let Some(id) = request.get("request-id") {
        response.headers_mut().insert("request-id", id.clone());
    }
    response
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = status;
    response
}

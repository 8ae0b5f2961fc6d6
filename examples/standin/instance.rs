//! A target that registers itself: it runs only what is meant for it, and echoes whose answer
//! it gives.

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

/// The time in which a prompt token is read.
const TOKEN: Duration = Duration::from_micros(10);

/// The time between two events.
const EVENT: Duration = Duration::from_millis(10);

/// The events of a stream.
pub const EVENT_COUNT: u32 = 8;

/// The events after which a stream breaks, when it does.
const BREAK_AFTER: usize = 3;

/// How long a target wants no requests, when it says so.
pub const COOLDOWN: Duration = Duration::from_secs(2);

/// What a target does with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers it.
    #[default]
    Serve,
    /// Says that it has not run it.
    Refuse,
    /// Says that it has not run it and wants no requests for [`COOLDOWN`].
    CoolDown,
    /// Answers it and says that it leaves.
    Leave,
    /// Refuses it without saying whether it ran.
    Shed,
    /// Runs it and fails.
    Fail,
    /// Runs it and breaks the answer off.
    Break,
    /// Runs it and never answers.
    Hang,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    runs: Vec<HeaderMap>,
    refused: u32,
    left: u32,
    /// The parts of prompts that it keeps, each named with all parts before it.
    kept: HashSet<String>,
    read: u64,
}

impl State {
    /// Reads what it does not keep of a prompt, and returns the tokens that it has read.
    fn read(&mut self, parts: &str) -> u64 {
        let mut path = String::new();
        let mut read = 0;
        for part in parts.split(',') {
            let (id, tokens) = part.split_once(':').unwrap_or((part, "0"));
            path.push_str(id);
            path.push('/');
            if self.kept.insert(path.clone()) {
                read += tokens.parse().unwrap_or(0);
            }
        }
        self.read += read;
        read
    }
}

/// A target; its behaviour can be changed from any thread.
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

    /// Sets what is done with each request from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().expect("no holder panics").mode = mode;
    }

    /// Returns the header fields of what has run.
    pub fn runs(&self) -> Vec<HeaderMap> {
        self.state.lock().expect("no holder panics").runs.clone()
    }

    /// Returns how many requests it has refused as not run.
    pub fn refused(&self) -> u32 {
        self.state.lock().expect("no holder panics").refused
    }

    /// Returns the prompt tokens that it has read.
    pub fn tokens_read(&self) -> u64 {
        self.state.lock().expect("no holder panics").read
    }

    /// Returns how many requests ended because nobody waited for them any more.
    pub fn abandoned(&self) -> u32 {
        self.state.lock().expect("no holder panics").left
    }
}

/// Counts a request that is dropped before its end.
struct Watch {
    instance: Instance,
    done: bool,
}

impl Watch {
    fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.done {
            self.instance.state.lock().expect("no holder panics").left += 1;
        }
    }
}

/// Serves a target.
pub async fn serve(instance: Instance) -> SocketAddr {
    server::serve(move |request| answer(instance.clone(), request)).await
}

async fn answer(instance: Instance, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    // What the body says does not matter here; a broken one ends the connection anyway.
    let _ = body.collect().await;
    let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    if field("expect-instance") != Some(&instance.name) {
        return status(StatusCode::MISDIRECTED_REQUEST);
    }
    let mode = instance.state.lock().expect("no holder panics").mode;
    let one = HeaderValue::from_static("1");
    if matches!(mode, Mode::Refuse | Mode::CoolDown) {
        instance.state.lock().expect("no holder panics").refused += 1;
        let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
        let mark = HeaderName::from_static("not-executed");
        response.headers_mut().insert(mark, one);
        if mode == Mode::CoolDown {
            let rest = HeaderValue::from(COOLDOWN.as_secs());
            response.headers_mut().insert(RETRY_AFTER, rest);
        }
        return response;
    }
    let state = &instance.state;
    state
        .lock()
        .expect("no holder panics")
        .runs
        .push(head.headers.clone());
    let is_stream = head.uri.path().starts_with("/stream/");
    let watch = Watch {
        instance: instance.clone(),
        done: mode != Mode::Hang && !(is_stream && mode == Mode::Serve),
    };
    if mode == Mode::Hang {
        std::future::pending::<()>().await;
    }
    let parts = field("prompt-prefix").unwrap_or_default();
    let read = state.lock().expect("no holder panics").read(parts);
    sleep(TOKEN * read as u32).await;
    let from = field("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let events = stream::unfold((from, watch), |(last, mut watch)| async move {
        let event = last + 1;
        if event > EVENT_COUNT {
            watch.finish();
            return None;
        }
        sleep(EVENT).await;
        let text = format!("id: {event}\ndata: {event}\n\n");
        Some((Bytes::from(text), (event, watch)))
    });
    let mut response = match mode {
        Mode::Shed => status(StatusCode::SERVICE_UNAVAILABLE),
        Mode::Fail => status(StatusCode::INTERNAL_SERVER_ERROR),
        Mode::Break if is_stream => Response::new(broken(events.take(BREAK_AFTER))),
        Mode::Break => Response::new(broken(stream::empty())),
        _ if is_stream => Response::new(streamed(events)),
        _ => Response::new(full(instance.name.clone())),
    };
    if mode == Mode::Leave {
        let leaving = HeaderName::from_static("server-leaving");
        response.headers_mut().insert(leaving, one);
    }
    if let Some(id) = head.headers.get("request-id") {
        response.headers_mut().insert("request-id", id.clone());
    }
    response
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = status;
    response
}

//! The users' store: keys with values and revisions, read by key or by prefix in pages.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use compio::time::sleep;
use hyper::{
    Response,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};

use super::server::{
    self,
    Body,
    full, //
};

/// The items of one page; few, so that a short list has several.
const PAGE: usize = 2;

/// The interval at which a watch looks for changes.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, (u64, String)>,
    /// Each change with its revision: an item, or `None` for one that was removed.
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
    /// The last revision whose change is no longer in the history.
    forgotten: u64,
}

impl State {
    fn note(&mut self, key: &str, text: Option<String>) {
        self.revision += 1;
        let change = (self.revision, key.to_owned(), text.clone());
        self.history.push(change);
        match text {
            Some(text) => self.items.insert(key.to_owned(), (self.revision, text)),
            None => self.items.remove(key),
        };
    }
}

/// The items of the store; they can be changed from any thread.
#[derive(Clone, Debug, Default)]
pub struct Items {
    state: Arc<Mutex<State>>,
    down: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
}

impl Items {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &Value) {
        self.state().note(key, Some(value.to_string()));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.state().note(key, None);
    }

    /// Forgets the history up to now.
    pub fn compact(&self) {
        let mut state = self.state();
        state.forgotten = state.revision;
        state.history.clear();
    }

    /// Keeps watches from answering, or lets them answer again.
    pub fn pause_watches(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the changes after a revision, or `None` where they are forgotten.
    fn since(&self, prefix: &str, after: u64) -> Option<Value> {
        let state = self.state();
        if after < state.forgotten {
            return None;
        }
        let newer = state.history.iter().filter(|(revision, key, _)| {
            *revision > after && key.starts_with(prefix) //
        });
        let events: Vec<_> = newer
            .map(|(revision, key, text)| match text {
                Some(text) => document(key, &(*revision, text.clone())),
                None => json!({ "key": key, "revision": revision, "deleted": true }),
            })
            .collect();
        Some(json!({ "events": events, "storeRevision": state.revision }))
    }

    /// Waits until something has changed after a revision, or for `wait`.
    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<Value> {
        let begun = Instant::now();
        loop {
            let changes = self.since(prefix, after)?;
            let some = changes["events"]
                .as_array()
                .is_some_and(|events| !events.is_empty());
            let silent = self.silent.load(Ordering::Relaxed);
            if !silent && (some || begun.elapsed() >= wait) {
                return Some(changes);
            }
            sleep(LOOK).await;
        }
    }

    /// Makes the store answer nothing but failures, or work again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    fn by_key(&self, key: &str) -> Option<Value> {
        let state = self.state();
        let mut found = document(key, state.items.get(key)?);
        found["storeRevision"] = json!(state.revision);
        Some(found)
    }

    fn by_prefix(&self, prefix: &str, after: &str) -> Value {
        let state = self.state();
        let listed = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut page: Vec<_> = listed
            .take(PAGE + 1)
            .map(|(key, item)| document(key, item))
            .collect();
        let more = page.len() > PAGE;
        page.truncate(PAGE);
        json!({ "items": page, "morePages": more, "storeRevision": state.revision })
    }
}

fn document(key: &str, (revision, text): &(u64, String)) -> Value {
    json!({ "key": key, "value": STANDARD.encode(text), "revision": revision })
}

/// Serves items.
pub async fn serve(items: Items) -> SocketAddr {
    server::serve(move |request| {
        let query = request.uri().query().unwrap_or("").to_owned();
        let (items, path) = (items.clone(), request.uri().path().to_owned());
        async move { answer(&items, &path, &query).await }
    })
    .await
}

async fn answer(items: &Items, path: &str, query: &str) -> Response<Body> {
    items.calls.fetch_add(1, Ordering::Relaxed);
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or("", |(_, value)| value)
    };
    let found = match path {
        _ if items.down.load(Ordering::Relaxed) => Err(StatusCode::SERVICE_UNAVAILABLE),
        "/kv-key" => items.by_key(field("key")).ok_or(StatusCode::NOT_FOUND),
        "/kv-range" => Ok(items.by_prefix(field("prefix"), field("after"))),
        "/kv-watch" => {
            let number = |name| field(name).parse().unwrap_or(0);
            let wait = Duration::from_millis(number("waitMs"));
            let changes = items.watch(field("prefix"), number("after"), wait).await;
            changes.ok_or(StatusCode::GONE)
        }
        _ => Err(StatusCode::NOT_FOUND),
    };
    let (status, text) = match found {
        Ok(document) => (StatusCode::OK, document.to_string()),
        Err(status) => (status, String::new()),
    };
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}

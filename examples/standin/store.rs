//! The store of the users' platform: items with a key, a value and a revision. They are read by key
//! or page by page by prefix, and changes are watched by prefix.

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
    StatusCode,
    header::HeaderValue, //
};
use percent_encoding::percent_decode_str;
use redwingyard::ids::Position;
use serde_json::{
    Value,
    json, //
};

use super::server::{
    self,
    Body,
    full, //
};

/// The most items of a page. It is small, so that even a short list has several pages.
const PAGE_SIZE: usize = 2;

/// The interval at which a watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The header field with the number of times that the store has come back from an older copy.
const ERA_FIELD: &str = "store-era";

/// The items at some time, to which the store can return.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    items: BTreeMap<String, (u64, String)>,
    revision: u64,
}

/// How calls to a path fail.
#[derive(Clone, Copy, Debug)]
struct Fault {
    status: StatusCode,
    /// How many more calls fail.
    left: u32,
}

#[derive(Debug, Default)]
struct State {
    /// The number of times that the store has come back from an older copy.
    era: u64,
    /// The paths whose calls fail.
    faults: BTreeMap<String, Fault>,
    /// How long calls to a path take.
    delays: BTreeMap<String, Duration>,
    /// Each item by its key, with the revision of its last change.
    items: BTreeMap<String, (u64, String)>,
    /// Each change since the last compaction: its revision, the key, and the new value, or `None` if
    /// the item was removed.
    history: Vec<(u64, String, Option<String>)>,
    /// The revision of the last change.
    revision: u64,
    /// The last revision that compaction has removed from the history.
    compacted: u64,
}

impl State {
    /// Applies a change and adds it to the history.
    fn apply(&mut self, key: &str, text: Option<String>) {
        self.revision += 1;
        let change = (self.revision, key.to_owned(), text.clone());
        self.history.push(change);
        match text {
            Some(text) => self.items.insert(key.to_owned(), (self.revision, text)),
            None => self.items.remove(key),
        };
    }
}

/// The items of the store. Clones share them, so they can be changed from any thread.
#[derive(Clone, Debug, Default)]
pub struct Items {
    state: Arc<Mutex<State>>,
    /// Whether every call fails.
    down: Arc<AtomicBool>,
    /// Whether watches are kept from answering.
    paused: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
}

impl Items {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &Value) {
        self.state().apply(key, Some(value.to_string()));
    }

    /// Writes an item whose value need not be JSON.
    pub fn put_text(&self, key: &str, text: &str) {
        self.state().apply(key, Some(text.to_owned()));
    }

    /// Returns a store with the same items that fails or works apart from this one, as for callers
    /// that it turns away.
    pub fn with_own_faults(&self) -> Self {
        Self {
            down: Arc::default(),
            ..self.clone()
        }
    }

    /// Makes the next calls to a path fail with a status. A path may end with the prefix of the items
    /// that are read, as in `/kv-range?prefix=servers/`.
    pub fn fail_next(&self, path: &str, status: u16, count: u32) {
        let status = StatusCode::from_u16(status).expect("the status is valid");
        let fault = Fault {
            status,
            left: count,
        };
        self.state().faults.insert(path.to_owned(), fault);
    }

    /// Takes a failure of a call, if calls to its path are to fail, with its prefix or any.
    fn take_fault(&self, path: &str, prefix: &str) -> Option<StatusCode> {
        let mut state = self.state();
        let mut take = |path: &str| {
            let fault = state.faults.get_mut(path)?;
            fault.left = fault.left.checked_sub(1)?;
            Some(fault.status)
        };
        take(&format!("{path}?prefix={prefix}")).or_else(|| take(path))
    }

    /// Makes each call to a path take some time; see [`Items::fail_next`].
    pub fn set_delay(&self, path: &str, delay: Duration) {
        self.state().delays.insert(path.to_owned(), delay);
    }

    fn delay(&self, path: &str, prefix: &str) -> Duration {
        let state = self.state();
        let delay = |path: &str| state.delays.get(path).copied();
        let delay = delay(&format!("{path}?prefix={prefix}")).or_else(|| delay(path));
        delay.unwrap_or_default()
    }

    /// Returns the position of the last change.
    pub fn position(&self) -> Position {
        let state = self.state();
        Position::new(state.era, state.revision)
    }

    /// Returns what follows a prefix in the keys of the items with it.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let state = self.state();
        let names = state
            .items
            .keys()
            .filter_map(|key| key.strip_prefix(prefix));
        names.map(str::to_owned).collect()
    }

    /// Copies all items.
    pub fn copy(&self) -> Copy {
        let state = self.state();
        Copy {
            items: state.items.clone(),
            revision: state.revision,
        }
    }

    /// Returns to a copy, as after a loss of the store: the changes since then are gone, and their
    /// revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state();
        state.era += 1;
        state.revision = copy.revision;
        state.compacted = copy.revision;
        state.items = copy.items;
        state.history.clear();
    }

    /// Sets the era that answers have, as a stale proxy might.
    pub fn set_era(&self, era: u64) {
        self.state().era = era;
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.state().apply(key, None);
    }

    /// Removes all changes so far from the history, so that a watch from before fails with 410.
    pub fn compact(&self) {
        let mut state = self.state();
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Keeps watches from answering, or lets them answer again.
    pub fn set_watches_paused(&self, paused: bool) {
        self.paused.store(paused, Ordering::Relaxed);
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the changes after a revision to the items with a prefix, or `None` if the store doesn't
    /// have that revision or compaction has removed changes after it.
    fn changes_since(&self, prefix: &str, after: u64) -> Option<Value> {
        let state = self.state();
        if after < state.compacted || after > state.revision {
            return None;
        }
        let newer = state.history.iter().filter(|(revision, key, _)| {
            *revision > after && key.starts_with(prefix) //
        });
        let events: Vec<_> = newer
            .map(|(revision, key, text)| match text {
                Some(text) => item_object(key, &(*revision, text.clone())),
                None => json!({ "key": key, "revision": revision, "deleted": true }),
            })
            .collect();
        Some(json!({ "events": events, "storeRevision": state.revision }))
    }

    /// Waits until an item with a prefix has changed after a revision, or for `wait`, and returns the
    /// changes. Returns `None` if compaction has removed changes after the revision.
    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<Value> {
        let start = Instant::now();
        loop {
            let changes = self.changes_since(prefix, after)?;
            let has_changes = changes["events"]
                .as_array()
                .is_some_and(|events| !events.is_empty());
            let paused = self.paused.load(Ordering::Relaxed);
            if !paused && (has_changes || start.elapsed() >= wait) {
                return Some(changes);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Makes every call fail with 503, or lets the store work again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    fn by_key(&self, key: &str) -> Option<Value> {
        let state = self.state();
        let mut found = item_object(key, state.items.get(key)?);
        found["storeRevision"] = json!(state.revision);
        Some(found)
    }

    /// Returns a page of the items with a prefix: those that follow the key `after`.
    fn by_prefix(&self, prefix: &str, after: &str) -> Value {
        let state = self.state();
        let matching = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut page: Vec<_> = matching
            .take(PAGE_SIZE + 1)
            .map(|(key, item)| item_object(key, item))
            .collect();
        let more = page.len() > PAGE_SIZE;
        page.truncate(PAGE_SIZE);
        json!({ "items": page, "morePages": more, "storeRevision": state.revision })
    }
}

/// Returns the JSON object of an item, with its value in base64.
fn item_object(key: &str, (revision, text): &(u64, String)) -> Value {
    json!({ "key": key, "value": STANDARD.encode(text), "revision": revision })
}

/// Serves the items and returns the address.
pub async fn serve(items: Items) -> SocketAddr {
    server::serve(move |request| {
        let query = request.uri().query().unwrap_or("").to_owned();
        let (items, path) = (items.clone(), request.uri().path().to_owned());
        async move { handle(&items, &path, &query).await }
    })
    .await
}

async fn handle(items: &Items, path: &str, query: &str) -> Response<Body> {
    items.calls.fetch_add(1, Ordering::Relaxed);
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        let value = found.map_or("", |(_, value)| value);
        percent_decode_str(value).decode_utf8_lossy().into_owned()
    };
    let prefix = parameter("prefix");
    sleep(items.delay(path, &prefix)).await;
    let down = items.down.load(Ordering::Relaxed);
    let down = down.then_some(StatusCode::SERVICE_UNAVAILABLE);
    let found = match (down.or_else(|| items.take_fault(path, &prefix)), path) {
        (Some(status), _) => Err(status),
        (None, "/kv-key") => items.by_key(&parameter("key")).ok_or(StatusCode::NOT_FOUND),
        (None, "/kv-range") => Ok(items.by_prefix(&prefix, &parameter("after"))),
        (None, "/kv-watch") => {
            let number = |name| parameter(name).parse().unwrap_or(0);
            let wait = Duration::from_millis(number("waitMs"));
            let changes = items.watch(&prefix, number("after"), wait).await;
            changes.ok_or(StatusCode::GONE)
        }
        (None, _) => Err(StatusCode::NOT_FOUND),
    };
    let (status, text) = match found {
        Ok(document) => (StatusCode::OK, document.to_string()),
        Err(status) => (status, String::new()),
    };
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let era = HeaderValue::from(items.state().era);
    response.headers_mut().insert(ERA_FIELD, era);
    response
}

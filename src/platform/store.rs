//! The client of the platform's store, which can only be read.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use compio::time::timeout;
use cyper::Client;
use derive_more::{
    Display,
    Error,
    From, //
};
use serde::Deserialize;

use super::{
    ConfigError,
    parse_listing,
    rules_text, //
};
use crate::{
    feed::Listing,
    ids::Revision,
    rules::{
        self,
        Rules, //
    }, //
};

/// The key of the operator's newest configuration.
const CONFIG_KEY: &str = "op/config";

/// What the keys of servers begin with.
const SERVER_PREFIX: &str = "servers/";

/// The time that a call may take beside what it waits: far longer than the store's answers, and
/// short enough for several tries within the time in which a configuration must be in force.
const CALL_LIMIT: Duration = Duration::from_millis(600);

/// The status of a watch that asks for changes which the store has forgotten.
const HISTORY_LOST: u16 = 410;

/// Why a call to the store failed.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// The call failed.
    #[display("{_0}")]
    Http(cyper::Error),
    /// The store refused the call.
    #[display("status {_0}")]
    #[from(skip)]
    Status(#[error(not(source))] u16),
    /// The store did not answer.
    #[display("no answer within {} ms", CALL_LIMIT.as_millis())]
    Timeout,
    /// The answer is not of the known form.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A value is not base64 text.
    #[display("{_0}")]
    Base64(base64::DecodeError),
    /// The configuration is not usable.
    #[display("{_0}")]
    Config(ConfigError),
    /// The configuration says what the rules don't allow.
    #[display("{_0}")]
    Rules(rules::Errors),
}

#[derive(Deserialize)]
struct Item {
    key: String,
    /// The value as base64 text.
    value: String,
    /// The store's counter at the last change of this item.
    revision: Revision,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Read {
    #[serde(flatten)]
    item: Item,
    store_revision: Revision,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    items: Vec<Item>,
    /// Whether items follow after the last one.
    #[serde(default)]
    more_pages: bool,
}

/// A change of one key: an item as it was written, or the end of one.
#[derive(Deserialize)]
struct Event {
    key: String,
    /// The value as base64 text, unless the key was deleted.
    #[serde(default)]
    value: Option<String>,
    revision: Revision,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Changes {
    events: Vec<Event>,
    store_revision: Revision,
}

/// What has changed in the store.
#[derive(Debug, Default)]
pub struct Update {
    /// Up to where the changes are known now.
    pub revision: Revision,
    /// The newest rules, where they have changed.
    pub rules: Option<Rules>,
    /// All targets that are registered, where any has changed.
    pub targets: Option<Vec<Listing>>,
}

/// A reader of the platform's store.
///
/// Reads and watches are linearizable: what one returns was the newest at some time after it was
/// begun. A watch that is silent, fails or has lost its history is followed by a whole read.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    client: Option<Client>,
    /// Up to where the changes are known; nothing is known before a whole read.
    seen: Option<Revision>,
    config: Revision,
    servers: BTreeMap<String, (Revision, Option<Listing>)>,
}

impl Store {
    /// Creates a reader without connecting.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: None,
            seen: None,
            config: 0,
            servers: BTreeMap::new(),
        }
    }

    /// Returns what has changed since the last call: all there is at first and after a failure,
    /// else what changes within `wait`.
    ///
    /// # Errors
    ///
    /// Fails where the store does not answer or has no usable configuration.
    pub async fn next(&mut self, wait: Duration) -> Result<Update, StoreError> {
        let update = match self.seen {
            Some(seen) => self.watch(seen, wait).await,
            None => self.read().await,
        };
        if update.is_err() {
            self.seen = None;
        }
        update
    }

    /// Reads everything.
    async fn read(&mut self) -> Result<Update, StoreError> {
        let read = self.config().await?;
        let rules = self.rules(read.item.revision, &read.item.value)?;
        self.servers.clear();
        let mut after = String::new();
        loop {
            let mut path = format!("kv-range?prefix={SERVER_PREFIX}");
            if !after.is_empty() {
                path.push_str("&after=");
                path.push_str(&after);
            }
            let body = self.get(&path, Duration::ZERO).await?;
            let page: Page = serde_json::from_slice(&body)?;
            for item in &page.items {
                self.serve(&item.key, item.revision, Some(&item.value));
            }
            match page.items.last() {
                Some(last) if page.more_pages => after = last.key.clone(),
                _ => break,
            }
        }
        // Pages are no snapshot: what changed after the first read comes again as an event.
        self.seen = Some(read.store_revision);
        Ok(Update {
            revision: read.store_revision,
            rules,
            targets: Some(self.targets()),
        })
    }

    /// Waits for changes after a revision.
    async fn watch(&mut self, seen: Revision, wait: Duration) -> Result<Update, StoreError> {
        let millis = wait.as_millis();
        let path = format!("kv-watch?prefix=&after={seen}&waitMs={millis}");
        let body = match self.get(&path, wait).await {
            // The store was there all the while, but no longer knows what has changed since.
            Err(StoreError::Status(HISTORY_LOST)) => return self.read().await,
            body => body?,
        };
        let changes: Changes = serde_json::from_slice(&body)?;
        let mut update = Update::default();
        let mut changed = false;
        for event in &changes.events {
            if event.key.starts_with(SERVER_PREFIX) {
                changed |= self.serve(&event.key, event.revision, event.value.as_deref());
            }
            if event.key == CONFIG_KEY
                && let Some(value) = &event.value
                && let Some(rules) = self.rules(event.revision, value)?
            {
                update.rules = Some(rules);
            }
        }
        update.targets = changed.then(|| self.targets());
        update.revision = changes.store_revision.max(seen);
        self.seen = Some(update.revision);
        Ok(update)
    }

    /// Returns whether everything has been read, so that the next call is a watch.
    pub fn is_synced(&self) -> bool {
        self.seen.is_some()
    }

    /// Has the next call read everything again.
    pub fn reset(&mut self) {
        self.seen = None;
    }

    /// Returns the revision of the newest change, of whatever key.
    ///
    /// # Errors
    ///
    /// Fails where the store does not answer.
    pub async fn latest_revision(&mut self) -> Result<Revision, StoreError> {
        Ok(self.config().await?.store_revision)
    }

    /// Reads the configuration's item, with the store's revision.
    async fn config(&mut self) -> Result<Read, StoreError> {
        let path = format!("kv-key?key={CONFIG_KEY}");
        let body = self.get(&path, Duration::ZERO).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Returns the rules in a configuration, unless they are no newer than those before.
    fn rules(&mut self, revision: Revision, value: &str) -> Result<Option<Rules>, StoreError> {
        if revision <= self.config {
            return Ok(None);
        }
        let text = rules_text(&STANDARD.decode(value)?)?;
        let rules = rules::from_str(&text)?;
        self.config = revision;
        Ok(Some(rules))
    }

    /// Takes in a server's entry, or its end, and returns whether it says anything new; what
    /// another writer has left names no target.
    fn serve(&mut self, key: &str, revision: Revision, value: Option<&str>) -> bool {
        let known = self.servers.get(key);
        if known.is_some_and(|(known, _)| *known >= revision) {
            return false;
        }
        let name = key.strip_prefix(SERVER_PREFIX).unwrap_or(key);
        let value = value.and_then(|value| STANDARD.decode(value).ok());
        let listing = value.and_then(|value| parse_listing(name, &value));
        let before = known.and_then(|(_, listing)| listing.as_ref());
        let changed = before != listing.as_ref();
        self.servers.insert(key.to_owned(), (revision, listing));
        changed
    }

    fn targets(&self) -> Vec<Listing> {
        let listings = self.servers.values();
        listings
            .filter_map(|(_, listing)| listing.clone())
            .collect()
    }

    async fn get(&mut self, path: &str, wait: Duration) -> Result<Vec<u8>, StoreError> {
        let client = match self.client.take() {
            Some(client) => client,
            None => Client::new()?,
        };
        let url = format!("http://{}/{path}", self.address);
        let call = async {
            let response = client.get(url)?.send().await?;
            match response.status().as_u16() {
                200 => Ok(response.bytes().await?.to_vec()),
                status => Err(StoreError::Status(status)),
            }
        };
        let body = timeout(wait + CALL_LIMIT, call)
            .await
            .unwrap_or(Err(StoreError::Timeout))?;
        // A connection on which a call has failed is not used again.
        self.client = Some(client);
        Ok(body)
    }
}

//! A read-only client of the platform's store.

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

const CONFIG_KEY: &str = "op/config";

/// The prefix of the keys of registered servers.
const SERVER_PREFIX: &str = "servers/";

/// The timeout of a call, in addition to the time that the store is asked to wait: far longer than
/// the store takes to answer, and short enough for several tries within the time in which a new
/// configuration must be in force.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// The HTTP status of a watch whose starting revision is older than the changes that the store
/// keeps.
const HISTORY_LOST: u16 = 410;

/// Why a call to the store failed.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// The HTTP call failed.
    #[display("the call to the store failed: {_0}")]
    Http(cyper::Error),
    /// The store answered with a status other than 200.
    #[display("the store answered with status {_0}")]
    #[from(skip)]
    Status(#[error(not(source))] u16),
    /// The store did not answer in time.
    #[display(
        "no answer from the store within {} ms beyond the time it was asked to wait",
        CALL_TIMEOUT.as_millis()
    )]
    Timeout,
    /// The answer is not JSON of the expected structure.
    #[display("the store's answer can't be read: {_0}")]
    Json(serde_json::Error),
    /// The configuration's value is not base64 text.
    #[display("the configuration is not base64: {_0}")]
    Base64(base64::DecodeError),
    /// The configuration can't be read.
    #[display("{_0}")]
    Config(ConfigError),
    /// The rules that the configuration was translated into are not valid.
    #[display("the configuration's rules are not valid: {_0}")]
    Rules(rules::Errors),
}

#[derive(Deserialize)]
struct Item {
    key: String,
    /// The value as base64 text.
    value: String,
    /// The store's revision at the last change of this item.
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
    /// Whether more items follow the last one of this page.
    #[serde(default)]
    more_pages: bool,
}

/// A change of one key: it was written or deleted.
#[derive(Deserialize)]
struct Event {
    key: String,
    /// The new value as base64 text, or `None` if the key was deleted.
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
    /// The revision up to which changes are now known.
    pub revision: Revision,
    /// The newest rules, if they have changed.
    pub rules: Option<Rules>,
    /// All registered targets, if any of them has changed.
    pub targets: Option<Vec<Listing>>,
}

/// A reader of the platform's store.
///
/// Reads and watches are linearizable: each returns what was newest at some time after the call
/// began. If a watch gets no answer, fails, or asks for changes that the store no longer keeps,
/// everything is read again.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    client: Option<Client>,
    /// The revision up to which changes are known; `None` if everything must be read first.
    revision: Option<Revision>,
    /// The revision of the newest configuration that was turned into rules.
    config_revision: Revision,
    /// The revision of each server's entry, and its listing unless the entry was deleted or is not
    /// valid.
    servers: BTreeMap<String, (Revision, Option<Listing>)>,
}

impl Store {
    /// Creates a reader without connecting.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: None,
            revision: None,
            config_revision: 0,
            servers: BTreeMap::new(),
        }
    }

    /// Returns what has changed since the last call. The first call, and a call after a failure or
    /// [`Store::reset`], reads everything; any other waits for changes, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or has no valid configuration.
    pub async fn next(&mut self, wait: Duration) -> Result<Update, StoreError> {
        let update = match self.revision {
            Some(since) => self.watch(since, wait).await,
            None => self.read_all().await,
        };
        if update.is_err() {
            self.revision = None;
        }
        update
    }

    /// Reads the configuration and all servers.
    async fn read_all(&mut self) -> Result<Update, StoreError> {
        let read = self.read_config().await?;
        let rules = self.newer_rules(read.item.revision, &read.item.value)?;
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
                self.apply_server(&item.key, item.revision, Some(&item.value));
            }
            match page.items.last() {
                Some(last) if page.more_pages => after = last.key.clone(),
                _ => break,
            }
        }
        // The pages are not read at one revision. The watch starts at the revision of the first
        // read, so a change made since then is reported again as an event.
        self.revision = Some(read.store_revision);
        Ok(Update {
            revision: read.store_revision,
            rules,
            targets: Some(self.targets()),
        })
    }

    /// Waits for changes after the revision `since`.
    async fn watch(&mut self, since: Revision, wait: Duration) -> Result<Update, StoreError> {
        let millis = wait.as_millis();
        let path = format!("kv-watch?prefix=&after={since}&waitMs={millis}");
        let body = match self.get(&path, wait).await {
            // The store no longer keeps the changes since then. An error would count as an outage,
            // but the store was reachable all the time, so everything is read again at once.
            Err(StoreError::Status(HISTORY_LOST)) => return self.read_all().await,
            body => body?,
        };
        let changes: Changes = serde_json::from_slice(&body)?;
        let mut update = Update::default();
        let mut changed = false;
        for event in &changes.events {
            if event.key.starts_with(SERVER_PREFIX) {
                changed |= self.apply_server(&event.key, event.revision, event.value.as_deref());
            }
            if event.key == CONFIG_KEY
                && let Some(value) = &event.value
                && let Some(rules) = self.newer_rules(event.revision, value)?
            {
                update.rules = Some(rules);
            }
        }
        update.targets = changed.then(|| self.targets());
        update.revision = changes.store_revision.max(since);
        self.revision = Some(update.revision);
        Ok(update)
    }

    /// Returns whether everything has been read, so that the next call of [`Store::next`] watches
    /// for changes.
    pub fn is_synced(&self) -> bool {
        self.revision.is_some()
    }

    /// Makes the next call of [`Store::next`] read everything again.
    pub fn reset(&mut self) {
        self.revision = None;
    }

    /// Returns the store's revision at its newest change of any key.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time.
    pub async fn latest_revision(&mut self) -> Result<Revision, StoreError> {
        Ok(self.read_config().await?.store_revision)
    }

    /// Reads the item of the configuration and the store's revision.
    async fn read_config(&mut self) -> Result<Read, StoreError> {
        let path = format!("kv-key?key={CONFIG_KEY}");
        let body = self.get(&path, Duration::ZERO).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Returns the rules of a configuration, or `None` if its `revision` is not newer than that of
    /// the last one.
    fn newer_rules(
        &mut self,
        revision: Revision,
        value: &str,
    ) -> Result<Option<Rules>, StoreError> {
        if revision <= self.config_revision {
            return Ok(None);
        }
        let text = rules_text(&STANDARD.decode(value)?)?;
        let rules = rules::from_str(&text)?;
        self.config_revision = revision;
        Ok(Some(rules))
    }

    /// Applies a server's entry, or its deletion if `value` is `None`, and returns whether the
    /// server's listing has changed. A value that is not a valid entry, such as one that another
    /// writer has left, counts as no listing.
    fn apply_server(&mut self, key: &str, revision: Revision, value: Option<&str>) -> bool {
        let known = self.servers.get(key);
        if known.is_some_and(|(known, _)| *known >= revision) {
            return false;
        }
        let name = key.strip_prefix(SERVER_PREFIX).unwrap_or(key);
        let value = value.and_then(|value| STANDARD.decode(value).ok());
        let listing = value.and_then(|value| parse_listing(name, &value));
        let previous = known.and_then(|(_, listing)| listing.as_ref());
        let changed = previous != listing.as_ref();
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
        let body = timeout(wait + CALL_TIMEOUT, call)
            .await
            .unwrap_or(Err(StoreError::Timeout))?;
        // The client is kept only after a success, so a connection on which a call has failed is not
        // used again.
        self.client = Some(client);
        Ok(body)
    }
}

//! A read-only client of the platform's store.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use compio::time::timeout;
use cyper::{
    Client,
    Response, //
};
use derive_more::{
    Display,
    Error,
    From, //
};
use futures_util::StreamExt;
use hyper::header::{
    HeaderMap,
    HeaderName, //
};
use percent_encoding::{
    AsciiSet,
    NON_ALPHANUMERIC,
    utf8_percent_encode, //
};
use serde::Deserialize;

use super::{
    ConfigError,
    config_rules,
    parse_listing,
    targets::MAX_NAME, //
};
use crate::{
    feed::{
        DomainNames,
        Listing, //
    },
    ids::{
        Era,
        Position,
        Revision,
        Target,
        id, //
    },
    rules::Rules, //
};

const CONFIG_KEY: &str = "op/config";

/// The prefix of the keys that operators write.
const OPERATOR_PREFIX: &str = "op/";

/// The prefix of the keys of evacuated failure domains; the name of the domain follows.
const EVACUATION_PREFIX: &str = "op/evacuate/";

/// The field of an answer's head with the store's era.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// The prefix of the keys of registered servers.
const SERVER_PREFIX: &str = "servers/";

/// The timeout of a call, in addition to the time that the store is asked to wait: far longer than
/// the store takes to answer, and short enough for several tries within the time in which a new
/// configuration must be in force.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// The largest body of an answer, in bytes. A page of entries ends at 1 MB; the rest is for the
/// configuration.
const MAX_ANSWER: usize = 8 << 20;

/// The characters of a key that stand for themselves in a URL's query.
const KEY_CHARACTERS: AsciiSet = NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_');

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
    /// The answer is longer than any that the store may give.
    #[display("the store's answer is longer than {MAX_ANSWER} bytes")]
    TooLong,
    /// The answer is not JSON of the expected structure.
    #[display("the store's answer can't be read: {_0}")]
    Json(serde_json::Error),
    /// The store's era can't be read.
    #[display("the store's era is not a number")]
    Era,
    /// The answer is of an earlier era than one before it, such as that of a stale proxy.
    #[display("the answer is of era {_0}, after one of era {_1}")]
    #[from(skip)]
    EarlierEra(#[error(not(source))] Era, Era),
    /// A page does not follow the one before it.
    #[display("the page after the key {_0:?} ends before it")]
    #[from(skip)]
    Page(#[error(not(source))] String),
    /// The store has no configuration.
    #[display("the store has no key {CONFIG_KEY}")]
    NoConfig,
    /// The configuration's value is not base64 text.
    #[display("the configuration is not base64: {_0}")]
    Base64(base64::DecodeError),
    /// The configuration can't be read.
    #[display("{_0}")]
    Config(ConfigError),
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
    store_revision: Revision,
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

/// The operator's configuration as it was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigItem {
    /// The position of its last change.
    pub position: Position,
    /// The document as base64 text.
    value: String,
}

impl ConfigItem {
    /// Translates the configuration into rules.
    ///
    /// # Errors
    ///
    /// Fails if the document can't be read.
    pub fn rules(&self) -> Result<Rules, StoreError> {
        Ok(config_rules(&STANDARD.decode(&self.value)?)?)
    }
}

/// The registered targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Registry {
    /// The targets.
    pub targets: Vec<Listing>,
    /// The number of entries that name no target, such as those that another writer has left.
    pub odd: usize,
    /// The number of fields in the targets' entries that can't be used as written.
    pub odd_fields: usize,
    /// Whether all entries were read anew, so that changes before may have been missed.
    pub whole: bool,
    /// The entries that were removed since the last list, with the revision at which each was last
    /// written.
    pub removed: Vec<(Target, Revision)>,
}

/// What one call to the store has returned.
#[derive(Debug)]
pub enum Step {
    /// A page of the operators' keys, before the targets are read.
    Operator {
        /// The configuration, if it is on this page.
        config: Option<ConfigItem>,
        /// The evacuated failure domains, and the position at which reading them began, if this is
        /// the last page.
        evacuated: Option<(Position, DomainNames)>,
    },
    /// A page of the targets; more pages follow.
    Page,
    /// The last page: all targets. They are at least as new as the configuration of the first
    /// [`Step::Operator`] of this read.
    Listed {
        /// The store's position when this read began.
        position: Position,
        /// All registered targets.
        targets: Registry,
    },
    /// The changes since the last step.
    Changed {
        /// The position up to which changes are now known.
        position: Position,
        /// The configurations that were written, oldest first.
        configs: Vec<ConfigItem>,
        /// All registered targets, if any of them has changed.
        targets: Option<Registry>,
        /// All evacuated failure domains.
        evacuated: DomainNames,
    },
    /// The store no longer keeps the changes since the last step, or has come back from an older copy,
    /// so everything must be read again.
    HistoryLost,
}

/// The entry of each server by its key: its revision, and its listing unless the entry is odd.
type Servers = BTreeMap<String, (Revision, Option<Listing>)>;

/// The evacuated failure domains by name, with the revision of each one's key.
type Evacuations = BTreeMap<String, Revision>;

/// The operators' keys, of which not all pages have been read.
#[derive(Clone, Debug, Default)]
struct OperatorKeys {
    /// The store's revision when the first page was read.
    revision: Revision,
    /// The last key of the pages that were read.
    after: String,
    has_config: bool,
    evacuated: Evacuations,
}

/// A read of the whole store that has begun.
#[derive(Debug)]
struct Reading {
    /// The store's revision when the read began.
    revision: Revision,
    /// The operators' keys, until their last page has been read.
    operator: Option<OperatorKeys>,
    evacuated: Evacuations,
    /// The last key of the pages of targets that were read.
    after: String,
    servers: Servers,
    /// Whether the operators' keys are to be read again, because a call has failed since.
    stale: bool,
}

#[derive(Debug)]
enum Progress {
    Unread,
    Reading(Reading),
    /// The changes up to this revision are known.
    Synced(Revision),
}

/// A reader of the platform's store.
///
/// Reads and watches are linearizable: each returns what was newest at some time after the call
/// began. Each step is one call, and the reader's state changes only with the result that the step
/// returns: a call that fails or is dropped before its end marks nothing as read.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    client: Option<Client>,
    /// The latest era of any answer.
    era: Option<Era>,
    progress: Progress,
    /// The entries of the last whole read, with all changes since then.
    servers: Servers,
    /// The evacuated failure domains of the last whole read, with all changes since then.
    evacuated: Evacuations,
    /// The names in `evacuated`.
    domains: DomainNames,
}

impl Store {
    /// Creates a reader without connecting.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: None,
            era: None,
            progress: Progress::Unread,
            servers: Servers::new(),
            evacuated: Evacuations::new(),
            domains: DomainNames::default(),
        }
    }

    /// Makes the next call. At first everything is read page by page: the operators' keys, then the
    /// targets. From then on, each call waits for changes, at most for `wait`.
    ///
    /// A read of everything whose call has failed reads the operators' keys once more and goes on
    /// with the page of targets that is due.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time, or its answer can't be read.
    pub async fn next(&mut self, wait: Duration) -> Result<Step, StoreError> {
        let step = match &self.progress {
            Progress::Unread => self.read_operator(OperatorKeys::default()).await,
            Progress::Reading(reading) if reading.stale => {
                self.read_operator(OperatorKeys::default()).await
            }
            Progress::Reading(Reading {
                operator: Some(keys),
                ..
            }) => {
                let keys = keys.clone();
                self.read_operator(keys).await
            }
            Progress::Reading(_) => self.read_page().await,
            Progress::Synced(since) => self.watch(*since, wait).await,
        };
        if step.is_err() {
            match &mut self.progress {
                Progress::Reading(reading) => reading.stale = true,
                progress => *progress = Progress::Unread,
            }
        }
        step
    }

    /// Reads the page of the operators' keys that follows the ones in `keys`. The first page also
    /// begins to read everything, unless that has begun.
    async fn read_operator(&mut self, mut keys: OperatorKeys) -> Result<Step, StoreError> {
        let is_first = keys.after.is_empty();
        let page = self.get_page(OPERATOR_PREFIX, &keys.after).await?;
        // A later era ends the read that has begun.
        if !is_first && !self.is_reading() {
            return Ok(Step::HistoryLost);
        }
        if is_first {
            keys.revision = page.store_revision;
        }
        let is_last = !page.more_pages || page.items.is_empty();
        let mut config = None;
        for item in page.items {
            if let Some(name) = domain_name(&item.key) {
                keys.evacuated.insert(name.to_owned(), item.revision);
            } else if item.key == CONFIG_KEY {
                keys.has_config = true;
                config = Some(ConfigItem {
                    position: self.position(item.revision),
                    value: item.value,
                });
            }
            keys.after = item.key;
        }
        if is_last && !keys.has_config {
            return Err(StoreError::NoConfig);
        }
        let evacuated = is_last.then(|| {
            let position = self.position(keys.revision);
            (position, names(&keys.evacuated))
        });
        if !self.is_reading() {
            self.progress = Progress::Reading(Reading {
                revision: keys.revision,
                operator: None,
                evacuated: Evacuations::new(),
                after: String::new(),
                servers: Servers::new(),
                stale: false,
            });
        }
        if let Progress::Reading(reading) = &mut self.progress {
            reading.stale = false;
            match is_last {
                true => {
                    reading.evacuated = keys.evacuated;
                    reading.operator = None;
                }
                false => reading.operator = Some(keys),
            }
        }
        Ok(Step::Operator { config, evacuated })
    }

    /// Reads the page of targets that is due.
    async fn read_page(&mut self) -> Result<Step, StoreError> {
        let Progress::Reading(reading) = &self.progress else {
            return Ok(Step::HistoryLost);
        };
        let after = reading.after.clone();
        let page = self.get_page(SERVER_PREFIX, &after).await?;
        let Progress::Reading(reading) = &mut self.progress else {
            return Ok(Step::HistoryLost);
        };
        for item in &page.items {
            apply_server(
                &mut reading.servers,
                &item.key,
                item.revision,
                Some(&item.value),
            );
        }
        if let Some(last) = page.items.last().filter(|_| page.more_pages) {
            reading.after = last.key.clone();
            return Ok(Step::Page);
        }
        // The pages are not read at one revision. The watch starts at the revision of the first
        // read, so a change made since then is reported again as an event.
        let revision = reading.revision;
        self.servers = std::mem::take(&mut reading.servers);
        self.evacuated = std::mem::take(&mut reading.evacuated);
        self.domains = names(&self.evacuated);
        self.progress = Progress::Synced(revision);
        Ok(Step::Listed {
            position: self.position(revision),
            targets: Registry {
                whole: true,
                ..self.registry()
            },
        })
    }

    /// Reads the page of the items with a prefix that follows a key, or the first one if that is
    /// empty.
    async fn get_page(&mut self, prefix: &str, after: &str) -> Result<Page, StoreError> {
        let key = utf8_percent_encode(after, &KEY_CHARACTERS);
        let path = match after.is_empty() {
            true => format!("kv-range?prefix={prefix}"),
            false => format!("kv-range?prefix={prefix}&after={key}"),
        };
        let body = self.get(&path, Duration::ZERO).await?;
        let page: Page = serde_json::from_slice(&body)?;
        let last = page.items.last().map_or("", |item| item.key.as_str());
        match page.more_pages && !page.items.is_empty() && last <= after {
            true => Err(StoreError::Page(after.to_owned())),
            false => Ok(page),
        }
    }

    /// Waits for changes after the revision `since`.
    async fn watch(&mut self, since: Revision, wait: Duration) -> Result<Step, StoreError> {
        let millis = wait.as_millis();
        let path = format!("kv-watch?prefix=&after={since}&waitMs={millis}");
        let body = match self.get(&path, wait).await {
            // This is no error, which would count as an outage: the store was reachable all the
            // time.
            Err(StoreError::Status(HISTORY_LOST)) => {
                self.progress = Progress::Unread;
                return Ok(Step::HistoryLost);
            }
            body => body?,
        };
        if !self.is_synced() {
            return Ok(Step::HistoryLost);
        }
        let changes: Changes = serde_json::from_slice(&body)?;
        let mut configs = Vec::new();
        let mut removed = Vec::new();
        let mut changed = false;
        let mut evacuated = false;
        for event in changes.events {
            if let Some(name) = event.key.strip_prefix(SERVER_PREFIX) {
                let value = event.value.as_deref();
                let last = self.servers.get(&event.key).map(|(written, _)| *written);
                let applied = apply_server(&mut self.servers, &event.key, event.revision, value);
                changed |= applied;
                let left = last.filter(|_| applied && value.is_none());
                removed.extend(left.map(|written| (id(name), written)));
            } else if event.key == CONFIG_KEY {
                let position = self.position(event.revision);
                configs.extend(event.value.map(|value| ConfigItem { position, value }));
            } else if let Some(name) = domain_name(&event.key) {
                let is_written = event.value.is_some();
                evacuated |=
                    apply_evacuation(&mut self.evacuated, name, event.revision, is_written);
            }
        }
        if evacuated {
            self.domains = names(&self.evacuated);
        }
        let revision = changes.store_revision.max(since);
        self.progress = Progress::Synced(revision);
        Ok(Step::Changed {
            position: self.position(revision),
            configs,
            targets: changed.then(|| Registry {
                removed,
                ..self.registry()
            }),
            evacuated: self.domains.clone(),
        })
    }

    /// Returns whether everything has been read, so that the next step watches for changes.
    pub fn is_synced(&self) -> bool {
        matches!(self.progress, Progress::Synced(_))
    }

    /// Returns whether a read of everything has begun and not ended.
    pub fn is_reading(&self) -> bool {
        matches!(self.progress, Progress::Reading(_))
    }

    /// Returns whether the next call may use a connection on which one has succeeded.
    pub fn has_connection(&self) -> bool {
        self.client.is_some()
    }

    /// Makes the next step begin to read everything again.
    pub fn reset(&mut self) {
        self.progress = Progress::Unread;
    }

    /// Reads the configuration, and returns it with the store's position at its newest change of any
    /// key.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer in time or has no configuration.
    pub async fn read_config(&mut self) -> Result<(ConfigItem, Position), StoreError> {
        let path = format!("kv-key?key={CONFIG_KEY}");
        let body = self.get(&path, Duration::ZERO).await?;
        let read: Read = serde_json::from_slice(&body)?;
        let config = ConfigItem {
            position: self.position(read.item.revision),
            value: read.item.value,
        };
        Ok((config, self.position(read.store_revision)))
    }

    /// Returns the position of a revision of the current era.
    fn position(&self, revision: Revision) -> Position {
        Position::new(self.era.unwrap_or(0), revision)
    }

    /// Records the era of an answer. What was read before a later era can't be continued.
    fn enter_era(&mut self, era: Era) -> Result<(), StoreError> {
        match self.era {
            Some(known) if era < known => return Err(StoreError::EarlierEra(era, known)),
            Some(known) if era > known => self.progress = Progress::Unread,
            _ => {}
        }
        self.era = Some(era);
        Ok(())
    }

    fn registry(&self) -> Registry {
        let listings = self.servers.values().map(|(_, listing)| listing);
        let targets: Vec<_> = listings.flatten().cloned().collect();
        Registry {
            odd: self.servers.len() - targets.len(),
            odd_fields: targets
                .iter()
                .map(|target| target.odd_fields as usize)
                .sum(),
            targets,
            ..Registry::default()
        }
    }

    async fn get(&mut self, path: &str, wait: Duration) -> Result<Vec<u8>, StoreError> {
        let client = match self.client.take() {
            Some(client) => client,
            None => Client::new()?,
        };
        let url = format!("http://{}/{path}", self.address);
        let call = async {
            let response = client.get(url)?.send().await?;
            let era = read_era(response.headers())?;
            let body = match response.status().as_u16() {
                200 => read_body(response).await,
                status => Err(StoreError::Status(status)),
            };
            Ok((era, body))
        };
        let (era, body) = timeout(wait + CALL_TIMEOUT, call)
            .await
            .unwrap_or(Err(StoreError::Timeout))?;
        self.enter_era(era)?;
        let body = body?;
        // The client is kept only after a success, so a connection on which a call has failed is not
        // used again.
        self.client = Some(client);
        Ok(body)
    }
}

/// Reads the body of an answer, up to [`MAX_ANSWER`].
async fn read_body(response: Response) -> Result<Vec<u8>, StoreError> {
    let mut parts = std::pin::pin!(response.bytes_stream());
    let mut body = Vec::new();
    while let Some(part) = parts.next().await {
        let part = part?;
        if body.len() + part.len() > MAX_ANSWER {
            return Err(StoreError::TooLong);
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}

/// Reads the store's era from the head of an answer; it is zero where the store says none.
fn read_era(headers: &HeaderMap) -> Result<Era, StoreError> {
    let Some(value) = headers.get(ERA) else {
        return Ok(0);
    };
    let era = value
        .to_str()
        .ok()
        .and_then(|value| value.trim().parse().ok());
    era.ok_or(StoreError::Era)
}

/// Applies a server's entry, or its deletion if `value` is `None`, and returns whether the registry
/// has changed.
fn apply_server(servers: &mut Servers, key: &str, revision: Revision, value: Option<&str>) -> bool {
    let known = servers.get(key);
    if known.is_some_and(|(known, _)| *known >= revision) {
        return false;
    }
    let Some(value) = value else {
        return servers.remove(key).is_some();
    };
    let name = key.strip_prefix(SERVER_PREFIX).unwrap_or(key);
    let value = STANDARD.decode(value).ok();
    let listing = value.and_then(|value| parse_listing(name, &value));
    let listing = listing.map(|listing| Listing {
        revision,
        ..listing
    });
    let changed = known.is_none_or(|(_, previous)| *previous != listing);
    servers.insert(key.to_owned(), (revision, listing));
    changed
}

/// Returns the failure domain that a key evacuates, or `None` for any other key. A name that no
/// target's entry can have is not a domain.
fn domain_name(key: &str) -> Option<&str> {
    let name = key.strip_prefix(EVACUATION_PREFIX)?;
    (!name.is_empty() && name.len() <= MAX_NAME).then_some(name)
}

fn names(evacuated: &Evacuations) -> DomainNames {
    Arc::new(evacuated.keys().cloned().collect::<BTreeSet<_>>())
}

/// Applies a change of an evacuated domain's key, unless a later one is known, and returns whether the
/// set of domains has changed.
fn apply_evacuation(
    evacuated: &mut Evacuations,
    name: &str,
    revision: Revision,
    is_written: bool,
) -> bool {
    if evacuated.get(name).is_some_and(|known| *known >= revision) {
        return false;
    }
    match is_written {
        true => evacuated.insert(name.to_owned(), revision).is_none(),
        false => evacuated.remove(name).is_some(),
    }
}

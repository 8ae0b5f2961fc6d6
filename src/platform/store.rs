//! The client of the platform's store, which can only be read.

use std::{
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
    listing,
    rules_text, //
};
use crate::{
    feed::Listing,
    rules::{
        self,
        Rules, //
    }, //
};

/// The key of the operator's newest configuration.
const CONFIG_KEY: &str = "op/config";

/// What the keys of servers begin with.
const SERVER_PREFIX: &str = "servers/";

/// The time that a call may take: far longer than the store's answers, and short enough for
/// several tries within the time in which a configuration must be in force.
const CALL_LIMIT: Duration = Duration::from_millis(600);

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
    Silent,
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
    revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    items: Vec<Item>,
    /// Whether items follow after the last one.
    #[serde(default)]
    more_pages: bool,
}

/// A reader of the platform's store.
///
/// Reads are linearizable: what one returns was in force at some time after it was begun.
/// Whole reads are preferred to watches, since a watch may be silent or miss changes.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    client: Option<Client>,
    revision: Option<u64>,
}

impl Store {
    /// Creates a reader without connecting.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: None,
            revision: None,
        }
    }

    /// Reads the rules; `None` where they have not changed since the last call.
    ///
    /// # Errors
    ///
    /// Fails where the store does not answer or has no usable configuration.
    pub async fn rules(&mut self) -> Result<Option<Rules>, StoreError> {
        let body = self.get(&format!("kv-key?key={CONFIG_KEY}")).await?;
        let item: Item = serde_json::from_slice(&body)?;
        if self.revision == Some(item.revision) {
            return Ok(None);
        }
        let text = rules_text(&STANDARD.decode(&item.value)?)?;
        let rules = rules::from_str(&text)?;
        self.revision = Some(item.revision);
        Ok(Some(rules))
    }

    /// Reads the targets that are registered; entries of other writers are left out.
    ///
    /// # Errors
    ///
    /// Fails where the store does not answer.
    pub async fn targets(&mut self) -> Result<Vec<Listing>, StoreError> {
        let mut listings = Vec::new();
        let mut after = String::new();
        loop {
            let mut path = format!("kv-range?prefix={SERVER_PREFIX}");
            if !after.is_empty() {
                path.push_str("&after=");
                path.push_str(&after);
            }
            let body = self.get(&path).await?;
            let page: Page = serde_json::from_slice(&body)?;
            listings.extend(page.items.iter().filter_map(decode));
            match page.items.last() {
                Some(last) if page.more_pages => after = last.key.clone(),
                _ => return Ok(listings),
            }
        }
    }

    async fn get(&mut self, path: &str) -> Result<Vec<u8>, StoreError> {
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
        let body = timeout(CALL_LIMIT, call)
            .await
            .unwrap_or(Err(StoreError::Silent))?;
        // A connection on which a call has failed is not used again.
        self.client = Some(client);
        Ok(body)
    }
}

fn decode(item: &Item) -> Option<Listing> {
    let name = item.key.strip_prefix(SERVER_PREFIX)?;
    let value = STANDARD.decode(&item.value).ok()?;
    listing(name, &value)
}

//! Watches on what the platform publishes: the rules in the configuration service, and the VM list.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use compio::time::{
    sleep,
    timeout, //
};
use cyper::Client;
use derive_more::{
    Display,
    Error,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    answer::Framing,
    settings::Name, //
};

/// How long the service may delay the answer to a watch until the value changes, in seconds.
const WATCH_SECONDS: u64 = 30;

/// The timeout for each call to the service. It is longer than a watch lasts without a change.
const CALL_TIMEOUT: Duration = Duration::from_secs(WATCH_SECONDS + 5);

/// The interval at which a process that does not watch reads the value.
const POLL_INTERVAL: Duration = Duration::from_secs(15);

/// The pause after a failed call, or after one whose answer has no index to wait for.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// The header field with the index of the value, from which on the next watch waits for a change,
/// as in Consul's blocking queries.
const INDEX_FIELD: &str = "x-consul-index";

/// A VM of the platform's list, which runs a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The VM's name.
    pub name: Name,
    /// The VM's failure domain.
    pub domain: Name,
    /// The address at which the VM's router accepts links.
    pub link: SocketAddr,
    /// Whether the VM is about to leave the fleet.
    #[serde(default)]
    pub leaving: bool,
}

/// Why a call to the platform failed.
#[derive(Debug, Display, Error, From)]
pub(super) enum ReadError {
    /// The call failed.
    #[display("{_0}")]
    Http(cyper::Error),
    /// The service answered with an error.
    #[display("status {_0}")]
    #[from(skip)]
    Status(#[error(not(source))] u16),
    /// The answer ends with its connection, so a broken-off text can't be told from a whole one.
    #[display("the answer has neither a length nor chunks")]
    Unframed,
    /// The service did not answer in time.
    #[display("no answer within {CALL_TIMEOUT:?}")]
    Timeout,
}

/// A watch on one value of the platform.
#[derive(Debug)]
pub(super) struct Watch {
    client: Client,
    url: String,
    /// The index of the last value, or zero if the service sent none.
    index: u64,
}

impl Watch {
    pub(super) fn new(url: &str) -> Result<Self, ReadError> {
        Ok(Self {
            client: Client::new()?,
            url: url.to_owned(),
            index: 0,
        })
    }

    /// Waits until the value changes. Returns `None` if it has not changed within
    /// [`WATCH_SECONDS`].
    async fn wait_for_change(&mut self) -> Result<Option<String>, ReadError> {
        let index = self.index;
        self.read(&format!("&index={index}&wait={WATCH_SECONDS}s"))
            .await
    }

    /// Reads the value without waiting. Returns `None` if it has not changed since the last read.
    async fn poll(&mut self) -> Result<Option<String>, ReadError> {
        self.read("").await
    }

    async fn read(&mut self, query: &str) -> Result<Option<String>, ReadError> {
        let url = format!("{}?raw{query}", self.url);
        let call = async {
            let response = self.client.get(url)?.send().await?;
            let status = response.status().as_u16();
            if status != 200 {
                return Err(ReadError::Status(status));
            }
            if Framing::of(response.headers()) == Framing::Connection {
                return Err(ReadError::Unframed);
            }
            let field = response.headers().get(INDEX_FIELD);
            let index = field.and_then(|value| value.to_str().ok()?.parse().ok());
            Ok((index.unwrap_or(0), response.text().await?))
        };
        let (index, text) = timeout(CALL_TIMEOUT, call)
            .await
            .unwrap_or(Err(ReadError::Timeout))?;
        // Any other index counts as a change, also a lower one, which means that the service was
        // restored. Without an index (zero), every answer counts as a change.
        let changed = index != self.index || index == 0;
        self.index = index;
        Ok(changed.then_some(text))
    }

    /// Passes each new value to `on_change`.
    ///
    /// While `should_watch` returns true, changes arrive at once. Otherwise the value is read at
    /// every [`POLL_INTERVAL`], so that changes arrive even if all processes that watch have
    /// failed.
    pub(super) async fn run(
        mut self,
        should_watch: impl Fn() -> bool,
        mut on_change: impl FnMut(String),
    ) {
        // The time waited since the last read.
        let mut waited = Duration::ZERO;
        loop {
            if !should_watch() && waited < POLL_INTERVAL {
                sleep(RETRY_PAUSE).await;
                waited += RETRY_PAUSE;
                continue;
            }
            let result = match should_watch() {
                true => self.wait_for_change().await,
                false => self.poll().await,
            };
            waited = Duration::ZERO;
            match result {
                Ok(Some(text)) => {
                    on_change(text);
                    if self.index == 0 {
                        sleep(RETRY_PAUSE).await;
                    }
                }
                Ok(None) => {}
                Err(err) => {
                    log::warn!("event=platform-failed url={} error=\"{err}\"", self.url);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

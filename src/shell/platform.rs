//! What the platform publishes: the configuration service and the VM list.

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

use crate::settings::Name;

/// The longest time that the service holds a watch.
const WATCH_SECONDS: u64 = 30;

/// The time after which a watch without an answer is given up.
const WATCH_LIMIT: Duration = Duration::from_secs(WATCH_SECONDS + 5);

/// The interval at which a process that does not watch reads nevertheless.
const POLL_INTERVAL: Duration = Duration::from_secs(15);

/// The pause after a failed or unchanged call.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// The header field with the index to wait for (Consul's blocking queries).
const INDEX_FIELD: &str = "x-consul-index";

/// A VM that runs a process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The VM's name.
    pub name: Name,
    /// The VM's failure domain.
    pub domain: Name,
    /// The router's address for links.
    pub link: SocketAddr,
    /// Whether the VM is leaving.
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
    /// The service did not answer.
    #[display("no answer")]
    Silent,
}

/// A watch on one value of the platform.
#[derive(Debug)]
pub(super) struct Watch {
    client: Client,
    url: String,
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

    /// Waits until the value changes; `None` where it has not.
    async fn next(&mut self) -> Result<Option<String>, ReadError> {
        let index = self.index;
        self.read(&format!("&index={index}&wait={WATCH_SECONDS}s"))
            .await
    }

    /// Reads the value at once; `None` where it has not changed.
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
            let field = response.headers().get(INDEX_FIELD);
            let index = field.and_then(|value| value.to_str().ok()?.parse().ok());
            Ok((index.unwrap_or(0), response.text().await?))
        };
        let (index, text) = timeout(WATCH_LIMIT, call)
            .await
            .unwrap_or(Err(ReadError::Silent))?;
        let changed = index != self.index || index == 0;
        // An index that goes back means that the service was restored.
        self.index = index;
        Ok(changed.then_some(text))
    }

    /// Hands on each new value: at once while `wanted`, else at every [`POLL_INTERVAL`],
    /// so that changes arrive though all those that watch may have failed.
    pub(super) async fn run(mut self, wanted: impl Fn() -> bool, mut take: impl FnMut(String)) {
        let mut idle = Duration::ZERO;
        loop {
            if !wanted() && idle < POLL_INTERVAL {
                sleep(RETRY_PAUSE).await;
                idle += RETRY_PAUSE;
                continue;
            }
            let result = match wanted() {
                true => self.next().await,
                false => self.poll().await,
            };
            idle = Duration::ZERO;
            match result {
                Ok(Some(text)) => {
                    take(text);
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

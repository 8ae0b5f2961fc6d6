//! The HTTP request of `redwingyard status`.

use derive_more::{
    Display,
    Error,
    From, //
};

/// Why a process's status could not be read.
#[derive(Debug, Display, Error, From)]
pub(super) enum StatusError {
    #[display("{_0}")]
    Http(cyper::Error),
    /// The async runtime could not be started.
    #[display("{_0}")]
    Io(std::io::Error),
}

/// Fetches the status page of the process whose operator address is `address`.
pub(super) fn fetch(address: &str) -> Result<String, StatusError> {
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let client = cyper::Client::new()?;
        let url = format!("http://{address}/status");
        let response = client.get(url)?.send().await?;
        Ok(response.text().await?)
    })
}

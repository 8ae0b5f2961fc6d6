//! The call behind `redwingyard status`.

use derive_more::{
    Display,
    Error,
    From, //
};

/// Why a process's status could not be read.
#[derive(Debug, Display, Error, From)]
pub(super) enum StatusError {
    /// The call failed.
    #[display("{_0}")]
    Http(cyper::Error),
    /// The runtime could not be started.
    #[display("{_0}")]
    Io(std::io::Error),
}

/// Reads the status page of the process at `address`.
pub(super) fn read(address: &str) -> Result<String, StatusError> {
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let client = cyper::Client::new()?;
        let url = format!("http://{address}/status");
        let response = client.get(url)?.send().await?;
        Ok(response.text().await?)
    })
}

//! Parses the entries of servers that register themselves in the store as targets.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use serde::Deserialize;
use serde_json::value::RawValue;

use super::config::figure;
use crate::{
    feed::Listing,
    rules::MAX_COLD_MS, //
};

/// The largest number of bytes in the name of a service or a failure domain, as in a key of the
/// store.
pub(super) const MAX_NAME: usize = 200;

/// The latest start of a target: the end of the year 9999, in milliseconds since the Unix epoch.
const MAX_BORN: u64 = 253_402_300_799_999;

/// A server's entry. Its field `sequence` is not read: it counts orders and says nothing about the
/// entry's age.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Server<'a> {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: State,
    #[serde(default)]
    born: u64,
    /// The time for which it stays cold, in milliseconds.
    #[serde(borrow, default)]
    cold_remaining_ms: Option<&'a RawValue>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

impl Server<'_> {
    /// Returns whether requests can be sent to the server.
    fn is_usable(&self) -> bool {
        let ip = self.address.ip();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        let is_host = !is_broadcast && !ip.is_unspecified() && !ip.is_multicast();
        is_host
            && self.address.port() != 0
            && self.slots > 0
            && self.born <= MAX_BORN
            && self.service.len() <= MAX_NAME
            && self.zone.len() <= MAX_NAME
    }
}

/// Returns whether a server's name can be sent in a header field, with which a request names the
/// server that may run it.
fn is_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Parses a server's entry, or returns `None` for a value that is not one, such as a value that
/// another writer has left under the key, and for one that names no server that can be used. A cold
/// time that can't be used counts as absent; see [`Listing::odd_fields`].
///
/// ```
/// let entry = br#"{"service":"api","address":"10.0.0.9:80","zone":"a","slots":6,
///     "state":"ready","sequence":4}"#;
/// assert_eq!(redwingyard::platform::parse_listing("i-1", entry).unwrap().slots, 6);
/// assert!(redwingyard::platform::parse_listing("i-1", b"{}").is_none());
/// ```
pub fn parse_listing(name: &str, value: &[u8]) -> Option<Listing> {
    let server: Server<'_> = serde_json::from_slice(value).ok()?;
    let cold = figure(server.cold_remaining_ms, MAX_COLD_MS as f64);
    (is_name(name) && server.is_usable()).then(|| Listing {
        name: name.to_owned(),
        service: server.service,
        address: server.address,
        domain: server.zone,
        slots: server.slots,
        draining: server.state == State::Draining,
        born: server.born,
        revision: 0,
        odd_fields: u32::from(cold.is_err()),
        cold: cold
            .ok()
            .flatten()
            .map(|left| Duration::from_secs_f64(left / 1_000.0)),
    })
}

//! Parses the entries of servers that register themselves in the store as targets.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::feed::Listing;

/// A server's entry. Its field `sequence` is not read: it counts orders and says nothing about the
/// entry's age.
#[derive(Deserialize)]
struct Server {
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    state: State,
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Parses a server's entry, or returns `None` for a value that is not one, such as a value that
/// another writer has left under the key.
///
/// ```
/// let entry = br#"{"service":"api","address":"10.0.0.9:80","zone":"a","slots":6,
///     "state":"ready","sequence":4}"#;
/// assert_eq!(redwingyard::platform::parse_listing("i-1", entry).unwrap().slots, 6);
/// assert!(redwingyard::platform::parse_listing("i-1", b"{}").is_none());
/// ```
pub fn parse_listing(name: &str, value: &[u8]) -> Option<Listing> {
    let server: Server = serde_json::from_slice(value).ok()?;
    Some(Listing {
        name: name.to_owned(),
        service: server.service,
        address: server.address,
        domain: server.zone,
        slots: server.slots,
        draining: server.state == State::Draining,
        born: server.born,
    })
}

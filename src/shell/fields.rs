//! Header fields of messages that are forwarded between callers and targets.

use bytes::Bytes;
use hyper::header::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};

/// Header fields that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Removes the header fields that apply to a single connection.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_options(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns the connection options: the lower-case names of the fields that the message itself
/// declares as hop-by-hop in its `Connection` field.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Returns the end-to-end fields of a message, which are forwarded.
pub(super) fn end_to_end_fields(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .filter(|(name, _)| !options.iter().any(|option| option == name.as_str()))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Converts fields to a header map, without those whose name or value is not valid.
pub(super) fn to_header_map(fields: &[(String, Bytes)]) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for (name, value) in fields {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

//! Splits event streams between events, so that another target can continue a stream that broke
//! off.

use bytes::{
    Bytes,
    BytesMut, //
};

use super::Flaw;

/// The bytes that end an event (the HTML standard's event stream format).
const EVENT_END: &[u8] = b"\n\n";

/// The same with the other line ending that the format allows.
const EVENT_END_CRLF: &[u8] = b"\r\n\r\n";

/// The longest event that is buffered, in bytes: the text of some hundred tokens.
const MAX_EVENT: usize = 64 << 10;

const ID_FIELD: &[u8] = b"id:";

/// Returns the number of events that end in a piece of a stream.
pub fn count_events(data: &[u8]) -> u32 {
    data.windows(EVENT_END.len())
        .filter(|window| *window == EVENT_END)
        .count() as u32
}

/// Tells whether the bytes of a stream so far end between two events.
#[derive(Debug, Default)]
pub(super) struct EventBoundary {
    /// The last bytes, as many as the longest end of an event has.
    tail: Vec<u8>,
}

impl EventBoundary {
    /// Adds bytes of the stream.
    pub(super) fn push(&mut self, data: &[u8]) {
        let added = data.len().saturating_sub(EVENT_END_CRLF.len());
        self.tail.extend_from_slice(&data[added..]);
        let surplus = self.tail.len().saturating_sub(EVENT_END_CRLF.len());
        self.tail.drain(..surplus);
    }

    /// Returns what a stream that ends here lacks.
    pub(super) fn flaw(&self) -> Option<Flaw> {
        if self.tail.is_empty() {
            return Some(Flaw::NoEvent);
        }
        let whole = self.tail.ends_with(EVENT_END) || self.tail.ends_with(EVENT_END_CRLF);
        (!whole).then_some(Flaw::InsideEvent)
    }
}

/// Splits a stream so that only whole events are passed on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The beginning of an event whose end has not arrived.
    partial: BytesMut,
    /// The id of the last event that was passed on.
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes of the stream. Returns all events that are complete now.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let whole = match self.partial.is_empty() {
            true if data.ends_with(EVENT_END) => data,
            _ => {
                // The end of an event may begin in the old bytes and end in the new ones.
                let from = self.partial.len().saturating_sub(EVENT_END.len() - 1);
                self.partial.extend_from_slice(&data);
                let ends = self.partial[from..].windows(EVENT_END.len());
                let last_end = ends.rposition_of(EVENT_END);
                let length = last_end.map_or(0, |at| from + at + EVENT_END.len());
                self.partial.split_to(length).freeze()
            }
        };
        if let Some(id) = find_last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Returns whether the event that has not ended is longer than [`MAX_EVENT`]; no target sends
    /// such events.
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT
    }

    /// Takes out the bytes of the event that has not ended.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the bytes of the event that has not ended. Returns the id of the last event that
    /// was passed on.
    pub fn discard_partial(&mut self) -> Option<&str> {
        self.partial.clear();
        self.last_id.as_deref()
    }
}

/// Finds the last occurrence of a pattern among windows of bytes.
trait LastOf {
    fn rposition_of(self, pattern: &[u8]) -> Option<usize>;
}

impl LastOf for std::slice::Windows<'_, u8> {
    fn rposition_of(mut self, pattern: &[u8]) -> Option<usize> {
        self.rposition(|window| window == pattern)
    }
}

/// Returns the last id in a sequence of events.
fn find_last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_whole_events_are_passed_on() {
        let mut splitter = EventSplitter::default();
        let whole = splitter.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
        assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
        assert_eq!(splitter.discard_partial(), Some("1"));
        let whole = splitter.push(Bytes::from_static(b"id: 2\ndata: b\n\n"));
        assert_eq!(&whole[..], b"id: 2\ndata: b\n\n");
        assert_eq!(splitter.discard_partial(), Some("2"));
    }
}

//! Event streams: cutting them between events, so that another target can go on.

use bytes::{
    Bytes,
    BytesMut, //
};

/// What ends an event (the HTML standard's event stream format).
const END: &[u8] = b"\n\n";

/// The longest event that is waited for, in bytes: some hundred tokens' text.
const MAX_EVENT: usize = 64 << 10;

/// The field with an event's name.
const ID: &[u8] = b"id:";

/// Returns the number of events that end in a piece of a stream.
pub(super) fn count(data: &[u8]) -> u32 {
    data.windows(END.len())
        .filter(|window| *window == END)
        .count() as u32
}

/// A stream that is passed on in whole events only.
#[derive(Debug, Default)]
pub(super) struct Events {
    partial: BytesMut,
    last: Option<String>,
}

impl Events {
    /// Takes bytes in and returns the whole events among them.
    pub(super) fn push(&mut self, data: Bytes) -> Bytes {
        let whole = match self.partial.is_empty() {
            true if data.ends_with(END) => data,
            _ => {
                // The end of an event may lie across the old bytes and the new ones.
                let from = self.partial.len().saturating_sub(END.len() - 1);
                self.partial.extend_from_slice(&data);
                let ends = self.partial[from..].windows(END.len());
                let last = ends.rposition_of(END);
                let length = last.map_or(0, |at| from + at + END.len());
                self.partial.split_to(length).freeze()
            }
        };
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Returns whether an event has become longer than any that a target makes.
    pub(super) fn is_endless(&self) -> bool {
        self.partial.len() > MAX_EVENT
    }

    /// Returns the bytes of an event that has not ended.
    pub(super) fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the last event that was passed on, and forgets the part of a further one.
    pub(super) fn cut(&mut self) -> Option<&str> {
        self.partial.clear();
        self.last.as_deref()
    }
}

/// Finds the last occurrence among windows of bytes.
trait LastOf {
    fn rposition_of(self, pattern: &[u8]) -> Option<usize>;
}

impl LastOf for std::slice::Windows<'_, u8> {
    fn rposition_of(mut self, pattern: &[u8]) -> Option<usize> {
        self.rposition(|window| window == pattern)
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_pass_whole() {
        let mut events = Events::default();
        let whole = events.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
        assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
        assert_eq!(events.cut(), Some("1"));
        let whole = events.push(Bytes::from_static(b"id: 2\ndata: b\n\n"));
        assert_eq!(&whole[..], b"id: 2\ndata: b\n\n");
        assert_eq!(events.cut(), Some("2"));
    }
}

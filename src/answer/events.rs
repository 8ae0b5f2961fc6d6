//! Splits event streams between events, so that another target can continue a stream that broke
//! off.

use bytes::{
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};

use super::Flaw;

/// The longest event that is buffered, in bytes: the text of some hundred tokens.
const MAX_EVENT: usize = 64 << 10;

const ID_FIELD: &[u8] = b"id:";

/// Finds the blank lines that end events (the HTML standard's event stream format). A line ends with
/// LF, CR LF or CR.
#[derive(Debug)]
pub(super) struct EventScanner {
    /// Whether the current line has no byte yet.
    line_empty: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same line end.
    after_cr: bool,
    /// Whether the last line end was that of a blank line.
    at_boundary: bool,
    /// Whether any line was not blank.
    has_text: bool,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            line_empty: true,
            after_cr: false,
            at_boundary: false,
            has_text: false,
        }
    }
}

impl EventScanner {
    /// Adds bytes of the stream. Returns how many of them the last event that ends in them reaches,
    /// and how many events end in them.
    pub(super) fn push(&mut self, data: &[u8]) -> (usize, u32) {
        let mut end = 0;
        let mut count = 0;
        for (i, &byte) in data.iter().enumerate() {
            match byte {
                b'\n' if self.after_cr => self.after_cr = false,
                b'\n' | b'\r' => {
                    count += u32::from(self.line_empty && !self.at_boundary);
                    self.at_boundary = self.line_empty;
                    self.line_empty = true;
                    self.after_cr = byte == b'\r';
                }
                _ => {
                    *self = Self {
                        line_empty: false,
                        after_cr: false,
                        at_boundary: false,
                        has_text: true,
                    }
                }
            }
            if self.at_boundary {
                end = i + 1;
            }
        }
        (end, count)
    }

    /// Returns what a stream that ends here lacks.
    pub(super) fn flaw(&self) -> Option<Flaw> {
        match (self.has_text, self.at_boundary) {
            (false, _) => Some(Flaw::NoEvent),
            (true, false) => Some(Flaw::InsideEvent),
            (true, true) => None,
        }
    }
}

/// Why what a target sends does not continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ContinuationError {
    /// It begins before the last event that was passed on.
    #[display("the stream began again instead of going on")]
    Repeated,
    /// It is other text than events.
    #[display("the target sent something else than events")]
    NotEvents,
}

/// Splits a stream so that only whole events are passed on.
///
/// ```
/// use bytes::Bytes;
/// use redwingyard::answer::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// let whole = splitter.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"))?;
/// assert_eq!(whole, "id: 1\ndata: a\n\n");
/// assert_eq!(splitter.start_continuation(), Some("1"));
/// assert!(splitter.push(Bytes::from_static(b"id: 1\ndata: a\n\n")).is_err());
/// # Ok::<(), redwingyard::answer::ContinuationError>(())
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    /// The beginning of an event whose end has not arrived.
    partial: BytesMut,
    /// The id of the last event that was passed on.
    last_id: Option<String>,
    /// Whether an event was passed on, named or not.
    has_events: bool,
    /// Whether no id of a continuation has arrived yet.
    continues: bool,
    /// Whether another target has been asked to continue the stream.
    continued: bool,
    /// Whether it has sent something else than events.
    foreign: bool,
}

impl EventSplitter {
    /// Adds bytes of the stream. Returns all events that are complete now.
    ///
    /// # Errors
    ///
    /// Fails if a continuation begins with an event that was passed on before, or has other text than
    /// events where the next one is due.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, ContinuationError> {
        let (end, _) = self.scanner.push(&data);
        let mut whole = match self.partial.is_empty() {
            true if end == data.len() => data,
            _ => {
                let length = if end > 0 { self.partial.len() + end } else { 0 };
                self.partial.extend_from_slice(&data);
                self.partial.split_to(length).freeze()
            }
        };
        if self.continues
            && let Some(first) = ids(&whole).next()
        {
            self.continues = false;
            if self
                .last_id
                .as_deref()
                .is_some_and(|last| is_repeated(last, first))
            {
                return Err(ContinuationError::Repeated);
            }
        }
        if self.continued {
            let sound = sound_length(&whole);
            self.foreign |= sound < whole.len();
            whole.truncate(sound);
            if self.foreign && whole.is_empty() {
                return Err(ContinuationError::NotEvents);
            }
        }
        self.has_events |= lines(&whole).any(|line| !line.is_empty() && !line.starts_with(b":"));
        if let Some(id) = ids(&whole).last() {
            self.last_id = Some(id.to_owned());
        }
        Ok(whole)
    }

    /// Returns whether the event that has not ended is longer than 64 KiB; no target sends such
    /// events.
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT
    }

    /// Returns the memory that the event takes which has not ended, in bytes.
    pub fn held(&self) -> usize {
        self.partial.capacity()
    }

    /// Takes out the bytes of the event that has not ended, at the end of the stream or where it can't
    /// be held any longer.
    ///
    /// # Errors
    ///
    /// Fails if they, or others before them, are no part of an event that continues the stream.
    pub fn take_partial(&mut self) -> Result<Bytes, ContinuationError> {
        let partial = self.partial.split().freeze();
        let foreign = self.continued && !is_event(&partial);
        match self.foreign || foreign {
            true => Err(ContinuationError::NotEvents),
            false => Ok(partial),
        }
    }

    /// Returns whether another target can be told where to go on: the events that were passed on
    /// have ids, or there are none.
    pub fn can_continue(&self) -> bool {
        self.last_id.is_some() || !self.has_events
    }

    /// Discards the bytes of the event that has not ended, as another target continues the stream.
    /// Returns the id of the last event that was passed on.
    pub fn start_continuation(&mut self) -> Option<&str> {
        self.partial.clear();
        self.scanner = EventScanner::default();
        self.continues = true;
        self.continued = true;
        self.foreign = false;
        self.last_id.as_deref()
    }
}

/// Returns the lines of a sequence of events, with empty ones between CR and LF.
fn lines(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    events.split(|byte| matches!(byte, b'\n' | b'\r'))
}

/// Returns the ids in a sequence of events.
fn ids(events: &[u8]) -> impl Iterator<Item = &str> {
    let ids = lines(events).filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.filter_map(|id| Some(std::str::from_utf8(id).ok()?.trim()))
}

/// Returns the length of the events at the start of a sequence of blocks that a blank line ends.
fn sound_length(blocks: &[u8]) -> usize {
    let mut scanner = EventScanner::default();
    let mut start = 0;
    for (i, byte) in blocks.iter().enumerate() {
        let (end, _) = scanner.push(std::slice::from_ref(byte));
        if end == 0 {
            continue;
        }
        if !is_event(&blocks[start..=i]) {
            return start;
        }
        start = i + 1;
    }
    start
}

/// Returns whether a block of lines is an event with an id, or comments. Each line is a field with a
/// lower-case name, as all fields of events and those that targets add have.
fn is_event(block: &[u8]) -> bool {
    let is_name = |byte: &u8| byte.is_ascii_lowercase() || *byte == b'-';
    let is_field = |line: &[u8]| {
        let name = line.iter().position(|byte| *byte == b':');
        name.is_some_and(|end| line[..end].iter().all(is_name))
    };
    let text = || lines(block).filter(|line| !line.is_empty());
    let is_comment = |line: &[u8]| line.starts_with(b":");
    text().all(is_field) && (text().all(is_comment) || text().any(has_id))
}

fn has_id(line: &[u8]) -> bool {
    line.starts_with(ID_FIELD)
}

/// Returns whether an event with the id `next` does not follow the one with the id `last`; numbers
/// increase.
fn is_repeated(last: &str, next: &str) -> bool {
    match (last.parse::<u64>(), next.parse::<u64>()) {
        (Ok(last), Ok(next)) => next <= last,
        _ => next == last,
    }
}

//! Whether the part of an answer that has arrived may be all of it.

use derive_more::Display;

use super::{
    Framing,
    events::EventScanner, //
};

/// What is known of a target at the moment at which a connection to it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum TargetState {
    /// It accepts connections.
    #[display("alive")]
    Alive,
    /// It has announced that it stops, or is no longer registered.
    #[display("leaving")]
    Leaving,
    /// Nothing listens at its address, although it is registered.
    #[display("crashed")]
    Crashed,
    /// It has neither accepted nor refused a connection in time.
    #[display("unknown")]
    Unknown,
}

/// What shows that an answer whose connection was closed in order is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Flaw {
    /// It is a stream without an event.
    #[display("no-event")]
    NoEvent,
    /// It is a stream that ends inside an event.
    #[display("inside-event")]
    InsideEvent,
    /// Its target crashed when it ended.
    #[display("target-crashed")]
    TargetCrashed,
}

/// The progress of an answer, from which its end is judged.
///
/// The HTTP library reports a connection that fails, and an answer that is shorter than its framing
/// says. This type judges what it can't: an answer that has no framing, whose connection was closed
/// in order.
///
/// ```
/// use redwingyard::answer::{Flaw, Framing, Progress, TargetState};
/// let mut progress = Progress::new(Framing::Connection, true);
/// progress.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(progress.flaw(), Some(Flaw::InsideEvent));
/// progress.push(b"ta: b\n\n");
/// assert_eq!(progress.flaw(), None);
/// assert_eq!(progress.judge(TargetState::Alive), Ok(()));
/// ```
#[derive(Debug)]
pub struct Progress {
    framing: Framing,
    stream: bool,
    scanner: EventScanner,
}

impl Progress {
    /// Starts with the head of an answer; `stream` says that its body is an event stream.
    pub fn new(framing: Framing, stream: bool) -> Self {
        Self {
            framing,
            stream,
            scanner: EventScanner::default(),
        }
    }

    /// Returns how the answer marks its end.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether only its bytes and its target can say whether the answer is whole.
    pub fn is_unframed(&self) -> bool {
        self.framing == Framing::Connection
    }

    /// Adds bytes of the body. Returns how many events end in them, for an event stream.
    pub fn push(&mut self, data: &[u8]) -> u32 {
        match self.stream {
            true => self.scanner.push(data).1,
            false => 0,
        }
    }

    /// Returns what the bytes so far lack, if the connection ends here.
    pub fn flaw(&self) -> Option<Flaw> {
        match self.is_unframed() && self.stream {
            true => self.scanner.flaw(),
            false => None,
        }
    }

    /// Judges an answer whose connection was closed in order.
    ///
    /// # Errors
    ///
    /// Returns what shows that the answer is not whole.
    pub fn judge(&self, target: TargetState) -> Result<(), Flaw> {
        match self.flaw() {
            Some(flaw) => Err(flaw),
            None if self.is_unframed() && target == TargetState::Crashed => {
                Err(Flaw::TargetCrashed)
            }
            None => Ok(()),
        }
    }
}

//! The typed messages between the system's own processes and their encoding.

mod beacon;
mod codec;
mod message;

pub use beacon::{
    Beacon,
    Echo,
    Newest, //
};
pub use codec::{
    Decoder,
    Error,
    MAX_FRAME,
    VERSION,
    encode, //
};
pub use message::{
    Bid,
    Dispatch,
    Edit,
    End,
    Entry,
    Exchange,
    Head,
    Hello,
    Hint,
    Message,
    Part,
    Patch,
    Peer,
    Reason,
    Report,
    RequestId,
    Standing,
    Tally,
    Totals,
    Version, //
};

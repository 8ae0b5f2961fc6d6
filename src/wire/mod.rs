//! The typed messages between the system's own processes and their encoding.

mod beacon;
mod codec;
mod message;

pub use beacon::{
    Beacon,
    Echo,
    NewestRevision, //
};
pub use codec::{
    Decoder,
    Error,
    MAX_FRAME,
    PROTOCOL_VERSION,
    encode, //
};
pub use message::{
    AccountTotal,
    AccountUsage,
    AttemptId,
    BacklogHint,
    Chunk,
    Dispatch,
    Edit,
    End,
    Exchange,
    ExchangeEntry,
    Head,
    Hello,
    IdempotencyKey,
    Message,
    Patch,
    Peer,
    Reason,
    Report,
    RulesVersion,
    Totals, //
};

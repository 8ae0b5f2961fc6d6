//! The messages between the processes of the system, and their encoding.

mod beacon;
mod codec;
mod message;

pub use beacon::{
    Beacon,
    ColdNotice,
    Echo,
    EvacuationMark,
    HeldEntry,
    NewestPosition,
    NewestRevision,
    RulesMark,
    Slowdown,
    StoreMark,
    TargetMark, //
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

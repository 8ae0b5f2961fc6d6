//! The gossip datagram that gateways send each other, and its encoding.

use super::Error;
use crate::{
    feed::DrainNotice,
    ids::{
        Generation,
        Incarnation,
        Position,
        Revision,
        Target, //
    },
    mesh::{
        MemberUpdate,
        Source, //
    },
    pool::{
        Load,
        PartReport,
        ShareReport,
        UsageReport, //
    }, //
};

data! {
    /// The receipt of the latest datagram from another router, from which that router computes an
    /// upper bound on the age of the datagram with the echo.
    #[derive(Copy)]
    pub struct Echo {
        /// The process that sent the received datagram, as a hash of its router and its incarnation.
        pub process: u32,
        /// The sequence number of the received datagram.
        pub sequence: u64,
        /// The time since it was received, in milliseconds, rounded down.
        pub age: u32,
    }

    /// A revision of the store without its era, which processes of earlier builds confirm to each
    /// other.
    #[derive(Copy)]
    pub struct NewestRevision {
        /// The revision.
        pub revision: Revision,
        /// The time since it was confirmed to be the newest, in milliseconds, rounded up.
        pub age: u32,
    }

    /// The newest position of the store, as confirmed at some time.
    #[derive(Copy)]
    pub struct NewestPosition {
        /// The position.
        pub position: Position,
        /// The time since it was confirmed to be the newest, in milliseconds, rounded up.
        pub age: u32,
    }

    /// The rules in force at a router.
    #[derive(Copy)]
    pub struct RulesMark {
        /// The position of the store at which they were last changed.
        pub position: Position,
        /// Their generation.
        pub generation: Generation,
    }

    /// The entry of a target in an older copy of the registry, although the target had left.
    #[derive(Copy)]
    pub struct HeldEntry {
        /// The target.
        pub target: Target,
        /// The revision of the entry.
        pub revision: Revision,
    }

    /// What a router knows of the store.
    #[derive(Default)]
    pub struct StoreMark {
        /// The position up to which it has the store's changes, if that was confirmed to be the newest
        /// at some time.
        pub newest: Option<NewestPosition>,
        /// The rules in force, if there are any.
        pub rules: Option<RulesMark>,
        /// Some of the entries that it holds back.
        pub held: Vec<HeldEntry>,
    }

    /// A target that a router knows to be cold.
    #[derive(Copy)]
    pub struct ColdNotice {
        /// The target.
        pub target: Target,
        /// How much longer it stays cold, in milliseconds.
        pub left: u32,
    }

    /// The evacuated failure domains at a position of the store.
    #[derive(Default)]
    pub struct EvacuationMark {
        /// The position up to which the set is known.
        pub position: Position,
        /// The failure domains.
        pub domains: Vec<u32>,
    }

    /// How much longer than usual an engine takes.
    #[derive(Copy)]
    pub struct Slowdown {
        /// The engine.
        pub target: Target,
        /// The time that its work takes, in percent of the usual time.
        pub percent: u32,
        /// The time since the last answer that showed it, in milliseconds.
        pub age: u32,
    }

    /// What a router knows of the targets beside their loads.
    #[derive(Default)]
    pub struct TargetMark {
        /// The cold targets with the most time left.
        pub cold: Vec<ColdNotice>,
        /// The evacuated failure domains, if they have been read.
        pub evacuated: Option<EvacuationMark>,
        /// The engines that are slower or faster than usual.
        pub slow: Vec<Slowdown>,
    }

    /// A gossip datagram: membership updates and, in most datagrams, aggregates of the loads at
    /// targets and of the usage of accounts.
    #[derive(Default)]
    pub struct Beacon {
        /// The sender's failure domain.
        pub domain: u32,
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// The sequence number of this datagram within the sender's incarnation; a datagram that is
        /// not newer than the last one received is ignored.
        pub sequence: u64,
        /// Whether the sender is stopping.
        pub leaving: bool,
        /// Whether the receiver is to answer with updates about its members.
        pub wants_members: bool,
        /// Updates about some of the sender's members.
        pub updates: Vec<MemberUpdate>,
        /// The latest datagrams that the sender has received from the recipients of this one.
        pub echoes: Vec<Echo>,
        /// What a process of an earlier build confirms. A revision without its era confirms nothing, so
        /// it is neither sent nor read.
        pub newest: Option<NewestRevision>,
        /// The targets that have recently announced that they are leaving.
        pub drains: Vec<DrainNotice>,
        /// The routers that `loads` and `usages` are summed over; none in a datagram without them.
        pub source: Option<Source>,
        /// The number of groups in the sender's failure domain, in the sender's view.
        pub groups: u32,
        /// The load of these gateways at each target.
        pub loads: Vec<Load>,
        /// The recent usage of accounts at these gateways, by service.
        pub usages: Vec<UsageReport>,
        /// The evidence about prompt parts that crash targets. It follows the other fields as a
        /// value of its own, which processes that don't know it leave unread.
        #[serde(skip)]
        pub parts: Vec<PartReport>,
        /// What the sender knows of the store, which follows in the same way.
        #[serde(skip)]
        pub store: StoreMark,
        /// What the sender knows of the targets, which follows in the same way.
        #[serde(skip)]
        pub targets: TargetMark,
        /// What the fair shares depend on at the routers of `source`, which follows in the same way.
        #[serde(skip)]
        pub shares: Vec<ShareReport>,
    }
}

impl TargetMark {
    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.cold.is_empty() && self.evacuated.is_none() && self.slow.is_empty()
    }
}

impl Beacon {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Fails only if memory for the bytes cannot be allocated.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = postcard::to_stdvec(self)?;
        let bytes = postcard::to_extend(&self.parts, bytes)?;
        let bytes = postcard::to_extend(&self.store, bytes)?;
        if self.targets.is_empty() && self.shares.is_empty() {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.targets, bytes)?;
        match self.shares.is_empty() {
            true => Ok(bytes),
            false => Ok(postcard::to_extend(&self.shares, bytes)?),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not encode a gossip datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let (mut beacon, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if rest.is_empty() {
            return Ok(beacon);
        }
        let (parts, rest) = postcard::take_from_bytes(rest)?;
        beacon.parts = parts;
        if rest.is_empty() {
            return Ok(beacon);
        }
        let (store, rest) = postcard::take_from_bytes(rest)?;
        beacon.store = store;
        if rest.is_empty() {
            return Ok(beacon);
        }
        let (targets, rest) = postcard::take_from_bytes(rest)?;
        beacon.targets = targets;
        if !rest.is_empty() {
            beacon.shares = postcard::from_bytes(rest)?;
        }
        Ok(beacon)
    }
}

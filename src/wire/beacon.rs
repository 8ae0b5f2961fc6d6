//! The datagram that gateways send each other.

use super::Error;
use crate::{
    feed::DrainNotice,
    ids::{
        Incarnation,
        Revision, //
    },
    mesh::{
        MemberUpdate,
        Source, //
    },
    pool::{
        Load,
        Standing, //
    }, //
};

data! {
    /// A datagram that was received.
    #[derive(Copy)]
    pub struct Echo {
        /// The number of the router that sent it.
        pub router: u32,
        /// The datagram's own number.
        pub sequence: u64,
        /// How long ago it was received, in milliseconds, rounded down.
        pub age: u32,
    }

    /// What was the newest revision of the store.
    #[derive(Copy)]
    pub struct NewestRevision {
        /// The revision.
        pub revision: Revision,
        /// How long ago it was known to be the newest, in milliseconds, rounded up.
        pub age: u32,
    }

    /// What some gateways have at their targets and have given to accounts.
    #[derive(Default)]
    pub struct Beacon {
        /// The sender's failure domain.
        pub domain: u32,
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// The number of this datagram; an older one is ignored.
        pub sequence: u64,
        /// Whether the sender is stopping.
        pub leaving: bool,
        /// Whether the sender asks for the routers that the receiver knows.
        pub wants_members: bool,
        /// Some of the routers that the sender has heard of.
        pub updates: Vec<MemberUpdate>,
        /// The last datagrams of those to whom this one goes.
        pub echoes: Vec<Echo>,
        /// Up to where the sender knows the store's changes.
        pub newest: Option<NewestRevision>,
        /// The targets that have said lately that they leave.
        pub drains: Vec<DrainNotice>,
        /// Whose figures these are; none in a datagram without figures.
        pub source: Option<Source>,
        /// The groups into which the sender's failure domain falls.
        pub groups: u32,
        /// What these gateways have at each target.
        pub loads: Vec<Load>,
        /// What these gateways have given to accounts lately.
        pub usages: Vec<Standing>,
    }
}

impl Beacon {
    /// Returns the datagram.
    ///
    /// # Errors
    ///
    /// Fails only where memory does.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Fails on bytes that are no beacon.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

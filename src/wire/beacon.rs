//! The datagram that gateways send each other.

use std::net::IpAddr;

use super::Error;
use crate::{
    ids::{
        Incarnation,
        Router, //
    },
    pool::{
        Load,
        Standing, //
    }, //
};

data! {
    /// What a gateway has at its targets and has given to accounts.
    pub struct Beacon {
        /// The sender.
        pub router: Router,
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// The number of this datagram; an older one is ignored.
        pub sequence: u64,
        /// The gateways that the sender has heard of lately.
        pub peers: Vec<IpAddr>,
        /// What the sender has at each target.
        pub loads: Vec<Load>,
        /// What the sender has given to accounts lately.
        pub standings: Vec<Standing>,
        /// Whether the sender is stopping.
        pub leaving: bool,
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

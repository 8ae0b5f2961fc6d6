//! Bounds the age of what other gateways confirm, by the datagrams that this process has sent to them.
//!
//! A datagram echoes the latest one that its sender has received from each recipient. The echoed datagram
//! was received after it was sent, so its send time dates what the other gateway reports, without a common
//! clock or a bound on the latency of datagrams.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::IpAddr,
    time::Duration, //
};

use derive_more::Display;

use crate::{
    ids::{
        Incarnation,
        Router,
        Time,
        rendezvous_weight, //
    },
    mesh,
    wire::Echo, //
};

/// Why a report can't be dated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Undated {
    /// The reporting gateway echoes no datagram of this process.
    #[display("not-echoed")]
    NotEchoed,
    /// The send time of the echoed datagram is not kept.
    #[display("unknown-datagram")]
    UnknownDatagram,
    /// The echo says that the datagram was received at a time that has not come yet.
    #[display("future")]
    Future,
}

/// The send times of a process's last datagrams.
#[derive(Clone, Debug, Default)]
pub struct SentTimes(VecDeque<(u64, Time)>);

impl SentTimes {
    /// The number of datagrams whose send times are kept: those of some seconds.
    const CAPACITY: usize = 64;

    /// Records the send time of a datagram.
    pub fn record(&mut self, sequence: u64, at: Time) {
        if self.0.len() >= Self::CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back((sequence, at));
    }

    /// Converts an age that another gateway reports to a time of this process's clock that is no
    /// later than the actual one: `held` after it received this process's datagram `sequence`,
    /// something was `age` old there.
    ///
    /// # Errors
    ///
    /// Fails if the datagram's send time is not kept, or if the datagram would have been received
    /// after `now`.
    pub fn lower_bound(
        &self,
        now: Time,
        sequence: u64,
        held: Duration,
        age: Duration,
    ) -> Result<Time, Undated> {
        let sent = self.0.iter().find(|(recorded, _)| *recorded == sequence);
        let (_, at) = sent.ok_or(Undated::UnknownDatagram)?;
        let reported = *at + held;
        match reported > now {
            true => Err(Undated::Future),
            false => Ok(reported.saturating_sub(age)),
        }
    }
}

/// The latest datagram from another gateway.
#[derive(Clone, Copy, Debug)]
struct Receipt {
    incarnation: Incarnation,
    sequence: u64,
    at: Time,
}

/// The datagrams that a process has sent to other gateways and received from them.
///
/// ```
/// use std::{net::IpAddr, time::Duration};
/// use redwingyard::replica::Receipts;
///
/// let (a, b) = (IpAddr::from([10, 0, 0, 1]), IpAddr::from([10, 0, 0, 2]));
/// let mut here = Receipts::new(a, 7);
/// let mut there = Receipts::new(b, 9);
/// let millis = Duration::from_millis;
/// here.record_sent(1, millis(500));
/// there.record_received(a, 7, 1, millis(40));
/// // 30 ms later, the other gateway reports something that is 20 ms old.
/// let echoes = there.echoes(millis(70), &[a]);
/// assert_eq!(here.date(millis(600), &echoes, millis(20)), Ok(millis(510)));
/// ```
#[derive(Clone, Debug)]
pub struct Receipts {
    /// The identifier of this process in echoes.
    process: u32,
    sent: SentTimes,
    received: BTreeMap<IpAddr, Receipt>,
}

impl Receipts {
    /// Creates the receipts of the process with an incarnation at an address.
    pub fn new(address: IpAddr, incarnation: Incarnation) -> Self {
        Self {
            process: process_id(mesh::router_id(address), incarnation),
            sent: SentTimes::default(),
            received: BTreeMap::new(),
        }
    }

    /// Records the send time of a datagram.
    pub fn record_sent(&mut self, sequence: u64, at: Time) {
        self.sent.record(sequence, at);
    }

    /// Records a datagram. Returns whether it is newer than all earlier ones of the same process.
    pub fn record_received(
        &mut self,
        from: IpAddr,
        incarnation: Incarnation,
        sequence: u64,
        at: Time,
    ) -> bool {
        let is_stale =
            |known: &Receipt| known.incarnation == incarnation && known.sequence >= sequence;
        if self.received.get(&from).is_some_and(is_stale) {
            return false;
        }
        let receipt = Receipt {
            incarnation,
            sequence,
            at,
        };
        self.received.insert(from, receipt);
        true
    }

    /// Returns the latest datagram from each of the recipients, so that they can bound the age of what
    /// this process sends to them.
    pub fn echoes(&self, now: Time, to: &[IpAddr]) -> Vec<Echo> {
        let echo = |ip: &IpAddr| {
            let receipt = self.received.get(ip)?;
            Some(Echo {
                process: process_id(mesh::router_id(*ip), receipt.incarnation),
                sequence: receipt.sequence,
                age: now.saturating_sub(receipt.at).as_millis() as u32,
            })
        };
        to.iter().filter_map(echo).collect()
    }

    /// Returns a time that is no later than the one of something that another gateway has reported
    /// together with these echoes, when it was `age` old.
    ///
    /// # Errors
    ///
    /// Fails if no datagram of this process is echoed whose send time is kept, or if its echo can't be
    /// true.
    pub fn date(&self, now: Time, echoes: &[Echo], age: Duration) -> Result<Time, Undated> {
        let echo = echoes.iter().find(|echo| echo.process == self.process);
        let echo = echo.ok_or(Undated::NotEchoed)?;
        let held = Duration::from_millis(u64::from(echo.age));
        self.sent.lower_bound(now, echo.sequence, held, age)
    }

    /// Forgets the datagrams from gateways that are not kept.
    pub fn retain(&mut self, is_kept: impl Fn(IpAddr) -> bool) {
        self.received.retain(|ip, _| is_kept(*ip));
    }
}

/// Returns the identifier of a process in echoes: a gateway that has started again does not take the
/// echo of a datagram that it sent before for one of its own.
fn process_id(router: Router, incarnation: Incarnation) -> u32 {
    rendezvous_weight(router, incarnation) as u32
}

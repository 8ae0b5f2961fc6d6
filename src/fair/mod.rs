//! The order of accounts by the service that they have received from the fleet.
//!
//! A sidecar decides with a [`UsageView`]; routers keep a [`UsageTable`] for each service, exchange
//! it along a tree and tell sidecars the standings that they need. Service is counted in
//! slot time divided by share, so the account with the least is served next. The rules
//! follow start-time fair queueing (Goyal, Vin and Cheng, 1996) and the virtual token
//! counter (Sheng et al., OSDI 2024).

mod table;
mod view;

pub use table::{
    EXCHANGE_INTERVAL,
    UsageTable, //
};
pub use view::{
    REPORT_INTERVAL,
    UsageView, //
};

use std::time::Duration;

use crate::ids::Usage;

/// The largest lead that one backlogged account may have over another, in usage.
pub const MAX_LEAD: Usage = 20_000_000;

/// Returns the lower median, the level at which a returning account starts.
///
/// The least would not do: one account that is far behind would hold down all that
/// return, and they would then be preferred to those that never left.
fn lower_median(usages: impl Iterator<Item = Usage>) -> Option<Usage> {
    let mut usages: Vec<_> = usages.collect();
    let middle = usages.len().checked_sub(1)? / 2;
    Some(*usages.select_nth_unstable(middle).1)
}

/// Converts slot time into usage.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(redwingyard::fair::usage(Duration::from_millis(6), 3), 2_000);
/// ```
pub fn usage(time: Duration, share: u32) -> Usage {
    time.as_micros() as Usage / Usage::from(share.max(1))
}

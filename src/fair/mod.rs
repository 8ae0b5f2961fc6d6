//! Weighted fair queueing of accounts by the service that they have received from the fleet.
//!
//! A sidecar schedules with a [`UsageView`]. Routers keep a [`UsageTable`] for each service,
//! exchange it along a tree of routers and send each sidecar the usage of the accounts that
//! it needs. Usage is slot time divided by the account's share, so the backlogged account
//! with the least usage is served next. The rules follow start-time fair queueing (Goyal, Vin
//! and Cheng, 1996) and the virtual token counter (Sheng et al., OSDI 2024).

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

/// The largest difference in usage between two backlogged accounts.
pub const MAX_LEAD: Usage = 20_000_000;

/// Returns the lower median, the usage at which a returning account starts.
///
/// The minimum is not used: one account that is far behind would set a low start for every
/// returning account, and these would then be served before the accounts that stayed.
fn lower_median(usages: impl Iterator<Item = Usage>) -> Option<Usage> {
    let mut usages: Vec<_> = usages.collect();
    let middle = usages.len().checked_sub(1)? / 2;
    Some(*usages.select_nth_unstable(middle).1)
}

/// Converts slot time into usage, by dividing it by the account's share.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(redwingyard::fair::usage(Duration::from_millis(6), 3), 2_000);
/// ```
pub fn usage(time: Duration, share: u32) -> Usage {
    time.as_micros() as Usage / Usage::from(share.max(1))
}

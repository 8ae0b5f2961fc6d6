//! The usage and the demand of one account.

use crate::ids::Usage;

/// The difference in usage, in tokens, that may arise from the size of requests alone: that of
/// three large requests.
const SLACK: Usage = 30_000;

/// The service that an account has recently received and requested, in tokens of engine work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecentService {
    /// The service that it has received.
    pub usage: Usage,
    /// The service that it has requested, whether it was served or not.
    pub demand: Usage,
}

/// What decided the part of the engines that an account could use: its recent service and the
/// fraction of each engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// The service that the account has received and requested in the whole fleet.
    pub recent: RecentService,
    /// The fraction of an engine that its requests may use.
    pub allowed: f64,
    /// What decided whether the account was held.
    pub hold: Hold,
}

/// What decides whether an account is held to its part of the fair share at a router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hold {
    /// The fair share, as a sum like [`RecentService::usage`]; none if no account is held.
    pub share: Option<Usage>,
    /// The rate that the share is one of, as a multiple of the rate that the rules state.
    pub headroom: f64,
    /// Whether engines have room beyond the shares.
    pub spare: bool,
    /// The service that the account has received and requested at this router.
    pub own: RecentService,
}

impl RecentService {
    /// Returns the ratio of another account's `usage` to that of this account. Usage beyond this
    /// account's own demand is not counted, as this account would not have used it.
    ///
    /// ```
    /// use redwingyard::pool::RecentService;
    /// let large = RecentService { usage: 270_000, demand: 2_000_000 };
    /// assert_eq!(large.ratio_to(900_000), 3.0);
    /// // An account with little demand can't be far below others.
    /// let small = RecentService { usage: 0, demand: 15_000 };
    /// assert_eq!(small.ratio_to(900_000), 0.5);
    /// ```
    pub fn ratio_to(&self, usage: Usage) -> f64 {
        usage.min(self.demand) as f64 / (self.usage + SLACK) as f64
    }
}

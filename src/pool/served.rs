//! What one account has had.

use crate::ids::Usage;

/// The service, in tokens, by which accounts may differ for no other reason than the size of
/// their requests: three large ones.
const SLACK: Usage = 30_000;

/// What an account has lately had and asked for, in tokens of engine time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountUsage {
    /// The service that it has had.
    pub usage: Usage,
    /// The service that it has asked for, given or not.
    pub demand: Usage,
}

impl AccountUsage {
    /// Returns how many times as much as this account another one with some `usage` has had, of
    /// what this one would have taken.
    ///
    /// ```
    /// use redwingyard::pool::AccountUsage;
    /// let large = AccountUsage { usage: 270_000, demand: 2_000_000 };
    /// assert_eq!(large.ratio_to(900_000), 3.0);
    /// // An account that asks for little cannot be far behind.
    /// let small = AccountUsage { usage: 0, demand: 15_000 };
    /// assert_eq!(small.ratio_to(900_000), 0.5);
    /// ```
    pub fn ratio_to(&self, usage: Usage) -> f64 {
        usage.min(self.demand) as f64 / (self.usage + SLACK) as f64
    }
}

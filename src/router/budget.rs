//! The limit on retries.

/// A token bucket that keeps retries below a fraction of the requests.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: u32,
}

/// The tokens that a retry costs.
const RETRY_COST: u32 = 10;

/// The most tokens that are saved up.
const MAX_TOKENS: u32 = 100 * RETRY_COST;

impl Default for Budget {
    fn default() -> Self {
        let tokens = 10 * RETRY_COST;
        Self { tokens }
    }
}

impl Budget {
    /// Notes a new request, which earns a tenth of a retry.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + 1).min(MAX_TOKENS);
    }

    /// Takes a retry out of the budget and returns whether there was one.
    ///
    /// ```
    /// let mut budget = redwingyard::router::Budget::default();
    /// let retries = (0..100).filter(|_| budget.spend()).count();
    /// assert_eq!(retries, 10);
    /// ```
    pub fn spend(&mut self) -> bool {
        let left = self.tokens.checked_sub(RETRY_COST);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some()
    }
}

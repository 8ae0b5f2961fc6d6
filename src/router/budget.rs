//! The limit on retries.

/// A token bucket that keeps retries below a fraction of the requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u32,
    most: u32,
}

/// The tokens that a retry costs.
const RETRY_COST: u32 = 10;

/// The most tokens that are saved up.
const MAX_TOKENS: u32 = 100 * RETRY_COST;

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: 10 * RETRY_COST,
            most: MAX_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Creates a budget that begins with all the retries that may be saved up.
    pub fn new(most: u32) -> Self {
        let most = most * RETRY_COST;
        Self { tokens: most, most }
    }

    /// Notes a new request, which earns a tenth of a retry.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + 1).min(self.most);
    }

    /// Takes a retry out of the budget and returns whether there was one.
    ///
    /// ```
    /// let mut budget = redwingyard::router::RetryBudget::default();
    /// let retries = (0..100).filter(|_| budget.spend()).count();
    /// assert_eq!(retries, 10);
    /// ```
    pub fn spend(&mut self) -> bool {
        let left = self.tokens.checked_sub(RETRY_COST);
        self.tokens = left.unwrap_or(self.tokens);
        left.is_some()
    }
}

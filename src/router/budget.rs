//! The retry budget.

/// A token bucket that limits retries to a tenth of the requests, beyond an initial reserve.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u32,
    capacity: u32,
}

/// The tokens that a retry costs.
const RETRY_COST: u32 = 10;

/// The capacity of the default bucket, in tokens.
const MAX_TOKENS: u32 = 100 * RETRY_COST;

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: 10 * RETRY_COST,
            capacity: MAX_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Creates a full bucket with a capacity in retries.
    pub fn new(retries: u32) -> Self {
        let capacity = retries * RETRY_COST;
        Self {
            tokens: capacity,
            capacity,
        }
    }

    /// Adds the tokens that a new request earns: a tenth of a retry.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + 1).min(self.capacity);
    }

    /// Returns how many retries are left.
    ///
    /// ```
    /// let mut budget = redwingyard::router::RetryBudget::new(3);
    /// budget.spend();
    /// assert_eq!(budget.left(), 2);
    /// ```
    pub fn left(&self) -> u32 {
        self.tokens / RETRY_COST
    }

    /// Takes the tokens of a retry and returns whether there were enough.
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

//! What a caller asks of a target.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{
    Account,
    Service,
    Time, //
};

/// A part of a prompt, named by itself and all parts before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of the path from the prompt's start.
    pub path: u64,
    /// The tokens of this part alone.
    pub tokens: u64,
}

/// What a request asks of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one is rarely shared.
    pub parts: Vec<PromptPart>,
    /// The tokens of the prompt.
    pub input: u64,
    /// The tokens that the answer is expected to have.
    pub output: u64,
}

/// A request as the pool sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestSpec {
    /// The client account.
    pub account: Account,
    /// The service.
    pub service: Service,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The targets that it may run on.
    pub attempts: u32,
    /// The time until the first byte that the caller aims for.
    pub objective: Duration,
    /// When the request must have ended.
    pub deadline: Time,
    /// How long it lay unread, as far as this process was late.
    pub read_delay: Duration,
    /// How long its caller waits for the first byte, where that is less than until the deadline.
    pub client_timeout: Option<Duration>,
    /// What it asks of a model engine, if it is for one.
    pub prompt: Option<Prompt>,
}

impl PromptPart {
    /// Returns the parts of a prompt from their names and lengths in tokens.
    ///
    /// ```
    /// use redwingyard::pool::PromptPart;
    /// let a = PromptPart::chain([("5c", 800), ("91", 410)]);
    /// let b = PromptPart::chain([("5c", 800), ("92", 410)]);
    /// assert_eq!(a[0], b[0]);
    /// assert_ne!(a[1], b[1]);
    /// ```
    pub fn chain<'a>(parts: impl IntoIterator<Item = (&'a str, u64)>) -> Vec<PromptPart> {
        let mut path = 0;
        let link = |(name, tokens): (&str, u64)| {
            path = xxh3_64_with_seed(name.as_bytes(), path);
            PromptPart { path, tokens }
        };
        parts.into_iter().map(link).collect()
    }
}

impl Prompt {
    /// Returns the deepest part that other requests are likely to share.
    pub(super) fn shared(&self) -> Option<&PromptPart> {
        self.parts.len().checked_sub(2).map(|at| &self.parts[at])
    }

    /// Returns the tokens of the parts before the last one.
    pub(super) fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }

    /// Returns the engine time that it takes, in tokens: one for each token read and two for
    /// each token generated.
    pub(super) fn work(&self) -> u64 {
        self.input + 2 * self.output
    }
}

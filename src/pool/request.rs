//! A request and its prompt as the pool needs them for its decisions.

use std::time::Duration;

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::ids::{
    Account,
    Part,
    Service,
    Time, //
};

/// A part of a prompt, with its own name and a hash over that and the names of all parts before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptPart {
    /// The part itself, whatever comes before it.
    pub name: Part,
    /// The hash of the names from the prompt's start up to this part.
    pub path: u64,
    /// The tokens of this part, without those of earlier parts.
    pub tokens: u64,
}

/// The prompt of a request to a model engine, and the expected length of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order. The last one is usually not shared with other prompts.
    pub parts: Vec<PromptPart>,
    /// The tokens of the whole prompt.
    pub input: u64,
    /// The expected tokens of the answer.
    pub output: u64,
}

/// The properties of a request that the pool decides by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestSpec {
    /// The client account.
    pub account: Account,
    /// The service.
    pub service: Service,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The most attempts in which the request may run at a target.
    pub attempts: u32,
    /// The latency objective: the time from arrival to the first byte that is aimed for.
    pub objective: Duration,
    /// The earliest time at which the caller may stop waiting, as if the request had arrived at the
    /// earliest possible time.
    pub deadline: Time,
    /// How late this process may have read the request: the time between the earliest at which it
    /// can have arrived and the one at which it was read.
    pub read_delay: Duration,
    /// How long the caller waits for the first byte, where it may give up before the deadline.
    pub client_timeout: Option<Duration>,
    /// The prompt, if the request is for a model engine.
    pub prompt: Option<Prompt>,
}

impl RequestSpec {
    /// Returns the latest time until which the caller may wait. Only then is work for it in vain: an
    /// answer that is ended before may still be wanted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::RequestSpec;
    ///
    /// let spec = RequestSpec {
    ///     deadline: Duration::from_millis(3_000),
    ///     read_delay: Duration::from_millis(200),
    ///     ..RequestSpec::default()
    /// };
    /// assert_eq!(spec.latest_deadline(), Duration::from_millis(3_200));
    /// ```
    pub fn latest_deadline(&self) -> Time {
        self.deadline + self.read_delay
    }
}

impl PromptPart {
    /// Creates the parts of a prompt from their names and their lengths in tokens.
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
            PromptPart {
                name: part_id(name),
                path,
                tokens,
            }
        };
        parts.into_iter().map(link).collect()
    }
}

/// Returns the identifier of a part: the number that its name is in hexadecimal, so that operators
/// can recognize it, or else a hash.
///
/// ```
/// assert_eq!(redwingyard::pool::part_id("5c"), 0x5c);
/// ```
pub fn part_id(name: &str) -> Part {
    Part::from_str_radix(name, 16).unwrap_or_else(|_| xxh3_64(name.as_bytes()))
}

impl Prompt {
    /// Returns the last part of the prefix that other prompts are likely to share: the last part
    /// but one.
    pub(super) fn shared(&self) -> Option<&PromptPart> {
        self.parts.len().checked_sub(2).map(|at| &self.parts[at])
    }

    /// Returns the tokens of the shared prefix: of all parts but the last one.
    pub(super) fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }

    /// Returns the work of an engine for the request, in tokens: one for each prompt token and two
    /// for each generated token.
    pub(super) fn work(&self) -> u64 {
        self.input + 2 * self.output
    }
}

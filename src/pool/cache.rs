//! What a router believes of the prompt parts that an engine keeps.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::PromptPart;

/// The least that a part is counted as, in tokens, so that small ones are few.
const LEAST_PART: u64 = 16;

/// The prompt parts that an engine is believed to keep, least recently used first out.
///
/// The belief is learnt from the requests that this router has sent, so it can be wrong
/// either way; it only decides placement.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: u64,
    tokens: u64,
    clock: u64,
    parts: HashMap<u64, (u64, u64)>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates the belief about an engine that keeps `capacity` tokens.
    ///
    /// ```
    /// use redwingyard::pool::{PrefixCache, PromptPart};
    /// let mut cache = PrefixCache::new(1_000);
    /// let parts = PromptPart::chain([("a", 600), ("b", 300)]);
    /// cache.insert(&parts);
    /// assert_eq!(cache.kept(&parts), 900);
    /// cache.insert(&PromptPart::chain([("c", 500)]));
    /// assert_eq!(cache.kept(&parts), 0);
    /// ```
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the tokens of the longest beginning of a prompt that is kept.
    pub fn kept(&self, parts: &[PromptPart]) -> u64 {
        let kept = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.path));
        kept.map(|part| part.tokens).sum()
    }

    /// Notes that a prompt has been read.
    pub fn insert(&mut self, parts: &[PromptPart]) {
        // The first parts are used last, so that a path is forgotten from its end.
        for part in parts.iter().rev() {
            self.clock += 1;
            let tokens = part.tokens.max(LEAST_PART);
            let fresh = (tokens, self.clock);
            match self.parts.insert(part.path, fresh) {
                Some((old, used)) => {
                    self.order.remove(&used);
                    self.tokens = self.tokens - old + tokens;
                }
                None => self.tokens += tokens,
            }
            self.order.insert(self.clock, part.path);
        }
        while self.tokens > self.capacity {
            let Some((_, path)) = self.order.pop_first() else {
                break;
            };
            if let Some((tokens, _)) = self.parts.remove(&path) {
                self.tokens -= tokens;
            }
        }
    }

    /// Sets the tokens that the engine is believed to keep of this router's prompts.
    pub fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Forgets everything, as the engine has started again.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }
}

//! A router's estimate of the prompt parts that an engine has cached.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::PromptPart;

/// The least tokens that a part counts for, so that the capacity also bounds the number of small
/// parts.
const MIN_PART_TOKENS: u64 = 16;

/// The prompt parts that an engine is estimated to have in its prefix cache, with eviction of the
/// least recently used part.
///
/// The estimate is based on the requests that this router has sent. The engine may have cached
/// more or fewer parts, so the estimate is used only for placement.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: u64,
    /// The tokens of all cached parts.
    tokens: u64,
    /// A counter that increases with each use of a part.
    clock: u64,
    /// The tokens and the last use of each part, by path.
    parts: HashMap<u64, (u64, u64)>,
    /// The path of each part by its last use.
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates the estimate of an engine that caches up to `capacity` tokens.
    ///
    /// ```
    /// use redwingyard::pool::{PrefixCache, PromptPart};
    /// let mut cache = PrefixCache::new(1_000);
    /// let parts = PromptPart::chain([("a", 600), ("b", 300)]);
    /// cache.insert(&parts);
    /// assert_eq!(cache.cached_tokens(&parts), 900);
    /// cache.insert(&PromptPart::chain([("c", 500)]));
    /// assert_eq!(cache.cached_tokens(&parts), 0);
    /// ```
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the tokens of the longest cached prefix of a prompt.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.path));
        cached.map(|part| part.tokens).sum()
    }

    /// Adds the parts of a prompt that is sent to the engine, and evicts parts beyond the capacity.
    pub fn insert(&mut self, parts: &[PromptPart]) {
        // The parts are marked as used in reverse order. The last part of a prompt is then its
        // least recently used one, and eviction removes the end of a prompt before its beginning.
        for part in parts.iter().rev() {
            self.clock += 1;
            let tokens = part.tokens.max(MIN_PART_TOKENS);
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

    /// Sets the tokens of this router's prompts that the engine is estimated to cache.
    pub fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Removes all parts, because the engine has restarted.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }
}

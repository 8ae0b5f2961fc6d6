//! The memory that a [`PrefixCache`] takes. This test has a process of its own, because the
//! resident memory of a process includes what every other test in it allocates.

use std::fs;

use redwingyard::pool::{
    PrefixCache,
    PromptPart, //
};

/// Parts that are declared with 0 tokens must not let the cache grow without bound.
#[test]
fn parts_without_tokens_take_bounded_memory() {
    let resident = || {
        let text = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
        let pages = text.split_whitespace().nth(1);
        let pages: Option<usize> = pages.and_then(|pages| pages.parse().ok());
        pages.expect("the second field of /proc/self/statm is a number of pages") * 4
    };
    let mut cache = PrefixCache::new(1_000);
    let before = resident();
    for i in 0..300_000_u32 {
        cache.insert(&PromptPart::chain([(i.to_string().as_str(), 0)]));
    }
    let growth = resident().saturating_sub(before);
    drop(cache);
    assert!(growth < 4 << 10, "the cache took {growth} KB");
}

//! The memory that a cache takes, in a process of its own: the resident memory of a process
//! counts what every test in it allocates.

use std::fs;

use redwingyard::pool::{
    PrefixCache,
    PromptPart, //
};

/// The load: prompts whose parts are said to have no tokens.
#[test]
fn parts_without_tokens_keep_within_the_memory() {
    let resident = || {
        let text = fs::read_to_string("/proc/self/statm").expect("a file");
        let pages = text.split_whitespace().nth(1);
        let pages: Option<usize> = pages.and_then(|pages| pages.parse().ok());
        pages.expect("a count of pages") * 4
    };
    let mut cache = PrefixCache::new(1_000);
    let before = resident();
    for i in 0..300_000_u32 {
        cache.insert(&PromptPart::chain([(i.to_string().as_str(), 0)]));
    }
    let more = resident().saturating_sub(before);
    drop(cache);
    assert!(more < 4 << 10, "{more} KB");
}

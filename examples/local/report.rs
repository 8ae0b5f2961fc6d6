//! The table that the demonstration prints.

use super::{
    standin::plain::Writes,
    traffic::Outcome, //
};

/// Prints what came of the traffic.
pub(super) fn print(outcome: &Outcome, writes: &Writes) {
    let total: f64 = outcome
        .shares
        .values()
        .map(|share| share.slot_time.as_secs_f64())
        .sum();
    let weights: u32 = outcome.shares.values().map(|share| share.weight).sum();
    println!("account     served  refused  broken  share got  share due");
    for (account, share) in &outcome.shares {
        let got = share.slot_time.as_secs_f64() / total.max(f64::MIN_POSITIVE);
        let due = f64::from(share.weight) / f64::from(weights);
        println!(
            "{account:10} {:7} {:8} {:7} {:9.1}% {:9.1}%",
            share.served,
            share.refused,
            share.broken,
            got * 100.0,
            due * 100.0
        );
    }
    println!(
        "utilisation of the engines: {:.1}%",
        outcome.utilisation * 100.0
    );
    let (direct, routed) = (&outcome.direct, &outcome.routed);
    for quantile in [0.5, 0.99] {
        let (near, far) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        println!(
            "latency p{:.0}: direct {near} us, routed {far} us, added {} us",
            quantile * 100.0,
            far.saturating_sub(near)
        );
    }
    println!(
        "writes: {} confirmed, {} ran more than once",
        outcome.saved.len(),
        writes.duplicates().len()
    );
}

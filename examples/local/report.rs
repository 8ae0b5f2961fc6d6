//! The report that the demonstration prints.

use super::{
    standin::plain::Writes,
    traffic::Outcome, //
};

/// Prints the results of the traffic: what each account received, the utilisation, the latencies and
/// the writes.
pub(super) fn print(outcome: &Outcome, writes: &Writes) {
    let total_time: f64 = outcome
        .accounts
        .values()
        .map(|stats| stats.slot_time.as_secs_f64())
        .sum();
    let total_weight: u32 = outcome.accounts.values().map(|stats| stats.weight).sum();
    println!("account     served  refused  broken      share fair share");
    for (account, stats) in &outcome.accounts {
        let actual_share = stats.slot_time.as_secs_f64() / total_time.max(f64::MIN_POSITIVE);
        let fair_share = f64::from(stats.weight) / f64::from(total_weight);
        println!(
            "{account:10} {:7} {:8} {:7} {:9.1}% {:9.1}%",
            stats.served,
            stats.refused,
            stats.broken,
            actual_share * 100.0,
            fair_share * 100.0
        );
    }
    println!(
        "utilisation of the engines: {:.1}%",
        outcome.utilisation * 100.0
    );
    let (direct, routed) = (&outcome.direct, &outcome.routed);
    for quantile in [0.5, 0.99] {
        let (direct_time, routed_time) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        println!(
            "latency p{:.0}: direct {direct_time} us, routed {routed_time} us, added {} us",
            quantile * 100.0,
            routed_time.saturating_sub(direct_time)
        );
    }
    println!(
        "writes: {} confirmed, {} ran more than once",
        outcome.confirmed.len(),
        writes.duplicates().len()
    );
}

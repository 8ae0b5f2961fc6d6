//! The ground truth of a simulation: what really happened, which no simulated process can see.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use redwingyard::{
    ids::Time,
    router::Refusal, //
};

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got the whole answer.
    Whole,
    /// The caller got a refusal.
    Refused(Refusal),
    /// The answer broke off.
    Broken,
    /// The router was killed.
    Cut,
}

/// A request of a caller and what became of it.
#[derive(Clone, Debug)]
pub struct Call {
    pub account: usize,
    pub router: usize,
    pub arrived: Time,
    pub write: bool,
    /// Whether the caller sends another request once it has an answer.
    pub again: bool,
    pub key: Option<u128>,
    pub waiting: bool,
    /// When it first started to run.
    pub started: Option<Time>,
    /// How many times it has run.
    pub runs: u32,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Debug, Default)]
struct AccountStats {
    share: u32,
    waiting: usize,
    /// The start of each run that has not ended.
    running: BTreeMap<u64, Time>,
    /// The slot time of the runs that have ended.
    finished_time: Duration,
    waits: Vec<Duration>,
}

/// The ground truth of a simulation, and the figures that are computed from it.
#[derive(Debug, Default)]
pub struct Truth {
    pub calls: Vec<Call>,
    /// The number of runs for each idempotency key.
    pub keys: HashMap<u128, u32>,
    account_stats: Vec<AccountStats>,
    last_run: u64,
    slots: u32,
    /// The least and the greatest lead in usage of the first account over the second, for each
    /// pair of accounts, since both have been waiting.
    lead_ranges: BTreeMap<(usize, usize), (f64, f64)>,
    /// The largest difference between the two leads of any pair so far.
    pub gap: f64,
    pub gap_pair: (usize, usize),
    pub gap_time: Time,
    /// The slot time that was used while requests waited.
    busy: Duration,
    /// The slot time that was available while requests waited.
    offered: Duration,
    running: u32,
    last_advance: Time,
    /// The time from which on figures are measured.
    pub from: Time,
}

impl Truth {
    pub fn new(shares: impl Iterator<Item = u32>, slots: u32, from: Time) -> Self {
        let stats = |share| AccountStats {
            share,
            ..AccountStats::default()
        };
        Self {
            account_stats: shares.map(stats).collect(),
            slots,
            from,
            ..Self::default()
        }
    }

    /// Accounts for the time since the last call, in which the state did not change.
    pub fn advance(&mut self, now: Time) {
        let span = now.saturating_sub(self.last_advance.max(self.from));
        let waits = self.account_stats.iter().any(|stats| stats.waiting > 0);
        if waits && now > self.from {
            self.offered += span * self.slots;
            self.busy += span * self.running.min(self.slots);
        }
        self.last_advance = now;
    }

    /// Records a call that arrives and returns its number.
    pub fn arrive(&mut self, call: Call) -> usize {
        self.account_stats[call.account].waiting += usize::from(call.waiting);
        self.calls.push(call);
        self.calls.len() - 1
    }

    /// Records that a call starts to run and returns the number of the run.
    pub fn begin(&mut self, now: Time, call: usize) -> u64 {
        self.last_run += 1;
        self.end_wait(call);
        let entry = &mut self.calls[call];
        entry.runs += 1;
        if let Some(key) = entry.key {
            *self.keys.entry(key).or_default() += 1;
        }
        let stats = &mut self.account_stats[entry.account];
        if entry.started.is_none() {
            entry.started = Some(now);
            if now > self.from {
                stats.waits.push(now - entry.arrived);
            }
        }
        stats.running.insert(self.last_run, now);
        self.running += 1;
        self.last_run
    }

    /// Records that a run has ended.
    pub fn finish(&mut self, now: Time, call: usize, run: u64) {
        let stats = &mut self.account_stats[self.calls[call].account];
        if let Some(since) = stats.running.remove(&run) {
            stats.finished_time += now - since;
            self.running -= 1;
        }
    }

    /// Records how a call ended for its caller.
    pub fn end(&mut self, call: usize, outcome: Outcome) {
        self.end_wait(call);
        let call = &mut self.calls[call];
        call.outcome.get_or_insert(outcome);
    }

    /// Records that a call no longer waits.
    fn end_wait(&mut self, call: usize) {
        let call = &mut self.calls[call];
        if call.waiting {
            call.waiting = false;
            self.account_stats[call.account].waiting -= 1;
        }
    }

    /// Returns the slot time that an account has received.
    pub fn service(&self, now: Time, account: usize) -> Duration {
        let stats = &self.account_stats[account];
        let running: Duration = stats.running.values().map(|since| now - *since).sum();
        stats.finished_time + running
    }

    /// Returns the number of waiting calls of an account.
    pub fn waiting(&self, account: usize) -> usize {
        self.account_stats[account].waiting
    }

    /// Returns the number of waiting calls of all accounts.
    pub fn all_waiting(&self) -> usize {
        self.account_stats.iter().map(|stats| stats.waiting).sum()
    }

    /// Samples the lead between each pair of accounts that both have calls waiting, and updates
    /// the gap: the change of a lead while both waited.
    pub fn sample(&mut self, now: Time) {
        if now < self.from {
            return;
        }
        let count = self.account_stats.len();
        let usage: Vec<_> = (0..count)
            .map(|i| self.service(now, i).as_secs_f64() / f64::from(self.account_stats[i].share))
            .collect();
        for a in 0..count {
            for b in a + 1..count {
                if self.account_stats[a].waiting == 0 || self.account_stats[b].waiting == 0 {
                    self.lead_ranges.remove(&(a, b));
                    continue;
                }
                let lead = usage[a] - usage[b];
                let (low, high) = self.lead_ranges.entry((a, b)).or_insert((lead, lead));
                *low = low.min(lead);
                *high = high.max(lead);
                if *high - *low > self.gap {
                    self.gap = *high - *low;
                    self.gap_pair = (a, b);
                    self.gap_time = now;
                }
            }
        }
    }

    /// Restarts the measurement of the gap.
    pub fn reset_gap(&mut self) {
        self.lead_ranges.clear();
        self.gap = 0.0;
    }

    /// Returns the fraction of the slot time that was used while requests waited.
    pub fn utilisation(&self) -> f64 {
        match self.offered.is_zero() {
            true => 1.0,
            false => self.busy.as_secs_f64() / self.offered.as_secs_f64(),
        }
    }

    /// Returns a quantile of the waiting times of some accounts.
    pub fn wait(&self, accounts: &[usize], quantile: f64) -> Duration {
        let waits = accounts.iter().flat_map(|i| &self.account_stats[*i].waits);
        let mut waits: Vec<_> = waits.copied().collect();
        waits.sort_unstable();
        let at = (waits.len() as f64 * quantile) as usize;
        waits
            .get(at.min(waits.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }
}

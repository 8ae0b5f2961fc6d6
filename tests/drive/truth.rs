//! What really happened in a drive, as no process of it can know.

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
    /// The whole answer.
    Whole,
    /// A refusal.
    Refused(Refusal),
    /// A broken answer.
    Broken,
    /// The router died.
    Cut,
}

/// A call of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub account: usize,
    pub router: usize,
    pub arrived: Time,
    pub write: bool,
    /// Whether the caller asks again once it is answered.
    pub again: bool,
    pub key: Option<u128>,
    pub waiting: bool,
    pub begun: Option<Time>,
    pub runs: u32,
    pub outcome: Option<Outcome>,
}

/// The account of one account.
#[derive(Clone, Debug, Default)]
struct Book {
    share: u32,
    waiting: usize,
    running: BTreeMap<u64, Time>,
    settled: Duration,
    waits: Vec<Duration>,
}

/// The truth about a drive, and the figures drawn from it.
#[derive(Debug, Default)]
pub struct Truth {
    pub calls: Vec<Call>,
    pub keys: HashMap<u128, u32>,
    books: Vec<Book>,
    serial: u64,
    slots: u32,
    pairs: BTreeMap<(usize, usize), (f64, f64)>,
    pub gap: f64,
    pub gap_pair: (usize, usize),
    pub gap_time: Time,
    busy: Duration,
    offered: Duration,
    running: u32,
    last: Time,
    pub from: Time,
}

impl Truth {
    pub fn new(shares: impl Iterator<Item = u32>, slots: u32, from: Time) -> Self {
        let book = |share| Book {
            share,
            ..Book::default()
        };
        Self {
            books: shares.map(book).collect(),
            slots,
            from,
            ..Self::default()
        }
    }

    /// Notes that time passes with the present state.
    pub fn advance(&mut self, now: Time) {
        let span = now.saturating_sub(self.last.max(self.from));
        let waits = self.books.iter().any(|book| book.waiting > 0);
        if waits && now > self.from {
            self.offered += span * self.slots;
            self.busy += span * self.running.min(self.slots);
        }
        self.last = now;
    }

    pub fn arrive(&mut self, call: Call) -> usize {
        self.books[call.account].waiting += usize::from(call.waiting);
        self.calls.push(call);
        self.calls.len() - 1
    }

    /// Notes that a call starts to run and returns the number of its run.
    pub fn begin(&mut self, now: Time, call: usize) -> u64 {
        self.serial += 1;
        self.settle_wait(call);
        let entry = &mut self.calls[call];
        entry.runs += 1;
        if let Some(key) = entry.key {
            *self.keys.entry(key).or_default() += 1;
        }
        let book = &mut self.books[entry.account];
        if entry.begun.is_none() {
            entry.begun = Some(now);
            if now > self.from {
                book.waits.push(now - entry.arrived);
            }
        }
        book.running.insert(self.serial, now);
        self.running += 1;
        self.serial
    }

    /// Notes that a run has ended.
    pub fn finish(&mut self, now: Time, call: usize, run: u64) {
        let book = &mut self.books[self.calls[call].account];
        if let Some(since) = book.running.remove(&run) {
            book.settled += now - since;
            self.running -= 1;
        }
    }

    /// Notes how a call ended for its caller.
    pub fn end(&mut self, call: usize, outcome: Outcome) {
        self.settle_wait(call);
        let call = &mut self.calls[call];
        call.outcome.get_or_insert(outcome);
    }

    fn settle_wait(&mut self, call: usize) {
        let call = &mut self.calls[call];
        if call.waiting {
            call.waiting = false;
            self.books[call.account].waiting -= 1;
        }
    }

    /// Returns the slot time that an account has had.
    pub fn service(&self, now: Time, account: usize) -> Duration {
        let book = &self.books[account];
        let running: Duration = book.running.values().map(|since| now - *since).sum();
        book.settled + running
    }

    pub fn waiting(&self, account: usize) -> usize {
        self.books[account].waiting
    }

    pub fn all_waiting(&self) -> usize {
        self.books.iter().map(|book| book.waiting).sum()
    }

    /// Notes the gap between every two accounts that wait.
    pub fn sample(&mut self, now: Time) {
        if now < self.from {
            return;
        }
        let count = self.books.len();
        let usage: Vec<_> = (0..count)
            .map(|i| self.service(now, i).as_secs_f64() / f64::from(self.books[i].share))
            .collect();
        for a in 0..count {
            for b in a + 1..count {
                if self.books[a].waiting == 0 || self.books[b].waiting == 0 {
                    self.pairs.remove(&(a, b));
                    continue;
                }
                let lead = usage[a] - usage[b];
                let (low, high) = self.pairs.entry((a, b)).or_insert((lead, lead));
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

    /// Starts the measurement of gaps anew.
    pub fn reset_gap(&mut self) {
        self.pairs.clear();
        self.gap = 0.0;
    }

    /// Returns the share of the slots that were busy while requests waited.
    pub fn utilisation(&self) -> f64 {
        match self.offered.is_zero() {
            true => 1.0,
            false => self.busy.as_secs_f64() / self.offered.as_secs_f64(),
        }
    }

    /// Returns a quantile of the waits of some accounts.
    pub fn wait(&self, accounts: &[usize], quantile: f64) -> Duration {
        let waits = accounts.iter().flat_map(|i| &self.books[*i].waits);
        let mut waits: Vec<_> = waits.copied().collect();
        waits.sort_unstable();
        let at = (waits.len() as f64 * quantile) as usize;
        waits
            .get(at.min(waits.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }
}

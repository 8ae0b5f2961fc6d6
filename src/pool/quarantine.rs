//! Quarantine of prompt parts that crash the targets that answer them (queries of death).
//!
//! When a target crashes, the parts of the prompts that it had not begun to answer are suspects.
//! Every answer to a request with a part that begins after the crash clears the part again, so
//! popular parts are cleared within the time of one answer. A part that is in several crashes in a
//! row without an answer in between is quarantined: requests with it are refused. Until then, a
//! suspect is sent to one target at a time.
//!
//! Targets also crash for causes of their own, and then often many at a time. A crash therefore
//! counts against a part only if its request was sent after the crash that counted before, and if
//! the part is in at least a third of the crashes at that time.
//!
//! Routers exchange this evidence in [`PartReport`]s, since each of them sees only a few of the
//! crashes and of the answers. Merging is a union of crashes and a maximum of answer times, so
//! reports may be lost, late or repeated.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        HashSet, //
    },
    ops::Bound,
    time::Duration, //
};

use derive_more::Display;

use super::Prompt;
use crate::ids::{
    Part,
    Sequence,
    Target,
    Time,
    rendezvous_weight, //
};

/// The crashes in a row after which a part is quarantined, if it was never answered.
const QUARANTINE_CRASHES: usize = 3;

/// The further crashes that it takes for a part that was answered before them.
const ANSWERED_BONUS: usize = 1;

/// The time between two crashes within which they may have the same cause.
const CRASH_WINDOW: Duration = Duration::from_millis(250);

/// A part is a suspect of a crash only if it is in at least one in this many of the crashes within
/// [`CRASH_WINDOW`], so that two or three parts that crash targets at the same time are all found.
const MIN_SHARE: usize = 3;

/// The time after a part's last crash for which each lower rank of a router keeps it from trying
/// the part again.
const TRIAL_STAGGER: Duration = Duration::from_millis(100);

/// The time after the last crash of a quarantined part until it is tried again. It doubles with
/// each further crash, and each lower rank of a router adds it once more.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(600);

/// The time after its last crash for which a part that is not quarantined stays a suspect.
const SUSPECT_LIFE: Duration = Duration::from_secs(600);

/// The time after its last crash for which a quarantined part is remembered.
const QUARANTINE_LIFE: Duration = Duration::from_secs(24 * 3_600);

/// The time for which a cleared part is reported to other routers.
const CLEARED_LIFE: Duration = Duration::from_secs(5);

/// The time after a crash within which a part that was answered before is not reported, since it
/// is likely to be cleared.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// The time for which a change is part of every report.
const NEWS_TIME: Duration = Duration::from_millis(1_500);

/// The interval at which quarantined parts are reported without a change, for routers that have
/// just joined.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// What is added to this router's times, so that crashes before its start have one as well.
const ORIGIN: Duration = Duration::from_secs(25 * 3_600);

/// The most crashes that are kept of a part, the latest ones.
const MAX_CRASHES: usize = 16;

/// The most crashes in a report without news: enough to quarantine the part elsewhere.
const MAX_REPEATED: usize = 6;

/// The most crashes that are kept of all parts, the latest ones.
const MAX_KNOWN_CRASHES: usize = 512;

/// The most parts with evidence.
const MAX_RECORDS: usize = 8_192;

/// The most suspects of one crash, so that those of two fit into the records. The head of a request
/// has room for fewer parts.
const MAX_SUSPECTS: usize = MAX_RECORDS / 2;

/// The most parts that are kept of the requests whose connections to a target broke.
const MAX_UNANSWERED: usize = 16_384;

/// The time for which the parts of requests whose connections broke are kept until the crash of
/// their target is confirmed, longer than a dial takes.
const BREAK_LIFE: Duration = Duration::from_secs(1);

/// The most parts in one of the two generations of answered parts.
const MAX_ANSWERED: usize = 8_192;

/// The most parts on the status page, those in most crashes.
const MAX_STATUS: usize = 1_024;

/// The reports that a datagram may carry, multiplied by the number of routers: a router of a large
/// fleet sends more datagrams.
const REPORTS_PER_FLEET: usize = 200;

/// The bounds of the reports that a datagram may carry.
const MIN_REPORTS: usize = 2;
const MAX_REPORTS: usize = 12;

/// The most reports in the answer to a router that has just joined, some kilobytes.
const MAX_REPLY_REPORTS: usize = 64;

/// Identifies a crash: a hash of the target and its time of start.
pub type CrashId = u32;

data! {
    /// A crash of a target that had not begun to answer a request with the part.
    #[derive(Copy)]
    pub struct CrashReport {
        /// The crash.
        pub crash: CrashId,
        /// The time since the crash, in milliseconds.
        pub age: u32,
        /// The time from the sending of the latest request with the part to the crash, in
        /// milliseconds.
        pub ran: u32,
    }

    /// One router's evidence about a prompt part, for other routers.
    pub struct PartReport {
        /// The part.
        pub part: Part,
        /// Whether the sender refuses requests with the part.
        pub quarantined: bool,
        /// The time since the beginning of the latest answer to a request with the part, in
        /// milliseconds, if one is known.
        pub answered: Option<u32>,
        /// The crashes since that answer.
        pub crashes: Vec<CrashReport>,
    }
}

/// What is known of a prompt's parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No part is a suspect.
    Clear,
    /// A part is a suspect; the request may be sent if no other one with the part is being tried.
    Suspect(Part),
    /// A part is quarantined; the request must not be sent.
    Quarantined(Part),
}

/// A part that was quarantined or released.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum QuarantineChange {
    /// Requests with the part are refused from now on.
    #[display(
        "event=part-quarantined part={part:x} crashes={crashes} reported={reported} \
               answered_ms={answered}"
    )]
    Quarantined {
        /// The part.
        part: Part,
        /// The crashes that decided it, separated by commas; see [`CrashId`].
        crashes: String,
        /// The number of these crashes that only other routers have seen.
        reported: usize,
        /// The time since the last answer to a request with the part, in milliseconds, or -1 if
        /// none is known.
        answered: i64,
    },
    /// Requests with the part are accepted again.
    #[display("event=part-released part={part:x} cause={cause}")]
    Released {
        /// The part.
        part: Part,
        /// Why: `answered`, or `forgotten`.
        cause: &'static str,
    },
    /// A crash has more suspects than are kept, so the part that caused it may not be among them.
    #[display("event=suspects-omitted crash={crash:08x} kept={kept} omitted={omitted}")]
    Omitted {
        /// The crash.
        crash: CrashId,
        /// The suspects that are kept.
        kept: usize,
        /// The others.
        omitted: usize,
    },
}

/// The state of a part with evidence, for operators.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct PartStatus {
    /// The part in hexadecimal.
    pub part: String,
    /// Whether requests with it are refused.
    pub quarantined: bool,
    /// The crashes in a row that count.
    pub crashes: usize,
    /// The seconds since the last crash.
    pub last_crash_s: u64,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    id: CrashId,
    /// The earliest time at which a router noticed it.
    at: Time,
    /// When the latest request with the part was sent to the target.
    sent: Time,
    /// Whether this router has seen the crash itself.
    own: bool,
}

/// The evidence about one part.
#[derive(Clone, Debug, Default)]
struct Record {
    /// The crashes since the last answer, the earliest first.
    crashes: Vec<Crash>,
    /// When the latest known answer began.
    answered: Option<Time>,
    /// Whether requests with the part are refused; the change to it is logged.
    quarantined: bool,
    /// When something was learnt last.
    changed: Time,
    /// When the record was last reported.
    reported: Time,
    /// Whether other routers know of the part, so that they need to hear of an answer.
    shared: bool,
}

impl Record {
    /// Adds a crash unless it is known. Returns whether it was added.
    fn add(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.id == crash.id) {
            known.own |= crash.own;
            known.at = known.at.min(crash.at);
            known.sent = known.sent.max(crash.sent);
            return false;
        }
        if self.answered.is_some_and(|answered| answered >= crash.at) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(self.surplus());
        }
        true
    }

    /// Returns the index of a crash that does not count, from the largest number of them in a row,
    /// or else of the oldest crash.
    fn surplus(&self) -> usize {
        let counted: Vec<_> = self.counted().map(|crash| crash.id).collect();
        let mut row = 0;
        let mut largest = (0, 0);
        for (index, crash) in self.crashes.iter().enumerate() {
            row = match counted.contains(&crash.id) {
                true => 0,
                false => row + 1,
            };
            largest = largest.max((row, index));
        }
        match largest {
            (0, _) => 0,
            (_, index) => index,
        }
    }

    /// Records an answer that began at a time. Returns whether that is news.
    fn clear(&mut self, answered: Time) -> bool {
        if self.answered.is_some_and(|known| known >= answered) {
            return false;
        }
        self.answered = Some(answered);
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > answered);
        before > self.crashes.len()
    }

    /// Returns the crashes whose request was sent after the one before them.
    fn counted(&self) -> impl Iterator<Item = &Crash> {
        let mut last = None;
        self.crashes.iter().filter(move |crash| {
            let counts = last.is_none_or(|last| crash.sent >= last);
            if counts {
                last = Some(crash.at);
            }
            counts
        })
    }

    /// Returns the number of crashes that count, given all crashes.
    fn count(&self, known: &KnownCrashes) -> usize {
        let is_near = |at: Time, other: Time| at.abs_diff(other) < CRASH_WINDOW;
        let is_frequent = |crash: &&Crash| {
            let own = self.crashes.iter().filter(|own| is_near(crash.at, own.at));
            known.near(crash.at) <= MIN_SHARE * own.count()
        };
        self.counted().filter(is_frequent).count()
    }

    /// Returns the crashes that count against the part, less those that an earlier answer excuses.
    fn weight(&self, known: &KnownCrashes) -> usize {
        let bonus = self.answered.map_or(0, |_| ANSWERED_BONUS);
        self.count(known).saturating_sub(bonus)
    }

    fn last_crash(&self) -> Option<Time> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Returns whether every crash of `other` is one of this part as well.
    fn explains(&self, other: &Record) -> bool {
        let known = |crash: &Crash| self.crashes.iter().any(|own| own.id == crash.id);
        other.crashes.iter().all(known)
    }

    /// Returns the time after the last crash until the part is tried again.
    fn period(&self, known: &KnownCrashes) -> Duration {
        let further = self.weight(known).saturating_sub(QUARANTINE_CRASHES) as u32;
        QUARANTINE_PERIOD * 2u32.pow(further)
    }

    /// Quarantines the part of the record.
    fn quarantine(&mut self, now: Time, part: Part) -> QuarantineChange {
        self.quarantined = true;
        let age = |at: Time| now.saturating_sub(at).as_millis() as i64;
        let ids = self.crashes.iter().map(|crash| format!("{:08x}", crash.id));
        QuarantineChange::Quarantined {
            part,
            crashes: ids.collect::<Vec<_>>().join(","),
            reported: self.crashes.iter().filter(|crash| !crash.own).count(),
            answered: self.answered.map_or(-1, age),
        }
    }

    /// Returns the record for other routers, with all crashes if there is news.
    fn report(&self, now: Time, part: Part, news: bool) -> PartReport {
        let age = |at: Time| now.saturating_sub(at).as_millis() as u32;
        let crash = |crash: &Crash| CrashReport {
            crash: crash.id,
            age: age(crash.at),
            ran: crash.at.saturating_sub(crash.sent).as_millis() as u32,
        };
        let mut crashes: Vec<_> = match news {
            true => self.crashes.iter().map(crash).collect(),
            false => self.counted().map(crash).collect(),
        };
        if !news {
            crashes.drain(..crashes.len().saturating_sub(MAX_REPEATED));
        }
        PartReport {
            part,
            quarantined: self.quarantined,
            answered: self.answered.map(age),
            crashes,
        }
    }

    fn expiry(&self) -> Time {
        let life = match self.quarantined {
            true => QUARANTINE_LIFE,
            false => SUSPECT_LIFE,
        };
        match self.last_crash() {
            Some(at) => at + life,
            None => self.changed + CLEARED_LIFE,
        }
    }
}

/// The crashes that are known, and the earliest time at which a router noticed each.
#[derive(Clone, Debug, Default)]
struct KnownCrashes {
    times: HashMap<CrashId, Time>,
    ordered: BTreeSet<(Time, CrashId)>,
}

impl KnownCrashes {
    /// Records that a crash was noticed at a time. Returns the earliest such time.
    fn record(&mut self, crash: CrashId, at: Time) -> Time {
        let known = self.times.get(&crash).copied();
        let earliest = known.map_or(at, |known| known.min(at));
        if let Some(known) = known {
            self.ordered.remove(&(known, crash));
        }
        self.times.insert(crash, earliest);
        self.ordered.insert((earliest, crash));
        if self.ordered.len() > MAX_KNOWN_CRASHES
            && let Some((_, oldest)) = self.ordered.pop_first()
        {
            self.times.remove(&oldest);
        }
        earliest
    }

    /// Returns the number of crashes within [`CRASH_WINDOW`] of a time.
    fn near(&self, at: Time) -> usize {
        let first = Bound::Excluded((at.saturating_sub(CRASH_WINDOW), CrashId::MAX));
        let last = Bound::Excluded((at + CRASH_WINDOW, CrashId::MIN));
        self.ordered.range((first, last)).count()
    }

    /// Forgets the crashes before a time.
    fn expire(&mut self, start: Time) {
        self.ordered = self.ordered.split_off(&(start, CrashId::MIN));
        self.times.retain(|_, at| *at >= start);
    }
}

/// The evidence about prompt parts at one router, its own and that of the others.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Part, Record>,
    crashes: KnownCrashes,
    /// When the latest answer to each part began, for the parts that were answered last.
    answered: HashMap<Part, Time>,
    /// The generation of answered parts before that.
    answered_before: HashMap<Part, Time>,
    /// When the latest answer to any request with a prompt began.
    last_answer: Option<Time>,
    /// The requests that are tried though a part of theirs is a suspect.
    trials: Vec<(Part, Sequence)>,
    /// The routers that come before this one in the order of trials.
    rank: u32,
    /// The parts that operators have decided about: whether requests with them are refused.
    rules: BTreeMap<Part, bool>,
    changes: Vec<QuarantineChange>,
}

impl Quarantine {
    /// Creates a quarantine without evidence. Requests with the parts in `rules` are refused, or
    /// never are, whatever the evidence.
    pub fn new(rules: BTreeMap<Part, bool>) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Records that a target crashed before it had begun to answer requests with these parts, each
    /// with the time at which the latest such request was sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::{Quarantine, Verdict};
    /// let mut quarantine = Quarantine::default();
    /// for second in 1..4 {
    ///     let now = Duration::from_secs(second);
    ///     let sent = now - Duration::from_millis(100);
    ///     quarantine.record_crash(now, second as u32, [(7, sent), (0xbad, sent)]);
    ///     let later = now + Duration::from_millis(100);
    ///     quarantine.record_answer(later, later, [7]);
    /// }
    /// let now = Duration::from_secs(4);
    /// assert_eq!(quarantine.verdict(now, &[7, 0xbad]), Verdict::Quarantined(0xbad));
    /// assert_eq!(quarantine.verdict(now, &[7]), Verdict::Clear);
    /// ```
    pub fn record_crash(
        &mut self,
        now: Time,
        crash: CrashId,
        parts: impl IntoIterator<Item = (Part, Time)>,
    ) {
        let now = now + ORIGIN;
        let at = self.crashes.record(crash, now);
        let mut suspects: Vec<_> = parts.into_iter().collect();
        self.keep_suspects(crash, &mut suspects);
        for (part, sent) in suspects {
            self.ensure_record(part);
            let crash = Crash {
                id: crash,
                at,
                sent: sent + ORIGIN,
                own: true,
            };
            if let Some(record) = self.records.get_mut(&part)
                && record.add(crash)
            {
                record.changed = now;
            }
        }
        self.review(now);
    }

    /// Records that an answer to a request with these parts began at `began` and went on.
    pub fn record_answer(&mut self, now: Time, began: Time, parts: impl IntoIterator<Item = Part>) {
        let (now, began) = (now + ORIGIN, began + ORIGIN);
        self.last_answer = self.last_answer.max(Some(began));
        for part in parts {
            self.remember_answer(part, began);
            let Some(record) = self.records.get_mut(&part) else {
                continue;
            };
            if record.clear(began) {
                record.changed = now;
            }
            if record.crashes.is_empty() && !record.shared {
                self.records.remove(&part);
            }
        }
        if !self.records.is_empty() {
            self.review(now);
        }
    }

    /// Merges the evidence of another router.
    pub fn merge(&mut self, now: Time, reports: &[PartReport]) {
        let now = now + ORIGIN;
        let at = |age: u32| now.saturating_sub(Duration::from_millis(u64::from(age)));
        for report in reports {
            if report.crashes.is_empty() && !self.records.contains_key(&report.part) {
                continue;
            }
            let crash = |crash: &CrashReport| Crash {
                id: crash.crash,
                at: at(crash.age),
                sent: at(crash.age.saturating_add(crash.ran)),
                own: false,
            };
            let mut crashes: Vec<_> = report.crashes.iter().map(crash).collect();
            crashes.truncate(MAX_CRASHES);
            crashes.retain(|crash| crash.at + QUARANTINE_LIFE > now);
            for crash in &mut crashes {
                crash.at = self.crashes.record(crash.id, crash.at);
            }
            self.ensure_record(report.part);
            let Some(record) = self.records.get_mut(&report.part) else {
                continue;
            };
            record.shared = true;
            // The sender does not know of an answer that this router knows of.
            let mut news = report.answered.is_none() && record.answered.is_some();
            news |= report.answered.is_some_and(|age| record.clear(at(age)));
            for crash in crashes {
                let excused = record.answered.is_some_and(|answered| answered >= crash.at);
                news |= excused || record.add(crash);
            }
            let weight = record.weight(&self.crashes);
            let adopted = report.quarantined && weight >= QUARANTINE_CRASHES;
            if adopted && !record.quarantined {
                news = true;
                self.changes.push(record.quarantine(now, report.part));
            }
            if news {
                record.changed = now;
            }
        }
        self.review(now);
    }

    /// Returns the evidence to report to other routers now, of `routers` routers in all.
    pub fn reports(&mut self, now: Time, routers: usize) -> Vec<PartReport> {
        let now = now + ORIGIN;
        let limit = (REPORTS_PER_FLEET / routers.max(1)).clamp(MIN_REPORTS, MAX_REPORTS);
        let due = |record: &Record| {
            let repeated = record.quarantined && now >= record.reported + REPEAT_INTERVAL;
            let delay = match record.answered.is_some() && !record.quarantined {
                true => REPORT_DELAY,
                false => Duration::ZERO,
            };
            let settled = record.last_crash().is_none_or(|at| now >= at + delay);
            repeated || settled && now < record.changed + NEWS_TIME
        };
        let records = self.records.iter().filter(|(_, record)| due(record));
        // The parts with most evidence come first, of these those that were never answered, as the others
        // are likely to be cleared, and of these the one reported longest ago.
        let mut parts: Vec<_> = records
            .map(|(part, record)| {
                let weight = record.weight(&self.crashes);
                let answered = record.answered.is_some();
                (Reverse(weight), answered, record.reported, *part)
            })
            .collect();
        parts.sort_unstable();
        parts.truncate(limit);
        let report = |(.., part): &(Reverse<usize>, bool, Time, Part)| {
            let record = self.records.get_mut(part)?;
            record.reported = now;
            record.shared = true;
            let news = now < record.changed + NEWS_TIME;
            Some(record.report(now, *part, news))
        };
        parts.iter().filter_map(report).collect()
    }

    /// Returns the evidence about quarantined parts, for a router that has just joined.
    pub fn quarantined_reports(&self, now: Time) -> Vec<PartReport> {
        let now = now + ORIGIN;
        let records = self.records.iter();
        let quarantined = records.filter(|(_, record)| record.quarantined);
        quarantined
            .take(MAX_REPLY_REPORTS)
            .map(|(part, record)| record.report(now, *part, false))
            .collect()
    }

    /// Returns what is known of a request with these parts.
    pub fn verdict(&self, now: Time, parts: &[Part]) -> Verdict {
        self.verdict_of(now, parts.iter().copied())
    }

    /// Returns the same, without a copy of the parts.
    pub(super) fn verdict_of(&self, now: Time, parts: impl Iterator<Item = Part>) -> Verdict {
        if self.records.is_empty() && self.rules.is_empty() {
            return Verdict::Clear;
        }
        let now = now + ORIGIN;
        let is_known =
            |part: &Part| self.records.contains_key(part) || self.rules.contains_key(part);
        let parts: Vec<_> = parts.filter(is_known).collect();
        if parts.is_empty() {
            return Verdict::Clear;
        }
        let others = self.quarantined_beside(&parts);
        // The part with most evidence among the suspects.
        let mut suspect = None;
        for part in &parts {
            match self.rules.get(part) {
                Some(true) => return Verdict::Quarantined(*part),
                Some(false) => continue,
                None => {}
            }
            let Some(record) = self.records.get(part) else {
                continue;
            };
            let weight = record.weight(&self.crashes);
            if weight == 0 {
                continue;
            }
            let explained = others.iter().any(|other| other.explains(record));
            let due = record
                .last_crash()
                .is_some_and(|at| now >= at + record.period(&self.crashes) * (self.rank + 1));
            match (record.quarantined, explained) {
                (true, false) if !due => return Verdict::Quarantined(*part),
                (false, true) => {}
                _ => suspect = suspect.max(Some((weight, *part))),
            }
        }
        suspect.map_or(Verdict::Clear, |(_, part)| Verdict::Suspect(part))
    }

    /// Returns whether a request whose part is a suspect may be tried now: no other request with
    /// the part is, and the routers that come before this one have had the time to try it.
    pub fn may_try(&self, now: Time, part: Part) -> bool {
        let Some(at) = self.records.get(&part).and_then(Record::last_crash) else {
            return true;
        };
        let tried = self.trials.iter().any(|(tried, _)| *tried == part);
        !tried && now + ORIGIN >= at + TRIAL_STAGGER * self.rank
    }

    /// Records that a request whose part is a suspect was sent.
    pub fn begin_trial(&mut self, part: Part, sequence: Sequence) {
        self.trials.push((part, sequence));
    }

    /// Records that a trial is over, if the request is one.
    pub fn end_trial(&mut self, sequence: Sequence) {
        self.trials.retain(|(_, tried)| *tried != sequence);
    }

    /// Sets the number of routers that come before this one in the order of trials.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Forgets the evidence that is too old.
    pub fn expire(&mut self, now: Time) {
        let now = now + ORIGIN;
        let changes = &mut self.changes;
        self.records.retain(|part, record| {
            let kept = now < record.expiry();
            if !kept && record.quarantined {
                changes.push(QuarantineChange::Released {
                    part: *part,
                    cause: "forgotten",
                });
            }
            kept
        });
        self.crashes.expire(now.saturating_sub(QUARANTINE_LIFE));
    }

    /// Returns the parts that were quarantined since the last call of
    /// [`Quarantine::take_changes`].
    pub(super) fn newly_quarantined(&self) -> HashSet<Part> {
        let quarantined = |change: &QuarantineChange| match change {
            QuarantineChange::Quarantined { part, .. } => Some(*part),
            _ => None,
        };
        self.changes.iter().filter_map(quarantined).collect()
    }

    /// Returns the parts that were quarantined or released since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of quarantined parts.
    pub fn len(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.quarantined).count()
    }

    /// Returns whether no part is quarantined.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the state of the parts that crashes count against.
    pub fn status(&self, now: Time) -> Vec<PartStatus> {
        let status = |(part, record): (&Part, &Record)| {
            let at = record.last_crash()?;
            Some(PartStatus {
                part: format!("{part:x}"),
                quarantined: record.quarantined,
                crashes: record.count(&self.crashes),
                last_crash_s: (now + ORIGIN).saturating_sub(at).as_secs(),
            })
        };
        let mut status: Vec<_> = self.records.iter().filter_map(status).collect();
        if status.len() > MAX_STATUS {
            status.sort_by_key(|status| Reverse((status.quarantined, status.crashes)));
            status.truncate(MAX_STATUS);
        }
        status.sort_by(|a, b| a.part.cmp(&b.part));
        status
    }

    /// Returns when the latest known answer to a part began.
    fn last_answer_to(&self, part: Part) -> Option<Time> {
        let answered = self.answered.get(&part);
        answered.max(self.answered_before.get(&part)).copied()
    }

    /// Keeps the most likely suspects of a crash, [`MAX_SUSPECTS`] at most: those that were in crashes
    /// before, then those that were never answered, then those whose last answer is longest ago. Which
    /// of equal ones are kept differs by crash, so that none is left out each time.
    fn keep_suspects(&mut self, crash: CrashId, suspects: &mut Vec<(Part, Time)>) {
        let Some(omitted) = suspects.len().checked_sub(MAX_SUSPECTS).filter(|n| *n > 0) else {
            return;
        };
        let rank = |(part, _): &(Part, Time)| {
            let record = self.records.get(part);
            let crashes = record.map_or(0, |record| record.crashes.len());
            let order = rendezvous_weight(crash, *part);
            (Reverse(crashes), self.last_answer_to(*part), order)
        };
        suspects.select_nth_unstable_by_key(MAX_SUSPECTS, rank);
        suspects.truncate(MAX_SUSPECTS);
        self.changes.push(QuarantineChange::Omitted {
            crash,
            kept: MAX_SUSPECTS,
            omitted,
        });
    }

    /// Creates the record of a part with the part's last answer, unless it exists.
    fn ensure_record(&mut self, part: Part) {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&part) {
            self.evict();
        }
        let answered = self.last_answer_to(part);
        self.records.entry(part).or_insert_with(|| Record {
            answered,
            ..Record::default()
        });
    }

    /// Removes half of the records, those with the least and the oldest evidence.
    fn evict(&mut self) {
        let evidence = |(part, record): (&Part, &Record)| {
            let count = record.crashes.len();
            let unanswered = record.answered.is_none();
            (
                record.quarantined,
                count,
                unanswered,
                record.last_crash(),
                *part,
            )
        };
        let mut ranked: Vec<_> = self.records.iter().map(evidence).collect();
        ranked.sort_unstable();
        for (.., part) in &ranked[..MAX_RECORDS / 2] {
            self.records.remove(part);
        }
    }

    fn remember_answer(&mut self, part: Part, began: Time) {
        if self.answered.len() >= MAX_ANSWERED {
            self.answered_before = std::mem::take(&mut self.answered);
        }
        let latest = self.answered.entry(part).or_insert(began);
        *latest = began.max(*latest);
    }

    /// Returns the records of the quarantined parts that a request does not have. A part of the request
    /// that is in no other crashes than one of them is no suspect.
    fn quarantined_beside(&self, parts: &[Part]) -> Vec<&Record> {
        let records = self.records.iter();
        let others = records.filter(|(part, other)| other.quarantined && !parts.contains(part));
        others.map(|(_, other)| other).collect()
    }

    /// Quarantines and releases parts by their evidence.
    ///
    /// A part is quarantined only if other requests have been answered since its first crash: when
    /// none are, the targets fail for another cause.
    fn review(&mut self, now: Time) {
        for (part, record) in &mut self.records {
            let first = record.crashes.first().map(|crash| crash.at);
            let answering = first < self.last_answer;
            let is_enough = |record: &Record| {
                let enough = record.crashes.len() >= QUARANTINE_CRASHES;
                enough && record.weight(&self.crashes) >= QUARANTINE_CRASHES
            };
            if !record.quarantined && answering && is_enough(record) {
                record.changed = now;
                self.changes.push(record.quarantine(now, *part));
            } else if record.quarantined && record.crashes.is_empty() {
                record.quarantined = false;
                record.changed = now;
                self.changes.push(QuarantineChange::Released {
                    part: *part,
                    cause: "answered",
                });
            }
        }
    }
}

/// Returns the parts of a prompt that may be suspects: all but the last one, which belongs to the
/// request alone. A part may occur more than once.
pub(super) fn suspects(prompt: Option<&Prompt>) -> impl Iterator<Item = Part> {
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.name)
}

/// Returns the crash of a target that started at `born`.
pub(super) fn crash_id(target: Target, born: u64) -> CrashId {
    rendezvous_weight(target, born) as CrashId
}

/// The parts of the requests that a target had not begun to answer when their connections broke.
#[derive(Clone, Debug, Default)]
pub(super) struct Unanswered {
    /// The parts, each with the time at which the latest request with it was sent.
    parts: BTreeMap<Part, Time>,
    /// When a connection broke last.
    broken: Time,
    /// Whether the crash of the target, as it was started last, has been confirmed.
    pub(super) crashed: bool,
}

impl Unanswered {
    /// Adds the parts of a request that was sent at `sent` and whose connection broke now.
    pub(super) fn extend(&mut self, now: Time, sent: Time, parts: impl IntoIterator<Item = Part>) {
        if now >= self.broken + BREAK_LIFE {
            self.parts.clear();
        }
        self.broken = now;
        for part in parts {
            if self.parts.len() < MAX_UNANSWERED || self.parts.contains_key(&part) {
                let latest = self.parts.entry(part).or_insert(sent);
                *latest = sent.max(*latest);
            }
        }
    }

    pub(super) fn take(&mut self) -> BTreeMap<Part, Time> {
        std::mem::take(&mut self.parts)
    }
}

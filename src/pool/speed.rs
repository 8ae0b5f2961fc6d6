//! How much longer than usual an engine takes to begin an answer.
//!
//! Built for engines of one service that differ in speed, slow down, or run on VMs whose other work
//! slows them many times a second. One gateway of many sees an engine answer only every few seconds,
//! so gateways exchange what they see. What an engine states of its speed is newer, but holds for less
//! than a second.
//!
//! Each observation is bounded and smoothed as a logarithm; what several routers see is averaged as
//! ratios, which gives the mean time and not the lower median. The slowdown is enabled by the fourth
//! figure of the load that a target states: without it, the factor is 1.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    LatencyModel,
    Pool,
    member::{
        Member,
        StatedLoad, //
    }, //
};
use crate::{
    ids::{
        Target,
        Time, //
    },
    mesh::{
        Scope,
        Source, //
    },
    wire::Slowdown, //
};

/// The age at which an observation weighs half as much as a new one: within this time the fleet sees
/// some answers of each engine.
const HALF_LIFE: Duration = Duration::from_millis(2_000);

/// The age from which on an observation is dropped.
const MAX_AGE: Duration = Duration::from_millis(20_000);

/// The weight of the assumption that an engine takes the usual time, where a new observation weighs 1.
/// Old observations thus fade into it.
const PRIOR_WEIGHT: f64 = 0.05;

/// The age at which a stated speed is worth nothing: about as long as a disturbance lasts.
const STATED_LIFE: Duration = Duration::from_millis(500);

/// The least weight of a new observation against the earlier ones of the same gateway.
const MIN_GAIN: f64 = 0.3;

/// The bound on the difference that one observation makes, as a natural logarithm: a factor of 4.
const MAX_STEP: f64 = 1.386;

/// The bounds of the factor on the expected time.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 8.0);

/// The factor from which on an engine is shown to operators.
const SLOW_FACTOR: f64 = 2.0;

/// The bounds of ratios that are stated or reported, in percent.
const PERCENT_BOUNDS: (f64, f64) = (10.0, 10_000.0);

/// The most engines in one datagram. They take 9 bytes each.
pub const MAX_SLOWDOWNS: usize = 24;

/// The smoothed logarithm of a ratio, and when it was last observed.
#[derive(Clone, Copy, Debug)]
struct Level {
    log: f64,
    at: Time,
}

impl Level {
    /// Returns the weight of the observations, in which halves stand for half-lives.
    fn weight(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at);
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn is_recent(&self, now: Time) -> bool {
        now < self.at + MAX_AGE
    }

    /// Adds an observation by the same gateway to the known level, if there is one.
    fn observe(known: Option<Self>, now: Time, log: f64, gain: f64) -> Self {
        let (known, gain) = known.map_or((0.0, 1.0), |known| (known.log, gain));
        Self {
            log: known + (log - known).clamp(-MAX_STEP, MAX_STEP) * gain,
            at: now,
        }
    }
}

/// The weighted sum of levels at one time.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    weight: f64,
    ratio: f64,
    at: Time,
}

impl Sum {
    fn new<'a>(now: Time, levels: impl Iterator<Item = &'a Level>) -> Self {
        let mut sum = Self {
            at: now,
            ..Self::default()
        };
        for level in levels.filter(|level| level.is_recent(now)) {
            let weight = level.weight(now);
            sum.weight += weight;
            sum.ratio += weight * level.log.exp();
        }
        sum
    }
}

/// The speed of one engine, as this gateway sees it, others report it and the engine states it.
///
/// Ratios compare the time to the first byte with the initial estimate of
/// [`LatencyModel`], which all gateways have in common. The argument `model` is the
/// logarithm of what this gateway's model expects, in the same unit.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeed {
    /// Whether the target has stated a fourth figure since it started.
    enabled: bool,
    /// The logarithm of the time that work takes, as stated last.
    stated: Option<Level>,
    /// The ratio that is left once the stated speed is divided out. It is kept until the target restarts,
    /// as it holds what is permanent.
    residual: Option<Level>,
    /// The ratio in the answers that this gateway has seen.
    own: Option<Level>,
    /// The ratios that other gateways have reported, by the routers that they are summed over.
    heard: BTreeMap<Source, Level>,
    /// The weighted sum of the ratios in `own` and `heard`.
    sum: Sum,
}

impl EngineSpeed {
    /// Returns whether the target, or another gateway that has seen it, has stated a fourth figure.
    fn is_enabled(&self) -> bool {
        self.enabled || !self.heard.is_empty()
    }

    /// Records the time that work takes now, in percent of the usual time, as the target states it.
    /// This enables the slowdown.
    pub fn record_stated(&mut self, now: Time, percent: u32) {
        self.enabled = true;
        self.stated = Some(Level {
            log: percent_to_log(percent),
            at: now,
        });
    }

    /// Records that an answer began after `ratio` times the time that the model expected.
    pub fn observe(&mut self, now: Time, model: f64, ratio: f64) {
        if !(self.enabled && ratio > 0.0 && ratio.is_finite()) {
            return;
        }
        let log = model + ratio.ln();
        let known = self.own.filter(|known| known.is_recent(now));
        // The longer ago the last observation was, the more this one counts.
        let gain = known.map_or(1.0, |known| (1.0 - known.weight(now)).max(MIN_GAIN));
        self.own = Some(Level::observe(known, now, log, gain));
        if let Some(stated) = self
            .stated
            .filter(|stated| stated_weight(now, stated) > 0.0)
        {
            self.residual = Some(Level::observe(
                self.residual,
                now,
                log - stated.log,
                MIN_GAIN,
            ));
        }
        self.add_up(now);
    }

    /// Records what the routers of a source report, unless something newer of them is known. Returns
    /// whether it counts.
    pub fn merge(&mut self, now: Time, source: Source, percent: u32, age: Duration) -> bool {
        let at = now.saturating_sub(age);
        let is_known = |known: &Level| known.at > at;
        if age >= MAX_AGE || self.heard.get(&source).is_some_and(is_known) {
            return false;
        }
        let log = percent_to_log(percent);
        self.heard.insert(source, Level { log, at });
        self.add_up(now);
        true
    }

    /// Drops the reports of the sources that are not kept.
    pub(super) fn retain_sources(&mut self, is_kept: impl Fn(Source) -> bool) {
        let before = self.heard.len();
        self.heard.retain(|source, _| is_kept(*source));
        if self.heard.len() < before {
            self.add_up(self.sum.at);
        }
    }

    /// Drops the reports once the newest observation is too old to count.
    pub(super) fn expire(&mut self, now: Time) {
        if !self.heard.is_empty() && now >= self.sum.at + MAX_AGE {
            self.add_up(now);
        }
    }

    fn add_up(&mut self, now: Time) {
        self.heard.retain(|_, level| level.is_recent(now));
        self.sum = Sum::new(now, self.own.iter().chain(self.heard.values()));
    }

    /// Returns the factor on the time that the model expects: 1 without any observation.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::EngineSpeed;
    /// let mut speed = EngineSpeed::default();
    /// speed.observe(Duration::ZERO, 0.0, 3.0);
    /// assert_eq!(speed.factor(Duration::ZERO, 0.0), 1.0);
    /// speed.record_stated(Duration::ZERO, 100);
    /// speed.observe(Duration::ZERO, 0.0, 3.0);
    /// assert!(speed.factor(Duration::from_millis(500), 0.0) > 2.5);
    /// assert!(speed.factor(Duration::from_secs(20), 0.0) < 1.1);
    /// ```
    pub fn factor(&self, now: Time, model: f64) -> f64 {
        let mut log = self.shared_log(now, model);
        if let (Some(stated), Some(residual)) = (&self.stated, &self.residual) {
            let weight = stated_weight(now, stated);
            log += (stated.log + residual.log - model - log) * weight;
        }
        log.exp().clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
    }

    /// Returns the logarithm of the factor from what was seen by all gateways.
    fn shared_log(&self, now: Time, model: f64) -> f64 {
        if self.sum.weight == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.sum.at);
        let decay = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let weight = self.sum.weight * decay;
        let ratio = self.sum.ratio * decay / model.exp();
        ((ratio + PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)).ln()
    }

    /// Returns the ratio that the routers of a scope have seen, and how much its report tells others.
    fn report(&self, now: Time, target: Target, scope: Scope) -> Option<(f64, Slowdown)> {
        let narrower = self.heard.range(..Source { scope, id: 0 });
        let levels = || {
            self.own
                .iter()
                .chain(narrower.clone().map(|(_, level)| level))
        };
        let sum = Sum::new(now, levels());
        if sum.weight == 0.0 {
            return None;
        }
        let log = (sum.ratio / sum.weight).ln();
        let newest = levels().map(|level| level.at).max()?;
        let age = now.saturating_sub(newest);
        // A report of the usual time tells much where other gateways report another one.
        let all = self.sum.ratio / self.sum.weight;
        let difference = (log - all.ln()).abs();
        let worth = (log.abs() + difference) * Level { log, at: newest }.weight(now);
        let report = Slowdown {
            target,
            percent: log_to_percent(log),
            age: age.as_millis() as u32,
        };
        Some((worth, report))
    }
}

/// Returns how much a stated speed is worth, from 1 to 0.
fn stated_weight(now: Time, stated: &Level) -> f64 {
    let age = now.saturating_sub(stated.at);
    (1.0 - age.as_secs_f64() / STATED_LIFE.as_secs_f64()).max(0.0)
}

fn percent_to_log(percent: u32) -> f64 {
    let percent = f64::from(percent).clamp(PERCENT_BOUNDS.0, PERCENT_BOUNDS.1);
    (percent / 100.0).ln()
}

fn log_to_percent(log: f64) -> u32 {
    let percent = (log.exp() * 100.0).round();
    percent.clamp(PERCENT_BOUNDS.0, PERCENT_BOUNDS.1) as u32
}

impl Member {
    /// Returns the model of the time to the first byte, and the factor on what it expects. Engines whose
    /// speed is known share the model of their service, which a gateway learns from all its answers.
    pub(super) fn model<'a>(
        &'a self,
        now: Time,
        shared: &'a LatencyModel,
    ) -> (&'a LatencyModel, f64) {
        match self.speed.is_enabled() {
            true => (shared, self.speed.factor(now, shared.level())),
            false => (&self.latency, 1.0),
        }
    }

    /// Records that an answer began after `time`, with `tokens` to read before it. The shared model
    /// learns the mean of the service; as it does, the factor shrinks by as much.
    pub(super) fn observe_first_byte(
        &mut self,
        now: Time,
        shared: &mut LatencyModel,
        tokens: u64,
        time: Duration,
    ) {
        if !self.speed.is_enabled() {
            return self.latency.observe(tokens, time);
        }
        let usual = shared.predict(tokens);
        let ratio = time.as_secs_f64() / usual.as_secs_f64();
        self.speed.observe(now, shared.level(), ratio);
        shared.observe(tokens, time);
    }
}

impl Pool {
    /// Returns the engines that are expected to take much longer than the others of their service, each
    /// with the percentage.
    pub fn slow_engines(&self, now: Time) -> impl Iterator<Item = (Target, u32)> {
        let members = self.members.iter();
        let factors = members.filter_map(move |(target, member)| {
            let shared = &self.services.get(&member.spec.service)?.latency;
            Some((*target, member.model(now, shared).1))
        });
        let slow = factors.filter(|(_, factor)| *factor >= SLOW_FACTOR);
        slow.map(|(target, factor)| (target, (factor * 100.0).round() as u32))
    }

    /// Records the load that a target states in a response.
    pub fn record_load(&mut self, now: Time, target: Target, load: StatedLoad) {
        if let (Some(member), Some(percent)) = (self.members.get_mut(&target), load.speed) {
            member.speed.record_stated(now, percent);
            let service = member.spec.service;
            self.service_mut(service).stated = true;
        }
    }

    /// Returns the speeds of engines as the routers of a scope have seen them, for this router's report
    /// on that scope: at most [`MAX_SLOWDOWNS`], those that deviate most and are newest.
    pub fn slowdowns(&self, now: Time, scope: Scope) -> Vec<Slowdown> {
        let members = self.members.iter();
        let reports =
            members.filter_map(|(target, member)| member.speed.report(now, *target, scope));
        let mut reports: Vec<_> = reports.collect();
        if reports.len() > MAX_SLOWDOWNS {
            reports.select_nth_unstable_by(MAX_SLOWDOWNS, |a, b| b.0.total_cmp(&a.0));
            reports.truncate(MAX_SLOWDOWNS);
        }
        reports.into_iter().map(|(_, report)| report).collect()
    }

    /// Merges the speeds of engines that the routers of a source report.
    pub fn merge_slowdowns(&mut self, now: Time, source: Source, reports: &[Slowdown]) {
        for report in reports.iter().take(MAX_SLOWDOWNS) {
            if let Some(member) = self.members.get_mut(&report.target) {
                let age = Duration::from_millis(u64::from(report.age));
                member.speed.merge(now, source, report.percent, age);
            }
        }
    }
}

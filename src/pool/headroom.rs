//! How far accounts may go beyond the rate that the rules state, by whether answers begin in time.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    ids::Time,
    mesh::{
        Scope,
        Source, //
    },
};

/// The factor for an answer that begins in time. With [`LATE_FACTOR`], the rate settles where some
/// answers in a hundred begin late.
const TIMELY_FACTOR: f64 = 1.005;

/// The factor for an answer that begins late.
const LATE_FACTOR: f64 = 0.8;

/// The largest headroom, from which on no account is held.
const MAX_HEADROOM: f64 = 8.0;

/// The time for which a report of a source counts: many rounds of the exchange.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// The time constant with which answers lose their weight.
const WEIGHT_TIME: Duration = Duration::from_secs(3);

/// The reported unit of a logarithm.
const LOG_UNIT: f64 = 1e-3;

/// The most answers that one report may stand for.
const MAX_ANSWERS: u32 = 1_000_000;

data! {
    /// The headroom at some routers together, for other routers.
    #[derive(Copy, Default)]
    pub struct HeadroomSum {
        /// The recent answers, as sums that decay with time.
        pub answers: u32,
        /// The sum of the natural logarithms of the routers' factors, in thousandths, each counted once
        /// for each recent answer.
        pub log_sum: u32,
    }
}

/// The rate up to which accounts are served, as a multiple of the rate that the rules state.
///
/// The stated rate is what is certain; engines that answer in time can take more. Each router's factor
/// rises while answers begin in time and falls to 1 while they don't. All routers send to the same
/// engines, so the rate is one of the fleet: the geometric mean of the routers' factors, weighted by their
/// recent answers. Accounts are thus held to the same share at all routers, and a router that has started
/// again, or gets few answers, uses what the others have found.
///
/// ```
/// use std::time::Duration;
/// use redwingyard::{mesh::{Scope, Source}, pool::Headroom};
/// let now = Duration::ZERO;
/// let mut headroom = Headroom::default();
/// for _ in 0..200 {
///     headroom.record(now, false);
/// }
/// assert!(headroom.factor(now) > 2.0);
/// // A router without answers of its own uses the factor of this one.
/// let mut other = Headroom::default();
/// other.merge(now, Source::router(1), headroom.sum(now, Scope::Router));
/// assert!((other.factor(now) - headroom.factor(now)).abs() < 0.01);
/// for _ in 0..5 {
///     headroom.record(now, true);
/// }
/// assert_eq!(headroom.factor(now), 1.0);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headroom {
    /// The logarithm of this router's factor.
    own: f64,
    /// The recent answers at this router.
    answers: f64,
    /// The time from which on they decay.
    updated: Time,
    /// The last report of each source, and when it was received.
    reports: BTreeMap<Source, (HeadroomSum, Time)>,
}

impl Headroom {
    /// Records an answer that has begun, late or in time.
    pub fn record(&mut self, now: Time, late: bool) {
        let factor = match late {
            true => LATE_FACTOR,
            false => TIMELY_FACTOR,
        };
        self.own = (self.own + factor.ln()).clamp(0.0, MAX_HEADROOM.ln());
        self.answers = self.answers_at(now) + 1.0;
        self.updated = now;
    }

    /// Returns the recent answers at this router.
    fn answers_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated);
        self.answers * (-age.as_secs_f64() / WEIGHT_TIME.as_secs_f64()).exp()
    }

    /// Returns the multiple of the stated rate.
    pub fn factor(&self, now: Time) -> f64 {
        let own = self.answers_at(now);
        let fresh = self
            .reports
            .values()
            .filter(|(_, at)| now < *at + REPORT_TTL);
        let (answers, sum) = fresh.fold((own, own * self.own), |(answers, sum), (report, _)| {
            let log_sum = f64::from(report.log_sum) * LOG_UNIT;
            (answers + f64::from(report.answers), sum + log_sum)
        });
        match answers > 0.0 {
            true => (sum / answers).min(MAX_HEADROOM.ln()).exp(),
            false => self.own.exp(),
        }
    }

    /// Replaces the last report of a source by a new one.
    pub fn merge(&mut self, now: Time, source: Source, report: HeadroomSum) {
        let answers = report.answers.min(MAX_ANSWERS);
        let most = f64::from(answers) * MAX_HEADROOM.ln() / LOG_UNIT;
        let bounded = HeadroomSum {
            answers,
            log_sum: report.log_sum.min(most as u32),
        };
        self.reports.insert(source, (bounded, now));
    }

    /// Returns the sum over the routers of a scope, for this router's report on that scope.
    pub fn sum(&self, now: Time, scope: Scope) -> HeadroomSum {
        let answers = self.answers_at(now).round();
        let own = HeadroomSum {
            answers: answers as u32,
            log_sum: (answers * self.own / LOG_UNIT) as u32,
        };
        let narrower = self.reports.range(..Source { scope, id: 0 });
        let fresh = narrower.filter(|(_, (_, at))| now < *at + REPORT_TTL);
        fresh.fold(own, |sum, (_, (report, _))| HeadroomSum {
            answers: sum.answers.saturating_add(report.answers),
            log_sum: sum.log_sum.saturating_add(report.log_sum),
        })
    }

    /// Drops the reports of the sources that are not kept.
    pub fn retain_sources(&mut self, is_kept: impl Fn(Source) -> bool) {
        self.reports.retain(|source, _| is_kept(*source));
    }
}

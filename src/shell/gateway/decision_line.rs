//! The log lines of a gateway's decisions.

use std::fmt;

use crate::pool::{
    Output,
    Standing,
    TargetView, //
};

/// Formats a decision as one line of key=value pairs, which `explain-request` reads back.
pub(super) struct DecisionLine<'a>(&'a Output);

impl<'a> DecisionLine<'a> {
    pub(super) fn of(output: &'a Output) -> Self {
        Self(output)
    }
}

/// The fields for what an account had, in tokens, the percentage of an engine that it could use, and what
/// decided whether it was held.
pub(super) struct StandingFields<'a>(pub(super) &'a Standing);

impl fmt::Display for StandingFields<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Standing {
            recent,
            allowed,
            hold,
        } = self.0;
        let (usage, demand) = (recent.usage, recent.demand);
        write!(
            f,
            "usage={usage} demand={demand} allowed={:.0} share={} headroom={:.2} spare={} \
             own_usage={} own_demand={}",
            allowed * 100.0,
            hold.share.map_or(-1, |share| share as i64),
            hold.headroom,
            hold.spare,
            hold.own.usage,
            hold.own.demand,
        )
    }
}

/// The fields for what was known of a target: its believed load, the limit on it, and the age of the
/// reports.
struct ViewFields<'a>(&'a TargetView);

impl fmt::Display for ViewFields<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TargetView {
            load,
            limit,
            age,
            expired,
            slowdown,
        } = self.0;
        write!(
            f,
            "believed_running={} believed_unread={} limit={limit} reports_age_ms={} \
             reports_expired={expired} slowdown={slowdown}",
            load.running,
            load.unread_tokens,
            age.as_millis(),
        )
    }
}

impl fmt::Display for DecisionLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Output::Send {
                sequence,
                target,
                waited,
                expected,
                unread_tokens,
                rank,
                standing,
                view,
            } => write!(
                f,
                "event=place sequence={sequence} target={target:08x} waited_ms={} \
                 expected_ms={} unread_tokens={unread_tokens} home_rank={} {} {}",
                waited.as_millis(),
                expected.as_millis(),
                rank.map_or(-1, |rank| rank as i64),
                StandingFields(standing),
                ViewFields(view),
            ),
            Output::Refuse {
                sequence,
                cause,
                retry,
                waiting,
                standing,
            } => write!(
                f,
                "event=refuse sequence={sequence} cause={cause} retry_ms={} waiting={waiting} {}",
                retry.as_millis(),
                StandingFields(standing),
            ),
            Output::Abandon { sequence } => write!(f, "event=abandon sequence={sequence}"),
            Output::Keep { sequence } => {
                write!(f, "event=keep sequence={sequence} cause=over-budget")
            }
            Output::Expire { sequence } => write!(f, "event=expire sequence={sequence}"),
        }
    }
}

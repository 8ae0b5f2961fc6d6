//! The pool's use of the [`Quarantine`]: evidence from broken connections and from answers, and the
//! requests that it holds back.

use super::{
    CrashId,
    Output,
    PartReport,
    PartStatus,
    Pool,
    QuarantineChange,
    Refusal,
    RequestSpec,
    Verdict,
    core::{
        Request,
        Stage, //
    },
    quarantine::{
        crash_id,
        suspects, //
    }, //
};
use crate::ids::{
    Part,
    Sequence,
    Target,
    Time, //
};

/// The most parts of a request that are listed in a log line.
const MAX_LISTED: usize = 64;

/// Whether a waiting request may be sent, as far as its prompt's parts are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// No part is a suspect.
    Free,
    /// The part is a suspect, and the request is sent to find out.
    Trial(Part),
    /// Another request or router tries the part first.
    Wait,
}

impl Pool {
    /// Records that the connection of a request broke before its target had begun to answer it.
    /// Returns the target if it is not known whether that has crashed; the caller then finds out
    /// and calls [`Pool::target_crashed`] or [`Pool::target_alive`].
    pub fn record_break(&mut self, now: Time, sequence: Sequence) -> Option<Target> {
        let request = self.requests.get(&sequence)?;
        let Stage::InFlight { target, since, .. } = request.stage else {
            return None;
        };
        if request.suspects().next().is_none() || request.is_sound() {
            return None;
        }
        let member = self.members.get_mut(&target)?;
        member.unanswered.extend(now, since, request.suspects());
        if member.unanswered.crashed {
            self.record_crash(now, target);
            return None;
        }
        Some(target)
    }

    /// Records that a target has crashed: nothing listens at its address any more.
    pub fn target_crashed(&mut self, now: Time, target: Target) -> Vec<Output> {
        if let Some(member) = self.members.get_mut(&target) {
            member.unanswered.crashed = true;
            member.health.record_unreachable(now);
        }
        self.pace_unreachable(now, target);
        self.record_crash(now, target);
        self.take_outputs()
    }

    /// Returns the crash that a target would have now, unless it is known that the target has
    /// crashed and not answered since.
    pub fn new_crash(&self, target: Target) -> Option<CrashId> {
        let member = self.members.get(&target)?;
        let crash = crash_id(target, member.spec.born);
        (!member.unanswered.crashed).then_some(crash)
    }

    /// Records that a target still accepts connections, so that those that broke say nothing about
    /// the requests on them.
    pub fn target_alive(&mut self, target: Target) {
        if let Some(member) = self.members.get_mut(&target) {
            member.unanswered = Default::default();
        }
    }

    fn record_crash(&mut self, now: Time, target: Target) {
        let Some(member) = self.members.get_mut(&target) else {
            return;
        };
        self.warmup.record_unreachable(now, target);
        let crash = crash_id(target, member.spec.born);
        let parts = member.unanswered.take();
        self.quarantine.record_crash(now, crash, parts);
        self.enforce_quarantine(now);
    }

    /// Records that an answer began at `began` and went on.
    pub(super) fn record_sound(
        &mut self,
        now: Time,
        sequence: Sequence,
        began: Time,
        parts: impl IntoIterator<Item = Part>,
    ) {
        self.quarantine.end_trial(sequence);
        self.quarantine.record_answer(now, began, parts);
        self.enforce_quarantine(now);
    }

    /// Merges the evidence about prompt parts of another router.
    pub fn merge_parts(&mut self, now: Time, reports: &[PartReport]) -> Vec<Output> {
        if !reports.is_empty() {
            self.quarantine.merge(now, reports);
            self.enforce_quarantine(now);
        }
        self.take_outputs()
    }

    /// Returns the evidence about prompt parts to report to other routers now.
    pub fn part_reports(&mut self, now: Time) -> Vec<PartReport> {
        self.quarantine.reports(now, self.routers)
    }

    /// Returns the evidence about the quarantined prompt parts, for a router that has joined.
    pub fn quarantine_reports(&self, now: Time) -> Vec<PartReport> {
        self.quarantine.quarantined_reports(now)
    }

    /// Returns the state of the prompt parts that crashes count against.
    pub fn part_status(&self, now: Time) -> Vec<PartStatus> {
        self.quarantine.status(now)
    }

    /// Returns the number of quarantined prompt parts.
    pub fn quarantined(&self) -> usize {
        self.quarantine.len()
    }

    /// Returns the prompt parts that were quarantined or released since the last call.
    pub fn take_quarantine_changes(&mut self) -> Vec<QuarantineChange> {
        self.quarantine.take_changes()
    }

    /// Returns the quarantined part of a request that has not ended, if it has one.
    pub fn quarantined_part(&self, now: Time, sequence: Sequence) -> Option<Part> {
        let request = self.requests.get(&sequence)?;
        match self.quarantine.verdict_of(now, request.suspects()) {
            Verdict::Quarantined(part) => Some(part),
            _ => None,
        }
    }

    /// Returns the suspects among the parts of a request whose connection broke, separated by
    /// commas, or `None` if there are none or its answer had gone on. Of more than
    /// 64 it lists the last ones, after the number of the others.
    pub fn unanswered_parts(&self, sequence: Sequence) -> Option<String> {
        let request = self.requests.get(&sequence)?;
        let parts: Vec<_> = request.suspects().collect();
        if parts.is_empty() || request.is_sound() {
            return None;
        }
        let others = parts.len().saturating_sub(MAX_LISTED);
        let listed = parts[others..].iter().map(|part| format!("{part:x}"));
        let others = (others > 0).then(|| format!("+{others}"));
        Some(
            others
                .into_iter()
                .chain(listed)
                .collect::<Vec<_>>()
                .join(","),
        )
    }

    /// Returns why a new request is refused, if a part of its prompt is quarantined.
    pub(super) fn quarantine_cause(&self, now: Time, spec: &RequestSpec) -> Option<Refusal> {
        let parts = suspects(spec.prompt.as_ref());
        match self.quarantine.verdict_of(now, parts) {
            Verdict::Quarantined(part) => Some(Refusal::Quarantined(part)),
            _ => None,
        }
    }

    /// Returns whether a waiting request may be sent now.
    pub(super) fn admission(&self, now: Time, request: &Request) -> Admission {
        match self.quarantine.verdict_of(now, request.suspects()) {
            Verdict::Clear => Admission::Free,
            Verdict::Suspect(part) if self.quarantine.may_try(now, part) => Admission::Trial(part),
            Verdict::Suspect(_) | Verdict::Quarantined(_) => Admission::Wait,
        }
    }

    /// Refuses the waiting requests whose part was just quarantined, and gives up those that no
    /// target has begun to answer.
    fn enforce_quarantine(&mut self, now: Time) {
        let parts = self.quarantine.newly_quarantined();
        if parts.is_empty() {
            return;
        }
        let requests = self.requests.iter();
        let affected =
            requests.filter(|(_, request)| request.suspects().any(|part| parts.contains(&part)));
        let sequences = affected.map(|(sequence, _)| *sequence);
        let held = |sequence| Some((sequence, self.quarantined_part(now, sequence)?));
        let mut held: Vec<_> = sequences.filter_map(held).collect();
        held.sort_unstable();
        for (sequence, part) in held {
            let request = &self.requests[&sequence];
            match request.stage {
                Stage::Waiting => self.refuse(now, sequence, Refusal::Quarantined(part)),
                Stage::InFlight { .. } if !request.is_sound() => {
                    self.outputs.push(Output::Abandon { sequence });
                }
                _ => {}
            }
        }
    }
}

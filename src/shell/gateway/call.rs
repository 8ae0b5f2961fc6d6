//! One request of a caller, from its arrival through all attempts at targets to its outcome.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use hyper::{
    Response,
    StatusCode,
    header::CONTENT_LENGTH,
    http::request, //
};

use super::{
    attempt::{
        Answer,
        AttemptResult, //
    },
    exchange::{
        Exchange,
        Stage, //
    },
    process::{
        Decision,
        Process, //
    },
    refusal::{
        FAULT_RETRY,
        QUARANTINED,
        STOP_RETRY,
        refusal, //
    },
    relay::relay, //
};
use crate::{
    ids::{
        Sequence,
        Time, //
    },
    pool::{
        Attempt,
        Fault,
        Refusal, //
    },
    shell::{
        body::Body,
        fields::strip_hop_by_hop,
        presence::{
            CallerGone,
            Presence, //
        },
        problem, //
    }, //
};

/// A queued request of a caller. Dropping it before it has ended counts as a disconnect of the
/// caller.
pub(super) struct Call {
    pub(super) process: Rc<Process>,
    pub(super) sequence: Sequence,
    pub(super) decisions: UnboundedReceiver<Decision>,
    pub(super) request: CallerRequest,
    /// The name of the target that the request was sent to, while its attempt lasts.
    pub(super) target: Option<String>,
    /// Whether a target may have run the request in a failed attempt.
    maybe_ran: bool,
    ended: bool,
}

pub(super) struct CallerRequest {
    /// The caller's id for the request.
    pub(super) id: String,
    /// The client account, or `None` on an open route without a known key.
    pub(super) account: Option<Arc<str>>,
    pub(super) route: String,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    /// Whether the answer is an event stream.
    pub(super) stream: bool,
    /// Whether another target may continue the stream.
    pub(super) resumable: bool,
    /// The earliest time at which it can have arrived.
    pub(super) arrived: Time,
    /// The earliest time at which the caller may stop waiting.
    pub(super) deadline: Time,
    /// The latest time until which the caller may wait: the request may have arrived as late as it was
    /// read.
    pub(super) latest: Time,
    /// The time that it is expected to take if no request of its route has ended so far.
    pub(super) usual_limit: Duration,
    /// The connection's record of this request.
    pub(super) exchange: Rc<Exchange>,
    /// Tells whether the caller is still there.
    pub(super) presence: Presence,
}

impl Call {
    pub(super) fn new(
        process: Rc<Process>,
        request: CallerRequest,
        pool_ask: crate::pool::RequestSpec,
    ) -> Self {
        request.exchange.advance(Stage::Queued);
        let (sequence, decisions) = process.enqueue(pool_ask);
        Self {
            process,
            sequence,
            decisions,
            request,
            target: None,
            maybe_ran: false,
            ended: false,
        }
    }

    /// Returns the time since the request arrived.
    pub(super) fn elapsed(&self) -> Duration {
        let now = self.process.clock.now();
        now.saturating_sub(self.request.arrived)
    }

    /// Returns the time for which the caller waits at least.
    pub(super) fn time_left(&self) -> Duration {
        let now = self.process.clock.now();
        self.request.deadline.saturating_sub(now)
    }

    /// Returns whether the caller may still wait.
    fn is_wanted(&self) -> bool {
        self.process.clock.now() < self.request.latest
    }

    /// Returns whether an attempt that begins now is expected to end before this process does.
    fn can_finish(&self) -> bool {
        let CallerRequest {
            route,
            usual_limit,
            latest,
            ..
        } = &self.request;
        self.process.can_finish(route, *usual_limit, *latest)
    }

    /// Returns for how long the caller may have been gone: the time since it was last known to be
    /// there.
    pub(super) fn caller_age(&self) -> Duration {
        let now = self.process.clock.now();
        now.saturating_sub(self.request.presence.seen())
    }

    /// Ends the request because the caller has closed its connection, and logs for how long at most
    /// the close lay unread.
    pub(super) fn leave(&mut self) {
        let closed = self.process.earliest_arrival(self.request.presence.seen());
        let age = self.process.clock.now().saturating_sub(closed);
        self.process.metrics.observe_hangup(age);
        log::info!(
            "event=caller-gone request={} sequence={} target={} age_ms={}",
            self.request.id,
            self.sequence,
            self.target.as_deref().unwrap_or("-"),
            age.as_millis(),
        );
        self.end("caller-gone", false);
    }

    /// Ends the request, counts its outcome and logs it. Only the first outcome counts.
    pub(super) fn end(&mut self, outcome: &str, answered: bool) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.process.end(self.sequence, answered);
        self.process.metrics.count_outcome(outcome);
        self.process.metrics.observe_total(self.elapsed());
        if answered {
            self.process
                .observe_run(&self.request.route, self.elapsed());
        }
        let account = self.request.account.as_deref().unwrap_or("-");
        let unread = self.request.latest - self.request.deadline;
        log::info!(
            "event=end request={} sequence={} account={account} route={} generation={} \
             outcome={outcome} took_ms={} left_ms={} unread_ms={}",
            self.request.id,
            self.sequence,
            self.request.route,
            self.process.rules().generation(),
            self.elapsed().as_millis(),
            self.time_left().as_millis(),
            unread.as_millis(),
        );
    }

    /// Ends the request for its deadline, or as this process ends. Counts it if neither is a reason yet:
    /// the caller may still wait.
    pub(super) fn end_late(&mut self, outcome: &str) {
        if !self.ended && self.is_wanted() && !self.process.is_closing() {
            self.process.metrics.count_early_end(outcome);
        }
        self.end(outcome, false);
    }

    /// Waits for the pool's next decision about the request; a closed channel means that it
    /// expired.
    pub(super) async fn next_decision(&mut self) -> Decision {
        self.decisions.next().await.unwrap_or(Decision::Expire)
    }

    /// Carries out the pool's decisions until there is a response for the caller.
    ///
    /// # Errors
    ///
    /// Fails if the caller has closed its connection.
    pub(super) async fn run(mut self) -> Result<Response<Body>, CallerGone> {
        loop {
            let target = match self.next_decision().await {
                Decision::Send(_) if !self.can_finish() => {
                    return Ok(self.refuse(Refusal::Stopping, STOP_RETRY));
                }
                Decision::Send(target) => target,
                Decision::Refuse(cause, retry) => return Ok(self.refuse(cause, retry)),
                Decision::Expire if self.process.is_closing() => {
                    return Ok(self.refuse(Refusal::Stopping, STOP_RETRY));
                }
                Decision::Expire => return Ok(self.expire()),
                // The decision was about an attempt that has ended already.
                Decision::Abandon => continue,
            };
            match self.attempt(target, None).await {
                AttemptResult::Answered(answer) => {
                    if let Some(answer) = self.unless_retried(answer) {
                        return Ok(self.deliver(*answer));
                    }
                }
                AttemptResult::Expired => return Ok(self.expire()),
                AttemptResult::CallerGone => return Err(CallerGone),
                AttemptResult::Failed(fault) => {
                    if !self.retry(fault) {
                        return Ok(self.fail(fault));
                    }
                }
            }
        }
    }

    /// Reports a failed attempt and returns whether another one follows.
    pub(super) fn retry(&mut self, fault: Fault) -> bool {
        self.target = None;
        self.maybe_ran |= !fault.is_unexecuted();
        self.process.metrics.count_fault(&fault.to_string());
        let decision = self.process.retry(self.sequence, fault);
        let again = decision.is_allowed();
        log::info!(
            "event=attempt-failed request={} sequence={} fault={fault} again={again} retry={} \
             budget_left={}",
            self.request.id,
            self.sequence,
            decision.verdict,
            decision.left,
        );
        again
    }

    /// Returns the answer to pass on to the caller, or `None` if it is a server error and the
    /// request is tried at another target instead.
    fn unless_retried(&mut self, answer: Box<Answer>) -> Option<Box<Answer>> {
        if !answer.head.status.is_server_error() {
            return Some(answer);
        }
        match self.retry(Fault::Error) {
            true => None,
            false => Some(answer),
        }
    }

    /// Passes a target's answer on to the caller.
    fn deliver(mut self, mut answer: Answer) -> Response<Body> {
        self.log_first(&answer);
        self.process.first_byte(self.sequence);
        self.process.metrics.observe_first_byte(self.elapsed());
        if !self.request.resumable {
            // The request is not sent again, so its body is no longer needed.
            self.request.body = Bytes::new();
        }
        strip_hop_by_hop(&mut answer.head.headers);
        let status = answer.head.status;
        // Callers take these statuses to mean that the request has not run. Only the target's
        // `not-executed` field can say so, and an answer with that field doesn't get here.
        let claims_unrun = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if claims_unrun {
            self.end("false-promise", false);
            let detail = "the target's refusal does not say that the request has not run";
            return problem::unknown(StatusCode::BAD_GATEWAY, "refused-after-run", detail);
        }
        let mut head = answer.head.clone();
        let body = match answer.remaining.is_some() {
            true => {
                if self.request.resumable && status.is_success() {
                    // Another target may continue the stream with events of other lengths.
                    head.headers.remove(CONTENT_LENGTH);
                }
                relay(self, answer)
            }
            false => {
                let outcome = if status.is_success() {
                    "answered"
                } else {
                    "failure"
                };
                self.end(outcome, !status.is_server_error());
                head.headers.remove(CONTENT_LENGTH);
                Body::full(answer.data)
            }
        };
        head.version = hyper::Version::HTTP_11;
        Response::from_parts(head, body)
    }

    /// Logs the beginning of an answer beside what was expected of it, and the load that its target
    /// states beside the believed one.
    fn log_first(&self, answer: &Answer) {
        let Some(Attempt {
            sent,
            expected,
            load,
            slowdown,
        }) = self.process.attempt(self.sequence)
        else {
            return;
        };
        let took = self.process.clock.now().saturating_sub(sent);
        let stated = answer.load.unwrap_or_default();
        log::info!(
            "event=first request={} sequence={} took_ms={} framing={} attempt_ms={} expected_ms={} \
             believed_running={} stated_running={} stated_waiting={} slots={} slowdown={slowdown} \
             stated_speed={}",
            self.request.id,
            self.sequence,
            self.elapsed().as_millis(),
            answer.progress.framing(),
            took.as_millis(),
            expected.as_millis(),
            load.running,
            stated.running,
            stated.waiting,
            stated.slots,
            stated.speed.unwrap_or_default(),
        );
        let metrics = &self.process.metrics;
        if !expected.is_zero() {
            metrics.observe_first_byte_ratio(took.as_secs_f64() / expected.as_secs_f64());
        }
        if answer.load.is_some() {
            let requests = f64::from(stated.running) + f64::from(stated.waiting);
            metrics.observe_load_ratio(requests / f64::from(load.running.max(1)));
        }
    }

    /// Refuses the request with a retry time. If an earlier attempt may have run, the response says
    /// so instead.
    fn refuse(mut self, cause: Refusal, retry: Duration) -> Response<Body> {
        if self.maybe_ran {
            return self.fail(Fault::Lost);
        }
        self.end(&format!("refused-{cause}"), false);
        refusal(cause, retry)
    }

    /// Answers a request whose last attempt failed: as refused if no attempt can have run, else
    /// with an unknown outcome.
    fn fail(mut self, fault: Fault) -> Response<Body> {
        if !self.maybe_ran {
            if let Some(part) = self.process.quarantined_part(self.sequence) {
                return self.refuse(Refusal::Quarantined(part), Duration::ZERO);
            }
            self.end(&format!("refused-{fault}"), false);
            return refusal(Refusal::Attempts, FAULT_RETRY);
        }
        if self.process.quarantined_part(self.sequence).is_some() {
            self.end("quarantined", false);
            return problem::unknown(StatusCode::BAD_GATEWAY, "quarantined", QUARANTINED);
        }
        self.end(&format!("lost-{fault}"), false);
        let detail = "the target was lost while the request may have run";
        problem::unknown(StatusCode::BAD_GATEWAY, "target-lost", detail)
    }

    /// Answers a request whose deadline has passed; it may have run.
    fn expire(mut self) -> Response<Body> {
        self.end_late("expired");
        let detail = "the target did not answer in time";
        problem::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout", detail)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.ended {
            self.leave();
        }
    }
}

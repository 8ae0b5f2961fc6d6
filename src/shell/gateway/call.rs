//! One request of a caller, through all attempts at targets.

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
        Tried, //
    },
    process::{
        Order,
        Process, //
    },
    refusal::{
        FAULT_RETRY,
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
        Fault,
        Refusal, //
    },
    shell::{
        body::Body,
        fields::strip,
        problem, //
    }, //
};

/// A request of a caller.
pub(super) struct Call {
    pub(super) process: Rc<Process>,
    pub(super) sequence: Sequence,
    pub(super) orders: UnboundedReceiver<Order>,
    pub(super) ask: CallerAsk,
    /// Whether an attempt may have run.
    doubtful: bool,
    ended: bool,
}

/// What the caller sent.
pub(super) struct CallerAsk {
    /// The caller's name for the request.
    pub(super) id: String,
    /// The account.
    pub(super) account: Option<Arc<str>>,
    /// The route's name.
    pub(super) route: String,
    /// The request's head.
    pub(super) head: request::Parts,
    /// The request's body.
    pub(super) body: Bytes,
    /// Whether the answer is an event stream.
    pub(super) stream: bool,
    /// Whether another target may continue the stream.
    pub(super) resumable: bool,
    /// When it arrived.
    pub(super) arrived: Time,
    /// When it must have ended.
    pub(super) deadline: Time,
}

impl Call {
    pub(super) fn new(
        process: Rc<Process>,
        ask: CallerAsk,
        pool: crate::pool::RequestSpec,
    ) -> Self {
        let (sequence, orders) = process.arrive(pool);
        Self {
            process,
            sequence,
            orders,
            ask,
            doubtful: false,
            ended: false,
        }
    }

    /// Returns the time since the request arrived.
    pub(super) fn took(&self) -> Duration {
        let now = self.process.clock.now();
        now.saturating_sub(self.ask.arrived)
    }

    /// Returns the time until the request must have ended.
    pub(super) fn left(&self) -> Duration {
        let now = self.process.clock.now();
        self.ask.deadline.saturating_sub(now)
    }

    /// Ends the request and logs its outcome.
    pub(super) fn end(&mut self, outcome: &str, answered: bool) {
        self.ended = true;
        self.process.end(self.sequence, answered);
        self.process.metrics.outcome(outcome);
        self.process.metrics.total(self.took());
        let account = self.ask.account.as_deref().unwrap_or("-");
        log::info!(
            "event=end request={} sequence={} account={account} route={} generation={} \
             outcome={outcome} took_ms={} left_ms={}",
            self.ask.id,
            self.sequence,
            self.ask.route,
            self.process.rules().generation(),
            self.took().as_millis(),
            self.left().as_millis(),
        );
    }

    /// Returns the next decision about the request.
    pub(super) async fn order(&mut self) -> Order {
        self.orders.next().await.unwrap_or(Order::Expire)
    }

    /// Answers the request.
    pub(super) async fn run(mut self) -> Response<Body> {
        loop {
            let target = match self.order().await {
                Order::Send(target) => target,
                Order::Refuse(cause, retry) => return self.refuse(cause, retry),
                Order::Expire => return self.expire(),
                // It was meant for an attempt that has ended.
                Order::Abandon => continue,
            };
            match self.attempt(target, None).await {
                Tried::Answered(answer) => {
                    if let Some(answer) = self.unless_repeated(answer) {
                        return self.deliver(*answer);
                    }
                }
                Tried::Expired => return self.expire(),
                Tried::Failed(fault) => {
                    if !self.retry(fault) {
                        return self.fail(fault);
                    }
                }
            }
        }
    }

    /// Notes a failed attempt and returns whether another one follows.
    pub(super) fn retry(&mut self, fault: Fault) -> bool {
        self.doubtful |= !fault.is_unexecuted();
        self.process.metrics.fault(&fault.to_string());
        let again = self.process.retry(self.sequence, fault);
        log::info!(
            "event=attempt-failed request={} sequence={} fault={fault} again={again}",
            self.ask.id,
            self.sequence,
        );
        again
    }

    /// Returns an answer that goes to the caller; a failure may be tried elsewhere instead.
    fn unless_repeated(&mut self, answer: Box<Answer>) -> Option<Box<Answer>> {
        if !answer.head.status.is_server_error() {
            return Some(answer);
        }
        match self.retry(Fault::Error) {
            true => None,
            false => Some(answer),
        }
    }

    /// Passes an answer on.
    fn deliver(mut self, mut answer: Answer) -> Response<Body> {
        self.process.first(self.sequence);
        self.process.metrics.first(self.took());
        log::info!(
            "event=first request={} sequence={} took_ms={}",
            self.ask.id,
            self.sequence,
            self.took().as_millis(),
        );
        if !self.ask.resumable {
            // It is not sent again.
            self.ask.body = Bytes::new();
        }
        strip(&mut answer.head.headers);
        let status = answer.head.status;
        // These say that the request has not run, which only the target's own mark can say.
        let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if promises {
            self.end("false-promise", false);
            let detail = "the target's refusal does not say that the request has not run";
            return problem::unknown(StatusCode::BAD_GATEWAY, "refused-after-run", detail);
        }
        let mut head = answer.head.clone();
        let body = match answer.rest.is_some() {
            true => relay(self, answer),
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

    /// Says truthfully that the request has not run and when to come back.
    fn refuse(mut self, cause: Refusal, retry: Duration) -> Response<Body> {
        if self.doubtful {
            return self.fail(Fault::Lost);
        }
        self.end(&format!("refused-{cause}"), false);
        refusal(cause, retry)
    }

    /// Answers a request without an answer from any target.
    fn fail(mut self, fault: Fault) -> Response<Body> {
        if !self.doubtful {
            self.end(&format!("refused-{fault}"), false);
            return refusal(Refusal::Attempts, FAULT_RETRY);
        }
        self.end(&format!("lost-{fault}"), false);
        let detail = "the target was lost while the request may have run";
        problem::unknown(StatusCode::BAD_GATEWAY, "target-lost", detail)
    }

    /// Answers a request whose time is over.
    fn expire(mut self) -> Response<Body> {
        self.end("expired", false);
        let detail = "the target did not answer in time";
        problem::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout", detail)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.ended {
            self.end("caller-gone", false);
        }
    }
}

//! One request of a caller, through all attempts at targets.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use compio::runtime::spawn;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::{
    StreamExt,
    future::{
        Either,
        select, //
    }, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        CONTENT_LENGTH,
        HeaderValue,
        RETRY_AFTER, //
    },
    http::{
        request,
        response, //
    }, //
};

use super::{
    process::{
        Order,
        Process, //
    },
    relay::relay, //
};
use crate::{
    ids::{
        Sequence,
        Target,
        Time, //
    },
    platform::{
        self,
        Verdict, //
    },
    pool::{
        Fault,
        Refusal, //
    },
    shell::{
        body::Body,
        dial::{
            Connections,
            Sender, //
        },
        fields::strip,
        problem, //
    }, //
};

/// The plain answers that are taken in whole before the caller sees any of them, in bytes:
/// they can still be tried elsewhere when they break off.
const MAX_HELD: usize = 256 << 10;

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
    pub(super) account: Option<Rc<str>>,
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

/// An answer whose beginning has arrived.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    /// What has been read of the body.
    pub(super) data: Bytes,
    /// What is still to be read.
    pub(super) rest: Option<Incoming>,
    pub(super) sender: Option<Sender>,
    pub(super) connections: Rc<Connections>,
}

/// How an attempt went.
pub(super) enum Tried {
    /// The target answers.
    Answered(Box<Answer>),
    /// It failed.
    Failed(Fault),
    /// The request's time is over.
    Expired,
}

impl Call {
    pub(super) fn new(process: Rc<Process>, ask: CallerAsk, pool: crate::pool::Ask) -> Self {
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

    /// Ends the request and logs its outcome.
    pub(super) fn end(&mut self, outcome: &str, answered: bool) {
        self.ended = true;
        self.process.end(self.sequence, answered);
        self.process.metrics.outcome(outcome);
        self.process.metrics.total(self.took());
        let account = self.ask.account.as_deref().unwrap_or("-");
        log::info!(
            "event=end request={} sequence={} account={account} outcome={outcome} took_ms={}",
            self.ask.id,
            self.sequence,
            self.took().as_millis(),
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
        self.doubtful |= !fault.is_unrun();
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

    /// Sends the request to a target and waits for the beginning of an answer.
    pub(super) async fn attempt(&mut self, target: Target, resume: Option<&str>) -> Tried {
        let Some(listing) = self.process.target(target) else {
            return Tried::Failed(Fault::Unreachable);
        };
        log::info!(
            "event=send request={} sequence={} target={} attempt_ms={}",
            self.ask.id,
            self.sequence,
            listing.name,
            self.took().as_millis(),
        );
        let request = self.request(&listing.name, resume);
        let connections = self.process.dial(listing.address);
        let opened = {
            let open = std::pin::pin!(connections.open(request));
            match race(open, &mut self.orders).await {
                Ok(opened) => opened,
                Err(tried) => return tried,
            }
        };
        let (response, sender) = match opened {
            Ok(opened) => opened,
            Err(err) => {
                let fault = match err.is_sent() {
                    true => Fault::Lost,
                    false => Fault::Unreachable,
                };
                log::info!(
                    "event=attempt-error request={} target={} fault={fault} error=\"{err}\"",
                    self.ask.id,
                    listing.name,
                );
                return Tried::Failed(fault);
            }
        };
        let (head, body) = response.into_parts();
        match platform::verdict(head.status.as_u16(), &head.headers, &self.ask.id) {
            Verdict::Answer => {}
            // The answer belongs to no request that is known; ours may have run.
            Verdict::Foreign => return Tried::Failed(Fault::Lost),
            Verdict::Unrun => {
                reuse_after(body, sender, connections, head);
                return Tried::Failed(Fault::Refused);
            }
            Verdict::Moved => {
                self.process.moved(target);
                return Tried::Failed(Fault::Moved);
            }
        }
        self.begin(head, body, sender, connections).await
    }

    /// Reads an answer whole, or the first event of a stream.
    async fn begin(
        &mut self,
        head: response::Parts,
        mut body: Incoming,
        sender: Sender,
        connections: Rc<Connections>,
    ) -> Tried {
        let mut data = BytesMut::new();
        let ended = loop {
            let frame = std::pin::pin!(body.frame());
            let frame = match race(frame, &mut self.orders).await {
                Ok(frame) => frame,
                Err(tried) => return tried,
            };
            match frame {
                None => break true,
                Some(Err(_)) => return Tried::Failed(Fault::Lost),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        data.extend_from_slice(&bytes);
                    }
                }
            }
            if self.ask.stream && !data.is_empty() || data.len() > MAX_HELD {
                break false;
            }
        };
        if ended {
            connections.keep(sender, &head.headers);
            return Tried::Answered(Box::new(Answer {
                head,
                data: data.freeze(),
                rest: None,
                sender: None,
                connections,
            }));
        }
        Tried::Answered(Box::new(Answer {
            head,
            data: data.freeze(),
            rest: Some(body),
            sender: Some(sender),
            connections,
        }))
    }

    fn request(&self, target: &str, resume: Option<&str>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.ask.body.clone()));
        *request.method_mut() = self.ask.head.method.clone();
        *request.uri_mut() = self.ask.head.uri.clone();
        let headers = request.headers_mut();
        *headers = self.ask.head.headers.clone();
        strip(headers);
        let now = self.process.clock.now();
        let address = platform::Address {
            target,
            account: self.ask.account.as_deref(),
            left: self.ask.deadline.saturating_sub(now),
            resume,
        };
        platform::address(headers, &address);
        request
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

/// When a request is worth sending again whose targets could not be reached.
const FAULT_RETRY: Duration = Duration::from_millis(500);

/// Returns the answer to a request that has not run.
pub(super) fn refusal(cause: Refusal, retry: Duration) -> Response<Body> {
    let detail = match cause {
        Refusal::Overload => "the wait would exceed the objective",
        Refusal::Waited => "no target had room within the objective",
        Refusal::NoTarget => "no target of the service is known",
        Refusal::Attempts => "no target took the request",
    };
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = problem::reject(status, &cause.to_string(), detail);
    let seconds = format!("{:.2}", retry.as_secs_f64().max(0.05));
    if let Ok(value) = HeaderValue::try_from(seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Awaits work, unless the pool ends the attempt first.
pub(super) async fn race<F: Future + Unpin>(
    mut work: F,
    orders: &mut UnboundedReceiver<Order>,
) -> Result<F::Output, Tried> {
    loop {
        match select(work, orders.next()).await {
            Either::Left((done, _)) => return Ok(done),
            Either::Right((Some(Order::Abandon), _)) => return Err(Tried::Failed(Fault::Lost)),
            Either::Right((Some(Order::Expire) | None, _)) => return Err(Tried::Expired),
            Either::Right((Some(_), left)) => work = left,
        }
    }
}

/// Reads a refusal to its end, so that its connection can be used again.
fn reuse_after(
    body: Incoming,
    sender: Sender,
    connections: Rc<Connections>,
    head: response::Parts,
) {
    spawn(async move {
        if body.collect().await.is_ok() {
            connections.keep(sender, &head.headers);
        }
    })
    .detach();
}

//! One attempt at a target, up to the beginning of its answer.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use compio::{
    runtime::spawn,
    time::timeout, //
};
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
    Full,
    Limited, //
};
use hyper::{
    Request,
    body::Incoming,
    http::response, //
};

use super::{
    call::Call,
    process::Decision, //
};
use crate::{
    ids::Target,
    platform::{
        self,
        Verdict, //
    },
    pool::Fault,
    shell::{
        dial::{
            Connections,
            Sender, //
        },
        fields::strip,
        intake::GROWTH,
        memory::hold, //
    }, //
};

/// The plain answers that are taken in whole before the caller sees any of them, in bytes:
/// they can still be tried elsewhere when they break off.
const MAX_BUFFERED: usize = 256 << 10;

/// The longest body of a refusal that is read so that its connection can be used again, in bytes.
const MAX_REFUSAL_BODY: usize = 16 << 10;

/// The time that reading it may take.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer whose beginning has arrived.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    /// What has been read of the body.
    pub(super) data: Bytes,
    /// What is still to be read.
    pub(super) remaining: Option<Incoming>,
    pub(super) sender: Option<Sender>,
    pub(super) connections: Rc<Connections>,
}

/// How an attempt went.
pub(super) enum AttemptResult {
    /// The target answers.
    Answered(Box<Answer>),
    /// It failed.
    Failed(Fault),
    /// The request's time is over.
    Expired,
}

impl Call {
    /// Sends the request to a target and waits for the beginning of an answer.
    pub(super) async fn attempt(&mut self, target: Target, resume: Option<&str>) -> AttemptResult {
        let Some(listing) = self.process.available_target(target) else {
            return AttemptResult::Failed(Fault::Unreachable);
        };
        log::info!(
            "event=send request={} sequence={} target={} attempt_ms={}",
            self.request.id,
            self.sequence,
            listing.name,
            self.elapsed().as_millis(),
        );
        let request = self.target_request(&listing.name, resume);
        let connections = self.process.connections_to(listing.address);
        let opened = {
            let open = std::pin::pin!(connections.open(request));
            match unless_abandoned(open, &mut self.decisions).await {
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
                    self.request.id,
                    listing.name,
                );
                return AttemptResult::Failed(fault);
            }
        };
        let (head, body) = response.into_parts();
        let notice = platform::notice(head.status.as_u16(), &head.headers);
        match platform::verdict(head.status.as_u16(), &head.headers, &self.request.id) {
            Verdict::Answer => self.process.apply_notice(target, notice),
            // The answer belongs to no request that is known; ours may have run.
            Verdict::Foreign => return AttemptResult::Failed(Fault::Lost),
            Verdict::Unrun => {
                self.process.apply_notice(target, notice);
                read_refusal(body, sender, connections, head);
                return AttemptResult::Failed(Fault::Refused);
            }
            Verdict::Moved => {
                self.process.mark_moved(target);
                return AttemptResult::Failed(Fault::Moved);
            }
        }
        self.read_beginning(head, body, sender, connections).await
    }

    /// Reads an answer whole, or the first event of a stream.
    async fn read_beginning(
        &mut self,
        head: response::Parts,
        mut body: Incoming,
        sender: Sender,
        connections: Rc<Connections>,
    ) -> AttemptResult {
        let mut data = BytesMut::new();
        // What there is no room for is passed on as it arrives.
        let mut reservation = self.process.memory.hold(0);
        let complete = loop {
            let frame = std::pin::pin!(body.frame());
            let frame = match unless_abandoned(frame, &mut self.decisions).await {
                Ok(frame) => frame,
                Err(tried) => return tried,
            };
            match frame {
                None => break true,
                Some(Err(_)) => return AttemptResult::Failed(Fault::Lost),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        data.extend_from_slice(&bytes);
                    }
                }
            }
            let buffered = reservation
                .as_mut()
                .is_some_and(|reservation| reservation.reach(data.len() * GROWTH));
            if self.request.stream && !data.is_empty() || data.len() > MAX_BUFFERED || !buffered {
                break false;
            }
        };
        let (remaining, sender) = if complete {
            connections.keep(sender, &head.headers);
            (None, None)
        } else {
            (Some(body), Some(sender))
        };
        AttemptResult::Answered(Box::new(Answer {
            head,
            data: match reservation {
                Some(reservation) => hold(data.freeze(), reservation),
                None => data.freeze(),
            },
            remaining,
            sender,
            connections,
        }))
    }

    fn target_request(&self, target: &str, resume: Option<&str>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.head.method.clone();
        *request.uri_mut() = self.request.head.uri.clone();
        let headers = request.headers_mut();
        *headers = self.request.head.headers.clone();
        strip(headers);
        let address = platform::Address {
            target,
            account: self.request.account.as_deref(),
            left: self.time_left(),
            resume,
        };
        platform::address(headers, &address);
        request
    }
}

/// Awaits the beginning of an answer, unless the pool ends the attempt first.
async fn unless_abandoned<F: Future + Unpin>(
    work: F,
    decisions: &mut UnboundedReceiver<Decision>,
) -> Result<F::Output, AttemptResult> {
    unless_ended(work, decisions, true).await
}

/// Awaits more of an answer that has begun, unless the request's time ends first. That the target
/// should be abandoned for its silence was decided before it began.
pub(super) async fn unless_expired<F: Future + Unpin>(
    work: F,
    decisions: &mut UnboundedReceiver<Decision>,
) -> Result<F::Output, AttemptResult> {
    unless_ended(work, decisions, false).await
}

async fn unless_ended<F: Future + Unpin>(
    mut work: F,
    decisions: &mut UnboundedReceiver<Decision>,
    may_abandon: bool,
) -> Result<F::Output, AttemptResult> {
    loop {
        match select(work, decisions.next()).await {
            Either::Left((done, _)) => return Ok(done),
            Either::Right((Some(Decision::Abandon), _)) if may_abandon => {
                return Err(AttemptResult::Failed(Fault::Lost));
            }
            Either::Right((Some(Decision::Expire) | None, _)) => {
                return Err(AttemptResult::Expired);
            }
            Either::Right((Some(_), left)) => work = left,
        }
    }
}

/// Reads a refusal to its end, so that its connection can be used again.
fn read_refusal(
    body: Incoming,
    sender: Sender,
    connections: Rc<Connections>,
    head: response::Parts,
) {
    spawn(async move {
        let collected = Limited::new(body, MAX_REFUSAL_BODY).collect();
        if matches!(timeout(REFUSAL_READ_TIMEOUT, collected).await, Ok(Ok(_))) {
            connections.keep(sender, &head.headers);
        }
    })
    .detach();
}

#[cfg(test)]
mod tests {
    use compio::{
        runtime::Runtime,
        time::sleep, //
    };
    use futures_channel::mpsc::unbounded;

    use super::*;

    struct EndedWait {
        decision: Decision,
        answer_begun: bool,
        continues: bool,
    }

    /// The load: a router that is late itself takes a target for silent whose answer has come.
    #[test]
    fn only_expiry_ends_an_answer_that_has_begun() {
        let cases = [
            EndedWait {
                decision: Decision::Abandon,
                answer_begun: false,
                continues: false,
            },
            EndedWait {
                decision: Decision::Abandon,
                answer_begun: true,
                continues: true,
            },
            EndedWait {
                decision: Decision::Expire,
                answer_begun: true,
                continues: false,
            },
        ];
        let runtime = Runtime::new().expect("a runtime");
        for case in cases {
            let (sender, mut decisions) = unbounded();
            sender.unbounded_send(case.decision).expect("it is open");
            let continues = runtime.block_on(async {
                let read = std::pin::pin!(sleep(std::time::Duration::from_millis(5)));
                match case.answer_begun {
                    true => unless_expired(read, &mut decisions).await.is_ok(),
                    false => unless_abandoned(read, &mut decisions).await.is_ok(),
                }
            });
            assert_eq!(continues, case.continues, "{:?}", case.decision);
        }
    }
}

//! One attempt at a target: sends the request and reads the beginning of the answer.

use std::{
    fmt::Display,
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
use xxhash_rust::xxh3::xxh3_64;

use super::{
    call::Call,
    exchange::Stage,
    process::Decision, //
};
use crate::{
    answer::{
        Flaw,
        Progress, //
    },
    ids::Target,
    platform::{
        self,
        ResponseKind, //
    },
    pool::{
        Fault,
        StatedLoad, //
    },
    shell::{
        dial::{
            Connections,
            DialError,
            Sender, //
        },
        ending::{
            judge_end,
            start_progress, //
        },
        fields::strip_hop_by_hop,
        intake::GROWTH_FACTOR,
        memory::with_reservation, //
    }, //
};

/// The size up to which plain answers are buffered whole before their first byte is passed on, in
/// bytes. If such an answer breaks off, the request can still be sent to another target.
const MAX_BUFFERED: usize = 256 << 10;

/// The longest body of a refusal that is read so that its connection can be used again, in bytes.
const MAX_REFUSAL_BODY: usize = 16 << 10;

const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A target's answer whose beginning has arrived.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    /// The part of the body that has been read and not passed on.
    pub(super) data: Bytes,
    /// The number of events that have ended in what was read and are not counted yet.
    pub(super) events: u32,
    /// The part of the body that is still to be read, if any.
    pub(super) remaining: Option<Incoming>,
    /// What has arrived of the body, to judge its end.
    pub(super) progress: Progress,
    pub(super) target: Target,
    /// The load that the target has stated in the head.
    pub(super) load: Option<StatedLoad>,
    /// The connection, while the body is not read to its end.
    pub(super) sender: Option<Sender>,
    /// The connection pool that gets the connection back afterwards.
    pub(super) connections: Rc<Connections>,
}

impl Answer {
    /// Logs that the answer broke off after its head.
    pub(super) fn log_break(&self, request: &str, cause: &dyn Display) {
        let framing = self.progress.framing();
        log::info!("event=stream-broken request={request} framing={framing} error=\"{cause}\"");
    }
}

pub(super) enum AttemptResult {
    /// The beginning of an answer has arrived.
    Answered(Box<Answer>),
    /// The attempt failed; another one may follow.
    Failed(Fault),
    /// The request's deadline passed.
    Expired,
    /// The caller has closed its connection.
    CallerGone,
}

impl Call {
    /// Sends the request to a target and waits for the beginning of an answer.
    pub(super) async fn attempt(&mut self, target: Target, resume: Option<&str>) -> AttemptResult {
        let Some(listing) = self.process.available_target(target) else {
            return AttemptResult::Failed(Fault::Unreachable);
        };
        if self.process.is_overdue(self.sequence) {
            return AttemptResult::Failed(Fault::Withdrawn);
        }
        let presence = self.request.presence.clone();
        if presence.is_gone() {
            return AttemptResult::CallerGone;
        }
        let caller_age = self.caller_age();
        log::info!(
            "event=send request={} sequence={} target={} attempt_ms={} caller_age_ms={}",
            self.request.id,
            self.sequence,
            listing.name,
            self.elapsed().as_millis(),
            caller_age.as_millis(),
        );
        self.process.metrics.observe_caller_age(caller_age);
        self.target = Some(listing.name.clone());
        if resume.is_none() {
            self.request.exchange.advance(Stage::Sent);
        }
        let request = self.target_request(&listing.name, resume);
        let connections = self.process.connections_to(listing.address);
        let opened = {
            let id = &self.request.id;
            let hash = (!id.is_empty()).then(|| xxh3_64(id.as_bytes()));
            let is_wanted = move || !presence.is_gone();
            let open = std::pin::pin!(connections.send(request, hash, is_wanted));
            match unless_abandoned(open, &mut self.decisions).await {
                Ok(opened) => opened,
                Err(result) => return result,
            }
        };
        let (response, sender) = match opened {
            Ok(opened) => opened,
            Err(DialError::Withdrawn) => return AttemptResult::CallerGone,
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
                if fault == Fault::Lost {
                    self.process.check_target(self.sequence).await;
                }
                return AttemptResult::Failed(fault);
            }
        };
        let (head, body) = response.into_parts();
        let notice = platform::notice(head.status.as_u16(), &head.headers);
        match platform::classify_response(head.status.as_u16(), &head.headers, &self.request.id) {
            ResponseKind::Answer => self.process.apply_notice(target, notice),
            // It is not known whether the target has run this request.
            ResponseKind::Mismatched => {
                log::warn!(
                    "event=answer-discarded request={} target={} status={} echo={}",
                    self.request.id,
                    listing.name,
                    head.status.as_u16(),
                    platform::id_echo(&head.headers, &self.request.id),
                );
                return AttemptResult::Failed(Fault::Lost);
            }
            ResponseKind::NotExecuted => {
                self.process.apply_notice(target, notice);
                read_refusal(body, sender, connections, head);
                return AttemptResult::Failed(Fault::Refused);
            }
            ResponseKind::Moved => {
                self.process.mark_moved(target);
                return AttemptResult::Failed(Fault::Moved);
            }
        }
        let progress = start_progress(&head, &body, self.request.stream);
        let answer = Answer {
            head,
            data: Bytes::new(),
            events: 0,
            remaining: Some(body),
            progress,
            target,
            load: notice.load,
            sender: Some(sender),
            connections,
        };
        self.read_beginning(answer).await
    }

    /// Reads a small answer whole, or the first bytes of a stream or of a large answer.
    async fn read_beginning(&mut self, mut answer: Answer) -> AttemptResult {
        let mut data = BytesMut::new();
        // Without memory for more of it, the answer is passed on as it arrives.
        let mut reservation = self.process.memory.reserve_answer();
        while let Some(body) = &mut answer.remaining {
            let frame = std::pin::pin!(body.frame());
            let frame = match unless_abandoned(frame, &mut self.decisions).await {
                Ok(frame) => frame,
                Err(result) => return result,
            };
            match frame {
                None => match self.judge_end(&answer).await {
                    Ok(()) => {
                        answer.remaining = None;
                        if let Some(sender) = answer.sender.take() {
                            answer.connections.put_idle(sender, &answer.head.headers);
                        }
                    }
                    Err(flaw) => return self.fail_broken(&answer, &flaw).await,
                },
                Some(Err(err)) => return self.fail_broken(&answer, &err).await,
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        answer.events += answer.progress.push(&bytes);
                        data.extend_from_slice(&bytes);
                    }
                }
            }
            let buffered = reservation.grow(data.len() * GROWTH_FACTOR);
            if self.request.stream && !data.is_empty() || data.len() > MAX_BUFFERED || !buffered {
                break;
            }
        }
        answer.data = with_reservation(data.freeze(), reservation);
        AttemptResult::Answered(Box::new(answer))
    }

    /// Fails an attempt whose answer broke off before it was passed on.
    async fn fail_broken(&self, answer: &Answer, cause: &dyn Display) -> AttemptResult {
        answer.log_break(&self.request.id, cause);
        self.process.check_target(self.sequence).await;
        AttemptResult::Failed(Fault::Lost)
    }

    /// Judges an answer whose body has ended without an error.
    ///
    /// # Errors
    ///
    /// Returns what shows that the answer is not whole.
    pub(super) async fn judge_end(&self, answer: &Answer) -> Result<(), Flaw> {
        let is_leaving = || self.process.is_leaving(answer.target);
        let request = &self.request.id;
        let (judged, took) =
            judge_end(request, &answer.progress, &answer.connections, is_leaving).await;
        if answer.progress.is_unframed() {
            self.process.metrics.observe_end_check(took);
        }
        judged
    }

    /// Builds the request for a target; `resume` is the id of the last event that the caller has
    /// of the stream.
    fn target_request(&self, target: &str, resume: Option<&str>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.head.method.clone();
        *request.uri_mut() = self.request.head.uri.clone();
        let headers = request.headers_mut();
        *headers = self.request.head.headers.clone();
        strip_hop_by_hop(headers);
        let address = platform::TargetFields {
            target,
            account: self.request.account.as_deref(),
            time_left: self.time_left(),
            last_event: resume,
        };
        platform::set_target_fields(headers, &address);
        request
    }
}

/// Awaits the beginning of an answer, unless the pool abandons the attempt or the request expires.
async fn unless_abandoned<F: Future + Unpin>(
    work: F,
    decisions: &mut UnboundedReceiver<Decision>,
) -> Result<F::Output, AttemptResult> {
    unless_ended(work, decisions, true).await
}

/// Awaits more of an answer that has begun, unless the request expires first. A decision to abandon
/// the attempt is ignored: the pool made it because the target was silent, before the answer began.
pub(super) async fn unless_expired<F: Future + Unpin>(
    work: F,
    decisions: &mut UnboundedReceiver<Decision>,
) -> Result<F::Output, AttemptResult> {
    unless_ended(work, decisions, false).await
}

/// Awaits `work`, unless the pool ends the attempt first; decisions to abandon it count only with
/// `may_abandon`.
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

/// Reads the rest of a refusal in the background, so that its connection can be reused.
fn read_refusal(
    body: Incoming,
    sender: Sender,
    connections: Rc<Connections>,
    head: response::Parts,
) {
    spawn(async move {
        let collected = Limited::new(body, MAX_REFUSAL_BODY).collect();
        if matches!(timeout(REFUSAL_READ_TIMEOUT, collected).await, Ok(Ok(_))) {
            connections.put_idle(sender, &head.headers);
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
        /// The decision that arrives while the answer is awaited.
        decision: Decision,
        answer_begun: bool,
        continues: bool,
    }

    /// Guards against losing a good answer: a gateway with event-loop lag may decide that a target
    /// is silent although its answer has arrived and was not read yet.
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
        let runtime = Runtime::new().expect("the runtime starts");
        for case in cases {
            let (sender, mut decisions) = unbounded();
            sender
                .unbounded_send(case.decision)
                .expect("the decision channel is open");
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

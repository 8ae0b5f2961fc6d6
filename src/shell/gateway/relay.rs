//! Passes an answer on to the caller as it arrives, and continues a stream at another target.

use std::{
    fmt,
    time::Duration, //
};

use bytes::Bytes;
use compio::time::sleep;
use derive_more::Display;
use futures_util::{
    StreamExt,
    stream::unfold, //
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    StatusCode,
    body::{
        Body as _,
        Frame,
        Incoming, //
    },
    header::{
        CONTENT_ENCODING,
        CONTENT_TYPE, //
    }, //
};

use super::{
    attempt::{
        Answer,
        AttemptResult,
        unless_expired, //
    },
    call::Call,
    process::Decision, //
};
use crate::{
    answer::{
        ContinuationError,
        EventSplitter, //
    },
    pool::{
        Fault,
        Reservation, //
    },
    shell::{
        body::{
            Body,
            Truncated, //
        },
        memory::with_reservation, //
    }, //
};

/// The time in which the events that were passed on before an answer breaks off are written.
const WRITE_PAUSE: Duration = Duration::from_millis(5);

/// An answer on its way from a target to a caller.
struct Relay {
    call: Call,
    answer: Answer,
    /// Splits the stream into events, where its route allows that another target continues it.
    splitter: Option<EventSplitter>,
    /// The memory of the event that has not ended.
    event: Reservation,
    /// Whether the body has ended.
    done: bool,
}

/// Why an answer ends before it is complete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Break {
    /// Its target broke it off, and no other one has continued it.
    #[display("broken")]
    Target,
    /// The deadline of its request has passed.
    #[display("cut-deadline")]
    Deadline,
    /// This process ends.
    #[display("cut-stop")]
    Stop,
}

/// Returns the response body that passes an answer on.
pub(super) fn relay(call: Call, answer: Answer) -> Body {
    let resumable = call.request.resumable && answer.head.status.is_success();
    let splitter = resumable.then(EventSplitter::default);
    let event = call.process.memory.reserve_answer();
    let relay = Relay {
        call,
        answer,
        splitter,
        event,
        done: false,
    };
    Body::Relay(unfold(relay, next_frame).boxed_local())
}

/// Returns the next frame of the response body, and the state that follows it.
async fn next_frame(mut relay: Relay) -> Option<(Result<Frame<Bytes>, Truncated>, Relay)> {
    if relay.done {
        return None;
    }
    loop {
        let data = std::mem::take(&mut relay.answer.data);
        let split = relay.split(data);
        let too_long = relay
            .splitter
            .as_ref()
            .is_some_and(EventSplitter::is_too_long);
        let read = match split {
            Ok(whole) if !whole.is_empty() => {
                let count = std::mem::take(&mut relay.answer.events);
                relay.call.process.count_events(relay.call.sequence, count);
                if relay.is_last() {
                    relay.finish();
                    relay.done = true;
                }
                return Some((Ok(Frame::data(whole)), relay));
            }
            Ok(_) if too_long => relay.recover(&"an event is too long").await,
            Ok(_) => relay.read().await,
            Err(cause) => relay.recover(&cause).await,
        };
        match read {
            Ok(true) => {}
            Ok(false) => {
                let partial = relay.splitter.as_mut().map(EventSplitter::take_partial);
                let partial = match partial.transpose() {
                    Ok(partial) => partial.unwrap_or_default(),
                    Err(foreign) => match relay.recover(&foreign).await {
                        Ok(_) => continue,
                        Err(cause) => return Some(relay.break_off(cause).await),
                    },
                };
                relay.finish();
                relay.done = true;
                return (!partial.is_empty()).then(|| (Ok(Frame::data(partial)), relay));
            }
            Err(cause) => return Some(relay.break_off(cause).await),
        }
    }
}

impl Relay {
    /// Adds bytes of the answer. Returns those that can be passed on now.
    ///
    /// Without memory for the event that has not ended, the answer is passed on as it arrives from now
    /// on, and no other target can continue it.
    fn split(&mut self, data: Bytes) -> Result<Bytes, ContinuationError> {
        let Some(splitter) = &mut self.splitter else {
            return Ok(data);
        };
        let whole = splitter.push(data)?;
        let memory = &self.call.process.memory;
        let whole = match whole.is_empty() {
            true => whole,
            false => {
                let event = std::mem::replace(&mut self.event, memory.reserve_answer());
                with_reservation(whole, event)
            }
        };
        if self.event.resize(splitter.held()) {
            return Ok(whole);
        }
        log::info!(
            "event=unsplit request={} held_kb={}",
            self.call.request.id,
            memory.reserved() >> 10
        );
        let partial = splitter.take_partial()?;
        self.splitter = None;
        Ok([whole, partial].concat().into())
    }

    /// Ends the answer so that the caller can see that it is incomplete.
    async fn break_off(mut self, cause: Break) -> (Result<Frame<Bytes>, Truncated>, Self) {
        match cause {
            Break::Deadline => self.call.end_late(&cause.to_string()),
            Break::Target | Break::Stop => self.call.end(&cause.to_string(), false),
        }
        self.done = true;
        // hyper drops what it has not written when a body fails.
        sleep(WRITE_PAUSE).await;
        (Err(Truncated), self)
    }

    /// Reads more of the answer, or continues it elsewhere; returns `false` at its end.
    async fn read(&mut self) -> Result<bool, Break> {
        let Some(body) = &mut self.answer.remaining else {
            return Ok(false);
        };
        let frame = std::pin::pin!(body.frame());
        match unless_expired(frame, &mut self.call.decisions).await {
            Ok(None) => match self.call.judge_end(&self.answer).await {
                Ok(()) => Ok(false),
                Err(flaw) => self.recover(&flaw).await,
            },
            Ok(Some(Ok(frame))) => {
                self.answer.data = frame.into_data().unwrap_or_default();
                self.answer.events += self.answer.progress.push(&self.answer.data);
                Ok(true)
            }
            Ok(Some(Err(err))) => self.recover(&err).await,
            Err(AttemptResult::Expired) => Err(self.expiry()),
            Err(_) => self.resume().await.map(|()| true),
        }
    }

    /// Finds out what has become of the target of an answer that broke off, and continues the answer
    /// elsewhere.
    async fn recover(&mut self, cause: &impl fmt::Display) -> Result<bool, Break> {
        self.answer.log_break(&self.call.request.id, cause);
        self.call.process.check_target(self.call.sequence).await;
        self.resume().await.map(|()| true)
    }

    /// Continues the stream at another target after the last whole event, if its route allows it.
    async fn resume(&mut self) -> Result<(), Break> {
        // The connection can't be reused; dropping it closes it, so that the target can stop.
        self.answer.remaining = None;
        self.answer.sender = None;
        let last_id = match &mut self.splitter {
            Some(splitter) if splitter.can_continue() => {
                splitter.start_continuation().map(str::to_owned)
            }
            _ => return Err(Break::Target),
        };
        loop {
            if !self.call.retry(Fault::Lost) {
                return Err(Break::Target);
            }
            let target = loop {
                match self.call.next_decision().await {
                    Decision::Send(target) => break target,
                    Decision::Abandon => {}
                    Decision::Refuse(..) => return Err(Break::Target),
                    Decision::Expire => return Err(self.expiry()),
                }
            };
            match self.call.attempt(target, last_id.as_deref()).await {
                AttemptResult::Answered(answer) if self.is_continued_by(&answer) => {
                    self.call.process.first_byte(self.call.sequence);
                    log::info!(
                        "event=continued request={} framing={}",
                        self.call.request.id,
                        answer.progress.framing(),
                    );
                    self.answer = *answer;
                    return Ok(());
                }
                AttemptResult::Answered(_) | AttemptResult::Failed(_) => {}
                AttemptResult::Expired => return Err(self.expiry()),
                AttemptResult::CallerGone => {
                    self.call.leave();
                    return Err(Break::Target);
                }
            }
        }
    }

    /// Returns why the pool or the process has ended the request.
    fn expiry(&self) -> Break {
        match self.call.process.is_closing() {
            true => Break::Stop,
            false => Break::Deadline,
        }
    }

    /// Returns whether an answer is of the same kind as the one that it is to continue.
    fn is_continued_by(&self, answer: &Answer) -> bool {
        let headers = &answer.head.headers;
        answer.head.status == StatusCode::OK
            && !headers.contains_key(CONTENT_ENCODING)
            && media_type(headers) == media_type(&self.answer.head.headers)
    }

    /// Returns whether an answer of known length has been read to its end. hyper drops its body once
    /// that length is written, without another poll.
    fn is_last(&self) -> bool {
        let remaining = self.answer.remaining.as_ref();
        self.splitter.is_none() && remaining.is_some_and(Incoming::is_end_stream)
    }

    /// Ends the request after a complete answer, and keeps the connection for reuse.
    fn finish(&mut self) {
        if let Some(sender) = self.answer.sender.take() {
            let headers = &self.answer.head.headers;
            self.answer.connections.put_idle(sender, headers);
        }
        self.call.request.exchange.pass_answer();
        self.call.end("answered", true);
    }
}

/// Returns the media type of an answer without its parameters, in lower case.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let essence = value.split(';').next()?;
    Some(essence.trim().to_ascii_lowercase())
}

//! Passing a stream on as it arrives, and continuing it at another target.

use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::unfold, //
};
use http_body_util::BodyExt;
use hyper::body::Frame;

use super::{
    attempt::{
        Answer,
        Tried,
        race_begun, //
    },
    call::Call,
    events::{
        self,
        Events, //
    },
    process::Order, //
};
use crate::{
    pool::Fault,
    shell::body::{
        Body,
        Broken, //
    }, //
};

/// A stream on its way from a target to a caller.
struct Relay {
    call: Call,
    answer: Answer,
    events: Option<Events>,
    over: bool,
}

/// Returns the body that passes an answer on.
pub(super) fn relay(call: Call, answer: Answer) -> Body {
    let events = call.ask.resumable.then(Events::default);
    let relay = Relay {
        call,
        answer,
        events,
        over: false,
    };
    Body::Relay(unfold(relay, step).boxed_local())
}

async fn step(mut relay: Relay) -> Option<(Result<Frame<Bytes>, Broken>, Relay)> {
    if relay.over {
        return None;
    }
    loop {
        let data = std::mem::take(&mut relay.answer.data);
        let whole = match &mut relay.events {
            Some(events) => events.push(data),
            None => data,
        };
        if !whole.is_empty() {
            let count = events::count(&whole);
            relay.call.process.events(relay.call.sequence, count);
            return Some((Ok(Frame::data(whole)), relay));
        }
        let endless = relay.events.as_ref().is_some_and(Events::is_endless);
        let read = match endless {
            true => relay.resume().await.map(|()| true),
            false => relay.read().await,
        };
        match read {
            Ok(true) => {}
            Ok(false) => {
                relay.finish();
                let rest = relay.events.as_mut().map(Events::rest).unwrap_or_default();
                relay.over = true;
                return (!rest.is_empty()).then(|| (Ok(Frame::data(rest)), relay));
            }
            Err(Broken) => {
                relay.call.end("broken", false);
                relay.over = true;
                return Some((Err(Broken), relay));
            }
        }
    }
}

impl Relay {
    /// Reads more of the answer; `false` at its end.
    async fn read(&mut self) -> Result<bool, Broken> {
        let Some(body) = &mut self.answer.rest else {
            return Ok(false);
        };
        let frame = std::pin::pin!(body.frame());
        match race_begun(frame, &mut self.call.orders).await {
            Ok(None) => Ok(false),
            Ok(Some(Ok(frame))) => {
                self.answer.data = frame.into_data().unwrap_or_default();
                Ok(true)
            }
            Ok(Some(Err(err))) => {
                let id = &self.call.ask.id;
                log::info!("event=stream-broken request={id} error=\"{err}\"");
                self.resume().await.map(|()| true)
            }
            Err(Tried::Expired) => Err(Broken),
            Err(_) => self.resume().await.map(|()| true),
        }
    }

    /// Continues the stream at another target, where its route allows that.
    async fn resume(&mut self) -> Result<(), Broken> {
        // The connection is of no further use, and the target must stop.
        self.answer.rest = None;
        self.answer.sender = None;
        let last = match &mut self.events {
            Some(events) => events.cut().map(str::to_owned),
            None => return Err(Broken),
        };
        loop {
            if !self.call.retry(Fault::Lost) {
                return Err(Broken);
            }
            let target = loop {
                match self.call.order().await {
                    Order::Send(target) => break target,
                    Order::Abandon => {}
                    Order::Refuse(..) | Order::Expire => return Err(Broken),
                }
            };
            match self.call.attempt(target, last.as_deref()).await {
                Tried::Answered(answer) if answer.head.status.is_success() => {
                    self.call.process.first(self.call.sequence);
                    self.answer = *answer;
                    return Ok(());
                }
                Tried::Answered(_) | Tried::Failed(_) => {}
                Tried::Expired => return Err(Broken),
            }
        }
    }

    /// Notes that the answer is complete.
    fn finish(&mut self) {
        if let Some(sender) = self.answer.sender.take() {
            let headers = &self.answer.head.headers;
            self.answer.connections.keep(sender, headers);
        }
        self.call.end("answered", true);
    }
}

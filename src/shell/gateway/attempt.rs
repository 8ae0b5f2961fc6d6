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
    process::Order, //
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
const MAX_HELD: usize = 256 << 10;

/// The longest body of a refusal that is read so that its connection can be used again, in bytes.
const MAX_REST: usize = 16 << 10;

/// The time that reading it may take.
const REST_LIMIT: Duration = Duration::from_millis(500);

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
    /// Sends the request to a target and waits for the beginning of an answer.
    pub(super) async fn attempt(&mut self, target: Target, resume: Option<&str>) -> Tried {
        let Some(listing) = self.process.open_target(target) else {
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
        let notice = platform::notice(head.status.as_u16(), &head.headers);
        match platform::verdict(head.status.as_u16(), &head.headers, &self.ask.id) {
            Verdict::Answer => self.process.heed(target, notice),
            // The answer belongs to no request that is known; ours may have run.
            Verdict::Foreign => return Tried::Failed(Fault::Lost),
            Verdict::Unrun => {
                self.process.heed(target, notice);
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
        // What there is no room for is passed on as it arrives.
        let mut holding = self.process.memory.reserve(0);
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
            let kept = holding
                .as_mut()
                .is_some_and(|held| held.grow(data.len() * GROWTH));
            if self.ask.stream && !data.is_empty() || data.len() > MAX_HELD || !kept {
                break false;
            }
        };
        let (rest, sender) = if ended {
            connections.keep(sender, &head.headers);
            (None, None)
        } else {
            (Some(body), Some(sender))
        };
        Tried::Answered(Box::new(Answer {
            head,
            data: match holding {
                Some(holding) => hold(data.freeze(), holding),
                None => data.freeze(),
            },
            rest,
            sender,
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
        let address = platform::Address {
            target,
            account: self.ask.account.as_deref(),
            left: self.left(),
            resume,
        };
        platform::address(headers, &address);
        request
    }
}

/// Awaits the beginning of an answer, unless the pool ends the attempt first.
async fn race<F: Future + Unpin>(
    work: F,
    orders: &mut UnboundedReceiver<Order>,
) -> Result<F::Output, Tried> {
    unless_ended(work, orders, true).await
}

/// Awaits more of an answer that has begun, unless the request's time ends first. That the target
/// should be abandoned for its silence was decided before it began.
pub(super) async fn race_begun<F: Future + Unpin>(
    work: F,
    orders: &mut UnboundedReceiver<Order>,
) -> Result<F::Output, Tried> {
    unless_ended(work, orders, false).await
}

async fn unless_ended<F: Future + Unpin>(
    mut work: F,
    orders: &mut UnboundedReceiver<Order>,
    may_abandon: bool,
) -> Result<F::Output, Tried> {
    loop {
        match select(work, orders.next()).await {
            Either::Left((done, _)) => return Ok(done),
            Either::Right((Some(Order::Abandon), _)) if may_abandon => {
                return Err(Tried::Failed(Fault::Lost));
            }
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
        let rest = Limited::new(body, MAX_REST).collect();
        if matches!(timeout(REST_LIMIT, rest).await, Ok(Ok(_))) {
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

    struct Stale {
        order: Order,
        begun: bool,
        goes_on: bool,
    }

    /// The load: a router that is late itself takes a target for silent whose answer has come.
    #[test]
    fn an_answer_that_has_begun_is_not_abandoned() {
        let cases = [
            Stale {
                order: Order::Abandon,
                begun: false,
                goes_on: false,
            },
            Stale {
                order: Order::Abandon,
                begun: true,
                goes_on: true,
            },
            Stale {
                order: Order::Expire,
                begun: true,
                goes_on: false,
            },
        ];
        let runtime = Runtime::new().expect("a runtime");
        for case in cases {
            let (sender, mut orders) = unbounded();
            sender.unbounded_send(case.order).expect("it is open");
            let goes_on = runtime.block_on(async {
                let read = std::pin::pin!(sleep(std::time::Duration::from_millis(5)));
                match case.begun {
                    true => race_begun(read, &mut orders).await.is_ok(),
                    false => race(read, &mut orders).await.is_ok(),
                }
            });
            assert_eq!(goes_on, case.goes_on, "{:?}", case.order);
        }
    }
}

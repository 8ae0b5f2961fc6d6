//! Answers on their way from a sidecar to a caller.

use super::{
    Event,
    Output,
    Reply,
    Router,
    request::Stage, //
};
use crate::{
    ids::{
        Sequence,
        Target,
        Time, //
    },
    wire::{
        AttemptId,
        Chunk,
        Message, //
    }, //
};

/// The unacknowledged bytes at which a sidecar is told what has arrived.
const ACK_BYTES: u64 = 64 << 10;

impl Router {
    /// Returns the request that an attempt belongs to, if it is the current one.
    pub(super) fn current(&self, target: Target, id: AttemptId) -> Option<Sequence> {
        let request = self.requests.get(&id.sequence)?;
        let Stage::Flying(flight) = &request.stage else {
            return None;
        };
        let link = self.links.get(&target)?;
        let same = flight.target == target && flight.incarnation == link.incarnation;
        (same && self.id_of(id.sequence, request) == id).then_some(id.sequence)
    }

    pub(super) fn part(&mut self, now: Time, target: Target, part: Chunk) {
        let Some(sequence) = self.current(target, part.id) else {
            return self.stray(target, &part);
        };
        let request = self
            .requests
            .get_mut(&sequence)
            .expect("the attempt is current");
        if let Some(head) = part.head.filter(|_| !request.started) {
            request.started = true;
            self.outs.push(Output::Reply(sequence, Reply::Head(head)));
        }
        let skip = request.received.saturating_sub(part.offset);
        let gap = part.offset > request.received || !request.started;
        if !gap && skip < part.data.len() as u64 {
            let data = part.data.slice(skip as usize..);
            request.received += data.len() as u64;
            self.outs.push(Output::Reply(sequence, Reply::Data(data)));
        }
        let offset = request.received;
        let ended = part.end.is_some();
        if let Some(end) = part.end.filter(|end| !gap && end.length == offset) {
            let took = now.saturating_sub(request.arrived).as_micros();
            self.outs.push(Output::Reply(sequence, Reply::End(end)));
            self.outs.push(Output::Log(Event::Done {
                id: part.id,
                bytes: offset,
                took,
            }));
            self.remove(sequence);
            self.note_done(target, part.id);
        } else if gap || ended {
            self.query(sequence);
        }
    }

    pub(super) fn note_done(&mut self, target: Target, id: AttemptId) {
        let done = self.done.entry(target).or_default();
        done.push((id.sequence, id.attempt));
    }

    /// Tells a sidecar what the caller has taken once it is much, so that a slow caller
    /// holds back its target and not this router's memory.
    pub(super) fn taken(&mut self, sequence: Sequence, bytes: u64) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.taken += bytes;
        let (attempt, offset) = (request.attempt, request.taken);
        let Stage::Flying(flight) = &mut request.stage else {
            return;
        };
        if offset - flight.acked >= ACK_BYTES {
            flight.acked = offset;
            let id = AttemptId {
                incarnation: self.settings.incarnation,
                sequence,
                attempt,
            };
            let message = Message::Ack { id, offset };
            self.outs.push(Output::Send(flight.target, message));
        }
    }

    /// Answers a part that no caller waits for, so that its sidecar can forget it.
    pub(super) fn stray(&mut self, target: Target, part: &Chunk) {
        if part.end.is_some() {
            self.note_done(target, part.id);
        }
    }

    pub(super) fn flush_done(&mut self) {
        let done = std::mem::take(&mut self.done);
        let sends = done
            .into_iter()
            .map(|(target, done)| Output::Send(target, Message::Done(done)));
        self.outs.extend(sends);
    }
}

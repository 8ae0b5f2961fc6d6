//! Forwarding of answers from sidecars to callers.

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

/// The number of bytes read by the caller, but not acknowledged, at which an acknowledgement
/// is sent to the sidecar.
const ACK_BYTES: u64 = 64 << 10;

impl Router {
    /// Returns the request of an attempt, if the attempt is its current one and the sidecar has
    /// not restarted since the dispatch.
    pub(super) fn current_request(&self, target: Target, id: AttemptId) -> Option<Sequence> {
        let request = self.requests.get(&id.sequence)?;
        let Stage::Dispatched(dispatched) = &request.stage else {
            return None;
        };
        let link = self.links.get(&target)?;
        let same = dispatched.target == target && dispatched.incarnation == link.incarnation;
        (same && self.attempt_id(id.sequence, request) == id).then_some(id.sequence)
    }

    /// Forwards the new bytes of a chunk to the caller, and queries the sidecar if bytes are
    /// missing.
    pub(super) fn accept_chunk(&mut self, now: Time, target: Target, chunk: Chunk) {
        let Some(sequence) = self.current_request(target, chunk.id) else {
            return self.discard_chunk(target, &chunk);
        };
        let request = self
            .requests
            .get_mut(&sequence)
            .expect("current_request() returned a known request");
        if let Some(head) = chunk.head.filter(|_| !request.started) {
            request.started = true;
            self.outputs
                .push(Output::Reply(sequence, Reply::Head(head)));
        }
        let skip = request.received.saturating_sub(chunk.offset);
        let missing = chunk.offset > request.received || !request.started;
        if !missing && skip < chunk.data.len() as u64 {
            let data = chunk.data.slice(skip as usize..);
            request.received += data.len() as u64;
            self.outputs
                .push(Output::Reply(sequence, Reply::Data(data)));
        }
        let offset = request.received;
        let ended = chunk.end.is_some();
        if let Some(end) = chunk.end.filter(|end| !missing && end.length == offset) {
            let took = now.saturating_sub(request.arrived).as_micros();
            self.outputs.push(Output::Reply(sequence, Reply::End(end)));
            self.outputs.push(Output::Log(Event::Done {
                id: chunk.id,
                bytes: offset,
                took,
            }));
            self.remove(sequence);
            self.record_done(target, chunk.id);
        } else if missing || ended {
            self.query(sequence);
        }
    }

    /// Records an attempt whose end has arrived, to be acknowledged to its sidecar.
    pub(super) fn record_done(&mut self, target: Target, id: AttemptId) {
        let done = self.done.entry(target).or_default();
        done.push((id.sequence, id.attempt));
    }

    /// Acknowledges to the sidecar what the caller has read, once at least [`ACK_BYTES`] are
    /// not yet acknowledged.
    ///
    /// This is the backpressure on the target: while a caller reads slowly, the sidecar pauses
    /// reading from the target, and the answer does not fill this router's memory.
    pub(super) fn record_consumed(&mut self, sequence: Sequence, bytes: u64) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.consumed += bytes;
        let (attempt, offset) = (request.attempt, request.consumed);
        let Stage::Dispatched(dispatched) = &mut request.stage else {
            return;
        };
        if offset - dispatched.acked >= ACK_BYTES {
            dispatched.acked = offset;
            let id = AttemptId {
                incarnation: self.settings.incarnation,
                sequence,
                attempt,
            };
            let message = Message::Ack { id, offset };
            self.outputs.push(Output::Send(dispatched.target, message));
        }
    }

    /// Drops a chunk that no caller waits for. Its end is acknowledged, so that the sidecar can
    /// drop the answer.
    pub(super) fn discard_chunk(&mut self, target: Target, chunk: &Chunk) {
        if chunk.end.is_some() {
            self.record_done(target, chunk.id);
        }
    }

    /// Sends the acknowledgements of complete answers to the sidecars.
    pub(super) fn flush_done(&mut self) {
        let done = std::mem::take(&mut self.done);
        let sends = done
            .into_iter()
            .map(|(target, done)| Output::Send(target, Message::Done(done)));
        self.outputs.extend(sends);
    }
}

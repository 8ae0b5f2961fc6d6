//! The part of an answer that its router has not yet acknowledged.

use std::{
    collections::VecDeque,
    rc::Rc, //
};

use bytes::Bytes;

use crate::wire::{
    AttemptId,
    Chunk,
    End,
    Head, //
};

/// The number of unacknowledged bytes above which reading from the target pauses.
const MAX_UNACKED_BYTES: u64 = 256 << 10;

/// An answer that can be sent again from the last position that its router received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    head: Option<Rc<Head>>,
    chunks: VecDeque<Bytes>,
    /// The position in the body of the first byte that is still kept.
    base: u64,
    /// The number of body bytes received from the target.
    length: u64,
    end: Option<Rc<End>>,
}

impl Answer {
    /// Appends a piece that the target sent and returns it as a chunk for the router.
    pub fn push(
        &mut self,
        id: AttemptId,
        head: Option<Head>,
        data: Bytes,
        end: Option<End>,
    ) -> Chunk {
        let offset = self.length;
        let head = head.map(Rc::new);
        let end = end.map(Rc::new);
        self.length += data.len() as u64;
        if head.is_some() {
            self.head.clone_from(&head);
        }
        if end.is_some() {
            self.end.clone_from(&end);
        }
        if !data.is_empty() {
            self.chunks.push_back(data.clone());
        }
        Chunk {
            id,
            offset,
            head,
            data,
            end,
        }
    }

    /// Returns the chunks from `offset` on, or `None` where the bytes at `offset` have been
    /// dropped or not yet been received.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use redwingyard::{sidecar::Answer, wire::AttemptId};
    /// let id = AttemptId { incarnation: 1, sequence: 1, attempt: 1 };
    /// let mut answer = Answer::default();
    /// answer.push(id, None, Bytes::from_static(b"abcdef"), None);
    /// let chunks = answer.resume(id, 4).unwrap();
    /// assert_eq!(chunks[0].data, "ef");
    /// ```
    pub fn resume(&self, id: AttemptId, offset: u64) -> Option<Vec<Chunk>> {
        if offset < self.base || offset > self.length {
            return None;
        }
        let mut chunks = Vec::new();
        if self.head.is_some() {
            chunks.push(Chunk {
                id,
                offset,
                head: self.head.clone(),
                data: Bytes::new(),
                end: None,
            });
        }
        let mut at = self.base;
        for chunk in &self.chunks {
            let skip = offset.saturating_sub(at).min(chunk.len() as u64);
            at += chunk.len() as u64;
            if skip < chunk.len() as u64 {
                chunks.push(Chunk {
                    id,
                    offset: at - (chunk.len() as u64 - skip),
                    head: None,
                    data: chunk.slice(skip as usize..),
                    end: None,
                });
            }
        }
        if let Some(end) = &self.end {
            chunks.push(Chunk {
                id,
                offset: self.length,
                head: None,
                data: Bytes::new(),
                end: Some(end.clone()),
            });
        }
        Some(chunks)
    }

    /// Drops the chunks that the router has received whole.
    pub fn ack(&mut self, offset: u64) {
        while let Some(chunk) = self.chunks.front() {
            if self.base + chunk.len() as u64 > offset {
                break;
            }
            self.base += chunk.len() as u64;
            self.chunks.pop_front();
        }
    }

    /// Drops the whole body, because the router has received all of it.
    pub fn discard(&mut self) {
        self.base = self.length;
        self.chunks.clear();
    }

    /// Returns whether reading from the target should pause.
    pub fn is_full(&self) -> bool {
        self.length - self.base > MAX_UNACKED_BYTES
    }

    /// Returns the number of body bytes that the router has not acknowledged.
    pub fn unacked_bytes(&self) -> u64 {
        self.length - self.base
    }

    /// Returns the body, or `None` where some of it has been dropped.
    pub fn full_body(&self) -> Option<Vec<u8>> {
        (self.base == 0).then(|| self.chunks.iter().flatten().copied().collect())
    }

    /// Returns the status and header fields.
    pub fn head(&self) -> Option<&Rc<Head>> {
        self.head.as_ref()
    }
}

//! The part of an answer that a router has not yet acknowledged.

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

/// The unacknowledged bytes at which reading from the target pauses.
const WINDOW: u64 = 256 << 10;

/// An answer that can be sent again from where its router lost it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    head: Option<Rc<Head>>,
    chunks: VecDeque<Bytes>,
    base: u64,
    length: u64,
    end: Option<Rc<End>>,
}

impl Answer {
    /// Takes in what the target sent and returns it as a part.
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

    /// Returns the parts from `offset` on; none where those bytes are gone.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use redwingyard::{sidecar::Answer, wire::AttemptId};
    /// let id = AttemptId { incarnation: 1, sequence: 1, attempt: 1 };
    /// let mut answer = Answer::default();
    /// answer.push(id, None, Bytes::from_static(b"abcdef"), None);
    /// let parts = answer.resume(id, 4).unwrap();
    /// assert_eq!(parts[0].data, "ef");
    /// ```
    pub fn resume(&self, id: AttemptId, offset: u64) -> Option<Vec<Chunk>> {
        if offset < self.base || offset > self.length {
            return None;
        }
        let mut parts = Vec::new();
        if self.head.is_some() {
            parts.push(Chunk {
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
                parts.push(Chunk {
                    id,
                    offset: at - (chunk.len() as u64 - skip),
                    head: None,
                    data: chunk.slice(skip as usize..),
                    end: None,
                });
            }
        }
        if let Some(end) = &self.end {
            parts.push(Chunk {
                id,
                offset: self.length,
                head: None,
                data: Bytes::new(),
                end: Some(end.clone()),
            });
        }
        Some(parts)
    }

    /// Drops what the router has received.
    pub fn ack(&mut self, offset: u64) {
        while let Some(chunk) = self.chunks.front() {
            if self.base + chunk.len() as u64 > offset {
                break;
            }
            self.base += chunk.len() as u64;
            self.chunks.pop_front();
        }
    }

    /// Drops all, since the router has the whole answer.
    pub fn finish(&mut self) {
        self.base = self.length;
        self.chunks.clear();
    }

    /// Returns whether reading from the target should pause.
    pub fn is_full(&self) -> bool {
        self.length - self.base > WINDOW
    }

    /// Returns the bytes that are kept.
    pub fn size(&self) -> u64 {
        self.length - self.base
    }

    /// Returns the body where all of it is still kept.
    pub fn whole(&self) -> Option<Vec<u8>> {
        (self.base == 0).then(|| self.chunks.iter().flatten().copied().collect())
    }

    /// Returns the status and header fields.
    pub fn head(&self) -> Option<&Rc<Head>> {
        self.head.as_ref()
    }
}

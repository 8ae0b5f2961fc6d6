//! The request of a caller's connection that has no complete answer yet.

use std::cell::RefCell;

use derive_more::Display;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its head was read.
    #[display("read")]
    Read,
    /// It was read whole and waits in the pool's queue.
    #[display("queued")]
    Queued,
    /// It was sent to a target.
    #[display("sent")]
    Sent,
    /// Its answer has begun.
    #[display("answering")]
    Answering,
}

/// A request without a complete answer.
#[derive(Clone, Debug)]
pub(super) struct Unanswered {
    /// The caller's id for the request.
    pub(super) request: String,
    pub(super) stage: Stage,
    /// Whether the whole answer was passed to the connection, which may not have written it yet.
    passed: bool,
}

/// Follows the requests of one connection, of which at most one is unanswered.
#[derive(Debug, Default)]
pub(super) struct Exchange(RefCell<Option<Unanswered>>);

impl Exchange {
    /// Records that the head of a request was read.
    pub(super) fn begin(&self, request: &str) {
        *self.0.borrow_mut() = Some(Unanswered {
            request: request.to_owned(),
            stage: Stage::Read,
            passed: false,
        });
    }

    /// Records that the request has reached a stage.
    pub(super) fn advance(&self, stage: Stage) {
        if let Some(unanswered) = self.0.borrow_mut().as_mut() {
            unanswered.stage = stage;
        }
    }

    /// Records that the whole answer was passed to the connection.
    pub(super) fn pass_answer(&self) {
        if let Some(unanswered) = self.0.borrow_mut().as_mut() {
            unanswered.passed = true;
        }
    }

    /// Records that all that was passed to the connection is written, and returns whether that ends a
    /// request.
    pub(super) fn flushed(&self) -> bool {
        let mut unanswered = self.0.borrow_mut();
        unanswered.take_if(|unanswered| unanswered.passed).is_some()
    }

    /// Returns the id of the request that has no complete answer; empty if there is none.
    pub(super) fn request(&self) -> String {
        let unanswered = self.0.borrow();
        let request = unanswered.as_ref().map(|unanswered| &unanswered.request);
        request.cloned().unwrap_or_default()
    }

    /// Returns whether a request has no complete answer.
    pub(super) fn is_unanswered(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Takes the request that has no complete answer, if there is one.
    pub(super) fn take(&self) -> Option<Unanswered> {
        self.0.borrow_mut().take()
    }
}

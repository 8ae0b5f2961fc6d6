//! What is known of the caller of a connection: whether it is still there.

use super::stream::LastEmpty;
use crate::ids::Time;

/// Tells since when it is not known whether the caller of a connection is still there.
#[derive(Clone, Debug)]
pub(super) struct Presence {
    last_empty: LastEmpty,
}

impl Presence {
    /// Returns the presence of the caller whose connection records its reads in `last_empty`.
    pub(super) fn new(last_empty: LastEmpty) -> Self {
        Self { last_empty }
    }

    /// Returns the last time at which the caller is known to have been there.
    pub(super) fn seen(&self) -> Time {
        self.last_empty.at()
    }
}

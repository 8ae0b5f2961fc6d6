//! Panics: each is logged and counted, and ends no more than the work that led to it.

use std::{
    panic::{
        self,
        AssertUnwindSafe, //
    },
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use compio::time::sleep;
use futures_util::FutureExt;

/// The pause before a task that has panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// The number of panics since the start of the process.
static PANICS: AtomicU64 = AtomicU64::new(0);

/// Logs and counts each panic from now on, in place of the message on the standard error.
pub fn log_panics() {
    panic::set_hook(Box::new(|info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        log::error!("event=panic detail={:?}", info.to_string());
    }));
}

/// Returns the number of panics that were logged since the start of the process.
pub(super) fn count() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Awaits some work; returns `None` if it panics.
///
/// State that the work has borrowed is free again, but may have been changed in part.
pub(super) async fn catch<T>(work: impl Future<Output = T>) -> Option<T> {
    AssertUnwindSafe(work).catch_unwind().await.ok()
}

/// Runs a task that a process can't do without, and starts it again whenever it panics.
pub(super) async fn restart_on_panic<F: Future<Output = ()>>(start: impl Fn() -> F) {
    while catch(start()).await.is_none() {
        sleep(RESTART_PAUSE).await;
    }
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use compio::runtime::Runtime;

    use super::*;

    /// Guards against a process that goes on without one of its tasks.
    #[test]
    fn a_task_that_panics_is_started_again() {
        let starts = Cell::new(0);
        let task = || async {
            starts.set(starts.get() + 1);
            assert!(starts.get() > 2, "the first two starts panic");
        };
        let runtime = Runtime::new().expect("a runtime starts");
        runtime.block_on(restart_on_panic(task));
        assert_eq!(starts.get(), 3);
    }
}

//! Reading the store: the rules in force and the targets that are registered.

use std::{
    rc::Rc,
    time::Duration, //
};

use compio::time::sleep;

use super::process::Process;
use crate::{
    ids::Time,
    platform::{
        Store,
        Update, //
    }, //
};

/// The time that a watch waits for changes. Its end confirms what is known as of its beginning,
/// so two of them, with one that is lost, stay within the time for which keys are trusted.
const WATCH_TIME: Duration = Duration::from_millis(1_400);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Keeps the rules and the targets as new as the store has them.
pub(super) async fn watch(process: Rc<Process>) {
    let mut store = Store::new(process.settings.store);
    let mut failing = false;
    loop {
        let begun = process.clock.now();
        match store.next(WATCH_TIME).await {
            Ok(update) => {
                if failing {
                    log::info!("event=store-regained");
                }
                take(&process, begun, update, failing);
                failing = false;
            }
            Err(err) => {
                if !failing {
                    log::warn!("event=store-lost error=\"{err}\"");
                }
                failing = true;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn take(process: &Process, begun: Time, update: Update, restored: bool) {
    if let Some(rules) = update.rules {
        process.adopt(rules);
    }
    process.confirm(begun);
    if let Some(targets) = update.targets {
        process.list(targets, restored);
    }
}

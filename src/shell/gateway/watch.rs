//! Reading the store: the rules in force and the targets that are registered.

use std::{
    rc::Rc,
    time::Duration, //
};

use compio::time::sleep;

use super::process::Process;
use crate::platform::{
    Store,
    StoreError, //
};

/// The interval of the reads: with one lost read, a change is still in force within two
/// seconds.
const READ_INTERVAL: Duration = Duration::from_millis(800);

/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Keeps the rules and the targets as new as the store has them.
pub(super) async fn watch(process: Rc<Process>) {
    let mut store = Store::new(process.settings.store);
    let mut failing = false;
    loop {
        let pause = match read(&process, &mut store, failing).await {
            Ok(()) => {
                if failing {
                    log::info!("event=store-regained");
                }
                failing = false;
                READ_INTERVAL
            }
            Err(err) => {
                if !failing {
                    log::warn!("event=store-lost error=\"{err}\"");
                }
                failing = true;
                RETRY_PAUSE
            }
        };
        sleep(pause).await;
    }
}

async fn read(process: &Process, store: &mut Store, failing: bool) -> Result<(), StoreError> {
    let begun = process.clock.now();
    if let Some(rules) = store.rules().await? {
        process.adopt(rules);
    }
    process.confirm(begun);
    let list = store.targets().await?;
    process.list(list, failing);
    Ok(())
}

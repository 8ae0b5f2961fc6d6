//! Following the store: the rules in force and the targets that are registered.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::Duration, //
};

use compio::{
    runtime::Runtime,
    time::sleep, //
};
use derive_more::Display;
use futures_channel::oneshot;
use futures_util::future::{
    Either,
    join,
    select, //
};

use super::store_state::StoreState;
use crate::{
    ids::Time,
    platform::{
        Store,
        StoreError,
        Update, //
    },
    shell::Clock, //
};

/// The time that a watch waits for changes: the longest that the platform allows is 30 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// The pause after changes: those that come together cost one call.
const BATCH_PAUSE: Duration = Duration::from_millis(150);

/// The absence of the store from which on entries may have lapsed meanwhile: less than the silence
/// of two heartbeats. After a shorter one, what is missing is gone.
const MIN_LAPSE_OUTAGE: Duration = Duration::from_millis(1_500);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The age of what is known at which the first gateway of a group asks the store for its newest
/// revision: with a lost call, keys are still trusted.
const CONFIRM_AGE: Duration = Duration::from_millis(1_000);

/// How much later each further gateway of the group asks, if it was not told by then: two rounds
/// of a small group's exchange.
const RANK_DELAY: Duration = Duration::from_millis(250);

/// The rank beyond which gateways ask no later, so that keys stay trusted.
const MAX_RANK: u32 = 6;

/// The interval at which is looked whether changes are late.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which a call is looked after that may be given up.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a watch is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
enum CancelCause {
    /// Others know of changes that have not arrived.
    #[display("late")]
    Late,
    /// The store can't be asked.
    #[display("lost")]
    Lost,
}

/// A reader of the store that tells an inbox what it finds.
struct StoreReader {
    address: SocketAddr,
    state: Arc<StoreState>,
    clock: Clock,
    /// Whether the last call of the watch succeeded, if there was any.
    connected: Cell<Option<bool>>,
    cancel_cause: Cell<Option<CancelCause>>,
    /// When the last call that succeeded was begun.
    last_success: Cell<Time>,
}

/// Follows a store on a thread of its own until the returned sender is dropped.
pub(super) fn spawn_reader(
    address: SocketAddr,
    state: Arc<StoreState>,
    clock: Clock,
) -> io::Result<oneshot::Sender<()>> {
    let (stop, stopped) = oneshot::channel::<()>();
    let reader = StoreReader {
        address,
        state,
        clock,
        connected: Cell::new(None),
        cancel_cause: Cell::new(None),
        last_success: Cell::new(Duration::ZERO),
    };
    let run = move || {
        let runtime = match Runtime::new() {
            Ok(runtime) => runtime,
            Err(err) => return log::error!("event=store-lost error=\"{err}\""),
        };
        runtime.block_on(async {
            let work = std::pin::pin!(join(reader.watch(), reader.confirm()));
            select(work, stopped).await;
        });
    };
    thread::Builder::new().name("store".to_owned()).spawn(run)?;
    Ok(stop)
}

impl StoreReader {
    /// Keeps the rules and the targets as new as the store has them.
    async fn watch(&self) {
        let mut store = Store::new(self.address);
        loop {
            let begun = self.clock.now();
            let read = match store.is_whole() {
                true => self.unless_cancelled(store.next(WATCH_TIMEOUT)).await,
                false => Ok(store.next(WATCH_TIMEOUT).await),
            };
            match read {
                Ok(Ok(update)) => {
                    let lost = self.connected.replace(Some(true)) == Some(false);
                    let outage = begun.saturating_sub(self.last_success.replace(begun));
                    if lost {
                        let (revision, away_ms) = (update.revision, outage.as_millis());
                        log::info!("event=store-regained revision={revision} away_ms={away_ms}");
                    }
                    let restored = lost && outage >= MIN_LAPSE_OUTAGE;
                    let changed = update.rules.is_some() || update.targets.is_some();
                    let now = self.clock.now();
                    self.state.publish(now, update, begun, restored);
                    if changed {
                        sleep(BATCH_PAUSE).await;
                    }
                }
                Ok(Err(err)) => {
                    if self.connected.replace(Some(false)) != Some(false) {
                        log::warn!("event=store-lost error=\"{err}\"");
                    }
                    sleep(RETRY_PAUSE).await;
                }
                Err(cancel_cause) => {
                    let age = self.rules_age().map_or(-1, |age| age.as_millis() as i64);
                    log::warn!("event=watch-doubted cause={cancel_cause} rules_age_ms={age}");
                    if cancel_cause == CancelCause::Lost {
                        self.connected.set(Some(false));
                    }
                    store.reset();
                }
            }
        }
    }

    /// Awaits a watch, unless it is doubted.
    async fn unless_cancelled(
        &self,
        watch: impl Future<Output = Result<Update, StoreError>>,
    ) -> Result<Result<Update, StoreError>, CancelCause> {
        self.cancel_cause.set(None);
        let watch = std::pin::pin!(watch);
        let cancelled = std::pin::pin!(async {
            loop {
                sleep(MIN_CHECK_INTERVAL).await;
                if let Some(cancel_cause) = self.cancel_cause.take() {
                    return cancel_cause;
                }
            }
        });
        match select(watch, cancelled).await {
            Either::Left((read, _)) => Ok(read),
            Either::Right((cancel_cause, _)) => Err(cancel_cause),
        }
    }

    /// Asks the store for its newest revision when nobody else has done so for a while, and says
    /// when the watch can't be relied on.
    async fn confirm(&self) {
        let mut store = Store::new(self.address);
        loop {
            let limit = CONFIRM_AGE + RANK_DELAY * self.state.rank().min(MAX_RANK);
            let age = self.rules_age().unwrap_or_default();
            let left = limit.saturating_sub(age);
            sleep(left.clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)).await;
            if self.state.freshness().take_overdue(self.clock.now()) {
                self.cancel_cause.set(Some(CancelCause::Late));
            }
            // While the store is lost, the watch reads it whole as soon as it can.
            let is_recent = self.rules_age().is_some_and(|age| age < limit);
            if is_recent || self.connected.get() != Some(true) {
                continue;
            }
            let begun = self.clock.now();
            match store.newest().await {
                Ok(newest) => {
                    self.last_success.set(begun);
                    self.state.observe_newest(self.clock.now(), newest, begun);
                }
                Err(err) => {
                    log::warn!("event=confirm-failed error=\"{err}\"");
                    self.cancel_cause.set(Some(CancelCause::Lost));
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns how long ago the rules were the newest, if they ever were.
    fn rules_age(&self) -> Option<Duration> {
        let confirmed = self.state.freshness().confirmed();
        confirmed.map(|(_, at)| self.clock.now().saturating_sub(at))
    }
}

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

use super::inbox::Inbox;
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
const WATCH_TIME: Duration = Duration::from_secs(25);

/// The pause after changes: those that come together cost one call.
const GATHER_TIME: Duration = Duration::from_millis(150);

/// The absence of the store from which on entries may have lapsed meanwhile: less than the silence
/// of two heartbeats. After a shorter one, what is missing is gone.
const LAPSE_TIME: Duration = Duration::from_millis(1_500);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The age of what is known at which the first gateway of a group asks the store for its newest
/// revision: with a lost call, keys are still trusted.
const ASK_AGE: Duration = Duration::from_millis(1_000);

/// How much later each further gateway of the group asks, if it was not told by then: two rounds
/// of a small group's exchange.
const RANK_TIME: Duration = Duration::from_millis(250);

/// The rank beyond which gateways ask no later, so that keys stay trusted.
const MOST_RANK: u32 = 6;

/// The interval at which is looked whether changes are late.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which a call is looked after that may be given up.
const DOUBT_INTERVAL: Duration = Duration::from_millis(100);

/// Why a watch is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
enum Doubt {
    /// Others know of changes that have not arrived.
    #[display("late")]
    Late,
    /// The store can't be asked.
    #[display("lost")]
    Lost,
}

/// A reader of the store that tells an inbox what it finds.
struct Reader {
    address: SocketAddr,
    inbox: Arc<Inbox>,
    clock: Clock,
    /// Whether the last call of the watch succeeded, if there was any.
    reading: Cell<Option<bool>>,
    doubt: Cell<Option<Doubt>>,
    /// When the last call that succeeded was begun.
    answered: Cell<Time>,
}

/// Follows a store on a thread of its own until the returned sender is dropped.
pub(super) fn follow(
    address: SocketAddr,
    inbox: Arc<Inbox>,
    clock: Clock,
) -> io::Result<oneshot::Sender<()>> {
    let (stop, stopped) = oneshot::channel::<()>();
    let reader = Reader {
        address,
        inbox,
        clock,
        reading: Cell::new(None),
        doubt: Cell::new(None),
        answered: Cell::new(Duration::ZERO),
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

impl Reader {
    /// Keeps the rules and the targets as new as the store has them.
    async fn watch(&self) {
        let mut store = Store::new(self.address);
        loop {
            let begun = self.clock.now();
            let read = match store.is_whole() {
                true => self.unless_doubted(store.next(WATCH_TIME)).await,
                false => Ok(store.next(WATCH_TIME).await),
            };
            match read {
                Ok(Ok(update)) => {
                    let lost = self.reading.replace(Some(true)) == Some(false);
                    let away = begun.saturating_sub(self.answered.replace(begun));
                    if lost {
                        let (revision, away_ms) = (update.revision, away.as_millis());
                        log::info!("event=store-regained revision={revision} away_ms={away_ms}");
                    }
                    let restored = lost && away >= LAPSE_TIME;
                    let changed = update.rules.is_some() || update.targets.is_some();
                    let now = self.clock.now();
                    self.inbox.put(now, update, begun, restored);
                    if changed {
                        sleep(GATHER_TIME).await;
                    }
                }
                Ok(Err(err)) => {
                    if self.reading.replace(Some(false)) != Some(false) {
                        log::warn!("event=store-lost error=\"{err}\"");
                    }
                    sleep(RETRY_PAUSE).await;
                }
                Err(doubt) => {
                    let age = self.age().map_or(-1, |age| age.as_millis() as i64);
                    log::warn!("event=watch-doubted cause={doubt} rules_age_ms={age}");
                    if doubt == Doubt::Lost {
                        self.reading.set(Some(false));
                    }
                    store.reset();
                }
            }
        }
    }

    /// Awaits a watch, unless it is doubted.
    async fn unless_doubted(
        &self,
        watch: impl Future<Output = Result<Update, StoreError>>,
    ) -> Result<Result<Update, StoreError>, Doubt> {
        self.doubt.set(None);
        let watch = std::pin::pin!(watch);
        let doubted = std::pin::pin!(async {
            loop {
                sleep(DOUBT_INTERVAL).await;
                if let Some(doubt) = self.doubt.take() {
                    return doubt;
                }
            }
        });
        match select(watch, doubted).await {
            Either::Left((read, _)) => Ok(read),
            Either::Right((doubt, _)) => Err(doubt),
        }
    }

    /// Asks the store for its newest revision when nobody else has done so for a while, and says
    /// when the watch can't be relied on.
    async fn confirm(&self) {
        let mut store = Store::new(self.address);
        loop {
            let limit = ASK_AGE + RANK_TIME * self.inbox.rank().min(MOST_RANK);
            let age = self.age().unwrap_or_default();
            let left = limit.saturating_sub(age);
            sleep(left.clamp(DOUBT_INTERVAL, LOOK_INTERVAL)).await;
            if self.inbox.belief().is_late(self.clock.now()) {
                self.doubt.set(Some(Doubt::Late));
            }
            // While the store is lost, the watch reads it whole as soon as it can.
            let is_new = self.age().is_some_and(|age| age < limit);
            if is_new || self.reading.get() != Some(true) {
                continue;
            }
            let begun = self.clock.now();
            match store.newest().await {
                Ok(newest) => {
                    self.answered.set(begun);
                    self.inbox.hear(self.clock.now(), newest, begun);
                }
                Err(err) => {
                    log::warn!("event=confirm-failed error=\"{err}\"");
                    self.doubt.set(Some(Doubt::Lost));
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns how long ago the rules were the newest, if they ever were.
    fn age(&self) -> Option<Duration> {
        let confirmed = self.inbox.belief().confirmed();
        confirmed.map(|(_, at)| self.clock.now().saturating_sub(at))
    }
}

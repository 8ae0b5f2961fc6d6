//! Reads the store on a thread of its own: watches the rules in force and the registered targets,
//! and confirms how new they are.

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
    ids::{
        Position,
        Time, //
    },
    platform::{
        ConfigItem,
        Registry,
        Step,
        Store,
        StoreError, //
    },
    shell::{
        Clock,
        panics, //
    }, //
};

/// The time that a watch call waits for changes; the platform allows at most 30 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// The pause after a change, so that changes in quick succession are read with one call.
const BATCH_PAUSE: Duration = Duration::from_millis(150);

/// The number of gateways up to which [`BATCH_PAUSE`] applies as it is.
const SMALL_FLEET: u32 = 4;

/// What each further gateway of a fleet adds to [`BATCH_PAUSE`], up to [`MAX_BATCH_PAUSE`]: every
/// gateway asks for each change, and the store bears so many calls of all together.
const GATEWAY_PAUSE: Duration = Duration::from_millis(8);

/// The longest pause after a change: a small part of the time in which a change must be in force.
const MAX_BATCH_PAUSE: Duration = Duration::from_millis(400);

/// The time over which the gateways of a fleet spread their reads of all targets, for each gateway.
const SPREAD_TIME: Duration = Duration::from_micros(2_500);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The age of the last confirmation at which the first gateway of a group asks the store for its
/// newest revision: early enough that keys are still trusted if that call is lost.
const CONFIRM_AGE: Duration = Duration::from_millis(1_000);

/// How much later each further gateway of the group asks, unless gossip has confirmed the rules by
/// then: two gossip rounds of a small group.
const RANK_DELAY: Duration = Duration::from_millis(250);

/// The rank beyond which the delay does not grow, so that keys stay trusted.
const MAX_RANK: u32 = 6;

/// How long before the rules count as overdue the store is asked at the latest: the time that a call
/// may take.
const CONFIRM_MARGIN: Duration = Duration::from_millis(600);

/// The longest interval at which [`StoreReader::confirm`] checks whether changes are overdue.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The shortest interval of the same check, and the interval at which a watch call checks whether
/// it is cancelled.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a watch call is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
enum CancelCause {
    /// Other sources know of a newer revision, and its changes have not arrived in time.
    #[display("late")]
    Late,
    /// Asking the store for its newest revision failed.
    #[display("lost")]
    Lost,
}

/// Reads the store and publishes what it finds to the shared state.
struct StoreReader {
    address: SocketAddr,
    state: Arc<StoreState>,
    clock: Clock,
    /// The time within which a change of the rules must be in force, if there is a limit.
    apply_limit: Option<Duration>,
    /// Whether the last call of the watch succeeded, or `None` before the first one.
    connected: Cell<Option<bool>>,
    /// Set to cancel the watch call that is under way.
    cancel_cause: Cell<Option<CancelCause>>,
    /// When the call of the watch that is under way was begun.
    call_begun: Cell<Time>,
    /// When the read that is under way was begun.
    read_begun: Cell<Time>,
    /// Whether other gateways may begin to read everything at the same time as this one.
    spread: Cell<bool>,
    /// The number of entries in the last list of targets that name no target.
    odd: Cell<usize>,
    /// The number of fields in that list that can't be used as written.
    odd_fields: Cell<usize>,
}

/// Reads the store on a thread of its own until the returned sender is dropped.
pub(super) fn spawn_reader(
    address: SocketAddr,
    state: Arc<StoreState>,
    clock: Clock,
    apply_limit: Option<Duration>,
) -> io::Result<oneshot::Sender<()>> {
    let (stop, stopped) = oneshot::channel::<()>();
    let reader = StoreReader {
        address,
        state,
        clock,
        apply_limit,
        connected: Cell::new(None),
        cancel_cause: Cell::new(None),
        call_begun: Cell::new(Duration::ZERO),
        read_begun: Cell::new(Duration::ZERO),
        spread: Cell::new(false),
        odd: Cell::new(0),
        odd_fields: Cell::new(0),
    };
    let run = move || {
        let runtime = match Runtime::new() {
            Ok(runtime) => runtime,
            Err(err) => return log::error!("event=store-lost error=\"{err}\""),
        };
        runtime.block_on(async {
            let work = panics::restart_on_panic(|| async {
                join(reader.watch(), reader.confirm()).await;
            });
            select(std::pin::pin!(work), stopped).await;
        });
    };
    thread::Builder::new().name("store".to_owned()).spawn(run)?;
    Ok(stop)
}

impl StoreReader {
    /// Hands on every change of the rules and the targets.
    async fn watch(&self) {
        let mut store = Store::new(self.address);
        loop {
            let begun = self.clock.now();
            let is_new = !store.has_connection();
            self.call_begun.set(begun);
            if !store.is_reading() {
                self.read_begun.set(begun);
            }
            let read = match store.is_synced() {
                true => self.unless_cancelled(store.next(WATCH_TIMEOUT)).await,
                false => Ok(store.next(WATCH_TIMEOUT).await),
            };
            match read {
                Ok(Ok(step)) => self.take(step).await,
                Ok(Err(err)) => {
                    self.record_failure(is_new);
                    if self.set_connected(false) != Some(false) {
                        log::warn!("event=store-lost error=\"{err}\"");
                    }
                    self.spread.set(true);
                    sleep(RETRY_PAUSE).await;
                }
                Err(cancel_cause) => {
                    let age = self.rules_age().map_or(-1, |age| age.as_millis() as i64);
                    log::warn!("event=watch-doubted cause={cancel_cause} rules_age_ms={age}");
                    if cancel_cause == CancelCause::Lost {
                        self.set_connected(false);
                    }
                    store.reset();
                }
            }
        }
    }

    /// Hands on what a call has returned.
    async fn take(&self, step: Step) {
        let begun = self.call_begun.get();
        self.state.replica().outage().record_answer(begun);
        match step {
            Step::Operator { config, evacuated } => {
                if let Some(config) = config {
                    self.put_config(&config);
                }
                if let Some((position, domains)) = evacuated {
                    self.state.replica().put_evacuated(position, domains);
                    if self.spread.take() {
                        sleep(self.spread_time()).await;
                    }
                }
            }
            Step::Page => {}
            Step::Listed { position, targets } => {
                let restored = self.regain(position);
                self.put_targets(position, targets, restored);
                self.advance(position);
                sleep(batch_pause(self.state.gateways())).await;
            }
            Step::Changed {
                position,
                configs,
                targets,
                evacuated,
            } => {
                self.state.replica().put_evacuated(position, evacuated);
                let changed = !configs.is_empty() || targets.is_some();
                for config in &configs {
                    self.put_config(config);
                }
                let restored = self.regain(position);
                if let Some(targets) = targets {
                    self.put_targets(position, targets, restored);
                }
                self.advance(position);
                if changed {
                    sleep(batch_pause(self.state.gateways())).await;
                }
            }
            Step::HistoryLost => {
                log::info!("event=store-history-lost");
                self.spread.set(true);
            }
        }
    }

    fn put_config(&self, config: &ConfigItem) {
        if let Err(err) = self.state.put_config(config) {
            let position = config.position;
            log::error!("event=config-refused {position} error=\"{err}\"");
        }
    }

    /// Returns a random pause before the targets are read, so that the gateways of a fleet that lose
    /// the same call do not read all targets at once.
    fn spread_time(&self) -> Duration {
        SPREAD_TIME.mul_f64(fastrand::f64() * f64::from(self.state.gateways()))
    }

    /// Hands on the registered targets, and logs when the number of odd entries changes.
    fn put_targets(&self, position: Position, registry: Registry, restored: bool) {
        if self.odd.replace(registry.odd) != registry.odd {
            let (targets, odd) = (registry.targets.len(), registry.odd);
            log::warn!("event=odd-entries odd={odd} targets={targets}");
        }
        if self.odd_fields.replace(registry.odd_fields) != registry.odd_fields {
            log::warn!("event=odd-fields odd={}", registry.odd_fields);
        }
        let mut replica = self.state.replica();
        replica.put_targets(position, registry, restored);
    }

    /// Records that the changes up to a position were handed on.
    fn advance(&self, position: Position) {
        let (now, begun) = (self.clock.now(), self.read_begun.get());
        self.state.replica().advance(now, position, begun);
    }

    /// Records whether the last call of the watch succeeded, and returns what it was before.
    fn set_connected(&self, connected: bool) -> Option<bool> {
        self.state.set_reachable(connected);
        self.connected.replace(Some(connected))
    }

    /// Records that a call has failed, on a new connection or on one that may have gone silent.
    fn record_failure(&self, is_new: bool) {
        if is_new {
            self.state.replica().outage().record_refusal();
        }
    }

    /// Records that a read has succeeded. Returns whether it is the first one after an outage in
    /// which entries may have lapsed.
    fn regain(&self, position: Position) -> bool {
        let lost = self.set_connected(true) == Some(false);
        let outage = self.state.replica().outage().end();
        let lapsed = lost && outage.may_have_lapsed();
        if lost {
            let (away_ms, refused) = (outage.longest().as_millis(), outage.is_refused());
            log::info!(
                "event=store-regained {position} away_ms={away_ms} refused={refused} lapsed={lapsed}"
            );
        }
        lapsed
    }

    /// Awaits a watch call, unless it is cancelled first.
    async fn unless_cancelled(
        &self,
        watch: impl Future<Output = Result<Step, StoreError>>,
    ) -> Result<Result<Step, StoreError>, CancelCause> {
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

    /// Asks the store for its newest position when the last confirmation of the rules is older than
    /// [`CONFIRM_AGE`] plus [`RANK_DELAY`] for each rank up to [`MAX_RANK`], or is overdue within
    /// [`CONFIRM_MARGIN`]. Cancels the watch call when changes are overdue or the store does not answer.
    async fn confirm(&self) {
        let mut store = Store::new(self.address);
        loop {
            let limit = CONFIRM_AGE + RANK_DELAY * self.state.rank().min(MAX_RANK);
            let latest = self.apply_limit.unwrap_or(Duration::MAX);
            let limit = limit.min(latest.saturating_sub(CONFIRM_MARGIN));
            let age = self.rules_age().unwrap_or_default();
            let left = limit.saturating_sub(age);
            sleep(left.clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)).await;
            if self.state.replica().take_overdue(self.clock.now()) {
                self.cancel_cause.set(Some(CancelCause::Late));
            }
            // While the store is unreachable, `watch` retries and reads it whole.
            let is_recent = self.rules_age().is_some_and(|age| age < limit);
            if is_recent || self.connected.get() != Some(true) {
                continue;
            }
            let begun = self.clock.now();
            let is_new = !store.has_connection();
            match store.read_config().await {
                Ok((config, newest)) => {
                    self.put_config(&config);
                    let now = self.clock.now();
                    self.state.replica().observe_newest(now, newest, begun);
                }
                Err(err) => {
                    self.record_failure(is_new);
                    log::warn!("event=confirm-failed error=\"{err}\"");
                    self.cancel_cause.set(Some(CancelCause::Lost));
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns the time since the rules were last confirmed to be the newest, or `None` if they
    /// never were.
    fn rules_age(&self) -> Option<Duration> {
        let confirmed = self.state.replica().confirmed();
        confirmed.map(|(_, at)| self.clock.now().saturating_sub(at))
    }
}

/// Returns the pause after a change in a fleet of `gateways`.
fn batch_pause(gateways: u32) -> Duration {
    (BATCH_PAUSE + GATEWAY_PAUSE * gateways.saturating_sub(SMALL_FLEET)).min(MAX_BATCH_PAUSE)
}

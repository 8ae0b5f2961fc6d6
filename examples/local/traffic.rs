//! The traffic that the demonstration sends through routers.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    }, //
};

use compio::{
    runtime::{
        Runtime,
        spawn, //
    },
    time::sleep, //
};
use futures_util::future::join_all;
use hdrhistogram::Histogram;

use super::standin::{
    client::Client,
    plain::Writes, //
};

/// How long completions are sent after the warm-up, and how long writes are sent from the start on.
const RUN_TIME: Duration = Duration::from_secs(5);
/// How long completions are sent before they are counted as served.
const WARM_UP_TIME: Duration = Duration::from_secs(1);
/// The number of calls of each kind with which the latency is measured.
const LATENCY_CALLS: usize = 400;

/// The callers that send completions of one account through one router.
struct CallerGroup {
    account: &'static str,
    /// The index of the router.
    router: usize,
    callers: usize,
}

/// What one account received.
#[derive(Debug, Default)]
pub(super) struct AccountStats {
    /// The number of complete answers with status 200 after the warm-up.
    pub(super) served: u64,
    /// The number of complete answers with another status.
    pub(super) refused: u64,
    /// The number of requests with an incomplete answer or none.
    pub(super) broken: u64,
    /// The time for which served requests occupied slots of the engines.
    pub(super) slot_time: Duration,
    /// The weight that the rules give to the account.
    pub(super) weight: u32,
}

pub(super) struct Outcome {
    pub(super) accounts: BTreeMap<&'static str, AccountStats>,
    /// The fraction of the engines' slot time that served requests used.
    pub(super) utilisation: f64,
    /// The latencies of direct calls to an engine, in microseconds.
    pub(super) direct: Histogram<u64>,
    /// The latencies of calls through a router, in microseconds.
    pub(super) routed: Histogram<u64>,
    /// The paths of the writes that were answered with status 200.
    pub(super) confirmed: Vec<String>,
}

impl Outcome {
    /// Returns whether every answer was complete, each confirmed write ran exactly once, and no write
    /// ran more than once.
    pub(super) fn is_correct(&self, writes: &Writes) -> bool {
        let broken: u64 = self.accounts.values().map(|stats| stats.broken).sum();
        let ran_once = self.confirmed.iter().all(|path| writes.count(path) == 1);
        broken == 0 && ran_once && writes.duplicates().is_empty()
    }
}

/// Measures the latencies, then sends completions and writes at the same time, and returns the
/// results. `slots` is the number of slots of all engines.
pub(super) fn run(routers: &[SocketAddr], engine: SocketAddr, slots: u32) -> Outcome {
    let runtime = Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let (direct, routed) = measure_latency(engine, routers[0]).await;
        let accounts = Rc::new(RefCell::new(BTreeMap::new()));
        let confirmed = Rc::new(RefCell::new(Vec::new()));
        for (account, weight) in [("outfitter", 2), ("stall-1", 1), ("stall-2", 1)] {
            let stats = AccountStats {
                weight,
                ..AccountStats::default()
            };
            accounts.borrow_mut().insert(account, stats);
        }
        let groups = [
            CallerGroup {
                account: "outfitter",
                router: 0,
                callers: 60,
            },
            CallerGroup {
                account: "stall-1",
                router: 0,
                callers: 10,
            },
            CallerGroup {
                account: "stall-1",
                router: 1,
                callers: 20,
            },
            CallerGroup {
                account: "stall-2",
                router: 1,
                callers: 30,
            },
        ];
        let start = Instant::now();
        let mut tasks = Vec::new();
        for group in groups {
            for _ in 0..group.callers {
                let caller = send_completions(
                    routers[group.router],
                    group.account,
                    start,
                    accounts.clone(),
                );
                tasks.push(spawn(caller));
            }
        }
        for i in 0..4 {
            let account = ["stall-1", "stall-2"][i % 2];
            tasks.push(spawn(send_writes(
                routers[i % 2],
                account,
                i,
                start,
                confirmed.clone(),
            )));
        }
        join_all(tasks).await;
        let accounts = accounts.take();
        let used: Duration = accounts.values().map(|stats| stats.slot_time).sum();
        let utilisation = used.as_secs_f64() / (RUN_TIME.as_secs_f64() * f64::from(slots));
        Outcome {
            accounts,
            utilisation,
            direct,
            routed,
            confirmed: confirmed.take(),
        }
    })
}

/// Measures the latencies of short calls directly to an engine and through a router, in microseconds.
async fn measure_latency(
    engine: SocketAddr,
    router: SocketAddr,
) -> (Histogram<u64>, Histogram<u64>) {
    let histogram = || Histogram::new(3).expect("three significant digits are supported");
    let (mut direct, mut routed) = (histogram(), histogram());
    let body = r#"{"prompt":"size?","max_tokens":0}"#;
    let fields = [("x-account", "stall-1")];
    let (mut direct_client, mut routed_client) = (Client::new(engine), Client::new(router));
    for _ in 0..LATENCY_CALLS {
        let start = Instant::now();
        let answer = direct_client
            .send("POST", "/v1/completions", &fields, body)
            .await;
        assert!(answer.is_some(), "the engine answers a direct call");
        let _ = direct.record(start.elapsed().as_micros() as u64);
        let start = Instant::now();
        let answer = routed_client
            .send("POST", "/sizer-llm/v1/completions", &fields, body)
            .await;
        assert!(
            answer.is_some_and(|answer| answer.status == 200),
            "the router answers a call with 200"
        );
        let _ = routed.record(start.elapsed().as_micros() as u64);
        sleep(Duration::from_millis(1)).await;
    }
    (direct, routed)
}

/// Sends streamed completions one after another and counts the answers for the account.
async fn send_completions(
    router: SocketAddr,
    account: &'static str,
    start: Instant,
    accounts: Rc<RefCell<BTreeMap<&'static str, AccountStats>>>,
) {
    let mut client = Client::new(router);
    let body = r#"{"prompt":"does it fit?","stream":true}"#;
    while start.elapsed() < RUN_TIME + WARM_UP_TIME {
        let fields = [("x-account", account)];
        let answer = client
            .send("POST", "/sizer-llm/v1/completions", &fields, body)
            .await;
        let in_run = (WARM_UP_TIME..RUN_TIME + WARM_UP_TIME).contains(&start.elapsed());
        let mut accounts = accounts.borrow_mut();
        let stats = accounts.get_mut(account).expect("every account has stats");
        match answer {
            Some(answer) if answer.complete && answer.status == 200 => {
                if in_run {
                    stats.served += 1;
                    // The engine sends one event per token and one at the end, each after two
                    // milliseconds.
                    let events = answer.body.windows(6).filter(|text| text == b"data: ");
                    stats.slot_time += Duration::from_millis(2) * events.count() as u32;
                }
            }
            Some(answer) if answer.complete => stats.refused += 1,
            _ => stats.broken += 1,
        }
    }
}

/// Sends writes one after another, each to its own path, and collects the paths of those that are
/// confirmed.
async fn send_writes(
    router: SocketAddr,
    account: &'static str,
    caller: usize,
    start: Instant,
    confirmed: Rc<RefCell<Vec<String>>>,
) {
    let mut client = Client::new(router);
    for i in 0.. {
        if start.elapsed() > RUN_TIME {
            return;
        }
        let path = format!("/profiles/{caller}-{i}");
        let answer = client
            .send(
                "POST",
                &format!("/shop-api{path}"),
                &[("x-account", account)],
                "size=40",
            )
            .await;
        if answer.is_some_and(|answer| answer.status == 200) {
            confirmed.borrow_mut().push(path);
        }
    }
}

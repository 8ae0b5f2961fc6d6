//! The callers of the demonstration.

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

const RUN: Duration = Duration::from_secs(5);
const WARM_UP: Duration = Duration::from_secs(1);
const PROBES: usize = 400;

/// The callers of one account at one router.
struct Crowd {
    account: &'static str,
    router: usize,
    callers: usize,
}

/// What one account got.
#[derive(Debug, Default)]
pub(super) struct Share {
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) broken: u64,
    pub(super) slot_time: Duration,
    pub(super) weight: u32,
}

/// What came of the traffic.
pub(super) struct Outcome {
    pub(super) shares: BTreeMap<&'static str, Share>,
    pub(super) utilisation: f64,
    pub(super) direct: Histogram<u64>,
    pub(super) routed: Histogram<u64>,
    pub(super) saved: Vec<String>,
}

impl Outcome {
    /// Returns whether no answer broke and each write that was confirmed ran once.
    pub(super) fn is_sound(&self, writes: &Writes) -> bool {
        let broken: u64 = self.shares.values().map(|share| share.broken).sum();
        let once = self.saved.iter().all(|path| writes.count(path) == 1);
        broken == 0 && once && writes.duplicates().is_empty()
    }
}

/// Sends traffic for some seconds.
pub(super) fn run(routers: &[SocketAddr], engine: SocketAddr, slots: u32) -> Outcome {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let (direct, routed) = probe(engine, routers[0]).await;
        let shares = Rc::new(RefCell::new(BTreeMap::new()));
        let saved = Rc::new(RefCell::new(Vec::new()));
        for (account, weight) in [("outfitter", 2), ("stall-1", 1), ("stall-2", 1)] {
            let share = Share {
                weight,
                ..Share::default()
            };
            shares.borrow_mut().insert(account, share);
        }
        let crowds = [
            Crowd {
                account: "outfitter",
                router: 0,
                callers: 60,
            },
            Crowd {
                account: "stall-1",
                router: 0,
                callers: 10,
            },
            Crowd {
                account: "stall-1",
                router: 1,
                callers: 20,
            },
            Crowd {
                account: "stall-2",
                router: 1,
                callers: 30,
            },
        ];
        let start = Instant::now();
        let mut tasks = Vec::new();
        for crowd in crowds {
            for _ in 0..crowd.callers {
                let call = ask(routers[crowd.router], crowd.account, start, shares.clone());
                tasks.push(spawn(call));
            }
        }
        for i in 0..4 {
            let account = ["stall-1", "stall-2"][i % 2];
            tasks.push(spawn(save(
                routers[i % 2],
                account,
                i,
                start,
                saved.clone(),
            )));
        }
        join_all(tasks).await;
        let shares = shares.take();
        let used: Duration = shares.values().map(|share| share.slot_time).sum();
        let utilisation = used.as_secs_f64() / (RUN.as_secs_f64() * f64::from(slots));
        Outcome {
            shares,
            utilisation,
            direct,
            routed,
            saved: saved.take(),
        }
    })
}

/// Compares short calls through a router with direct ones.
async fn probe(engine: SocketAddr, router: SocketAddr) -> (Histogram<u64>, Histogram<u64>) {
    let histogram = || Histogram::new(3).expect("three digits are allowed");
    let (mut direct, mut routed) = (histogram(), histogram());
    let body = r#"{"prompt":"size?","max_tokens":0}"#;
    let fields = [("x-account", "stall-1")];
    let (mut near, mut far) = (Client::new(engine), Client::new(router));
    for _ in 0..PROBES {
        let start = Instant::now();
        let answer = near.send("POST", "/v1/completions", &fields, body).await;
        assert!(answer.is_some(), "the engine answers");
        let _ = direct.record(start.elapsed().as_micros() as u64);
        let start = Instant::now();
        let answer = far
            .send("POST", "/sizer-llm/v1/completions", &fields, body)
            .await;
        assert!(
            answer.is_some_and(|answer| answer.status == 200),
            "the router answers"
        );
        let _ = routed.record(start.elapsed().as_micros() as u64);
        sleep(Duration::from_millis(1)).await;
    }
    (direct, routed)
}

/// Holds fit conversations one after another.
async fn ask(
    router: SocketAddr,
    account: &'static str,
    start: Instant,
    shares: Rc<RefCell<BTreeMap<&'static str, Share>>>,
) {
    let mut client = Client::new(router);
    let body = r#"{"prompt":"does it fit?","stream":true}"#;
    while start.elapsed() < RUN + WARM_UP {
        let fields = [("x-account", account)];
        let answer = client
            .send("POST", "/sizer-llm/v1/completions", &fields, body)
            .await;
        let counted = (WARM_UP..RUN + WARM_UP).contains(&start.elapsed());
        let mut shares = shares.borrow_mut();
        let share = shares.get_mut(account).expect("the account is known");
        match answer {
            Some(answer) if answer.complete && answer.status == 200 => {
                if counted {
                    share.served += 1;
                    // One event a token and one end mark, two milliseconds each.
                    let events = answer.body.windows(6).filter(|text| text == b"data: ");
                    share.slot_time += Duration::from_millis(2) * events.count() as u32;
                }
            }
            Some(answer) if answer.complete => share.refused += 1,
            _ => share.broken += 1,
        }
    }
}

/// Saves profiles, each under a key of its own.
async fn save(
    router: SocketAddr,
    account: &'static str,
    caller: usize,
    start: Instant,
    saved: Rc<RefCell<Vec<String>>>,
) {
    let mut client = Client::new(router);
    for i in 0.. {
        if start.elapsed() > RUN {
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
            saved.borrow_mut().push(path);
        }
    }
}

//! The demonstration of gateways, with accounts that use API keys and engines that are registered in
//! the store.

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
use serde_json::json;

use super::standin::{
    client::{
        Answer,
        Client, //
    },
    fleet::Handle,
    gateways::Region,
    instance::Instance, //
};

/// How long the traffic runs.
const RUN_TIME: Duration = Duration::from_secs(5);
const ENGINE_COUNT: usize = 3;

/// Each account with its number of callers. The first account sends far more requests than the
/// others.
const ACCOUNTS: [(&str, usize); 3] = [("outfitter", 40), ("stall-1", 4), ("stall-2", 4)];

/// What one account received.
#[derive(Debug, Default)]
struct AccountStats {
    /// The number of complete answers with status 200.
    served: u64,
    /// The number of complete answers with another status.
    refused: u64,
    /// The number of requests with an incomplete answer or none.
    broken: u64,
}

/// What each account received.
type Stats = Rc<RefCell<BTreeMap<&'static str, AccountStats>>>;

/// Runs the demonstration and returns whether every answer was complete and every gateway drained in
/// time.
pub(super) fn run() -> bool {
    let tenants = ACCOUNTS.map(|(name, _)| json!({ "name": name, "apiKeys": [key(name)] }));
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "fit", "host": "shop.example", "prefix": "/stream/", "kind": "streaming",
            "timeoutMs": 3000, "targetLatencyMs": 400, "service": "sizer-llm",
            "maxAttempts": 2, "resumable": true,
        }],
        "services": [{
            "name": "sizer-llm", "engine": { "slots": 8, "kvCapacityTokens": 60000 },
        }],
        "limits": { "tokensPerS": 300000 },
        "tenants": tenants,
    });
    let engines = (1..=ENGINE_COUNT).map(|i| Instance::new(&format!("sizer-{i}")));
    let mut region = Region::start(2, "sizer-llm", engines.collect(), &config, |_| {});
    let addresses: Vec<_> = region
        .gateways
        .iter()
        .map(|gateway| gateway.addresses.http)
        .collect();
    let accounts = Stats::default();
    let runtime = Runtime::new().expect("the runtime starts");
    runtime.block_on(run_sessions(&addresses, &accounts));
    let drained = region.gateways.iter_mut().all(Handle::drain);
    print(&accounts, &region.targets);
    println!("graceful shutdown: gateways {drained}");
    drained && accounts.borrow().values().all(|stats| stats.broken == 0)
}

fn key(account: &str) -> String {
    format!("key-of-{account}")
}

/// Runs the sessions of all callers, spread over the gateways.
async fn run_sessions(gateways: &[SocketAddr], accounts: &Stats) {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for (account, callers) in ACCOUNTS {
        for i in 0..callers {
            let gateway = gateways[i % gateways.len()];
            tasks.push(spawn(run_session(
                gateway,
                account,
                i,
                start,
                accounts.clone(),
            )));
        }
    }
    join_all(tasks).await;
}

/// Runs the session of a caller: requests one after another whose prompts have the same first parts,
/// so that an engine can reuse its cached prefix.
async fn run_session(
    gateway: SocketAddr,
    account: &'static str,
    caller: usize,
    start: Instant,
    accounts: Stats,
) {
    let mut client = Client::new(gateway);
    let key = key(account);
    for turn in 0.. {
        if start.elapsed() > RUN_TIME {
            return;
        }
        let parts = format!("system:500,{account}-{caller}:1500,{turn}:50");
        let fields = [
            ("host", "shop.example"),
            ("credential", &key),
            ("request-id", "demonstration"),
            ("token-count", "2050,8"),
            ("prompt-prefix", &parts),
        ];
        let answer = client.send("GET", "/stream/fit", &fields, "").await;
        let pause = record(&accounts, account, answer);
        sleep(pause).await;
    }
}

/// Counts an answer and returns how long to wait before the next request.
fn record(accounts: &Stats, account: &'static str, answer: Option<Answer>) -> Duration {
    let mut accounts = accounts.borrow_mut();
    let stats = accounts.entry(account).or_default();
    match answer {
        Some(answer) if answer.complete && answer.status == 200 => stats.served += 1,
        Some(answer) if answer.complete => {
            stats.refused += 1;
            let retry_after = answer.headers.get("retry-after");
            let seconds = retry_after.and_then(|text| text.to_str().ok()?.parse().ok());
            return Duration::from_secs_f64(seconds.unwrap_or(1.0));
        }
        _ => stats.broken += 1,
    }
    Duration::ZERO
}

/// Prints what each account received and what each engine has done.
fn print(accounts: &Stats, engines: &[Instance]) {
    println!("account     callers  served  refused  broken");
    for (account, callers) in ACCOUNTS {
        let accounts = accounts.borrow();
        let stats = &accounts[account];
        println!(
            "{account:10} {callers:8} {:7} {:8} {:7}",
            stats.served, stats.refused, stats.broken
        );
    }
    for engine in engines {
        let (runs, tokens) = (engine.runs().len(), engine.tokens_read());
        println!(
            "{}: {runs} requests, {tokens} prompt tokens read",
            engine.name
        );
    }
}

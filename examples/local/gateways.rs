//! The demonstration of gateways: accounts with keys, engines that register themselves.

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

const RUN: Duration = Duration::from_secs(5);
const ENGINES: usize = 3;

/// The callers of each account; the first one floods.
const ACCOUNTS: [(&str, usize); 3] = [("outfitter", 40), ("stall-1", 4), ("stall-2", 4)];

/// What one account got.
#[derive(Debug, Default)]
struct Share {
    served: u64,
    refused: u64,
    broken: u64,
}

/// What all accounts got.
type Shares = Rc<RefCell<BTreeMap<&'static str, Share>>>;

/// Runs the demonstration and returns whether every answer was whole and every stop graceful.
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
    let engines = (1..=ENGINES).map(|i| Instance::new(&format!("sizer-{i}")));
    let mut region = Region::start(2, "sizer-llm", engines.collect(), &config, |_| {});
    let http: Vec<_> = region
        .gateways
        .iter()
        .map(|gateway| gateway.addresses.http)
        .collect();
    let shares = Shares::default();
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(converse(&http, &shares));
    let drained = region.gateways.iter_mut().all(Handle::drain);
    print(&shares, &region.targets);
    println!("graceful shutdown: gateways {drained}");
    drained && shares.borrow().values().all(|share| share.broken == 0)
}

fn key(account: &str) -> String {
    format!("key-of-{account}")
}

async fn converse(gateways: &[SocketAddr], shares: &Shares) {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for (account, callers) in ACCOUNTS {
        for i in 0..callers {
            let gateway = gateways[i % gateways.len()];
            tasks.push(spawn(ask(gateway, account, i, start, shares.clone())));
        }
    }
    join_all(tasks).await;
}

/// Holds a session: each prompt begins with all that was said before.
async fn ask(
    gateway: SocketAddr,
    account: &'static str,
    caller: usize,
    start: Instant,
    shares: Shares,
) {
    let mut client = Client::new(gateway);
    let key = key(account);
    for turn in 0.. {
        if start.elapsed() > RUN {
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
        let pause = note(&shares, account, answer);
        sleep(pause).await;
    }
}

/// Counts an answer and returns when to come back.
fn note(shares: &Shares, account: &'static str, answer: Option<Answer>) -> Duration {
    let mut shares = shares.borrow_mut();
    let share = shares.entry(account).or_default();
    match answer {
        Some(answer) if answer.complete && answer.status == 200 => share.served += 1,
        Some(answer) if answer.complete => {
            share.refused += 1;
            let retry = answer.headers.get("retry-after");
            let seconds = retry.and_then(|text| text.to_str().ok()?.parse().ok());
            return Duration::from_secs_f64(seconds.unwrap_or(1.0));
        }
        _ => share.broken += 1,
    }
    Duration::ZERO
}

fn print(shares: &Shares, engines: &[Instance]) {
    println!("account     callers  served  refused  broken");
    for (account, callers) in ACCOUNTS {
        let shares = shares.borrow();
        let share = &shares[account];
        println!(
            "{account:10} {callers:8} {:7} {:8} {:7}",
            share.served, share.refused, share.broken
        );
    }
    for engine in engines {
        let (runs, read) = (engine.runs().len(), engine.tokens_read());
        println!(
            "{}: {runs} requests, {read} prompt tokens read",
            engine.name
        );
    }
}

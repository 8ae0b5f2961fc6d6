//! Answers that a target writes once more on a kept connection, as the callers of later requests see
//! them.

#[path = "../examples/standin/mod.rs"]
mod standin;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::Duration, //
};

use compio::runtime::Runtime;
use serde_json::{
    Value,
    json, //
};
use standin::{
    client::{
        Answer,
        Client, //
    },
    fleet::{
        self,
        Environment, //
    },
    gateways::{
        self,
        Region, //
    },
    instance::Instance,
    raw::{
        self,
        Exchange,
        Next,
        RawTarget, //
    }, //
};

/// When a target writes bytes that belong to no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// With its refusal of the first request.
    WithRefusal,
    /// After it, while no request is under way.
    Idle,
    /// After the second request has arrived, and before its answer.
    BeforeAnswer,
}

/// A target that refuses the first request, and writes other bytes besides.
#[derive(Clone, Copy, Debug)]
struct Replay {
    /// The bytes; `ID` stands for the id of the first request.
    extra: &'static str,
    moment: Moment,
    /// Whether the second request has the id of the first one.
    same_id: bool,
}

/// How often a request for each path has arrived.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

fn arrivals(runs: &Runs) -> MutexGuard<'_, HashMap<String, u32>> {
    runs.lock().expect("no holder of the lock panics")
}

fn count(runs: &Runs, path: &str) -> u32 {
    arrivals(runs).get(path).copied().unwrap_or(0)
}

/// The statuses that say that a request has not run and will not.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// The most times that a caller sends a request that is refused.
const MAX_ASKS: u32 = 100;

/// The time between them.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

const REFUSAL: &str =
    "HTTP/1.1 503 Full\r\nrequest-id: ID\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// Answers that belong to no request, or to the one that was refused.
const EXTRAS: [&str; 9] = [
    REFUSAL,
    "HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 429 Full\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 421 Moved\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 421 Moved\r\nnot-executed: 1\r\nrequest-id: ID\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 400 Bad\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 404 Gone\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold",
    "HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 3\r\n\r\nold",
];

impl Replay {
    fn all() -> Vec<Self> {
        let mut replays = Vec::new();
        for extra in EXTRAS {
            for moment in [Moment::WithRefusal, Moment::Idle, Moment::BeforeAnswer] {
                replays.extend([false, true].map(|same_id| Self {
                    extra,
                    moment,
                    same_id,
                }));
            }
        }
        replays
    }

    /// Answers a request, and counts it if it is run.
    fn answer(&self, exchange: &Exchange, runs: &Runs) -> (String, Next) {
        let Exchange { path, id, earlier } = exchange;
        *arrivals(runs).entry(path.clone()).or_default() += 1;
        if path.ends_with("/refuse") {
            let extra = match self.moment {
                Moment::WithRefusal => self.extra,
                Moment::Idle | Moment::BeforeAnswer => "",
            };
            return (format!("{REFUSAL}{extra}").replace("ID", id), Next::Keep);
        }
        let extra = match self.moment == Moment::BeforeAnswer && *earlier > 0 {
            true => self.extra.replace("ID", "first"),
            false => String::new(),
        };
        let length = path.len();
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: {length}");
        (format!("{extra}{head}\r\n\r\n{path}"), Next::Keep)
    }
}

/// A route for each target pair.
fn config(routes: usize) -> Value {
    let route = |i: usize| {
        json!({
            "name": format!("route-{i}"), "host": "a.example", "prefix": format!("/save/{i}/"),
            "kind": "unsafe", "timeoutMs": 5_000, "targetLatencyMs": 400,
            "service": format!("raw-{i}"), "maxAttempts": 2,
        })
    };
    let services = (0..routes).map(|i| json!({ "name": format!("raw-{i}") }));
    let web = json!({ "name": "web" });
    json!({
        "version": 1,
        "routes": (0..routes).map(route).collect::<Vec<_>>(),
        "services": services.chain([web]).collect::<Vec<_>>(),
    })
}

fn ask(address: SocketAddr, path: &str, fields: &[(&str, &str)]) -> Answer {
    let runtime = Runtime::new().expect("the runtime starts");
    let asked = runtime.block_on(Client::new(address).send("POST", path, fields, "body"));
    asked.expect("the request is answered")
}

/// Sends a request that is refused, and then others until one isn't. Returns what is wrong.
fn replay(
    address: SocketAddr,
    replay: &Replay,
    prefix: &str,
    targets: &[RawTarget],
    runs: &Runs,
) -> Option<String> {
    let fields = |id| [("host", "a.example"), ("request-id", id)];
    let path = format!("{prefix}refuse");
    let is_refused = |_| {
        let answer = ask(address, &path, &fields("first"));
        assert_eq!(answer.status, 503, "{answer:?}");
        count(runs, &path) > 0 || {
            thread::sleep(RETRY_PAUSE);
            false
        }
    };
    assert!((0..MAX_ASKS).any(is_refused), "the targets are known");
    if replay.moment == Moment::Idle {
        for target in targets {
            target.write_to_all(&replay.extra.replace("ID", "first"));
        }
    }
    let id = if replay.same_id { "first" } else { "second" };
    let mut faults = Vec::new();
    for i in 0..MAX_ASKS {
        let path = format!("{prefix}run-{i}");
        let answer = ask(address, &path, &fields(id));
        let ran = count(runs, &path);
        let refused = REFUSALS.contains(&answer.status);
        let sound = match answer.status {
            200 => ran == 1 && answer.complete && answer.body == path.as_bytes(),
            // The answer of the request itself can't be told from the bytes before it.
            502 => ran <= 1 && replay.moment == Moment::BeforeAnswer && !replay.same_id,
            _ => refused && ran == 0,
        };
        if !sound {
            faults.push(format!("{replay:?}: status {}, ran {ran}", answer.status));
        }
        if !refused {
            break;
        }
        if i + 1 == MAX_ASKS {
            faults.push(format!("{replay:?}: no request is served"));
        }
        thread::sleep(RETRY_PAUSE);
    }
    faults.into_iter().next()
}

/// A target writes an answer of an earlier request once more. A later request that has run must not
/// be reported as refused, run at a second target, or get that answer.
#[test]
fn a_replayed_answer_is_not_taken_for_that_of_a_later_request() {
    let replays = Replay::all();
    let web = vec![Instance::new("i-1")];
    let region = Region::start(1, "web", web, &config(replays.len()), |_| {});
    let address = region.gateways[0].addresses.http;
    let mut wrong = Vec::new();
    for (i, case) in replays.iter().enumerate() {
        let runs = Runs::default();
        let targets = [0, 1].map(|_| {
            let (case, runs) = (*case, runs.clone());
            raw::serve(move |exchange| case.answer(exchange, &runs))
        });
        for (n, target) in targets.iter().enumerate() {
            let (name, service) = (format!("i-raw-{i}-{n}"), format!("raw-{i}"));
            gateways::register(&region.items, &name, &service, target.address, "ready");
        }
        wrong.extend(replay(
            address,
            case,
            &format!("/save/{i}/"),
            &targets,
            &runs,
        ));
    }
    assert!(
        wrong.is_empty(),
        "{} of {}: {}",
        wrong.len(),
        replays.len(),
        wrong.join("\n")
    );
}

const RULES: &str = "\
generation 1                # kim: test
share * stall-1 1           # mei: test
write shop POST /save/*     # lin: test
target shop shop-1          # kim: test
";

/// The same at a router. Its sidecar's target knows no ids of requests, so nothing tells such an
/// answer from the right one.
#[test]
#[ignore = "KNOWN-RED: issue 37"]
fn a_replayed_answer_at_a_sidecar_is_not_taken_for_that_of_a_later_request() {
    let Environment {
        values,
        platform,
        keys,
    } = fleet::start_platform(RULES);
    let answer = |exchange: &Exchange| {
        let Exchange { path, earlier, .. } = exchange;
        let extra = match *earlier {
            0 => "",
            _ => "HTTP/1.1 503 Full\r\ncontent-length: 3\r\n\r\nold",
        };
        let length = path.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}");
        (format!("{extra}{head}\r\n\r\n{path}"), Next::Keep)
    };
    let target = raw::serve(answer);
    let router = fleet::router(fleet::router_settings("router-0", &keys, &platform));
    fleet::publish_vms(&values, &[("router-0", router.addresses.link)]);
    let settings = fleet::sidecar_settings("shop-1", "shop", target.address, 4, &keys, &platform);
    let sidecar = fleet::sidecar(settings);
    fleet::await_ready(sidecar.addresses.admin);
    fleet::await_ready(router.addresses.admin);
    let fields = [("host", "a.example"), ("x-account", "stall-1")];
    for i in 0..4 {
        let path = format!("/shop/save/{i}");
        let answer = ask(router.addresses.http, &path, &fields);
        let body = String::from_utf8_lossy(&answer.body);
        assert_eq!(
            (answer.status, answer.complete),
            (200, true),
            "{path}: {body}"
        );
        assert!(path.ends_with(&*body), "{path}: {body}");
    }
}

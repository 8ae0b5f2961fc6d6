//! The slopes: the measured quantities, each at several sizes.

use std::{
    hint::black_box,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use redwingyard::{
    fair::UsageTable,
    ids::id,
    member,
    router::{
        Bounds,
        Input,
        Output,
        RequestSpec,
        Router,
        Settings, //
    },
    rules::{
        self,
        Rules, //
    },
    sidecar::{
        self,
        Keys,
        Records,
        Sidecar,
        State, //
    },
    wire::{
        AccountUsage,
        AttemptId,
        Chunk,
        Dispatch,
        End,
        Head,
        IdempotencyKey,
        Message,
        Report,
        encode, //
    }, //
};

use super::{
    alloc::allocated_bytes,
    links, //
};

/// A quantity that is measured at several sizes, to which a line is fitted.
pub(super) struct Slope {
    pub(super) name: &'static str,
    pub(super) unit: &'static str,
    /// What a size counts, such as accounts.
    pub(super) per: &'static str,
    pub(super) sizes: &'static [usize],
    /// Returns the quantity at a size.
    pub(super) measure: fn(usize) -> f64,
}

const ACCOUNT_COUNTS: &[usize] = &[100, 250, 500, 1_000, 2_000];
const LARGE_SIZES: &[usize] = &[1_000, 2_500, 5_000, 10_000, 20_000];
const LINK_COUNTS: &[usize] = &[10, 25, 50, 75, 100];
const ROUTER_COUNTS: &[usize] = &[10, 50, 100, 200, 400];

pub(super) fn all() -> Vec<Slope> {
    let slope = |name, unit, per, sizes, measure| Slope {
        name,
        unit,
        per,
        sizes,
        measure,
    };
    vec![
        slope("rules_text", "bytes", "lines", LARGE_SIZES, rules_text),
        slope("rules_state", "bytes", "lines", LARGE_SIZES, rules_state),
        slope("rules_parse", "us", "lines", LARGE_SIZES, rules_parse),
        slope(
            "exchange_message",
            "bytes",
            "accounts",
            ACCOUNT_COUNTS,
            exchange_message,
        ),
        slope(
            "exchange_merge",
            "us",
            "accounts",
            ACCOUNT_COUNTS,
            exchange_merge,
        ),
        slope("table_state", "bytes", "accounts", LARGE_SIZES, table_state),
        slope(
            "report_message",
            "bytes",
            "accounts",
            &[10, 20, 30, 40, 60],
            report_message,
        ),
        slope("queue_state", "bytes", "requests", LARGE_SIZES, queue_state),
        slope("router_time", "us", "requests", LARGE_SIZES, router_time),
        slope(
            "router_time_backlogged",
            "us",
            "accounts",
            ACCOUNT_COUNTS,
            router_time_backlogged,
        ),
        slope("router_tick", "us", "accounts", ACCOUNT_COUNTS, router_tick),
        slope("sidecar_time", "us", "requests", LARGE_SIZES, sidecar_time),
        slope(
            "sidecar_tick",
            "us",
            "accounts",
            &[10, 20, 40, 80, 160],
            sidecar_tick,
        ),
        slope(
            "record_state",
            "bytes",
            "attempts",
            LARGE_SIZES,
            record_state,
        ),
        slope("key_state", "bytes", "keys", LARGE_SIZES, key_state),
        slope(
            "parent_choice",
            "us",
            "routers",
            ROUTER_COUNTS,
            parent_choice,
        ),
        slope(
            "reader_choice",
            "us",
            "processes",
            LARGE_SIZES,
            reader_choice,
        ),
        slope("link_state", "bytes", "links", LINK_COUNTS, links::state),
        slope(
            "link_traffic",
            "bytes_per_s",
            "links",
            LINK_COUNTS,
            links::traffic,
        ),
        slope("link_time", "us_per_s", "links", LINK_COUNTS, links::time),
    ]
}

const SERVICE: u32 = 1;
/// The number of runs of which the fastest counts.
const RUNS: usize = 5;

/// Returns the shortest time of several runs in microseconds.
fn shortest_us(mut run: impl FnMut() -> Duration) -> f64 {
    let times = (0..RUNS).map(|_| run());
    times.min().unwrap_or_default().as_secs_f64() * 1e6
}

/// Returns a rules text with a share on each of `lines` lines, after a line for the generation and
/// one for a target.
fn example_rules(lines: usize) -> String {
    let mut text = "generation 1  # kim: all accounts\ntarget svc t  # kim: new VM\n".to_owned();
    for i in 0..lines {
        text += &format!(
            "share * account-{i:05} {}  # mei.lin: order {i:05}\n",
            1 + i % 9
        );
    }
    text
}

fn parsed_rules(lines: usize) -> Rules {
    rules::from_str(&example_rules(lines)).expect("the rules are valid")
}

/// Returns the bytes of a rules text.
fn rules_text(lines: usize) -> f64 {
    example_rules(lines).len() as f64
}

/// Returns the bytes of a rules text and its parsed rules.
fn rules_state(lines: usize) -> f64 {
    let text = example_rules(lines);
    let (_rules, bytes) = allocated_bytes(|| rules::from_str(&text));
    bytes + text.len() as f64
}

/// Returns the time to parse a rules text.
fn rules_parse(lines: usize) -> f64 {
    let text = example_rules(lines);
    shortest_us(|| {
        let start = Instant::now();
        black_box(rules::from_str(&text).is_ok());
        start.elapsed()
    })
}

/// Returns the identifier of an account. It also serves as an identifier of a router or a process.
fn account(i: usize) -> u32 {
    id(&format!("account-{i:05}"))
}

fn report(accounts: usize, sequence: u64) -> Report {
    let account_usage = |i| AccountUsage {
        account: account(i),
        usage: 1_000_000 + i as u64,
    };
    Report {
        sequence,
        virtual_time: 1 << 30,
        usages: (0..accounts).map(account_usage).collect(),
        requested: Vec::new(),
    }
}

/// Returns the usage table of a router whose accounts have all been served and have calls waiting.
fn table(accounts: usize) -> UsageTable {
    let mut table = UsageTable::new(SERVICE);
    table.add_link(2, true);
    table.add_link(3, false);
    table.add_link(4, false);
    for i in 0..accounts {
        table.set_backlog(Duration::ZERO, 1, account(i), 10);
    }
    table.apply_report(Duration::ZERO, 7, 70, &report(accounts, 1));
    table
}

/// Sends the first exchanges of a link in both directions. They are larger than the later ones.
fn send_first_exchanges(local: &mut UsageTable, remote: &mut UsageTable) {
    for _ in 0..2 {
        let outgoing = local
            .next_exchange(2)
            .expect("the table has a link to this router");
        remote.merge(Duration::ZERO, 3, &outgoing);
        let incoming = remote
            .next_exchange(3)
            .expect("the table has a link to this router");
        local.merge(Duration::ZERO, 2, &incoming);
    }
}

/// Returns the bytes of an exchange in which the usage of each account has changed.
fn exchange_message(accounts: usize) -> f64 {
    let (mut local, mut remote) = (table(accounts), UsageTable::new(SERVICE));
    remote.add_link(3, false);
    send_first_exchanges(&mut local, &mut remote);
    local.apply_report(Duration::ZERO, 7, 70, &report(accounts, 2));
    let exchange = local
        .next_exchange(2)
        .expect("the table has a link to this router");
    encode(&Message::Exchange(vec![exchange])).len() as f64
}

/// Returns the time to create and to merge an exchange in which the usage of each account has
/// changed.
fn exchange_merge(accounts: usize) -> f64 {
    let (mut local, mut remote) = (table(accounts), UsageTable::new(SERVICE));
    remote.add_link(3, false);
    send_first_exchanges(&mut local, &mut remote);
    let mut sequence = 1;
    shortest_us(|| {
        sequence += 1;
        local.apply_report(Duration::ZERO, 7, 70, &report(accounts, sequence));
        let start = Instant::now();
        let exchange = local
            .next_exchange(2)
            .expect("the table has a link to this router");
        remote.merge(Duration::ZERO, 3, &exchange);
        start.elapsed()
    })
}

/// Returns the bytes of a usage table.
fn table_state(accounts: usize) -> f64 {
    allocated_bytes(|| table(accounts)).1
}

/// Returns the bytes of a report on the usage of accounts.
fn report_message(accounts: usize) -> f64 {
    encode(&Message::Report(report(accounts, 1))).len() as f64
}

/// Returns a head with the same method, path and fields for requests and answers. The status of a
/// request is 0.
fn head(status: u16) -> Head {
    let field = |name: &str, value: &'static str| (name.to_owned(), Bytes::from(value));
    Head {
        status,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        fields: vec![
            field("content-type", "application/json"),
            field("x-account", "account-00001"),
        ],
    }
}

fn request_spec(account: u32) -> RequestSpec {
    RequestSpec {
        account,
        service: SERVICE,
        head: Rc::new(head(0)),
        body: Bytes::from(vec![b'x'; 200]),
        write: None,
        key: None,
        conversation: None,
        timeout: Duration::from_secs(3_600),
    }
}

/// Returns a router that is linked to sidecars.
fn router(targets: u32) -> Router {
    let bounds = Bounds {
        account: 1 << 20,
        total: 1 << 20,
        bytes: 1 << 30,
    };
    let mut router = Router::new(Settings {
        router: 1,
        incarnation: 9,
        bounds,
        seed: 3,
        retry: Default::default(),
    });
    for target in 0..targets {
        router.step(
            Duration::ZERO,
            Input::SidecarUp {
                target,
                service: SERVICE,
                incarnation: 70,
            },
        );
    }
    router
}

/// The number of sidecars linked to each router of a fleet with 5,100 targets and 400 routers, if
/// each sidecar links to 6 routers: 5,100 x 6 / 400.
const LINKED_SIDECARS: u32 = 76;

/// Returns the bytes of a queue of requests at a router.
fn queue_state(requests: usize) -> f64 {
    let mut router = router(LINKED_SIDECARS);
    let fill = || {
        for _ in 0..requests {
            black_box(router.arrive(Duration::ZERO, request_spec(account(1))));
        }
    };
    allocated_bytes(fill).1
}

/// Sends a sidecar's grant for an account to a router, and then the whole answer to the request
/// that the router dispatches.
fn serve(router: &mut Router, grant: u64, account: u32) {
    let target = (grant % u64::from(LINKED_SIDECARS)) as u32;
    let message = Message::Grant {
        grant,
        account,
        stamp: 1,
    };
    let outputs = router.step(Duration::ZERO, Input::SidecarMessage { target, message });
    let id = outputs.iter().find_map(|output| match output {
        Output::Send(_, Message::Dispatch(dispatch)) => Some(dispatch.id),
        _ => None,
    });
    let chunk = Chunk {
        id: id.expect("the router dispatches a waiting request of the account"),
        offset: 0,
        head: Some(Rc::new(head(200))),
        data: Bytes::from_static(b"answer"),
        end: Some(Rc::new(End {
            length: 6,
            trailers: Vec::new(),
        })),
    };
    let message = Message::Chunk(chunk);
    black_box(router.step(Duration::ZERO, Input::SidecarMessage { target, message }));
}

/// Returns the time of a router to accept, dispatch and answer requests of one account.
fn router_time(requests: usize) -> f64 {
    shortest_us(|| {
        let mut router = router(LINKED_SIDECARS);
        let start = Instant::now();
        for i in 0..requests {
            router.arrive(Duration::ZERO, request_spec(account(1)));
            serve(&mut router, 1 + i as u64, account(1));
        }
        start.elapsed()
    })
}

/// Returns the time of 1,000 requests while `accounts` accounts have requests waiting.
fn router_time_backlogged(accounts: usize) -> f64 {
    let mut router = router(LINKED_SIDECARS);
    for i in 0..accounts {
        router.arrive(Duration::ZERO, request_spec(account(i)));
    }
    let mut grant = 0;
    shortest_us(|| {
        let start = Instant::now();
        for i in 0..1_000 {
            grant += 1;
            router.arrive(Duration::ZERO, request_spec(account(i % accounts)));
            serve(&mut router, grant, account(i % accounts));
        }
        start.elapsed()
    })
}

/// Returns the time of a router's tick while accounts have requests waiting.
fn router_tick(accounts: usize) -> f64 {
    let mut router = router(LINKED_SIDECARS);
    for i in 0..accounts {
        router.arrive(Duration::ZERO, request_spec(account(i)));
    }
    for i in 0..20 {
        router.step(Duration::from_millis(30 * i), Input::Tick);
    }
    shortest_us(|| {
        let start = Instant::now();
        router.step(Duration::from_millis(900), Input::Tick);
        start.elapsed()
    })
}

/// Returns a sidecar that has its rules and is linked to its usual number of routers.
fn new_sidecar() -> Sidecar {
    let mut sidecar = Sidecar::new(sidecar::Settings {
        target: id("t"),
        service: id("svc"),
        slots: 8,
        incarnation: 70,
        epoch_offset: Duration::ZERO,
    });
    let rules = Rc::new(parsed_rules(100));
    sidecar.step(Duration::ZERO, sidecar::Input::Rules(rules));
    for router in 0..member::SUBSET_SIZE as u32 {
        let incarnation = u64::from(router) + 9;
        let link_up = sidecar::Input::Up {
            router,
            incarnation,
        };
        sidecar.step(Duration::ZERO, link_up);
    }
    sidecar
}

/// Returns a dispatch of a request without a body.
fn dispatch(sequence: u64) -> Dispatch {
    Dispatch {
        id: AttemptId {
            incarnation: 9,
            sequence,
            attempt: 1,
        },
        incarnation: 70,
        stamp: 1,
        grant: 0,
        account: account(1),
        write: false,
        key: None,
        generation: 1,
        head: Rc::new(head(0)),
        body: Bytes::new(),
    }
}

/// Returns the time of a sidecar to handle dispatches and the answers of its target.
fn sidecar_time(requests: usize) -> f64 {
    shortest_us(|| {
        let mut sidecar = new_sidecar();
        let start = Instant::now();
        for i in 0..requests as u64 {
            let dispatch = dispatch(i);
            let id = dispatch.id;
            let message = Message::Dispatch(Rc::new(dispatch));
            let router = 0;
            let now = Duration::from_micros(i);
            sidecar.step(now, sidecar::Input::Message { router, message });
            let answer = sidecar::Input::Answer {
                id,
                head: Some(head(200)),
                data: Bytes::from_static(b"answer"),
                end: Some(End {
                    length: 6,
                    trailers: Vec::new(),
                }),
            };
            black_box(sidecar.step(now, answer));
        }
        start.elapsed()
    })
}

/// Returns the time of a sidecar's tick while accounts have requests waiting at routers.
fn sidecar_tick(accounts: usize) -> f64 {
    let mut sidecar = new_sidecar();
    for i in 0..accounts {
        let message = Message::Demand {
            account: account(i),
            waiting: 5,
            sidecars: LINKED_SIDECARS,
        };
        let router = (i % member::SUBSET_SIZE) as u32;
        sidecar.step(Duration::ZERO, sidecar::Input::Message { router, message });
    }
    let mut now = Duration::ZERO;
    shortest_us(|| {
        now += Duration::from_millis(100);
        let start = Instant::now();
        black_box(sidecar.step(now, sidecar::Input::Tick));
        start.elapsed()
    })
}

/// Returns the bytes of the records of ended attempts.
fn record_state(attempts: usize) -> f64 {
    let fill = || {
        let mut records = Records::default();
        for i in 0..attempts as u64 {
            let id = dispatch(i).id;
            records.open(id, State::Running);
            records.close(Duration::ZERO, id, State::Ended);
        }
        records
    };
    allocated_bytes(fill).1
}

/// Returns the bytes of claimed idempotency keys.
fn key_state(count: usize) -> f64 {
    let fill = || {
        let mut keys = Keys::new(Duration::ZERO);
        for i in 0..count as u128 {
            let idempotency_key = IdempotencyKey {
                key: i << 64 | i,
                issued: None,
                fingerprint: 1,
            };
            black_box(keys.claim(Duration::from_secs(1_000), &idempotency_key));
        }
        keys
    };
    allocated_bytes(fill).1
}

/// Returns the time to choose a router's possible parents in the exchange tree.
fn parent_choice(routers: usize) -> f64 {
    let ids: Vec<_> = (0..routers).map(account).collect();
    shortest_us(|| {
        let start = Instant::now();
        black_box(member::parents(ids[routers / 2], &ids));
        start.elapsed()
    })
}

/// Returns the time to decide whether a process reads the configuration service.
fn reader_choice(processes: usize) -> f64 {
    let ids: Vec<_> = (0..processes).map(account).collect();
    shortest_us(|| {
        let start = Instant::now();
        black_box(member::is_reader(
            ids[processes / 2],
            &ids,
            member::READER_COUNT,
        ));
        start.elapsed()
    })
}

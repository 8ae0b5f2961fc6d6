//! The slopes: what is measured, at which sizes.

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
        Ask,
        Bounds,
        Input,
        Output,
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
    alloc::held,
    links, //
};

/// One thing that grows with another.
pub(super) struct Slope {
    pub(super) name: &'static str,
    pub(super) unit: &'static str,
    pub(super) per: &'static str,
    pub(super) sizes: &'static [usize],
    pub(super) measure: fn(usize) -> f64,
}

const ACCOUNTS: &[usize] = &[100, 250, 500, 1_000, 2_000];
const MANY: &[usize] = &[1_000, 2_500, 5_000, 10_000, 20_000];
const LINKS: &[usize] = &[10, 25, 50, 75, 100];
const PEERS: &[usize] = &[10, 50, 100, 200, 400];

/// Returns every slope.
pub(super) fn all() -> Vec<Slope> {
    let slope = |name, unit, per, sizes, measure| Slope {
        name,
        unit,
        per,
        sizes,
        measure,
    };
    vec![
        slope("rules_text", "bytes", "lines", MANY, rules_text),
        slope("rules_state", "bytes", "lines", MANY, rules_state),
        slope("rules_parse", "us", "lines", MANY, rules_parse),
        slope(
            "exchange_message",
            "bytes",
            "accounts",
            ACCOUNTS,
            exchange_message,
        ),
        slope("exchange_merge", "us", "accounts", ACCOUNTS, exchange_merge),
        slope("table_state", "bytes", "accounts", MANY, table_state),
        slope(
            "report_message",
            "bytes",
            "accounts",
            &[10, 20, 30, 40, 60],
            report_message,
        ),
        slope("queue_state", "bytes", "requests", MANY, queue_state),
        slope("router_time", "us", "requests", MANY, router_time),
        slope(
            "router_time_backlogged",
            "us",
            "accounts",
            ACCOUNTS,
            router_time_backlogged,
        ),
        slope("router_tick", "us", "accounts", ACCOUNTS, router_tick),
        slope("sidecar_time", "us", "requests", MANY, sidecar_time),
        slope(
            "sidecar_tick",
            "us",
            "accounts",
            &[10, 20, 40, 80, 160],
            sidecar_tick,
        ),
        slope("record_state", "bytes", "attempts", MANY, record_state),
        slope("key_state", "bytes", "keys", MANY, key_state),
        slope("parent_choice", "us", "routers", PEERS, parent_choice),
        slope("reader_choice", "us", "processes", MANY, reader_choice),
        slope("link_state", "bytes", "links", LINKS, links::state),
        slope(
            "link_traffic",
            "bytes_per_s",
            "links",
            LINKS,
            links::traffic,
        ),
        slope("link_time", "us_per_s", "links", LINKS, links::time),
    ]
}

const SERVICE: u32 = 1;
const REPEATS: usize = 5;

/// Returns the least time of some runs in microseconds.
fn least(mut run: impl FnMut() -> Duration) -> f64 {
    let times = (0..REPEATS).map(|_| run());
    times.min().unwrap_or_default().as_secs_f64() * 1e6
}

fn text(lines: usize) -> String {
    let mut text = "generation 1  # kim: all accounts\ntarget svc t  # kim: new VM\n".to_owned();
    for i in 0..lines {
        text += &format!(
            "share * account-{i:05} {}  # mei.lin: order {i:05}\n",
            1 + i % 9
        );
    }
    text
}

fn parsed(lines: usize) -> Rules {
    rules::from_str(&text(lines)).expect("the rules are valid")
}

fn rules_text(lines: usize) -> f64 {
    text(lines).len() as f64
}

fn rules_state(lines: usize) -> f64 {
    let text = text(lines);
    let (_rules, bytes) = held(|| rules::from_str(&text));
    bytes + text.len() as f64
}

fn rules_parse(lines: usize) -> f64 {
    let text = text(lines);
    least(|| {
        let start = Instant::now();
        black_box(rules::from_str(&text).is_ok());
        start.elapsed()
    })
}

fn account(i: usize) -> u32 {
    id(&format!("account-{i:05}"))
}

fn report(accounts: usize, sequence: u64) -> Report {
    let tally = |i| AccountUsage {
        account: account(i),
        usage: 1_000_000 + i as u64,
    };
    Report {
        sequence,
        virtual_time: 1 << 30,
        usages: (0..accounts).map(tally).collect(),
        requested: Vec::new(),
    }
}

/// A table of accounts that all wait and have all been served.
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

/// Brings both ends of a link past its first, larger messages.
fn settle(one: &mut UsageTable, other: &mut UsageTable) {
    for _ in 0..2 {
        let there = one.next_exchange(2).expect("a link");
        other.merge(Duration::ZERO, 3, &there);
        let back = other.next_exchange(3).expect("a link");
        one.merge(Duration::ZERO, 2, &back);
    }
}

fn exchange_message(accounts: usize) -> f64 {
    let (mut one, mut other) = (table(accounts), UsageTable::new(SERVICE));
    other.add_link(3, false);
    settle(&mut one, &mut other);
    one.apply_report(Duration::ZERO, 7, 70, &report(accounts, 2));
    let exchange = one.next_exchange(2).expect("a link");
    encode(&Message::Exchange(vec![exchange])).len() as f64
}

fn exchange_merge(accounts: usize) -> f64 {
    let (mut one, mut other) = (table(accounts), UsageTable::new(SERVICE));
    other.add_link(3, false);
    settle(&mut one, &mut other);
    let mut sequence = 1;
    least(|| {
        sequence += 1;
        one.apply_report(Duration::ZERO, 7, 70, &report(accounts, sequence));
        let start = Instant::now();
        let exchange = one.next_exchange(2).expect("a link");
        other.merge(Duration::ZERO, 3, &exchange);
        start.elapsed()
    })
}

fn table_state(accounts: usize) -> f64 {
    held(|| table(accounts)).1
}

fn report_message(accounts: usize) -> f64 {
    encode(&Message::Report(report(accounts, 1))).len() as f64
}

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

fn ask(account: u32) -> Ask {
    Ask {
        account,
        service: SERVICE,
        head: Rc::new(head(0)),
        body: Bytes::from(vec![b'x'; 200]),
        write: None,
        bid: None,
        conversation: None,
        limit: Duration::from_secs(3_600),
    }
}

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
    });
    for target in 0..targets {
        router.step(
            Duration::ZERO,
            Input::Up {
                target,
                service: SERVICE,
                incarnation: 70,
            },
        );
    }
    router
}

/// The targets that are linked to a router at the letter's size: 5,100 x 6 / 400.
const LINKED: u32 = 76;

fn queue_state(requests: usize) -> f64 {
    let mut router = router(LINKED);
    let fill = || {
        for _ in 0..requests {
            black_box(router.arrive(Duration::ZERO, ask(account(1))));
        }
    };
    held(fill).1
}

/// Serves one request that a sidecar asks for.
fn serve(router: &mut Router, grant: u64, account: u32) {
    let target = (grant % u64::from(LINKED)) as u32;
    let message = Message::Grant {
        grant,
        account,
        stamp: 1,
    };
    let outs = router.step(Duration::ZERO, Input::Message { target, message });
    let id = outs.iter().find_map(|out| match out {
        Output::Send(_, Message::Dispatch(dispatch)) => Some(dispatch.id),
        _ => None,
    });
    let part = Chunk {
        id: id.expect("a request waits"),
        offset: 0,
        head: Some(Rc::new(head(200))),
        data: Bytes::from_static(b"answer"),
        end: Some(Rc::new(End {
            length: 6,
            trailers: Vec::new(),
        })),
    };
    let message = Message::Chunk(part);
    black_box(router.step(Duration::ZERO, Input::Message { target, message }));
}

fn router_time(requests: usize) -> f64 {
    least(|| {
        let mut router = router(LINKED);
        let start = Instant::now();
        for i in 0..requests {
            router.arrive(Duration::ZERO, ask(account(1)));
            serve(&mut router, 1 + i as u64, account(1));
        }
        start.elapsed()
    })
}

/// The time of a thousand requests while as many accounts wait.
fn router_time_backlogged(accounts: usize) -> f64 {
    let mut router = router(LINKED);
    for i in 0..accounts {
        router.arrive(Duration::ZERO, ask(account(i)));
    }
    let mut grant = 0;
    least(|| {
        let start = Instant::now();
        for i in 0..1_000 {
            grant += 1;
            router.arrive(Duration::ZERO, ask(account(i % accounts)));
            serve(&mut router, grant, account(i % accounts));
        }
        start.elapsed()
    })
}

fn router_tick(accounts: usize) -> f64 {
    let mut router = router(LINKED);
    for i in 0..accounts {
        router.arrive(Duration::ZERO, ask(account(i)));
    }
    for i in 0..20 {
        router.step(Duration::from_millis(30 * i), Input::Tick);
    }
    least(|| {
        let start = Instant::now();
        router.step(Duration::from_millis(900), Input::Tick);
        start.elapsed()
    })
}

fn new_sidecar() -> Sidecar {
    let mut sidecar = Sidecar::new(sidecar::Settings {
        target: id("t"),
        service: id("svc"),
        slots: 8,
        incarnation: 70,
        epoch_offset: Duration::ZERO,
    });
    let rules = Rc::new(parsed(100));
    sidecar.step(Duration::ZERO, sidecar::Input::Rules(rules));
    for router in 0..member::SUBSET_SIZE as u32 {
        let incarnation = u64::from(router) + 9;
        let up = sidecar::Input::Up {
            router,
            incarnation,
        };
        sidecar.step(Duration::ZERO, up);
    }
    sidecar
}

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

fn sidecar_time(requests: usize) -> f64 {
    least(|| {
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

fn sidecar_tick(accounts: usize) -> f64 {
    let mut sidecar = new_sidecar();
    for i in 0..accounts {
        let message = Message::Demand {
            account: account(i),
            waiting: 5,
            sidecars: LINKED,
        };
        let router = (i % member::SUBSET_SIZE) as u32;
        sidecar.step(Duration::ZERO, sidecar::Input::Message { router, message });
    }
    let mut now = Duration::ZERO;
    least(|| {
        now += Duration::from_millis(100);
        let start = Instant::now();
        black_box(sidecar.step(now, sidecar::Input::Tick));
        start.elapsed()
    })
}

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
    held(fill).1
}

fn key_state(count: usize) -> f64 {
    let fill = || {
        let mut keys = Keys::new(Duration::ZERO);
        for i in 0..count as u128 {
            let bid = IdempotencyKey {
                key: i << 64 | i,
                issued: None,
                fingerprint: 1,
            };
            black_box(keys.claim(Duration::from_secs(1_000), &bid));
        }
        keys
    };
    held(fill).1
}

fn parent_choice(routers: usize) -> f64 {
    let all: Vec<_> = (0..routers).map(account).collect();
    least(|| {
        let start = Instant::now();
        black_box(member::parents(all[routers / 2], &all));
        start.elapsed()
    })
}

fn reader_choice(processes: usize) -> f64 {
    let all: Vec<_> = (0..processes).map(account).collect();
    least(|| {
        let start = Instant::now();
        black_box(member::is_reader(
            all[processes / 2],
            &all,
            member::READER_COUNT,
        ));
        start.elapsed()
    })
}

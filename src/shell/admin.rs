//! The HTTP interface of a process for operators: health, readiness, status and metrics.

use std::{
    convert::Infallible,
    rc::Rc, //
};

use bytes::Bytes;
use compio::{
    net::TcpListener,
    runtime::spawn,
    time::sleep, //
};
use cyper_core::HyperStream;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use prometheus::{
    Encoder,
    IntGaugeVec,
    Opts,
    Registry,
    TextEncoder, //
};
use serde::Serialize;

use super::{
    body::Body,
    link::Counters,
    panics,
    router::{
        self,
        PeerId,
        TICK_INTERVAL, //
    },
    sidecar, //
};
use crate::wire::RulesVersion;

/// The status of a router, as `redwingyard status` prints it.
#[derive(Debug, Serialize)]
struct RouterStatus {
    name: String,
    generation: u64,
    digest: String,
    since_seconds: u64,
    /// The peers that have another version of the rules than this router.
    behind: Vec<String>,
    backlog: Vec<Backlog>,
    targets: Vec<TargetStatus>,
}

/// The backlog of one account at one service.
#[derive(Debug, Serialize)]
struct Backlog {
    service: String,
    account: String,
    waiting: usize,
    usage_us: u64,
}

/// The state of one target as a router sees it.
#[derive(Debug, Serialize)]
struct TargetStatus {
    target: String,
    service: String,
    offered: u32,
    leaving: bool,
}

/// The status of a sidecar, as `redwingyard status` prints it.
#[derive(Debug, Serialize)]
struct SidecarStatus {
    name: String,
    service: String,
    generation: u64,
    digest: String,
    running: usize,
    taken: usize,
    records: usize,
    leaving: bool,
}

pub(super) async fn serve_router(process: Rc<router::Process>, listener: TcpListener) {
    serve(listener, move |path| router_page(&process, path)).await;
}

pub(super) async fn serve_sidecar(process: Rc<sidecar::Process>, listener: TcpListener) {
    serve(listener, move |path| sidecar_page(&process, path)).await;
}

/// Serves the pages that `page` returns for a path. Other paths get status 404.
pub(super) async fn serve(listener: TcpListener, page: impl Fn(&str) -> Option<Page> + 'static) {
    let page = Rc::new(page);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(TICK_INTERVAL).await;
            continue;
        };
        let page = page.clone();
        spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let page = page(request.uri().path());
                async move { Ok::<_, Infallible>(respond(page)) }
            });
            let _ = http1::Builder::new()
                .serve_connection(HyperStream::new_plain(stream), service)
                .await;
        })
        .detach();
    }
}

/// The status and the body of a page.
pub(super) type Page = (StatusCode, Vec<u8>);

fn respond(page: Option<Page>) -> Response<Body> {
    let (status, text) = page.unwrap_or((StatusCode::NOT_FOUND, b"not found\n".to_vec()));
    let mut response = Response::new(Body::full(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

pub(super) fn ready(is_ready: bool) -> Page {
    match is_ready {
        true => (StatusCode::OK, b"ready\n".to_vec()),
        false => (StatusCode::SERVICE_UNAVAILABLE, b"not ready\n".to_vec()),
    }
}

pub(super) fn json(value: &impl Serialize) -> Page {
    let mut text =
        serde_json::to_vec_pretty(value).expect("a status can be serialized to JSON in memory");
    text.push(b'\n');
    (StatusCode::OK, text)
}

fn router_page(process: &router::Process, path: &str) -> Option<Page> {
    Some(match path {
        "/healthz" => (StatusCode::OK, b"ok\n".to_vec()),
        "/readyz" => {
            let targets = process.core.borrow().targets().count();
            let has_rules = process.rules_sync.version().generation > 0;
            ready(has_rules && targets > 0 && !process.is_stopping())
        }
        "/status" => json(&router_status(process)),
        "/metrics" => metrics(&router_gauges(process)),
        _ => return None,
    })
}

fn router_status(process: &router::Process) -> RouterStatus {
    let core = process.core.borrow();
    let rules = process.rules();
    let version = process.rules_sync.version();
    let in_force = process
        .clock
        .now()
        .saturating_sub(process.rules_sync.adopted_at());
    let behind = process
        .versions
        .borrow()
        .iter()
        .filter(|(_, other)| **other != version)
        .map(|(peer, _)| match peer {
            PeerId::Router(router) => format!("router {router:08x}"),
            PeerId::Sidecar(target) => format!("sidecar of {}", rules.name(*target)),
        })
        .collect();
    let backlog = core.backlog().map(|((service, account), waiting)| Backlog {
        service: rules.name(service).to_string(),
        account: rules.name(account).to_string(),
        waiting,
        usage_us: core.table(service).map_or(0, |table| table.usage(account)),
    });
    let targets = core
        .targets()
        .map(|(target, service, offered)| TargetStatus {
            target: rules.name(target).to_string(),
            service: rules.name(service).to_string(),
            offered,
            leaving: rules.leaving_entry(target).is_some(),
        });
    RouterStatus {
        name: process.settings.name.clone(),
        generation: version.generation,
        digest: digest(version),
        since_seconds: in_force.as_secs(),
        behind,
        backlog: backlog.collect(),
        targets: targets.collect(),
    }
}

fn sidecar_page(process: &sidecar::Process, path: &str) -> Option<Page> {
    Some(match path {
        "/healthz" => (StatusCode::OK, b"ok\n".to_vec()),
        "/readyz" => ready(!process.core.borrow().is_leaving()),
        "/status" => json(&sidecar_status(process)),
        "/metrics" => metrics(&sidecar_gauges(process)),
        _ => return None,
    })
}

fn sidecar_status(process: &sidecar::Process) -> SidecarStatus {
    let core = process.core.borrow();
    let version = process.rules_sync.version();
    SidecarStatus {
        name: process.settings.name.clone(),
        service: process.settings.service.clone(),
        generation: version.generation,
        digest: digest(version),
        running: core.running(),
        taken: core.taken(),
        records: core.records().len(),
        leaving: core.is_leaving(),
    }
}

fn digest(version: RulesVersion) -> String {
    format!("{:016x}", version.digest)
}

/// A gauge: its name, its help text, its labels with their values, and its own value.
type Gauge = (&'static str, &'static str, Vec<(&'static str, String)>, i64);

fn router_gauges(process: &router::Process) -> Vec<Gauge> {
    let core = process.core.borrow();
    let rules = process.rules();
    let generation = process.rules_sync.version().generation as i64;
    let mut gauges = vec![
        (
            "redwingyard_generation",
            "Generation in force.",
            vec![],
            generation,
        ),
        (
            "redwingyard_requests",
            "Requests that have not ended.",
            vec![],
            core.active() as i64,
        ),
    ];
    gauges.extend(process_gauges(&process.counters));
    for ((service, account), waiting) in core.backlog() {
        let labels = vec![
            ("service", rules.name(service).to_string()),
            ("account", rules.name(account).to_string()),
        ];
        gauges.push((
            "redwingyard_backlog",
            "Requests that wait.",
            labels,
            waiting as i64,
        ));
    }
    for (service, table) in core.tables() {
        for (account, usage) in table.usages() {
            let labels = vec![
                ("service", rules.name(service).to_string()),
                ("account", rules.name(account).to_string()),
            ];
            let help = "Service received over share, in microseconds of a slot.";
            gauges.push(("redwingyard_usage_us", help, labels, usage as i64));
        }
    }
    gauges
}

fn sidecar_gauges(process: &sidecar::Process) -> Vec<Gauge> {
    let core = process.core.borrow();
    let generation = process.rules_sync.version().generation as i64;
    let mut gauges = vec![
        (
            "redwingyard_generation",
            "Generation in force.",
            vec![],
            generation,
        ),
        (
            "redwingyard_running",
            "Attempts at the target.",
            vec![],
            core.running() as i64,
        ),
        (
            "redwingyard_slots_taken",
            "Slots taken.",
            vec![],
            core.taken() as i64,
        ),
        (
            "redwingyard_records",
            "Outcomes kept.",
            vec![],
            core.records().len() as i64,
        ),
    ];
    gauges.extend(process_gauges(&process.counters));
    gauges
}

/// Returns the gauges of the traffic on a process's links, and of its panics.
fn process_gauges(counters: &Counters) -> [Gauge; 3] {
    let gauge = |name, help, value: u64| (name, help, vec![], value as i64);
    [
        gauge(
            "redwingyard_link_sent_bytes",
            "Bytes sent on links.",
            counters.sent_bytes.get(),
        ),
        gauge(
            "redwingyard_link_received_bytes",
            "Bytes received on links.",
            counters.received_bytes.get(),
        ),
        gauge(
            "redwingyard_panics_total",
            "Panics since the start of the process, each a fault of it.",
            panics::count(),
        ),
    ]
}

/// Returns the metrics page in Prometheus' text format.
fn metrics(gauges: &[Gauge]) -> Page {
    let registry = Registry::new();
    let mut families = std::collections::BTreeMap::new();
    for (name, help, labels, value) in gauges {
        let keys: Vec<_> = labels.iter().map(|(key, _)| *key).collect();
        let values: Vec<_> = labels.iter().map(|(_, value)| value.as_str()).collect();
        let family = families.entry(*name).or_insert_with(|| {
            let family = IntGaugeVec::new(Opts::new(*name, *help), &keys);
            let family = family.expect("the name and the labels of the gauge are valid");
            let _ = registry.register(Box::new(family.clone()));
            family
        });
        family.with_label_values(&values).set(*value);
    }
    let mut text = Vec::new();
    let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    (StatusCode::OK, text)
}

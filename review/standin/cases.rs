//! The clients and the operator of each case, and the check of its rule.
//!
//! A case returns 1 if the rule was broken, 0 if it held, and 2 if it could not be judged.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::http::{Answer, Client, drill, now_ms, put_item, record, upload};

const HOST: &str = "shop.example";

/// `configApplyMs` of the site.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// `revokeMs` of the site, in milliseconds.
const REVOKE_MS: u128 = 5_000;

/// The tenant whose key is taken away.
const REVOKED: u32 = 3;

static LAST_ID: AtomicU32 = AtomicU32::new(0);

/// What a case gets from its script.
struct Case {
    options: BTreeMap<String, String>,
    /// The addresses of the gateways for clients.
    gateways: Vec<String>,
}

/// Runs a case by its name.
pub fn run(args: &[String]) -> i32 {
    let options = args.iter().skip(1).filter_map(|arg| arg.split_once('='));
    let options: BTreeMap<_, _> = options
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let gateways = options.get("gateways").cloned().unwrap_or_default();
    let case = Arc::new(Case {
        gateways: gateways.split(',').map(str::to_owned).collect(),
        options,
    });
    match args.first().map(String::as_str) {
        Some("configure") => case.configure(),
        Some("growth") => case.growth(),
        Some("release") => case.release(),
        Some("leaving") => case.leaving(),
        Some("operate") => case.operate(),
        Some("drill") => case.drill(),
        Some("burst") => case.burst(),
        _ => 2,
    }
}

/// A route of the operator's configuration.
struct Route {
    name: &'static str,
    prefix: &'static str,
    kind: &'static str,
    service: &'static str,
    /// Whether its requests carry no key.
    anonymous: bool,
}

impl Route {
    fn json(&self) -> String {
        let (timeout, objective) = match self.kind {
            "streaming" => (15_000, 400),
            _ => (1_200, 150),
        };
        let stream = self.kind == "streaming";
        let attempts = if self.kind == "unsafe" { 1 } else { 2 };
        format!(
            "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"prefix\":\"{}\",\"kind\":\"{}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{objective},\"priority\":1,\
             \"service\":\"{}\",\"maxAttempts\":{attempts},\"anonymous\":{},\"sticky\":false,\
             \"resumable\":{stream},\"gapAimMs\":400}}",
            self.name, self.prefix, self.kind, self.service, self.anonymous
        )
    }
}

/// Returns a configuration; each tenant has one key.
fn configuration(version: u32, routes: &[Route], tenants: u32) -> String {
    let tenants: Vec<_> = (0..tenants).collect();
    configuration_of(version, routes, &tenants)
}

fn configuration_of(version: u32, routes: &[Route], tenants: &[u32]) -> String {
    let services: BTreeSet<_> = routes.iter().map(|route| route.service).collect();
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":100,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let services: Vec<_> = services.collect();
    let routes: Vec<_> = routes.iter().map(Route::json).collect();
    let tenants: Vec<_> = tenants
        .iter()
        .map(|tenant| {
            format!(
                "{{\"name\":\"{}\",\"apiKeys\":[\"{}\"],\"priority\":1}}",
                tenant_name(*tenant),
                key(*tenant)
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000,\"tokensPerS\":430000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

fn tenant_name(tenant: u32) -> String {
    format!("stall{tenant:05}")
}

fn key(tenant: u32) -> String {
    format!("asnmgkcuyj8p{tenant:08}")
}

/// A request to a gateway, with a new id.
struct Request {
    id: String,
    text: String,
}

impl Request {
    fn new(method: &str, path: &str, deadline: u32, key: Option<&str>) -> Self {
        let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("9c41d07b{number:08x}");
        let key = key.map_or(String::new(), |key| format!("Credential: {key}\r\n"));
        let length = if method == "GET" {
            ""
        } else {
            "Content-Length: 0\r\n"
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Deadline: {deadline}\r\n{key}{length}\r\n"
        );
        Self { id, text }
    }
}

impl Case {
    fn option(&self, name: &str) -> &str {
        self.options.get(name).map_or("", String::as_str)
    }

    fn has_trouble(&self) -> bool {
        self.option("trouble") != "0"
    }

    fn log(&self, line: &str) {
        record(self.option("record"), line);
    }

    /// Writes a configuration. Returns when the store has acknowledged it.
    fn write_configuration(&self, text: &str) -> Option<Instant> {
        let written = put_item(self.option("store"), "op/config", text);
        let at = Instant::now();
        let bytes = text.len();
        self.log(&format!(
            "operator writes op/config, {bytes} bytes, acknowledged {written}"
        ));
        written.then_some(at)
    }

    fn log_answer(&self, at: &str, request: &Request, answer: Option<&Answer>) {
        let line = request.text.lines().next().unwrap_or_default();
        let outcome = match answer {
            Some(answer) => format!(
                "status {} complete {} bytes {}",
                answer.head.status(),
                answer.complete,
                answer.body.len()
            ),
            None => "the connection is closed without an answer".to_owned(),
        };
        self.log(&format!("client {} at {at}: {line}: {outcome}", request.id));
    }

    /// Returns the ids of the requests that runners have begun, by the runner's name.
    fn runs(&self) -> BTreeMap<String, String> {
        let text = fs::read_to_string(self.option("record")).unwrap_or_default();
        let run = |line: &str| {
            let words: Vec<_> = line.split(' ').collect();
            match words[..] {
                [_, "runner", name, "runs", id, ..] => Some((id.to_owned(), name.to_owned())),
                _ => None,
            }
        };
        text.lines().filter_map(run).collect()
    }

    /// Writes the first configuration of a case, before the gateways are started.
    fn configure(&self) -> i32 {
        let text = match self.option("case") {
            "growth" => configuration(1, &growth_routes("shop-api"), 16),
            "release" => configuration(1, &release_routes(), 16),
            "leaving" => configuration(1, &[stream_route()], 16),
            "drill" => configuration(1, &[keyed_route()], 16),
            "burst" => configuration(1, &[letter_route()], 16),
            _ => return 2,
        };
        match self.write_configuration(&text) {
            Some(_) => 0,
            None => 2,
        }
    }

    /// The configuration grows by tenants, and moves a route to another service at the same time.
    /// CONFIG is broken if the old service runs requests sent later than `configApplyMs` after the
    /// acknowledgement.
    fn growth(&self) -> i32 {
        const TIME: Duration = Duration::from_secs(20);
        const INTERVAL: Duration = Duration::from_millis(200);
        let tenants = if self.has_trouble() { 10_000 } else { 16 };
        let open = |at: &str| {
            let request = Request::new("GET", "/chart/12", 2_500, None);
            let answer = Client::connect(at).and_then(|mut client| client.call(&request.text));
            self.log_answer(at, &request, answer.as_ref().ok());
            request.id
        };
        let keyed = |at: &str| {
            let request = Request::new("POST", "/profile/7", 2_500, Some(&key(3)));
            let answer = Client::connect(at).and_then(|mut client| client.call(&request.text));
            self.log_answer(at, &request, answer.as_ref().ok());
            answer.is_ok_and(|answer| answer.head.status() == 200)
        };
        for at in &self.gateways {
            let id = open(at);
            if self.runs().get(&id).map(String::as_str) != Some("i-old") || !keyed(at) {
                return 2;
            }
        }
        let text = configuration(2, &growth_routes("shop-new"), tenants);
        let Some(acknowledged) = self.write_configuration(&text) else {
            return 2;
        };
        let mut late = Vec::new();
        let (mut served, mut asked) = (0, 0);
        while acknowledged.elapsed() < TIME {
            for at in &self.gateways {
                let is_late = acknowledged.elapsed() > APPLY_TIME;
                let id = open(at);
                if is_late {
                    late.push(id);
                    asked += 1;
                    served += u32::from(keyed(at));
                }
            }
            sleep(INTERVAL);
        }
        let runs = self.runs();
        let by = |name: &str| {
            let named = late
                .iter()
                .filter(|id| runs.get(*id).is_some_and(|by| by == name));
            named.count()
        };
        let (old, new) = (by("i-old"), by("i-new"));
        self.log(&format!(
            "result: of {} requests on the moved route sent later than configApplyMs after the \
             acknowledgement, the old service ran {old} and the new one {new}; {served} of {asked} \
             requests with a key were served",
            late.len()
        ));
        i32::from(old > 0)
    }

    /// The runners of a service are replaced by a new version that states another idle timeout. LOST
    /// is broken if more than three requests from kept connections are passed on to the new runner,
    /// and their connections closed without an answer.
    fn release(self: &Arc<Self>) -> i32 {
        /// The callers of each gateway, each with one request at a time.
        const CALLERS: usize = 4;
        let caller = |index: usize| {
            let case = self.clone();
            thread::spawn(move || case.call_in_turn(index % case.gateways.len()))
        };
        let callers: Vec<_> = (0..CALLERS * self.gateways.len()).map(caller).collect();
        let mut unanswered = Vec::new();
        let mut answered = 0;
        for caller in callers {
            let Ok(Some((count, ids))) = caller.join() else {
                return 2;
            };
            answered += count;
            unanswered.extend(ids);
        }
        let runs = self.runs();
        let passed = |id: &&String| runs.get(*id).is_some_and(|name| name == "i-new");
        let lost = unanswered.iter().filter(passed).count();
        let ran_new = runs.values().filter(|name| *name == "i-new").count();
        self.log(&format!(
            "result: {answered} requests answered, {} connections closed without an answer, {lost} of \
             them with a request that the new runner had run; the new runner ran {ran_new}",
            unanswered.len()
        ));
        match (ran_new, lost) {
            (0, _) => 2,
            (_, lost) => i32::from(lost > 3),
        }
    }

    /// Sends writes to a gateway on kept connections. Returns how many were answered, and the ids of
    /// those whose connections were closed without an answer; `None` if no connection can be kept.
    fn call_in_turn(&self, gateway: usize) -> Option<(u32, Vec<String>)> {
        const TIME: Duration = Duration::from_secs(12);
        const INTERVAL: Duration = Duration::from_millis(100);
        let at = &self.gateways[gateway];
        let start = Instant::now();
        let (mut answered, mut unanswered) = (0, Vec::new());
        let mut kept: Option<Client> = None;
        while start.elapsed() < TIME {
            let mut client = match kept.take() {
                Some(client) => client,
                None => {
                    // The connection is kept from an answered request of another service.
                    let request = Request::new("GET", "/chart/12", 2_500, None);
                    let mut client = Client::connect(at).ok()?;
                    let answer = client.call(&request.text).ok()?;
                    self.log_answer(at, &request, Some(&answer));
                    (answer.head.status() == 200).then_some(client)?
                }
            };
            let request = Request::new("POST", "/profile/7", 2_500, None);
            let answer = client.call(&request.text).ok();
            self.log_answer(at, &request, answer.as_ref());
            match answer {
                Some(_) => {
                    answered += 1;
                    kept = Some(client);
                }
                None => unanswered.push(request.id),
            }
            sleep(INTERVAL);
        }
        Some((answered, unanswered))
    }

    /// A runner leaves in the planned way while it streams. ORDER is broken if a stream ends as
    /// complete before its last piece.
    fn leaving(self: &Arc<Self>) -> i32 {
        const STREAMS: usize = 28;
        const LEAVE_AFTER: Duration = Duration::from_millis(1_000);
        let stream = |index: usize| {
            let case = self.clone();
            thread::spawn(move || {
                let at = &case.gateways[index % case.gateways.len()];
                let request = Request::new("POST", "/question/7", 15_000, Some(&key(3)));
                let answer = Client::connect(at).and_then(|mut client| client.call(&request.text));
                case.log_answer(at, &request, answer.as_ref().ok());
                answer.ok()
            })
        };
        let streams: Vec<_> = (0..STREAMS).map(stream).collect();
        sleep(LEAVE_AFTER);
        if self.has_trouble() {
            let path = Path::new(self.option("folder")).join("i-1.leave");
            fs::write(path, "").expect("the folder can be written");
        }
        let pieces: u64 = self.option("events").parse().unwrap_or(0);
        let (mut whole, mut visible, mut false_ends, mut disorder) = (0, 0, 0, 0);
        for stream in streams {
            let Ok(Some(answer)) = stream.join() else {
                visible += 1;
                continue;
            };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
            let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
            let count = ids.len() as u64;
            let in_order = ids.iter().copied().eq(1..=count);
            let succeeded = answer.head.status() == 200;
            self.log(&format!(
                "stream status {} pieces {count} of {pieces} in order {in_order} ended as complete {}",
                answer.head.status(),
                answer.complete
            ));
            match (succeeded, answer.complete, count == pieces) {
                _ if succeeded && !in_order => disorder += 1,
                (true, true, false) => false_ends += 1,
                (true, true, true) => whole += 1,
                _ => visible += 1,
            }
        }
        self.log(&format!(
            "result: {whole} streams whole, {visible} visibly failed or broken off, {false_ends} ended \
             as complete before their last piece, {disorder} out of order"
        ));
        match whole + visible + false_ends + disorder {
            STREAMS => i32::from(false_ends + disorder > 0),
            _ => 2,
        }
    }
}

impl Case {
    /// Does what the operator or the platform does in a step of the drill.
    fn operate(&self) -> i32 {
        let step = self.option("step");
        let done = match step {
            "revoke" | "write-again" => {
                let tenants: Vec<_> = (0..16).filter(|tenant| *tenant != REVOKED).collect();
                let text = configuration_of(2, &[keyed_route()], &tenants);
                self.write_configuration(&text).is_some()
            }
            _ => drill(self.option("store"), step),
        };
        self.log(&format!("platform step {step} done {done}"));
        if done { 0 } else { 2 }
    }

    /// A key is taken away, and the store comes back from a copy that is older than that, while the
    /// gateways are stopped and started in turn. CONFIG is broken if a request with the key runs that
    /// was sent later than `revokeMs` after the acknowledgement.
    fn drill(&self) -> i32 {
        const INTERVAL: Duration = Duration::from_millis(50);
        let seconds = self.option("seconds").parse().unwrap_or(0);
        let start = Instant::now();
        let mut sent = Vec::new();
        let (mut others, mut others_served) = (0, 0);
        while start.elapsed() < Duration::from_secs(seconds) {
            for at in &self.gateways {
                for tenant in [REVOKED, REVOKED + 1] {
                    let request = Request::new("POST", "/profile/7", 2_500, Some(&key(tenant)));
                    let sent_ms = now_ms();
                    let answer = Client::connect(at).and_then(|mut client| {
                        client.call(&request.text) //
                    });
                    let Ok(answer) = answer else {
                        continue;
                    };
                    let kind = if tenant == REVOKED { "taken" } else { "held" };
                    let at = format!("{at} with the {kind} key");
                    self.log_answer(&at, &request, Some(&answer));
                    match tenant {
                        REVOKED => sent.push((request.id, sent_ms)),
                        _ => {
                            others += 1;
                            others_served += u32::from(answer.head.status() == 200);
                        }
                    }
                }
            }
            sleep(INTERVAL);
        }
        let text = fs::read_to_string(self.option("record")).unwrap_or_default();
        let revoked = text
            .lines()
            .find(|line| line.contains("step revoke done true"));
        let revoked = revoked.and_then(|line| line.split(' ').next()?.parse::<u128>().ok());
        let Some(revoked) = revoked else {
            return 2;
        };
        let runs = self.runs();
        let run = |after: u128| {
            let late = sent
                .iter()
                .filter(|(_, sent_ms)| *sent_ms > revoked + after);
            late.filter(|(id, _)| runs.contains_key(id)).count()
        };
        let before = sent.iter().filter(|(_, sent_ms)| *sent_ms <= revoked);
        let before = before.filter(|(id, _)| runs.contains_key(id)).count();
        let (late, latest) = (
            run(REVOKE_MS),
            sent.iter()
                .filter(|(id, _)| runs.contains_key(id))
                .map(|(_, sent_ms)| sent_ms.saturating_sub(revoked))
                .max(),
        );
        self.log(&format!(
            "result: with the taken key, {before} requests ran before it was taken away, and {late} that \
             were sent later than revokeMs after that, the last {} ms after; with another key \
             {others_served} of {others} were served",
            latest.unwrap_or(0)
        ));
        match before {
            0 => 2,
            _ => i32::from(late > 0),
        }
    }
}

impl Case {
    /// Many clients send long prompts at once, each within `maxBodyBytes`. The script plays the
    /// platform, which kills a process that exceeds `memoryMb`. Fault is broken if that happens three
    /// times on two machines.
    fn burst(self: &Arc<Self>) -> i32 {
        /// `maxBodyBytes` of the site.
        const BODY: usize = 4_194_304;
        /// The time in which a client sends a body: 100 of them take four fifths of a link.
        const UPLOAD_TIME: Duration = Duration::from_millis(4_200);
        /// The pause of a client after an answer; longer than the `Retry-After` of a refusal.
        const PAUSE: Duration = Duration::from_millis(1_000);
        const BURST: usize = 100;
        const USUAL: usize = 5;
        let seconds = self.option("seconds").parse().unwrap_or(0);
        let clients = if self.has_trouble() { BURST } else { USUAL };
        let start = Instant::now();
        let client = |index: usize| {
            let case = self.clone();
            thread::spawn(move || {
                let at = &case.gateways[index % case.gateways.len()];
                let mut counts = BTreeMap::new();
                while start.elapsed() < Duration::from_secs(seconds) {
                    let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
                    let id = format!("9c41d07b{number:08x}");
                    let head = format!(
                        "POST /letter/7 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
                         Model: m\r\nToken-Count: 6610,64\r\nDeadline: 15000\r\n\
                         Credential: {}\r\nContent-Length: {BODY}\r\n\r\n",
                        key(index as u32 % 16)
                    );
                    let answer = upload(at, &head, BODY, UPLOAD_TIME);
                    let outcome = match &answer {
                        Ok(answer) if answer.complete => answer.head.status().to_string(),
                        Ok(_) => "broken off".to_owned(),
                        Err(err) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                            "no process".to_owned()
                        }
                        Err(_) => "closed without an answer".to_owned(),
                    };
                    if outcome != "no process" {
                        case.log(&format!(
                            "client {id} at {at}: POST, {BODY} bytes: {outcome}"
                        ));
                    }
                    *counts.entry(outcome).or_insert(0u32) += 1;
                    sleep(PAUSE);
                }
                counts
            })
        };
        let clients: Vec<_> = (0..clients * self.gateways.len()).map(client).collect();
        let mut outcomes: BTreeMap<String, u32> = BTreeMap::new();
        for client in clients {
            for (outcome, count) in client.join().unwrap_or_default() {
                *outcomes.entry(outcome).or_default() += count;
            }
        }
        let text = fs::read_to_string(self.option("record")).unwrap_or_default();
        let kills = |gateway: &str| {
            let line = format!("platform kills {gateway} ");
            text.lines().filter(|found| found.contains(&line)).count()
        };
        let kills = [kills("edge-1"), kills("edge-2")];
        self.log(&format!(
            "result: processes killed for their memory: {kills:?}; requests by outcome: {outcomes:?}"
        ));
        match outcomes.get("200") {
            None => 2,
            Some(_) => i32::from(kills.iter().all(|kills| *kills >= 3)),
        }
    }
}

/// The moved route needs no key; the other one does.
fn growth_routes(service: &'static str) -> [Route; 2] {
    [
        Route {
            name: "chart-lookup",
            prefix: "/chart/",
            kind: "safe",
            service,
            anonymous: true,
        },
        Route {
            name: "profile-save",
            prefix: "/profile/",
            kind: "unsafe",
            service: "shop-new",
            anonymous: false,
        },
    ]
}

fn release_routes() -> [Route; 2] {
    [
        Route {
            name: "chart-lookup",
            prefix: "/chart/",
            kind: "safe",
            service: "shop-chart",
            anonymous: true,
        },
        Route {
            name: "profile-save",
            prefix: "/profile/",
            kind: "unsafe",
            service: "shop-api",
            anonymous: true,
        },
    ]
}

fn letter_route() -> Route {
    Route {
        name: "welcome-letter",
        prefix: "/letter/",
        kind: "streaming",
        service: "scribe-pool",
        anonymous: false,
    }
}

fn keyed_route() -> Route {
    Route {
        name: "profile-save",
        prefix: "/profile/",
        kind: "unsafe",
        service: "shop-api",
        anonymous: false,
    }
}

fn stream_route() -> Route {
    Route {
        name: "chart-question",
        prefix: "/question/",
        kind: "streaming",
        service: "sizer-llm",
        anonymous: false,
    }
}

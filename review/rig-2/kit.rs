//! Small pieces that all cases use: HTTP/1.1 on blocking sockets, a record, child processes and
//! the stand-in of the platform's store.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Milliseconds since the Unix epoch: the clock of the whole record, as all processes run on one
/// machine.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("the clock is after 1970").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(at: u64) {
    while now_ms() < at {
        sleep_ms((at - now_ms()).min(20));
    }
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub type Headers = Vec<(String, String)>;

pub fn field<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(known, _)| known == name);
    found.next().map(|(_, value)| value.as_str())
}

/// Reads the first line and the fields of a message; `None` at the end of the connection.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<(String, Headers)>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first, headers)));
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// What a client has seen of the answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The status; 0 if no head arrived.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub complete: bool,
    pub error: String,
}

/// Reads an answer as a client does.
pub fn read_answer(input: &mut impl BufRead) -> Seen {
    let mut seen = Seen::default();
    let head = match read_head(input) {
        Ok(Some(head)) => head,
        Ok(None) => {
            seen.error = "closed before a head".to_owned();
            return seen;
        }
        Err(err) => {
            seen.error = format!("no head: {err}");
            return seen;
        }
    };
    let status = head.0.split(' ').nth(1).and_then(|text| text.parse().ok());
    seen.status = status.unwrap_or(0);
    seen.headers = head.1;
    let chunked = field(&seen.headers, "transfer-encoding").is_some_and(|te| te.contains("chunked"));
    let length: Option<usize> =
        field(&seen.headers, "content-length").and_then(|text| text.parse().ok());
    let read = if chunked {
        read_chunks(input, &mut seen.body)
    } else if let Some(length) = length {
        read_exactly(input, length, &mut seen.body)
    } else {
        input.read_to_end(&mut seen.body).map(|_| ())
    };
    match read {
        Ok(()) => seen.complete = true,
        Err(err) => seen.error = format!("{err}"),
    }
    seen
}

fn read_exactly(input: &mut impl Read, length: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let read = input.take(length as u64).read_to_end(body)?;
    match read == length {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

fn read_chunks(input: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim_end().split(';').next().unwrap_or(""), 16);
        let size = size.map_err(|_| io::Error::other("bad chunk"))?;
        read_exactly(input, size, body)?;
        let mut end = String::new();
        if input.read_line(&mut end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(());
        }
    }
}

/// Sends one request on a new connection and reads its answer; `patience_ms` bounds each read.
pub fn call(to: SocketAddr, request: &str, patience_ms: u64) -> Seen {
    let failed = |err: io::Error| Seen {
        error: format!("not sent: {err}"),
        ..Seen::default()
    };
    let stream = match TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
        Ok(stream) => stream,
        Err(err) => return failed(err),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(patience_ms)));
    if let Err(err) = (&stream).write_all(request.as_bytes()) {
        return failed(err);
    }
    let mut input = BufReader::new(&stream);
    read_answer(&mut input)
}

/// The record of a case.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, u64)>>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new(Mutex::new((file, now_ms()))))
    }

    /// Writes a line, with the milliseconds since the start of the record.
    pub fn line(&self, text: &str) {
        self.line_at(now_ms(), text);
    }

    pub fn line_at(&self, at: u64, text: &str) {
        let mut record = self.0.lock().expect("no holder panics");
        let offset = at as i64 - record.1 as i64;
        let _ = writeln!(record.0, "{offset:>7} {text}");
    }
}

/// The child processes of this case, which are killed when it ends.
static CHILDREN: OnceLock<Mutex<Vec<(String, Child)>>> = OnceLock::new();

fn children() -> &'static Mutex<Vec<(String, Child)>> {
    CHILDREN.get_or_init(Mutex::default)
}

pub fn adopt(name: &str, child: Child) -> u32 {
    let id = child.id();
    let mut all = children().lock().expect("no holder panics");
    all.push((name.to_owned(), child));
    id
}

pub fn is_running(id: u32) -> bool {
    let mut all = children().lock().expect("no holder panics");
    let child = all.iter_mut().find(|(_, child)| child.id() == id);
    child.is_some_and(|(_, child)| matches!(child.try_wait(), Ok(None)))
}


/// Kills a child and waits for its end.
pub fn kill(id: u32) {
    let mut all = children().lock().expect("no holder panics");
    if let Some((_, child)) = all.iter_mut().find(|(_, child)| child.id() == id) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub fn end_all() {
    let mut all = children().lock().expect("no holder panics");
    for (_, child) in all.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, code: i32, why: &str) -> ! {
    record.line(&format!("verdict {code} {why}"));
    println!("verdict {code}: {why}");
    end_all();
    if std::env::var_os("KEEP").is_none() {
        crate::fleet::remove_scratch();
    }
    std::process::exit(code);
}

/// Returns a port that is free for TCP at all these addresses, and for UDP too.
pub fn free_port(ips: &[&str]) -> u16 {
    static TRIED: AtomicUsize = AtomicUsize::new(0);
    for _ in 0..200 {
        let first = TcpListener::bind((ips[0], 0)).expect("a port is free");
        let port = first.local_addr().expect("it has an address").port();
        TRIED.fetch_add(1, Ordering::Relaxed);
        let others = ips[1..].iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
        let udp = ips.iter().all(|ip| std::net::UdpSocket::bind((*ip, port)).is_ok());
        if others && udp {
            return port;
        }
    }
    panic!("no port is free");
}

/// A gateway process.
pub struct Gateway {
    pub id: u32,
    pub http: SocketAddr,
    pub admin: SocketAddr,
}

/// The ports that are the same at all gateways of a case.
#[derive(Clone, Copy)]
pub struct Ports {
    pub http: u16,
    pub admin: u16,
    pub peer: u16,
}

impl Ports {
    pub fn free(ips: &[&str]) -> Self {
        Self {
            http: free_port(ips),
            admin: free_port(ips),
            peer: free_port(ips),
        }
    }
}

/// Starts a gateway with the command of deploy/system.toml, and with the settings that its template
/// gives with the bounds of fitwell-tw.
pub fn start_gateway(
    dir: &str,
    name: &str,
    ip: &str,
    ports: Ports,
    seeds: &[&str],
    store: SocketAddr,
) -> Gateway {
    start_gateway_with(dir, name, ip, ports, seeds, store, 260, None)
}

/// Does the same with another `memoryMb`, and with `maxFds`, which the platform sets for the process.
pub fn start_gateway_with(
    dir: &str,
    name: &str,
    ip: &str,
    ports: Ports,
    seeds: &[&str],
    store: SocketAddr,
    memory_mb: u64,
    descriptors: Option<usize>,
) -> Gateway {
    start_gateway_in("tw-north-a", dir, name, ip, ports, seeds, store, memory_mb, descriptors)
}

/// Does the same in another zone.
#[allow(clippy::too_many_arguments)]
pub fn start_gateway_in(
    zone: &str,
    dir: &str,
    name: &str,
    ip: &str,
    ports: Ports,
    seeds: &[&str],
    store: SocketAddr,
    memory_mb: u64,
    descriptors: Option<usize>,
) -> Gateway {
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}:{}\"", ports.admin)).collect();
    let settings = format!(
        "{{\"name\":\"{name}\",\"domain\":\"{zone}\",\"http\":\"{ip}:{}\",\
         \"admin\":\"{ip}:{}\",\"peer\":\"{ip}:{}\",\"seeds\":[{}],\"store\":\"{store}\",\
         \"trust_ms\":5000,\"apply_ms\":2000,\
         \"retry\":{{\"ratio\":0.2,\"window_s\":10,\"slack\":54}},\
         \"memory_mb\":{memory_mb},\"stop_s\":8}}",
        ports.http,
        ports.admin,
        ports.peer,
        seeds.join(",")
    );
    let path = format!("{dir}/{name}.json");
    std::fs::write(&path, settings).expect("the settings can be written");
    let log = open_log(&format!("{dir}/{name}.log"));
    let errors = log.try_clone().expect("the log can be shared");
    let mut command = match descriptors {
        None => Command::new("target/release/redwingyard"),
        Some(most) => {
            let mut shell = Command::new("sh");
            let line = format!("ulimit -n {most}; exec target/release/redwingyard \"$@\"");
            shell.args(["-c", &line, "sh"]);
            shell
        }
    };
    let child = command
        .arg("gateway")
        .env("REDWINGYARD_NODE_FILE", &path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the gateway starts; build it first");
    let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
    Gateway {
        id: adopt(name, child),
        http: address(ports.http),
        admin: address(ports.admin),
    }
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.admin, request, 1_000).status == 200
    }

    pub fn status(&self) -> String {
        let request = "GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        String::from_utf8_lossy(&call(self.admin, request, 1_000).body).into_owned()
    }

    /// Waits until the gateway is ready.
    pub fn await_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(15) {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }
}

// ---------------------------------------------------------------------------------- the store

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, (u64, u64, Vec<u8>)>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// The stand-in of the platform's store. It is always up and answers at once.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<Items>, Condvar)>,
    /// The calls of each path so far.
    pub key_calls: Arc<AtomicU64>,
}

impl Store {
    /// Starts the store at a free port.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.state.0.lock().expect("no holder panics").revision = 100;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes an item, or removes it; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.state.0.lock().expect("no holder panics");
        state.revision += 1;
        let revision = state.revision;
        let bytes = value.map(|value| value.as_bytes().to_vec());
        state.history.push((revision, key.to_owned(), bytes.clone()));
        match bytes {
            Some(bytes) => {
                let created = state.items.get(key).map_or(revision, |known| known.1);
                state.items.insert(key.to_owned(), (revision, created, bytes));
            }
            None => {
                state.items.remove(key);
            }
        }
        self.state.1.notify_all();
        now_ms()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(reader);
        while let Ok(Some((first, _))) = read_head(&mut input) {
            let target = first.split(' ').nth(1).unwrap_or("/").to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let get = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value).to_owned()
            };
            let (status, body) = match path {
                "/kv-key" => {
                    let answer = self.key(&decode(&get("key")));
                    self.key_calls.fetch_add(1, Ordering::SeqCst);
                    answer
                }
                "/kv-range" => self.range(&decode(&get("prefix")), &decode(&get("after"))),
                "/kv-watch" => {
                    let number = |name: &str| get(name).parse().unwrap_or(0);
                    self.watch(&decode(&get("prefix")), number("after"), number("waitMs"))
                }
                _ => (404, String::new()),
            };
            let reason = if status == 200 { "OK" } else { "Not Found" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n\
                 Store-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if (&stream).write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("no holder panics");
        match state.items.get(key) {
            Some(item) => {
                let item = item_json(key, item);
                let body = format!("{{{item},\"storeRevision\":{}}}", state.revision);
                (200, body)
            }
            None => (404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("no holder panics");
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<_> = found.map(|(key, item)| format!("{{{}}}", item_json(key, item))).collect();
        let more = items.len() > 50;
        items.truncate(50);
        let body = format!(
            "{{\"items\":[{}],\"morePages\":{more},\"storeRevision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().expect("no holder panics");
        loop {
            let newer = state.history.iter();
            let newer = newer.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<_> = newer
                .map(|(at, key, value)| match value {
                    Some(value) => format!("{{{}}}", item_json(key, &(*at, *at, value.clone()))),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).expect("no holder panics").0;
        }
    }
}

fn item_json(key: &str, (revision, created, value): &(u64, u64, Vec<u8>)) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"createRev\":{created},\
         \"lease\":0",
        base64(value)
    )
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| (word << 8) | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for i in 0..4 {
            match i <= part.len() {
                true => text.push(LETTERS[(word >> (18 - 6 * i)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%' && i + 2 < bytes.len())
            .then(|| u8::from_str_radix(&text[i + 1..i + 3], 16).ok())
            .flatten();
        match hex {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------------------------- the proxy

/// A proxy whose open connections can go silent for good, without a reset, while new ones work. It
/// can also be cut: then it holds all bytes, ends and new connections until the cut has healed.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// The connections that were opened in an earlier age are silent.
    age: Arc<AtomicU64>,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Self {
            address: listener.local_addr().expect("it has an address"),
            age: Arc::default(),
            cut: Arc::default(),
        };
        let shared = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.open(stream, to));
            }
        });
        proxy
    }

    fn open(&self, stream: TcpStream, to: SocketAddr) {
        self.await_healed();
        let Ok(other) = TcpStream::connect(to) else {
            return;
        };
        let _ = (stream.set_nodelay(true), other.set_nodelay(true));
        let age = self.age.load(Ordering::SeqCst);
        let ends = (stream.try_clone(), other.try_clone());
        let (Ok(back), Ok(forth)) = ends else {
            return;
        };
        for (from, to) in [(stream, forth), (other, back)] {
            let shared = self.clone();
            thread::spawn(move || shared.pass(from, to, age));
        }
    }

    /// Cuts or heals the path.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn await_healed(&self) {
        while self.cut.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
    }

    /// Makes all connections that are open now go silent.
    pub fn silence(&self) {
        self.age.fetch_add(1, Ordering::SeqCst);
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, age: u64) {
        let mut bytes = [0; 16_384];
        loop {
            let read = from.read(&mut bytes);
            self.await_healed();
            if self.age.load(Ordering::SeqCst) != age {
                // Nothing more goes through, in either direction, and nobody is told.
                loop {
                    thread::park();
                }
            }
            match read {
                Ok(0) | Err(_) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(read) => {
                    if to.write_all(&bytes[..read]).is_err() {
                        let _ = from.shutdown(Shutdown::Both);
                        return;
                    }
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------- log files

/// Opens a file to which several processes add whole lines.
pub fn open_log(path: &str) -> File {
    let mut options = OpenOptions::new();
    options.create(true).append(true).open(path).expect("the log can be written")
}

pub fn read_log(path: &str) -> Vec<Vec<String>> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let words = |line: &str| line.split(' ').map(str::to_owned).collect();
    text.lines().map(words).collect()
}

//! The platform's metadata store: items are read by key or by prefix, and changes are watched.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_body, read_head};

/// The largest value, `valueBytes` of the site.
const MAX_VALUE: usize = 1_048_576;

/// The items at some time, to which the store can return.
#[derive(Clone, Default)]
struct Copy {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    /// The number of times that the store has come back from an older copy.
    era: u64,
    /// Whether the store is away: it ends each connection without an answer.
    away: bool,
    copy: Copy,
    /// The last revision whose change is not in the history any more.
    compacted: u64,
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Each change: its revision, the key, and the new value unless the item was removed.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

impl State {
    fn apply(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.revision += 1;
        self.history
            .push((self.revision, key.to_owned(), value.clone()));
        match value {
            Some(value) => self.items.insert(key.to_owned(), (self.revision, value)),
            None => self.items.remove(key),
        };
    }

    /// Makes a step of a drill: the store is copied, goes away, and returns from the copy.
    fn drill(&mut self, step: &str) {
        match step {
            "copy" => {
                self.copy = Copy {
                    revision: self.revision,
                    items: self.items.clone(),
                }
            }
            "away" => self.away = true,
            "return" => {
                let copy = self.copy.clone();
                self.away = false;
                self.era += 1;
                self.revision = copy.revision;
                self.compacted = copy.revision;
                self.items = copy.items;
                self.history.clear();
            }
            _ => {}
        }
    }
}

#[derive(Default)]
struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Serves a store, and never returns.
pub fn serve(address: &str) -> i32 {
    let listener = TcpListener::bind(address).expect("the address is free");
    let store = Arc::new(Store::default());
    store.state.lock().expect("no holder panics").revision = 100;
    for stream in listener.incoming().flatten() {
        let store = store.clone();
        // A connection that fails ends.
        thread::spawn(move || store.serve_connection(stream).ok());
    }
    0
}

impl Store {
    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = read_head(&mut reader)?;
            let (body, _) = read_body(&mut reader, &head)?;
            let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
            let query = parse_query(query);
            let Some((status, text)) = self.handle(head.word(0), path, &query, body) else {
                return Ok(());
            };
            let era = self.state.lock().expect("no holder panics").era;
            let response = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            reader.get_mut().write_all(response.as_bytes())?;
        }
    }

    /// Handles a call; returns `None` if the connection ends without an answer.
    fn handle(
        &self,
        method: &str,
        path: &str,
        query: &BTreeMap<String, String>,
        body: Vec<u8>,
    ) -> Option<(u16, String)> {
        let get = |name: &str| query.get(name).map_or("", String::as_str);
        let mut state = self.state.lock().expect("no holder panics");
        if path == "/drill" {
            state.drill(get("step"));
            self.changed.notify_all();
            return Some((200, String::new()));
        }
        if state.away {
            return None;
        }
        Some(match (method, path) {
            ("PUT", "/item") if body.len() > MAX_VALUE => (413, String::new()),
            ("PUT", "/item") => {
                state.apply(get("key"), Some(body));
                self.changed.notify_all();
                (200, String::new())
            }
            ("DELETE", "/item") => {
                state.apply(get("key"), None);
                self.changed.notify_all();
                (200, String::new())
            }
            ("GET", "/kv-key") => match state.items.get(get("key")) {
                Some((revision, value)) => {
                    let item = item_fields(get("key"), *revision, value);
                    (
                        200,
                        format!("{{{item},\"storeRevision\":{}}}", state.revision),
                    )
                }
                None => (404, String::new()),
            },
            ("GET", "/kv-range") => {
                let found = state.items.iter().filter(|(key, _)| {
                    key.starts_with(get("prefix")) && key.as_str() > get("after")
                });
                let items: Vec<_> = found
                    .map(|(key, (revision, value))| {
                        format!("{{{}}}", item_fields(key, *revision, value))
                    })
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"morePages\":false,\"storeRevision\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            ("GET", "/kv-watch") => {
                let after: u64 = get("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(get("waitMs").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let era = state.era;
                loop {
                    if state.away || state.era != era {
                        return None;
                    }
                    if after < state.compacted || after > state.revision {
                        return Some((410, String::new()));
                    }
                    let events: Vec<_> = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| {
                            *revision > after && key.starts_with(get("prefix"))
                        })
                        .map(|(revision, key, value)| match value {
                            Some(value) => format!("{{{}}}", item_fields(key, *revision, value)),
                            None => format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                            ),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let text = format!(
                            "{{\"events\":[{}],\"storeRevision\":{}}}",
                            events.join(","),
                            state.revision
                        );
                        return Some((200, text));
                    }
                    let waited = self.changed.wait_timeout(state, left);
                    state = waited.expect("no holder panics").0;
                }
            }
            _ => (404, String::new()),
        })
    }
}

/// Returns the fields of an item without the braces around them.
fn item_fields(key: &str, revision: u64, value: &[u8]) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"createRev\":{revision},\
         \"lease\":0",
        base64(value)
    )
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.replace("%2F", "/")))
        .collect()
}

/// Encodes bytes as standard base64 text with padding.
fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            match index <= group.len() {
                true => text.push(ALPHABET[digit as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

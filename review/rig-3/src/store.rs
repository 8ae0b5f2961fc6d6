//! A stand-in of the platform's store, as PROTOCOL.md describes it.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::http::{Conn, Head};

#[derive(Clone, Default)]
struct Items {
    era: u64,
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    /// The key, the revision, and the value unless it was deleted.
    events: Vec<(String, u64, Option<(Vec<u8>, u64)>)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Items>, Condvar)>, Arc<Line>);

/// The connections to the store.
#[derive(Default)]
struct Line {
    away: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// A copy of what the store holds at a time.
pub struct Copy(Items);

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word =
            part.iter().fold(0_u32, |word, b| word << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            match i <= part.len() {
                true => text.push(SET[(word >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn item(key: &str, value: &[u8], revision: u64, created: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createRev\":{created},\"lease\":0}}"
    )
}

fn decode(text: &str) -> String {
    text.replace("%2F", "/")
        .replace("%2f", "/")
        .replace("%2D", "-")
}

fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| decode(v))
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 100;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                if store.1.away.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(handle) = stream.try_clone() {
                    store.1.streams.lock().unwrap().push(handle);
                }
                std::thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        (store, address)
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.0.0.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        let created = items
            .items
            .get(key)
            .map_or(revision, |(_, _, created)| *created);
        let value = value.as_bytes().to_vec();
        items
            .events
            .push((key.to_owned(), revision, Some((value.clone(), created))));
        items
            .items
            .insert(key.to_owned(), (value, revision, created));
        self.0.1.notify_all();
    }

    /// Returns a copy of what the store holds now.
    pub fn copy(&self) -> Copy {
        Copy(self.0.0.lock().unwrap().clone())
    }

    /// Closes all connections, and each new one at once, until the store returns.
    pub fn leave(&self) {
        self.1.away.store(true, Ordering::SeqCst);
        for stream in self.1.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Comes back from a copy, in the next era.
    pub fn return_from(&self, copy: Copy) {
        let mut items = self.0.0.lock().unwrap();
        let era = items.era + 1;
        *items = Items { era, ..copy.0 };
        drop(items);
        self.1.away.store(false, Ordering::SeqCst);
        self.0.1.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.head() {
            std::thread::sleep(Duration::from_millis(2));
            let (status, body) = self.answer(&head);
            let era = self.0.0.lock().unwrap().era;
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if conn.send(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head) -> (u16, String) {
        let target = head.target();
        let prefix = parameter(target, "prefix").unwrap_or_default();
        let mut items = self.0.0.lock().unwrap();
        if target.starts_with("/kv-key") {
            let key = parameter(target, "key").unwrap_or_default();
            let revision = items.revision;
            return match items.items.get(&key) {
                Some((value, written, created)) => {
                    let text = item(&key, value, *written, *created);
                    (
                        200,
                        format!("{},\"storeRevision\":{revision}}}", &text[..text.len() - 1]),
                    )
                }
                None => (404, format!("{{\"storeRevision\":{revision}}}")),
            };
        }
        if target.starts_with("/kv-range") {
            let after = parameter(target, "after").unwrap_or_default();
            let all = items.items.iter();
            let found: Vec<_> = all
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .take(501)
                .map(|(key, (value, revision, created))| item(key, value, *revision, *created))
                .collect();
            let more = found.len() > 500;
            let list = found
                .iter()
                .take(500)
                .cloned()
                .collect::<Vec<_>>()
                .join(",");
            let revision = items.revision;
            return (
                200,
                format!("{{\"items\":[{list}],\"morePages\":{more},\"storeRevision\":{revision}}}"),
            );
        }
        if !target.starts_with("/kv-watch") {
            return (404, "{}".to_owned());
        }
        let era = items.era;
        let since: u64 = parameter(target, "after")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        let wait: u64 = parameter(target, "waitMs")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        if since > items.revision {
            return (410, "{}".to_owned());
        }
        loop {
            if items.era != era {
                return (410, "{}".to_owned());
            }
            let fresh = items.events.iter();
            let fresh = fresh.filter(|(key, at, _)| *at > since && key.starts_with(&prefix));
            let list: Vec<_> = fresh
                .map(|(key, at, value)| match value {
                    Some((value, created)) => item(key, value, *at, *created),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !list.is_empty() || left.is_zero() {
                let revision = items.revision;
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"storeRevision\":{revision}}}",
                        list.join(",")
                    ),
                );
            }
            items = self.0.1.wait_timeout(items, left).unwrap().0;
        }
    }
}

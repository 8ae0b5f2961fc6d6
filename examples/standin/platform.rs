//! The platform, which publishes the rules and the VM list. It answers blocking queries as Consul
//! does, with raw values.

use std::{
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use compio::time::sleep;
use hyper::Response;

use super::server::{
    self,
    full, //
};

/// The interval at which a blocking query checks for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The values that the platform publishes. Clones share them, so they can be changed from any
/// thread.
#[derive(Clone, Debug, Default)]
pub struct Values {
    /// Each value with its index, which increases by one with each change of the value.
    values: Arc<Mutex<HashMap<String, (u64, String)>>>,
    /// The number of calls so far.
    pub calls: Arc<AtomicU64>,
    /// Whether every call is answered with 503.
    pub down: Arc<AtomicBool>,
}

impl Values {
    /// Sets a value and increases its index.
    pub fn set(&self, key: &str, text: &str) {
        let mut values = self.values.lock().expect("no holder of the lock panics");
        let index = values.get(key).map_or(0, |(index, _)| *index) + 1;
        values.insert(key.to_owned(), (index, text.to_owned()));
    }

    fn get(&self, key: &str) -> Option<(u64, String)> {
        let values = self.values.lock().expect("no holder of the lock panics");
        values.get(key).cloned()
    }
}

/// Serves the values at `/v1/kv/KEY` and returns the address.
///
/// A query with the current `index` of the value is answered when the value changes, or after 30 s.
/// A query for a key without a value waits until one is set.
pub async fn serve(values: Values) -> SocketAddr {
    let values = Rc::new(values);
    server::serve(move |request| {
        let values = values.clone();
        async move {
            values.calls.fetch_add(1, Ordering::Relaxed);
            let key = request.uri().path().rsplit('/').next().unwrap_or("");
            let query = request.uri().query().unwrap_or("");
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(key, _)| *key == name)
                    .map(|(_, value)| value.to_owned())
            };
            let index: u64 = parameter("index")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let deadline = Instant::now() + Duration::from_secs(30);
            loop {
                if values.down.load(Ordering::Relaxed) {
                    let mut response = Response::new(full("down"));
                    *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                    return response;
                }
                match values.get(key) {
                    Some((current, text)) if current != index || Instant::now() > deadline => {
                        let mut response = Response::new(full(text));
                        response
                            .headers_mut()
                            .insert("x-consul-index", current.into());
                        return response;
                    }
                    _ => sleep(POLL_INTERVAL).await,
                }
            }
        }
    })
    .await
}

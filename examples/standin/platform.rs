//! A configuration service and VM list (Consul's blocking queries, values raw).

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

const POLL: Duration = Duration::from_millis(5);

/// The values of the service; they can be changed from any thread.
#[derive(Clone, Debug, Default)]
pub struct Values {
    values: Arc<Mutex<HashMap<String, (u64, String)>>>,
    pub calls: Arc<AtomicU64>,
    pub down: Arc<AtomicBool>,
}

impl Values {
    /// Changes a value.
    pub fn set(&self, key: &str, text: &str) {
        let mut values = self.values.lock().expect("no holder panics");
        let index = values.get(key).map_or(0, |(index, _)| *index) + 1;
        values.insert(key.to_owned(), (index, text.to_owned()));
    }

    fn get(&self, key: &str) -> Option<(u64, String)> {
        let values = self.values.lock().expect("no holder panics");
        values.get(key).cloned()
    }
}

/// Serves values at `/v1/kv/KEY`.
pub async fn serve(values: Values) -> SocketAddr {
    let values = Rc::new(values);
    server::serve(move |request| {
        let values = values.clone();
        async move {
            values.calls.fetch_add(1, Ordering::Relaxed);
            let key = request.uri().path().rsplit('/').next().unwrap_or("");
            let query = request.uri().query().unwrap_or("");
            let field = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(key, _)| *key == name)
                    .map(|(_, value)| value.to_owned())
            };
            let index: u64 = field("index")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let until = Instant::now() + Duration::from_secs(30);
            loop {
                if values.down.load(Ordering::Relaxed) {
                    let mut response = Response::new(full("down"));
                    *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                    return response;
                }
                match values.get(key) {
                    Some((at, text)) if at != index || Instant::now() > until => {
                        let mut response = Response::new(full(text));
                        response.headers_mut().insert("x-consul-index", at.into());
                        return response;
                    }
                    _ => sleep(POLL).await,
                }
            }
        }
    })
    .await
}

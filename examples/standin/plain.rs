//! A plain HTTP service that counts how often each write has run.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use compio::time::sleep;
use http_body_util::BodyExt;
use hyper::{
    Method,
    Response, //
};

use super::server::{
    self,
    full, //
};

/// How often each write has run, by its path. Clones share the counts, so that several instances of
/// the service count together.
#[derive(Clone, Debug, Default)]
pub struct Writes(Arc<Mutex<HashMap<String, u32>>>);

impl Writes {
    /// Returns how often the write to a path has run.
    pub fn count(&self, path: &str) -> u32 {
        let counts = self.0.lock().expect("no holder of the lock panics");
        counts.get(path).copied().unwrap_or_default()
    }

    /// Returns the writes that have run more than once, each with its count.
    pub fn duplicates(&self) -> Vec<(String, u32)> {
        let counts = self.0.lock().expect("no holder of the lock panics");
        let duplicates = counts.iter().filter(|(_, count)| **count > 1);
        duplicates
            .map(|(path, count)| (path.clone(), *count))
            .collect()
    }

    /// Counts a write and returns how often it has run, this time included.
    fn record(&self, path: &str) -> u32 {
        let mut counts = self.0.lock().expect("no holder of the lock panics");
        let count = counts.entry(path.to_owned()).or_default();
        *count += 1;
        *count
    }
}

/// Starts a plain service that takes `service_time` for each call. It counts a POST as a write.
pub async fn serve(service_time: Duration, writes: Writes) -> SocketAddr {
    server::serve(move |request| {
        let writes = writes.clone();
        async move {
            let (parts, body) = request.into_parts();
            let _ = body.collect().await;
            let path = parts.uri.path().to_owned();
            let text = match parts.method == Method::POST {
                true => format!("{path} ran {}\n", writes.record(&path)),
                false => format!("{path}\n"),
            };
            if !service_time.is_zero() {
                sleep(service_time).await;
            }
            Response::new(full(text))
        }
    })
    .await
}

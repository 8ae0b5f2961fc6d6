//! A plain service that counts how often each write ran.

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

/// How often each write ran, by its path; shared by every copy of the service.
#[derive(Clone, Debug, Default)]
pub struct Writes(Arc<Mutex<HashMap<String, u32>>>);

impl Writes {
    /// Returns how often a write ran.
    pub fn count(&self, path: &str) -> u32 {
        let writes = self.0.lock().expect("no holder panics");
        writes.get(path).copied().unwrap_or_default()
    }

    /// Returns the writes that ran more than once.
    pub fn duplicates(&self) -> Vec<(String, u32)> {
        let writes = self.0.lock().expect("no holder panics");
        let doubled = writes.iter().filter(|(_, count)| **count > 1);
        doubled
            .map(|(path, count)| (path.clone(), *count))
            .collect()
    }

    fn note(&self, path: &str) -> u32 {
        let mut writes = self.0.lock().expect("no holder panics");
        let count = writes.entry(path.to_owned()).or_default();
        *count += 1;
        *count
    }
}

/// Starts a plain service that takes `cost` for each call.
pub async fn serve(cost: Duration, writes: Writes) -> SocketAddr {
    server::serve(move |request| {
        let writes = writes.clone();
        async move {
            let (parts, body) = request.into_parts();
            let _ = body.collect().await;
            let path = parts.uri.path().to_owned();
            let text = match parts.method == Method::POST {
                true => format!("{path} ran {}\n", writes.note(&path)),
                false => format!("{path}\n"),
            };
            if !cost.is_zero() {
                sleep(cost).await;
            }
            Response::new(full(text))
        }
    })
    .await
}

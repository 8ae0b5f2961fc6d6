//! A model engine that answers in the OpenAI completions format, also with server-sent events.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use compio::time::sleep;
use futures_util::{
    StreamExt,
    stream, //
};
use http_body_util::BodyExt;
use hyper::{
    Request,
    Response,
    body::Incoming,
    header::CONTENT_TYPE, //
};
use serde::Deserialize;

use super::server::{
    self,
    Body,
    full,
    streamed, //
};

/// The body of a completion request.
#[derive(Debug, Deserialize)]
struct Prompt {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<usize>,
}

/// The settings of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// The time that the engine takes to generate a token.
    pub token_time: Duration,
    /// The longest answer in tokens, where the request gives no `max_tokens`.
    pub max_tokens: usize,
}

/// Starts an engine and returns its address.
///
/// An answer has as many tokens as the request's `max_tokens`, or else a random number that only the
/// engine knows.
pub async fn serve(engine: Engine) -> SocketAddr {
    let running = Rc::new(Cell::new(0_usize));
    server::serve(move |request| {
        let running = running.clone();
        async move {
            running.set(running.get() + 1);
            let response = complete(engine, request).await;
            running.set(running.get() - 1);
            response
        }
    })
    .await
}

async fn complete(engine: Engine, request: Request<Incoming>) -> Response<Body> {
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Response::new(full("the request body ended early")),
    };
    let prompt = serde_json::from_slice(&body).unwrap_or(Prompt {
        prompt: String::new(),
        stream: false,
        max_tokens: None,
    });
    let count = prompt
        .max_tokens
        .unwrap_or_else(|| fastrand::usize(1..=engine.max_tokens));
    if !prompt.stream {
        sleep(engine.token_time * count as u32).await;
        let text = vec!["fit"; count].join(" ");
        let answer = serde_json::json!({
            "object": "text_completion",
            "choices": [{ "text": text, "index": 0, "finish_reason": "stop" }],
            "usage": { "prompt_tokens": prompt.prompt.len() / 4, "completion_tokens": count },
        });
        return Response::new(full(answer.to_string()));
    }
    let tokens = stream::iter(0..=count).then(move |i| async move {
        sleep(engine.token_time).await;
        match i == count {
            true => Bytes::from_static(b"data: [DONE]\n\n"),
            false => {
                let token = serde_json::json!({ "choices": [{ "text": "fit ", "index": i }] });
                Bytes::from(format!("data: {token}\n\n"))
            }
        }
    });
    let mut response = Response::new(streamed(tokens));
    let media_type = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

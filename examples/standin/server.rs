//! The HTTP server that the stand-ins use.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use compio::{
    net::TcpListener,
    runtime::spawn,
    time::sleep, //
};
use cyper_core::HyperStream;
use futures_util::{
    Stream,
    StreamExt,
    future::select,
    stream, //
};
use http_body_util::StreamBody;
use hyper::{
    Request,
    Response,
    body::{
        Frame,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};

/// The time after which bytes that were written to a connection have been sent.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// The body of an answer of a stand-in.
pub type Body = StreamBody<stream::LocalBoxStream<'static, Result<Frame<Bytes>, io::Error>>>;

/// Returns a body that is sent as a single frame.
pub fn full(text: impl Into<Bytes>) -> Body {
    let frame = Frame::data(text.into());
    StreamBody::new(stream::once(async move { Ok(frame) }).boxed_local())
}

/// Returns a body that is sent piece by piece, as the pieces become available.
pub fn streamed(pieces: impl Stream<Item = Bytes> + 'static) -> Body {
    StreamBody::new(pieces.map(|piece| Ok(Frame::data(piece))).boxed_local())
}

/// Returns a body that is sent piece by piece and then fails, so that the connection closes before
/// the answer is complete.
pub fn broken(pieces: impl Stream<Item = Bytes> + 'static) -> Body {
    let sent = pieces.map(|piece| Ok(Frame::data(piece)));
    // The delay lets the pieces be sent first: bytes still being written when the body fails are
    // lost.
    let failure = stream::once(async {
        sleep(FLUSH_TIME).await;
        Err(io::ErrorKind::ConnectionReset.into())
    });
    StreamBody::new(sent.chain(failure).boxed_local())
}

/// Serves HTTP/1 requests on a free loopback port and returns its address.
pub async fn serve<F, R>(handler: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    serve_until(handler, std::future::pending()).await
}

/// Serves like [`serve`] until a future ends, then closes the port and all connections at once.
pub async fn serve_until<F, R>(handler: F, end: impl Future<Output = ()> + 'static) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free loopback port can be bound");
    let address = listener
        .local_addr()
        .expect("the bound listener has an address");
    let handler = Rc::new(handler);
    spawn(async move {
        // Dropping the task of a connection closes it.
        let mut connections = Vec::new();
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                connections.push(spawn(async move {
                    let service = service_fn(|request| {
                        let answer = handler(request);
                        async move { Ok::<_, Infallible>(answer.await) }
                    });
                    let _ = http1::Builder::new()
                        .serve_connection(HyperStream::new_plain(stream), service)
                        .await;
                }));
            }
        };
        select(pin!(accept), pin!(end)).await;
    })
    .detach();
    address
}

//! A small HTTP server that the stand-ins share.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
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

/// The time after which written bytes have left.
const FLUSH: Duration = Duration::from_millis(20);

/// The body of a stand-in's answer.
pub type Body = StreamBody<stream::LocalBoxStream<'static, Result<Frame<Bytes>, io::Error>>>;

/// Returns a body that is here.
pub fn full(text: impl Into<Bytes>) -> Body {
    let frame = Frame::data(text.into());
    StreamBody::new(stream::once(async move { Ok(frame) }).boxed_local())
}

/// Returns a body that arrives piece by piece.
pub fn streamed(pieces: impl Stream<Item = Bytes> + 'static) -> Body {
    StreamBody::new(pieces.map(|piece| Ok(Frame::data(piece))).boxed_local())
}

/// Returns a body that arrives piece by piece and then breaks off.
pub fn broken(pieces: impl Stream<Item = Bytes> + 'static) -> Body {
    let whole = pieces.map(|piece| Ok(Frame::data(piece)));
    // Bytes that are written together with the break would be lost.
    let end = stream::once(async {
        sleep(FLUSH).await;
        Err(io::ErrorKind::ConnectionReset.into())
    });
    StreamBody::new(whole.chain(end).boxed_local())
}

/// Serves requests on a free port of the loopback interface.
pub async fn serve<F, R>(handler: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let handler = Rc::new(handler);
    spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            spawn(async move {
                let service = service_fn(|request| {
                    let answer = handler(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(HyperStream::new_plain(stream), service)
                    .await;
            })
            .detach();
        }
    })
    .detach();
    address
}

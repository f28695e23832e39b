//! A small HTTP server on hyper.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};

/// A response's body; an error ends the connection before the body is whole.
pub type Body = BoxBody<Bytes, Hangup>;
/// A handler's answer; an error closes the connection without an answer.
pub type Answer = Result<Response<Body>, Hangup>;

/// The connection is closed in place of an answer.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("connection closed on purpose")]
pub struct Hangup;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request with its whole body.
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Answer>;
}

/// Serves connections for ever.
pub async fn serve(addr: SocketAddr, handler: Arc<dyn Handler>, log: Logger) -> io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(connection(stream, handler.clone()))),
            Err(err) => warn!(log, "could not accept a connection"; "error" => %err),
        }
    }
}

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let (parts, body) = request.into_parts();
            let Ok(body) = Limited::new(body, api::MAX_BODY_BYTES).collect().await else {
                return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
            };
            handler.handle(Request::from_parts(parts, body.to_bytes())).await
        }
    });
    // A caller that closes its connection is no fault of the stand-in.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Returns an answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns an answer in JSON.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Returns a body that is known at once.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}

/// Returns a header's text, empty if it is missing.
pub fn header<'a>(request: &'a Request<Bytes>, name: &str) -> &'a str {
    request.headers().get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
}

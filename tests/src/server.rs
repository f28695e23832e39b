//! HTTP/1 server of the stand-ins.

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

/// A response body; an error closes the connection before the body is complete.
pub type Body = BoxBody<Bytes, Hangup>;
/// A handler's result; an error closes the connection without a response.
pub type HandlerResult = Result<Response<Body>, Hangup>;

/// Closes the connection instead of sending the (rest of the) response.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("connection closed on purpose")]
pub struct Hangup;

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request, whose body is already complete.
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult>;
}

/// Accepts and serves connections without end.
///
/// # Errors
/// If the address cannot be bound.
pub async fn serve(addr: SocketAddr, handler: Arc<dyn Handler>, log: Logger) -> io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(handle_connection(stream, handler.clone()))),
            Err(err) => warn!(log, "could not accept a connection"; "error" => %err),
        }
    }
}

async fn handle_connection(stream: TcpStream, handler: Arc<dyn Handler>) {
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
    // Errors are ignored: callers may close their connections at any time.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Returns a body of known content.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}

/// Returns a header's value, empty if it is missing or not text.
pub fn header<'a>(request: &'a Request<Bytes>, name: &str) -> &'a str {
    request.headers().get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
}

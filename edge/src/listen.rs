//! Listening for connections and serving requests on them.

use std::{
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::{answer::Answer, edge::Edge, error::EdgeError};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Least bytes of a connection's buffer.
const LEAST_BUFFER: usize = 8 * 1024;

/// The address from which a request came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Caller(IpAddr);

/// What a listener's connections may do.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    /// How long a connection may be idle.
    pub(crate) idle: Duration,
    /// Bytes of a request's head.
    pub(crate) head_bytes: usize,
}

/// Opens a listener.
pub(crate) async fn bind(addr: SocketAddr) -> Result<TcpListener, EdgeError> {
    TcpListener::bind(addr).await.map_err(|source| EdgeError::Listen { addr, source })
}

/// Until when a listener takes connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Until {
    /// Until idle connections are told to end.
    Closing,
    /// Until the process ends.
    End,
}

/// Serves each request of each connection.
pub(crate) fn serve<H, F>(
    edge: &Rc<Edge>,
    listener: TcpListener,
    until: Until,
    terms: fn(&Edge) -> Terms,
    handler: H,
) where
    H: Fn(Rc<Edge>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Answer> + 'static,
{
    let edge = edge.clone();
    tokio::task::spawn_local(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = edge.closing.notified(), if until == Until::Closing => return,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let terms = terms(&edge);
            tokio::task::spawn_local(connection(edge.clone(), stream, peer, terms, handler));
        }
    });
}

async fn connection<H, F>(
    edge: Rc<Edge>,
    stream: TcpStream,
    peer: SocketAddr,
    terms: Terms,
    handler: H,
) where
    H: Fn(Rc<Edge>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Answer> + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let own = edge.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(Caller(peer.ip()));
        let answer = handler(own.clone(), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut serving = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(terms.idle)
            .max_buf_size(terms.head_bytes.max(LEAST_BUFFER))
            .serve_connection(TokioIo::new(stream), service)
    );
    // Errors of a connection concern its caller only, and it knows of them.
    loop {
        tokio::select! {
            _ = &mut serving => return,
            () = edge.closing.notified() => serving.as_mut().graceful_shutdown(),
        }
    }
}

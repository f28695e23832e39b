//! Accepts connections and serves the requests on them.

use std::{
    cell::Cell,
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{answer::Answer, count::Counted, edge::Edge, error::EdgeError, stall::StallLimit};

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum size of a connection's buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// How long a connection without a request is kept after the listener was closed. A request that is on its
/// way is still answered.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);
/// Time limit for the other end to take what was written at once.
const TAKE_TIMEOUT: Duration = Duration::from_secs(60);

/// The IP address from which a request came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Caller(IpAddr);

impl std::fmt::Display for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Limits of a listener's connections.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionLimits {
    /// How long a connection may be idle, or a request's head may take to arrive.
    pub(crate) idle: Duration,
    /// Maximum size of a request's head, in bytes.
    pub(crate) head_bytes: usize,
}

/// Opens a listener.
pub(crate) async fn bind(addr: SocketAddr) -> Result<TcpListener, EdgeError> {
    TcpListener::bind(addr).await.map_err(|source| EdgeError::Listen { addr, source })
}

/// How long a listener accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Until {
    /// Until `Edge::closing` is set; its connections are callers'.
    Closing,
    /// Until the process ends.
    End,
}

/// Accepts connections and passes each of their requests to `handler`.
pub(crate) fn serve<H, F>(
    edge: &Rc<Edge>,
    listener: TcpListener,
    until: Until,
    limits: fn(&Edge) -> ConnectionLimits,
    handler: H,
) where
    H: Fn(Rc<Edge>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Answer> + 'static,
{
    let edge = edge.clone();
    let listening = (until == Until::Closing).then(|| edge.unfinished.begin());
    tokio::task::spawn_local(async move {
        let start = |(stream, peer)| {
            let unfinished = (until == Until::Closing).then(|| edge.unfinished.begin());
            let connection = AcceptedConnection { stream, peer, limits: limits(&edge), unfinished };
            tokio::task::spawn_local(connection.serve(edge.clone(), handler));
        };
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = edge.closing.wait(), if until == Until::Closing => break,
            };
            match accepted {
                Ok(accepted) => start(accepted),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        // Callers whose connections the kernel has accepted already are still served: to drop the listener
        // resets them.
        while let Ok(Ok(accepted)) = timeout(Duration::ZERO, listener.accept()).await {
            start(accepted);
        }
        drop(listening);
    });
}

/// An accepted connection.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    limits: ConnectionLimits,
    /// Dropped with the connection.
    unfinished: Option<Counted>,
}

impl AcceptedConnection {
    async fn serve<H, F>(self, edge: Rc<Edge>, handler: H)
    where
        H: Fn(Rc<Edge>, Request<Incoming>) -> F + Copy + 'static,
        F: Future<Output = Answer> + 'static,
    {
        let AcceptedConnection { stream, peer, limits, unfinished: _unfinished } = self;
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let is_used = Cell::new(false);
        let own = edge.clone();
        let service = service_fn(|mut request: Request<Incoming>| {
            is_used.set(true);
            request.extensions_mut().insert(Caller(peer.ip()));
            let answer = handler(own.clone(), request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let stream = StallLimit::new(stream, TAKE_TIMEOUT);
        let mut serving = std::pin::pin!(
            http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle)
                .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
                .serve_connection(TokioIo::new(stream), service)
        );
        let closing = async {
            edge.closing.wait().await;
            if !is_used.get() {
                sleep(FIRST_REQUEST_WAIT).await;
            }
        };
        // An error concerns only this connection, and its other end sees it as well.
        tokio::select! {
            _ = &mut serving => return,
            () = closing => serving.as_mut().graceful_shutdown(),
        }
        let _ = serving.await;
    }
}

//! Accepts connections and serves the requests on them.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    future::pending,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use fleet::Listener;
use http::{HeaderValue, Request, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    answer::{Answer, empty},
    count::Counted,
    edge::Edge,
    error::EdgeError,
    place::{Place, Places, ServedBody},
    stall::StallLimit,
};

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum size of a connection's buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// How long a connection without a request is kept after the listener was closed. A request that is on its
/// way is still answered.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);
/// How long the rest of its request's head may take then.
const HEAD_WAIT: Duration = Duration::from_secs(2);
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
async fn bind(addr: SocketAddr) -> Result<TcpListener, EdgeError> {
    TcpListener::bind(addr).await.map_err(|source| EdgeError::Listen { addr, source })
}

/// How long a listener accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Until {
    /// Until `Edge::closing` is set; its connections are callers'.
    Closing,
    /// Until the process ends; its connections are those of operators, targets and the like.
    End,
}

/// Listens at an address, accepts connections and passes each of their requests to `handler`, with the place of its
/// connection.
pub(crate) async fn serve<H, F>(
    edge: &Rc<Edge>,
    addr: SocketAddr,
    kind: Listener,
    limits: fn(&Edge) -> ConnectionLimits,
    handler: H,
) -> Result<(), EdgeError>
where
    H: Fn(Rc<Edge>, Rc<Place>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Answer> + 'static,
{
    let listener = bind(addr).await?;
    let until = if kind == Listener::Entry { Until::Closing } else { Until::End };
    let places = Places::new(edge, kind);
    edge.places.borrow_mut().push(places.clone());
    if kind == Listener::Entry {
        let stalled = places.clone();
        edge.client.on_full(Box::new(move || stalled.close_stalled()));
    }
    let edge = edge.clone();
    let listening = (until == Until::Closing).then(|| edge.unfinished.begin());
    tokio::task::spawn_local(async move {
        let start = |(stream, peer)| {
            let Some(place) = places.take(&edge) else { return };
            let counted = (until == Until::Closing).then(|| edge.unfinished.begin());
            let connection = AcceptedConnection {
                stream,
                peer,
                place,
                limits: limits(&edge),
                until,
                counted: RefCell::new(counted),
            };
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
    Ok(())
}

/// Answers a call, in time before the process ends. From SIGTERM on the call counts until its connection ends,
/// that is until its answer was written.
async fn answer_call(
    edge: &Rc<Edge>,
    counted: &RefCell<Option<Counted>>,
    answering: impl Future<Output = Answer> + 'static,
) -> Answer {
    let is_waited_for = !edge.drained.is_set();
    counted.replace(is_waited_for.then(|| edge.calls.begin()));
    let due = async {
        if is_waited_for {
            edge.answers_due().await;
        }
    };
    let mut answering = Box::pin(answering);
    let answer = tokio::select! {
        biased;
        answer = &mut answering => answer,
        () = due => {
            // Closing a connection with unread bytes would reset it, and the answer might be lost.
            tokio::task::spawn_local(answering);
            empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    };
    if !edge.stopping.is_set() {
        counted.take();
    }
    answer
}

/// An accepted connection.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    place: Rc<Place>,
    limits: ConnectionLimits,
    until: Until,
    /// What the process waits for before it ends: a caller's connection, or a call in hand. Dropped with the
    /// connection at the latest.
    counted: RefCell<Option<Counted>>,
}

impl AcceptedConnection {
    async fn serve<H, F>(self, edge: Rc<Edge>, handler: H)
    where
        H: Fn(Rc<Edge>, Rc<Place>, Request<Incoming>) -> F + Copy + 'static,
        F: Future<Output = Answer> + 'static,
    {
        let AcceptedConnection { stream, peer, place, limits, until, counted } = self;
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (is_used, says_close) = (Cell::new(false), Cell::new(false));
        let own = edge.clone();
        let service = service_fn(|mut request: Request<Incoming>| {
            is_used.set(true);
            request.extensions_mut().insert(Caller(peer.ip()));
            let answering = handler(own.clone(), place.clone(), request);
            async {
                let mut answer = match until {
                    Until::Closing => answering.await,
                    Until::End => answer_call(&own, &counted, answering).await,
                };
                if own.stopping.is_set() {
                    says_close.set(true);
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(answer.map(|body| ServedBody::new(body, place.clone())))
            }
        });
        let stream = StallLimit::new(stream, TAKE_TIMEOUT, place.clone());
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
            if says_close.get() {
                // That closes the connection, once the request's body is read to its end.
                pending::<()>().await;
            }
        };
        // An error concerns only this connection, and its other end sees it as well.
        tokio::select! {
            _ = &mut serving => return,
            () = place.closing() => return,
            () = closing => serving.as_mut().graceful_shutdown(),
        }
        let head_late = async {
            sleep(HEAD_WAIT).await;
            if is_used.get() {
                pending::<()>().await;
            }
        };
        tokio::select! {
            _ = &mut serving => {}
            () = place.closing() => {}
            () = head_late => {}
        }
    }
}

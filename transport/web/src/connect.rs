//! Connections to targets.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an idle connection is used again. Well below the time after which
/// servers close idle connections, since a call that meets the close is lost.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Idle connections kept for one target.
const IDLE_CONNECTIONS: usize = 64;

/// Sends requests over one connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    since: Instant,
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < IDLE_TIME && !self.sender.is_closed()
    }
}

#[derive(Default)]
struct Pool {
    idle: HashMap<String, Vec<Idle>>,
    cleaned: Option<Instant>,
}

impl Pool {
    /// Closes connections that were idle for too long, once in a while.
    fn clean(&mut self) {
        if self.cleaned.is_some_and(|cleaned| cleaned.elapsed() < IDLE_TIME) {
            return;
        }
        self.cleaned = Some(Instant::now());
        self.idle.retain(|_, idle| {
            idle.retain(Idle::is_usable);
            !idle.is_empty()
        });
    }
}

/// Opens connections to targets and keeps idle ones for a short time.
#[derive(Clone)]
pub(crate) struct Connector {
    start: Instant,
    pool: Arc<Mutex<Pool>>,
}

impl Connector {
    /// The host's clock counts from `start`.
    pub(crate) fn new(start: Instant) -> Connector {
        Connector { start, pool: Arc::default() }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().expect("no holder panics")
    }

    /// Whether the host's clock has passed a lease's end.
    pub(crate) fn is_past(&self, until: Duration) -> bool {
        self.start.elapsed() >= until
    }

    /// Returns an idle connection, if there is one.
    pub(crate) fn reuse(&self, addr: &str) -> Option<Sender> {
        let mut pool = self.pool();
        let idle = pool.idle.get_mut(addr)?;
        while let Some(last) = idle.pop() {
            if last.is_usable() && last.sender.is_ready() {
                return Some(last.sender);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, addr: &str, sender: Sender) {
        let mut pool = self.pool();
        pool.clean();
        let idle = pool.idle.entry(addr.to_owned()).or_default();
        if idle.len() < IDLE_CONNECTIONS {
            idle.push(Idle { sender, since: Instant::now() });
        }
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, addr: &str) -> Option<Sender> {
        timeout(CONNECT_TIMEOUT, connect(addr)).await.ok()?.ok()
    }
}

/// Leaves the choice of the port to the connection: choosing it before costs a
/// search through all ports in use.
async fn connect(addr: &str) -> Result<Sender, io::Error> {
    let addr: SocketAddr = addr.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    // Ends with the sender and the body of its answer.
    tokio::spawn(connection);
    Ok(sender)
}

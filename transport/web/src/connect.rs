//! A pool of HTTP connections to targets.

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

/// How long an idle connection may be reused. Well below the time after which servers close idle
/// connections, since a call that is sent while the target closes its connection is lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of idle connections to one target.
const MAX_IDLE: usize = 64;

/// The sending half of one HTTP connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    since: Instant,
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < IDLE_TIMEOUT && !self.sender.is_closed()
    }
}

#[derive(Default)]
struct Pool {
    idle: HashMap<String, Vec<Idle>>,
    last_sweep: Option<Instant>,
}

impl Pool {
    /// Closes connections that were idle for [`IDLE_TIMEOUT`], at most once in that time.
    fn sweep(&mut self) {
        if self.last_sweep.is_some_and(|last_sweep| last_sweep.elapsed() < IDLE_TIMEOUT) {
            return;
        }
        self.last_sweep = Some(Instant::now());
        self.idle.retain(|_, idle| {
            idle.retain(Idle::is_usable);
            !idle.is_empty()
        });
    }
}

/// Opens connections to targets and pools idle ones for a short time.
#[derive(Clone)]
pub(crate) struct Connector {
    start: Instant,
    pool: Arc<Mutex<Pool>>,
}

impl Connector {
    /// Creates a connector with an empty pool. The host's clock counts from `start`.
    pub(crate) fn new(start: Instant) -> Connector {
        Connector { start, pool: Arc::default() }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().expect("the lock is not poisoned")
    }

    /// Returns whether the host's clock has reached the end of a lease.
    pub(crate) fn lease_expired(&self, until: Duration) -> bool {
        self.start.elapsed() >= until
    }

    /// Takes an idle connection from the pool, if there is a usable one.
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

    /// Returns a connection to the pool after its answer was read completely.
    pub(crate) fn release(&self, addr: &str, sender: Sender) {
        let mut pool = self.pool();
        pool.sweep();
        let idle = pool.idle.entry(addr.to_owned()).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(Idle { sender, since: Instant::now() });
        }
    }

    /// Opens a new connection; none if that fails or takes too long.
    pub(crate) async fn open(&self, addr: &str) -> Option<Sender> {
        timeout(CONNECT_TIMEOUT, connect(addr)).await.ok()?.ok()
    }
}

/// Connects without binding the socket first: choosing the local port in `bind` costs a search
/// through all ports in use.
async fn connect(addr: &str) -> Result<Sender, io::Error> {
    let addr: SocketAddr = addr.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    // The task ends when the sender and the body of its answer are dropped.
    tokio::spawn(connection);
    Ok(sender)
}

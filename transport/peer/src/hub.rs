//! The hub: sends messages to the other hosts and receives theirs.

use std::{
    collections::BTreeMap,
    future::Future,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use thiserror::Error;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::Notify,
    task::JoinHandle,
};
use wire::{HostId, Incarnation, MAX_FRAME_BYTES, PeerMsg, RequestId};

use crate::{
    auth::Key,
    frame::{DATAGRAM_OVERHEAD, Datagram, FRAME_OVERHEAD, MAX_DATAGRAM_BYTES, ReplayWindow},
    link::Link,
    listen,
    stats::{self, DropReason, Stats},
};

/// Maximum number of peers that are tracked if any host may connect ([`Peers::ByAddress`]).
const MAX_PEERS: usize = 4096;

const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Configuration of the peer layer.
#[derive(Debug, Clone)]
pub struct Config {
    /// This host.
    pub host: HostId,
    /// The incarnation of this process; a later start has a higher one.
    pub incarnation: Incarnation,
    /// The hosts that may take part.
    pub peers: Peers,
    /// The UDP and TCP port, the same on every host.
    pub port: u16,
    /// The key that all hosts share; without one, empty.
    pub key: Vec<u8>,
}

/// The hosts of the system and their addresses.
#[derive(Debug, Clone)]
pub enum Peers {
    /// Exactly these hosts, including this one.
    Listed(BTreeMap<HostId, IpAddr>),
    /// Any host; a host's id is its IPv4 address as a number.
    ByAddress,
}

impl Peers {
    fn ip(&self, host: HostId) -> Option<IpAddr> {
        match self {
            Peers::Listed(peers) => peers.get(&host).copied(),
            Peers::ByAddress => Some(Ipv4Addr::from(host).into()),
        }
    }

    /// Returns whether a host may connect from this address.
    pub(crate) fn allows(&self, ip: IpAddr) -> bool {
        match self {
            Peers::Listed(peers) => peers.values().any(|&it| it == ip),
            Peers::ByAddress => ip.is_ipv4(),
        }
    }

    /// Returns the maximum number of hosts.
    pub(crate) fn max_hosts(&self) -> usize {
        match self {
            Peers::Listed(peers) => peers.len(),
            Peers::ByAddress => MAX_PEERS,
        }
    }
}

/// An event of the peer layer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message arrived.
    Message {
        /// The sender.
        from: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// A forwarded request was dropped before any byte of it was sent.
    Undelivered {
        /// The receiver.
        to: HostId,
        /// The request attempt.
        request: RequestId,
    },
    /// A connection to or from a host broke or could not be opened; messages of either
    /// direction may be lost.
    ConnectionLost(HostId),
}

/// A boxed future.
pub type BoxFuture<'a> = Pin<Box<dyn Future<Output = ()> + Send + 'a>>;

/// Receives the events of the peer layer. Reading from the connection continues once the
/// future is ready.
pub trait Inbox: Send + Sync + 'static {
    /// Handles one event.
    fn deliver(&self, event: Event) -> BoxFuture<'_>;
}

/// An error that prevents the peer layer from starting.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The list of peers does not contain this host.
    #[error("host {0} is not in the list of peers")]
    UnlistedHost(HostId),
    /// The UDP or TCP socket could not be bound.
    #[error("could not listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
}

/// State shared by all tasks of the peer layer.
pub(crate) struct Shared {
    pub(crate) config: Config,
    /// This host's address.
    pub(crate) own_ip: IpAddr,
    pub(crate) key: Key,
    pub(crate) inbox: Arc<dyn Inbox>,
    pub(crate) stats: Arc<Stats>,
    windows: Mutex<BTreeMap<HostId, ReplayWindow>>,
    contacts: Mutex<BTreeMap<HostId, Arc<Contact>>>,
}

/// The latest process of a peer that has connected to this host.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    incarnation: AtomicU64,
    /// Notified when it connects.
    pub(crate) connected: Notify,
}

impl Contact {
    /// Records that a process of the peer has connected.
    pub(crate) fn record(&self, incarnation: Incarnation) {
        self.incarnation.fetch_max(incarnation, Relaxed);
        self.connected.notify_one();
    }

    /// Whether a later process of the peer than this one has connected.
    pub(crate) fn is_later(&self, incarnation: Incarnation) -> bool {
        self.incarnation.load(Relaxed) > incarnation
    }
}

impl Shared {
    /// Returns the address of a peer; none for this host and for unknown hosts.
    pub(crate) fn peer_ip(&self, host: HostId) -> Option<IpAddr> {
        if host == self.config.host {
            return None;
        }
        self.config.peers.ip(host)
    }

    /// Returns the record of the connections that a peer opens to this host.
    pub(crate) fn contact(&self, host: HostId) -> Arc<Contact> {
        let mut contacts = self.contacts.lock().expect("the lock is not poisoned");
        contacts.entry(host).or_default().clone()
    }

    /// Applies `update` to the replay window of a peer; none if too many peers are tracked.
    pub(crate) fn with_window<T>(
        &self,
        host: HostId,
        update: impl FnOnce(&mut ReplayWindow) -> T,
    ) -> Option<T> {
        let mut windows = self.windows.lock().expect("the lock is not poisoned");
        if !windows.contains_key(&host) && windows.len() >= self.config.peers.max_hosts() {
            return None;
        }
        Some(update(windows.entry(host).or_default()))
    }
}

/// Sends messages to the other hosts and receives theirs.
pub struct Hub {
    shared: Arc<Shared>,
    udp: std::net::UdpSocket,
    seq: AtomicU64,
    links: Mutex<BTreeMap<HostId, Arc<Link>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Hub {
    /// Binds the sockets and starts the tasks on the current Tokio runtime.
    pub async fn start(config: Config, inbox: Arc<dyn Inbox>) -> Result<Hub, PeerError> {
        let Some(ip) = config.peers.ip(config.host) else {
            return Err(PeerError::UnlistedHost(config.host));
        };
        let addr = SocketAddr::new(ip, config.port);
        let listen_error = |source| PeerError::Listen { addr, source };
        let (udp, receiver) = bind_udp(addr).map_err(listen_error)?;
        let tcp = TcpListener::bind(addr).await.map_err(listen_error)?;
        let shared = Arc::new(Shared {
            key: Key::new(&config.key),
            inbox,
            stats: Arc::new(Stats::default()),
            windows: Mutex::default(),
            contacts: Mutex::default(),
            own_ip: ip,
            config,
        });
        let tasks = vec![
            tokio::spawn(listen::accept(shared.clone(), tcp)),
            tokio::spawn(receive_datagrams(shared.clone(), receiver)),
        ];
        Ok(Hub { shared, udp, seq: AtomicU64::new(0), links: Mutex::default(), tasks })
    }

    /// Returns the link to a peer, creating it on first use; none for unknown hosts or if
    /// there are too many links.
    fn link(&self, to: HostId) -> Option<Arc<Link>> {
        self.shared.peer_ip(to)?;
        let mut links = self.links.lock().expect("the lock is not poisoned");
        if let Some(link) = links.get(&to) {
            return Some(link.clone());
        }
        if links.len() >= self.shared.config.peers.max_hosts() {
            return None;
        }
        let link = Arc::new(Link::start(self.shared.clone(), to));
        links.insert(to, link.clone());
        Some(link)
    }

    /// Sends a message without waiting; one that can't be sent is dropped and counted in the
    /// statistics.
    pub fn send(&self, to: HostId, msg: &PeerMsg) {
        let stats = &self.shared.stats;
        let Some(link) = self.link(to) else {
            stats.count_unsent(to, stats::kind(msg), DropReason::Unknown);
            return;
        };
        let payload = wire::encode(msg);
        if payload.len() > MAX_FRAME_BYTES {
            stats.count_unsent(to, stats::kind(msg), DropReason::TooLong);
            link.overflow(msg);
            return;
        }
        if msg.is_periodic() && payload.len() + DATAGRAM_OVERHEAD <= MAX_DATAGRAM_BYTES {
            self.send_datagram(to, msg, &payload);
            return;
        }
        stats.count_sent(msg, payload.len() + FRAME_OVERHEAD);
        link.send(msg, payload);
    }

    fn send_datagram(&self, to: HostId, msg: &PeerMsg, payload: &[u8]) {
        let Some(ip) = self.shared.peer_ip(to) else { return };
        let config = &self.shared.config;
        // The first datagram has sequence number 1; a new replay window starts at 0.
        let seq = self.seq.fetch_add(1, Relaxed) + 1;
        let datagram =
            Datagram { from: config.host, to, incarnation: config.incarnation, seq, payload };
        let bytes = datagram.encode(&self.shared.key);
        match self.udp.send_to(&bytes, SocketAddr::new(ip, config.port)) {
            Ok(_) => self.shared.stats.count_sent(msg, bytes.len()),
            Err(_) => {
                self.shared.stats.count_unsent(to, stats::kind(msg), DropReason::Overflow);
            }
        }
    }

    /// Waits until the send queues are empty, at most for `limit`.
    pub async fn flush(&self, limit: Duration) {
        let flushed = async {
            while self.is_busy() {
                tokio::time::sleep(FLUSH_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(limit, flushed).await;
    }

    fn is_busy(&self) -> bool {
        self.links.lock().expect("the lock is not poisoned").values().any(|link| link.has_queued())
    }

    /// Returns the counters of this hub.
    pub fn stats(&self) -> Arc<Stats> {
        self.shared.stats.clone()
    }
}

impl Drop for Hub {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Binds the UDP socket; returns a non-blocking handle to send and an async one to receive.
fn bind_udp(addr: SocketAddr) -> io::Result<(std::net::UdpSocket, UdpSocket)> {
    let sender = std::net::UdpSocket::bind(addr)?;
    sender.set_nonblocking(true)?;
    let receiver = UdpSocket::from_std(sender.try_clone()?)?;
    Ok((sender, receiver))
}

/// Receives datagrams until the task is aborted.
async fn receive_datagrams(shared: Arc<Shared>, udp: UdpSocket) {
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // An error is that of an earlier send, such as a closed port at the receiver.
        let Ok((len, addr)) = udp.recv_from(&mut buf).await else { continue };
        match open_datagram(&shared, &buf[..len], addr.ip()) {
            Ok((from, msg)) => {
                shared.stats.count_received(&msg, len);
                shared.inbox.deliver(Event::Message { from, msg }).await;
            }
            Err(reason) => shared.stats.count_dropped(reason, 1),
        }
    }
}

/// Authenticates and decodes a datagram; the error says why it is dropped.
fn open_datagram(
    shared: &Shared,
    bytes: &[u8],
    ip: IpAddr,
) -> Result<(HostId, PeerMsg), DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLong);
    }
    let datagram = Datagram::decode(bytes).ok_or(DropReason::Malformed)?;
    if datagram.to != shared.config.host || shared.peer_ip(datagram.from) != Some(ip) {
        return Err(DropReason::Unknown);
    }
    if !Datagram::verify(bytes, &shared.key) {
        return Err(DropReason::BadTag);
    }
    let accepted =
        shared.with_window(datagram.from, |it| it.accept(datagram.incarnation, datagram.seq));
    if accepted != Some(true) {
        return Err(DropReason::Replayed);
    }
    let msg = wire::decode(datagram.payload).map_err(|_| DropReason::Malformed)?;
    Ok((datagram.from, msg))
}

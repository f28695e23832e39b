//! The peer layer of one host.

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
    task::JoinHandle,
};
use wire::{HostId, Incarnation, MAX_FRAME_BYTES, PeerMsg, RequestId};

use crate::{
    auth::Key,
    frame::{DATAGRAM_EXTRA, Datagram, FRAME_EXTRA, MAX_DATAGRAM_BYTES, Window},
    link::Link,
    listen,
    stats::{Dropped, Stats},
};

/// Hosts that are remembered where any may come.
const MAX_PEERS: usize = 4096;

const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// What the peer layer needs to know.
#[derive(Debug, Clone)]
pub struct Config {
    /// This host.
    pub host: HostId,
    /// This run of it.
    pub run: Incarnation,
    /// The hosts of the system.
    pub peers: Peers,
    /// The port of every host, UDP and TCP.
    pub port: u16,
    /// The shared key; may be empty.
    pub key: Vec<u8>,
}

/// Which hosts there are, and where.
#[derive(Debug, Clone)]
pub enum Peers {
    /// Exactly these hosts, this one included.
    Listed(BTreeMap<HostId, IpAddr>),
    /// Any host that finds this one: a host's number is that of its address.
    ByAddress,
}

impl Peers {
    fn ip(&self, host: HostId) -> Option<IpAddr> {
        match self {
            Peers::Listed(peers) => peers.get(&host).copied(),
            Peers::ByAddress => Some(Ipv4Addr::from(host).into()),
        }
    }

    /// Whether a host may have this address.
    pub(crate) fn may_use(&self, ip: IpAddr) -> bool {
        match self {
            Peers::Listed(peers) => peers.values().any(|&it| it == ip),
            Peers::ByAddress => ip.is_ipv4(),
        }
    }

    /// How many hosts there may be.
    pub(crate) fn most(&self) -> usize {
        match self {
            Peers::Listed(peers) => peers.len(),
            Peers::ByAddress => MAX_PEERS,
        }
    }
}

/// What arrives from other hosts.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A message.
    Message {
        /// The sender.
        from: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// A request that was forwarded has not left this host, and never will.
    Undelivered {
        /// The receiver.
        to: HostId,
        /// The request attempt.
        request: RequestId,
    },
    /// A connection with a host broke; messages may be lost in either direction.
    Lost(HostId),
}

/// A boxed future.
pub type BoxFuture<'a> = Pin<Box<dyn Future<Output = ()> + Send + 'a>>;

/// Takes what arrives. The connection is read no further until the future is
/// ready.
pub trait Inbox: Send + Sync + 'static {
    /// Takes one event.
    fn deliver(&self, event: Event) -> BoxFuture<'_>;
}

/// The peer layer could not start.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The host is not among the peers.
    #[error("could not find host {0} among the peers")]
    NoSelf(HostId),
    /// The port could not be used.
    #[error("could not listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The refusal.
        #[source]
        source: io::Error,
    },
}

/// What all tasks of the layer share.
pub(crate) struct Shared {
    pub(crate) config: Config,
    /// This host's address.
    pub(crate) own_ip: IpAddr,
    pub(crate) key: Key,
    pub(crate) inbox: Arc<dyn Inbox>,
    pub(crate) stats: Arc<Stats>,
    windows: Mutex<BTreeMap<HostId, Window>>,
}

impl Shared {
    /// Returns the address of a peer, none for this host and strangers.
    pub(crate) fn peer_ip(&self, host: HostId) -> Option<IpAddr> {
        if host == self.config.host {
            return None;
        }
        self.config.peers.ip(host)
    }

    /// Uses the window of a peer; none if there are too many peers.
    pub(crate) fn with_window<T>(
        &self,
        host: HostId,
        work: impl FnOnce(&mut Window) -> T,
    ) -> Option<T> {
        let mut windows = self.windows.lock().expect("no holder panics");
        if !windows.contains_key(&host) && windows.len() >= self.config.peers.most() {
            return None;
        }
        Some(work(windows.entry(host).or_default()))
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
    /// Opens the sockets and starts the tasks of the layer on the present
    /// runtime.
    pub async fn start(config: Config, inbox: Arc<dyn Inbox>) -> Result<Hub, PeerError> {
        let Some(ip) = config.peers.ip(config.host) else {
            return Err(PeerError::NoSelf(config.host));
        };
        let addr = SocketAddr::new(ip, config.port);
        let refused = |source| PeerError::Listen { addr, source };
        let (udp, receiver) = bind_udp(addr).map_err(refused)?;
        let tcp = TcpListener::bind(addr).await.map_err(refused)?;
        let shared = Arc::new(Shared {
            key: Key::new(&config.key),
            inbox,
            stats: Arc::new(Stats::default()),
            windows: Mutex::default(),
            own_ip: ip,
            config,
        });
        let tasks = vec![
            tokio::spawn(listen::accept(shared.clone(), tcp)),
            tokio::spawn(receive(shared.clone(), receiver)),
        ];
        Ok(Hub { shared, udp, seq: AtomicU64::new(0), links: Mutex::default(), tasks })
    }

    /// Returns the connection to a peer, which is opened when it is first used.
    fn link(&self, to: HostId) -> Option<Arc<Link>> {
        self.shared.peer_ip(to)?;
        let mut links = self.links.lock().expect("no holder panics");
        if let Some(link) = links.get(&to) {
            return Some(link.clone());
        }
        if links.len() >= self.shared.config.peers.most() {
            return None;
        }
        let link = Arc::new(Link::start(self.shared.clone(), to));
        links.insert(to, link.clone());
        Some(link)
    }

    /// Sends a message, or drops it and counts that.
    pub fn send(&self, to: HostId, msg: &PeerMsg) {
        let stats = &self.shared.stats;
        let Some(link) = self.link(to) else {
            stats.drop_frames(Dropped::Unknown, 1);
            return;
        };
        let payload = wire::encode(msg);
        if payload.len() > MAX_FRAME_BYTES {
            stats.drop_frames(Dropped::TooLong, 1);
            link.overflow(msg);
            return;
        }
        if msg.is_periodic() && payload.len() + DATAGRAM_EXTRA <= MAX_DATAGRAM_BYTES {
            self.send_datagram(to, msg, &payload);
            return;
        }
        stats.sent(msg, payload.len() + FRAME_EXTRA);
        link.send(msg, payload);
    }

    fn send_datagram(&self, to: HostId, msg: &PeerMsg, payload: &[u8]) {
        let Some(ip) = self.shared.peer_ip(to) else { return };
        let config = &self.shared.config;
        // The first datagram has number 1; the window starts before it.
        let seq = self.seq.fetch_add(1, Relaxed) + 1;
        let datagram = Datagram { from: config.host, to, run: config.run, seq, payload };
        let bytes = datagram.encode(&self.shared.key);
        match self.udp.send_to(&bytes, SocketAddr::new(ip, config.port)) {
            Ok(_) => self.shared.stats.sent(msg, bytes.len()),
            Err(_) => self.shared.stats.drop_frames(Dropped::Overflow, 1),
        }
    }

    /// Waits until the queues are empty, for a limited time.
    pub async fn flush(&self, limit: Duration) {
        let flushing = async {
            while self.is_busy() {
                tokio::time::sleep(FLUSH_PAUSE).await;
            }
        };
        let _ = tokio::time::timeout(limit, flushing).await;
    }

    fn is_busy(&self) -> bool {
        self.links.lock().expect("no holder panics").values().any(|link| link.is_busy())
    }

    /// Returns the counters.
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

/// Opens the UDP socket: a side that never waits, to send, and one to receive.
fn bind_udp(addr: SocketAddr) -> io::Result<(std::net::UdpSocket, UdpSocket)> {
    let sender = std::net::UdpSocket::bind(addr)?;
    sender.set_nonblocking(true)?;
    let receiver = UdpSocket::from_std(sender.try_clone()?)?;
    Ok((sender, receiver))
}

async fn receive(shared: Arc<Shared>, udp: UdpSocket) {
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // An error here tells of an earlier send, such as a closed port.
        let Ok((len, addr)) = udp.recv_from(&mut buf).await else { continue };
        match open(&shared, &buf[..len], addr.ip()) {
            Ok((from, msg)) => {
                shared.stats.received(&msg, len);
                shared.inbox.deliver(Event::Message { from, msg }).await;
            }
            Err(why) => shared.stats.drop_frames(why, 1),
        }
    }
}

fn open(shared: &Shared, bytes: &[u8], ip: IpAddr) -> Result<(HostId, PeerMsg), Dropped> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Dropped::TooLong);
    }
    let datagram = Datagram::decode(bytes).ok_or(Dropped::Malformed)?;
    if datagram.to != shared.config.host || shared.peer_ip(datagram.from) != Some(ip) {
        return Err(Dropped::Unknown);
    }
    if !Datagram::verify(bytes, &shared.key) {
        return Err(Dropped::BadTag);
    }
    let accepted = shared.with_window(datagram.from, |it| it.accept(datagram.run, datagram.seq));
    if accepted != Some(true) {
        return Err(Dropped::Replayed);
    }
    let msg = wire::decode(datagram.payload).map_err(|_| Dropped::Malformed)?;
    Ok((datagram.from, msg))
}

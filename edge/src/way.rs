//! Ways to open connections to targets: from this host, or through another host that reaches them.
//!
//! A host asks another one at its relay port: the length of the request in two bytes, then the name
//! and the address of the target. The other host opens a connection to the target, if it knows it,
//! and answers with one byte, a [`Reply`]. From then on it passes on the bytes of both sides until one
//! of them ends. A connection that the target resets is reset, so that an answer cut short can't be
//! taken for a complete one.

use std::{
    io::{self, ErrorKind},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    pin::Pin,
    rc::Rc,
    time::Duration,
};

use fleet::Way;
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};
use wire::HostId;

use crate::{
    client::{Connection, Opened},
    count::Counted,
    edge::Edge,
    error::EdgeError,
};

/// Time limit for a new connection; it leaves room for one lost SYN and its retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after which another host is asked too, if the path from here may be at fault.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Time limit for another host to open a connection.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of a host for a connection that it opens for another one.
const RELAYED_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for other hosts to tell whether they reach a target.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for a probe of the path from here.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of connections that a host passes on for others at a time.
const MAX_PASSED_ON: usize = 1000;
/// Maximum size of a request to open a connection, in bytes.
const MAX_REQUEST_BYTES: usize = 1024;

/// Why no connection was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// Nobody listens at the address.
    Refused,
    /// There was no answer in time, or no way.
    Unreachable,
}

/// A request to open a connection to a target.
#[derive(Debug, Serialize, Deserialize)]
struct OpenRequest {
    target: String,
    addr: String,
}

/// The answer to an [`OpenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Reply {
    Opened = 0,
    Refused = 1,
    Unreachable = 2,
    /// The host doesn't know the target, reaches none itself, passes on too much already, or was told to end.
    Rejected = 3,
}

type Opening<'a> = Pin<Box<dyn Future<Output = Result<Opened, Failure>> + 'a>>;

/// Opens connections to targets in one way.
trait Opener {
    fn open<'a>(&'a self, target: &'a str, addr: &'a str) -> Opening<'a>;
}

/// Opens connections from this host.
struct Direct {
    own: IpAddr,
    limit: Duration,
}

impl Opener for Direct {
    fn open<'a>(&'a self, _: &'a str, addr: &'a str) -> Opening<'a> {
        Box::pin(async move {
            let addr: SocketAddr = addr.parse().map_err(|_| Failure::Unreachable)?;
            match timeout(self.limit, connect(self.own, addr)).await {
                Ok(Ok(stream)) => Ok(Opened { stream, relay: None }),
                Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                    Err(Failure::Refused)
                }
                Ok(Err(_)) | Err(_) => Err(Failure::Unreachable),
            }
        })
    }
}

/// Opens connections through other hosts, the first that can.
struct ByHosts {
    own: IpAddr,
    relays: Vec<HostId>,
    /// The port at which hosts open connections for others.
    port: u16,
}

impl Opener for ByHosts {
    fn open<'a>(&'a self, target: &'a str, addr: &'a str) -> Opening<'a> {
        Box::pin(async move {
            let request = OpenRequest { target: target.to_owned(), addr: addr.to_owned() };
            let mut failure = Failure::Unreachable;
            for &host in &self.relays {
                let relay = SocketAddr::new(Ipv4Addr::from(host).into(), self.port);
                let asking = ask(self.own, relay, &request);
                let Ok(Ok((stream, reply))) = timeout(RELAY_TIMEOUT, asking).await else {
                    continue;
                };
                match reply {
                    Some(Reply::Opened) => return Ok(Opened { stream, relay: Some(host) }),
                    Some(Reply::Refused) => failure = Failure::Refused,
                    Some(Reply::Unreachable | Reply::Rejected) | None => {}
                }
            }
            Err(failure)
        })
    }
}

/// Connects from this host's address.
async fn connect(own: IpAddr, addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(own, 0))?;
    let stream = socket.connect(addr).await?;
    stream.set_nodelay(true)?;
    peer::detect_dead_peer(&stream)?;
    Ok(stream)
}

/// Asks another host to open a connection.
async fn ask(
    own: IpAddr,
    relay: SocketAddr,
    request: &OpenRequest,
) -> io::Result<(TcpStream, Option<Reply>)> {
    let mut stream = connect(own, relay).await?;
    let body = wire::encode(request);
    let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
    bytes.extend(body);
    stream.write_all(&bytes).await?;
    let reply = match stream.read_u8().await? {
        0 => Some(Reply::Opened),
        1 => Some(Reply::Refused),
        2 => Some(Reply::Unreachable),
        3 => Some(Reply::Rejected),
        _ => None,
    };
    Ok((stream, reply))
}

impl Edge {
    fn own_ip(&self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::from(self.host.borrow().settings().host))
    }

    /// Opens a new connection to a target, through another host if this one reaches no targets; none if
    /// that fails or takes too long.
    pub(crate) async fn open(self: &Rc<Edge>, target: &str, addr: &str) -> Option<Connection> {
        let stream = self.connect(target, addr).await.ok()?;
        self.client.prepare(target, stream).await
    }

    /// Opens a new connection to a target from this host only; none if that fails or takes too long.
    pub(crate) async fn open_directly(
        self: &Rc<Edge>,
        target: &str,
        addr: &str,
    ) -> Option<Connection> {
        let opened = self.direct(CONNECT_TIMEOUT).open(target, addr).await;
        let Ok(stream) = self.note_opened(opened) else {
            self.is_reached_elsewhere(target, addr).await;
            return None;
        };
        self.client.prepare(target, stream).await
    }

    /// Opens a new connection to a target for a question, in any way that works: one that fails from here may
    /// be due to the path.
    pub(crate) async fn open_any_way(
        self: &Rc<Edge>,
        target: &str,
        addr: &str,
    ) -> Option<Connection> {
        if let Some(opened) = self.open(target, addr).await {
            return Some(opened);
        }
        let opened = self.witnesses().open(target, addr).await.ok()?;
        self.client.prepare(target, opened).await
    }

    /// Whether a target's address refuses connections, as it does after its process crashed. Refusals
    /// on the path from here don't count.
    pub(crate) async fn refuses_connections(self: &Rc<Edge>, target: &str, addr: &str) -> bool {
        let relays = self.ways();
        if !relays.is_empty() {
            let opened = self.by_hosts(relays).open(target, addr).await;
            return matches!(opened, Err(Failure::Refused));
        }
        let opened = self.direct(CONNECT_TIMEOUT).open(target, addr).await;
        match self.note_opened(opened) {
            Err(Failure::Refused) => !self.is_reached_elsewhere(target, addr).await,
            Ok(_) | Err(Failure::Unreachable) => false,
        }
    }

    /// Whether another host can open a connection to a target that this host failed to reach. If so, the
    /// path from here is at fault.
    async fn is_reached_elsewhere(self: &Rc<Edge>, target: &str, addr: &str) -> bool {
        let witnesses = self.witnesses();
        let opened = timeout(WITNESS_TIMEOUT, witnesses.open(target, addr)).await;
        let is_reached = matches!(opened, Ok(Ok(_)));
        if is_reached {
            self.path_missed(target);
        }
        is_reached
    }

    /// Returns the hosts that open this host's connections to targets; none if it opens them itself.
    fn ways(&self) -> Vec<HostId> {
        match self.host.borrow().way(rand::random()) {
            Way::ByHost(relays) => relays,
            Way::Direct => Vec::new(),
        }
    }

    fn direct(&self, limit: Duration) -> Direct {
        Direct { own: self.own_ip(), limit }
    }

    /// Opens connections through hosts that can tell whether the path from here is at fault.
    fn witnesses(&self) -> ByHosts {
        self.by_hosts(self.host.borrow().witnesses(rand::random()))
    }

    fn by_hosts(&self, relays: Vec<HostId>) -> ByHosts {
        let port = self.host.borrow().settings().relay_port;
        ByHosts { own: self.own_ip(), relays, port }
    }

    fn path_opened(self: &Rc<Edge>) {
        let outputs = self.host.borrow_mut().path_opened(self.now());
        self.carry_out(outputs);
    }

    fn path_missed(self: &Rc<Edge>, target: &str) {
        let outputs = self.host.borrow_mut().path_missed(self.now(), target);
        self.carry_out(outputs);
    }

    async fn connect(self: &Rc<Edge>, target: &str, addr: &str) -> Result<Opened, Failure> {
        let relays = self.ways();
        if relays.is_empty() {
            return self.connect_or_hedge(target, addr).await;
        }
        self.by_hosts(relays).open(target, addr).await
    }

    /// Connects from here; if that fails or is slow, and the path from here may be the cause, through
    /// another host too.
    async fn connect_or_hedge(
        self: &Rc<Edge>,
        target: &str,
        addr: &str,
    ) -> Result<Opened, Failure> {
        let direct = self.direct(CONNECT_TIMEOUT);
        let mut direct = direct.open(target, addr);
        let first = timeout(HEDGE_DELAY, &mut direct).await;
        if let Ok(Ok(stream)) = first {
            self.path_opened();
            return Ok(stream);
        }
        let relays = self.host.borrow().relays(rand::random());
        let is_doubtful = self.host.borrow().is_path_doubtful(self.now()) && !relays.is_empty();
        let by_hosts = self.by_hosts(relays);
        let mut by_hosts = by_hosts.open(target, addr);
        let elsewhere = match first {
            Ok(failed) if !is_doubtful => return failed,
            Ok(failed) => by_hosts.await.or(failed),
            Err(_) if !is_doubtful => return self.note_opened(direct.await),
            Err(_) => tokio::select! {
                opened = &mut direct => match opened {
                    Ok(stream) => return self.note_opened(Ok(stream)),
                    failed => by_hosts.await.or(failed),
                },
                opened = &mut by_hosts => match opened {
                    Ok(stream) => Ok(stream),
                    Err(_) => return self.note_opened(direct.await),
                },
            },
        };
        if elsewhere.is_ok() {
            self.path_missed(target);
        }
        elsewhere
    }

    /// Records a connection that was opened from here.
    fn note_opened(self: &Rc<Edge>, opened: Result<Opened, Failure>) -> Result<Opened, Failure> {
        if opened.is_ok() {
            self.path_opened();
        }
        opened
    }

    /// Tries the path from here to a target, in a task of its own.
    pub(crate) fn probe(self: &Rc<Edge>, target: String, addr: String) {
        let edge = self.clone();
        tokio::task::spawn_local(async move {
            match edge.direct(PROBE_TIMEOUT).open(&target, &addr).await {
                Ok(_) => edge.path_opened(),
                Err(_) => edge.host.borrow_mut().probe_failed(),
            }
        });
    }
}

/// Opens connections to targets for other hosts.
pub(crate) async fn serve(edge: &Rc<Edge>, port: u16) -> Result<(), EdgeError> {
    let listener = TcpListener::bind(SocketAddr::new(edge.own_ip(), port)).await?;
    let edge = edge.clone();
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(relay(edge.clone(), stream));
                }
                Err(_) => tokio::time::sleep(HEDGE_DELAY).await,
            }
        }
    });
    Ok(())
}

/// Serves one connection of another host. Its errors end the connection.
async fn relay(edge: Rc<Edge>, mut client: TcpStream) {
    let prepared = client.set_nodelay(true).and_then(|()| peer::detect_dead_peer(&client));
    if prepared.is_err() {
        return;
    }
    let Ok(Some(request)) = timeout(RELAY_TIMEOUT, read_request(&mut client)).await else {
        return;
    };
    let (reply, target) = open_for_other(&edge, &request).await;
    if client.write_u8(reply as u8).await.is_err() {
        return;
    }
    if let Some((target, _passed_on)) = target {
        pass_on(client, target).await;
    }
}

async fn read_request(client: &mut TcpStream) -> Option<OpenRequest> {
    let length = usize::from(client.read_u16().await.ok()?);
    if length > MAX_REQUEST_BYTES {
        return None;
    }
    let mut bytes = vec![0; length];
    client.read_exact(&mut bytes).await.ok()?;
    wire::decode(&bytes).ok()
}

/// Opens a connection for another host. It counts as passed on from the beginning, so that a host that is told
/// to end meanwhile waits for it.
async fn open_for_other(
    edge: &Rc<Edge>,
    request: &OpenRequest,
) -> (Reply, Option<(TcpStream, Counted)>) {
    let is_known = {
        let host = edge.host.borrow();
        host.may_relay(edge.now(), &request.target, &request.addr)
    };
    if !is_known || edge.passed_on.get() >= MAX_PASSED_ON || edge.stopping.is_set() {
        return (Reply::Rejected, None);
    }
    let passed_on = edge.passed_on.begin();
    match edge.direct(RELAYED_TIMEOUT).open(&request.target, &request.addr).await {
        Ok(opened) => {
            edge.path_opened();
            (Reply::Opened, Some((opened.stream, passed_on)))
        }
        Err(Failure::Refused) => (Reply::Refused, None),
        Err(Failure::Unreachable) => (Reply::Unreachable, None),
    }
}

/// Passes on the bytes of both sides until one of them ends. Both connections are closed then: a host
/// that closes its side has left its request. The connection to the host is reset unless the target has ended
/// its side and all its bytes are passed on; the kernel resets it also if this process ends.
async fn pass_on(mut client: TcpStream, mut target: TcpStream) {
    // Where that can't be set, the connections are closed at once.
    if client.set_zero_linger().is_err() {
        return;
    }
    let (mut from_client, mut to_client) = client.split();
    let (mut from_target, mut to_target) = target.split();
    let has_target_ended = tokio::select! {
        _ = copy(&mut from_client, &mut to_target) => false,
        ended = copy(&mut from_target, &mut to_client) => ended.is_ok(),
    };
    if !has_target_ended {
        // The connections are closed in any case.
        let _ = target.set_zero_linger();
        return;
    }
    // If this fails, the host takes the answer for cut off.
    let _ = SockRef::from(&client).set_linger(None);
}

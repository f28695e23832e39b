//! The outgoing connection to one peer and its send queue.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::Rng;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::Notify,
    task::JoinHandle,
    time::timeout,
};
use wire::{HostId, Incarnation, PeerMsg, RequestId};

use crate::{
    auth::Nonce,
    frame::{GREETING_BYTES, Greeting, Session},
    hub::{Contact, Event, Shared},
    stats::{self, DropReason},
};

/// Maximum number of bytes queued for one peer.
pub const QUEUE_BYTES: usize = 16 * 1024 * 1024;

/// A repeated message is queued only if the whole queue stays within this size; the remainder is
/// reserved for other messages.
const REPEATED_QUEUE_BYTES: usize = QUEUE_BYTES / 2;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long sent bytes may stay unacknowledged before the connection counts as broken; also the
/// idle time before the first keepalive probe and the interval between probes.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which an idle connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const BATCH_BYTES: usize = 64 * 1024;

/// An encoded message in the send queue.
#[derive(Debug)]
struct Queued {
    payload: Vec<u8>,
    /// The kind's name in metrics.
    kind: &'static str,
    class: LossClass,
}

/// What the loss of a message requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossClass {
    /// Nothing: the sender repeats it by itself.
    Repeated,
    /// [`Event::Undelivered`], so that the request can be sent to another host.
    Forward(RequestId),
    /// [`Event::ConnectionLost`]: the connection counts as lost.
    Other,
}

impl LossClass {
    fn of(msg: &PeerMsg) -> LossClass {
        match msg {
            PeerMsg::Log(_)
            | PeerMsg::Renew(_)
            | PeerMsg::Grant(_)
            | PeerMsg::Report(_)
            | PeerMsg::LoadRequests(_) => LossClass::Repeated,
            PeerMsg::Forward(forward) => LossClass::Forward(forward.request),
            _ => LossClass::Other,
        }
    }
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Queued>,
    bytes: usize,
    /// Whether a message of another class than `Repeated` was rejected.
    overflow: bool,
}

/// The send queue, with notifications for the task that empties it.
#[derive(Debug, Default)]
struct Channel {
    queue: Mutex<Queue>,
    wake: Notify,
    overflowed: Notify,
}

impl Channel {
    fn lock(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().expect("the lock is not poisoned")
    }
}

/// The handle that sends messages to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    peer: HostId,
    channel: Arc<Channel>,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").field("host", &self.config.host).finish_non_exhaustive()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    pub(crate) fn start(shared: Arc<Shared>, peer: HostId) -> Link {
        let channel = Arc::new(Channel::default());
        let task = tokio::spawn(run_link(shared.clone(), peer, channel.clone()));
        Link { peer, channel, shared, task }
    }

    /// Queues a message. If the queue is full, a repeated message is dropped, and any other
    /// breaks the connection.
    pub(crate) fn send(&self, msg: &PeerMsg, payload: Vec<u8>) {
        let mut queue = self.channel.lock();
        let class = LossClass::of(msg);
        let limit = if class == LossClass::Repeated { REPEATED_QUEUE_BYTES } else { QUEUE_BYTES };
        // An empty queue accepts a frame of any length, or the longest could never be sent.
        if queue.bytes + payload.len() > limit && !queue.frames.is_empty() {
            drop(queue);
            self.shared.stats.count_unsent(self.peer, stats::kind(msg), DropReason::Overflow);
            self.overflow(msg);
            return;
        }
        queue.bytes += payload.len();
        queue.frames.push_back(Queued { payload, kind: stats::kind(msg), class });
        drop(queue);
        self.channel.wake.notify_one();
    }

    /// Returns whether messages are queued.
    pub(crate) fn has_queued(&self) -> bool {
        !self.channel.lock().frames.is_empty()
    }

    /// Breaks the connection because a message can't be sent, unless it is a repeated one.
    pub(crate) fn overflow(&self, msg: &PeerMsg) {
        if LossClass::of(msg) == LossClass::Repeated {
            return;
        }
        self.channel.lock().overflow = true;
        self.channel.wake.notify_one();
        self.channel.overflowed.notify_one();
    }
}

/// Connects whenever messages are queued, and sends them until the connection breaks. Connects anew
/// at once when the peer has connected to this host.
async fn run_link(shared: Arc<Shared>, peer: HostId, channel: Arc<Channel>) {
    let contact = shared.contact(peer);
    let mut backoff = MIN_BACKOFF;
    loop {
        wait_for_work(&channel).await;
        let connected = tokio::select! {
            biased;
            connected = connect(&shared, peer) => connected,
            () = contact.connected.notified() => continue,
        };
        match connected {
            Ok((stream, session, incarnation)) => {
                backoff = MIN_BACKOFF;
                tokio::select! {
                    // Always ends with an error, since only a broken connection ends it.
                    _ = send_frames(stream, session, &channel) => {}
                    () = wait_for_later(&contact, incarnation) => {}
                }
                discard_queue(&shared, peer, &channel).await;
                shared.inbox.deliver(Event::ConnectionLost(peer)).await;
            }
            Err(_) => {
                report_loss(&shared, peer, &channel).await;
                wait_backoff(&shared, peer, &channel, &contact, backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn wait_for_work(channel: &Channel) {
    loop {
        {
            let queue = channel.lock();
            if queue.overflow || !queue.frames.is_empty() {
                return;
            }
        }
        channel.wake.notified().await;
    }
}

/// Waits until a later process of the peer than the given one has connected to this host.
async fn wait_for_later(contact: &Contact, incarnation: Incarnation) {
    while !contact.is_later(incarnation) {
        contact.connected.notified().await;
    }
}

/// Waits for the jittered backoff before the next attempt to connect, or until the peer has
/// connected to this host. Messages queued meanwhile fail at once.
async fn wait_backoff(
    shared: &Shared,
    peer: HostId,
    channel: &Channel,
    contact: &Contact,
    backoff: Duration,
) {
    let wait = backoff.mul_f64(rand::rng().random_range(0.5..1.5));
    let backoff_end = tokio::time::sleep(wait);
    tokio::pin!(backoff_end);
    loop {
        tokio::select! {
            biased;
            () = contact.connected.notified() => return,
            () = &mut backoff_end => return,
            () = channel.wake.notified() => report_loss(shared, peer, channel).await,
        }
    }
}

/// Drops the queued messages, and delivers [`Event::ConnectionLost`] if any of them is of the class
/// `Other` or the queue has overflowed.
async fn report_loss(shared: &Shared, peer: HostId, channel: &Channel) {
    if discard_queue(shared, peer, channel).await {
        shared.inbox.deliver(Event::ConnectionLost(peer)).await;
    }
}

/// Drops the queued messages, none of which was sent, and delivers [`Event::Undelivered`] for
/// each forwarded request. Returns whether a message of the class `Other` was dropped or the
/// queue has overflowed.
async fn discard_queue(shared: &Shared, to: HostId, channel: &Channel) -> bool {
    let queue = std::mem::take(&mut *channel.lock());
    let mut other_lost = queue.overflow;
    for queued in &queue.frames {
        shared.stats.count_unsent(to, queued.kind, DropReason::Broken);
        match queued.class {
            LossClass::Repeated => {}
            LossClass::Forward(request) => {
                shared.inbox.deliver(Event::Undelivered { to, request }).await;
            }
            LossClass::Other => other_lost = true,
        }
    }
    other_lost
}

/// Opens a connection from this host's own address and performs the handshake. Returns the
/// incarnation of the peer's process too.
async fn connect(shared: &Shared, peer: HostId) -> io::Result<(TcpStream, Session, Incarnation)> {
    let config = &shared.config;
    let ip = shared.peer_ip(peer).ok_or(io::ErrorKind::NotFound)?;
    let own = shared.own_ip;
    let socket = if ip.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(own, 0))?;
    let connecting = socket.connect(SocketAddr::new(ip, config.port));
    let mut stream = timeout(CONNECT_TIMEOUT, connecting).await??;
    stream.set_nodelay(true)?;
    detect_dead_peer(&stream)?;
    let greeted = timeout(HANDSHAKE_TIMEOUT, handshake(shared, peer, &mut stream)).await??;
    let (session, incarnation) = greeted;
    Ok((stream, session, incarnation))
}

/// Sets the TCP user timeout and keepalive, so that a connection to an unresponsive host fails
/// within seconds. Returns the error of the socket options.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(DEAD_PEER_TIMEOUT)
        .with_interval(DEAD_PEER_TIMEOUT)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Performs the client's side of the handshake.
async fn handshake(
    shared: &Shared,
    peer: HostId,
    stream: &mut TcpStream,
) -> io::Result<(Session, Incarnation)> {
    let config = &shared.config;
    let nonce: Nonce = rand::rng().random();
    let client = Greeting { from: config.host, to: peer, incarnation: config.incarnation, nonce };
    stream.write_all(&client.encode(&shared.key, &[])).await?;
    let mut bytes = [0; GREETING_BYTES];
    stream.read_exact(&mut bytes).await?;
    let server = Greeting::decode(&bytes).ok_or(io::ErrorKind::InvalidData)?;
    if server.from != peer || server.to != config.host {
        shared.stats.count_dropped(DropReason::Unknown, 1);
        return Err(io::ErrorKind::InvalidData.into());
    }
    if !Greeting::verify(&bytes, &shared.key, &nonce) {
        shared.stats.count_dropped(DropReason::BadTag, 1);
        return Err(io::ErrorKind::InvalidData.into());
    }
    let session = Session::new(&shared.key, &client, &server);
    stream.write_all(&session.proof()).await?;
    Ok((session, server.incarnation))
}

/// Sends frames until the connection breaks, and returns why it did.
async fn send_frames(stream: TcpStream, mut session: Session, channel: &Channel) -> io::Result<()> {
    let (mut input, mut output) = stream.into_split();
    let mut unexpected = [0; 1];
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            // The peer sends nothing on this connection, so any result means that it ended.
            _ = input.read(&mut unexpected) => return Err(io::ErrorKind::ConnectionReset.into()),
            () = wait_for_work(channel) => {}
        }
        if !fill_batch(channel, &mut session, &mut batch) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        tokio::select! {
            written = timeout(WRITE_TIMEOUT, output.write_all(&batch)) => written??,
            () = wait_for_overflow(channel) => return Err(io::ErrorKind::OutOfMemory.into()),
        }
    }
}

async fn wait_for_overflow(channel: &Channel) {
    while !channel.lock().overflow {
        channel.overflowed.notified().await;
    }
}

/// Moves queued messages, encoded as frames, to the batch until it has [`BATCH_BYTES`].
/// Returns false if the queue has overflowed.
fn fill_batch(channel: &Channel, session: &mut Session, batch: &mut Vec<u8>) -> bool {
    batch.clear();
    batch.shrink_to(BATCH_BYTES);
    let mut queue = channel.lock();
    if queue.overflow {
        return false;
    }
    while let Some(Queued { payload, .. }) = queue.frames.pop_front() {
        queue.bytes -= payload.len();
        session.encode(&payload, batch);
        if batch.len() >= BATCH_BYTES {
            break;
        }
    }
    true
}

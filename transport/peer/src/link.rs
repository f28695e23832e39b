//! The outgoing connection to one peer.

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
use wire::{HostId, PeerMsg, RequestId};

use crate::{
    auth::Nonce,
    frame::{GREETING_BYTES, Greeting, Session},
    hub::{Event, Shared},
    stats::Dropped,
};

/// Bytes that may wait for one peer.
pub const QUEUE_BYTES: usize = 16 * 1024 * 1024;

/// Of these, bytes that messages which are repeated anyway may use.
const REPEATED_BYTES: usize = QUEUE_BYTES / 2;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long bytes may be unacknowledged before the connection counts as broken.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Probes of an idle connection that may be unanswered.
const SILENCE_PROBES: u32 = 2;
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const BATCH_BYTES: usize = 64 * 1024;

/// An encoded message that waits.
#[derive(Debug)]
struct Waiting {
    payload: Vec<u8>,
    kind: Kind,
}

/// What follows when a message is not delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// It is sent again without being asked for.
    Repeated,
    /// Its request can go to another host.
    Forward(RequestId),
    /// The connection counts as lost.
    Other,
}

impl Kind {
    fn of(msg: &PeerMsg) -> Kind {
        match msg {
            PeerMsg::Log(_)
            | PeerMsg::Renew(_)
            | PeerMsg::Grant(_)
            | PeerMsg::Report(_)
            | PeerMsg::Wants(_) => Kind::Repeated,
            PeerMsg::Forward(forward) => Kind::Forward(forward.request),
            _ => Kind::Other,
        }
    }
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Waiting>,
    bytes: usize,
    /// Whether a message that isn't repeated was refused.
    overflow: bool,
}

#[derive(Debug, Default)]
struct Pipe {
    queue: Mutex<Queue>,
    wake: Notify,
    full: Notify,
}

impl Pipe {
    fn lock(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder panics")
    }
}

/// The sending side of the connection to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    pipe: Arc<Pipe>,
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
        let pipe = Arc::new(Pipe::default());
        let task = tokio::spawn(run(shared.clone(), peer, pipe.clone()));
        Link { pipe, shared, task }
    }

    /// Queues a message. When the queue is full, a repeated message is dropped,
    /// and any other breaks the connection.
    pub(crate) fn send(&self, msg: &PeerMsg, payload: Vec<u8>) {
        let mut queue = self.pipe.lock();
        let kind = Kind::of(msg);
        let limit = if kind == Kind::Repeated { REPEATED_BYTES } else { QUEUE_BYTES };
        // One frame always fits, or the longest could never be sent.
        if queue.bytes + payload.len() > limit && !queue.frames.is_empty() {
            drop(queue);
            self.shared.stats.drop_frames(Dropped::Overflow, 1);
            self.overflow(msg);
            return;
        }
        queue.bytes += payload.len();
        queue.frames.push_back(Waiting { payload, kind });
        drop(queue);
        self.pipe.wake.notify_one();
    }

    /// Whether messages wait.
    pub(crate) fn is_busy(&self) -> bool {
        !self.pipe.lock().frames.is_empty()
    }

    /// Breaks the connection for a message that can't be sent.
    pub(crate) fn overflow(&self, msg: &PeerMsg) {
        if Kind::of(msg) == Kind::Repeated {
            return;
        }
        self.pipe.lock().overflow = true;
        self.pipe.wake.notify_one();
        self.pipe.full.notify_one();
    }
}

async fn run(shared: Arc<Shared>, peer: HostId, pipe: Arc<Pipe>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        wait_for_work(&pipe).await;
        match connect(&shared, peer).await {
            Ok((stream, session)) => {
                backoff = MIN_BACKOFF;
                // The end of the connection is an error in any case.
                let _ = carry(stream, session, &pipe).await;
                discard(&shared, peer, &pipe).await;
                shared.inbox.deliver(Event::Lost(peer)).await;
            }
            Err(_) => {
                report(&shared, peer, &pipe).await;
                pause(&shared, peer, &pipe, backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

async fn wait_for_work(pipe: &Pipe) {
    loop {
        {
            let queue = pipe.lock();
            if queue.overflow || !queue.frames.is_empty() {
                return;
            }
        }
        pipe.wake.notified().await;
    }
}

/// Waits before the next try to connect. Messages that somebody waits for fail
/// at once.
async fn pause(shared: &Shared, peer: HostId, pipe: &Pipe, backoff: Duration) {
    let wait = backoff.mul_f64(rand::rng().random_range(0.5..1.5));
    let until = tokio::time::sleep(wait);
    tokio::pin!(until);
    loop {
        tokio::select! {
            () = &mut until => return,
            () = pipe.wake.notified() => report(shared, peer, pipe).await,
        }
    }
}

/// Drops what waits, and counts the connection as lost if somebody waits for
/// more than a forwarded request.
async fn report(shared: &Shared, peer: HostId, pipe: &Pipe) {
    if discard(shared, peer, pipe).await {
        shared.inbox.deliver(Event::Lost(peer)).await;
    }
}

/// Drops what waits, which has not left the host, and tells of its requests.
/// Returns whether anything else was dropped that isn't repeated.
async fn discard(shared: &Shared, to: HostId, pipe: &Pipe) -> bool {
    let queue = std::mem::take(&mut *pipe.lock());
    shared.stats.drop_frames(Dropped::Broken, queue.frames.len() as u64);
    let mut others = queue.overflow;
    for waiting in &queue.frames {
        match waiting.kind {
            Kind::Repeated => {}
            Kind::Forward(request) => {
                shared.inbox.deliver(Event::Undelivered { to, request }).await;
            }
            Kind::Other => others = true,
        }
    }
    others
}

async fn connect(shared: &Shared, peer: HostId) -> io::Result<(TcpStream, Session)> {
    let config = &shared.config;
    let ip = shared.peer_ip(peer).ok_or(io::ErrorKind::NotFound)?;
    let own = shared.own_ip;
    let socket = if ip.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(own, 0))?;
    let connecting = socket.connect(SocketAddr::new(ip, config.port));
    let mut stream = timeout(CONNECT_TIMEOUT, connecting).await??;
    stream.set_nodelay(true)?;
    watch_silence(&stream)?;
    let session = timeout(HANDSHAKE_TIMEOUT, greet(shared, peer, &mut stream)).await??;
    Ok((stream, session))
}

/// Lets a connection fail whose other side has gone silent.
pub fn watch_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(SILENCE_TIMEOUT)
        .with_interval(SILENCE_TIMEOUT)
        .with_retries(SILENCE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

async fn greet(shared: &Shared, peer: HostId, stream: &mut TcpStream) -> io::Result<Session> {
    let config = &shared.config;
    let nonce: Nonce = rand::rng().random();
    let hello = Greeting { from: config.host, to: peer, run: config.run, nonce };
    stream.write_all(&hello.encode(&shared.key, &[])).await?;
    let mut bytes = [0; GREETING_BYTES];
    stream.read_exact(&mut bytes).await?;
    let welcome = Greeting::decode(&bytes).ok_or(io::ErrorKind::InvalidData)?;
    if welcome.from != peer || welcome.to != config.host {
        shared.stats.drop_frames(Dropped::Unknown, 1);
        return Err(io::ErrorKind::InvalidData.into());
    }
    if !Greeting::verify(&bytes, &shared.key, &nonce) {
        shared.stats.drop_frames(Dropped::BadTag, 1);
        return Err(io::ErrorKind::InvalidData.into());
    }
    let session = Session::new(&shared.key, &hello, &welcome);
    stream.write_all(&session.proof()).await?;
    Ok(session)
}

/// Sends frames until the connection breaks.
async fn carry(stream: TcpStream, mut session: Session, pipe: &Pipe) -> io::Result<()> {
    let (mut input, mut output) = stream.into_split();
    let mut unexpected = [0; 1];
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            // The peer sends nothing here, so this ends with the connection.
            _ = input.read(&mut unexpected) => return Err(io::ErrorKind::ConnectionReset.into()),
            () = wait_for_work(pipe) => {}
        }
        if !fill(pipe, &mut session, &mut batch) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        tokio::select! {
            written = timeout(WRITE_TIMEOUT, output.write_all(&batch)) => written??,
            () = wait_for_overflow(pipe) => return Err(io::ErrorKind::OutOfMemory.into()),
        }
    }
}

async fn wait_for_overflow(pipe: &Pipe) {
    while !pipe.lock().overflow {
        pipe.full.notified().await;
    }
}

/// Encodes waiting frames; returns false if the queue has overflowed.
fn fill(pipe: &Pipe, session: &mut Session, batch: &mut Vec<u8>) -> bool {
    batch.clear();
    batch.shrink_to(BATCH_BYTES);
    let mut queue = pipe.lock();
    if queue.overflow {
        return false;
    }
    while let Some(Waiting { payload, .. }) = queue.frames.pop_front() {
        queue.bytes -= payload.len();
        session.encode(&payload, batch);
        if batch.len() >= BATCH_BYTES {
            break;
        }
    }
    true
}

//! Incoming connections.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore},
    task::JoinSet,
    time::timeout,
};
use wire::{HostId, MAX_FRAME_BYTES};

use crate::{
    auth::{Nonce, TAG_BYTES},
    frame::{FRAME_OVERHEAD, GREETING_BYTES, Greeting, Session},
    hub::{Event, Shared},
    stats::DropReason,
};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the rest of a frame once its length has arrived.
const FRAME_TIMEOUT: Duration = Duration::from_secs(30);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 8 * 1024;

/// Simultaneous handshakes allowed per peer; the limit applies to all peers together.
const HANDSHAKES_PER_PEER: usize = 2;

/// Maximum number of peers that count towards the limit of simultaneous handshakes.
const MAX_HANDSHAKE_PEERS: usize = 64;

/// The incoming connections from one peer. A new connection replaces the previous one, which
/// ends before the new one delivers its first message.
#[derive(Debug, Default)]
struct Incoming {
    /// Held by the connection that delivers messages.
    active: tokio::sync::Mutex<()>,
    /// Notified when a newer connection replaces the current one.
    replaced: Mutex<Arc<Notify>>,
}

impl Incoming {
    /// Ends the previous connection; returns the notification that ends the new one.
    fn replace(&self) -> Arc<Notify> {
        let next = Arc::new(Notify::new());
        let mut replaced = self.replaced.lock().expect("the lock is not poisoned");
        std::mem::replace(&mut *replaced, next.clone()).notify_one();
        next
    }
}

/// Accepts connections of peers until the task is aborted.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let by_peer: Arc<Mutex<BTreeMap<HostId, Arc<Incoming>>>> = Arc::default();
    let permits =
        HANDSHAKES_PER_PEER * shared.config.peers.max_hosts().clamp(1, MAX_HANDSHAKE_PEERS);
    let permits = Arc::new(Semaphore::new(permits));
    // Dropping the set aborts the connections together with this task.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, addr)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if !shared.config.peers.allows(addr.ip()) {
            shared.stats.count_dropped(DropReason::Unknown, 1);
            continue;
        }
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            shared.stats.count_dropped(DropReason::Overflow, 1);
            continue;
        };
        let shared = shared.clone();
        let by_peer = by_peer.clone();
        connections.spawn(async move {
            let accepted = timeout(HANDSHAKE_TIMEOUT, handshake(&shared, stream)).await;
            drop(permit);
            let Ok(Ok((peer, stream, session))) = accepted else { return };
            let incoming =
                by_peer.lock().expect("the lock is not poisoned").entry(peer).or_default().clone();
            receive_frames(&shared, peer, &incoming, stream, session).await;
        });
    }
}

/// Performs the server's side of the handshake; returns the authenticated peer.
async fn handshake(
    shared: &Shared,
    mut stream: TcpStream,
) -> Result<(HostId, TcpStream, Session), io::Error> {
    stream.set_nodelay(true)?;
    let ip = stream.peer_addr()?.ip();
    let mut bytes = [0; GREETING_BYTES];
    stream.read_exact(&mut bytes).await?;
    let client = Greeting::decode(&bytes).ok_or_else(|| reject(shared, DropReason::Malformed))?;
    if client.to != shared.config.host || shared.peer_ip(client.from) != Some(ip) {
        return Err(reject(shared, DropReason::Unknown));
    }
    if !Greeting::verify(&bytes, &shared.key, &[]) {
        return Err(reject(shared, DropReason::BadTag));
    }
    let nonce: Nonce = rand::rng().random();
    let config = &shared.config;
    let server =
        Greeting { from: config.host, to: client.from, incarnation: config.incarnation, nonce };
    stream.write_all(&server.encode(&shared.key, &client.nonce)).await?;
    let session = Session::new(&shared.key, &client, &server);
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    if !session.verify_proof(&proof) {
        return Err(reject(shared, DropReason::BadTag));
    }
    if shared.with_window(client.from, |it| it.reset(client.incarnation)).is_none() {
        return Err(reject(shared, DropReason::Overflow));
    }
    shared.contact(client.from).record(client.incarnation);
    Ok((client.from, stream, session))
}

/// Counts a dropped frame and returns the error that closes the connection.
fn reject(shared: &Shared, reason: DropReason) -> io::Error {
    shared.stats.count_dropped(reason, 1);
    io::ErrorKind::InvalidData.into()
}

/// Delivers the messages of a connection until it ends or is replaced.
async fn receive_frames(
    shared: &Shared,
    peer: HostId,
    incoming: &Incoming,
    stream: TcpStream,
    mut session: Session,
) {
    let replaced = incoming.replace();
    let _active = incoming.active.lock().await;
    let mut stream = BufReader::with_capacity(BUFFER_BYTES, stream);
    loop {
        let frame = tokio::select! {
            () = replaced.notified() => break,
            frame = read_frame(shared, &mut stream, &mut session) => frame,
        };
        let Ok(payload) = frame else { break };
        let Ok(msg) = wire::decode(&payload) else {
            shared.stats.count_dropped(DropReason::Malformed, 1);
            break;
        };
        shared.stats.count_received(&msg, payload.len() + FRAME_OVERHEAD);
        shared.inbox.deliver(Event::Message { from: peer, msg }).await;
    }
    // Closes the socket before the event is delivered, so that the peer also notices the loss.
    drop(stream);
    shared.inbox.deliver(Event::ConnectionLost(peer)).await;
}

/// Reads and verifies the next frame; returns its payload.
async fn read_frame(
    shared: &Shared,
    stream: &mut BufReader<TcpStream>,
    session: &mut Session,
) -> io::Result<Vec<u8>> {
    let len = stream.read_u32_le().await? as usize;
    if len > MAX_FRAME_BYTES {
        return Err(reject(shared, DropReason::TooLong));
    }
    // The buffer grows with the bytes that arrive; the announced length is not trusted.
    let mut bytes = Vec::with_capacity((len + TAG_BYTES).min(BUFFER_BYTES));
    let mut rest = stream.take((len + TAG_BYTES) as u64);
    timeout(FRAME_TIMEOUT, rest.read_to_end(&mut bytes)).await??;
    if bytes.len() < len + TAG_BYTES {
        return Err(reject(shared, DropReason::Malformed));
    }
    let tag = bytes.split_off(len);
    if !session.verify(&bytes, &tag) {
        return Err(reject(shared, DropReason::BadTag));
    }
    Ok(bytes)
}

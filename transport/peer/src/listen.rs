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
    frame::{FRAME_EXTRA, GREETING_BYTES, Greeting, Session},
    hub::{Event, Shared},
    stats::Dropped,
};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const FRAME_TIMEOUT: Duration = Duration::from_secs(30);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const READ_BYTES: usize = 8 * 1024;

/// Connections per peer that may be in their handshake.
const HANDSHAKES: usize = 2;

/// Peers for whose handshakes there is room at once.
const MAX_HANDSHAKES: usize = 64;

/// The reading side of the connection from one peer. The newest connection
/// replaces the one before it, which ends before the new one delivers.
#[derive(Debug, Default)]
struct Seat {
    turn: tokio::sync::Mutex<()>,
    replaced: Mutex<Arc<Notify>>,
}

impl Seat {
    fn replace(&self) -> Arc<Notify> {
        let next = Arc::new(Notify::new());
        let mut replaced = self.replaced.lock().expect("no holder panics");
        std::mem::replace(&mut *replaced, next.clone()).notify_one();
        next
    }
}

pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let seats: Arc<Mutex<BTreeMap<HostId, Arc<Seat>>>> = Arc::default();
    let places = HANDSHAKES * shared.config.peers.most().clamp(1, MAX_HANDSHAKES);
    let places = Arc::new(Semaphore::new(places));
    // Connections end with this task.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, addr)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if !shared.config.peers.may_use(addr.ip()) {
            shared.stats.drop_frames(Dropped::Unknown, 1);
            continue;
        }
        let Ok(place) = places.clone().try_acquire_owned() else {
            shared.stats.drop_frames(Dropped::Overflow, 1);
            continue;
        };
        let shared = shared.clone();
        let seats = seats.clone();
        connections.spawn(async move {
            let greeted = timeout(HANDSHAKE_TIMEOUT, greet(&shared, stream)).await;
            drop(place);
            let Ok(Ok((peer, stream, session))) = greeted else { return };
            let seat = seats.lock().expect("no holder panics").entry(peer).or_default().clone();
            serve(&shared, peer, &seat, stream, session).await;
        });
    }
}

async fn greet(
    shared: &Shared,
    mut stream: TcpStream,
) -> Result<(HostId, TcpStream, Session), io::Error> {
    stream.set_nodelay(true)?;
    let ip = stream.peer_addr()?.ip();
    let mut bytes = [0; GREETING_BYTES];
    stream.read_exact(&mut bytes).await?;
    let hello = Greeting::decode(&bytes).ok_or_else(|| refuse(shared, Dropped::Malformed))?;
    if hello.to != shared.config.host || shared.peer_ip(hello.from) != Some(ip) {
        return Err(refuse(shared, Dropped::Unknown));
    }
    if !Greeting::verify(&bytes, &shared.key, &[]) {
        return Err(refuse(shared, Dropped::BadTag));
    }
    let nonce: Nonce = rand::rng().random();
    let config = &shared.config;
    let welcome = Greeting { from: config.host, to: hello.from, run: config.run, nonce };
    stream.write_all(&welcome.encode(&shared.key, &hello.nonce)).await?;
    let session = Session::new(&shared.key, &hello, &welcome);
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    if !session.verify_proof(&proof) {
        return Err(refuse(shared, Dropped::BadTag));
    }
    if shared.with_window(hello.from, |it| it.restart(hello.run)).is_none() {
        return Err(refuse(shared, Dropped::Overflow));
    }
    Ok((hello.from, stream, session))
}

fn refuse(shared: &Shared, why: Dropped) -> io::Error {
    shared.stats.drop_frames(why, 1);
    io::ErrorKind::InvalidData.into()
}

async fn serve(
    shared: &Shared,
    peer: HostId,
    seat: &Seat,
    stream: TcpStream,
    mut session: Session,
) {
    let replaced = seat.replace();
    let _turn = seat.turn.lock().await;
    let mut stream = BufReader::with_capacity(READ_BYTES, stream);
    loop {
        let frame = tokio::select! {
            () = replaced.notified() => break,
            frame = read(shared, &mut stream, &mut session) => frame,
        };
        let Ok(payload) = frame else { break };
        let Ok(msg) = wire::decode(&payload) else {
            shared.stats.drop_frames(Dropped::Malformed, 1);
            break;
        };
        shared.stats.received(&msg, payload.len() + FRAME_EXTRA);
        shared.inbox.deliver(Event::Message { from: peer, msg }).await;
    }
    // Closes the socket before the news, so that the peer learns of it as well.
    drop(stream);
    shared.inbox.deliver(Event::Lost(peer)).await;
}

async fn read(
    shared: &Shared,
    stream: &mut BufReader<TcpStream>,
    session: &mut Session,
) -> io::Result<Vec<u8>> {
    let len = stream.read_u32_le().await? as usize;
    if len > MAX_FRAME_BYTES {
        return Err(refuse(shared, Dropped::TooLong));
    }
    // The buffer grows with what arrives, not with what is announced.
    let mut bytes = Vec::with_capacity((len + TAG_BYTES).min(READ_BYTES));
    let mut rest = stream.take((len + TAG_BYTES) as u64);
    timeout(FRAME_TIMEOUT, rest.read_to_end(&mut bytes)).await??;
    if bytes.len() < len + TAG_BYTES {
        return Err(refuse(shared, Dropped::Malformed));
    }
    let tag = bytes.split_off(len);
    if !session.verify(&bytes, &tag) {
        return Err(refuse(shared, Dropped::BadTag));
    }
    Ok(bytes)
}

//! Test hosts on loopback addresses.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use peer::{
    Config, Event, Hub, Inbox, Peers,
    auth::Key,
    frame::{GREETING_BYTES, Greeting, Session},
};
use sessions::checkout::octet;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout,
};
use wire::{HostId, LoadRequest, PeerMsg};

pub const KEY: &[u8] = b"a shared key";
pub const PORT: u16 = 7100;
/// Upper bound of every wait; no test expects a wait to take this long.
pub const LIMIT: Duration = Duration::from_secs(60);

pub fn ip(net: u8, host: HostId) -> IpAddr {
    Ipv4Addr::new(127, octet(), 100 + net, host as u8).into()
}

pub fn addr(net: u8, host: HostId) -> SocketAddr {
    SocketAddr::new(ip(net, host), PORT)
}

/// Returns the configuration of a host; hosts 1 to 3 share the network `net`.
pub fn config(net: u8, host: HostId) -> Config {
    let peers: BTreeMap<_, _> = (1..=3).map(|host| (host, ip(net, host))).collect();
    Config { host, incarnation: 1, peers: Peers::Listed(peers), port: PORT, key: KEY.to_vec() }
}

struct Events(UnboundedSender<Event>);

impl Inbox for Events {
    fn deliver(&self, event: Event) -> std::pin::Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        let _ = self.0.send(event);
        Box::pin(std::future::ready(()))
    }
}

pub async fn start(config: Config) -> (Hub, UnboundedReceiver<Event>) {
    let (sender, receiver) = unbounded_channel();
    let hub = Hub::start(config, Arc::new(Events(sender))).await.expect("the address is free");
    (hub, receiver)
}

pub async fn next(events: &mut UnboundedReceiver<Event>) -> Event {
    timeout(LIMIT, events.recv()).await.expect("an event arrives").expect("the hub runs")
}

/// Waits until a condition holds.
pub async fn until(mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waiting).await.expect("the condition comes true");
}

/// Returns a message that is sent over TCP, identified by its number.
pub fn numbered(number: u32) -> PeerMsg {
    PeerMsg::LoadRequests(vec![LoadRequest {
        adapter: number,
        score: 0.0,
        waiting: 0,
        age: Duration::ZERO,
    }])
}

/// Opens a raw connection as host `from` to host `to` and performs the handshake.
pub async fn connect(net: u8, from: HostId, to: HostId) -> (TcpStream, Session) {
    let key = Key::new(KEY);
    let socket = TcpSocket::new_v4().expect("sockets are free");
    socket.bind(SocketAddr::new(ip(net, from), 0)).expect("ports are free");
    let mut stream = socket.connect(addr(net, to)).await.expect("the host listens");
    let client = Greeting { from, to, incarnation: 1, nonce: [7; 16] };
    stream.write_all(&client.encode(&key, &[])).await.expect("the host reads the greeting");
    let mut bytes = [0; GREETING_BYTES];
    stream.read_exact(&mut bytes).await.expect("the host answers");
    let server = Greeting::decode(&bytes).expect("the answer is a greeting");
    let session = Session::new(&key, &client, &server);
    stream.write_all(&session.proof()).await.expect("the host reads");
    (stream, session)
}

//! Hosts that reach no target, while callers and the other hosts reach them.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{
    CONTROL, Cluster, ENTRY, ReceivedRequest, call, cut, document, ip, read_request,
    send_heartbeats, signed_head, target_record, until,
};
use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const HOSTS: u8 = 5;
/// The hosts that are cut off.
const CUT: [u8; 2] = [4, 5];
const TARGETS: u8 = 4;
/// Time after the cut from which these hosts serve callers.
const CONTACT: Duration = Duration::from_secs(3);
/// First tries at each host.
const TRIES: usize = 20;
/// Longer than a connection to a target is kept for reuse.
const POOLED: Duration = Duration::from_secs(1);
/// Number of events of a stream.
const EVENTS: u64 = 5;

/// Targets that can drop what comes from some hosts, as a partition does.
#[derive(Clone)]
struct Targets {
    net: u8,
    is_cut: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<Arc<TcpListener>>>>,
    /// Attempts that came on a connection which another host had used for a request before.
    reused: Arc<Mutex<Vec<String>>>,
    /// The addresses from which streams were requested.
    streams: Arc<Mutex<Vec<String>>>,
}

impl Targets {
    async fn start(net: u8, control: Vec<SocketAddr>) -> Targets {
        let connections = Arc::default();
        let (is_cut, reused, streams) = (Arc::default(), Arc::default(), Arc::default());
        let targets = Targets { net, is_cut, connections, reused, streams };
        for number in 1..=TARGETS {
            let addr = format!("{}:8080", ip(net, 100 + number));
            let listener = Arc::new(TcpListener::bind(&addr).await.expect("the address is free"));
            targets.connections.lock().expect("not poisoned").push(listener.clone());
            let record = target_record(number, "app", addr);
            tokio::spawn(send_heartbeats(record, control.clone(), Vec::new));
            let serving = targets.clone();
            tokio::spawn(async move {
                loop {
                    let Ok((stream, from)) = listener.accept().await else { continue };
                    tokio::spawn(serving.clone().serve(stream, from));
                }
            });
        }
        targets
    }

    /// Drops from now on what comes from the hosts of [`CUT`], or no longer.
    fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        for listener in self.connections.lock().expect("not poisoned").iter() {
            match is_cut {
                true => cut::cut(listener, self.net, &CUT),
                false => cut::reconnect(listener),
            }
        }
    }

    /// Answers with the address from which a request came. A connection that was open before the cut
    /// falls silent.
    async fn serve(self, mut stream: TcpStream, from: SocketAddr) {
        let is_behind = CUT.iter().any(|it| ip(self.net, *it) == from.ip().to_string());
        let mut bytes = Vec::new();
        let mut requests = 0;
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            let host = request.attempt.split('-').next().unwrap_or_default();
            let is_own = host.parse().is_ok_and(|host| ip(self.net, host) == from.ip().to_string());
            if requests > 0 && !is_own {
                self.reused.lock().expect("not poisoned").push(request.attempt.clone());
            }
            requests += 1;
            while is_behind && self.is_cut.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(50)).await;
            }
            if request.path.starts_with("/flow/") {
                self.streams.lock().expect("not poisoned").push(from.ip().to_string());
                return send_stream(stream, &request).await;
            }
            let body = from.ip().to_string();
            let more = format!("Content-Length: {}\r\n", body.len());
            let answer = signed_head("200 OK", &request.attempt, &more) + &body;
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Sends a stream without a length: its first two events, after which it waits until the other side closes the
/// connection, or those after the last one that the caller has.
async fn send_stream(mut stream: TcpStream, request: &ReceivedRequest) {
    let head = signed_head("200 OK", &request.attempt, "Connection: close\r\n");
    let last = if request.last_event == 0 { 2 } else { EVENTS };
    let _ = stream.write_all((head + &events(request.last_event + 1..=last)).as_bytes()).await;
    if last < EVENTS {
        let _ = stream.read(&mut [0]).await;
    }
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

/// Sends one request of each kind in turn to a host. Returns the addresses from which targets got
/// those that were served.
async fn first_tries(cluster: &Cluster, host: u8) -> Vec<String> {
    let mut served = Vec::new();
    for number in 0..TRIES {
        let kind = if number % 2 == 0 { "read" } else { "once" };
        let attempt = format!("{host}-{number}");
        let headers = [("attempt-id", attempt.as_str()), ("deadline-ms", "2000")];
        let path = format!("/{kind}/{number}");
        let answer = call(cluster.addr(host, ENTRY), Method::GET, &path, &headers, "").await;
        if let Ok(answer) = answer
            && answer.status.is_success()
        {
            served.extend(answer.body);
        }
    }
    served
}

async fn until_served_directly(cluster: &Cluster, net: u8) {
    for host in 1..=HOSTS {
        until(async || first_tries(cluster, host).await.iter().all(|it| *it == ip(net, host)))
            .await;
    }
}

/// Starts hosts and targets, and cuts some hosts off from the targets.
async fn start(net: u8, document: &str) -> (Cluster, Targets) {
    let cluster = Cluster::start(net, HOSTS);
    cluster.configure(1, document).await;
    let control: Vec<_> = (1..=3).map(|host| cluster.addr(host, CONTROL)).collect();
    let targets = Targets::start(net, control).await;
    for host in 1..=HOSTS {
        cluster.wait_ready(host).await;
    }
    until_served_directly(&cluster, net).await;
    targets.cut(true);
    (cluster, targets)
}

/// Guards against a stream that ends as complete before its last event, because the host through which it
/// comes ended: its target gave no length, and the kernel closes the connection between the hosts in the
/// ordinary way. Load pattern: one stream, whose way is killed once two of its events have arrived.
#[tokio::test]
async fn a_stream_goes_on_if_the_host_that_passes_it_on_is_killed() {
    let document = document(3).replace(r#""service":"odd""#, r#""service":"app""#);
    let (mut cluster, targets) = start(34, &document).await;
    let entry = cluster.addr(CUT[0], ENTRY);
    let own = ip(34, CUT[0]);
    // Connections from before the cut would take one of the two sends.
    until(async || first_tries(&cluster, CUT[0]).await.iter().any(|it| *it != own)).await;
    sleep(POOLED).await;
    let calling = tokio::spawn(async move {
        loop {
            let headers = [("attempt-id", "s"), ("deadline-ms", "9000")];
            let answer = call(entry, Method::POST, "/flow/x", &headers, "{}").await;
            if let Ok(answer) = answer
                && answer.status.is_success()
            {
                return answer.body;
            }
        }
    });
    let way = async || {
        let mut way = None;
        until(async || {
            let streams = targets.streams.lock().expect("not poisoned");
            way = streams.iter().find(|it| **it != own).cloned();
            way.is_some()
        })
        .await;
        way.expect("it was found")
    };
    let way = way().await;
    // Its first events arrive meanwhile.
    sleep(Duration::from_millis(300)).await;
    let host = (1..=HOSTS).find(|host| ip(34, *host) == way).expect("a host");
    cluster.kill(host);
    let body = calling.await.expect("the call ends");
    assert_eq!(body.as_deref(), Some(events(1..=EVENTS).as_str()));
}

/// Guards against hosts that fail their callers because they reach no target themselves, while other
/// hosts reach all of them.
#[tokio::test]
async fn hosts_that_reach_no_target_serve_through_others() {
    let net = 17;
    let (cluster, targets) = start(net, &document(3)).await;
    let callers = CUT.map(|host| first_tries(&cluster, host));
    for tries in callers {
        tries.await;
    }
    sleep(CONTACT).await;
    let mut served = Vec::new();
    for host in 1..=HOSTS {
        served.push(first_tries(&cluster, host).await.len());
    }
    let (others, cut) = served.split_at(3);
    let (others, cut): (usize, usize) = (others.iter().sum(), cut.iter().sum());
    assert_eq!(others, 3 * TRIES, "hosts that reach the targets");
    assert!(cut * 3 * 3 >= others * 2 * 2, "of {} each: {served:?}", TRIES);
    let reused = targets.reused.lock().expect("not poisoned").clone();
    assert!(reused.is_empty(), "kept connections of other hosts, on which orders come: {reused:?}");
    targets.cut(false);
    until_served_directly(&cluster, net).await;
}

//! Requests that crash the targets that run them, as stand-in targets, callers and several hosts
//! see them.

mod common;

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{
    CONTROL, Cluster, ENTRY, ReceivedRequest, call, document, ip, read_request, send_heartbeats,
    signed_head, target_record, until,
};
use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
    time::sleep,
};

/// How long a crashed target is away.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Targets that a request may crash before it is known as the cause.
const CRASHES: usize = 3;
/// Sends that may follow.
const MORE_SENDS: usize = 3;

/// A target whose process ends when it runs a request for a path that ends in `crash`. It starts
/// again at the same address under a new name.
#[derive(Clone, Default)]
struct FragileTarget {
    crashes: Arc<AtomicUsize>,
    ended: Arc<Notify>,
}

impl FragileTarget {
    fn start(&self, net: u8, number: u8, service: &'static str, control: Vec<SocketAddr>) {
        let target = self.clone();
        tokio::spawn(async move {
            let addr = format!("{}:8080", ip(net, 100 + number));
            for starts in 0.. {
                let listener = TcpListener::bind(&addr).await.expect("the address is free");
                let mut record = target_record(number, service, addr.clone());
                record.id = format!("i-{number}-{starts}");
                record.started_at += starts;
                let beats = tokio::spawn(send_heartbeats(record, control.clone(), Vec::new));
                let mut connections = Vec::new();
                loop {
                    tokio::select! {
                        accepted = listener.accept() => {
                            let Ok((stream, _)) = accepted else { continue };
                            connections.push(tokio::spawn(target.clone().serve(stream)));
                        }
                        () = target.ended.notified() => break,
                    }
                }
                beats.abort();
                drop(listener);
                for connection in connections {
                    connection.abort();
                }
                sleep(RESTART_DELAY).await;
            }
        });
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            let ReceivedRequest { path, attempt, .. } = &request;
            if path.ends_with("crash") {
                self.crashes.fetch_add(1, Ordering::SeqCst);
                self.ended.notify_one();
                std::future::pending::<()>().await;
            }
            let answer = signed_head("200 OK", attempt, "Content-Length: 4\r\n") + "done";
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Sends a request from one of a caller's addresses. Returns the status, or none without an answer.
async fn call_from(source: IpAddr, entry: SocketAddr, path: &str, attempt: &str) -> Option<u16> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(SocketAddr::new(source, 0)).ok()?;
    let mut stream = socket.connect(entry).await.ok()?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// Guards against a count of crashes for each address of a caller: the same request came from
/// several addresses at several hosts, and each address could crash targets anew.
#[tokio::test]
async fn a_crashing_request_from_several_addresses_is_stopped() {
    let net = 13;
    let cluster = Cluster::start(net, 4);
    cluster.configure(1, &document(3)).await;
    let control: Vec<_> = (1..=4).map(|host| cluster.addr(host, CONTROL)).collect();
    let targets: Vec<FragileTarget> = (1..=3).map(|_| FragileTarget::default()).collect();
    for (number, target) in targets.iter().enumerate() {
        target.start(net, number as u8 + 1, "app", control.clone());
    }
    for host in 1..=4 {
        cluster.wait_ready(host).await;
    }
    for round in 0..10u8 {
        for host in 1..=4 {
            until(async || {
                let sound = [("attempt-id", "sound"), ("deadline-ms", "3000")];
                let entry = cluster.addr(host, ENTRY);
                let answer = call(entry, Method::GET, "/read/sound", &sound, "").await;
                answer.is_ok_and(|it| it.status.is_success())
            })
            .await;
        }
        let source = ip(net, 200 + round).parse().expect("an address");
        let entry = cluster.addr(1 + round % 4, ENTRY);
        call_from(source, entry, "/read/crash", &format!("r{round}")).await;
        // The hosts exchange what they saw.
        sleep(RESTART_DELAY * 2).await;
    }
    let crashes: usize = targets.iter().map(|it| it.crashes.load(Ordering::SeqCst)).sum();
    assert!(crashes >= CRASHES, "only {crashes} crashes");
    assert!(crashes <= CRASHES + MORE_SENDS, "{crashes} crashes");
}

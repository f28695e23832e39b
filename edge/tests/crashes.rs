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
use platform::stand_in;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
    time::sleep,
};

/// Time from the head of an answer to the crash.
const HEAD_TIME: Duration = Duration::from_millis(20);
/// How long a crashed target is away.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Targets that a request may crash before it is known as the cause.
const REQUEST_CRASHES: usize = 3;
/// Targets that a part of prompts may crash before it is known as the cause.
const PART_CRASHES: usize = 5;
/// Sends that may follow.
const MORE_SENDS: usize = 3;

/// How long a target takes for a request for a path that ends in `slow`.
const SLOW_TIME: Duration = Duration::from_millis(300);
/// Sound requests under way beside each one that crashes its target.
const BYSTANDERS: u8 = 6;

/// The prompt part with which a target crashes when it begins its answer.
const DEADLY_PART: &str = "dead1:100";

/// A target whose process ends when it runs a request for a path that ends in `crash` before a query,
/// or begins to answer a prompt with [`DEADLY_PART`]. It starts again at the same address under a new name.
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
            let ReceivedRequest { path, attempt, prompt, .. } = &request;
            let is_deadly = prompt.split(',').any(|it| it == DEADLY_PART);
            if is_deadly {
                let head = signed_head("200 OK", attempt, "Content-Type: text/event-stream\r\n");
                let _ = stream.write_all(head.as_bytes()).await;
                sleep(HEAD_TIME).await;
            }
            if is_deadly || path.split('?').next().is_some_and(|it| it.ends_with("crash")) {
                self.crashes.fetch_add(1, Ordering::SeqCst);
                self.ended.notify_one();
                std::future::pending::<()>().await;
            }
            if path.ends_with("slow") {
                sleep(SLOW_TIME).await;
            }
            let answer = if path.starts_with("/flow/") {
                signed_head("200 OK", attempt, "Content-Length: 16\r\n") + "id: 1\ndata: ab\n\n"
            } else {
                signed_head("200 OK", attempt, "Content-Length: 4\r\n") + "done"
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Sends a request from one of a caller's addresses. Returns the status, or none without an answer.
async fn call_from(
    source: IpAddr,
    entry: SocketAddr,
    path: &str,
    attempt: &str,
    prompt: &str,
) -> Option<u16> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(SocketAddr::new(source, 0)).ok()?;
    let mut stream = socket.connect(entry).await.ok()?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\n{}: {attempt}\r\n{}: {prompt}\r\n\
         Connection: close\r\n\r\n",
        stand_in::ATTEMPT,
        stand_in::PROMPT,
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer.split(' ').nth(1)?.parse().ok()
}

/// Starts four hosts and three targets of a service.
async fn start(net: u8, service: &'static str) -> (Cluster, Vec<FragileTarget>) {
    let cluster = Cluster::start(net, 4);
    cluster.configure(1, &document(3)).await;
    let control: Vec<_> = (1..=4).map(|host| cluster.addr(host, CONTROL)).collect();
    let targets: Vec<FragileTarget> = (1..=3).map(|_| FragileTarget::default()).collect();
    for (number, target) in targets.iter().enumerate() {
        target.start(net, number as u8 + 1, service, control.clone());
    }
    for host in 1..=4 {
        cluster.wait_ready(host).await;
    }
    (cluster, targets)
}

/// Waits until each host serves a sound request.
async fn until_served(cluster: &Cluster, path: &str, prompt: &str) {
    for host in 1..=4 {
        until(async || {
            let headers =
                [("attempt-id", "sound"), ("deadline-ms", "3000"), ("prompt-prefix", prompt)];
            let answer = call(cluster.addr(host, ENTRY), Method::GET, path, &headers, "").await;
            answer.is_ok_and(|it| it.status.is_success() && it.body.is_some())
        })
        .await;
    }
}

fn count_crashes(targets: &[FragileTarget]) -> usize {
    targets.iter().map(|it| it.crashes.load(Ordering::SeqCst)).sum()
}

/// Guards against a count of crashes for each address of a caller: the same request came from
/// several addresses at several hosts, and each address could crash targets anew.
#[tokio::test]
async fn a_crashing_request_from_several_addresses_is_stopped() {
    let (cluster, targets) = start(13, "app").await;
    for round in 0..10u8 {
        until_served(&cluster, "/read/sound", "").await;
        let source = ip(13, 200 + round).parse().expect("an address");
        let entry = cluster.addr(1 + round % 4, ENTRY);
        call_from(source, entry, "/read/crash", &format!("r{round}"), "").await;
        // The hosts exchange what they saw.
        sleep(RESTART_DELAY * 2).await;
    }
    let crashes = count_crashes(&targets);
    assert!(crashes >= 1, "no target has crashed");
    assert!(crashes <= REQUEST_CRASHES + MORE_SENDS, "{crashes} crashes");
}

/// Guards against requests that have nothing but one part of their prompts in common and crash one
/// target after the other, and against sound requests with the same other parts that are refused.
#[tokio::test]
async fn a_prompt_part_that_crashes_targets_is_stopped() {
    let (cluster, targets) = start(14, "odd").await;
    for round in 0..10u8 {
        until_served(&cluster, "/flow/sound", "c0:50,5e:20,77:9").await;
        let source = ip(14, 200 + round).parse().expect("an address");
        let entry = cluster.addr(1 + round % 4, ENTRY);
        let prompt = format!("c0:50,{DEADLY_PART},5e:20,{round:x}aa:9");
        call_from(source, entry, &format!("/flow/{round}"), &format!("r{round}"), &prompt).await;
        sleep(RESTART_DELAY * 2).await;
    }
    until_served(&cluster, "/flow/sound", "c0:50,5e:20,77:9").await;
    let crashes = count_crashes(&targets);
    assert!(crashes >= 2, "only {crashes} crashes");
    assert!(crashes <= PART_CRASHES + MORE_SENDS, "{crashes} crashes");
}

/// Guards against a request that ends a second target because it is sent on at once: it was the only
/// one that was lost with the first, so it is the likely cause. No two of these requests are alike.
#[tokio::test]
async fn a_request_lost_alone_ends_one_target() {
    let (cluster, targets) = start(15, "app").await;
    for round in 0..6u8 {
        until_served(&cluster, "/read/sound", "").await;
        let source = ip(15, 200 + round).parse().expect("an address");
        let path = format!("/read/{round}/crash");
        for attempt in 0..2 {
            let entry = cluster.addr(1 + (round + attempt) % 4, ENTRY);
            call_from(source, entry, &path, &format!("r{round}-{attempt}"), "").await;
        }
        sleep(RESTART_DELAY * 2).await;
    }
    let crashes = count_crashes(&targets);
    assert_eq!(crashes, 6, "each of six requests came twice");
}

/// Guards against requests on several routes that name the same thing and each end targets: they count
/// together.
#[tokio::test]
async fn what_crashing_requests_name_is_stopped_on_all_routes() {
    let (cluster, targets) = start(16, "app").await;
    for round in 0..12u8 {
        until_served(&cluster, "/read/sound", "").await;
        let source = ip(16, 200 + round).parse().expect("an address");
        let entry = cluster.addr(1 + round % 4, ENTRY);
        let query = round / 2;
        let route = if round % 2 == 0 { "read" } else { "once" };
        let path = format!("/{route}/crash?page={query}");
        call_from(source, entry, &path, &format!("r{round}"), "").await;
        sleep(RESTART_DELAY * 2).await;
    }
    let crashes = count_crashes(&targets);
    assert!(crashes >= 2, "only {crashes} crashes");
    assert!(crashes <= REQUEST_CRASHES + MORE_SENDS, "{crashes} crashes");
}

/// Guards against requests of one route, no two alike, that each end a second target: none is lost
/// alone, so none is known as the cause.
#[tokio::test]
async fn crashing_requests_of_a_route_are_not_sent_on() {
    let (cluster, targets) = start(22, "app").await;
    let rounds = 10u8;
    for round in 0..rounds {
        until_served(&cluster, "/read/sound", "").await;
        let source: IpAddr = ip(22, 200 + round).parse().expect("an address");
        let mut bystanders = Vec::new();
        for number in 0..BYSTANDERS {
            let entry = cluster.addr(1 + number % 4, ENTRY);
            let (path, id) = (format!("/read/{number}/slow"), format!("b{round}-{number}"));
            bystanders
                .push(tokio::spawn(async move { call_from(source, entry, &path, &id, "").await }));
        }
        sleep(HEAD_TIME).await;
        let path = format!("/read/{round}/crash");
        for attempt in 0..2 {
            let entry = cluster.addr(1 + (round + attempt) % 4, ENTRY);
            call_from(source, entry, &path, &format!("r{round}-{attempt}"), "").await;
        }
        for bystander in bystanders {
            let _ = bystander.await;
        }
        sleep(RESTART_DELAY * 2).await;
    }
    let crashes = count_crashes(&targets);
    let known_after = PART_CRASHES.div_ceil(2);
    assert!(crashes <= usize::from(rounds) + known_after + MORE_SENDS, "{crashes} crashes");
}

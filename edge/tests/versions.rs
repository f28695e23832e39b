//! Streams while targets of two software versions serve, as stand-in targets, callers and several
//! hosts see them. What two versions write does not fit together.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{
    CONTROL, Cluster, ENTRY, document, ip, read_request, send_heartbeats, signed_head,
    target_record, until,
};
use platform::stand_in;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinHandle,
    time::{sleep, timeout},
};

const HOSTS: u8 = 4;
/// Events of a whole stream.
const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// How long a caller reads an answer at most.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Paths of a route to one service, and of one that is split between two.
const FLOW: &str = "/flow/x";
const SPLIT: &str = "/split/x";
/// Heartbeats of a new target reach all hosts in this time.
const HEARTBEATS: Duration = Duration::from_millis(1500);

/// A target whose events name its software version.
#[derive(Clone)]
struct VersionedTarget {
    software: &'static str,
    /// Whether it refuses connections, as a crashed process does.
    is_down: Arc<AtomicBool>,
    broken: Arc<Notify>,
}

impl VersionedTarget {
    async fn start(
        net: u8,
        number: u8,
        service: &str,
        software: &'static str,
        control: Vec<SocketAddr>,
    ) -> VersionedTarget {
        let target = VersionedTarget { software, is_down: Arc::default(), broken: Arc::default() };
        let addr = format!("{}:8080", ip(net, 100 + number));
        let mut record = target_record(number, service, addr.clone());
        record.software = software.to_owned();
        let serving = target.clone();
        let listener = TcpListener::bind(&addr).await.expect("the address is free");
        tokio::spawn(send_heartbeats(record, control, Vec::new));
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                if !serving.is_down.load(Ordering::SeqCst) {
                    tokio::spawn(serving.clone().serve(stream));
                }
            }
        });
        target
    }

    /// Breaks off all answers; with `down`, later connections are closed at once.
    fn break_off(&self, down: bool) {
        self.is_down.store(down, Ordering::SeqCst);
        self.broken.notify_waiters();
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            let head = signed_head("200 OK", &request.attempt, more);
            if stream.write_all(head.as_bytes()).await.is_err() {
                return;
            }
            for event in request.last_event + 1..=EVENTS {
                let text = format!("id: {event}\ndata: {}\n\n", self.software);
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if stream.write_all(chunk.as_bytes()).await.is_err() {
                    return;
                }
                tokio::select! {
                    () = sleep(EVENT_INTERVAL) => {}
                    () = self.broken.notified() => return,
                }
            }
            if stream.write_all(b"0\r\n\r\n").await.is_err() {
                return;
            }
        }
    }
}

/// What a caller has of a stream: the version of each event, and whether it ended as complete.
#[derive(Debug, Clone, Default)]
struct Received {
    versions: Vec<String>,
    is_complete: bool,
    first_attempt: String,
}

impl Received {
    fn is_joined(&self) -> bool {
        self.versions.iter().any(|it| *it != self.versions[0])
    }
}

/// Requests a stream, or takes one up again, and adds what arrives.
async fn stream(entry: SocketAddr, path: &str, attempt: &str, so_far: &mut Received) {
    if so_far.versions.is_empty() {
        so_far.first_attempt = attempt.to_owned();
    }
    let mut request = format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\n{}: {attempt}\r\ndeadline-ms: 8000\r\n",
        stand_in::ATTEMPT,
    );
    if !so_far.versions.is_empty() {
        let (last, first) = (so_far.versions.len(), &so_far.first_attempt);
        request += &format!(
            "{}: {last}\r\n{}: {first}\r\n",
            stand_in::LAST_EVENT,
            stand_in::FIRST_ATTEMPT
        );
    }
    request += "Connection: close\r\n\r\n";
    let Ok(mut connection) = TcpStream::connect(entry).await else { return };
    let mut answer = Vec::new();
    let reading = async {
        connection.write_all(request.as_bytes()).await?;
        connection.read_to_end(&mut answer).await
    };
    let _ = timeout(READ_TIMEOUT, reading).await;
    let text = String::from_utf8_lossy(&answer);
    if !text.starts_with("HTTP/1.1 200") {
        return;
    }
    for line in text.lines() {
        if let Some(version) = line.strip_prefix("data: ") {
            so_far.versions.push(version.to_owned());
        }
    }
    so_far.is_complete = text.ends_with("0\r\n\r\n");
}

struct System {
    net: u8,
    cluster: Cluster,
    control: Vec<SocketAddr>,
}

impl System {
    async fn start(net: u8) -> System {
        let cluster = Cluster::start(net, HOSTS);
        cluster.configure(1, &document(3)).await;
        let control = (1..=HOSTS).map(|host| cluster.addr(host, CONTROL)).collect();
        let system = System { net, cluster, control };
        system.wait_ready().await;
        system
    }

    async fn wait_ready(&self) {
        for host in 1..=HOSTS {
            self.cluster.wait_ready(host).await;
        }
    }

    async fn target(&self, number: u8, software: &'static str) -> VersionedTarget {
        self.target_of("odd", number, software).await
    }

    async fn target_of(
        &self,
        service: &str,
        number: u8,
        software: &'static str,
    ) -> VersionedTarget {
        VersionedTarget::start(self.net, number, service, software, self.control.clone()).await
    }

    fn entry(&self, host: u8) -> SocketAddr {
        self.cluster.addr(host, ENTRY)
    }

    /// Waits until each host serves whole streams.
    async fn until_served(&self) {
        for host in 1..=HOSTS {
            until(async || {
                let mut received = Received::default();
                stream(self.entry(host), FLOW, "sound", &mut received).await;
                received.is_complete
            })
            .await;
        }
    }

    /// Begins `count` streams at all hosts. The callers end with them.
    fn begin(&self, path: &'static str, count: usize) -> Vec<JoinHandle<Received>> {
        let mut callers = Vec::new();
        for number in 0..count {
            let entry = self.entry(1 + number as u8 % HOSTS);
            callers.push(tokio::spawn(async move {
                let mut received = Received::default();
                stream(entry, path, &format!("first-{number}"), &mut received).await;
                received
            }));
        }
        callers
    }

    /// Begins streams, kills hosts while they run and starts them again. Returns what the callers
    /// have then.
    async fn begin_and_kill(&mut self, path: &'static str, hosts: &[u8]) -> Vec<Received> {
        let callers = self.begin(path, 16);
        sleep(EVENT_INTERVAL * 5).await;
        for &host in hosts {
            self.cluster.kill(host);
        }
        let streams = collect(callers).await;
        for &host in hosts {
            self.cluster.start_host(host);
        }
        self.wait_ready().await;
        streams
    }

    /// Takes up each broken stream again, up to four times, each time at another host. Returns how
    /// many were broken and how many of them were completed.
    async fn take_up(&self, path: &str, streams: &mut [Received]) -> (usize, usize) {
        let (mut broken, mut completed) = (0, 0);
        for (number, received) in streams.iter_mut().enumerate() {
            if received.is_complete || received.versions.is_empty() {
                continue;
            }
            broken += 1;
            for attempt in 0..4 {
                let host = 1 + (number as u8 + attempt) % HOSTS;
                stream(self.entry(host), path, &format!("again-{number}-{attempt}"), received)
                    .await;
                if received.is_complete {
                    completed += 1;
                    break;
                }
                sleep(Duration::from_millis(300)).await;
            }
        }
        (broken, completed)
    }
}

async fn collect(callers: Vec<JoinHandle<Received>>) -> Vec<Received> {
    let mut all = Vec::new();
    for caller in callers {
        all.push(caller.await.expect("the caller ends"));
    }
    all
}

fn assert_none_joined(streams: &[Received]) {
    for received in streams {
        assert!(!received.is_joined(), "joined: {received:?}");
    }
}

/// Guards against an answer that goes on at a target of another software version after its target
/// has broken off.
#[tokio::test]
async fn an_answer_goes_on_at_its_software_version_only() {
    let system = System::start(16).await;
    let old = system.target(1, "v1").await;
    system.until_served().await;
    let _new = system.target(2, "v2").await;
    sleep(HEARTBEATS).await;
    let callers = system.begin(FLOW, 12);
    sleep(EVENT_INTERVAL * 5).await;
    old.break_off(true);
    let streams = collect(callers).await;
    assert_none_joined(&streams);
    let old_versions = streams.iter().filter(|it| it.versions.first().is_some_and(|v| v == "v1"));
    assert!(old_versions.count() > 0, "no stream began at v1");
}

/// Guards against a stream that its caller takes up at another host and that goes on at another
/// software version than the one that began it, and against refusing those that could go on.
#[tokio::test]
async fn streams_taken_up_elsewhere_keep_their_software_version() {
    let mut system = System::start(17).await;
    let _old = system.target(1, "v1").await;
    system.until_served().await;
    let _new = system.target(2, "v2").await;
    sleep(HEARTBEATS).await;
    let mut streams = system.begin_and_kill(FLOW, &[2, 4]).await;
    let (broken, completed) = system.take_up(FLOW, &mut streams).await;
    assert_none_joined(&streams);
    assert!(broken >= 6, "only {broken} streams broke off");
    assert!(completed * 2 >= broken, "{completed} of {broken} went on");
}

/// Guards against what is lost when all hosts are killed at once: a host that does not know which
/// software version began a stream must not take the only version that it sees.
#[tokio::test]
async fn streams_keep_their_software_version_when_all_hosts_are_killed() {
    let mut system = System::start(18).await;
    let old = system.target(1, "v1").await;
    system.until_served().await;
    let _new = system.target(2, "v2").await;
    sleep(HEARTBEATS).await;
    let mut streams = system.begin_and_kill(FLOW, &[1, 2, 3, 4]).await;
    let mut gone = streams.clone();
    system.until_served().await;
    let (broken, completed) = system.take_up(FLOW, &mut streams).await;
    assert_none_joined(&streams);
    assert!(broken >= 10, "only {broken} streams broke off");
    assert!(completed * 2 >= broken, "{completed} of {broken} went on");

    // Now v1 is gone: its streams end, and are not joined to v2.
    old.break_off(true);
    system.take_up(FLOW, &mut gone).await;
    assert_none_joined(&gone);
}

/// Guards against a stream on a split route that is taken up at another service than the one that
/// began it.
#[tokio::test]
async fn streams_taken_up_keep_their_service() {
    let mut system = System::start(19).await;
    let _one = system.target_of("odd", 1, "odd v1").await;
    let _other = system.target_of("app", 2, "app v1").await;
    system.until_served().await;
    sleep(HEARTBEATS).await;
    let mut streams = system.begin_and_kill(SPLIT, &[2, 4]).await;
    let (broken, completed) = system.take_up(SPLIT, &mut streams).await;
    assert_none_joined(&streams);
    assert!(broken >= 6, "only {broken} streams broke off");
    assert!(completed * 2 >= broken, "{completed} of {broken} went on");
}

//! How answers end whose targets give them no length: with the target's connection, as they do when its
//! process dies. What callers get must not look complete unless it is.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{
    CONTROL, Cluster, ENTRY, ReceivedRequest, call, document, ip, read_request, send_heartbeats,
    signed_head, target_record, until,
};
use fleet::Report;
use http::Method;
use platform::stand_in;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc::{UnboundedSender, unbounded_channel},
    task::JoinSet,
    time::sleep,
};

/// Number of events of a stream.
const EVENTS: u64 = 5;
/// Number of events of a stream that the kernel's buffers don't hold whole, and their size in bytes.
const MANY_EVENTS: u64 = 400;
const EVENT_BYTES: usize = 16 * 1024;
/// Size of a slow caller's receive buffer.
const SMALL_BUFFER: u32 = 4096;
/// Time between a target's last bytes and its end, in which they arrive.
const ARRIVAL: Duration = Duration::from_millis(50);

/// What becomes of a target's process once it has sent the beginning of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Then {
    /// It goes on. The answer was complete.
    GoesOn,
    /// It ends: its address refuses connections.
    Dies,
    /// It ends, and another process starts at once at its address, with this name and start.
    IsFollowed { is_other: bool, started_at: u64 },
    /// It accepts connections and answers nothing more, as one that stands still does.
    FallsSilent,
    /// It answers all that comes with a status that no answer has.
    GivesNoStatus,
}

/// What the targets have in common.
struct Script {
    then: Then,
    /// Whether the first answer was given, to which `then` applies.
    has_begun: AtomicBool,
    /// Number of answers that were begun.
    answers: AtomicUsize,
}

/// A stand-in target in whose task all its connections live, so that its end closes them as the end of a
/// process does.
#[derive(Clone)]
struct Target {
    script: Arc<Script>,
    id: String,
    addr: String,
    started_at: u64,
    is_silent: Arc<AtomicBool>,
}

impl Target {
    async fn run(mut self) {
        let listener = TcpListener::bind(&self.addr).await.expect("the address is free");
        loop {
            let (end, mut ended) = unbounded_channel();
            let mut connections = JoinSet::new();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.expect("it listens").0,
                    _ = ended.recv() => break,
                };
                connections.spawn(self.clone().serve(stream, end.clone()));
            }
            let Then::IsFollowed { is_other, started_at } = self.script.then else {
                drop(listener);
                connections.shutdown().await;
                return;
            };
            // The address stays open, so that the next process is there before anybody can ask.
            connections.shutdown().await;
            if is_other {
                self.id += "-other";
            }
            self.started_at = started_at;
        }
    }

    async fn serve(self, mut stream: TcpStream, end: UnboundedSender<()>) {
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            if self.is_silent.load(Ordering::SeqCst) {
                if self.script.then == Then::GivesNoStatus {
                    let _ = stream.write_all(b"HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n").await;
                }
                continue;
            }
            let is_own = request.target == self.id;
            let is_report = request.path == platform::target::REPORT_PATH;
            if !is_own || is_report {
                let report = Report { started_at: Some(self.started_at), ..Report::default() };
                let (status, body) = if is_own {
                    ("200 OK", stand_in::report(&report))
                } else {
                    ("421 Other", String::new())
                };
                let answer =
                    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                let _ = stream.write_all(answer.as_bytes()).await;
                continue;
            }
            let is_first = !self.script.has_begun.swap(true, Ordering::SeqCst);
            let is_cut = is_first && self.script.then != Then::GoesOn;
            self.script.answers.fetch_add(1, Ordering::SeqCst);
            let answer = answer(&request, is_cut);
            let _ = stream.write_all(answer.as_bytes()).await;
            sleep(ARRIVAL).await;
            if is_cut && [Then::FallsSilent, Then::GivesNoStatus].contains(&self.script.then) {
                self.is_silent.store(true, Ordering::SeqCst);
            } else if is_cut {
                let _ = end.send(());
                // It ends with the process.
                std::future::pending::<()>().await;
            }
            return;
        }
    }
}

/// Returns an answer without a length, or its beginning.
fn answer(request: &ReceivedRequest, is_cut: bool) -> String {
    let head = signed_head("200 OK", &request.attempt, "Connection: close\r\n");
    if request.path.starts_with("/odd/") {
        return head + if is_cut { "the first half" } else { WHOLE };
    }
    let last = if is_cut { 2 } else { EVENTS };
    head + &events(request.last_event + 1..=last)
}

const WHOLE: &str = "the first half, the second half";

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

/// Starts hosts and two targets of the services `odd` and `flow`. Returns the hosts and what the targets
/// have in common.
async fn start(net: u8, document: &str, then: Then) -> (Cluster, Arc<Script>) {
    let cluster = Cluster::start(net, 3);
    cluster.configure(1, document).await;
    let control: Vec<SocketAddr> = (1..=3).map(|host| cluster.addr(host, CONTROL)).collect();
    let script = Script { then, has_begun: AtomicBool::new(false), answers: AtomicUsize::new(0) };
    let script = Arc::new(script);
    for number in 1..=2 {
        let addr = format!("{}:8080", ip(net, 100 + number));
        let record = target_record(number, "odd", addr.clone());
        let target = Target {
            script: script.clone(),
            id: record.id.clone(),
            addr,
            started_at: record.started_at,
            is_silent: Arc::default(),
        };
        tokio::spawn(target.run());
        tokio::spawn(send_heartbeats(record, control.clone(), Vec::new));
    }
    for host in 1..=3 {
        cluster.wait_ready(host).await;
    }
    (cluster, script)
}

/// Sends a request until a target has begun to answer it. Returns the body; none if it was cut off.
async fn first_answer(cluster: &Cluster, script: &Script, path: &str) -> Option<String> {
    let mut body = None;
    until(async || {
        let headers = [("attempt-id", "s"), ("deadline-ms", "6000")];
        let answer = call(cluster.addr(1, ENTRY), Method::POST, path, &headers, "{}").await;
        body = answer.ok().filter(|it| it.status.is_success()).and_then(|it| it.body);
        script.answers.load(Ordering::SeqCst) > 0
    })
    .await;
    body
}

const ENDS: [Then; 4] = [
    Then::Dies,
    Then::IsFollowed { is_other: true, started_at: 1 },
    Then::IsFollowed { is_other: false, started_at: 2 },
    Then::FallsSilent,
];

/// Guards against a stream that ends as complete before its last event, because its target gives no
/// length and its process ended between two events: the kernel closes the connection in the ordinary way.
/// Load pattern: one stream; the process dies, is followed by another one at once, or falls silent.
#[tokio::test]
async fn a_stream_without_length_goes_on_if_its_target_has_ended() {
    for (number, then) in (20..).zip(ENDS) {
        let (cluster, script) = start(number, &document(3), then).await;
        let body = first_answer(&cluster, &script, "/flow/x").await;
        assert_eq!(body.as_deref(), Some(events(1..=EVENTS).as_str()), "{then:?}");
        assert_eq!(script.answers.load(Ordering::SeqCst), 2, "{then:?}: answers");
    }
}

/// Guards against a question whose answer has no valid status, and is taken for a sign that the target goes on. Load
/// pattern: one stream, whose target is in trouble after two events.
#[tokio::test]
async fn a_target_without_a_valid_status_confirms_no_end() {
    let (cluster, script) = start(72, &document(3), Then::GivesNoStatus).await;
    let body = first_answer(&cluster, &script, "/flow/x").await;
    assert_eq!(body.as_deref(), Some(events(1..=EVENTS).as_str()));
    assert_eq!(script.answers.load(Ordering::SeqCst), 2, "answers");
}

/// Guards against the same where a stream may not be resumed: it is cut off, in a way that the caller sees.
#[tokio::test]
async fn a_stream_without_length_is_cut_off_if_its_target_has_ended() {
    let document = document(3).replace(r#""resumable":true"#, r#""resumable":false"#);
    for (number, then) in (24..).zip(ENDS) {
        let (cluster, script) = start(number, &document, then).await;
        let body = first_answer(&cluster, &script, "/flow/x").await;
        assert_eq!(body, None, "{then:?}");
    }
}

/// Guards against answers without a length that are taken for cut off although their target goes on.
#[tokio::test]
async fn answers_without_length_are_complete_if_their_target_goes_on() {
    let document = document(3).replace(r#""resumable":true"#, r#""resumable":false"#);
    let (cluster, script) = start(28, &document, Then::GoesOn).await;
    let stream = first_answer(&cluster, &script, "/flow/x").await;
    assert_eq!(stream.as_deref(), Some(events(1..=EVENTS).as_str()));
    let whole = first_answer(&cluster, &script, "/odd/x").await;
    assert_eq!(whole.as_deref(), Some(WHOLE));
}

/// Guards against an answer that is no stream and is forwarded as a success although its target's process
/// ended in the midst of it. A safe request is sent to another target, unless it was lost alone with a target
/// that died: then it may be the cause, and is held back.
#[tokio::test]
async fn an_answer_without_length_is_not_whole_if_its_target_has_ended() {
    for (number, then) in (29..).zip(ENDS) {
        let (cluster, script) = start(number, &document(3), then).await;
        let body = first_answer(&cluster, &script, "/odd/x").await;
        let may_be_held_back = then == Then::Dies && body.is_none();
        assert!(may_be_held_back || body.as_deref() == Some(WHOLE), "{then:?}: {body:?}");
    }
}

/// A target of the service `odd` that sends a long stream in chunks as fast as it is taken.
async fn serve_long_streams(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut bytes = Vec::new();
            while let Some(request) = read_request(&mut stream, &mut bytes).await {
                let more = "Transfer-Encoding: chunked\r\n";
                let head = signed_head("200 OK", &request.attempt, more);
                let _ = stream.write_all(head.as_bytes()).await;
                for number in 1..=MANY_EVENTS {
                    let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    if stream.write_all(chunk.as_bytes()).await.is_err() {
                        return;
                    }
                }
                let _ = stream.write_all(b"0\r\n\r\n").await;
            }
        });
    }
}

/// Guards against a stream that ends as complete before its last event, because its caller reads slowly: the
/// deadline passes while the queue to it is full, and nothing said that the stream was cut off. Load
/// pattern: a caller that begins to read 6.5 MB a second after the deadline.
#[tokio::test]
async fn a_slow_caller_sees_that_its_stream_was_cut_off() {
    let net = 33;
    let cluster = Cluster::start(net, 3);
    cluster.configure(1, &document(3)).await;
    let control: Vec<SocketAddr> = (1..=3).map(|host| cluster.addr(host, CONTROL)).collect();
    let addr = format!("{}:8080", ip(net, 101));
    let listener = TcpListener::bind(&addr).await.expect("the address is free");
    tokio::spawn(serve_long_streams(listener));
    tokio::spawn(send_heartbeats(target_record(1, "odd", addr), control, Vec::new));
    cluster.wait_ready(1).await;
    let mut text = String::new();
    until(async || {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(SMALL_BUFFER).expect("it can be set");
        let mut stream = socket.connect(cluster.addr(1, ENTRY)).await.expect("it listens");
        let request = format!(
            "POST /flow/x HTTP/1.1\r\nHost: a.example\r\n{}: s\r\nDeadline-Ms: 2000\r\n\
             Connection: close\r\nContent-Length: 2\r\n\r\n{{}}",
            stand_in::ATTEMPT
        );
        stream.write_all(request.as_bytes()).await.expect("it reads");
        sleep(Duration::from_secs(3)).await;
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        text = String::from_utf8_lossy(&bytes).into_owned();
        text.starts_with("HTTP/1.1 200")
    })
    .await;
    let count = text.matches("\nid: ").count() as u64;
    assert!((1..MANY_EVENTS).contains(&count), "{count} events");
    assert!(!text.ends_with("0\r\n\r\n"), "{count} of {MANY_EVENTS} events, and a proper end");
}

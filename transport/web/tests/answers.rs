//! The HTTP responses that callers receive for each course of an answer.

use std::{
    fmt::Write as _,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
};

use api::{AuditPage, PublishBody, Receipt, ReportReply, StatusBody, WhereBody};
use bytes::Bytes;
use futures::future::{BoxFuture, ready};
use node::CallerRequest;
use sessions::checkout::octet;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout,
};
use web::{
    Server,
    interface::{Answer, AnswerStep, Entry, Operator, Progress},
};
use wire::{ErrorKind, Fault, TargetReport};

const LIMIT: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Counts {
    taken: AtomicUsize,
    gone: AtomicUsize,
}

struct CountingProgress(Arc<Counts>);

impl Progress for CountingProgress {
    fn consumed(&self, bytes: usize) {
        self.0.taken.fetch_add(bytes, SeqCst);
    }

    fn disconnected(&self) {
        self.0.gone.fetch_add(1, SeqCst);
    }
}

/// A host that answers each request with prepared steps.
struct Stub {
    answers: Mutex<Vec<UnboundedReceiver<AnswerStep>>>,
    counts: Arc<Counts>,
}

impl Entry for Stub {
    fn submit(&self, _: CallerRequest) -> BoxFuture<'_, Answer> {
        let steps = self
            .answers
            .lock()
            .expect("the lock is not poisoned")
            .pop()
            .expect("an answer is prepared");
        Box::pin(ready(Answer { steps, progress: Box::new(CountingProgress(self.counts.clone())) }))
    }

    fn report(&self, _: TargetReport) -> BoxFuture<'_, ReportReply> {
        Box::pin(ready(ReportReply { report_to: None, fence: 0 }))
    }

    fn entry_addresses(&self, _: Option<&str>) -> WhereBody {
        WhereBody { entries: Vec::new(), lifetime: 1 }
    }
}

impl Operator for Stub {
    fn authorise(&self, _: &[u8], _: Option<&str>) -> Result<(), Fault> {
        Ok(())
    }

    fn publish(&self, _: PublishBody) -> BoxFuture<'_, Result<Receipt, Fault>> {
        Box::pin(ready(Err(Fault::new(ErrorKind::VersionTaken, "notes 3"))))
    }

    fn status(&self) -> StatusBody {
        unreachable!("not asked")
    }

    fn audit(&self, from: u64, limit: usize) -> AuditPage {
        AuditPage { entries: Vec::new(), last: from, head: limit.to_string() }
    }

    fn metrics(&self) -> String {
        "up 1\n".to_owned()
    }
}

struct Fixture {
    stub: Arc<Stub>,
    _server: Server,
    entry: SocketAddr,
    operator: SocketAddr,
}

fn start(net: u8) -> Fixture {
    let addr = |port| SocketAddr::from(([127, octet(), 110 + net, 1], port));
    let stub = Arc::new(Stub { answers: Mutex::default(), counts: Arc::default() });
    let (entry, operator) = (addr(8000), addr(9000));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = Server::start((entry, stub.clone()), (operator, stub.clone()), &log);
    Fixture { stub, _server: server.expect("the addresses are free"), entry, operator }
}

impl Fixture {
    fn prepare(&self) -> UnboundedSender<AnswerStep> {
        let (sender, receiver) = unbounded_channel();
        self.stub.answers.lock().expect("the lock is not poisoned").push(receiver);
        sender
    }
}

async fn connect(addr: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("the server listens");
    stream.write_all(request.as_bytes()).await.expect("the server reads");
    stream
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Sends a raw request and returns the raw response without the lines that differ from run to run.
async fn exchange(addr: SocketAddr, request: &str) -> String {
    let mut stream = connect(addr, request).await;
    let mut bytes = Vec::new();
    // If the connection breaks, the bytes before that remain.
    let _ = timeout(LIMIT, stream.read_to_end(&mut bytes)).await.expect("the server answers");
    let text = String::from_utf8_lossy(&bytes).replace('\r', "");
    let mut kept = String::new();
    for line in text.lines() {
        if line.starts_with("date:") || line.contains("request-id") || line.contains("request_id") {
            continue;
        }
        let _ = writeln!(kept, "{line}");
    }
    kept
}

const COMPLETION: &str = "{\"model\":\"m@a@v\",\"prompt\":\"p\"}";
const STREAMED: &str = "{\"model\":\"m@a@v\",\"prompt\":\"p\",\"stream\":true}";

fn head() -> AnswerStep {
    let better_entry = Some("127.0.0.9:8000".to_owned());
    AnswerStep::Head { status: 200, target: "e1".to_owned(), ran: "m@a@v".to_owned(), better_entry }
}

fn piece(text: &str, last: bool) -> AnswerStep {
    AnswerStep::Piece { bytes: Bytes::copy_from_slice(text.as_bytes()), last }
}

fn failed() -> AnswerStep {
    AnswerStep::Failed(Fault::new(ErrorKind::TargetLost, "e1"))
}

#[tokio::test]
async fn answers_are_whole_or_end_in_a_typed_error() {
    let fixture = start(1);
    let events = ["data: 1\n\n", "data: [DONE]\n\n"];
    let cases = [
        ("whole", COMPLETION, vec![head(), piece("{\"a\":", false), piece("1}", true)]),
        ("empty last piece", COMPLETION, vec![head(), piece("{}", false), piece("", true)]),
        ("failed before", COMPLETION, vec![failed()]),
        ("failed after the head", COMPLETION, vec![head(), piece("{\"a\":", false), failed()]),
        ("abandoned by the host", COMPLETION, vec![head(), piece("{", false)]),
        ("stream", STREAMED, vec![head(), piece(events[0], false), piece(events[1], true)]),
        ("stream failed before", STREAMED, vec![failed()]),
        ("stream failed after", STREAMED, vec![head(), piece(events[0], false), failed()]),
        ("stream abandoned by the host", STREAMED, vec![head(), piece(events[0], false)]),
    ];
    let mut report = String::new();
    for (name, body, steps) in cases {
        let sender = fixture.prepare();
        for step in steps {
            sender.send(step).expect("the receiver exists");
        }
        drop(sender);
        let reply = exchange(fixture.entry, &post("/v1/completions", body)).await;
        let _ = writeln!(report, "--- {name}\n{reply}");
    }
    insta::assert_snapshot!(report);
}

#[tokio::test]
async fn a_late_failure_of_a_long_answer_breaks_the_connection() {
    let fixture = start(2);
    let sender = fixture.prepare();
    sender.send(head()).expect("the receiver exists");
    let long = "x".repeat(1024 * 1024);
    sender.send(piece(&long, false)).expect("the receiver exists");
    sender.send(failed()).expect("the receiver exists");
    let reply = exchange(fixture.entry, &post("/v1/completions", COMPLETION)).await;
    assert!(reply.contains("transfer-encoding: chunked"));
    // The last chunk, which would complete the answer, is missing.
    assert!(!reply.ends_with("\n0\n\n"));
}

#[tokio::test]
async fn a_disconnect_of_the_caller_is_reported() {
    let fixture = start(3);
    let cases = [("before the head", vec![]), ("in mid-stream", vec![head(), piece("x", false)])];
    for (i, (name, steps)) in cases.into_iter().enumerate() {
        let sender = fixture.prepare();
        let sent = steps.len();
        for step in steps {
            sender.send(step).expect("the receiver exists");
        }
        let mut stream = connect(fixture.entry, &post("/v1/completions", STREAMED)).await;
        if sent > 0 {
            let mut some = [0; 16];
            stream.read_exact(&mut some).await.expect("the answer starts");
        }
        // The request has arrived once the stub has taken its answer.
        until(|| fixture.stub.answers.lock().expect("the lock is not poisoned").is_empty()).await;
        drop(stream);
        until(|| fixture.stub.counts.gone.load(SeqCst) == i + 1).await;
        assert!(sender.is_closed(), "{name}");
    }
}

async fn until(mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waiting).await.expect("the condition comes true");
}

#[tokio::test]
async fn a_caller_that_does_not_read_is_sent_a_bounded_part() {
    let fixture = start(4);
    let sender = fixture.prepare();
    sender.send(head()).expect("the receiver exists");
    const PIECES: usize = 400;
    let block = "x".repeat(64 * 1024);
    for _ in 0..PIECES {
        sender.send(piece(&block, false)).expect("the receiver exists");
    }
    let mut stream = connect(fixture.entry, &post("/v1/completions", STREAMED)).await;
    let mut some = [0; 16];
    stream.read_exact(&mut some).await.expect("the answer starts");
    // The caller reads nothing more, so the bytes taken must stop short of the bytes sent.
    let taken = &fixture.stub.counts.taken;
    let mut before = usize::MAX;
    while before != taken.load(SeqCst) {
        before = taken.load(SeqCst);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(before < PIECES * block.len(), "{before} bytes were taken");
}

#[tokio::test]
async fn requests_that_cannot_be_read_get_typed_errors() {
    let fixture = start(5);
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    let short = post("/v1/completions", COMPLETION).replace("p\"}", "p\"");
    let odd = post("/v1/completions", COMPLETION).replace("host: h", "host: h\r\nx-caller: \u{e9}");
    let cases = [
        ("metrics", fixture.operator, get("/metrics")),
        ("audit", fixture.operator, get("/v1/audit?from=3&limit=5000")),
        ("bad query", fixture.operator, get("/v1/audit?from=x")),
        (
            "refused publish",
            fixture.operator,
            post("/v1/publish", "{\"files\":[],\"author\":\"a\",\"revision\":\"r\"}"),
        ),
        ("malformed publish", fixture.operator, post("/v1/publish", "{\"files\":1}")),
        ("unknown path", fixture.entry, get("/v2")),
        ("wrong method", fixture.entry, get("/v1/completions")),
        ("where", fixture.entry, get("/v1/where")),
        ("model of another type", fixture.entry, post("/v1/completions", "{\"model\":1}")),
        ("caller in UTF-8", fixture.entry, odd),
    ];
    let mut report = String::new();
    for (name, addr, request) in cases {
        let reply = exchange(addr, &request).await;
        let _ = writeln!(report, "--- {name}\n{reply}");
    }
    // A body shorter than announced must not reach the host.
    let mut stream = connect(fixture.entry, &short).await;
    stream.shutdown().await.expect("the connection is open");
    let mut bytes = Vec::new();
    let _ = timeout(LIMIT, stream.read_to_end(&mut bytes)).await.expect("the server ends it");
    insta::assert_snapshot!(report);
}

#[tokio::test]
async fn memory_for_bodies_is_bounded() {
    let fixture = start(6);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        content-length: {}\r\n\r\n",
        api::MAX_BODY_BYTES
    );
    // Fills the memory for bodies: each request announces a body of the maximum length.
    let mut open = Vec::new();
    for _ in 0..64 {
        let mut stream = connect(fixture.entry, &head).await;
        stream.write_all(b"{").await.expect("the server reads");
        open.push(stream);
    }
    let refused = async {
        loop {
            let sender = fixture.prepare();
            sender.send(failed()).expect("the receiver exists");
            let reply = exchange(fixture.entry, &post("/v1/completions", COMPLETION)).await;
            if reply.contains("queue_full") {
                return reply;
            }
        }
    };
    let reply = timeout(LIMIT, refused).await.expect("the memory is full");
    assert!(reply.starts_with("HTTP/1.1 429") && reply.contains("x-was-run: no"), "{reply}");
    drop(open);
    let accepted = async {
        loop {
            let sender = fixture.prepare();
            sender.send(failed()).expect("the receiver exists");
            let reply = exchange(fixture.entry, &post("/v1/completions", COMPLETION)).await;
            if reply.contains("target_lost") {
                return;
            }
        }
    };
    timeout(LIMIT, accepted).await.expect("the memory is free again");
}

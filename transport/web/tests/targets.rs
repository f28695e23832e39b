//! The events of calls and orders for each way in which a target can behave.

use std::{
    fmt::Write as _,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::{BoxFuture, ready};
use node::{Call, Input, Order};
use sessions::checkout::octet;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout,
};
use web::{TargetClient, interface::Inbox};
use wire::Action;

const LIMIT: Duration = Duration::from_secs(60);
const REQUEST: u64 = 77;

struct Events(UnboundedSender<Input>);

impl Inbox for Events {
    fn deliver(&self, input: Input) -> BoxFuture<'_, ()> {
        let _ = self.0.send(input);
        Box::pin(ready(()))
    }
}

fn start() -> (TargetClient, UnboundedReceiver<Input>) {
    let (sender, receiver) = unbounded_channel();
    let inbox = Arc::new(Events(sender));
    (TargetClient::new(Instant::now(), inbox), receiver)
}

async fn listen(number: u8) -> (TcpListener, String) {
    let addr = SocketAddr::from(([127, octet(), 120, number], 9100));
    let listener = TcpListener::bind(addr).await.expect("the address is free");
    (listener, addr.to_string())
}

fn call(addr: &str, stream: bool) -> Call {
    Call {
        request: REQUEST,
        target: "e1".to_owned(),
        addr: addr.to_owned(),
        path: "/v1/completions".to_owned(),
        expected_name: "m@a@v".to_owned(),
        incarnation: 5,
        fence: 9,
        lease_until: LIMIT,
        priority: 1,
        stream,
        idempotent: false,
        resume_from: None,
        body: Bytes::from_static(b"{}"),
        credit: 1000,
    }
}

fn order(addr: &str) -> Order {
    Order {
        order: 3,
        target: 1,
        addr: addr.to_owned(),
        fence: 9,
        lease_until: LIMIT,
        incarnation: 5,
        action: Action::Load,
        adapter: "m@a@v".to_owned(),
    }
}

async fn next(events: &mut UnboundedReceiver<Input>) -> Input {
    timeout(LIMIT, events.recv()).await.expect("an event arrives").expect("the client runs")
}

/// Reads one request including its body.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buf = [0; 4096];
    while !text.contains("\r\n\r\n") || (text.starts_with("POST") && !text.ends_with('}')) {
        let len = stream.read(&mut buf).await.expect("the client writes");
        assert!(len > 0, "the request is whole");
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
    text
}

/// Accepts one connection and answers its request with prepared bytes; returns the request.
async fn answer(listener: &TcpListener, bytes: &str) -> String {
    let (mut stream, _) = listener.accept().await.expect("the client connects");
    let request = read_request(&mut stream).await;
    stream.write_all(bytes.as_bytes()).await.expect("the client reads");
    request
}

fn is_end(input: &Input) -> bool {
    match input {
        Input::CallHead { .. } => false,
        Input::CallPiece { last, .. } => *last,
        _ => true,
    }
}

fn describe(input: &Input) -> String {
    match input {
        Input::CallHead { status, ran, incarnation, .. } => {
            format!("head {status} {ran} {incarnation}")
        }
        Input::CallPiece { offset, bytes, last, .. } => {
            let end = if *last { " last" } else { "" };
            format!("piece {offset} {:?}{end}", String::from_utf8_lossy(bytes))
        }
        Input::CallFailed { failure, .. } => format!("{failure:?}"),
        Input::OrderEnded { order, result } => format!("order {order}: {result:?}"),
        other => format!("{other:?}"),
    }
}

async fn describe_all(events: &mut UnboundedReceiver<Input>) -> String {
    let mut lines = String::new();
    loop {
        let input = next(events).await;
        let _ = writeln!(lines, "  {}", describe(&input));
        if is_end(&input) {
            return lines;
        }
    }
}

const ECHO: &str = "x-request: 77\r\nx-ran: m@a@v\r\nx-incarnation: 5\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

fn response(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

#[tokio::test]
async fn answers_of_targets() {
    let (targets, mut events) = start();
    let (listener, addr) = listen(1).await;
    let event = "9\r\ndata: 1\n\n\r\n";
    let done = "e\r\ndata: [DONE]\n\n\r\n";
    let stream = format!("HTTP/1.1 200 x\r\n{ECHO}{CHUNKED}{event}");
    let echo = |from: &str, to: &str| response(200, &ECHO.replace(from, to), "{}");
    let refusal = |word: &str| response(409, "", &format!("{{\"refused\":\"{word}\"}}"));
    let cases = [
        ("whole", false, response(200, ECHO, "{\"a\":1}")),
        ("empty", false, response(200, ECHO, "")),
        ("failed by the target", false, response(500, ECHO, "{}")),
        ("whole stream", true, format!("{stream}{done}0\r\n\r\n")),
        ("end in two pieces", true, format!("{stream}4\r\ndata\r\na\r\n: [DONE]\n\n\r\n0\r\n\r\n")),
        ("stream without its end", true, format!("{stream}0\r\n\r\n")),
        ("stream broken", true, stream.clone()),
        ("stream broken after its end", true, format!("{stream}{done}")),
        ("stream goes on after an end", true, format!("{stream}{done}{event}0\r\n\r\n")),
        ("stream refused with an error", true, response(500, ECHO, "{}")),
        ("body broken", false, response(200, ECHO, "{\"a\":1}").replace("length: 7", "length: 9")),
        ("no length", false, format!("HTTP/1.1 200 x\r\n{ECHO}\r\n{{}}")),
        ("other request", false, echo("77", "78")),
        ("other adapter", false, echo("m@a@v", "m@b@v")),
        ("other incarnation", false, echo("5", "6")),
        ("no echo", false, response(200, "", "{}")),
        ("refused", false, refusal("not_loaded")),
        ("refused stream", true, refusal("leaving")),
        ("conflict of the service itself", false, response(409, ECHO, "{\"taken\":true}")),
        ("conflict without length", false, format!("HTTP/1.1 409 x\r\n{ECHO}\r\n{{\"taken\"")),
        ("unknown refusal", false, refusal("none")),
        ("closed", false, String::new()),
        ("no HTTP", false, "hello\r\n\r\n".to_owned()),
    ];
    let mut report = String::new();
    for (name, stream, bytes) in cases {
        targets.call(call(&addr, stream));
        answer(&listener, &bytes).await;
        let _ = write!(report, "{name}\n{}", describe_all(&mut events).await);
    }
    insta::assert_snapshot!(report);
    assert_eq!(targets.running(), 0);
}

#[tokio::test]
async fn requests_to_targets() {
    let (targets, mut events) = start();
    let (listener, addr) = listen(2).await;
    let mut report = String::new();
    targets.call(call(&addr, false));
    let _ = writeln!(report, "{}\n", answer(&listener, &response(200, ECHO, "{}")).await);
    describe_all(&mut events).await;
    targets.call(Call { resume_from: Some(12), ..call(&addr, false) });
    let _ = writeln!(report, "{}", answer(&listener, &response(200, ECHO, "{}")).await);
    report.push_str(&describe_all(&mut events).await);
    targets.order(order(&addr));
    let reply = response(200, "", "{\"loaded\":[\"m@a@v\"]}");
    let _ = writeln!(report, "\n{}", answer(&listener, &reply).await);
    report.push_str(&describe_all(&mut events).await);
    targets.cancel(REQUEST, &addr);
    let _ = writeln!(report, "\n{}", answer(&listener, &response(204, "", "")).await);
    insta::assert_snapshot!(report.replace('\r', "").replace(&addr, "ADDR"));
    // A call that arrives after its cancellation is not sent.
    targets.call(call(&addr, false));
    assert_eq!(targets.running(), 0);
}

#[tokio::test]
async fn a_resumed_stream_ends_like_a_whole_one() {
    let (targets, mut events) = start();
    let (listener, addr) = listen(3).await;
    let mut report = String::new();
    for rest in ["data: 2\n\ndata: [DONE]\n\n", "NE]\n\n", "data: 2\n\n", ""] {
        targets.call(Call { resume_from: Some(9), ..call(&addr, true) });
        let head = format!("HTTP/1.1 200 x\r\n{ECHO}{CHUNKED}");
        let mut body = String::new();
        if !rest.is_empty() {
            body = format!("{:x}\r\n{rest}\r\n", rest.len());
        }
        answer(&listener, &format!("{head}{body}0\r\n\r\n")).await;
        let _ = write!(report, "{rest:?}\n{}", describe_all(&mut events).await);
    }
    insta::assert_snapshot!(report);
}

#[tokio::test]
async fn no_more_is_delivered_than_the_credit_allows() {
    let (targets, mut events) = start();
    let (listener, addr) = listen(4).await;
    targets.call(Call { credit: 10, ..call(&addr, false) });
    answer(&listener, &response(200, ECHO, &"x".repeat(25))).await;
    next(&mut events).await;
    for (offset, len, last) in [(0, 10, false), (10, 7, false), (17, 8, true)] {
        let piece = next(&mut events).await;
        let bytes = Bytes::from("x".repeat(len));
        assert_eq!(piece, Input::CallPiece { request: REQUEST, offset, bytes, last });
        // Without credit nothing more is delivered, even after other tasks have run many times.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(events.try_recv().is_err());
        targets.add_credit(REQUEST, if offset == 0 { 7 } else { 100 });
    }
}

#[tokio::test]
async fn calls_and_orders_that_must_not_be_sent_end_as_not_sent() {
    let (targets, mut events) = start();
    let (listener, addr) = listen(5).await;
    let mut report = String::new();
    let closed = &format!("127.{}.120.99:9100", octet());
    let past = Duration::ZERO;
    targets.call(call(closed, false));
    report.push_str(&describe_all(&mut events).await);
    targets.order(order(closed));
    report.push_str(&describe_all(&mut events).await);
    targets.call(Call { path: "no path".to_owned(), ..call(&addr, false) });
    report.push_str(&describe_all(&mut events).await);
    for input in [true, false] {
        if input {
            targets.call(Call { lease_until: past, ..call(&addr, false) });
        } else {
            targets.order(Order { lease_until: past, ..order(&addr) });
        }
        report.push_str(&describe_all(&mut events).await);
        let (mut stream, _) = listener.accept().await.expect("the connection was made");
        let mut bytes = Vec::new();
        let reading = stream.read_to_end(&mut bytes);
        timeout(LIMIT, reading).await.expect("it is closed").expect("it is closed cleanly");
        assert_eq!(bytes, b"");
    }
    insta::assert_snapshot!(report);
}

#[tokio::test]
async fn the_result_of_an_order_follows_the_reply_of_the_target() {
    let (targets, mut events) = start();
    let (listener, addr) = listen(6).await;
    let cases = [
        ("refused", response(409, "", "{\"refused\":\"old_fence\"}")),
        ("unknown refusal", response(409, "", "{\"refused\":\"none\"}")),
        ("failed", response(500, "", "{}")),
        ("not understood", response(200, "", "[]")),
        ("closed", String::new()),
    ];
    let mut report = String::new();
    for (name, bytes) in cases {
        targets.order(order(&addr));
        answer(&listener, &bytes).await;
        let _ = write!(report, "{name}\n{}", describe_all(&mut events).await);
    }
    insta::assert_snapshot!(report);
}

/// Accepts a connection, answers one request and leaves the connection open.
async fn answer_open(listener: &TcpListener, bytes: &str) -> TcpStream {
    let accepting = timeout(LIMIT, listener.accept());
    let (mut stream, _) =
        accepting.await.expect("a connection is new").expect("the client connects");
    read_request(&mut stream).await;
    stream.write_all(bytes.as_bytes()).await.expect("the client reads");
    stream
}

/// Waits until no call is in progress, then yields so that their connections become reusable.
async fn wait_until_idle(targets: &TargetClient) {
    while targets.running() > 0 {
        tokio::task::yield_now().await;
    }
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn only_idempotent_calls_reuse_a_connection() {
    let (targets, mut events) = start();
    let (listener, addr) = listen(7).await;
    let reply = response(200, ECHO, "{}");
    let shared = Call { idempotent: true, ..call(&addr, false) };
    targets.call(shared.clone());
    let mut first = answer_open(&listener, &reply).await;
    describe_all(&mut events).await;
    wait_until_idle(&targets).await;
    targets.call(shared.clone());
    read_request(&mut first).await;
    // The target closes the connection without an answer: the call is lost and not sent again.
    drop(first);
    assert_eq!(describe(&next(&mut events).await), "Lost");
    targets.call(shared);
    let _idle = answer_open(&listener, &reply).await;
    describe_all(&mut events).await;
    wait_until_idle(&targets).await;
    targets.call(call(&addr, false));
    let _second = answer_open(&listener, &reply).await;
    describe_all(&mut events).await;
}

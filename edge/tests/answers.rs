//! Targets whose answers are truncated, malformed, duplicated or meant for another request, and
//! callers that disconnect: what callers and targets then see.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{
    CONTROL, Cluster, ENTRY, ReceivedRequest, call, document, ip, read_request, send_heartbeats,
    signed_head as head, target_record, until,
};
use http::Method;
use platform::stand_in;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// Bytes that a stand-in sends at a time when it sends without end.
const FILLER_BYTES: usize = 16 * 1024;
/// Size of an answer that the kernel's buffers don't hold whole.
const BIG_BYTES: usize = 12 * 1024 * 1024;
/// Size of a slow caller's receive buffer.
const SMALL_BUFFER: u32 = 4096;
/// Memory of the smallest machine that the program is made for, in kilobytes.
const MACHINE_KB: u64 = 160 * 1024;

/// What the stand-in does on one connection after an answer.
#[derive(PartialEq)]
enum AfterAnswer {
    Keep,
    Close,
    /// Send nothing more until the other side closes the connection.
    Wait,
    /// Send the same bytes again and again until the other side closes the connection.
    Repeat(&'static str),
}

/// A target whose answers are raw bytes, chosen by the path of the request.
#[derive(Clone, Default)]
struct ScriptedTarget {
    /// Connections that the other side closed before the end of an answer.
    abandoned: Arc<AtomicUsize>,
}

impl ScriptedTarget {
    async fn start(&self, net: u8, number: u8, control: Vec<SocketAddr>) {
        let addr = format!("{}:8080", ip(net, 100 + number));
        let listener = TcpListener::bind(&addr).await.expect("the address is free");
        tokio::spawn(send_heartbeats(target_record(number, "odd", addr), control, Vec::new));
        let target = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(target.clone().serve(stream));
            }
        });
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            let (answer, then) = script(&request);
            if stream.write_all(answer.as_bytes()).await.is_err() || then == AfterAnswer::Close {
                return;
            }
            if let AfterAnswer::Repeat(part) = &then {
                let filler = part.repeat(FILLER_BYTES / part.len());
                while stream.write_all(filler.as_bytes()).await.is_ok() {}
                self.abandoned.fetch_add(1, Ordering::SeqCst);
                return;
            }
            if then == AfterAnswer::Wait {
                let mut rest = [0; 64];
                while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {}
                self.abandoned.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
    }
}

/// Removes the signature, the line that ends in `.1`, from an answer.
fn unsigned(answer: &str) -> String {
    let lines = answer.split("\r\n").filter(|line| !line.ends_with(".1"));
    lines.collect::<Vec<_>>().join("\r\n")
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

fn script(request: &ReceivedRequest) -> (String, AfterAnswer) {
    let whole = |body: &str| {
        let length = format!("Content-Length: {}\r\n", body.len());
        head("200 OK", &request.attempt, &length) + body
    };
    if request.path == platform::target::REPORT_PATH {
        let report = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        return (report.to_owned(), AfterAnswer::Keep);
    }
    let own = format!("answer to {}", request.attempt);
    match request.path.rsplit('/').next().unwrap_or_default() {
        "whole" => (whole(&own), AfterAnswer::Keep),
        "cut" => {
            let answer = head("200 OK", &request.attempt, "Content-Length: 500\r\n") + "half";
            (answer, AfterAnswer::Close)
        }
        "unsigned" => (unsigned(&whole(&own)), AfterAnswer::Keep),
        "foreign" => {
            (head("200 OK", "another", "Content-Length: 7\r\n") + "foreign", AfterAnswer::Keep)
        }
        "garbage" => ("NOTHING LIKE AN ANSWER\r\n\r\n".to_owned(), AfterAnswer::Close),
        "extra" => {
            let more = head("200 OK", "another", "Content-Length: 7\r\n") + "foreign";
            (whole(&own) + &more, AfterAnswer::Keep)
        }
        "big" => (whole(&"b".repeat(BIG_BYTES)), AfterAnswer::Keep),
        "foreign-refusal" => {
            let more = "Not-Executed: 1\r\nContent-Length: 0\r\n";
            (head("503 Full", "another", more), AfterAnswer::Keep)
        }
        "encoded" => (
            whole(&own).replace("\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n"),
            AfterAnswer::Keep,
        ),
        "unframed" => {
            (head("200 OK", &request.attempt, "Connection: close\r\n") + &own, AfterAnswer::Close)
        }
        // Neither a length nor a word of the close that ends it.
        "bare" => (head("200 OK", &request.attempt, "") + &own, AfterAnswer::Close),
        "failed" => (
            head("500 Failed", &request.attempt, "Content-Length: 4\r\n") + "oops",
            AfterAnswer::Keep,
        ),
        "nothing" => (String::new(), AfterAnswer::Close),
        "events" => (stream(request, events(request.last_event + 1..=5)), AfterAnswer::Close),
        "endless-headers" => ("HTTP/1.1 200 OK\r\n".to_owned(), AfterAnswer::Repeat("x: y\r\n")),
        "endless-header" => ("HTTP/1.1 200 OK\r\nx: ".to_owned(), AfterAnswer::Repeat("y")),
        "endless-body" => (head("200 OK", &request.attempt, ""), AfterAnswer::Repeat("y")),
        "endless-refusal" => {
            let answer = head("503 Full", &request.attempt, "Not-Executed: 1\r\n");
            (answer, AfterAnswer::Repeat("y"))
        }
        "endless-event" => (stream(request, "data: ".to_owned()), AfterAnswer::Repeat("y")),
        what if what.starts_with("status-") => {
            let status = what.trim_start_matches("status-");
            let answer = head(status, &request.attempt, "Content-Length: 4\r\n") + "oops";
            (answer, AfterAnswer::Keep)
        }
        "half" if request.last_event == 0 => {
            (stream(request, events(1..=2) + "id: 3\ndata: pie"), AfterAnswer::Close)
        }
        "half" => (stream(request, events(request.last_event + 1..=5)), AfterAnswer::Close),
        _ => (stream(request, events(1..=1)), AfterAnswer::Wait),
    }
}

fn stream(request: &ReceivedRequest, events: String) -> String {
    head("200 OK", &request.attempt, "Content-Type: text/event-stream\r\nConnection: close\r\n")
        + &events
}

async fn start_cluster(net: u8) -> (Cluster, ScriptedTarget) {
    let cluster = Cluster::start(net, 3);
    cluster.configure(1, &document(3)).await;
    let control: Vec<_> = (1..=3).map(|host| cluster.addr(host, CONTROL)).collect();
    let target = ScriptedTarget::default();
    target.start(net, 1, control.clone()).await;
    target.start(net, 2, control).await;
    for host in 1..=3 {
        cluster.wait_ready(host).await;
    }
    let entry = cluster.addr(1, ENTRY);
    for path in ["/odd/whole", "/flow/events"] {
        until(async || {
            let headers = [("attempt-id", "first")];
            let answer = call(entry, Method::POST, path, &headers, "{}").await;
            answer.is_ok_and(|it| it.status.is_success())
        })
        .await;
    }
    (cluster, target)
}

/// Guards against answers that are forwarded as a success although they are truncated, not signed,
/// or belong to another request.
#[tokio::test]
async fn only_complete_matching_answers_are_forwarded() {
    let (cluster, _target) = start_cluster(7).await;
    let entry = cluster.addr(1, ENTRY);
    let mut seen = String::new();
    for what in [
        "whole",
        "cut",
        "unsigned",
        "foreign",
        "foreign-refusal",
        "garbage",
        "extra",
        "whole",
        "encoded",
        "unframed",
        "bare",
        "failed",
        "nothing",
        "whole",
    ] {
        let attempt = format!("a-{what}");
        let headers = [("attempt-id", attempt.as_str()), ("deadline-ms", "3000")];
        let answer = call(entry, Method::POST, &format!("/odd/{what}"), &headers, "{}").await;
        let line = match answer {
            Ok(it) => {
                let signed = it.headers.contains_key("replica-signature");
                format!("{}, signed {signed}, body {:?}", it.status.as_u16(), it.body)
            }
            Err(_) => "connection closed".to_owned(),
        };
        seen += &format!("{what}: {line}\n");
        // A target that has just failed a request is avoided for a while.
        sleep(Duration::from_millis(600)).await;
    }
    insta::assert_snapshot!(seen);
}

/// Guards against a status that no HTTP answer has (RFC 9110, section 15: 100 to 599) and that a caller gets as an
/// answer. Load pattern: targets in trouble give such a status, on a plain route and on one of streams, with a
/// signature and the attempt's id.
#[tokio::test]
async fn answers_without_a_valid_status_are_no_answers() {
    let (cluster, _target) = start_cluster(71).await;
    let entry = cluster.addr(1, ENTRY);
    for status in ["000", "001", "099", "0", "600", "799", "999", "1000", "2e2", "-20"] {
        for route in ["odd", "flow"] {
            let path = format!("/{route}/status-{status}");
            let mut count = 0;
            // A target that has just failed a request is avoided for a while.
            until(async || {
                count += 1;
                let attempt = format!("{route}-{status}-{count}");
                let headers = [("attempt-id", attempt.as_str()), ("deadline-ms", "3000")];
                let answer = call(entry, Method::POST, &path, &headers, "{}").await;
                let answer = answer.expect("an answer");
                if answer.status == 503 {
                    return false;
                }
                assert_eq!(answer.status, 502, "{path}");
                assert!(!answer.headers.contains_key("replica-signature"), "{path}");
                true
            })
            .await;
        }
    }
}

/// A stream that is truncated within an event is resumed at another target, and the caller receives
/// each event once.
#[tokio::test]
async fn a_truncated_stream_is_resumed() {
    let (cluster, _target) = start_cluster(8).await;
    let entry = cluster.addr(2, ENTRY);
    let headers = [("attempt-id", "s"), ("deadline-ms", "9000")];
    let answer = call(entry, Method::POST, "/flow/half", &headers, "{}").await.expect("an answer");
    assert_eq!(answer.body.as_deref(), Some(events(1..=5).as_str()));
}

/// If a caller disconnects during a stream, the connection to its target is closed as well.
#[tokio::test]
async fn a_caller_that_disconnects_frees_its_target() {
    let (cluster, target) = start_cluster(9).await;
    let entry = cluster.addr(3, ENTRY);
    let mut stream = TcpStream::connect(entry).await.expect("it listens");
    let request = format!(
        "POST /flow/slow HTTP/1.1\r\nHost: a.example\r\n{}: s\r\nContent-Length: 2\r\n\r\n{{}}",
        stand_in::ATTEMPT
    );
    stream.write_all(request.as_bytes()).await.expect("it reads");
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains("piece 1") {
        let mut chunk = [0; 1024];
        let count = stream.read(&mut chunk).await.expect("it answers");
        bytes.extend_from_slice(&chunk[..count]);
    }
    drop(stream);
    until(async || target.abandoned.load(Ordering::SeqCst) == 1).await;
}

/// Guards against a request that is held after its deadline, because its body arrives a byte at a time.
/// It has not run, and the caller is told so. Load pattern: five bytes, one a second, of a request that has
/// two seconds.
#[tokio::test]
async fn a_body_is_awaited_until_the_deadline_only() {
    let (cluster, _target) = start_cluster(12).await;
    let stream = TcpStream::connect(cluster.addr(1, ENTRY)).await.expect("it listens");
    let (mut reader, mut writer) = stream.into_split();
    let head = format!(
        "POST /odd/whole HTTP/1.1\r\nHost: a.example\r\n{}: slow\r\nDeadline-Ms: 2000\r\n\
         Content-Length: 5\r\n\r\n",
        stand_in::ATTEMPT
    );
    let writing = async {
        writer.write_all(head.as_bytes()).await.expect("it reads");
        for _ in 0..5 {
            sleep(Duration::from_secs(1)).await;
            let _ = writer.write_all(b"x").await;
        }
    };
    let mut bytes = [0; 64];
    let ((), count) = tokio::join!(writing, reader.read(&mut bytes));
    let text = String::from_utf8_lossy(&bytes[..count.expect("it answers")]);
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

/// Guards against answers that are cut off by a planned stop, because their requests have ended while the
/// caller has not taken all bytes. Load pattern: a caller that begins to read 12 MB three and a half
/// seconds after SIGTERM, when no caller is accepted any more.
#[tokio::test]
async fn a_planned_stop_waits_until_answers_are_taken() {
    let (mut cluster, _target) = start_cluster(11).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("it can be set");
    let mut stream = socket.connect(cluster.addr(1, ENTRY)).await.expect("it listens");
    let request = format!(
        "POST /odd/big HTTP/1.1\r\nHost: a.example\r\n{}: b\r\nContent-Length: 2\r\n\r\n{{}}",
        stand_in::ATTEMPT
    );
    stream.write_all(request.as_bytes()).await.expect("it reads");
    stream.readable().await.expect("it answers");
    let reading = async {
        sleep(Duration::from_millis(3500)).await;
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        bytes
    };
    let (has_ended, bytes) = tokio::join!(cluster.terminate(1), reading);
    assert!(has_ended, "it exits by itself, with success");
    let text = String::from_utf8_lossy(&bytes);
    let body = text.split_once("\r\n\r\n").expect("a head").1;
    assert_eq!(body.len(), BIG_BYTES);
}

/// Guards against targets whose heads, bodies or events never end: requests that wait for ever, and
/// hosts that run out of memory.
#[tokio::test]
async fn endless_answers_are_cut_off() {
    let (cluster, target) = start_cluster(10).await;
    let entry = cluster.addr(1, ENTRY);
    let mut cut = 0;
    for path in [
        "/odd/endless-headers",
        "/odd/endless-header",
        "/odd/endless-body",
        "/odd/endless-refusal",
        "/flow/endless-event",
    ] {
        let mut calls = Vec::new();
        for number in 0..16 {
            calls.push(tokio::spawn(async move {
                let attempt = format!("e-{number}");
                let headers = [("attempt-id", attempt.as_str()), ("deadline-ms", "4000")];
                call(entry, Method::POST, path, &headers, "{}").await
            }));
        }
        for answer in calls {
            let answer = answer.await.expect("the call ends");
            let whole = answer.is_ok_and(|it| it.status.is_success() && it.body.is_some());
            assert!(!whole, "{path}: an answer without end counts as complete");
        }
        until(async || target.abandoned.load(Ordering::SeqCst) > cut).await;
        cut = target.abandoned.load(Ordering::SeqCst);
        let peak = cluster.peak_memory_kb(1);
        assert!(peak < MACHINE_KB, "{path}: {peak} KB");
    }
    until(async || {
        let answer = call(entry, Method::POST, "/odd/whole", &[("attempt-id", "w")], "{}").await;
        answer.is_ok_and(|it| it.status.is_success())
    })
    .await;
}

//! What callers get from a host that was told to end: each request that it has read gets a whole answer.

use std::{path::Path, time::Duration};

use sessions::cluster::{Cluster, MODEL, completion};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use wire::HostId;

/// The host that ends: no voter, so that it owns nothing that others wait for.
const LEAVING: HostId = 4;
/// From SIGTERM until a slow caller ends its request. The grace time is 30 s.
const LATE: Duration = Duration::from_millis(3700);
/// Limit of each answer.
const WAIT: Duration = Duration::from_secs(40);

fn bins() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_fake-engine"))
        .parent()
        .expect("the program has a parent directory")
}

/// Opens a caller's connection and sends the head of a completion request.
async fn open(addr: &str, length: usize) -> TcpStream {
    let stream = TcpStream::connect(addr).await.expect("the host listens");
    send_head(stream, addr, length).await
}

async fn send_head(mut stream: TcpStream, addr: &str, length: usize) -> TcpStream {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the host reads");
    stream
}

/// Reads what a caller gets until its connection ends.
async fn read(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = timeout(WAIT, stream.read_to_end(&mut bytes));
    let result = reading.await.expect("the connection ends in time");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    match result {
        Ok(_) => text,
        Err(e) => format!("{text} ({e})"),
    }
}

/// Returns whether an answer is whole and refuses the request because the host leaves.
fn is_refusal(answer: &str) -> bool {
    is_whole(answer, 503, "leaving")
}

/// Returns whether an answer is whole and has this status and text.
fn is_whole(answer: &str, status: u16, text: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return false };
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    let has_all = length.and_then(|it| it.parse().ok()) == Some(body.len());
    has_all && head.starts_with(&format!("http/1.1 {status}")) && body.contains(text)
}

/// Returns whether an answer is a stream that says by an event why it ends early.
fn is_ended_stream(answer: &str, code: &str) -> bool {
    let is_whole = answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n");
    let error = answer.split_once("event: error\n").map(|(_, rest)| rest);
    is_whole && error.is_some_and(|rest| rest.contains(code))
}

/// Guards against a host that ends beside a request whose body still comes: the caller gets a closed connection.
/// Load pattern: uploads that begin before SIGTERM and end 3.7 s after it, in a grace time of 30 s.
#[tokio::test]
async fn a_request_whose_upload_ends_late_in_a_stop_is_answered() {
    let mut cluster = Cluster::start(bins(), 51, 4).await;
    cluster.start_engine("e1", 0, &[]).await;
    cluster.wait_for_completion(LEAVING, "warm").await;
    let body = completion(MODEL, "late", 4, true);
    let (begin, rest) = body.split_at(body.len() / 2);
    let mut uploads = Vec::new();
    for _ in 0..8 {
        let mut stream = open(&cluster.entry_addr(LEAVING), body.len()).await;
        stream.write_all(begin.as_bytes()).await.expect("the host reads");
        uploads.push(stream);
    }
    cluster.signal(LEAVING, "TERM");
    sleep(LATE).await;
    let mut got = Vec::new();
    for mut stream in uploads {
        // A failure shows in the answer.
        let _ = stream.write_all(rest.as_bytes()).await;
        got.push(read(stream).await);
    }
    let status = cluster.wait_for_exit(LEAVING).await;
    let wrong: Vec<_> = got.iter().filter(|answer| !is_refusal(answer)).collect();
    assert!(wrong.is_empty(), "{} of 8 got no refusal: {wrong:?}", wrong.len());
    assert!(status.success(), "it ended with {status}");
}

/// Guards against answers that outlast the grace time: their callers get a closed connection, with no answer or
/// the midst of a stream. Load pattern: four streams and four whole answers of 10 s, in a grace time of 3 s.
#[tokio::test]
async fn callers_are_answered_when_the_grace_time_ends() {
    let mut cluster = Cluster::start(bins(), 52, 4).await;
    cluster.start_engine("e1", 0, &["--token-ms", "10"]).await;
    cluster.kill(LEAVING);
    cluster.set_drain(Duration::from_secs(3));
    cluster.start_host(LEAVING, &[]);
    cluster.wait_for_leader().await;
    cluster.wait_for_completion(LEAVING, "warm").await;
    let mut callers = Vec::new();
    for number in 0..8 {
        let body = completion(MODEL, "long", 1000, number < 4);
        let mut stream = open(&cluster.entry_addr(LEAVING), body.len()).await;
        stream.write_all(body.as_bytes()).await.expect("the host reads");
        callers.push(tokio::spawn(read(stream)));
    }
    sleep(Duration::from_secs(1)).await;
    cluster.signal(LEAVING, "TERM");
    let mut wrong = Vec::new();
    for (number, caller) in callers.into_iter().enumerate() {
        let answer = caller.await.expect("it reads");
        let is_told = match number < 4 {
            true => is_ended_stream(&answer, "timed_out"),
            false => is_whole(&answer, 504, "timed_out"),
        };
        if !is_told {
            wrong.push((number, answer.len(), answer.chars().take(200).collect::<String>()));
        }
    }
    let status = cluster.wait_for_exit(LEAVING).await;
    assert!(wrong.is_empty(), "{} of 8 were not told: {wrong:#?}", wrong.len());
    assert!(status.success(), "it ended with {status}");
}

/// Guards against callers whose connections the kernel accepted just before the host closes its listener: they
/// get no answer. Load pattern: the process stands still from some milliseconds after SIGTERM on, 40 callers
/// connect and send meanwhile; six stops, at other moments each.
#[tokio::test]
async fn callers_who_connect_while_the_process_stands_still_are_answered() {
    let mut cluster = Cluster::start(bins(), 53, 4).await;
    cluster.start_engine("e1", 0, &[]).await;
    let body = completion(MODEL, "late", 4, false);
    let mut unanswered = Vec::new();
    for delay in [0, 5, 10, 15, 25, 35] {
        cluster.wait_for_completion(LEAVING, "warm").await;
        cluster.signal(LEAVING, "TERM");
        sleep(Duration::from_millis(delay)).await;
        cluster.signal(LEAVING, "STOP");
        let addr = cluster.entry_addr(LEAVING);
        let mut callers = Vec::new();
        for _ in 0..40 {
            // Once the listener is closed, callers know at once that they have to go elsewhere.
            let Ok(stream) = TcpStream::connect(&addr).await else { break };
            let mut stream = send_head(stream, &addr, body.len()).await;
            stream.write_all(body.as_bytes()).await.expect("the host reads");
            callers.push(tokio::spawn(read(stream)));
        }
        sleep(Duration::from_millis(200)).await;
        cluster.signal(LEAVING, "CONT");
        let count = callers.len();
        let mut lost = 0;
        for caller in callers {
            let answer = caller.await.expect("it reads");
            lost += usize::from(!is_refusal(&answer) && !is_whole(&answer, 200, "choices"));
        }
        unanswered.push((delay, count, lost));
        cluster.wait_for_exit(LEAVING).await;
        cluster.start_host(LEAVING, &[]);
    }
    assert!(unanswered.iter().all(|it| it.2 == 0), "ms, callers, unanswered: {unanswered:?}");
}

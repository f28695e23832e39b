//! Which requests a host still takes that was told to end, and how it refuses the others.

mod common;

use std::time::{Duration, Instant};

use common::{
    CONTROL, ENTRY, ReceivedRequest, ip,
    paced::{PACE, Upload, events},
    read_request, send_heartbeats, signed_head,
    stopping::{ask, begin, finish_late, serve_many, start_cluster, start_hosts, until_served},
    target_record,
};
use platform::stand_in;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// A target of `odd` that fails `/flow/fail` at once, and breaks off `/flow/broken/N` three events before
/// its end unless it is taken up. Other paths end with the number of events to stream.
async fn start_scripted(net: u8, number: u8, control: Vec<std::net::SocketAddr>) {
    let addr = format!("{}:8080", ip(net, 100 + number));
    let listener = TcpListener::bind(&addr).await.expect("the address is free");
    let mut record = target_record(number, "odd", addr);
    record.slots = 400;
    tokio::spawn(send_heartbeats(record, control, Vec::new));
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(serve_scripted(stream));
        }
    });
}

async fn serve_scripted(mut stream: TcpStream) {
    let mut bytes = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut bytes).await {
        if request.attempt.is_empty() {
            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
            continue;
        }
        if request.path == "/flow/fail" {
            let head = signed_head("400 Bad Request", &request.attempt, "Content-Length: 0\r\n");
            let _ = stream.write_all(head.as_bytes()).await;
            continue;
        }
        if send_scripted(&mut stream, &request).await.is_err() {
            return;
        }
    }
}

async fn send_scripted(stream: &mut TcpStream, request: &ReceivedRequest) -> std::io::Result<()> {
    let count = request.path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0u64);
    let head = signed_head("200 OK", &request.attempt, "Transfer-Encoding: chunked\r\n");
    stream.write_all(head.as_bytes()).await?;
    let breaks = request.path.starts_with("/flow/broken/") && request.last_event == 0;
    let last = if breaks { count - 3 } else { count };
    for number in request.last_event + 1..=last {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
        sleep(PACE).await;
    }
    if breaks {
        return Err(std::io::Error::other("broken off"));
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Guards against callers without an answer among as many as the listener's queue holds when it is closed.
#[tokio::test]
async fn many_callers_who_connect_while_the_listener_closes_are_answered() {
    let (cluster, _odd, _app) = start_cluster(40).await;
    cluster.signal(4, "-TERM");
    sleep(Duration::from_millis(2000)).await;
    cluster.signal(4, "-STOP");
    let mut readers = Vec::new();
    for number in 0..120 {
        let upload = begin(&cluster, "/odd/0", &format!("meanwhile-{number}"), "\r\n{}").await;
        readers.push(tokio::spawn(upload.read()));
    }
    sleep(Duration::from_millis(600)).await;
    cluster.signal(4, "-CONT");
    let mut unanswered = 0;
    for reader in readers {
        let got = reader.await.expect("it reads");
        if !got.is_refusal() && !got.is_success("done") {
            unanswered += 1;
        }
    }
    assert_eq!(unanswered, 0, "of 120 callers");
}

/// Guards against a stop that refuses, as soon as it begins, all requests of routes whose answers this host
/// has not served yet. Load pattern: answers of 0.6 s, requested 0.3 s after SIGTERM.
#[tokio::test]
async fn requests_of_routes_not_served_before_are_served_early_in_a_stop() {
    let (mut cluster, _odd, _app) = start_cluster(41).await;
    let addr = cluster.addr(4, ENTRY);
    let asking = async {
        sleep(Duration::from_millis(300)).await;
        let mut got = Vec::new();
        for path in ["/flow/2", "/once/2"] {
            let mut upload = Upload::open(addr).await;
            upload.send_head(path, "early").await;
            upload.send("Connection: close\r\n\r\n{}").await;
            got.push(upload.read().await);
        }
        got
    };
    let (_, got) = tokio::join!(cluster.terminate(4), asking);
    for (path, got) in ["/flow/2", "/once/2"].iter().zip(got) {
        assert_eq!(got.status, Some(200), "{path} got {got:?}");
    }
}

/// Guards against a stop that gives up a stream whose target broke off, although the rest of it would end in
/// time at another target: the time of a whole answer is asked of the rest of one. Load pattern: answers of 3.6 s; a
/// stream of 6 s, of which 0.9 s are left when its target breaks off 4.1 s after SIGTERM.
#[tokio::test]
async fn a_stream_with_little_left_goes_on_in_a_stop() {
    let mut cluster = start_hosts(42).await;
    let control: Vec<_> = (1..=4).map(|host| cluster.addr(host, CONTROL)).collect();
    start_scripted(42, 1, control.clone()).await;
    start_scripted(42, 2, control).await;
    until_served(&cluster, "/flow/0").await;
    sleep(Duration::from_secs(1)).await;
    let got = ask(&cluster, "/flow/12", "before").await;
    assert!(got.is_success(&events(12)), "{got:?}");
    let stream = begin(&cluster, "/flow/broken/20", "goes-on", "\r\n{}").await;
    let reader = tokio::spawn(stream.read());
    sleep(Duration::from_secs(1)).await;
    let begun = Instant::now();
    let (_, got) = tokio::join!(cluster.terminate(4), reader);
    let got = got.expect("it reads");
    assert!(got.is_success(&events(20)), "after {:?}: {got:?}", begun.elapsed());
}

/// Guards against failures that count as short answers: a long request is then taken late in a stop and cut
/// off. Load pattern: requests that their target fails at once; an upload that ends 3.7 s after SIGTERM, of a
/// stream of 4.5 s like the one served before.
#[tokio::test]
async fn failures_do_not_make_answers_look_short() {
    let mut cluster = start_hosts(43).await;
    let control: Vec<_> = (1..=4).map(|host| cluster.addr(host, CONTROL)).collect();
    start_scripted(43, 1, control).await;
    until_served(&cluster, "/flow/15").await;
    for number in 0..64 {
        let got = ask(&cluster, "/flow/fail", &format!("fails-{number}")).await;
        assert_eq!(got.status, Some(400), "{got:?}");
    }
    let upload = begin(&cluster, "/flow/15", "late", "\r\n{").await;
    let got = finish_late(&mut cluster, vec![upload], "}").await;
    assert!(got[0].is_refusal() || got[0].is_success(&events(15)), "{got:?}");
}

/// Guards against a stop that cuts off an answer longer than the few that the host has seen. Load pattern: one
/// answer of 0.3 s; an upload that ends 3.7 s after SIGTERM, of a stream of 4.5 s. Neither states tokens.
#[tokio::test]
async fn one_short_answer_does_not_let_a_long_request_begin_late() {
    let (mut cluster, _odd, _app) = start_cluster(44).await;
    until_served(&cluster, "/flow/1").await;
    let upload = begin(&cluster, "/flow/15", "late", "\r\n{").await;
    let got = finish_late(&mut cluster, vec![upload], "}").await;
    assert!(got[0].is_refusal() || got[0].is_success(&events(15)), "{got:?}");
}

/// An early refusal is one whole answer, whatever the body's framing, and nothing follows it. Load pattern: streams
/// that last as long as the grace time, so that another one is refused at once.
#[tokio::test]
async fn a_request_refused_while_its_body_comes_gets_one_answer() {
    let (mut cluster, odd, _app) = start_cluster(45).await;
    serve_many(&cluster, "/flow/25", 20).await;
    let addr = cluster.addr(4, ENTRY);
    let second = format!(
        "POST /odd/0 HTTP/1.1\r\nHost: a.example\r\n{}: second\r\nContent-Length: 2\r\n\r\n{{}}",
        stand_in::ATTEMPT
    );
    // Head lines, the first part of the body, the rest.
    let cases = [
        ("Content-Length: 4\r\n", "{", "  }".to_owned()),
        ("Transfer-Encoding: chunked\r\n", "1\r\n{\r\n", "3\r\n  }\r\n0\r\n\r\n".to_owned()),
        ("Content-Length: 4\r\nExpect: 100-continue\r\n", "", "{  }".to_owned()),
        ("Content-Length: 4\r\n", "{", format!("  }}{second}")),
        ("Content-Length: 4\r\n", "{", "  ".to_owned()),
    ];
    let mut streams = Vec::new();
    for (number, (lines, first, _)) in cases.iter().enumerate() {
        let mut stream = TcpStream::connect(addr).await.expect("it listens");
        let head = format!(
            "POST /flow/15 HTTP/1.1\r\nHost: a.example\r\n{}: early-{number}\r\nDeadline-Ms: 15000\r\n\
             {lines}\r\n{first}",
            stand_in::ATTEMPT
        );
        stream.write_all(head.as_bytes()).await.expect("it reads");
        streams.push(stream);
    }
    let begun = Instant::now();
    let sending = async {
        sleep(Duration::from_millis(1000)).await;
        let mut texts = Vec::new();
        for (stream, (_, _, rest)) in streams.iter_mut().zip(&cases) {
            let _ = stream.write_all(rest.as_bytes()).await;
        }
        for mut stream in streams {
            let mut bytes = Vec::new();
            let ended = stream.read_to_end(&mut bytes).await;
            texts.push((String::from_utf8_lossy(&bytes).into_owned(), ended, begun.elapsed()));
        }
        texts
    };
    let (_, texts) = tokio::join!(cluster.terminate(4), sending);
    for (number, (text, ended, after)) in texts.iter().enumerate() {
        eprintln!("case {number} after {after:?}, {ended:?}: {text:?}");
        let answers = text.matches("HTTP/1.1 503").count();
        assert_eq!(answers, 1, "case {number}: {text}");
        assert_eq!(text.matches("HTTP/1.1 200").count(), 0, "case {number}: {text}");
    }
    assert!(!odd.has_run("second"));
}

/// Guards against a refusal that its caller loses: it is given while the body still comes, and the connection is
/// closed under the rest of the body when the listener closes. Load pattern: an upload refused at
/// SIGTERM, whose caller sends on until 3.5 s after it and reads only then.
#[tokio::test]
async fn a_refused_upload_is_read_to_its_end() {
    let (mut cluster, _odd, _app) = start_cluster(50).await;
    let mut stream = TcpStream::connect(cluster.addr(4, ENTRY)).await.expect("it listens");
    let head = format!(
        "POST /flow/15 HTTP/1.1\r\nHost: a.example\r\n{}: slow\r\nDeadline-Ms: 15000\r\n\
         Content-Length: 8\r\n\r\n{{",
        stand_in::ATTEMPT
    );
    stream.write_all(head.as_bytes()).await.expect("it reads");
    let sending = async {
        let mut written = Vec::new();
        for _ in 0..7 {
            sleep(Duration::from_millis(500)).await;
            written.push(stream.write_all(b" ").await.is_ok());
        }
        let mut bytes = Vec::new();
        let ended = stream.read_to_end(&mut bytes).await;
        (written, ended, String::from_utf8_lossy(&bytes).into_owned())
    };
    let (_, (written, ended, text)) = tokio::join!(cluster.terminate(4), sending);
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(written.iter().all(|it| *it) && ended.is_ok(), "written {written:?}, then {ended:?}");
}

/// Guards against an estimate that one answer spoils: the time for each token of the slowest of the few that were
/// kept is asked for all tokens of a request. Load pattern: eight answers of up to 300 tokens that take 0.9 s, one
/// of up to 2 tokens that takes 0.6 s; a request like the eight 0.3 s after SIGTERM.
#[tokio::test]
async fn an_answer_of_few_tokens_does_not_make_others_look_long() {
    let (mut cluster, _odd, _app) = start_cluster(51).await;
    let addr = cluster.addr(4, ENTRY);
    for number in 0..9 {
        let (path, tokens) = if number == 4 { ("/flow/2", 2) } else { ("/flow/3", 300) };
        let more = format!("Token-Usage: 100,{tokens}\r\nConnection: close\r\n\r\n{{}}");
        let got = begin(&cluster, path, &format!("before-{number}"), &more).await.read().await;
        assert_eq!(got.status, Some(200), "{got:?}");
    }
    let asking = async {
        sleep(Duration::from_millis(300)).await;
        let mut upload = Upload::open(addr).await;
        upload.send_head("/flow/3", "early").await;
        upload.send("Token-Usage: 100,300\r\nConnection: close\r\n\r\n{}").await;
        upload.read().await
    };
    let (_, got) = tokio::join!(cluster.terminate(4), asking);
    assert!(got.is_success(&events(3)), "{got:?}");
}

/// Guards against callers who are sent from one stopping host to the next. Load pattern: all hosts get SIGTERM
/// at once, and one refuses requests of a route whose answers last as long as the grace time.
#[tokio::test]
async fn callers_are_not_sent_to_other_hosts_that_stop_too() {
    let (cluster, _odd, _app) = start_cluster(52).await;
    serve_many(&cluster, "/once/25", 20).await;
    for host in 1..=4 {
        cluster.signal(host, "-TERM");
    }
    let mut delays = Vec::new();
    for _ in 0..4 {
        sleep(Duration::from_millis(500)).await;
        let got = ask(&cluster, "/once/2", "all-stop").await;
        assert_eq!(got.status, Some(503), "{got:?}");
        let after = got.head.lines().find_map(|it| it.strip_prefix("retry-after: "));
        delays.push(after.and_then(|it| it.parse::<f64>().ok()).unwrap_or_default());
    }
    assert!(delays.iter().all(|it| *it >= 1.0), "Retry-After {delays:?}");
}

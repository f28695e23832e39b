//! How answers end: what callers get must not look complete unless it is.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    CONTROL, Cluster, ENTRY, document, ip, read_request, send_heartbeats, signed_head,
    target_record, until,
};
use platform::stand_in;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket},
    time::sleep,
};

/// Number of events of a stream that the kernel's buffers don't hold whole, and their size in bytes.
const MANY_EVENTS: u64 = 400;
const EVENT_BYTES: usize = 16 * 1024;
/// Size of a slow caller's receive buffer.
const SMALL_BUFFER: u32 = 4096;

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

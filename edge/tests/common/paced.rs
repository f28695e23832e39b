//! A stand-in target that takes its time, and a caller that sends or reads slowly.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use platform::stand_in;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{ReceivedRequest, ip, read_request, send_heartbeats, signed_head, target_record};

/// Time between two events of a stream, and unit of the time that any other answer takes.
pub const PACE: Duration = Duration::from_millis(300);

/// A target whose request paths end with the number of events to stream, or with the number of
/// [`PACE`]s before it answers. It records which attempts it ran.
#[derive(Clone)]
pub struct PacedTarget {
    pub listener: Arc<TcpListener>,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A run of an attempt.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    /// The address from which the target got it.
    pub from: String,
}

impl PacedTarget {
    /// Starts it, with heartbeats to the hosts' control addresses.
    pub async fn start(net: u8, number: u8, service: &str, control: Vec<SocketAddr>) -> Self {
        let addr = format!("{}:8080", ip(net, 100 + number));
        let listener = Arc::new(TcpListener::bind(&addr).await.expect("the address is free"));
        let mut record = target_record(number, service, addr);
        record.slots = 400;
        tokio::spawn(send_heartbeats(record, control, Vec::new));
        let target = PacedTarget { listener, runs: Arc::default() };
        let own = target.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, from)) = own.listener.accept().await else { continue };
                tokio::spawn(own.clone().serve(stream, from));
            }
        });
        target
    }

    /// Whether it has begun to run an attempt.
    pub fn has_run(&self, attempt: &str) -> bool {
        !self.runs_of(attempt).is_empty()
    }

    /// Returns an attempt's runs; a stream that was taken up again has several.
    pub fn runs_of(&self, attempt: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("not poisoned");
        runs.iter().filter(|it| it.attempt == attempt).cloned().collect()
    }

    async fn serve(self, mut stream: TcpStream, from: SocketAddr) {
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            if request.attempt.is_empty() {
                // A question about its state.
                let _ =
                    stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            }
            let run = Run { attempt: request.attempt.clone(), from: from.ip().to_string() };
            self.runs.lock().expect("not poisoned").push(run);
            let number = request.path.rsplit('/').next().and_then(|it| it.parse::<u32>().ok());
            let count = number.unwrap_or(0);
            let is_sent = match request.path.starts_with("/flow/") {
                true => send_events(&mut stream, &request, count.into()).await,
                false => send_late(&mut stream, &request, count).await,
            };
            if is_sent.is_err() {
                return;
            }
        }
    }
}

async fn send_events(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    count: u64,
) -> std::io::Result<()> {
    let head = signed_head("200 OK", &request.attempt, "Transfer-Encoding: chunked\r\n");
    stream.write_all(head.as_bytes()).await?;
    for number in request.last_event + 1..=count {
        let event = event(number);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
        sleep(PACE).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}

async fn send_late(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    paces: u32,
) -> std::io::Result<()> {
    sleep(PACE * paces).await;
    let answer = signed_head("200 OK", &request.attempt, "Content-Length: 4\r\n") + "done";
    stream.write_all(answer.as_bytes()).await
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// Returns the events of a whole stream.
pub fn events(count: u64) -> String {
    (1..=count).map(event).collect()
}

/// What a caller got on its connection until it ended.
#[derive(Debug)]
pub struct Got {
    /// The answer's status; none if no whole head came.
    pub status: Option<u16>,
    /// The answer's headers, in lowercase.
    pub head: String,
    /// The answer's body without its framing; none if it was cut off.
    pub body: Option<String>,
}

impl Got {
    /// Whether the answer is whole and says that the request has not run and when to come back.
    pub fn is_refusal(&self) -> bool {
        self.status == Some(503) && self.body.is_some() && self.head.contains("retry-after: ")
    }

    /// Whether it is a whole success with this body.
    pub fn is_success(&self, body: &str) -> bool {
        self.status == Some(200) && self.body.as_deref() == Some(body)
    }

    fn read(bytes: &[u8]) -> Got {
        let text = String::from_utf8_lossy(bytes);
        let Some((head, rest)) = text.split_once("\r\n\r\n") else {
            return Got { status: None, head: String::new(), body: None };
        };
        let head = head.to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
        let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
        let body = match length.and_then(|it| it.parse::<usize>().ok()) {
            Some(length) => (rest.len() == length).then(|| rest.to_owned()),
            None => join_chunks(rest),
        };
        Got { status, head, body }
    }
}

/// Joins the chunks of a body; none if its last one is missing.
fn join_chunks(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body += after.get(..size)?;
        rest = after.get(size..)?.strip_prefix("\r\n")?;
    }
}

/// A caller's connection, on which a request is sent in parts.
pub struct Upload {
    stream: TcpStream,
}

impl Upload {
    pub async fn open(addr: SocketAddr) -> Upload {
        Upload::try_open(addr).await.expect("it listens")
    }

    pub async fn try_open(addr: SocketAddr) -> std::io::Result<Upload> {
        Ok(Upload { stream: TcpStream::connect(addr).await? })
    }

    /// Sends the head of a request with a body of two bytes, but for its last line.
    pub async fn send_head(&mut self, path: &str, attempt: &str) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: a.example\r\n{}: {attempt}\r\nDeadline-Ms: 15000\r\n\
             Content-Length: 2\r\n",
            stand_in::ATTEMPT
        );
        self.send(&head).await;
    }

    /// Sends bytes. A connection that was closed shows when the answer is read.
    pub async fn send(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// Reads until the connection ends.
    pub async fn read(mut self) -> Got {
        let mut bytes = Vec::new();
        // A reset leaves what came before it.
        let _ = self.stream.read_to_end(&mut bytes).await;
        Got::read(&bytes)
    }
}

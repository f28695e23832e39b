//! A stand-in target that takes its time, and a caller that sends or reads slowly.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use platform::stand_in;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::ReadHalf},
    time::sleep,
};
use wire::TargetRecord;

use super::{ReceivedRequest, ip, read_request, send_heartbeats, signed_head, target_record};

/// Time between two events of a stream, and unit of the time that any other answer takes.
pub const PACE: Duration = Duration::from_millis(300);

/// Size of a large answer, in bytes: more than the kernel buffers for a connection at first.
const LARGE: usize = 1 << 20;

/// Maximum size of an answer's head, in bytes.
const HEAD_BYTES: usize = 1024;

/// A request that a target has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    /// The address from which the target got it.
    pub from: String,
    pub began: Instant,
    /// When its answer was sent or could not be; `None` if neither has come.
    pub ended: Option<Instant>,
}

/// A target whose request paths end with the number of events to stream, or with the number of
/// [`PACE`]s before it answers. It records which attempts it ran.
#[derive(Clone)]
pub struct PacedTarget {
    pub listener: Arc<TcpListener>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl PacedTarget {
    /// Starts it, with heartbeats to the hosts' control addresses.
    pub async fn start(net: u8, number: u8, service: &str, control: Vec<SocketAddr>) -> Self {
        let (target, record) = PacedTarget::start_silent(net, number, service).await;
        tokio::spawn(send_heartbeats(record, control, Vec::new));
        target
    }

    /// Starts it without heartbeats, and returns its record.
    pub async fn start_silent(net: u8, number: u8, service: &str) -> (Self, TargetRecord) {
        let addr = format!("{}:8080", ip(net, 100 + number));
        let listener = Arc::new(TcpListener::bind(&addr).await.expect("the address is free"));
        let mut record = target_record(number, service, addr);
        record.slots = 400;
        let target = PacedTarget { listener, runs: Arc::default() };
        let own = target.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, from)) = own.listener.accept().await else { continue };
                tokio::spawn(own.clone().serve(stream, from));
            }
        });
        (target, record)
    }

    /// Whether it has begun to run an attempt.
    pub fn has_run(&self, attempt: &str) -> bool {
        !self.runs_of(attempt).is_empty()
    }

    /// Returns what it has begun to run, in that order.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// Records that a run begins, and returns its place in the list.
    fn begin_run(&self, attempt: &str, from: SocketAddr) -> usize {
        let (attempt, from) = (attempt.to_owned(), from.ip().to_string());
        let run = Run { attempt, from, began: Instant::now(), ended: None };
        let mut runs = self.runs.lock().expect("not poisoned");
        runs.push(run);
        runs.len() - 1
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
            let place = self.begin_run(&request.attempt, from);
            let number = request.path.rsplit('/').next().and_then(|it| it.parse::<u32>().ok());
            let count = number.unwrap_or(0);
            let is_stream =
                ["/flow/", "/solo/", "/brief/"].iter().any(|it| request.path.starts_with(it));
            let is_sent = match is_stream {
                true => send_events(&mut stream, &request, count.into()).await,
                false => send_late(&mut stream, &request, count).await,
            };
            self.runs.lock().expect("not poisoned")[place].ended = Some(Instant::now());
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
) -> io::Result<()> {
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
) -> io::Result<()> {
    sleep(PACE * paces).await;
    let body = if request.path.contains("/large/") { large() } else { "done".to_owned() };
    let length = format!("Content-Length: {}\r\n", body.len());
    let answer = signed_head("200 OK", &request.attempt, &length) + &body;
    stream.write_all(answer.as_bytes()).await
}

/// Returns the body of a large answer.
pub fn large() -> String {
    "done".repeat(LARGE / 4)
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
            return (after == "\r\n").then_some(body);
        }
        body += after.get(..size)?;
        rest = after.get(size..)?.strip_prefix("\r\n")?;
    }
}

/// Place of the last line of a head in the parts of its request.
const HEAD_END: usize = 1;

/// Returns a request's parts and the waits before them; `slow_ms` is the sum of the waits.
pub fn parts(
    path: &str,
    attempt: &str,
    slow_ms: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<(Duration, String)> {
    let is_chunked = rng.random_bool(0.5);
    let count = rng.random_range(1..=4);
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {}", 4 * count),
    };
    let model = match path.starts_with("/stream/") {
        true => "Model: m/a1\r\nToken-Usage: 100,20\r\n",
        false => "",
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\n{}: {attempt}\r\nDeadline-Ms: 15000\r\n\
         {model}{framing}\r\n",
        stand_in::ATTEMPT
    );
    let mut texts = vec![head, "\r\n".to_owned()];
    for _ in 0..count {
        texts.push(if is_chunked { "4\r\nbody\r\n" } else { "body" }.to_owned());
    }
    if is_chunked {
        texts.push("0\r\n\r\n".to_owned());
    }
    // One wait before any part but the first, or the same before each.
    let waits = texts.len() as u64 - 1;
    let only = rng.random_bool(0.5).then(|| rng.random_range(1..=waits));
    let wait = |place: u64| match only {
        _ if place == 0 => 0,
        Some(it) => u64::from(it == place) * slow_ms,
        None => slow_ms / waits,
    };
    texts.into_iter().zip(0..).map(|(it, at)| (Duration::from_millis(wait(at)), it)).collect()
}

/// A caller's connection, on which a request is sent in parts.
pub struct Upload {
    stream: TcpStream,
}

impl Upload {
    pub async fn open(addr: SocketAddr) -> Upload {
        Upload::connect(addr).await.expect("it listens")
    }

    pub async fn connect(addr: SocketAddr) -> io::Result<Upload> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(Upload { stream })
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

    /// Sends the parts of a request, each after a wait, and reads its answer meanwhile, with a pause after
    /// each read. The parts that are left once the answer or the connection has ended are not sent.
    pub async fn exchange(&mut self, parts: Vec<(Duration, String)>, pause: Duration) -> Exchange {
        let (mut reader, mut writer) = self.stream.split();
        let began = Instant::now();
        let (mut headed, mut sent) = (None, None);
        let sending = async {
            for (place, (wait, text)) in parts.into_iter().enumerate() {
                sleep(wait).await;
                if writer.write_all(text.as_bytes()).await.is_err() {
                    return std::future::pending().await;
                }
                if place == HEAD_END {
                    headed = Some(Instant::now());
                }
            }
            sent = Some(Instant::now());
            std::future::pending().await
        };
        let got = tokio::select! {
            got = read_answer(&mut reader, pause) => got,
            got = sending => got,
        };
        Exchange { got, began, headed, sent, ended: Instant::now() }
    }
}

/// A request on a connection, as its caller saw it.
#[derive(Debug)]
pub struct Exchange {
    pub got: Got,
    /// Before its first byte was sent.
    pub began: Instant,
    /// After its head was sent; the host's time limits begin then.
    pub headed: Option<Instant>,
    /// After its last byte was sent; `None` if not all of it was.
    pub sent: Option<Instant>,
    /// When the answer was whole or the connection had ended.
    pub ended: Instant,
}

/// Reads until an answer is whole or the connection ends.
async fn read_answer(reader: &mut ReadHalf<'_>, pause: Duration) -> Got {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 1 << 16];
    loop {
        match reader.read(&mut chunk).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => return Got::read(&bytes),
        }
        if may_be_whole(&bytes) {
            let got = Got::read(&bytes);
            if got.body.is_some() {
                return got;
            }
        }
        sleep(pause).await;
    }
}

/// Whether an answer may be whole, without a look at all of it.
fn may_be_whole(bytes: &[u8]) -> bool {
    let begin = String::from_utf8_lossy(&bytes[..bytes.len().min(HEAD_BYTES)]).to_ascii_lowercase();
    match begin.lines().find_map(|it| it.strip_prefix("content-length: ")) {
        Some(length) => length.parse().is_ok_and(|it: usize| bytes.len() >= it),
        None => bytes.ends_with(b"\r\n\r\n"),
    }
}

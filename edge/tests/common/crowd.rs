//! Clients that stay inside no limit but that of one request: each takes as much of a host as it can, and
//! keeps its connection open.

use std::{net::SocketAddr, time::Duration};

use platform::stand_in;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// A small machine: its memory, and its descriptors, of which 200 are for other files.
pub const MACHINE: &str = "limits.memoryMb=64\nlimits.maxFds=500\n";
/// `limits.memoryMb`, in kilobytes.
pub const MEMORY_KB: u64 = 64_000_000 / 1024;
/// `limits.maxFds` less those for other files.
pub const DESCRIPTORS: usize = 300;
/// `maxBodyBytes` of the configuration, in bytes.
pub const BODY_BYTES: usize = 1 << 20;
/// Size of a large chunk, and of what a client sends at a time.
const PIECE_BYTES: usize = 64 * 1024;
/// One-byte chunks in a body of such chunks. More of them take the stand-in too long.
const SMALL_CHUNKS: usize = 300_000;
/// Size of a body that is far over the limit.
const FAR_OVER_BYTES: usize = 16 * BODY_BYTES;
/// Longest time for which a client goes on sending. A host that doesn't read must not block the test.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time for which a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a body that is over the limit, but not far.
const OVER_BYTES: usize = BODY_BYTES * 3 / 2;
/// How a client sends a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// With its length.
    Length,
    /// In large chunks.
    LargeChunks,
    /// In chunks of one byte.
    SmallChunks,
    /// Over the limit, as its length says.
    OverAnnounced,
    /// Over the limit, in chunks.
    OverSent,
    /// Far over the limit, as its length says.
    FarOverAnnounced,
    /// Far over the limit, in chunks.
    FarOverSent,
}

/// Where a client stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// At the end of its request.
    Never,
    /// Just short of the end of its body.
    Short,
    /// In the midst of the head.
    InHead,
    /// Before the body.
    AfterHead,
}

/// What a client does.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub form: Form,
    pub stop: Stop,
    pub path: &'static str,
}

impl Plan {
    /// Returns the size of the body, in bytes.
    pub fn size(self) -> usize {
        match self.form {
            Form::Length | Form::LargeChunks => BODY_BYTES,
            Form::SmallChunks => SMALL_CHUNKS,
            Form::OverAnnounced | Form::OverSent => OVER_BYTES,
            Form::FarOverAnnounced | Form::FarOverSent => FAR_OVER_BYTES,
        }
    }

    fn is_chunked(self) -> bool {
        use Form::{FarOverSent, LargeChunks, OverSent, SmallChunks};
        matches!(self.form, LargeChunks | SmallChunks | OverSent | FarOverSent)
    }

    fn head(self, attempt: &str) -> String {
        let framing = match self.is_chunked() {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", self.size()),
        };
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: a.example\r\n{}: {attempt}\r\n",
            self.path,
            stand_in::ATTEMPT
        );
        if self.stop != Stop::InHead {
            head += &format!("{framing}\r\n\r\n");
        }
        head
    }

    /// Returns what is sent at a time, without the last bytes of the body, and how often.
    fn pieces(self) -> (Vec<u8>, usize) {
        let data = vec![b'x'; PIECE_BYTES];
        match self.form {
            Form::SmallChunks => (b"1\r\nx\r\n".repeat(1000), SMALL_CHUNKS / 1000),
            _ if self.is_chunked() => {
                let chunk = [format!("{PIECE_BYTES:x}\r\n").as_bytes(), &data, b"\r\n"].concat();
                (chunk, self.size() / PIECE_BYTES)
            }
            _ => (data, self.size() / PIECE_BYTES),
        }
    }
}

/// A client, after it has sent what it sends.
pub struct Client {
    attempt: String,
    /// Whether it could send all that it sends.
    pub has_sent: bool,
    stream: TcpStream,
}

impl Client {
    /// Connects and sends. An error of a connection that the host has closed is no failure.
    pub async fn play(addr: SocketAddr, plan: Plan, attempt: String) -> Option<Client> {
        let mut stream = timeout(SEND_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
        let sent = timeout(SEND_TIMEOUT, send(&mut stream, plan, &attempt)).await;
        Some(Client { attempt, has_sent: matches!(sent, Ok(Ok(()))), stream })
    }

    /// Reads the status of the answer; none if there is none.
    pub async fn status(&mut self) -> Option<u16> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n") {
            let byte = timeout(ANSWER_TIMEOUT, self.stream.read_u8()).await.ok()?.ok()?;
            head.push(byte);
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        text.split(' ').nth(1)?.parse().ok()
    }
}

async fn send(stream: &mut TcpStream, plan: Plan, attempt: &str) -> std::io::Result<()> {
    stream.write_all(plan.head(attempt).as_bytes()).await?;
    if plan.stop == Stop::InHead || plan.stop == Stop::AfterHead {
        return Ok(());
    }
    let (piece, count) = plan.pieces();
    for _ in 1..count {
        stream.write_all(&piece).await?;
    }
    if plan.stop == Stop::Short {
        let almost = if plan.is_chunked() { piece.len() } else { piece.len() - 1 };
        return stream.write_all(&piece[..almost]).await;
    }
    stream.write_all(&piece).await?;
    if plan.is_chunked() {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// Plays as many clients at once. Returns those that could connect, once each has sent all that it sends, or
/// no more is taken from it.
pub async fn play(addr: SocketAddr, plan: Plan, count: usize, name: &str) -> Vec<Client> {
    let mut playing = Vec::new();
    for number in 0..count {
        playing.push(tokio::spawn(Client::play(addr, plan, format!("{name}-{number}"))));
    }
    let mut clients = Vec::new();
    for client in playing {
        clients.extend(client.await.expect("it plays"));
    }
    clients
}

/// Waits for the clients' answers. Returns each attempt's id and status, if it has one.
pub async fn statuses(clients: Vec<Client>) -> Vec<(String, Option<u16>)> {
    let mut reading = Vec::new();
    for mut client in clients {
        reading.push(tokio::spawn(async move {
            let status = client.status().await;
            (client.attempt, status)
        }));
    }
    let mut read = Vec::new();
    for status in reading {
        read.push(status.await.expect("it reads"));
    }
    read
}

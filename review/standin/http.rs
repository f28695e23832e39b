//! HTTP/1.1 as the cases need it, on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or an answer: the first line, the headers in lower case, and the body.
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived whole.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads the next message; none if the connection ended before its head was whole.
pub fn read_message(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 * 1024];
    let end = loop {
        if let Some(end) = find(bytes, b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    };
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    bytes.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    for field in lines {
        if let Some((key, value)) = field.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message { line, headers, body: Vec::new(), complete: true };
    if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        message.complete = read_chunks(stream, bytes, &mut message.body)?;
        return Ok(Some(message));
    }
    let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    while bytes.len() < length {
        match stream.read(&mut chunk)? {
            0 => {
                message.complete = false;
                return Ok(Some(message));
            }
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = bytes.drain(..length).collect();
    Ok(Some(message))
}

fn read_chunks(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    body: &mut Vec<u8>,
) -> io::Result<bool> {
    let mut chunk = [0; 16 * 1024];
    loop {
        while let Some(end) = find(bytes, b"\r\n") {
            let size = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            if bytes.len() < end + 2 + size + 2 {
                break;
            }
            body.extend_from_slice(&bytes[end + 2..end + 2 + size]);
            bytes.drain(..end + 4 + size);
            if size == 0 {
                return Ok(true);
            }
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(false),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|it| it == what)
}

/// Sends one request over a new connection, and waits for the answer until `limit` is over.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let started = Instant::now();
    // Consumers and the operator allow a new channel one second.
    let mut stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = limit.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| key.eq_ignore_ascii_case("host")) {
        text += &format!("Host: {addr}\r\n");
    }
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes())?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

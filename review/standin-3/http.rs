//! Calls to a host, each on a connection of its own.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// An answer: its status and body.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Makes a call; `None` if no whole answer came in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, body: body.to_owned() })
}

/// Sends a client's request on a connection of its own. Returns the status of the answer, if one came.
pub fn request(addr: SocketAddr, path: &str, attempt: &str) -> Option<u16> {
    let limit = Duration::from_secs(2);
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    String::from_utf8_lossy(&bytes).split(' ').nth(1)?.parse().ok()
}

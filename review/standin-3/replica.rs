//! A replica of a service without models, and its heartbeats.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http::call;

const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A running replica. Its threads end with the process.
pub struct Replica {
    pub ran: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

impl Replica {
    /// Starts a replica that reports to the first of these hosts that answers.
    pub fn start(addr: SocketAddr, hosts: Vec<SocketAddr>) -> Result<Replica, String> {
        let listener = TcpListener::bind(addr).map_err(|it| it.to_string())?;
        let ran = Arc::new(AtomicU64::new(0));
        let is_over = Arc::new(AtomicBool::new(false));
        let counted = ran.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counted = counted.clone();
                thread::spawn(move || serve(stream, &counted));
            }
        });
        let ends = is_over.clone();
        thread::spawn(move || report(addr, &hosts, &ends));
        Ok(Replica { ran, is_over })
    }
}

fn report(addr: SocketAddr, hosts: &[SocketAddr], is_over: &AtomicBool) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |it| it.as_millis());
    let mut sequence = 0;
    while !is_over.load(Ordering::Relaxed) {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"desk\",\"address\":\"{addr}\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[],\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        for host in hosts {
            let path = "/poplarhollow/Replicas.Heartbeat/i-5e1f00d2";
            let answer = call(*host, "POST", path, &body, Duration::from_secs(1));
            if answer.is_some_and(|it| it.status / 100 == 2) {
                break;
            }
        }
        thread::sleep(HEARTBEAT);
    }
}

fn serve(stream: TcpStream, ran: &AtomicU64) {
    let Ok(reading) = stream.try_clone() else { return };
    let (mut reader, mut stream) = (BufReader::new(reading), stream);
    loop {
        let (mut attempt, mut length) = (String::new(), 0);
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            match name.to_ascii_lowercase().as_str() {
                "attempt-id" => attempt = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        ran.fetch_add(1, Ordering::Relaxed);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Signature: 5e1f.00.d2\r\n\
             Content-Length: 4\r\n\r\ndone"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

//! A stand-in replica without an engine, and its heartbeats.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    cluster::{Record, unix_ms},
    http::{Message, call, read_message},
};

/// A request that reached a replica and was run.
#[derive(Clone)]
pub struct Run {
    pub at: Duration,
    pub attempt: String,
    pub path: String,
    pub from: SocketAddr,
}

/// A replica. It runs a request that expects it, and answers with its signature.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub born: u64,
    pub work: Duration,
    pub runs: Mutex<Vec<Run>>,
    record: Record,
    sequence: AtomicU64,
    /// Whether it sends heartbeats now.
    pub beats: AtomicBool,
    exited: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Replica {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        addr: SocketAddr,
        zone: &str,
        work: Duration,
        control: Vec<SocketAddr>,
    ) -> Option<Arc<Replica>> {
        let listener = TcpListener::bind(addr).ok()?;
        let replica = Arc::new(Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            zone: zone.to_owned(),
            born: unix_ms(),
            work,
            runs: Mutex::default(),
            record: record.clone(),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            exited: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let own = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if own.exited.load(SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    own.open.lock().unwrap().push(copy);
                }
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        let own = replica.clone();
        thread::spawn(move || own.beat(control));
        Some(replica)
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(from) = stream.peer_addr() else { return };
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut bytes) {
            let answer = self.answer(&request, from);
            if self.exited.load(SeqCst) || stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, from: SocketAddr) -> String {
        let respond = |status: &str, headers: &str, body: &str| {
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
        };
        if request.method() == "GET" && request.path() == "/healthz" {
            return respond("200 OK", &format!("Replica-Id: {}\r\n", self.id), "");
        }
        if request.path().starts_with("/poplarhollow/") {
            return respond("404 Not Found", "", "");
        }
        let Some(attempt) = request.header("attempt-id") else {
            return respond("400 Bad Request", "Not-Executed: 1\r\n", "");
        };
        let echo = format!("Attempt-Id: {attempt}\r\n");
        if request.header("expected-replica").is_some_and(|it| it != self.id) {
            self.record.note(&format!("{} answers 421 to {attempt}", self.id));
            return respond("421 Misdirected Request", &format!("{echo}Not-Executed: 1\r\n"), "");
        }
        let (attempt, path) = (attempt.to_owned(), request.path().to_owned());
        let what = format!("{} ({}) runs {attempt} {path} from {from}", self.id, self.service);
        self.record.note(&what);
        self.runs.lock().unwrap().push(Run { at: self.record.now(), attempt, path, from });
        sleep(self.work);
        let headers = format!("{echo}Replica-Signature: {}.1\r\n", self.id);
        respond("200 OK", &headers, &format!("done by {} of {}", self.id, self.service))
    }

    /// Returns the body of its next ping.
    pub fn next_ping(&self) -> String {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        self.ping(sequence)
    }

    fn ping(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"born\":{},\"sequence\":{sequence}}}",
            self.service, self.addr, self.zone, self.born
        )
    }

    pub fn sequence(&self) -> u64 {
        self.sequence.load(SeqCst)
    }

    /// Sends a ping; returns whether it was acknowledged.
    pub fn send(&self, to: SocketAddr, body: &str) -> bool {
        let path = format!("/poplarhollow/Replicas.Heartbeat/{}", self.id);
        let json = [("Content-Type", "application/json")];
        let answer = call(to, "POST", &path, &json, body, Duration::from_secs(1));
        answer.is_ok_and(|it| it.status() / 100 == 2)
    }

    /// Reports that it is gone; returns whether that was acknowledged.
    pub fn deregister(&self, to: SocketAddr) -> bool {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let path = format!("/poplarhollow/Replicas.Deregister/{}", self.id);
        let json = [("Content-Type", "application/json")];
        let body = self.ping(sequence).replace("\"ready\"", "\"draining\"");
        let answer = call(to, "POST", &path, &json, &body, Duration::from_secs(1));
        answer.is_ok_and(|it| it.status() / 100 == 2)
    }

    /// Pings about every `heartbeatMs`; without an acknowledgement the next node is called.
    fn beat(&self, control: Vec<SocketAddr>) {
        let mut at = usize::from(self.addr.port()) + self.id.len();
        while !self.exited.load(SeqCst) {
            let begun = Instant::now();
            if self.beats.load(SeqCst) {
                let body = self.next_ping();
                for _ in 0..control.len() {
                    if self.send(control[at % control.len()], &body) {
                        break;
                    }
                    at += 1;
                }
            }
            while begun.elapsed() < Duration::from_millis(1200) && !self.exited.load(SeqCst) {
                sleep(Duration::from_millis(20));
            }
        }
    }

    /// Ends the replica: all its channels are reset or closed.
    pub fn exit(&self) {
        self.exited.store(true, SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, which ends.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
        self.record.note(&format!("{} exits", self.id));
    }
}

//! Runs the program against stub hosts with prepared replies.

#![allow(dead_code, reason = "each test program uses only a part of this module")]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::Command,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

/// What a stub host does with a request.
#[derive(Clone)]
pub enum Reply {
    /// Answers with a status and body.
    Answer(u16, String),
    /// Answers with a body that is shorter than its content-length, then closes the connection.
    Cut(String),
    /// Reads the request and closes the connection without an answer.
    HangUp,
}

/// A stub host that gives its replies in order and repeats the last one.
pub struct StubHost {
    pub addr: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl StubHost {
    pub fn start(replies: Vec<Reply>) -> StubHost {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let log = requests.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                serve(stream.unwrap(), &replies, &log);
            }
        });
        StubHost { addr, requests }
    }

    /// Returns a host with an address that nobody listens on, different for each number.
    pub fn absent(number: usize) -> StubHost {
        let addr = format!("127.213.0.{}:9", number + 1).parse().unwrap();
        StubHost { addr, requests: Arc::default() }
    }

    /// Returns the received requests: request line, `x-` and `idempotency-key` headers, and body.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, replies: &[Reply], log: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let count = {
            let mut log = log.lock().unwrap();
            log.push(request);
            log.len()
        };
        let out = reader.get_mut();
        match replies[(count - 1).min(replies.len() - 1)].clone() {
            Reply::Answer(status, body) => {
                let len = body.len();
                write!(out, "HTTP/1.1 {status} X\r\ncontent-length: {len}\r\nx-target: t1\r\nx-ran: m@a@v1\r\n\r\n{body}").unwrap();
            }
            Reply::Cut(body) => {
                let len = body.len() + 100;
                write!(out, "HTTP/1.1 200 X\r\ncontent-length: {len}\r\n\r\n{body}").unwrap();
                return;
            }
            Reply::HangUp => return,
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut shown = String::new();
    let mut len = 0;
    reader.read_line(&mut shown).ok().filter(|it| *it > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            len = value.parse().ok()?;
        }
        if line.starts_with("x-") || line.starts_with("idempotency-key") {
            shown.push_str(&line);
            shown.push('\n');
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    shown.push_str(&String::from_utf8(body).ok()?);
    Some(shown.replace("\r\n", "\n"))
}

/// Runs the program. Returns its exit code, standard output and standard error as one text.
pub fn run(args: &[&str]) -> String {
    let out =
        Command::new(env!("CARGO_BIN_EXE_poplarhollow")).args(args).env_clear().output().unwrap();
    format!(
        "exit {}\n{}{}",
        out.status.code().unwrap(),
        String::from_utf8(out.stdout).unwrap(),
        String::from_utf8(out.stderr).unwrap()
    )
}

/// Runs the program with the hosts' addresses as `option`. In the returned text, the addresses are
/// replaced by HOST1, HOST2 and so on.
pub fn run_with(hosts: &[StubHost], option: &str, args: &[&str]) -> String {
    let addrs: Vec<_> = hosts.iter().map(|it| it.addr.to_string()).collect();
    let mut all = args.to_vec();
    let addrs_text = addrs.join(",");
    all.extend([option, &addrs_text]);
    let mut shown = run(&all);
    for (i, addr) in addrs.iter().enumerate() {
        shown = shown.replace(addr, &format!("HOST{}", i + 1));
    }
    shown
}

/// Writes a file for a test and returns its path. Tests run at the same time, and those that share a name and a
/// text must never read a part of it, so the file is put in its place whole.
pub fn file(name: &str, text: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let part = path.with_added_extension(format!("{}-{number}", std::process::id()));
    std::fs::write(&part, text).unwrap();
    std::fs::rename(&part, &path).unwrap();
    path
}

//! Stand-ins for the scripts of this review: the platform, the operator, a caller, and a replica with
//! the links to it.
//!
//! `stand-in unframed EDGE FOLDER` runs the case of `review/8`; `stand-in replica ...` is the process of
//! a replica that it starts. Only loopback addresses are used.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The rule was broken, was kept, or the case could not run.
const BROKEN: i32 = 1;
const KEPT: i32 = 0;
const NOT_RUN: i32 = 2;

/// Interval between two pings of a replica; the settings give the same value.
const PING_INTERVAL: Duration = Duration::from_millis(1200);
/// A ping that has no answer after this time has failed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// The two parts of the replica's answer, and the pause between them.
const FIRST_PART: &str = "paid: 120 rupees for fitting 77; ";
const SECOND_PART: &str = "receipt 5512, the rest is due on Friday\n";
const PAUSE: Duration = Duration::from_millis(600);

/// Times of the disruption, from the first part of the answer on.
const CUT_AT: Duration = Duration::from_millis(150);
const CRASH_AT: Duration = Duration::from_millis(200);
const RESTART_AT: Duration = Duration::from_millis(1400);
const HEAL_AT: Duration = Duration::from_millis(1500);
/// When the end of the crashed process' connection arrives: the kernel repeats it 0.2, 0.6 and 1.4 s after
/// the crash, and the first two are lost in the cut.
const END_AT: Duration = Duration::from_millis(1600);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let code = match args[1..] {
        ["replica", listen, announced, cut, control] => {
            run_replica(listen, announced, Path::new(cut), control)
        }
        ["unframed", edge, folder] => match Case::run(Path::new(edge), Path::new(folder)) {
            Ok(code) => code,
            Err(error) => {
                eprintln!("the case could not run: {error}");
                NOT_RUN
            }
        },
        _ => {
            eprintln!("usage: stand-in unframed EDGE FOLDER");
            NOT_RUN
        }
    };
    std::process::exit(code);
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn wrong(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
struct Record(Arc<Mutex<(Instant, File)>>);

impl Record {
    fn add(&self, what: &str) {
        if let Ok(mut record) = self.0.lock() {
            let at = record.0.elapsed().as_secs_f64();
            let _ = writeln!(record.1, "{at:8.3} {what}");
        }
        println!("{what}");
    }
}

// ---- the replica

/// A replica of a service without an engine. Its answers have no length and end with their connections.
fn run_replica(listen: &str, announced: &str, cut: &Path, control: &str) -> i32 {
    let born = unix_ms();
    let Ok(listener) = TcpListener::bind(listen) else { return NOT_RUN };
    let (announced, cut) = (announced.to_owned(), cut.to_owned());
    let control: Vec<String> = control.split(',').map(str::to_owned).collect();
    thread::spawn(move || send_pings(&announced, &cut, &control, born));
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let _ = answer(stream);
        });
    }
    NOT_RUN
}

/// Sends pings to one node, and to the next one after a failure. While the replica is cut off, a ping fails
/// after its time limit.
fn send_pings(announced: &str, cut: &Path, control: &[String], born: u64) {
    let mut node = 0;
    for sequence in 1u64.. {
        let body = format!(
            "{{\"service\":\"app\",\"address\":\"{announced}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{born}}}"
        );
        loop {
            if cut.exists() {
                thread::sleep(PING_TIMEOUT);
            } else if let Ok((status, _)) = call(
                &control[node % control.len()],
                "POST",
                "/poplarhollow/Replicas.Heartbeat/i-1",
                &body,
                PING_TIMEOUT,
            ) && (200..300).contains(&status)
            {
                break;
            } else {
                thread::sleep(Duration::from_millis(100));
            }
            node += 1;
        }
        thread::sleep(PING_INTERVAL);
    }
}

fn answer(stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let Some(head) = read_head(&mut reader)? else { return Ok(()) };
        let length = field(&head, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let named = field(&head, "expected-replica");
        if named.as_deref().is_some_and(|it| it != "i-1") {
            stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let path = head[0].split(' ').nth(1).unwrap_or_default();
        if path.starts_with("/poplarhollow/") {
            // It has no engine, and so no report of one.
            stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        if path == "/healthz" {
            let answer = "HTTP/1.1 200 OK\r\nReplica-Id: i-1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(answer.as_bytes())?;
            continue;
        }
        let id = field(&head, "attempt-id").unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Signature: 3e1b.07\r\n\
             Connection: close\r\n\r\n{FIRST_PART}"
        );
        stream.write_all(answer.as_bytes())?;
        thread::sleep(PAUSE);
        stream.write_all(SECOND_PART.as_bytes())?;
        return stream.shutdown(Shutdown::Write);
    }
}

// ---- HTTP

/// Reads the lines of a head; none if the connection has ended.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((!lines.is_empty()).then_some(lines));
        }
        lines.push(line.to_owned());
    }
}

fn field(head: &[String], name: &str) -> Option<String> {
    let fields = head[1..].iter().filter_map(|line| line.split_once(':'));
    let mut named = fields.filter(|(key, _)| key.trim().eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value.trim().to_owned())
}

/// Sends a call and returns the status and the body of its answer.
fn call(
    addr: &str,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let addr: SocketAddr = addr.parse().map_err(|_| wrong("no address"))?;
    let mut stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let answer = read_answer(stream)?;
    Ok((answer.status, answer.body))
}

struct Answer {
    status: u16,
    head: Vec<String>,
    body: String,
    /// Whether the body came to the end that the head announces.
    is_whole: bool,
}

fn read_answer(stream: TcpStream) -> io::Result<Answer> {
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or_else(|| wrong("no answer"))?;
    let status = head[0].split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| wrong("no status"))?;
    let chunked = field(&head, "transfer-encoding").is_some_and(|it| it.contains("chunked"));
    let length: Option<usize> = field(&head, "content-length").and_then(|it| it.parse().ok());
    let mut body = Vec::new();
    let mut is_whole = true;
    if chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                is_whole = false;
                break;
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                is_whole = false;
                break;
            }
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = length {
        body.resize(length, 0);
        is_whole = reader.read_exact(&mut body).is_ok();
    } else {
        is_whole = reader.read_to_end(&mut body).is_ok();
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Answer { status, head, body, is_whole })
}

// ---- the links to the replica

/// The links between the hosts and the replica's machine. While they are cut, no bytes pass and no
/// connection is opened; what was held up goes on afterwards.
struct Links {
    /// Set while the links are cut; the replica's pings look at it too.
    cut: PathBuf,
    /// Set until the end of a connection of the crashed process arrives.
    holds_ends: AtomicBool,
}

impl Links {
    fn wait(&self) {
        while self.cut.exists() {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve(self: Arc<Links>, listener: TcpListener, replica: String) {
        for stream in listener.incoming().flatten() {
            let (links, replica) = (self.clone(), replica.clone());
            thread::spawn(move || {
                links.wait();
                // Without a listener, the caller's connection is reset.
                let Ok(target) = TcpStream::connect(&replica) else { return reset(stream) };
                let (Ok(from), Ok(to)) = (stream.try_clone(), target.try_clone()) else { return };
                let back = links.clone();
                thread::spawn(move || back.pass(target, stream));
                links.pass(from, to);
            });
        }
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 4096];
        loop {
            let read = from.read(&mut bytes);
            self.wait();
            match read {
                Ok(0) => {
                    while self.holds_ends.load(SeqCst) {
                        thread::sleep(Duration::from_millis(2));
                    }
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) if to.write_all(&bytes[..count]).is_ok() => {}
                _ => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

/// Closes a connection whose other end has sent nothing that was read, which resets it.
fn reset(stream: TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

// ---- the case

/// Processes that were started; they are ended when this is dropped.
#[derive(Default)]
struct Processes(Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Case {
    record: Record,
    processes: Processes,
    control: Vec<String>,
    ready: Vec<String>,
    frontend: Vec<String>,
}

impl Case {
    fn run(edge: &Path, folder: &Path) -> io::Result<i32> {
        let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
        let temporary = std::env::temp_dir().join(format!("review-8-{}", std::process::id()));
        fs::create_dir_all(&temporary)?;
        let record = File::create(folder.join("record.txt"))?;
        let record = Record(Arc::new(Mutex::new((Instant::now(), record))));
        let result = Case::play(edge, &temporary, &record, trouble);
        let _ = fs::remove_dir_all(&temporary);
        match &result {
            Ok(BROKEN) => record.add("MIXED is broken"),
            Ok(_) => record.add("MIXED is kept"),
            Err(error) => record.add(&format!("the case could not run: {error}")),
        }
        result
    }

    fn play(edge: &Path, temporary: &Path, record: &Record, trouble: bool) -> io::Result<i32> {
        let net = free_net()?;
        let mut case = Case::start_hosts(edge, temporary, record, &net)?;
        case.configure()?;
        let (listen, announced) = (format!("{net}.9:8080"), format!("{net}.10:8080"));
        let cut = temporary.join("cut");
        let links = Arc::new(Links { cut: cut.clone(), holds_ends: AtomicBool::new(false) });
        let (listener, target) = (TcpListener::bind(&announced)?, listen.clone());
        let serving = links.clone();
        thread::spawn(move || serving.serve(listener, target));
        let start_replica = |case: &Case| {
            let own = std::env::current_exe()?;
            let control = case.control.join(",");
            let args = ["replica", &listen, &announced, &cut.to_string_lossy(), &control];
            Command::new(own).args(args).stdin(Stdio::null()).spawn()
        };
        let replica = start_replica(&case)?;
        record.add("replica i-1 starts");
        case.processes.0.push(replica);
        case.wait_served()?;

        let mut caller = TcpStream::connect(&case.frontend[0])?;
        caller.set_read_timeout(Some(Duration::from_secs(12)))?;
        record.add("the caller sends POST /pay/77 with Attempt-Id a-77 to host 1");
        let request = "POST /pay/77 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: a-77\r\n\
                       Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n";
        caller.write_all(request.as_bytes())?;
        if trouble {
            thread::sleep(CUT_AT);
            File::create(&cut)?;
            record.add("the links between the replica and all hosts are cut");
            thread::sleep(CRASH_AT - CUT_AT);
            links.holds_ends.store(true, SeqCst);
            let replica = case.processes.0.last_mut().ok_or_else(|| wrong("no replica"))?;
            replica.kill()?;
            replica.wait()?;
            record.add("the replica's process crashes in the midst of its answer (SIGKILL)");
            thread::sleep(RESTART_AT - CRASH_AT);
            let replica = start_replica(&case)?;
            case.processes.0.push(replica);
            record.add("the replica starts again under its id, with another start time");
            thread::sleep(HEAL_AT - RESTART_AT);
            fs::remove_file(&cut)?;
            record.add("the links heal");
            thread::sleep(END_AT - HEAL_AT);
            links.holds_ends.store(false, SeqCst);
            record.add("the end of the crashed process' connection arrives");
        }
        let whole = format!("{FIRST_PART}{SECOND_PART}");
        let answer = match read_answer(caller) {
            Ok(answer) => answer,
            Err(error) => {
                record.add(&format!("the caller gets no answer: {error}"));
                return if trouble { Ok(KEPT) } else { Err(wrong("no answer without trouble")) };
            }
        };
        let signed = field(&answer.head, "replica-signature").is_some();
        record.add(&format!(
            "the caller gets {} with {}signature, {} bytes of {}, {}: {:?}",
            answer.status,
            if signed { "" } else { "no " },
            answer.body.len(),
            whole.len(),
            if answer.is_whole { "complete as it seems" } else { "cut off" },
            answer.body
        ));
        let is_success = (200..300).contains(&answer.status);
        if !trouble && !(is_success && answer.is_whole && answer.body == whole) {
            return Err(wrong("no whole answer without trouble"));
        }
        Ok(if is_success && answer.is_whole && answer.body != whole { BROKEN } else { KEPT })
    }

    /// Starts three hosts with disks, as the deploy file runs them.
    fn start_hosts(edge: &Path, temporary: &Path, record: &Record, net: &str) -> io::Result<Case> {
        let mut case = Case {
            record: record.clone(),
            processes: Processes::default(),
            control: (1..=3).map(|host| format!("{net}.{host}:8144")).collect(),
            ready: (1..=3).map(|host| format!("{net}.{host}:8141")).collect(),
            frontend: (1..=3).map(|host| format!("{net}.{host}:8149")).collect(),
        };
        for (host, zone) in [(1, "a"), (2, "b"), (3, "c")] {
            let ip = format!("{net}.{host}");
            let data = temporary.join(format!("data-{host}"));
            fs::create_dir_all(&data)?;
            let settings = format!(
                "nodeName=edge-{zone}-1\nrole=edge\nmachineClass=edge\n\
                 serves=edge,control_plane,registry\nip={ip}\nzone={zone}\nregion=r\n\
                 zones.a=r\nzones.b=r\nzones.c=r\n\
                 listenAddresses.frontend={ip}:8149\nlistenAddresses.ready={ip}:8141\n\
                 listenAddresses.controlPlane={ip}:8144\nlistenAddresses.directory={ip}:8143\n\
                 portRange=7380,7395\nseeds={}\nbootstrap=true\nfaultCounted=true\n\
                 limits.cpuQuota=0.45\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
                 limits.linkMbps=1000.0\nlimits.diskMb=64\ndataDir={}\n\
                 discovery=self_register\nentryPoint=registry\nheartbeatMs=1200\n\
                 faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
                 bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=8\n\
                 bounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
                 bounds.retryAllowance=62\nbounds.leaseMs=3000\nbounds.ceilingWindowS=5\n\
                 bounds.version_ms=5000\nbounds.ttl_max_s=5\nconfigMode=highest\n",
                case.control.join(","),
                data.display()
            );
            let path = temporary.join(format!("host-{host}.conf"));
            fs::write(&path, settings)?;
            let log = File::create(temporary.join(format!("host-{host}.log")))?;
            let child = Command::new(edge)
                .env("POPLARHOLLOW_BOOT", &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            case.processes.0.push(child);
        }
        record.add(&format!("hosts 1 to 3 start at {net}.1 to {net}.3"));
        Ok(case)
    }

    fn configure(&self) -> io::Result<()> {
        let config = r#"{"version":1,"routes":[{"name":"pay","host":"app.example","pathPrefix":"/pay/","routeType":"unsafe","timeoutMs":10000,"targetLatencyMs":150,"priority":1,"service":"app","maxAttempts":1,"sessionAffinity":false,"resumable":false}],"services":[{"name":"app","healthPath":"/healthz","maxConnections":130,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
        let path = "/poplarhollow/Config.Replace";
        self.retry("no configuration was acknowledged", |turn| {
            let addr = &self.control[turn % 3];
            let sent = call(addr, "POST", path, config, Duration::from_secs(3));
            sent.is_ok_and(|(status, _)| status == 200)
        })?;
        self.record.add("the operator's configuration is acknowledged");
        for ready in &self.ready {
            self.retry("a host is not ready", |_| {
                let asked = call(ready, "GET", "/poplarhollow/readyz", "", PING_TIMEOUT);
                asked.is_ok_and(|(status, _)| status == 200)
            })?;
        }
        Ok(())
    }

    /// Waits until host 1 has served a request whole.
    fn wait_served(&self) -> io::Result<()> {
        let whole = format!("{FIRST_PART}{SECOND_PART}");
        self.retry("host 1 serves nothing", |turn| {
            let Ok(mut caller) = TcpStream::connect(&self.frontend[0]) else { return false };
            let request = format!(
                "POST /pay/1 HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: first-{turn}\r\n\
                 Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
            );
            let sent = caller.write_all(request.as_bytes()).and_then(|()| read_answer(caller));
            sent.is_ok_and(|it| it.status == 200 && it.is_whole && it.body == whole)
        })?;
        self.record.add("host 1 has served a request whole, without a disruption");
        Ok(())
    }

    /// Repeats a step until it succeeds, for 40 s at most.
    fn retry(&self, what: &str, mut step: impl FnMut(usize) -> bool) -> io::Result<()> {
        let begun = Instant::now();
        for turn in 0.. {
            if step(turn) {
                return Ok(());
            }
            if begun.elapsed() > Duration::from_secs(40) {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(wrong(what))
    }
}

/// Returns the first three numbers of loopback addresses at which nothing listens.
fn free_net() -> io::Result<String> {
    for turn in 0..200 {
        let number = (std::process::id() as u64 * 7 + turn * 131 + unix_ms() / 64) % 60_000;
        let net = format!("127.{}.{}", 20 + number / 256 % 200, 1 + number % 250);
        let ports = [8149, 8141, 8144, 8143, 7380, 7381, 9464, 8080];
        let is_free = (1..=10).all(|host| {
            ports.iter().all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
        });
        if is_free {
            return Ok(net);
        }
    }
    Err(wrong("no free loopback addresses"))
}

//! A stand-in replica of a service with an engine: it loads and unloads adapters as it is ordered, and
//! crashes if it is ordered to load more than its places hold.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
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

/// `adapterSlots` of the configuration.
pub const SLOTS: usize = 8;
/// Time that the load of an adapter takes.
const LOAD: Duration = Duration::from_millis(250);
/// Share of its answers that a faulty replica hands out a second time.
const DOUBLED_SHARE: f64 = 0.03;

/// An adapter that occupies a place.
struct Held {
    ready_at: Duration,
    running: usize,
    /// Whether it is dropped when its runs have ended.
    leaving: bool,
}

#[derive(Default)]
struct State {
    adapters: BTreeMap<String, Held>,
    /// Number of accepted orders.
    accepted: u64,
    /// Answers since it became faulty, and how many of them it handed out a second time.
    answers: u64,
    doubled: u64,
}

/// A replica that holds the model `m`.
pub struct Engine {
    pub id: String,
    addr: SocketAddr,
    zone: String,
    born: u64,
    state: Mutex<State>,
    record: Record,
    sequence: AtomicU64,
    /// Whether it hands out some answers to orders and report requests a second time.
    pub faulty: AtomicBool,
    crashed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Engine {
    pub fn start(
        record: &Record,
        id: &str,
        addr: SocketAddr,
        zone: &str,
        control: Vec<SocketAddr>,
    ) -> Option<Arc<Engine>> {
        let listener = TcpListener::bind(addr).ok()?;
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            addr,
            zone: zone.to_owned(),
            born: unix_ms(),
            state: Mutex::default(),
            record: record.clone(),
            sequence: AtomicU64::new(0),
            faulty: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let own = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.has_crashed() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    own.open.lock().unwrap().push(copy);
                }
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        let own = engine.clone();
        thread::spawn(move || own.beat(&control));
        Some(engine)
    }

    pub fn has_crashed(&self) -> bool {
        self.crashed.load(SeqCst)
    }

    /// Returns how many answers it gave since it became faulty, and how many of them twice.
    pub fn doubled(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.answers, state.doubled)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        let mut last = String::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut bytes) {
            if self.is_doubled(&request, &last) {
                self.record.note(&format!(
                    "{}: the second copy of the channel's last answer ({}) arrives where that to {} is \
                     expected",
                    self.id,
                    last.lines().next().unwrap_or_default(),
                    String::from_utf8_lossy(&request.body)
                ));
                if stream.write_all(last.as_bytes()).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            self.state.lock().unwrap().answers += u64::from(self.faulty.load(SeqCst));
            if self.has_crashed() || stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            last = match request.path().starts_with("/poplarhollow/") {
                true => answer,
                false => String::new(),
            };
        }
    }

    /// Whether the channel's last answer comes a second time now: it was a 200, and the request is the
    /// order to unload an adapter that requests still use.
    fn is_doubled(&self, request: &Message, last: &str) -> bool {
        if !self.faulty.load(SeqCst) || !last.starts_with("HTTP/1.1 200") {
            return false;
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if request.path() != "/poplarhollow/order" || !body.contains("\"unload\"") {
            return false;
        }
        let adapter = field(&body, "adapter").unwrap_or_default().trim_matches('"').to_owned();
        let mut state = self.state.lock().unwrap();
        let is_used = state.adapters.get(&adapter).is_some_and(|it| it.running > 0 && !it.leaving);
        if !is_used || (state.doubled + 1) as f64 > DOUBLED_SHARE * state.answers as f64 {
            return false;
        }
        state.doubled += 1;
        true
    }

    fn answer(&self, request: &Message) -> String {
        if request.path() == "/healthz" {
            return respond("200 OK", &format!("Replica-Id: {}\r\n", self.id), "");
        }
        let attempt = request.header("attempt-id").unwrap_or_default();
        let echo = match attempt.is_empty() {
            true => String::new(),
            false => format!("Attempt-Id: {attempt}\r\n"),
        };
        if request.header("expected-replica").is_some_and(|it| it != self.id) {
            return respond("421 Misdirected Request", &format!("{echo}Not-Executed: 1\r\n"), "");
        }
        match request.path() {
            "/poplarhollow/report" => {
                respond("200 OK", "Content-Type: application/json\r\n", &self.report())
            }
            "/poplarhollow/order" => self.order(&String::from_utf8_lossy(&request.body)),
            _ => self.run(request, attempt, &echo),
        }
    }

    /// Runs a request for an adapter, which takes 0.3 to 1.2 s.
    fn run(&self, request: &Message, attempt: &str, echo: &str) -> String {
        let refused = respond("421 Misdirected Request", &format!("{echo}Not-Executed: 1\r\n"), "");
        let Some(adapter) = request.header("model").and_then(|it| it.strip_prefix("m/")) else {
            return refused;
        };
        let now = self.record.now();
        {
            let mut state = self.state.lock().unwrap();
            match state.adapters.get_mut(adapter) {
                Some(held) if held.ready_at <= now && !held.leaving => held.running += 1,
                // An order that concerns it isn't complete.
                Some(_) => {
                    let headers = format!("{echo}Not-Executed: 1\r\n");
                    return respond("503 Service Unavailable", &headers, "");
                }
                None => return refused,
            }
        }
        self.record.note(&format!("{} runs {attempt} ({adapter})", self.id));
        let spread = attempt.bytes().fold(0, |sum, it| sum * 31 % 900 + u64::from(it)) % 900;
        sleep(Duration::from_millis(300 + spread));
        let mut state = self.state.lock().unwrap();
        if let Some(held) = state.adapters.get_mut(adapter) {
            held.running -= 1;
            if held.running == 0 && held.leaving {
                state.adapters.remove(adapter);
            }
        }
        let headers = format!("{echo}Replica-Signature: {}.1\r\nWeight-Versions: 1\r\n", self.id);
        let headers = format!("{headers}Content-Type: text/event-stream\r\n");
        respond("200 OK", &headers, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
    }

    /// Returns `models` and `pending`, as JSON.
    fn models(&self) -> (String, String) {
        let now = self.record.now();
        let state = self.state.lock().unwrap();
        let (mut held, mut pending) = (Vec::new(), Vec::new());
        for (name, it) in &state.adapters {
            match it.ready_at <= now {
                true => held.push(format!("\"{name}@1\"")),
                false => pending.push(format!("\"m/{name}@1\"")),
            }
        }
        let models =
            format!("[{{\"name\":\"m\",\"version\":1,\"adapters\":[{}]}}]", held.join(","));
        (models, format!("[{}]", pending.join(",")))
    }

    fn report(&self) -> String {
        let (models, pending) = self.models();
        let accepted = self.state.lock().unwrap().accepted;
        format!(
            "{{\"stage\":\"both\",\"models\":{models},\"pending\":{pending},\"busy\":false,\
             \"sequence\":{accepted},\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\
             \"handles\":0,\"born\":{}}}",
            self.born
        )
    }

    /// Carries out an order, or refuses it. An unload waits for the runs to end.
    fn order(&self, body: &str) -> String {
        let text = |key: &str| field(body, key).map(|it| it.trim_matches('"').to_owned());
        let number = |key: &str| text(key).and_then(|it| it.parse::<u64>().ok());
        let Some(holder) = text("holder").filter(|_| number("fencingToken").is_some()) else {
            return respond("400 Bad Request", "", "");
        };
        let now = self.record.now();
        let is_load = text("operation").as_deref() == Some("load");
        let adapter = text("adapter").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let is_pending = state.adapters.get(&adapter).is_some_and(|it| it.ready_at > now);
        let is_held = state.adapters.contains_key(&adapter);
        let status = if is_load && is_pending {
            "202 Accepted"
        } else if number("expect").is_some_and(|it| it != state.accepted) {
            "409 Conflict"
        } else if is_load == is_held {
            "200 OK"
        } else if is_load {
            state.accepted += 1;
            let held = Held { ready_at: now + LOAD, running: 0, leaving: false };
            state.adapters.insert(adapter.clone(), held);
            "202 Accepted"
        } else if state.adapters.get(&adapter).is_some_and(|it| it.running > 0) {
            state.accepted += 1;
            state.adapters.entry(adapter.clone()).and_modify(|it| it.leaving = true);
            "202 Accepted"
        } else {
            state.accepted += 1;
            state.adapters.remove(&adapter);
            "200 OK"
        };
        let count = state.adapters.len();
        drop(state);
        let what = if is_load { "load" } else { "unload" };
        let (id, expect) = (&self.id, number("expect"));
        self.record.note(&format!(
            "{id}: order of {holder} to {what} {adapter}, expect {expect:?}: {status}"
        ));
        if count > SLOTS {
            self.record
                .note(&format!("LIMIT: {id} was ordered to load more than {SLOTS} adapters"));
            self.crash();
        }
        respond(status, "", "")
    }

    /// Ends the process of the replica, with all that it runs.
    fn crash(&self) {
        self.crashed.store(true, SeqCst);
        let runs: usize = self.state.lock().unwrap().adapters.values().map(|it| it.running).sum();
        self.record.note(&format!("{} crashes, with {runs} requests at work", self.id));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
    }

    /// Pings about every `heartbeatMs`; without an acknowledgement the next node is called.
    fn beat(&self, control: &[SocketAddr]) {
        let mut at = usize::from(self.id.as_bytes()[self.id.len() - 1]);
        while !self.has_crashed() {
            let begun = Instant::now();
            let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
            let body = format!(
                "{{\"service\":\"models\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":{},\
                 \"born\":{},\"sequence\":{sequence}}}",
                self.addr,
                self.zone,
                self.models().0,
                self.born
            );
            let path = format!("/poplarhollow/Replicas.Heartbeat/{}", self.id);
            let json = [("Content-Type", "application/json")];
            for _ in 0..control.len() {
                at += 1;
                let to = control[at % control.len()];
                let answer = call(to, "POST", &path, &json, &body, Duration::from_secs(1));
                if answer.is_ok_and(|it| it.status() / 100 == 2) {
                    break;
                }
            }
            sleep(Duration::from_millis(1200).saturating_sub(begun.elapsed()));
        }
    }
}

fn respond(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns the value of a field of a flat JSON object.
fn field<'a>(body: &'a str, key: &str) -> Option<&'a str> {
    let (_, rest) = body.split_once(&format!("\"{key}\":"))?;
    rest.split([',', '}']).next().map(str::trim)
}

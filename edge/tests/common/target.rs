//! A stand-in target.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use fleet::Report;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use platform::stand_in;
use tokio::{net::TcpListener, time::sleep};
use wire::TargetRecord;

use super::{ip, send_heartbeat, target_record};

/// What a target says of itself in its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Says {
    #[default]
    Nothing,
    Leaving,
    /// It turns each request away and asks for a pause of so many seconds.
    Pause(f64),
    /// It falls over once it has turned more than so many requests away in a second.
    Brittle(u32),
}

impl Says {
    /// Returns the headers that say it, beside those of an answer.
    pub fn headers(self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        match self {
            Says::Nothing => {}
            Says::Leaving => stand_in::say_leaving(&mut headers),
            Says::Pause(span) => {
                let span = HeaderValue::from_str(&span.to_string()).expect("a number");
                headers.insert(header::RETRY_AFTER, span);
            }
            Says::Brittle(refusals) => stand_in::name_brittle(&mut headers, refusals),
        }
        headers
    }
}

/// The state of a stand-in target, and what it has observed.
#[derive(Default)]
struct StandInState {
    /// Models and adapters that it holds, with their versions.
    held: BTreeMap<String, u64>,
    /// Number of orders that it has accepted.
    sequence: u64,
    /// Attempt ids of the requests that it ran.
    runs: Vec<String>,
    /// Sizes of these requests' bodies, in bytes.
    body_sizes: Vec<usize>,
    /// Size of its answers that aren't streams, in bytes; zero for `done`.
    answer_size: usize,
    /// How long it takes before it answers a caller's request.
    delay: Duration,
    /// Fencing numbers of the orders that it accepted.
    fences: BTreeSet<u64>,
    /// Orders that reached it: time of arrival, holder and fencing number.
    orders: Vec<(Instant, String, u64)>,
    /// The most adapters that it held at one time.
    max_adapters: usize,
    /// Start time of its process.
    started_at: u64,
    says: Says,
    /// Connections that carried callers' requests and then orders or report requests, or the other way
    /// round.
    mixed_connections: usize,
}

/// A stand-in target: it loads and unloads adapters as ordered, records orders and requests, and
/// answers streams of [`EVENT_COUNT`] events.
#[derive(Clone)]
pub struct Target {
    record: TargetRecord,
    observed: Arc<Mutex<StandInState>>,
}

/// Number of events of a stream.
pub const EVENT_COUNT: u64 = 5;

impl Target {
    /// Starts a target that sends heartbeats to the hosts' control addresses.
    pub async fn start(net: u8, number: u8, service: &str, control: Vec<SocketAddr>) -> Target {
        let addr = format!("{}:8080", ip(net, 100 + number));
        Target::start_at(net, number, service, control, addr).await
    }

    /// Starts a target that announces another address than its own, that of a proxy.
    pub async fn start_at(
        net: u8,
        number: u8,
        service: &str,
        control: Vec<SocketAddr>,
        advertised: String,
    ) -> Target {
        let addr = format!("{}:8080", ip(net, 100 + number));
        let listener = TcpListener::bind(&addr).await.expect("the address is free");
        let record = target_record(number, service, advertised);
        let observed = StandInState {
            held: BTreeMap::from([("m".to_owned(), 1)]),
            started_at: record.started_at,
            ..StandInState::default()
        };
        let target = Target { record, observed: Arc::new(Mutex::new(observed)) };
        tokio::spawn(target.clone().serve(listener));
        tokio::spawn(target.clone().send_heartbeats(control));
        target
    }

    fn state(&self) -> MutexGuard<'_, StandInState> {
        self.observed.lock().expect("the lock is not poisoned")
    }

    async fn send_heartbeats(self, control: Vec<SocketAddr>) {
        let mut record = self.record.clone();
        loop {
            let (started_at, held) = {
                let state = self.state();
                (state.started_at, state.held.clone().into_iter().collect::<Vec<_>>())
            };
            if started_at != record.started_at {
                (record.started_at, record.sequence) = (started_at, 0);
            }
            send_heartbeat(&mut record, &control, &held).await;
        }
    }

    /// Lets it say something of itself in its answers from now on.
    pub fn say(&self, says: Says) {
        self.state().says = says;
    }

    /// Ends its process and starts another one, which says nothing, at the same address.
    pub fn restart(&self) {
        let mut state = self.state();
        state.started_at += 1;
        state.sequence = 0;
        state.held = BTreeMap::from([("m".to_owned(), 1)]);
        state.says = Says::Nothing;
    }

    /// Returns the attempt ids of the requests that it ran.
    pub fn runs(&self) -> Vec<String> {
        self.state().runs.clone()
    }

    /// Returns the sizes of the bodies of the requests that it ran, in bytes.
    pub fn body_sizes(&self) -> Vec<usize> {
        self.state().body_sizes.clone()
    }

    /// Lets its answers that aren't streams have this size, in bytes, from now on.
    pub fn answer_with(&self, size: usize) {
        self.state().answer_size = size;
    }

    /// Lets it take so long before it answers a caller's request from now on.
    pub fn slow_down(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Returns the orders that reached it: time of arrival, holder and fencing number.
    pub fn orders(&self) -> Vec<(Instant, String, u64)> {
        self.state().orders.clone()
    }

    /// Returns the most adapters that it held at one time.
    pub fn max_adapters(&self) -> usize {
        self.state().max_adapters
    }

    /// Returns how many connections carried callers' requests as well as orders or report requests.
    pub fn mixed_connections(&self) -> usize {
        self.state().mixed_connections
    }

    /// Returns how many fencing numbers the orders that it accepted had.
    pub fn fence_count(&self) -> usize {
        self.state().fences.len()
    }

    async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let target = self.clone();
            let carried = Arc::new(Mutex::new(BTreeSet::new()));
            let service = service_fn(move |request: Request<Incoming>| {
                let target = target.clone();
                let is_control = is_control(request.uri().path());
                let mut carried = carried.lock().expect("the lock is not poisoned");
                if carried.insert(is_control) && carried.len() == 2 {
                    target.state().mixed_connections += 1;
                }
                drop(carried);
                async move { Ok::<_, std::convert::Infallible>(target.answer(request).await) }
            });
            tokio::spawn(async move {
                let serving = hyper::server::conn::http1::Builder::new();
                let _ = serving.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map(|it| it.to_bytes()).unwrap_or_default();
        if !is_control(parts.uri.path()) {
            let delay = self.state().delay;
            sleep(delay).await;
        }
        let mut observed = self.state();
        match parts.uri.path() {
            platform::target::ORDER_PATH => respond(observed.order(&body), HeaderMap::new(), ""),
            platform::target::REPORT_PATH => {
                let held = observed.held.iter().map(|(name, version)| (name.clone(), *version));
                let report = Report {
                    loaded: held.collect(),
                    accepted_orders: observed.sequence,
                    ..Report::default()
                };
                respond(200, HeaderMap::new(), &stand_in::report(&report))
            }
            _ => {
                let response = self.run(&mut observed, &parts.headers);
                if response.status() == StatusCode::OK {
                    observed.body_sizes.push(body.len());
                }
                response
            }
        }
    }

    /// Runs a request, or turns it away if it asks for a pause.
    fn run(&self, observed: &mut StandInState, headers: &HeaderMap) -> Response<Full<Bytes>> {
        let named = observed.says.headers();
        let mut response = match observed.says {
            Says::Pause(_) => respond(503, stand_in::not_run(), ""),
            Says::Nothing | Says::Leaving | Says::Brittle(_) => self.run_now(observed, headers),
        };
        response.headers_mut().extend(named);
        response
    }

    fn run_now(&self, observed: &mut StandInState, headers: &HeaderMap) -> Response<Full<Bytes>> {
        let text = |name| headers.get(name).and_then(|it| it.to_str().ok());
        if text(stand_in::TARGET) != Some(self.record.id.as_str()) {
            return respond(421, stand_in::not_run(), "");
        }
        let Some(attempt) = headers.get(stand_in::ATTEMPT) else {
            return respond(400, stand_in::not_run(), "");
        };
        let signed = stand_in::signed(attempt);
        let Some(adapter) = text(stand_in::MODEL) else {
            observed.runs.push(String::from_utf8_lossy(attempt.as_bytes()).into_owned());
            return match observed.answer_size {
                0 => respond(200, signed, "done"),
                size => respond(200, signed, &"x".repeat(size)),
            };
        };
        if !observed.held.contains_key(adapter) {
            return respond(421, stand_in::not_run(), "");
        }
        observed.runs.push(String::from_utf8_lossy(attempt.as_bytes()).into_owned());
        let last = text(stand_in::LAST_EVENT).and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut events = String::new();
        for number in last + 1..=EVENT_COUNT {
            events += &format!("id: {number}\ndata: {adapter} {number}\n\n");
        }
        respond(200, signed, &events)
    }
}

impl StandInState {
    fn order(&mut self, body: &[u8]) -> u16 {
        let Ok(order) = stand_in::read_order(body) else { return 400 };
        self.orders.push((Instant::now(), order.holder.clone(), order.fence));
        if order.expect != Some(self.sequence) {
            return 409;
        }
        self.fences.insert(order.fence);
        self.sequence += 1;
        if order.load {
            self.held.insert(order.name, 1);
            let adapters = self.held.keys().filter(|it| it.contains('/')).count();
            self.max_adapters = self.max_adapters.max(adapters);
            return 202;
        }
        self.held.remove(&order.name);
        200
    }
}

/// Whether a path is that of orders or of report requests.
fn is_control(path: &str) -> bool {
    [platform::target::ORDER_PATH, platform::target::REPORT_PATH].contains(&path)
}

fn respond(status: u16, headers: HeaderMap, body: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_owned())));
    *response.status_mut() = StatusCode::from_u16(status).expect("a status");
    *response.headers_mut() = headers;
    response
}

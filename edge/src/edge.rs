//! The state that all tasks of the process share, and the execution of the host's outputs.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use body::Bodies;
use bytes::Bytes;
use fleet::{Event, Host, Input, Order, OrderOutcome, Output, Reply, Report, Tag};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use peer::Hub;
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep, timeout},
};
use wire::HostId;

use crate::{
    active::ActiveRequests,
    client::{Client, Connection, SendError},
    count::Count,
    crash::CrashChecks,
    disk::DiskQueue,
    log::Log,
    metrics::Metrics,
    place::Places,
    signal::Signal,
    software::StreamWaits,
};

/// Time limit for the answer to an order. Targets answer at once, and the answer to the next
/// order shows what became of an unanswered one.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the answer to the question whether a load has ended. It is asked again at no cost.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for a target's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of bits that are left for the operators' calls of one process.
const FIRST_TAG_SHIFT: u32 = 24;

/// A running host and the resources of its process.
pub(crate) struct Edge {
    pub(crate) host: RefCell<Host>,
    /// The host's name, in orders.
    pub(crate) name: String,
    pub(crate) hub: Hub,
    /// None on a host without a data folder.
    pub(crate) disk: Option<DiskQueue>,
    /// Connections for callers' requests.
    pub(crate) client: Client,
    /// Connections for orders and report requests. Their answers carry no id, so that an answer to a
    /// caller's request that comes a second time must not arrive on one of them.
    pub(crate) control_client: Client,
    /// Wakes requests that wait for a target.
    pub(crate) wake: Notify,
    /// The bodies of callers' requests.
    pub(crate) bodies: Bodies,
    /// The bodies of operators' and targets' calls.
    pub(crate) call_bodies: Bodies,
    /// Closes the callers' listener, and every connection once its current request is answered.
    pub(crate) closing: Signal,
    /// Operators' calls that wait for a reply.
    pub(crate) pending_calls: RefCell<HashMap<Tag, oneshot::Sender<Reply>>>,
    pub(crate) next_tag: Cell<Tag>,
    pub(crate) permits: crate::permit::PermitTable,
    pub(crate) crash_checks: CrashChecks,
    pub(crate) streams: StreamWaits,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    /// The places of clients' connections at each listener.
    pub(crate) places: RefCell<Vec<Rc<Places>>>,
    /// Callers' requests in progress.
    pub(crate) active: ActiveRequests,
    /// Callers' connections and their listener, as long as they are open: a request may not have been read,
    /// and an answer may be on its way after its request has ended.
    pub(crate) unfinished: Count,
    /// Calls of operators and targets, and questions, whose answers were not taken yet.
    pub(crate) calls: Count,
    /// Connections to targets that are opened or passed on for other hosts.
    pub(crate) passed_on: Count,
    /// Set once the process was told to end.
    pub(crate) stopping: Signal,
    /// Set once the process waits only for the calls that it has, before it ends.
    pub(crate) drained: Signal,
    /// When the process started, by [`clock`].
    started: Duration,
}

/// Returns the time since the machine started. It includes time spent suspended, so that
/// leases expire during a suspension.
pub(crate) fn clock() -> Duration {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    time.map(Duration::from).unwrap_or_default()
}

/// Returns the time of day, in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Returns the number of the first operator's call. It differs from process to process, so that a late
/// reply to a former one answers no call of this one, and is far from the numbers that the host assigns.
fn first_tag() -> Tag {
    u64::from(rand::random::<u32>()) << FIRST_TAG_SHIFT
}

impl Edge {
    pub(crate) fn new(
        host: Host,
        hub: Hub,
        disk: Option<DiskQueue>,
        log: Log,
        started: Duration,
    ) -> Rc<Edge> {
        Rc::new(Edge {
            name: host.settings().name.clone(),
            bodies: Bodies::new(host.settings().resources.body_memory()),
            call_bodies: Bodies::new(host.settings().resources.call_memory()),
            hub,
            disk,
            client: Client::new(host.settings().resources.answer_memory()),
            control_client: Client::new(host.settings().resources.report_memory()),
            wake: Notify::new(),
            closing: Signal::default(),
            pending_calls: RefCell::default(),
            next_tag: Cell::new(first_tag()),
            permits: Default::default(),
            crash_checks: CrashChecks::default(),
            streams: StreamWaits::default(),
            log,
            metrics: Metrics::new(),
            places: RefCell::default(),
            active: ActiveRequests::default(),
            unfinished: Count::default(),
            calls: Count::default(),
            passed_on: Count::default(),
            stopping: Signal::default(),
            drained: Signal::default(),
            started,
            host: RefCell::new(host),
        })
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> Duration {
        clock().saturating_sub(self.started)
    }

    /// Passes an input to the host and carries out the outputs.
    pub(crate) fn step(self: &Rc<Edge>, input: Input) {
        let outputs = self.host.borrow_mut().handle(self.now(), input);
        self.carry_out(outputs);
    }

    /// Carries out the host's outputs in order.
    pub(crate) fn carry_out(self: &Rc<Edge>, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, msg } => self.hub.send(to, &msg),
                Output::Write(write) => {
                    if let Some(disk) = &self.disk {
                        disk.write(write);
                    }
                }
                Output::WriteRecord { ticket, records } => {
                    if let Some(disk) = &self.disk {
                        disk.write_records(ticket, records);
                    }
                }
                Output::RotateRecords => {
                    if let Some(disk) = &self.disk {
                        disk.rotate_records();
                    }
                }
                Output::MarkRecords { complete } => {
                    if let Some(disk) = &self.disk {
                        disk.mark_records(complete);
                    }
                }
                Output::Reopen(after) => {
                    if let Some(disk) = &self.disk {
                        disk.reopen(after);
                    }
                }
                Output::Order(order) => self.start_order(order),
                Output::CheckLoad { order, after } => self.check_load(order, after),
                Output::FetchReport { target, addr, request } => {
                    self.start_report(target, addr, request)
                }
                Output::Answer { tag, reply } => {
                    if let Some(call) = self.pending_calls.borrow_mut().remove(&tag) {
                        let _ = call.send(reply);
                    }
                }
                Output::Config(body) => self.apply_config(&body),
                Output::PrefillReply { permit_id, granted, backlog } => {
                    self.permits.update(permit_id, granted, backlog);
                }
                Output::StreamRecorded { stream } => self.streams.recorded(stream),
                Output::StreamSoftware { stream, software } => {
                    self.streams.found(stream, software);
                }
                Output::DropConnections => {
                    self.client.drop_idle();
                    self.control_client.drop_idle();
                }
                Output::ProbePath { target, addr } => self.probe(target, addr),
                Output::RetryWaiting => self.wake.notify_waiters(),
                Output::Log(event) => self.log.event(&event),
            }
        }
    }

    fn apply_config(&self, body: &[u8]) {
        let body = desired::unpack(body).unwrap_or_default();
        match platform::config::read_config(&body) {
            Ok(config) => self.host.borrow_mut().set_config(config),
            Err(error) => self.log.event(&Event::Alarm { what: error.to_string() }),
        }
        self.wake.notify_waiters();
    }

    /// Passes an operator's call to the host and waits for the reply.
    pub(crate) async fn call(self: &Rc<Edge>, input: impl FnOnce(Tag) -> Input) -> Reply {
        let tag = self.next_tag.replace(self.next_tag.get() + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(tag, sender);
        self.step(input(tag));
        receiver.await.unwrap_or(Reply::Unknown)
    }

    /// Returns another host's address, with the port of the given address of this host.
    pub(crate) fn addr_of(&self, host: HostId, own: SocketAddr) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::from(host)), own.port())
    }

    /// Sends an order in a task of its own; the outcome becomes an input of the host.
    fn start_order(self: &Rc<Edge>, order: Order) {
        let edge = self.clone();
        tokio::task::spawn_local(async move {
            let kind = if order.load { "load" } else { "unload" };
            let outcome = edge.send_order_within(&order, kind, ORDER_TIMEOUT).await;
            edge.step(Input::OrderEnded { order, outcome });
        });
    }

    /// Asks a target after a while, in a task of its own, whether a load has ended.
    fn check_load(self: &Rc<Edge>, order: Order, after: Duration) {
        let edge = self.clone();
        tokio::task::spawn_local(async move {
            sleep(after).await;
            let outcome = edge.send_order_within(&order, "check", CHECK_TIMEOUT).await;
            edge.step(Input::LoadChecked { order, outcome });
        });
    }

    /// Sends an order, and counts its outcome under `kind`.
    async fn send_order_within(
        self: &Rc<Edge>,
        order: &Order,
        kind: &str,
        limit: Duration,
    ) -> OrderOutcome {
        let sent = timeout(limit, self.send_order(order)).await;
        let outcome = sent.unwrap_or(OrderOutcome::Unknown);
        self.metrics.order_ended(kind, outcome);
        outcome
    }

    async fn send_order(self: &Rc<Edge>, order: &Order) -> OrderOutcome {
        let body = platform::target::order_body(order, &self.name);
        let request = self.control_request(
            Method::POST,
            platform::target::ORDER_PATH,
            &order.target,
            &order.addr,
            body,
        );
        let Some(request) = request else { return OrderOutcome::NotSent };
        // A pooled connection that has closed meanwhile gives `NotSent`; the order is then sent
        // over a new one.
        let mut reused = self.control_client.reuse(&order.target);
        loop {
            let open = match reused.take() {
                Some(open) => open,
                None => match self.open_directly(&order.target, &order.addr).await {
                    Some(open) => open,
                    None => return OrderOutcome::NotSent,
                },
            };
            // The lease may have run out while the connection was opened, or the process stood still.
            if !self.host.borrow().may_order(self.now(), order) {
                return OrderOutcome::NotSent;
            }
            match self.exchange(open, request.clone()).await {
                Ok((status, ..)) => {
                    let status = status.as_u16();
                    return platform::target::order_outcome(status);
                }
                Err(SendError::NotSent) => {}
                Err(SendError::Lost | SendError::NoStatus) => return OrderOutcome::Unknown,
            }
        }
    }

    /// Sends a control request, and puts the connection into the pool after a complete answer.
    /// The body is none if it is truncated or too long. An answer that names an attempt belongs to a
    /// caller's request.
    async fn exchange(
        &self,
        mut open: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, HeaderMap, Option<Bytes>), SendError> {
        let (parts, body) = open.send(request).await?.into_parts();
        if !platform::request::names_no_attempt(&parts.headers) {
            return Err(SendError::Lost);
        }
        let body = self.control_client.collect(body).await;
        if body.is_some() {
            self.control_client.keep(open, &parts.headers);
        }
        Ok((parts.status, parts.headers, body))
    }

    /// Requests a report in a task of its own; the result becomes an input of the host.
    fn start_report(self: &Rc<Edge>, target: String, addr: String, request: u64) {
        let edge = self.clone();
        tokio::task::spawn_local(async move {
            let fetched = timeout(REPORT_TIMEOUT, edge.fetch_report(&target, &addr)).await;
            let report = fetched.ok().flatten();
            edge.step(Input::ReportReceived { target, request, report });
        });
    }

    async fn fetch_report(self: &Rc<Edge>, target: &str, addr: &str) -> Option<Report> {
        let request = self.control_request(
            Method::GET,
            platform::target::REPORT_PATH,
            target,
            addr,
            Vec::new(),
        )?;
        let open = match self.control_client.reuse(target) {
            Some(open) => open,
            None => self.open_directly(target, addr).await?,
        };
        let (status, _, body) = self.exchange(open, request).await.ok()?;
        let body = body?;
        if !status.is_success() {
            return None;
        }
        match platform::target::read_report(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                self.log.event(&Event::Alarm { what: format!("report of {target}: {error}") });
                None
            }
        }
    }

    /// Returns a request that is no caller's, meant for one target only.
    pub(crate) fn control_request(
        &self,
        method: Method,
        path: &str,
        target: &str,
        addr: &str,
        body: Vec<u8>,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request =
            Request::builder().method(method).uri(path).body(Full::from(body)).ok()?;
        *request.headers_mut() = platform::request::control_headers(target);
        let host = http::HeaderValue::from_str(addr).ok()?;
        request.headers_mut().insert(http::header::HOST, host);
        Some(request)
    }
}

//! A stand-in plain service that executes calls and counts them.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use api::{
    LoadBody, Refusal, ReportBody,
    header::{FENCE, IDEMPOTENCY_KEY, INCARNATION, RAN, REQUEST},
};
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use wire::Fence;

use crate::{
    announce::StandIn,
    counts::Counts,
    fence::HighestFence,
    options::Options,
    server::{Body, Handler, HandlerResult, Hangup, empty, header, json},
};

/// A call whose body contains this word is executed, and its connection is closed without a
/// response.
pub const DROP: &str = "DROP";
/// A call whose body contains this word ends the process.
pub const CRASH: &str = "CRASH";
const CRASH_STATUS: i32 = 1;
/// Time allowed for a finished response to be written to its connection before the service counts
/// as idle.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// The JSON response of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallReply {
    /// Name of the service.
    pub service: String,
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub body: String,
    /// Sequence number of the call since the process started, from 1.
    pub run: u64,
}

/// A stand-in plain service, served over HTTP.
pub struct Service {
    name: String,
    options: Options,
    work: Duration,
    state: Mutex<State>,
}

struct State {
    running: u32,
    /// Finished responses that may not have been written yet.
    flushing: u32,
    runs: u64,
    leaving: bool,
    fence: HighestFence,
    counts: Counts,
}

impl Service {
    /// Creates a service. Each call takes `work`.
    pub fn new(name: String, options: Options, work: Duration) -> Arc<Service> {
        let counts = Counts { incarnation: options.incarnation, ..Counts::default() };
        let state = State {
            running: 0,
            flushing: 0,
            runs: 0,
            leaving: false,
            fence: HighestFence::default(),
            counts,
        };
        Arc::new(Service { name, options, work, state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    async fn call(self: Arc<Self>, request: Request<Bytes>) -> HandlerResult {
        let body = String::from_utf8_lossy(request.body()).into_owned();
        let run = match self.admit(&request, &body) {
            Ok(run) => run,
            Err(reason) => {
                self.lock().counts.count_refusal(reason);
                let refusal = Refusal { refused: reason.to_owned() };
                return Ok(json(StatusCode::CONFLICT, &refusal));
            }
        };
        if body.contains(CRASH) {
            std::process::exit(CRASH_STATUS);
        }
        sleep(self.work).await;
        let dropped = body.contains(DROP);
        let path = request.uri().path().to_owned();
        let reply = CallReply { service: self.name.clone(), path, body, run };
        let response = self.respond(&request, &reply);
        {
            let mut state = self.lock();
            state.running -= 1;
            state.flushing += 1;
        }
        tokio::spawn(async move {
            sleep(FLUSH_TIME).await;
            self.lock().flushing -= 1;
        });
        if dropped { Err(Hangup) } else { Ok(response) }
    }

    fn admit(&self, request: &Request<Bytes>, body: &str) -> Result<u64, &'static str> {
        let mut state = self.lock();
        let incarnation = header(request, INCARNATION);
        if !incarnation.is_empty() && incarnation != self.options.incarnation.to_string() {
            return Err("other_incarnation");
        }
        if let Ok(fence) = header(request, FENCE).parse() {
            state.fence.check(fence, self.options.fenced)?;
        }
        if state.leaving {
            return Err("leaving");
        }
        if state.running >= self.options.capacity.requests {
            return Err("full");
        }
        state.running += 1;
        state.runs += 1;
        let running = state.running;
        state.counts.count_concurrent(&self.name, running);
        state.counts.count_execution(
            header(request, REQUEST),
            header(request, IDEMPOTENCY_KEY),
            body,
        );
        Ok(state.runs)
    }

    fn respond(&self, request: &Request<Bytes>, reply: &CallReply) -> Response<Body> {
        let mut response = json(StatusCode::OK, reply);
        let headers = response.headers_mut();
        if let Some(id) = request.headers().get(REQUEST) {
            headers.insert(REQUEST, id.clone());
        }
        if let Ok(name) = HeaderValue::from_str(&self.name) {
            headers.insert(RAN, name);
        }
        headers.insert(INCARNATION, HeaderValue::from(self.options.incarnation));
        response
    }
}

impl StandIn for Service {
    fn report(&self) -> ReportBody {
        let state = self.lock();
        ReportBody {
            name: self.options.name.clone(),
            addr: self.options.addr.to_string(),
            domain: self.options.domain.clone(),
            kind: self.options.kind.clone(),
            capacity: self.options.capacity,
            fenced: self.options.fenced,
            incarnation: self.options.incarnation,
            seq: 0,
            fence: state.fence.0,
            age_ms: 0,
            loaded: Vec::new(),
            busy: Vec::new(),
            load: LoadBody { running: state.running, queued: 0 },
            leaving: state.leaving,
        }
    }

    fn observe_fence(&self, fence: Fence) {
        self.lock().fence.observe(fence);
    }

    fn leave(&self) {
        self.lock().leaving = true;
    }

    fn is_idle(&self) -> bool {
        let state = self.lock();
        state.running == 0 && state.flushing == 0
    }
}

impl Handler for Service {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult> {
        async move {
            if request.method() == Method::POST {
                // A separate task, so that a lost connection does not abort the call.
                let call = tokio::spawn(self.call(request));
                return call.await.unwrap_or(Err(Hangup));
            }
            if request.uri().path() == "/v1/counts" {
                return Ok(json(StatusCode::OK, &self.lock().counts));
            }
            Ok(empty(StatusCode::NOT_FOUND))
        }
        .boxed()
    }
}

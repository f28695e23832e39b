//! A stand-in plain service.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use api::{
    LoadBody, Refusal, ReportBody,
    header::{FENCE, INCARNATION, KEY, RAN, REQUEST},
};
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use wire::Fence;

use crate::{
    announce::Announced,
    counts::Counts,
    fence::Highest,
    options::Options,
    server::{Answer, Body, Handler, Hangup, empty, header, json},
};

/// A body with this word is run, and its connection is closed without an answer.
pub const DROP: &str = "DROP";
/// A body with this word ends the process.
pub const CRASH: &str = "CRASH";
const CRASH_STATUS: i32 = 1;
/// Time from the last answer's end until it has left the process.
const FLUSH: Duration = Duration::from_millis(50);

/// What a call answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// The service.
    pub service: String,
    /// The path of the call.
    pub path: String,
    /// The body of the call.
    pub body: String,
    /// Counts the calls that the process ran.
    pub run: u64,
}

/// A stand-in plain service.
pub struct Service {
    name: String,
    options: Options,
    work: Duration,
    tables: Mutex<Tables>,
}

struct Tables {
    running: u32,
    /// Answers on their way out of the process.
    flushing: u32,
    runs: u64,
    leaving: bool,
    fence: Highest,
    counts: Counts,
}

impl Service {
    /// Makes a service by name. A call takes `work`.
    pub fn new(name: String, options: Options, work: Duration) -> Arc<Service> {
        let counts = Counts { incarnation: options.incarnation, ..Counts::default() };
        let tables = Tables {
            running: 0,
            flushing: 0,
            runs: 0,
            leaving: false,
            fence: Highest::default(),
            counts,
        };
        Arc::new(Service { name, options, work, tables: Mutex::new(tables) })
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().expect("no holder panics")
    }

    async fn call(self: Arc<Self>, request: Request<Bytes>) -> Answer {
        let body = String::from_utf8_lossy(request.body()).into_owned();
        let run = match self.admit(&request, &body) {
            Ok(run) => run,
            Err(reason) => {
                self.lock().counts.refused(reason);
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
        let ran = Ran { service: self.name.clone(), path, body, run };
        let response = self.respond(&request, &ran);
        {
            let mut tables = self.lock();
            tables.running -= 1;
            tables.flushing += 1;
        }
        tokio::spawn(async move {
            sleep(FLUSH).await;
            self.lock().flushing -= 1;
        });
        if dropped { Err(Hangup) } else { Ok(response) }
    }

    fn admit(&self, request: &Request<Bytes>, body: &str) -> Result<u64, &'static str> {
        let mut tables = self.lock();
        let incarnation = header(request, INCARNATION);
        if !incarnation.is_empty() && incarnation != self.options.incarnation.to_string() {
            return Err("other_incarnation");
        }
        if let Ok(fence) = header(request, FENCE).parse() {
            tables.fence.check(fence, self.options.fenced)?;
        }
        if tables.leaving {
            return Err("leaving");
        }
        if tables.running >= self.options.capacity.requests {
            return Err("full");
        }
        tables.running += 1;
        tables.runs += 1;
        let running = tables.running;
        tables.counts.used(&self.name, running);
        tables.counts.executed(header(request, REQUEST), header(request, KEY), body);
        Ok(tables.runs)
    }

    fn respond(&self, request: &Request<Bytes>, ran: &Ran) -> Response<Body> {
        let mut response = json(StatusCode::OK, ran);
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

impl Announced for Service {
    fn report(&self) -> ReportBody {
        let tables = self.lock();
        ReportBody {
            name: self.options.name.clone(),
            addr: self.options.addr.to_string(),
            domain: self.options.domain.clone(),
            kind: self.options.kind.clone(),
            capacity: self.options.capacity,
            fenced: self.options.fenced,
            incarnation: self.options.incarnation,
            seq: 0,
            fence: tables.fence.0,
            age_ms: 0,
            loaded: Vec::new(),
            busy: Vec::new(),
            load: LoadBody { running: tables.running, queued: 0 },
            leaving: tables.leaving,
        }
    }

    fn saw_fence(&self, fence: Fence) {
        self.lock().fence.see(fence);
    }

    fn leave(&self) {
        self.lock().leaving = true;
    }

    fn idle(&self) -> bool {
        let tables = self.lock();
        tables.running == 0 && tables.flushing == 0
    }
}

impl Handler for Service {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Answer> {
        async move {
            if request.method() == Method::POST {
                // A connection that is lost must not stop the call.
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

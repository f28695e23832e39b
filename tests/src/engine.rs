//! A stand-in model engine.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use api::{
    KindBody, LoadBody, OrderBody, OrderReply, Refusal, ReportBody,
    header::{FENCE, INCARNATION, KEY, RAN, REQUEST},
};
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;
use wire::Fence;

use crate::{
    announce::Announced,
    answer::{Generation, Phase},
    counts::Counts,
    fence::Highest,
    options::Options,
    server::{Answer, Body, Handler, empty, header, json as json_response},
    text,
};

/// A prompt with this word ends the process.
pub const CRASH: &str = "CRASH";
const KEEP_ANSWERS: Duration = Duration::from_secs(30);
const DEFAULT_TOKENS: u32 = 16;
const MAX_TOKENS: u32 = 100_000;
const CRASH_STATUS: i32 = 1;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// How long a load takes.
    pub load: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Share of loads that fail, in percent.
    pub failing: u32,
}

/// A stand-in model engine.
pub struct Engine {
    options: Options,
    behaviour: Behaviour,
    tables: Mutex<Tables>,
}

struct Tables {
    loaded: BTreeSet<String>,
    loading: BTreeMap<String, u32>,
    running: BTreeMap<String, u32>,
    answers: BTreeMap<String, Arc<Generation>>,
    fence: Highest,
    leaving: bool,
    readers: u32,
    rng: ChaCha8Rng,
    counts: Counts,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// Counts a body that is being read until it is dropped.
struct Reader(Arc<Engine>);

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.lock().readers -= 1;
    }
}

impl Engine {
    /// Makes an engine that holds no adapter.
    pub fn new(options: Options, behaviour: Behaviour) -> Arc<Engine> {
        let tables = Tables {
            loaded: BTreeSet::new(),
            loading: BTreeMap::new(),
            running: BTreeMap::new(),
            answers: BTreeMap::new(),
            fence: Highest::default(),
            leaving: false,
            readers: 0,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            counts: Counts { incarnation: options.incarnation, ..Counts::default() },
        };
        Arc::new(Engine { options, behaviour, tables: Mutex::new(tables) })
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().expect("no holder panics")
    }

    fn refuse(&self, reason: &str) -> Response<Body> {
        self.lock().counts.refused(reason);
        json_response(StatusCode::CONFLICT, &Refusal { refused: reason.to_owned() })
    }

    async fn order(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<OrderBody>(request.body()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if let Err(reason) = self.accept(&order) {
            return self.refuse(reason);
        }
        let result = match order.action.as_str() {
            "load" => self.load(&order.adapter).await,
            "evict" => self.evict(&order.adapter),
            _ => return empty(StatusCode::BAD_REQUEST),
        };
        if let Err(reason) = result {
            return self.refuse(reason);
        }
        let loaded = self.lock().loaded.iter().cloned().collect();
        json_response(StatusCode::OK, &OrderReply { loaded })
    }

    fn accept(&self, order: &OrderBody) -> Result<(), &'static str> {
        if order.incarnation != self.options.incarnation {
            return Err("other_incarnation");
        }
        let mut tables = self.lock();
        if order.fence < tables.fence.0 && !self.options.fenced {
            tables.counts.old_orders += 1;
        }
        tables.fence.check(order.fence, self.options.fenced)
    }

    async fn load(&self, adapter: &str) -> Result<(), &'static str> {
        let fails = {
            let mut tables = self.lock();
            if tables.loaded.contains(adapter) {
                return Ok(());
            }
            let held = tables.loaded.len() + tables.loading.len();
            let known = tables.loading.contains_key(adapter);
            if !known && held >= self.options.capacity.adapters as usize {
                return Err("full");
            }
            *tables.loading.entry(adapter.to_owned()).or_default() += 1;
            tables.rng.random_range(0..100) < self.behaviour.failing
        };
        sleep(self.behaviour.load).await;
        let mut tables = self.lock();
        release(&mut tables.loading, adapter);
        if fails {
            return Err("load_failed");
        }
        if tables.loaded.insert(adapter.to_owned()) {
            tables.counts.loads += 1;
        }
        Ok(())
    }

    /// Carries out an eviction without care for requests in progress.
    fn evict(&self, adapter: &str) -> Result<(), &'static str> {
        let mut tables = self.lock();
        if !tables.loaded.remove(adapter) {
            return Ok(());
        }
        tables.counts.evictions += 1;
        if tables.running.contains_key(adapter) {
            tables.counts.violations.push(adapter.to_owned());
        }
        Ok(())
    }

    fn complete(self: Arc<Self>, request: &Request<Bytes>) -> Response<Body> {
        let Ok(body) = serde_json::from_slice::<Completion>(request.body()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if let Err(reason) = self.admit(request, &body) {
            return self.refuse(reason);
        }
        if body.prompt.contains(CRASH) {
            std::process::exit(CRASH_STATUS);
        }
        let id = header(request, REQUEST).to_owned();
        let content = if body.stream { "text/event-stream" } else { "application/json" };
        let answer = Generation::new(body.model.clone(), content);
        self.lock().answers.insert(id.clone(), answer.clone());
        tokio::spawn(self.clone().generate(id.clone(), body, answer.clone()));
        self.respond(&id, answer, 0)
    }

    /// Takes a place for a request, or says why it is refused.
    fn admit(&self, request: &Request<Bytes>, body: &Completion) -> Result<(), &'static str> {
        let incarnation = header(request, INCARNATION);
        if !incarnation.is_empty() && incarnation != self.options.incarnation.to_string() {
            return Err("other_incarnation");
        }
        let mut tables = self.lock();
        if let Ok(fence) = header(request, FENCE).parse() {
            tables.fence.check(fence, self.options.fenced)?;
        }
        if tables.leaving {
            return Err("leaving");
        }
        if !tables.loaded.contains(&body.model) {
            return Err("not_loaded");
        }
        if tables.total_running() >= self.options.capacity.requests {
            return Err("full");
        }
        let uses = tables.running.entry(body.model.clone()).or_default();
        *uses += 1;
        let uses = *uses;
        tables.counts.used(&body.model, uses);
        let id = header(request, REQUEST);
        tables.counts.executed(id, header(request, KEY), &body.prompt);
        Ok(())
    }

    /// Generates an answer to its end, whether or not anyone reads it.
    async fn generate(self: Arc<Self>, id: String, body: Completion, answer: Arc<Generation>) {
        let tokens = body.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS);
        for i in 0..tokens {
            tokio::select! {
                () = sleep(self.behaviour.token) => {}
                () = answer.ended() => break,
            }
            if body.stream {
                answer.push(&event(&id, &body, i));
            }
        }
        if body.stream {
            answer.push(api::STREAM_END);
        } else {
            answer.push(&whole(&id, &body, tokens));
        }
        let mut tables = self.lock();
        release(&mut tables.running, &body.model);
        if !answer.end(Phase::Whole(Instant::now())) {
            tables.counts.cancelled += 1;
        }
    }

    fn respond(
        self: Arc<Self>,
        id: &str,
        answer: Arc<Generation>,
        offset: usize,
    ) -> Response<Body> {
        self.lock().readers += 1;
        let content = answer.content;
        let ran = answer.adapter.clone();
        let incarnation = self.options.incarnation;
        let response = Response::builder()
            .header(CONTENT_TYPE, content)
            .header(REQUEST, id)
            .header(RAN, ran)
            .header(INCARNATION, incarnation)
            .body(answer.body(offset, Reader(self)));
        response.unwrap_or_else(|_| empty(StatusCode::BAD_REQUEST))
    }

    fn resume(self: Arc<Self>, id: &str, request: &Request<Bytes>) -> Response<Body> {
        let query = request.uri().query().unwrap_or_default();
        let offset = query.split('&').find_map(|it| it.strip_prefix("offset="));
        let Ok(offset) = offset.unwrap_or("0").parse() else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let answer = self.lock().answers.get(id).cloned();
        match answer {
            Some(answer) => self.respond(id, answer, offset),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let answer = self.lock().answers.get(id).cloned();
        match answer {
            Some(answer) => {
                answer.end(Phase::Cancelled(Instant::now()));
                empty(StatusCode::NO_CONTENT)
            }
            None => empty(StatusCode::NOT_FOUND),
        }
    }
}

impl Tables {
    fn total_running(&self) -> u32 {
        self.running.values().sum()
    }

    /// Drops answers that ended long ago.
    fn forget_old(&mut self) {
        self.answers.retain(|_, answer| match answer.phase() {
            Phase::Running => true,
            Phase::Whole(at) | Phase::Cancelled(at) => at.elapsed() < KEEP_ANSWERS,
        });
    }
}

/// Takes one from a count and drops it at zero.
fn release(counts: &mut BTreeMap<String, u32>, name: &str) {
    let Some(count) = counts.get_mut(name) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(name);
    }
}

fn event(id: &str, body: &Completion, position: u32) -> Vec<u8> {
    let token = text::token(&body.model, &body.prompt, position);
    let event = json!({
        "id": id,
        "object": "text_completion",
        "model": body.model,
        "choices": [{ "index": 0, "text": token, "finish_reason": null }],
    });
    format!("data: {event}\n\n").into_bytes()
}

fn whole(id: &str, body: &Completion, tokens: u32) -> Vec<u8> {
    let text = text::answer(&body.model, &body.prompt, tokens);
    let whole = json!({
        "id": id,
        "object": "text_completion",
        "model": body.model,
        "choices": [{ "index": 0, "text": text, "finish_reason": "length" }],
        "usage": { "completion_tokens": tokens },
    });
    whole.to_string().into_bytes()
}

impl Announced for Engine {
    fn report(&self) -> ReportBody {
        let mut tables = self.lock();
        tables.forget_old();
        ReportBody {
            name: self.options.name.clone(),
            addr: self.options.addr.to_string(),
            domain: self.options.domain.clone(),
            kind: KindBody::clone(&self.options.kind),
            capacity: self.options.capacity,
            fenced: self.options.fenced,
            incarnation: self.options.incarnation,
            seq: 0,
            fence: tables.fence.0,
            age_ms: 0,
            loaded: tables.loaded.iter().cloned().collect(),
            busy: tables.running.keys().cloned().collect(),
            load: LoadBody { running: tables.total_running(), queued: 0 },
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
        tables.running.is_empty() && tables.readers == 0
    }
}

impl Handler for Engine {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Answer> {
        async move {
            let path = request.uri().path().to_owned();
            let id = path.strip_prefix("/v1/requests/").unwrap_or_default();
            let response = match (request.method(), path.as_str()) {
                (&Method::POST, "/v1/orders") => {
                    // A connection that is lost must not stop the order.
                    let order = tokio::spawn(self.order(request));
                    order.await.unwrap_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR))
                }
                (&Method::POST, "/v1/completions") => self.complete(&request),
                (&Method::GET, "/v1/counts") => json_response(StatusCode::OK, &self.lock().counts),
                (&Method::GET, _) if !id.is_empty() => self.resume(id, &request),
                (&Method::DELETE, _) if !id.is_empty() => self.cancel(id),
                _ => empty(StatusCode::NOT_FOUND),
            };
            Ok(response)
        }
        .boxed()
    }
}

//! A stand-in model engine with simulated loads, evictions and completions.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use api::{
    KindBody, LoadBody, OrderBody, OrderReply, Refusal, ReportBody,
    header::{FENCE, IDEMPOTENCY_KEY, INCARNATION, RAN, REQUEST},
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
    announce::StandIn,
    answer::{Generation, Phase},
    counts::Counts,
    fence::HighestFence,
    options::Options,
    server::{Body, Handler, HandlerResult, empty, header, json as json_response},
    text,
};

/// A prompt that contains this word ends the process.
pub const CRASH: &str = "CRASH";
/// Time for which an ended answer can still be resumed.
const ANSWER_RETENTION: Duration = Duration::from_secs(30);
const DEFAULT_TOKENS: u32 = 16;
const MAX_TOKENS: u32 = 100_000;
const CRASH_STATUS: i32 = 1;

/// Timing and failure rate of an engine.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Duration of an adapter load.
    pub load_time: Duration,
    /// Time before each token.
    pub token_interval: Duration,
    /// Percentage of loads that fail.
    pub fail_percent: u32,
}

/// A stand-in model engine, served over HTTP.
pub struct Engine {
    options: Options,
    behaviour: Behaviour,
    state: Mutex<State>,
}

struct State {
    loaded: BTreeSet<String>,
    loading: BTreeMap<String, u32>,
    running: BTreeMap<String, u32>,
    answers: BTreeMap<String, Arc<Generation>>,
    fence: HighestFence,
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

/// Counts a response body as open until it is dropped.
struct ReaderGuard(Arc<Engine>);

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.0.lock().readers -= 1;
    }
}

impl Engine {
    /// Creates an engine without loaded adapters.
    pub fn new(options: Options, behaviour: Behaviour) -> Arc<Engine> {
        let state = State {
            loaded: BTreeSet::new(),
            loading: BTreeMap::new(),
            running: BTreeMap::new(),
            answers: BTreeMap::new(),
            fence: HighestFence::default(),
            leaving: false,
            readers: 0,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            counts: Counts { incarnation: options.incarnation, ..Counts::default() },
        };
        Arc::new(Engine { options, behaviour, state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn refuse(&self, reason: &str) -> Response<Body> {
        self.lock().counts.count_refusal(reason);
        json_response(StatusCode::CONFLICT, &Refusal { refused: reason.to_owned() })
    }

    async fn order(self: Arc<Self>, request: Request<Bytes>) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<OrderBody>(request.body()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if let Err(reason) = self.check_order(&order) {
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

    fn check_order(&self, order: &OrderBody) -> Result<(), &'static str> {
        if order.incarnation != self.options.incarnation {
            return Err("other_incarnation");
        }
        let mut state = self.lock();
        if order.fence < state.fence.0 && !self.options.fenced {
            state.counts.old_orders += 1;
        }
        state.fence.check(order.fence, self.options.fenced)
    }

    async fn load(&self, adapter: &str) -> Result<(), &'static str> {
        let fails = {
            let mut state = self.lock();
            if state.loaded.contains(adapter) {
                return Ok(());
            }
            let held = state.loaded.len() + state.loading.len();
            let known = state.loading.contains_key(adapter);
            if !known && held >= self.options.capacity.adapters as usize {
                return Err("full");
            }
            *state.loading.entry(adapter.to_owned()).or_default() += 1;
            state.rng.random_range(0..100) < self.behaviour.fail_percent
        };
        sleep(self.behaviour.load_time).await;
        let mut state = self.lock();
        decrement(&mut state.loading, adapter);
        if fails {
            return Err("load_failed");
        }
        if state.loaded.insert(adapter.to_owned()) {
            state.counts.loads += 1;
        }
        Ok(())
    }

    /// Evicts an adapter even if requests use it, and records that as a violation.
    fn evict(&self, adapter: &str) -> Result<(), &'static str> {
        let mut state = self.lock();
        if !state.loaded.remove(adapter) {
            return Ok(());
        }
        state.counts.evictions += 1;
        if state.running.contains_key(adapter) {
            state.counts.violations.push(adapter.to_owned());
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
        let content_type = if body.stream { "text/event-stream" } else { "application/json" };
        let answer = Generation::new(body.model.clone(), content_type);
        self.lock().answers.insert(id.clone(), answer.clone());
        tokio::spawn(self.clone().generate(id.clone(), body, answer.clone()));
        self.respond(&id, answer, 0)
    }

    /// Reserves capacity for a request, or returns the reason for its refusal.
    fn admit(&self, request: &Request<Bytes>, body: &Completion) -> Result<(), &'static str> {
        let incarnation = header(request, INCARNATION);
        if !incarnation.is_empty() && incarnation != self.options.incarnation.to_string() {
            return Err("other_incarnation");
        }
        let mut state = self.lock();
        if let Ok(fence) = header(request, FENCE).parse() {
            state.fence.check(fence, self.options.fenced)?;
        }
        if state.leaving {
            return Err("leaving");
        }
        if !state.loaded.contains(&body.model) {
            return Err("not_loaded");
        }
        if state.total_running() >= self.options.capacity.requests {
            return Err("full");
        }
        let uses = state.running.entry(body.model.clone()).or_default();
        *uses += 1;
        let uses = *uses;
        state.counts.count_concurrent(&body.model, uses);
        let id = header(request, REQUEST);
        state.counts.count_execution(id, header(request, IDEMPOTENCY_KEY), &body.prompt);
        Ok(())
    }

    /// Generates a response until it is complete or cancelled, even if its reader has left.
    async fn generate(self: Arc<Self>, id: String, body: Completion, answer: Arc<Generation>) {
        let tokens = body.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS);
        for i in 0..tokens {
            tokio::select! {
                () = sleep(self.behaviour.token_interval) => {}
                () = answer.wait_ended() => break,
            }
            if body.stream {
                answer.push(&event(&id, &body, i));
            }
        }
        if body.stream {
            answer.push(api::STREAM_END);
        } else {
            answer.push(&full_reply(&id, &body, tokens));
        }
        let mut state = self.lock();
        decrement(&mut state.running, &body.model);
        if !answer.end(Phase::Complete(Instant::now())) {
            state.counts.cancelled += 1;
        }
    }

    fn respond(
        self: Arc<Self>,
        id: &str,
        answer: Arc<Generation>,
        offset: usize,
    ) -> Response<Body> {
        self.lock().readers += 1;
        let content_type = answer.content_type;
        let ran = answer.adapter.clone();
        let incarnation = self.options.incarnation;
        let response = Response::builder()
            .header(CONTENT_TYPE, content_type)
            .header(REQUEST, id)
            .header(RAN, ran)
            .header(INCARNATION, incarnation)
            .body(answer.body(offset, ReaderGuard(self)));
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

impl State {
    fn total_running(&self) -> u32 {
        self.running.values().sum()
    }

    /// Drops answers that ended more than [`ANSWER_RETENTION`] ago.
    fn drop_expired(&mut self) {
        self.answers.retain(|_, answer| match answer.phase() {
            Phase::Running => true,
            Phase::Complete(at) | Phase::Cancelled(at) => at.elapsed() < ANSWER_RETENTION,
        });
    }
}

/// Decrements a count and removes it at zero.
fn decrement(counts: &mut BTreeMap<String, u32>, name: &str) {
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

fn full_reply(id: &str, body: &Completion, tokens: u32) -> Vec<u8> {
    let text = text::answer(&body.model, &body.prompt, tokens);
    let reply = json!({
        "id": id,
        "object": "text_completion",
        "model": body.model,
        "choices": [{ "index": 0, "text": text, "finish_reason": "length" }],
        "usage": { "completion_tokens": tokens },
    });
    reply.to_string().into_bytes()
}

impl StandIn for Engine {
    fn report(&self) -> ReportBody {
        let mut state = self.lock();
        state.drop_expired();
        ReportBody {
            name: self.options.name.clone(),
            addr: self.options.addr.to_string(),
            domain: self.options.domain.clone(),
            kind: KindBody::clone(&self.options.kind),
            capacity: self.options.capacity,
            fenced: self.options.fenced,
            incarnation: self.options.incarnation,
            seq: 0,
            fence: state.fence.0,
            age_ms: 0,
            loaded: state.loaded.iter().cloned().collect(),
            busy: state.running.keys().cloned().collect(),
            load: LoadBody { running: state.total_running(), queued: 0 },
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
        state.running.is_empty() && state.readers == 0
    }
}

impl Handler for Engine {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult> {
        async move {
            let path = request.uri().path().to_owned();
            let id = path.strip_prefix("/v1/requests/").unwrap_or_default();
            let response = match (request.method(), path.as_str()) {
                (&Method::POST, "/v1/orders") => {
                    // A separate task, so that a lost connection does not abort the order.
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

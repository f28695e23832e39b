//! Calls and orders to targets.
//!
//! A call is sent once. Only a failure to open its connection proves that it was not sent, so a
//! call that is not idempotent always gets a new connection.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use api::{OrderBody, OrderReply, Refusal, STREAM_END, header};
use bytes::Bytes;
use http::{
    HeaderMap, Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use node::{Call, CallFailure, Input, Order, OrderResult};
use tokio::{task::AbortHandle, time::timeout};
use wire::{Action, RequestId};

use crate::{connect::Connector, credit::Credit, interface::Inbox};

const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum length of a refusal or of the reply to an order, in bytes.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Maximum number of recorded cancellations. They are recorded because a cancellation can arrive
/// before its call.
const MAX_CANCELLED: usize = 4096;

/// The reasons that a target may give for refusing a call or an order.
const REFUSALS: [&str; 6] =
    ["not_loaded", "old_fence", "other_incarnation", "full", "leaving", "load_failed"];

/// A call in progress.
struct Running {
    credit: Arc<Credit>,
    abort: AbortHandle,
}

#[derive(Default)]
/// The calls in progress, and the latest cancelled ones.
struct Calls {
    running: HashMap<RequestId, Running>,
    cancelled: HashSet<RequestId>,
    /// The cancelled calls in the order of their cancellation.
    cancel_order: VecDeque<RequestId>,
}

impl Calls {
    fn record_cancelled(&mut self, request: RequestId) {
        if !self.cancelled.insert(request) {
            return;
        }
        self.cancel_order.push_back(request);
        if self.cancel_order.len() <= MAX_CANCELLED {
            return;
        }
        if let Some(oldest) = self.cancel_order.pop_front() {
            self.cancelled.remove(&oldest);
        }
    }
}

/// The HTTP client for targets.
pub struct TargetClient {
    connector: Connector,
    inbox: Arc<dyn Inbox>,
    calls: Arc<Mutex<Calls>>,
}

impl TargetClient {
    /// Creates a client. The host's clock counts from `start`.
    pub fn new(start: Instant, inbox: Arc<dyn Inbox>) -> TargetClient {
        TargetClient { connector: Connector::new(start), inbox, calls: Arc::default() }
    }

    fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().expect("the lock is not poisoned")
    }

    /// Starts a call, unless it was cancelled before; its events are delivered to the inbox.
    pub fn call(&self, call: Call) {
        let request = call.request;
        let credit = Arc::new(Credit::new(call.credit));
        let mut calls = self.calls();
        if calls.cancelled.contains(&request) {
            return;
        }
        let task = tokio::spawn(run_call(
            self.connector.clone(),
            self.inbox.clone(),
            self.calls.clone(),
            call,
            credit.clone(),
        ));
        calls.running.insert(request, Running { credit, abort: task.abort_handle() });
    }

    /// Adds credit, in bytes, for reading the answer of a call.
    pub fn add_credit(&self, request: RequestId, bytes: u32) {
        if let Some(running) = self.calls().running.get(&request) {
            running.credit.add(bytes);
        }
    }

    /// Aborts a call and sends the cancellation to its target.
    pub fn cancel(&self, request: RequestId, addr: &str) {
        {
            let mut calls = self.calls();
            calls.record_cancelled(request);
            if let Some(running) = calls.running.remove(&request) {
                running.abort.abort();
            }
        }
        let connector = self.connector.clone();
        let addr = addr.to_owned();
        tokio::spawn(async move {
            // If this fails, the target still notices the closed connection.
            let _ = timeout(CANCEL_TIMEOUT, send_cancel(&connector, &addr, request)).await;
        });
    }

    /// Sends an order; its result is delivered to the inbox.
    pub fn order(&self, order: Order) {
        let connector = self.connector.clone();
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let id = order.order;
            let outcome = timeout(ORDER_TIMEOUT, send_order(&connector, order)).await;
            let result = outcome.unwrap_or(OrderResult::Unknown);
            inbox.deliver(Input::OrderEnded { order: id, result }).await;
        });
    }

    /// Returns the number of calls in progress.
    pub fn running(&self) -> usize {
        self.calls().running.len()
    }
}

async fn run_call(
    connector: Connector,
    inbox: Arc<dyn Inbox>,
    calls: Arc<Mutex<Calls>>,
    call: Call,
    credit: Arc<Credit>,
) {
    let request = call.request;
    let ended = send_call(&connector, &*inbox, &call, &credit).await;
    calls.lock().expect("the lock is not poisoned").running.remove(&request);
    if let Err(failure) = ended {
        inbox.deliver(Input::CallFailed { request, failure }).await;
    }
}

fn wrong_answer(detail: impl Into<String>) -> CallFailure {
    CallFailure::WrongAnswer(detail.into())
}

fn call_request(call: &Call) -> Result<Request<Full<Bytes>>, http::Error> {
    let builder = Request::builder()
        .header(HOST, &call.addr)
        .header(header::FENCE, call.fence)
        .header(header::REQUEST, call.request)
        .header(header::INCARNATION, call.incarnation)
        .header(header::PRIORITY, u16::from(call.priority))
        .header(header::RAN, &call.expected_name)
        .header(CONTENT_TYPE, "application/json");
    if let Some(offset) = call.resume_from {
        let path = format!("/v1/requests/{}?offset={offset}", call.request);
        return builder.method(Method::GET).uri(path).body(Full::default());
    }
    builder.method(Method::POST).uri(&call.path).body(Full::new(call.body.clone()))
}

/// Sends a call and delivers its answer; the error says how the call failed.
async fn send_call(
    connector: &Connector,
    inbox: &dyn Inbox,
    call: &Call,
    credit: &Credit,
) -> Result<(), CallFailure> {
    // A call with an invalid path or header can't be encoded, so it is not sent.
    let http_request = call_request(call).map_err(|_| CallFailure::NotSent)?;
    let reused = if call.idempotent { connector.reuse(&call.addr) } else { None };
    let mut sender = match reused {
        Some(sender) => sender,
        None => connector.open(&call.addr).await.ok_or(CallFailure::NotSent)?,
    };
    if connector.lease_expired(call.lease_until) {
        return Err(CallFailure::NotSent);
    }
    let response = sender.send_request(http_request).await.map_err(|_| CallFailure::Lost)?;
    let (parts, body) = response.into_parts();
    if parts.status == StatusCode::CONFLICT {
        return handle_conflict(inbox, call, &parts.headers, body, credit).await;
    }
    deliver_head(inbox, call, parts.status, &parts.headers).await?;
    if !tells_length(&parts.headers, &body) {
        return Err(no_length());
    }
    let mut reader = AnswerReader::new(call);
    // An error response to a streamed call has a plain body.
    reader.stream &= parts.status.is_success();
    reader.read(inbox, body, credit).await?;
    connector.release(&call.addr, sender);
    Ok(())
}

/// Whether an answer tells where its body ends. If not, it can't be told from one that was cut short.
fn tells_length(headers: &HeaderMap, body: &Incoming) -> bool {
    let value = headers.get(http::header::TRANSFER_ENCODING).and_then(|it| it.to_str().ok());
    body.size_hint().exact().is_some() || value.is_some_and(|text| text.contains("chunked"))
}

fn no_length() -> CallFailure {
    wrong_answer("the answer does not tell its length")
}

/// Handles the status 409: a refusal fails the call, any other answer is delivered.
async fn handle_conflict(
    inbox: &dyn Inbox,
    call: &Call,
    headers: &HeaderMap,
    body: Incoming,
    credit: &Credit,
) -> Result<(), CallFailure> {
    let tells_length = tells_length(headers, &body);
    let body = collect(body).await.ok_or(CallFailure::Lost)?;
    if let Some(reason) = refusal(&body) {
        return Err(CallFailure::Refused(reason));
    }
    deliver_head(inbox, call, StatusCode::CONFLICT, headers).await?;
    if !tells_length {
        return Err(no_length());
    }
    let mut reader = AnswerReader { stream: false, ..AnswerReader::new(call) };
    reader.deliver_bytes(inbox, body, true, credit).await;
    Ok(())
}

async fn collect(body: Incoming) -> Option<Bytes> {
    Some(Limited::new(body, MAX_REPLY_BYTES).collect().await.ok()?.to_bytes())
}

fn refusal(body: &[u8]) -> Option<String> {
    let refusal: Refusal = serde_json::from_slice(body).ok()?;
    REFUSALS.contains(&refusal.refused.as_str()).then_some(refusal.refused)
}

async fn deliver_head(
    inbox: &dyn Inbox,
    call: &Call,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), CallFailure> {
    check_echo(headers, header::REQUEST, &call.request.to_string())?;
    check_echo(headers, header::RAN, &call.expected_name)?;
    check_echo(headers, header::INCARNATION, &call.incarnation.to_string())?;
    let input = Input::CallHead {
        request: call.request,
        status: status.as_u16(),
        ran: call.expected_name.clone(),
        incarnation: call.incarnation,
    };
    inbox.deliver(input).await;
    Ok(())
}

fn check_echo(headers: &HeaderMap, key: &str, expected: &str) -> Result<(), CallFailure> {
    let Some(value) = headers.get(key) else {
        return Err(wrong_answer(format!("the answer has no {key}")));
    };
    if value.as_bytes() != expected.as_bytes() {
        let found = String::from_utf8_lossy(value.as_bytes());
        return Err(wrong_answer(format!("{key} is {found}, expected {expected}")));
    }
    Ok(())
}

/// Delivers the pieces of one answer.
struct AnswerReader {
    request: RequestId,
    stream: bool,
    offset: u64,
    /// The last bytes of the stream, at most as many as its end marker has.
    tail: Vec<u8>,
    resumed: bool,
}

impl AnswerReader {
    fn new(call: &Call) -> AnswerReader {
        AnswerReader {
            request: call.request,
            stream: call.stream,
            offset: call.resume_from.unwrap_or(0),
            tail: Vec::new(),
            resumed: call.resume_from.is_some(),
        }
    }

    async fn read(
        mut self,
        inbox: &dyn Inbox,
        mut body: Incoming,
        credit: &Credit,
    ) -> Result<(), CallFailure> {
        // The last bytes of an answer are held back until the body has ended without an error.
        let mut held_back = Bytes::new();
        loop {
            credit.available().await;
            let Some(frame) = body.frame().await else { break };
            let Ok(bytes) = frame.map_err(|_| CallFailure::Lost)?.into_data() else { continue };
            if !held_back.is_empty() {
                self.deliver_bytes(inbox, std::mem::take(&mut held_back), false, credit).await;
            }
            self.extend_tail(&bytes);
            if body.is_end_stream() || (self.stream && self.has_end()) {
                held_back = bytes;
                continue;
            }
            self.deliver_bytes(inbox, bytes, false, credit).await;
        }
        if self.stream && !self.has_end() {
            return Err(CallFailure::Lost);
        }
        self.deliver_bytes(inbox, held_back, true, credit).await;
        Ok(())
    }

    fn extend_tail(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(STREAM_END.len())..]);
        let surplus = self.tail.len().saturating_sub(STREAM_END.len());
        self.tail.drain(..surplus);
    }

    /// Returns whether the stream has reached its end marker. A resumed answer may start within the
    /// marker.
    fn has_end(&self) -> bool {
        if self.resumed && !self.tail.is_empty() {
            return STREAM_END.ends_with(&self.tail);
        }
        self.tail == STREAM_END
    }

    /// Delivers bytes within the credit, and waits for more credit until all are delivered.
    async fn deliver_bytes(
        &mut self,
        inbox: &dyn Inbox,
        mut bytes: Bytes,
        last: bool,
        credit: &Credit,
    ) {
        loop {
            let mut length = 0;
            if !bytes.is_empty() {
                length = credit.available().await.min(bytes.len());
            }
            let piece = bytes.split_to(length);
            credit.spend(piece.len());
            let offset = self.offset;
            self.offset += piece.len() as u64;
            let last = last && bytes.is_empty();
            let request = self.request;
            inbox.deliver(Input::CallPiece { request, offset, bytes: piece, last }).await;
            if bytes.is_empty() {
                return;
            }
        }
    }
}

async fn send_order(connector: &Connector, order: Order) -> OrderResult {
    let action = match order.action {
        Action::Load => "load",
        Action::Evict => "evict",
    };
    let body = OrderBody {
        fence: order.fence,
        incarnation: order.incarnation,
        action: action.to_owned(),
        adapter: order.adapter,
    };
    let json = serde_json::to_vec(&body).expect("an order is plain data");
    let http_request = Request::builder()
        .method(Method::POST)
        .uri("/v1/orders")
        .header(HOST, &order.addr)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(json)));
    let Ok(http_request) = http_request else { return OrderResult::NotSent };
    let Some(mut sender) = connector.open(&order.addr).await else { return OrderResult::NotSent };
    if connector.lease_expired(order.lease_until) {
        return OrderResult::NotSent;
    }
    match sender.send_request(http_request).await {
        Ok(response) => read_reply(response).await,
        Err(_) => OrderResult::Unknown,
    }
}

async fn send_cancel(
    connector: &Connector,
    addr: &str,
    request: RequestId,
) -> Option<Response<Incoming>> {
    let http_request = Request::builder()
        .method(Method::DELETE)
        .uri(format!("/v1/requests/{request}"))
        .header(HOST, addr)
        .body(Full::default());
    let mut sender = connector.open(addr).await?;
    sender.send_request(http_request.ok()?).await.ok()
}

async fn read_reply(response: Response<Incoming>) -> OrderResult {
    let status = response.status();
    let Some(body) = collect(response.into_body()).await else { return OrderResult::Unknown };
    if status == StatusCode::CONFLICT
        && let Some(reason) = refusal(&body)
    {
        return OrderResult::Failed(reason);
    }
    if status != StatusCode::OK {
        return OrderResult::Unknown;
    }
    match serde_json::from_slice::<OrderReply>(&body) {
        Ok(reply) => OrderResult::Done(reply.loaded),
        Err(_) => OrderResult::Unknown,
    }
}

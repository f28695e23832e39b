//! The API for callers and targets.

use std::sync::Arc;

use api::{MAX_BODY_BYTES, ReportBody, ReportReply, WhereBody};
use bytes::Bytes;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, HttpResponseOk, Path, Query, RawRequest,
    RequestContext, TypedBody, endpoint,
};
use http::{HeaderMap, Response, header::CONTENT_LENGTH};
use node::Caller;
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::sync::{Semaphore, SemaphorePermit};
use wire::{ErrorKind, Fault};

use crate::{
    answer::respond,
    border::Entry,
    error::{Failure, error_response},
    request::{completion, read_body, service_call},
};

/// Memory for the bodies of requests in progress, in KiB.
const BODIES_KIB: usize = 64 * 1024;

/// What the handlers work with.
pub struct EntryContext {
    entry: Arc<dyn Entry>,
    /// Room for bodies, a permit for each KiB.
    room: Semaphore,
}

impl EntryContext {
    /// Makes the context of one server.
    pub fn new(entry: Arc<dyn Entry>) -> EntryContext {
        EntryContext { entry, room: Semaphore::new(BODIES_KIB) }
    }

    /// Takes room for a body before it is read; it is given back once the
    /// answer has started.
    fn reserve(&self, headers: &HeaderMap) -> Result<SemaphorePermit<'_>, Fault> {
        let length =
            headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
        let bytes = length.unwrap_or(MAX_BODY_BYTES).min(MAX_BODY_BYTES);
        let kib = bytes.div_ceil(1024).max(1) as u32;
        self.room
            .try_acquire_many(kib)
            .map_err(|_| Fault::new(ErrorKind::QueueFull, "no memory for the request's body"))
    }

    /// Reads a request and asks the host.
    async fn answer(
        &self,
        request: RawRequest,
        read: impl FnOnce(&HeaderMap, Bytes) -> Result<Caller, Fault>,
    ) -> Response<Body> {
        match self.try_answer(request, read).await {
            Ok(response) => response,
            Err(fault) => error_response(&fault),
        }
    }

    async fn try_answer(
        &self,
        request: RawRequest,
        read: impl FnOnce(&HeaderMap, Bytes) -> Result<Caller, Fault>,
    ) -> Result<Response<Body>, Fault> {
        let (parts, body) = request.into_inner().into_parts();
        let _room = self.reserve(&parts.headers)?;
        let body = read_body(body).await?;
        let caller = read(&parts.headers, body)?;
        let stream = caller.stream;
        let answer = self.entry.ask(caller).await;
        Ok(respond(answer, stream).await)
    }
}

type Context = EntryContext;

/// Describes the API for callers and targets.
pub fn entry_api() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(completions)?;
    api.register(call)?;
    api.register(whereabouts)?;
    api.register(report)?;
    Ok(api)
}

/// Completes a prompt with an adapter.
///
/// The body is that of the usual completions API; its `model` is
/// `MODEL@ADAPTER@VERSION`. With `stream`, the answer is a stream of events that
/// is whole only if it ends with `data: [DONE]`; otherwise an `error` event
/// ends it.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn completions(
    context: RequestContext<Context>,
    request: RawRequest,
) -> Result<Response<Body>, Failure> {
    Ok(context.context().answer(request, completion).await)
}

/// A declared call of a plain service.
#[derive(Debug, Deserialize, JsonSchema)]
struct CallPath {
    /// The service.
    service: String,
    /// The call.
    call: String,
}

/// Calls a plain service.
///
/// A non-idempotent call needs an `Idempotency-Key` header.
#[endpoint { method = POST, path = "/v1/services/{service}/{call}" }]
async fn call(
    context: RequestContext<Context>,
    path: Path<CallPath>,
    request: RawRequest,
) -> Result<Response<Body>, Failure> {
    let CallPath { service, call } = path.into_inner();
    let read = |headers: &HeaderMap, body| service_call(headers, service, call, body);
    Ok(context.context().answer(request, read).await)
}

/// What a caller wants to use.
#[derive(Debug, Deserialize, JsonSchema)]
struct WhereQuery {
    /// `MODEL@ADAPTER@VERSION`, if the caller has one in mind.
    model: Option<String>,
}

/// Names the entry addresses a caller should use, best first.
#[endpoint { method = GET, path = "/v1/where" }]
async fn whereabouts(
    context: RequestContext<Context>,
    query: Query<WhereQuery>,
) -> Result<HttpResponseOk<WhereBody>, Failure> {
    let model = query.into_inner().model;
    Ok(HttpResponseOk(context.context().entry.whereabouts(model.as_deref())))
}

/// Takes a target's announcement or report.
#[endpoint { method = POST, path = "/v1/targets" }]
async fn report(
    context: RequestContext<Context>,
    body: TypedBody<ReportBody>,
) -> Result<HttpResponseOk<ReportReply>, Failure> {
    let reply = context.context().entry.report(body.into_inner().into()).await;
    Ok(HttpResponseOk(reply))
}

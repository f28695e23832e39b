//! The HTTP API for callers and targets.

use std::sync::Arc;

use api::{MAX_BODY_BYTES, ReportBody, ReportReply, WhereBody};
use bytes::Bytes;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, HttpResponseOk, Path, Query, RawRequest,
    RequestContext, endpoint,
};
use http::{HeaderMap, Response, header::CONTENT_LENGTH};
use node::CallerRequest;
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::sync::{Semaphore, SemaphorePermit};
use wire::{ErrorKind, Fault};

use crate::{
    answer::respond,
    error::{Failure, error_response},
    interface::Entry,
    raw_body::{CallMemory, UnreadBody},
    request::{completion, read_body, service_call},
};

/// Memory for the bodies of requests whose answers have not started, in KiB.
const BODY_MEMORY_KIB: usize = 64 * 1024;
/// Memory for the bodies of targets' reports, in bytes.
const REPORT_MEMORY: usize = 16 * MAX_BODY_BYTES;

/// The context of the endpoint handlers.
pub struct EntryContext {
    entry: Arc<dyn Entry>,
    /// Memory for bodies, one permit per KiB.
    body_memory: Semaphore,
    report_memory: CallMemory,
}

impl EntryContext {
    /// Creates the context of one server.
    pub fn new(entry: Arc<dyn Entry>) -> EntryContext {
        EntryContext {
            entry,
            body_memory: Semaphore::new(BODY_MEMORY_KIB),
            report_memory: CallMemory::new(REPORT_MEMORY, MAX_BODY_BYTES),
        }
    }

    /// Reserves memory for a body before it is read; the permit is released once the answer has
    /// started.
    fn reserve(&self, headers: &HeaderMap) -> Result<SemaphorePermit<'_>, Fault> {
        let length =
            headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
        let bytes = length.unwrap_or(MAX_BODY_BYTES).min(MAX_BODY_BYTES);
        let kib = bytes.div_ceil(1024).max(1) as u32;
        self.body_memory
            .try_acquire_many(kib)
            .map_err(|_| Fault::new(ErrorKind::QueueFull, "no memory for the request's body"))
    }

    /// Reads and parses a request, submits it and returns the response.
    async fn handle(
        &self,
        request: RawRequest,
        parse: impl FnOnce(&HeaderMap, Bytes) -> Result<CallerRequest, Fault>,
    ) -> Response<Body> {
        match self.try_handle(request, parse).await {
            Ok(response) => response,
            Err(fault) => error_response(&fault),
        }
    }

    async fn try_handle(
        &self,
        request: RawRequest,
        parse: impl FnOnce(&HeaderMap, Bytes) -> Result<CallerRequest, Fault>,
    ) -> Result<Response<Body>, Fault> {
        let (parts, body) = request.into_inner().into_parts();
        let _permit = self.reserve(&parts.headers)?;
        let body = read_body(body).await?;
        let caller = parse(&parts.headers, body)?;
        let stream = caller.stream;
        let answer = self.entry.submit(caller).await;
        Ok(respond(answer, stream).await)
    }
}

type Context = EntryContext;

/// Returns the description of the API for callers and targets. Fails if two paths clash.
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
/// The body is that of the usual completions API, with a `model` of the form
/// `MODEL@ADAPTER@VERSION`. With `stream`, the answer is a stream of events. It is complete only
/// if it ends with `data: [DONE]`; otherwise an `error` event ends it.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn completions(
    context: RequestContext<Context>,
    request: RawRequest,
) -> Result<Response<Body>, Failure> {
    Ok(context.context().handle(request, completion).await)
}

/// The path of a call of a plain service.
#[derive(Debug, Deserialize, JsonSchema)]
struct CallPath {
    /// The name of the service.
    service: String,
    /// The name of the call, as the service declares it.
    call: String,
}

/// Calls a plain service.
///
/// A call that is not idempotent needs an `Idempotency-Key` header.
#[endpoint { method = POST, path = "/v1/services/{service}/{call}" }]
async fn call(
    context: RequestContext<Context>,
    path: Path<CallPath>,
    request: RawRequest,
) -> Result<Response<Body>, Failure> {
    let CallPath { service, call } = path.into_inner();
    let parse = |headers: &HeaderMap, body| service_call(headers, service, call, body);
    Ok(context.context().handle(request, parse).await)
}

/// The query of a request for entry addresses.
#[derive(Debug, Deserialize, JsonSchema)]
struct WhereQuery {
    /// The model to be used, as `MODEL@ADAPTER@VERSION`.
    model: Option<String>,
}

/// Returns the entry addresses that a caller should use, best first.
#[endpoint { method = GET, path = "/v1/where" }]
async fn whereabouts(
    context: RequestContext<Context>,
    query: Query<WhereQuery>,
) -> Result<HttpResponseOk<WhereBody>, Failure> {
    let model = query.into_inner().model;
    Ok(HttpResponseOk(context.context().entry.entry_addresses(model.as_deref())))
}

/// Handles a target's announcement or report.
#[endpoint { method = POST, path = "/v1/targets" }]
async fn report(
    context: RequestContext<Context>,
    body: UnreadBody<ReportBody>,
) -> Result<HttpResponseOk<ReportReply>, Failure> {
    let EntryContext { entry, report_memory, .. } = context.context();
    let report = body.read(report_memory).await?.parse(&context).await?;
    let reply = entry.report(report.into()).await;
    Ok(HttpResponseOk(reply))
}

//! The API for callers and targets.

use std::sync::Arc;

use api::{ReportBody, ReportReply, WhereBody};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, HttpResponseOk, Path, Query, RawRequest,
    RequestContext, TypedBody, endpoint,
};
use http::Response;
use node::Caller;
use schemars::JsonSchema;
use serde::Deserialize;
use wire::Fault;

use crate::{
    answer::respond,
    border::Entry,
    error::{Failure, error_response},
    request::{completion, read_body, service_call},
};

type Context = Arc<dyn Entry>;

/// Describes the API for callers and targets.
pub fn entry_api() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(completions)?;
    api.register(call)?;
    api.register(whereabouts)?;
    api.register(report)?;
    Ok(api)
}

/// Asks the host if the request could be read.
async fn ask(context: &Context, caller: Result<Caller, Fault>) -> Response<Body> {
    match caller {
        Ok(caller) => {
            let stream = caller.stream;
            let answer = context.ask(caller).await;
            respond(answer, stream).await
        }
        Err(fault) => error_response(&fault),
    }
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
    let (parts, body) = request.into_inner().into_parts();
    let body = read_body(body).await;
    let caller = body.and_then(|body| completion(&parts.headers, body));
    Ok(ask(context.context(), caller).await)
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
    let (parts, body) = request.into_inner().into_parts();
    let body = read_body(body).await;
    let caller = body.and_then(|body| service_call(&parts.headers, service, call, body));
    Ok(ask(context.context(), caller).await)
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
    Ok(HttpResponseOk(context.context().whereabouts(model.as_deref())))
}

/// Takes a target's announcement or report.
#[endpoint { method = POST, path = "/v1/targets" }]
async fn report(
    context: RequestContext<Context>,
    body: TypedBody<ReportBody>,
) -> Result<HttpResponseOk<ReportReply>, Failure> {
    let reply = context.context().report(body.into_inner().into()).await;
    Ok(HttpResponseOk(reply))
}

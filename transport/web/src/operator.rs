//! The HTTP API for operators.

use std::sync::Arc;

use api::{AuditPage, PublishBody, Receipt, StatusBody};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, Header, HttpResponseOk, Query,
    RequestContext, endpoint,
};
use http::{HeaderValue, Response, header::CONTENT_TYPE};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::{
    error::Failure,
    interface::Operator,
    raw_body::{CallMemory, UnreadBody},
};

/// Maximum number of audit entries in one response.
const MAX_AUDIT_ENTRIES: usize = 1000;

const METRICS_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Maximum length of the body of a publish, in bytes.
pub(crate) const MAX_PUBLISH_BYTES: usize = 8 * 1024 * 1024;
/// Memory for the bodies of publishes, in bytes.
const PUBLISH_MEMORY: usize = 4 * MAX_PUBLISH_BYTES;

/// The context of the endpoint handlers.
pub struct OperatorContext {
    operator: Arc<dyn Operator>,
    memory: CallMemory,
}

impl OperatorContext {
    /// Creates the context of one server.
    pub fn new(operator: Arc<dyn Operator>) -> OperatorContext {
        OperatorContext { operator, memory: CallMemory::new(PUBLISH_MEMORY, MAX_PUBLISH_BYTES) }
    }
}

type Context = OperatorContext;

/// Returns the description of the API for operators. Fails if two paths clash.
pub fn operator_api() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(publish)?;
    api.register(status)?;
    api.register(audit)?;
    api.register(metrics)?;
    Ok(api)
}

/// The headers of a publish.
#[derive(Debug, Deserialize, JsonSchema)]
struct PublishHeaders {
    /// HMAC-SHA256 of the exact body with the publish key of the hosts, in hexadecimal; required if
    /// the hosts have a publish key.
    #[serde(rename = "x-publish-mac")]
    mac: Option<String>,
}

/// Publishes declaration files: either all are accepted or none.
///
/// A publish may be sent again and gets the same receipt.
#[endpoint { method = POST, path = "/v1/publish" }]
async fn publish(
    context: RequestContext<Context>,
    headers: Header<PublishHeaders>,
    body: UnreadBody<PublishBody>,
) -> Result<HttpResponseOk<Receipt>, Failure> {
    let OperatorContext { operator, memory } = context.context();
    let body = body.read(memory).await?;
    operator.authorise(body.bytes(), headers.into_inner().mac.as_deref())?;
    let publish = body.parse(&context).await?;
    let receipt = operator.publish(publish).await?;
    Ok(HttpResponseOk(receipt))
}

/// Returns the state of the system in the local view of this host.
#[endpoint { method = GET, path = "/v1/status" }]
async fn status(context: RequestContext<Context>) -> Result<HttpResponseOk<StatusBody>, Failure> {
    Ok(HttpResponseOk(context.context().operator.status()))
}

/// The query of a request for part of the audit trail.
#[derive(Debug, Deserialize, JsonSchema)]
struct AuditQuery {
    /// The sequence of the first entry; 1 by default.
    from: Option<u64>,
    /// The maximum number of entries; 1000 by default and at most.
    limit: Option<u32>,
}

/// Returns part of the audit trail.
#[endpoint { method = GET, path = "/v1/audit" }]
async fn audit(
    context: RequestContext<Context>,
    query: Query<AuditQuery>,
) -> Result<HttpResponseOk<AuditPage>, Failure> {
    let AuditQuery { from, limit } = query.into_inner();
    let limit = limit.map_or(MAX_AUDIT_ENTRIES, |limit| limit as usize).min(MAX_AUDIT_ENTRIES);
    Ok(HttpResponseOk(context.context().operator.audit(from.unwrap_or(1), limit)))
}

/// Returns the metrics of this host in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: RequestContext<Context>) -> Result<Response<Body>, Failure> {
    let mut response = Response::new(Body::from(context.context().operator.metrics()));
    response.headers_mut().insert(CONTENT_TYPE, METRICS_TYPE);
    Ok(response)
}

//! Parsing of callers' requests.

use std::time::Duration;

use api::{MAX_BODY_BYTES, header};
use body::BodyError;
use bytes::Bytes;
use dropshot::Body;
use http::{HeaderMap, header::ACCEPT};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use node::CallerRequest;
use serde::{Deserialize, de::DeserializeOwned};
use wire::{ErrorKind, Fault};

/// Maximum length of a caller name, idempotency key or other header value, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Time limit for a body.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The name of callers that send none.
const ANONYMOUS: &str = "anonymous";

fn bad_request(detail: impl Into<String>) -> Fault {
    Fault::new(ErrorKind::BadRequest, detail)
}

/// Reads a body completely, within the limits of size and time.
pub(crate) async fn read_body(body: Body) -> Result<Bytes, Fault> {
    let reading = Limited::new(body, MAX_BODY_BYTES).collect();
    let Ok(collected) = tokio::time::timeout(BODY_TIMEOUT, reading).await else {
        return Err(body_fault(BodyError::Late, MAX_BODY_BYTES));
    };
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            Err(body_fault(BodyError::TooLarge, MAX_BODY_BYTES))
        }
        Err(_) => Err(body_fault(BodyError::Broken, MAX_BODY_BYTES)),
    }
}

/// Returns the fault of a request whose body, of at most `max` bytes, could not be read.
pub(crate) fn body_fault(error: BodyError, max: usize) -> Fault {
    match error {
        BodyError::TooLarge => Fault::new(ErrorKind::TooLarge, format!("the limit is {max} bytes")),
        BodyError::NoMemory => Fault::new(ErrorKind::QueueFull, error.to_string()),
        BodyError::Broken | BodyError::Late => bad_request(error.to_string()),
    }
}

/// Parses a JSON body.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body)
        .map_err(|e| bad_request(format!("the body is not as expected: {e}")))
}

/// The fields of a completion request that its routing depends on.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
}

/// Parses a completion request.
pub(crate) fn completion(headers: &HeaderMap, body: Bytes) -> Result<CallerRequest, Fault> {
    let fields: Completion = parse(&body)?;
    let parts: Vec<&str> = fields.model.split('@').collect();
    if parts.len() != 3 || parts.iter().any(|part| part.is_empty()) {
        return Err(bad_request("model must be MODEL@ADAPTER@VERSION"));
    }
    let mut request = base_request(headers, body)?;
    request.service = text_header(headers, header::SERVICE)?;
    request.call = text_header(headers, header::CALL)?;
    request.model = Some(fields.model);
    request.stream = fields.stream.unwrap_or(false);
    Ok(request)
}

/// Parses a call of a service without models.
pub(crate) fn service_call(
    headers: &HeaderMap,
    service: String,
    call: String,
    body: Bytes,
) -> Result<CallerRequest, Fault> {
    let accept = headers.get(ACCEPT).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let mut request = base_request(headers, body)?;
    request.service = Some(service);
    request.call = Some(call);
    request.stream = accept.contains("text/event-stream");
    Ok(request)
}

/// Returns a request with the fields that completions and service calls share.
fn base_request(headers: &HeaderMap, body: Bytes) -> Result<CallerRequest, Fault> {
    let deadline = number_header(headers, header::DEADLINE)?.map(Duration::from_millis);
    if deadline.is_some_and(|deadline| deadline.is_zero() || deadline > MAX_DEADLINE) {
        return Err(bad_request(format!("{} must be between 1 and 86400000", header::DEADLINE)));
    }
    Ok(CallerRequest {
        caller: text_header(headers, header::CALLER)?.unwrap_or_else(|| ANONYMOUS.to_owned()),
        service: None,
        call: None,
        model: None,
        deadline,
        key: text_header(headers, header::IDEMPOTENCY_KEY)?,
        key_made_ms: number_header(headers, header::KEY_MADE)?,
        stream: false,
        body,
    })
}

/// Returns the value of a header that may occur once; none if it is missing.
fn text_header(headers: &HeaderMap, key: &str) -> Result<Option<String>, Fault> {
    let mut values = headers.get_all(key).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad_request(format!("header {key} stands more than once")));
    }
    let Ok(text) = value.to_str() else {
        return Err(bad_request(format!("header {key} must be printable ASCII")));
    };
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(bad_request(format!("header {key} must have 1 to {MAX_NAME_BYTES} bytes")));
    }
    Ok(Some(text.to_owned()))
}

fn number_header(headers: &HeaderMap, key: &str) -> Result<Option<u64>, Fault> {
    let Some(text) = text_header(headers, key)? else { return Ok(None) };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad_request(format!("header {key} must be a whole number"))),
    }
}

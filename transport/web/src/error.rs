//! Error responses.

use std::fmt;

use api::{ErrorBody, ErrorDetail, header::WAS_RUN};
use dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError};
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use schemars::JsonSchema;
use serde::Serialize;
use wire::{ErrorKind, Fault};

/// The error of an endpoint, with the same JSON as [`ErrorBody`].
#[derive(Debug, Serialize, JsonSchema)]
pub(crate) struct Failure {
    error: ErrorDetail,
    #[serde(skip)]
    status: u16,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.error.message)
    }
}

impl From<Fault> for Failure {
    fn from(fault: Fault) -> Failure {
        let ErrorBody { error } = ErrorBody::from(&fault);
        Failure { error, status: fault.kind.info().status }
    }
}

impl From<HttpError> for Failure {
    fn from(error: HttpError) -> Failure {
        let message = error.external_message;
        let kind = match error.status_code.as_u16() {
            404 => ErrorKind::UnknownService,
            413 => ErrorKind::TooLarge,
            // A request that an extractor rejects has not reached the host.
            400..500 => ErrorKind::BadRequest,
            _ => ErrorKind::Internal,
        };
        Fault::new(kind, message).into()
    }
}

impl HttpResponseError for Failure {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status).expect("the table holds error statuses")
    }
}

/// Returns the JSON body of an error response.
pub(crate) fn error_json(fault: &Fault) -> Vec<u8> {
    serde_json::to_vec(&ErrorBody::from(fault)).expect("an error body is plain data")
}

/// Returns the error response for a fault.
pub(crate) fn error_response(fault: &Fault) -> Response<Body> {
    let row = fault.kind.info();
    let mut response = Response::new(Body::from(error_json(fault)));
    *response.status_mut() =
        StatusCode::from_u16(row.status).expect("the table holds valid statuses");
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(WAS_RUN, HeaderValue::from_static(row.ran.as_str()));
    response
}

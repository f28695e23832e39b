//! The body of error responses.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use wire::Fault;

/// The body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ErrorBody {
    /// The error with its code and advice.
    pub error: ErrorDetail,
}

/// An error as a client receives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ErrorDetail {
    /// A stable, machine-readable code such as `queue_full`.
    pub code: String,
    /// A human-readable message.
    pub message: String,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub ran: String,
    /// When a retry makes sense: `never`, `later`, `elsewhere` or `same-key`.
    pub retry: String,
}

impl From<&Fault> for ErrorBody {
    fn from(fault: &Fault) -> ErrorBody {
        let row = fault.kind.info();
        ErrorBody {
            error: ErrorDetail {
                code: row.code.to_owned(),
                message: fault.to_string(),
                ran: row.ran.as_str().to_owned(),
                retry: row.retry.as_str().to_owned(),
            },
        }
    }
}

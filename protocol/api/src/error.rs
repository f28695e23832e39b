//! The body of an error answer.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use wire::Fault;

/// The body of every error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// One error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ErrorDetail {
    /// Stable code for programs.
    pub code: String,
    /// Text for people.
    pub message: String,
    /// Whether the request was run: `no`, `yes` or `unknown`.
    pub ran: String,
    /// Advice: `never`, `later`, `elsewhere` or `same-key`.
    pub retry: String,
}

impl From<&Fault> for ErrorBody {
    fn from(fault: &Fault) -> ErrorBody {
        let row = fault.kind.row();
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

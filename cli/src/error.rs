//! Errors of commands and their exit codes.

use std::process::ExitCode;

use thiserror::Error as ThisError;

/// Exit code of a command that failed.
const FAILURE_EXIT: u8 = 1;
/// Exit code of a wrong command line.
pub(crate) const USAGE_EXIT: u8 = 2;
/// Exit code of a command whose outcome is unknown.
const UNKNOWN_EXIT: u8 = 3;

/// How a command failed; determines its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The command failed; its effect, if any, is known.
    Failed,
    /// The command line is wrong; nothing was sent.
    Usage,
    /// The command may have taken effect.
    Unknown,
}

/// Error of a command, printed on one line.
#[derive(Debug, ThisError)]
#[error("{}", .message.replace('\n', "; "))]
pub(crate) struct Error {
    pub(crate) kind: Kind,
    message: String,
}

impl Error {
    pub(crate) fn failed(message: impl Into<String>) -> Error {
        Error { kind: Kind::Failed, message: message.into() }
    }

    pub(crate) fn usage(message: impl Into<String>) -> Error {
        Error { kind: Kind::Usage, message: message.into() }
    }

    pub(crate) fn unknown(message: impl Into<String>) -> Error {
        Error { kind: Kind::Unknown, message: message.into() }
    }

    /// Prefixes the message with what was being done.
    pub(crate) fn context(self, what: &str) -> Error {
        Error { kind: self.kind, message: format!("{what}: {}", self.message) }
    }

    /// Appends advice on what to do next.
    pub(crate) fn advise(self, advice: &str) -> Error {
        Error { kind: self.kind, message: format!("{}; {advice}", self.message) }
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self.kind {
            Kind::Failed => FAILURE_EXIT,
            Kind::Usage => USAGE_EXIT,
            Kind::Unknown => UNKNOWN_EXIT,
        })
    }
}

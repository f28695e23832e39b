//! Errors of files.

use thiserror::Error;

/// One mistake in a file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: [{section}] {field}: {message}")]
pub struct FileError {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The section.
    pub section: String,
    /// The key.
    pub field: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

//! Mistakes in declaration and settings files.

use std::fmt;

/// A mistake in a file, with its location.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct FileError {
    /// The file's name.
    pub file: String,
    /// The line number, from 1.
    pub line: usize,
    /// The section; empty before the first section.
    pub section: String,
    /// The key; empty if the mistake concerns the whole section.
    pub field: String,
    /// What is wrong and, for most mistakes, what is allowed.
    pub message: String,
}

impl FileError {
    pub(crate) fn new(
        file: &str,
        line: usize,
        section: &str,
        field: &str,
        message: impl Into<String>,
    ) -> FileError {
        FileError {
            file: file.to_owned(),
            line,
            section: section.to_owned(),
            field: field.to_owned(),
            message: message.into(),
        }
    }
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

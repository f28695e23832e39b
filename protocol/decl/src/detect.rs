//! Detection of a file's kind.

/// The kind of an INI file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// A service declaration, recognised by its section `[service]`.
    Declaration,
    /// The settings of a host, recognised by their section `[host]`.
    Settings,
}

impl FileKind {
    /// Returns the kind by the first section `[service]` or `[host]`; `None` without either.
    pub fn detect(text: &str) -> Option<FileKind> {
        for line in text.lines() {
            match line.trim() {
                "[service]" => return Some(FileKind::Declaration),
                "[host]" => return Some(FileKind::Settings),
                _ => continue,
            }
        }
        None
    }
}

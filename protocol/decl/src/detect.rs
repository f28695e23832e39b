//! Tells the kinds of files apart.

/// What a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// The declaration of a service: the file has a section `[service]`.
    Declaration,
    /// The settings of a host: the file has a section `[host]`.
    Settings,
}

impl FileKind {
    /// Tells a file's kind by its content; none if it has neither section.
    pub fn of(text: &str) -> Option<FileKind> {
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

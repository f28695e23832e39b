//! Reads checked values out of a document and collects the mistakes.

use crate::{
    FileError,
    document::{Document, Key, Section},
};

/// Comes before what is allowed in the message of a check.
const ALLOWED: &str = "allowed: ";

/// What a check of a value returns: the value, or what is wrong and allowed.
pub(crate) type Checked<T> = Result<T, String>;

/// Reads a document's values.
pub(crate) struct Reader<'a> {
    pub(crate) document: &'a Document,
    errors: Vec<FileError>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(document: &'a Document) -> Reader<'a> {
        Reader { document, errors: Vec::new() }
    }

    /// Reads a key that must be there.
    pub(crate) fn required<T>(
        &mut self,
        section: &str,
        field: &str,
        check: impl Fn(&str) -> Checked<T>,
    ) -> Option<T> {
        let Some(key) = self.key(section, field) else {
            let line = self.document.section(section).map_or(1, |it| it.line);
            let refusal = check("").err().unwrap_or_default();
            let allowed = refusal.split_once(ALLOWED).map_or("a value", |it| it.1);
            self.error(line, section, field, format!("the key is missing; {ALLOWED}{allowed}"));
            return None;
        };
        self.check(section, key, check)
    }

    /// Reads a key that may be left out.
    pub(crate) fn optional<T>(
        &mut self,
        section: &str,
        field: &str,
        check: impl Fn(&str) -> Checked<T>,
    ) -> Option<T> {
        let key = self.key(section, field)?;
        self.check(section, key, check)
    }

    /// Reads a key that has a default.
    pub(crate) fn or<T>(
        &mut self,
        section: &str,
        field: &str,
        default: T,
        check: impl Fn(&str) -> Checked<T>,
    ) -> T {
        self.optional(section, field, check).unwrap_or(default)
    }

    /// Checks one key.
    pub(crate) fn check<T>(
        &mut self,
        section: &str,
        key: &Key,
        check: impl Fn(&str) -> Checked<T>,
    ) -> Option<T> {
        match check(&key.value) {
            Ok(value) => Some(value),
            Err(message) => {
                self.error(key.line, section, &key.name, message);
                None
            }
        }
    }

    /// Refuses keys of a section that are not among the allowed.
    pub(crate) fn only_keys(&mut self, section: &Section, allowed: &[&str]) {
        for key in &section.keys {
            if allowed.contains(&key.name.as_str()) {
                continue;
            }
            let message = format!("unknown key; allowed: {}", allowed.join(", "));
            self.error(key.line, &section.name, &key.name, message);
        }
    }

    /// Reports a mistake of a key, or of its section if the key is not there.
    pub(crate) fn refuse(&mut self, section: &str, field: &str, message: impl Into<String>) {
        let line = match (self.key(section, field), self.document.section(section)) {
            (Some(key), _) => key.line,
            (None, Some(section)) => section.line,
            (None, None) => 1,
        };
        self.error(line, section, field, message);
    }

    /// Returns the value if no mistake was found.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, Vec<FileError>> {
        self.errors.sort_by_key(|it| it.line);
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(self.errors),
        }
    }

    fn key(&self, section: &str, field: &str) -> Option<&'a Key> {
        self.document.section(section)?.keys.iter().find(|it| it.name == field)
    }

    fn error(&mut self, line: usize, section: &str, field: &str, message: impl Into<String>) {
        self.errors.push(FileError::new(&self.document.file, line, section, field, message));
    }
}

//! Reading of validated values from a document.

use crate::{
    FileError,
    document::{Document, Key, Section},
};

/// Separates, in the message of a check, what is wrong from what is allowed.
const ALLOWED: &str = "allowed: ";

/// The result of a check: the parsed value, or a message with what is wrong and what is allowed.
pub(crate) type Checked<T> = Result<T, String>;

/// Reads the values of a document and collects the mistakes.
pub(crate) struct Reader<'a> {
    pub(crate) document: &'a Document,
    errors: Vec<FileError>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(document: &'a Document) -> Reader<'a> {
        Reader { document, errors: Vec::new() }
    }

    /// Reads a mandatory key.
    pub(crate) fn required<T>(
        &mut self,
        section: &str,
        field: &str,
        check: impl Fn(&str) -> Checked<T>,
    ) -> Option<T> {
        let Some(key) = self.key(section, field) else {
            let line = self.document.section(section).map_or(1, |it| it.line);
            // The message for an empty value names what is allowed.
            let message = check("").err().unwrap_or_default();
            let allowed = message.split_once(ALLOWED).map_or("a value", |it| it.1);
            self.error(line, section, field, format!("the key is missing; {ALLOWED}{allowed}"));
            return None;
        };
        self.check(section, key, check)
    }

    /// Reads an optional key. Returns `None` if it is missing or its value is invalid.
    pub(crate) fn optional<T>(
        &mut self,
        section: &str,
        field: &str,
        check: impl Fn(&str) -> Checked<T>,
    ) -> Option<T> {
        let key = self.key(section, field)?;
        self.check(section, key, check)
    }

    /// Reads an optional key. Returns the default if it is missing or its value is invalid.
    pub(crate) fn with_default<T>(
        &mut self,
        section: &str,
        field: &str,
        default: T,
        check: impl Fn(&str) -> Checked<T>,
    ) -> T {
        self.optional(section, field, check).unwrap_or(default)
    }

    /// Parses the value of a key and collects the mistake, if any.
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

    /// Reports the keys of a section that are not allowed.
    pub(crate) fn check_keys(&mut self, section: &Section, allowed: &[&str]) {
        for key in &section.keys {
            if allowed.contains(&key.name.as_str()) {
                continue;
            }
            let message = format!("unknown key; allowed: {}", allowed.join(", "));
            self.error(key.line, &section.name, &key.name, message);
        }
    }

    /// Reports a mistake at a key, or at its section if the key is missing.
    pub(crate) fn report(&mut self, section: &str, field: &str, message: impl Into<String>) {
        let line = match (self.key(section, field), self.document.section(section)) {
            (Some(key), _) => key.line,
            (None, Some(section)) => section.line,
            (None, None) => 1,
        };
        self.error(line, section, field, message);
    }

    /// Returns the value if there are no mistakes, otherwise all mistakes in order of their lines.
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

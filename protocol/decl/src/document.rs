//! INI documents: sections and keys with their line numbers.

use std::collections::BTreeMap;

use ini::{Ini, ParseOption};

use crate::FileError;

/// The largest accepted file, in bytes.
pub(crate) const MAX_FILE_BYTES: usize = 1024 * 1024;

/// A key with its value and line number.
#[derive(Debug)]
pub(crate) struct Key {
    pub(crate) name: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// A section with its keys in file order.
#[derive(Debug)]
pub(crate) struct Section {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) keys: Vec<Key>,
}

/// The sections of a file in file order. Section names and the keys of a section are unique.
#[derive(Debug)]
pub(crate) struct Document {
    pub(crate) file: String,
    pub(crate) sections: Vec<Section>,
}

impl Document {
    /// Parses a text. On failure, returns an error for each malformed line.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Document, Vec<FileError>> {
        if text.len() > MAX_FILE_BYTES {
            let message =
                format!("the file has {} bytes; allowed: {MAX_FILE_BYTES} at most", text.len());
            return Err(vec![FileError::new(file, 1, "", "", message)]);
        }
        let mut scanner = Scanner::new(file);
        for (i, line) in text.lines().enumerate() {
            scanner.scan_line(i + 1, line);
        }
        if !scanner.errors.is_empty() {
            return Err(scanner.errors);
        }
        let values = read_values(file, text)?;
        scanner.into_document(values)
    }

    pub(crate) fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|it| it.name == name)
    }
}

/// Returns the values, as parsed by the INI library, in file order.
fn read_values(file: &str, text: &str) -> Result<Vec<String>, Vec<FileError>> {
    let opt = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let ini = Ini::load_from_str_opt(text, opt)
        .map_err(|err| vec![FileError::new(file, err.line, "", "", err.msg.into_owned())])?;
    let mut values = Vec::new();
    for (_, properties) in ini.iter() {
        for (_, value) in properties.iter() {
            values.push(value.trim().to_owned());
        }
    }
    Ok(values)
}

/// Finds the lines of sections and keys, which the INI library doesn't return.
struct Scanner<'a> {
    file: &'a str,
    sections: Vec<Section>,
    /// The first line of each section by name.
    section_lines: BTreeMap<String, usize>,
    /// The line of each key of the current section.
    key_lines: BTreeMap<String, usize>,
    errors: Vec<FileError>,
}

impl<'a> Scanner<'a> {
    fn new(file: &'a str) -> Scanner<'a> {
        Scanner {
            file,
            sections: Vec::new(),
            section_lines: BTreeMap::new(),
            key_lines: BTreeMap::new(),
            errors: Vec::new(),
        }
    }

    fn scan_line(&mut self, number: usize, line: &str) {
        if line.chars().any(|it| it.is_control() && it != '\t') {
            self.error(number, "", "control characters are not allowed");
            return;
        }
        if line.ends_with('\\') {
            self.error(number, "", "a line can't be continued; write it as one line");
            return;
        }
        let line = line.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            return;
        }
        if line.starts_with('[') {
            self.scan_section(number, line);
            return;
        }
        self.scan_key(number, line);
    }

    fn scan_section(&mut self, number: usize, line: &str) {
        let inner = line.strip_prefix('[').and_then(|it| it.strip_suffix(']'));
        let name = inner.map(str::trim).unwrap_or_default().to_owned();
        let earlier = self.section_lines.get(&name).copied();
        self.section_lines.entry(name.clone()).or_insert(number);
        self.key_lines.clear();
        let valid = !name.is_empty() && !name.contains(['[', ']']);
        self.sections.push(Section { name, line: number, keys: Vec::new() });
        if !valid {
            self.error(number, "", "a section is written as `[name]` on a line of its own");
            return;
        }
        if let Some(first) = earlier {
            self.error(number, "", format!("the section stands twice, first on line {first}"));
        }
    }

    fn scan_key(&mut self, number: usize, line: &str) {
        let Some((name, _)) = line.split_once(['=', ':']) else {
            self.error(number, line, "expected `key = value`, `[section]` or a comment");
            return;
        };
        let name = name.trim();
        if line.find(':') == line.find(['=', ':']) {
            self.error(number, name, "a key and its value are separated by `=`");
            return;
        }
        if name.is_empty() {
            self.error(number, "", "the key is missing before `=`");
            return;
        }
        if self.sections.is_empty() {
            self.error(number, name, "the key stands before the first section");
            return;
        }
        if let Some(first) = self.key_lines.get(name) {
            let message = format!("the key stands twice, first on line {first}");
            self.error(number, name, message);
            return;
        }
        self.key_lines.insert(name.to_owned(), number);
        let key = Key { name: name.to_owned(), value: String::new(), line: number };
        if let Some(section) = self.sections.last_mut() {
            section.keys.push(key);
        }
    }

    fn error(&mut self, line: usize, field: &str, message: impl Into<String>) {
        let section = self.sections.last().map_or("", |it| it.name.as_str());
        self.errors.push(FileError::new(self.file, line, section, field, message));
    }

    /// Assigns the values, in file order, to the keys.
    fn into_document(mut self, values: Vec<String>) -> Result<Document, Vec<FileError>> {
        let count: usize = self.sections.iter().map(|it| it.keys.len()).sum();
        if count != values.len() {
            self.error(1, "", "the file can't be read as INI");
            return Err(self.errors);
        }
        let keys = self.sections.iter_mut().flat_map(|it| &mut it.keys);
        for (key, value) in keys.zip(values) {
            key.value = value;
        }
        Ok(Document { file: self.file.to_owned(), sections: self.sections })
    }
}

//! INI text as sections and keys with their lines.

use std::collections::BTreeMap;

use ini::{Ini, ParseOption};

use crate::FileError;

/// The largest file that is read, in bytes.
pub(crate) const MAX_FILE_BYTES: usize = 1024 * 1024;

/// A key with its value.
#[derive(Debug)]
pub(crate) struct Key {
    pub(crate) name: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// A section with its keys in the order of the file.
#[derive(Debug)]
pub(crate) struct Section {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) keys: Vec<Key>,
}

/// A file's sections in the order of the file. No section and no key of a
/// section stands twice.
#[derive(Debug)]
pub(crate) struct Document {
    pub(crate) file: String,
    pub(crate) sections: Vec<Section>,
}

impl Document {
    /// Splits a text. All lines that can't be read are reported.
    pub(crate) fn parse(file: &str, text: &str) -> Result<Document, Vec<FileError>> {
        if text.len() > MAX_FILE_BYTES {
            let message =
                format!("the file has {} bytes; allowed: {MAX_FILE_BYTES} at most", text.len());
            return Err(vec![FileError::new(file, 1, "", "", message)]);
        }
        let mut scan = Scan::new(file);
        for (i, line) in text.lines().enumerate() {
            scan.line(i + 1, line);
        }
        if !scan.errors.is_empty() {
            return Err(scan.errors);
        }
        let values = read_values(file, text)?;
        scan.fill(values)
    }

    /// Returns a section by name.
    pub(crate) fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|it| it.name == name)
    }
}

/// Reads the values with the INI library, in the order of the file.
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

/// Finds where sections and keys stand, which the INI library does not tell.
struct Scan<'a> {
    file: &'a str,
    sections: Vec<Section>,
    lines: BTreeMap<String, usize>,
    keys: BTreeMap<String, usize>,
    errors: Vec<FileError>,
}

impl<'a> Scan<'a> {
    fn new(file: &'a str) -> Scan<'a> {
        Scan {
            file,
            sections: Vec::new(),
            lines: BTreeMap::new(),
            keys: BTreeMap::new(),
            errors: Vec::new(),
        }
    }

    fn line(&mut self, number: usize, line: &str) {
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
            self.section(number, line);
            return;
        }
        self.key(number, line);
    }

    fn section(&mut self, number: usize, line: &str) {
        let inner = line.strip_prefix('[').and_then(|it| it.strip_suffix(']'));
        let name = inner.map(str::trim).unwrap_or_default().to_owned();
        let known = self.lines.get(&name).copied();
        self.lines.entry(name.clone()).or_insert(number);
        self.keys.clear();
        let plain = !name.is_empty() && !name.contains(['[', ']']);
        self.sections.push(Section { name, line: number, keys: Vec::new() });
        if !plain {
            self.error(number, "", "a section is written as `[name]` on a line of its own");
            return;
        }
        if let Some(first) = known {
            self.error(number, "", format!("the section stands twice, first on line {first}"));
        }
    }

    fn key(&mut self, number: usize, line: &str) {
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
        if let Some(first) = self.keys.get(name) {
            let message = format!("the key stands twice, first on line {first}");
            self.error(number, name, message);
            return;
        }
        self.keys.insert(name.to_owned(), number);
        let key = Key { name: name.to_owned(), value: String::new(), line: number };
        if let Some(section) = self.sections.last_mut() {
            section.keys.push(key);
        }
    }

    fn error(&mut self, line: usize, field: &str, message: impl Into<String>) {
        let section = self.sections.last().map_or("", |it| it.name.as_str());
        self.errors.push(FileError::new(self.file, line, section, field, message));
    }

    /// Gives each key its value.
    fn fill(mut self, values: Vec<String>) -> Result<Document, Vec<FileError>> {
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

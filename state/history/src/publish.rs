//! Parsing and checks of a publish before it is applied.

use std::collections::BTreeMap;

use decl::Declaration;
use wire::{ErrorKind, Fault, Publish};

use crate::{Hash, digest};

/// Maximum number of files in one publish.
pub const MAX_FILES: usize = 1000;
/// Maximum length of an author or revision, in bytes.
pub const MAX_LABEL_BYTES: usize = 200;
/// Maximum number of mistakes or refusals listed in an error message.
const MAX_LISTED: usize = 20;

/// One parsed file of a publish.
#[derive(Debug)]
pub(crate) struct File {
    pub(crate) name: String,
    pub(crate) declaration: Declaration,
    pub(crate) digest: Hash,
    pub(crate) text: String,
}

/// Parses the files of a publish and returns them by service. An error reports the mistakes of
/// all files.
pub(crate) fn parse_files(publish: &Publish) -> Result<BTreeMap<String, File>, Fault> {
    let mut mistakes = Vec::new();
    check_label(&mut mistakes, "author", &publish.author);
    check_label(&mut mistakes, "revision", &publish.revision);
    let count = publish.files.len();
    if count == 0 || count > MAX_FILES {
        mistakes.push(format!("{count} files were handed in; allowed: 1 to {MAX_FILES}"));
    }
    let mut files: BTreeMap<String, File> = BTreeMap::new();
    for file in publish.files.iter().take(MAX_FILES) {
        let declaration = match Declaration::parse(&file.name, &file.text) {
            Ok(declaration) => declaration,
            Err(errors) => {
                mistakes.extend(errors.iter().map(ToString::to_string));
                continue;
            }
        };
        let service = declaration.service.clone();
        if let Some(other) = files.get(&service) {
            mistakes.push(format!("{} and {} both declare {service}", other.name, file.name));
            continue;
        }
        let parsed = File {
            name: file.name.clone(),
            declaration,
            digest: digest(file.text.as_bytes()),
            text: file.text.clone(),
        };
        files.insert(service, parsed);
    }
    if mistakes.is_empty() {
        return Ok(files);
    }
    Err(Fault::new(ErrorKind::BadDeclaration, join_lines(&mistakes)))
}

fn check_label(mistakes: &mut Vec<String>, field: &str, text: &str) {
    let plain = !text.trim().is_empty() && !text.chars().any(char::is_control);
    if !plain || text.len() > MAX_LABEL_BYTES {
        mistakes.push(format!("{field}: allowed: 1 to {MAX_LABEL_BYTES} printable bytes"));
    }
}

/// Joins the first [`MAX_LISTED`] lines and adds the number of the others.
pub(crate) fn join_lines(lines: &[String]) -> String {
    let mut shown = lines[..lines.len().min(MAX_LISTED)].join("\n");
    if lines.len() > MAX_LISTED {
        shown.push_str(&format!("\nand {} more", lines.len() - MAX_LISTED));
    }
    shown
}

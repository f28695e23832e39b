//! Checks of a publish before it is applied.

use std::collections::BTreeMap;

use decl::Declaration;
use wire::{ErrorKind, Fault, Publish};

use crate::{Hash, digest};

/// The most files of one publish.
pub const MAX_FILES: usize = 1000;
/// The longest author and revision, in bytes.
pub const MAX_LABEL_BYTES: usize = 200;
/// Mistakes that a refusal lists at most.
const MAX_LISTED: usize = 20;

/// One file of a publish, read and digested.
#[derive(Debug)]
pub(crate) struct File {
    pub(crate) name: String,
    pub(crate) declaration: Declaration,
    pub(crate) digest: Hash,
    pub(crate) text: String,
}

/// Reads the files of a publish by service. All mistakes are reported.
pub(crate) fn read(publish: &Publish) -> Result<BTreeMap<String, File>, Fault> {
    let mut mistakes = Vec::new();
    label(&mut mistakes, "author", &publish.author);
    label(&mut mistakes, "revision", &publish.revision);
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
        let read = File {
            name: file.name.clone(),
            declaration,
            digest: digest(file.text.as_bytes()),
            text: file.text.clone(),
        };
        files.insert(service, read);
    }
    if mistakes.is_empty() {
        return Ok(files);
    }
    Err(Fault::new(ErrorKind::BadDeclaration, list(&mistakes)))
}

fn label(mistakes: &mut Vec<String>, field: &str, text: &str) {
    let plain = !text.trim().is_empty() && !text.chars().any(char::is_control);
    if !plain || text.len() > MAX_LABEL_BYTES {
        mistakes.push(format!("{field}: allowed: 1 to {MAX_LABEL_BYTES} printable bytes"));
    }
}

/// Joins lines, the first few of them.
pub(crate) fn list(lines: &[String]) -> String {
    let mut shown = lines[..lines.len().min(MAX_LISTED)].join("\n");
    if lines.len() > MAX_LISTED {
        shown.push_str(&format!("\nand {} more", lines.len() - MAX_LISTED));
    }
    shown
}

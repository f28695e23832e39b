//! Numbered configuration documents.

use bytes::Bytes;
use desired::Command;

const PREFIX: &str = "document ";

/// Returns the change to the document with a number.
pub fn replace(number: u64) -> Command {
    Command::Replace { number, body: Bytes::from(format!("{PREFIX}{number}")) }
}

/// Returns the number of the last document that came into force; 0 if there is none.
pub fn last_number(configs: &[Bytes]) -> u64 {
    let Some(document) = configs.last() else { return 0 };
    let text = std::str::from_utf8(document).expect("a text");
    text.trim_start_matches(PREFIX).parse().expect("a number")
}

//! JSON output of commands.

use serde::Serialize;

use crate::error::Error;

/// Prints a value as indented JSON to standard output.
pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<(), Error> {
    println!("{}", to_json(value)?);
    Ok(())
}

/// Converts a value to indented JSON.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Result<String, Error> {
    serde_json::to_string_pretty(value).map_err(|err| Error::failed(err.to_string()))
}

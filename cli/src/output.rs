//! What scripts read.

use serde::Serialize;

use crate::error::Error;

/// Prints a value as JSON for scripts.
pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<(), Error> {
    println!("{}", to_json(value)?);
    Ok(())
}

/// Writes a value as JSON for people and scripts.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Result<String, Error> {
    serde_json::to_string_pretty(value).map_err(|err| Error::failed(err.to_string()))
}

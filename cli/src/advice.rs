//! Advice for the user on errors that hosts answer.

use api::ErrorDetail;

use crate::error::Error;

/// Advice by error code; takes precedence over [`BY_RETRY`].
const BY_CODE: &[(&str, &str)] = &[
    ("version_taken", "raise the version and publish again"),
    ("stale_version", "start from the declaration in force, raise its version and publish again"),
    ("bad_declaration", "correct the files; `poplarhollow check` shows all mistakes"),
    ("no_quorum", "run the command again; files that were already accepted get the same receipt"),
    ("forbidden", "sign with the hosts' publish key (--key-file)"),
    ("unknown_adapter", "publish a declaration that names it"),
    (
        "wrong_version",
        "publish a declaration that names this version, or request a version in force",
    ),
    ("unknown_service", "see `poplarhollow status` for the services in force"),
    ("key_missing", "add --key"),
    ("key_reused", "use a new key"),
    ("key_expired", "check with the service whether the call ran, then use a new key"),
    ("in_doubt", "check with the service whether the call ran, then use a new key"),
    ("quarantined", "change the request"),
    ("too_large", "send a smaller request"),
];

/// Advice by the error's `retry` field, for codes without a row in [`BY_CODE`].
const BY_RETRY: &[(&str, &str)] =
    &[("later", "run the command again later"), ("elsewhere", "try another host")];

/// Converts a host's error to the command's error and appends advice.
///
/// The outcome of the command is unknown if it is unknown whether the request ran.
pub(crate) fn to_error(detail: &ErrorDetail) -> Error {
    let by_code = BY_CODE.iter().find(|it| it.0 == detail.code);
    let row = by_code.or_else(|| BY_RETRY.iter().find(|it| it.0 == detail.retry));
    let message = match row {
        Some((_, advice)) => format!("{}; {advice}", detail.message),
        None => detail.message.clone(),
    };
    match detail.ran.as_str() {
        "unknown" => Error::unknown(message),
        _ => Error::failed(message),
    }
}

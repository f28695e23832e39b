//! What to do next about an error that a host answered.

use api::ErrorDetail;

use crate::error::Error;

/// Advice by error code.
const BY_CODE: &[(&str, &str)] = &[
    ("version_taken", "raise the version and publish again"),
    ("stale_version", "take over what is in force, raise its version and publish again"),
    ("bad_declaration", "correct the files; `poplarhollow check` shows all mistakes"),
    ("no_quorum", "run the command again: files that were accepted get the same receipt"),
    ("forbidden", "sign with the publish key of the hosts, --key-file"),
    ("unknown_adapter", "publish a declaration that names it"),
    ("wrong_version", "publish a declaration that names this version, or ask for one in force"),
    ("unknown_service", "see `poplarhollow status` for the services in force"),
    ("key_missing", "add --key"),
    ("key_reused", "use a new key"),
    ("key_expired", "find out at the service whether the call ran, then use a new key"),
    ("in_doubt", "find out at the service whether the call ran, then use a new key"),
    ("quarantined", "change the request"),
    ("too_large", "send less at once"),
];

/// Advice by the error's own word.
const BY_RETRY: &[(&str, &str)] =
    &[("later", "run the command again later"), ("elsewhere", "name another host")];

/// Turns a host's error into the command's.
pub(crate) fn explain(detail: &ErrorDetail) -> Error {
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

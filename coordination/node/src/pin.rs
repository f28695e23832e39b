//! Binding of a request to what the configuration in force declares.

use decl::Call;
use history::Config;
use sha2::{Digest, Sha256};
use wire::{ErrorKind, Fault, Fingerprint, Forward, Pin};

use crate::CallerRequest;

const PROMPT_KEY: &[u8] = b"\"prompt\"";
/// Bytes of a request's body that count as its prompt's prefix, from the prompt's key on.
const PREFIX_BYTES: usize = 256;

/// Returns the adapter or service that a request is bound to, and the declared call.
pub(crate) fn pin_request(config: &Config, caller: &CallerRequest) -> Result<(Pin, Call), Fault> {
    let service = caller.service.as_deref();
    let name = caller.call.as_deref();
    let model = caller.model.as_deref();
    if let Some(model) = model {
        let info = config.resolve(model).map_err(|kind| Fault::new(kind, model))?;
        let call = config.call(service, name, Some(model)).map_err(Fault::from)?;
        let pin = Pin::Adapter { id: info.id, name: info.name.clone() };
        return Ok((pin, call.clone()));
    }
    let Some(service) = service else {
        return Err(Fault::new(ErrorKind::BadRequest, "neither a model nor a service is named"));
    };
    let call = config.call(Some(service), name, None).map_err(|kind| Fault::new(kind, service))?;
    Ok((Pin::Service { service: service.to_owned() }, call.clone()))
}

/// Hashes the start of a prompt, whose prefill an engine may have cached. Returns zero for a
/// request without a prompt.
pub(crate) fn prefix(forward: &Forward) -> u64 {
    let body = &forward.body;
    let found = body.windows(PROMPT_KEY.len()).position(|part| part == PROMPT_KEY);
    let Some(start) = found else { return 0 };
    let end = body.len().min(start + PREFIX_BYTES);
    let hash = Sha256::digest(&body[start..end]);
    u64::from_be_bytes(std::array::from_fn(|idx| hash[idx]))
}

/// Hashes what a target receives of a request: the name of the adapter or service, path and body.
pub(crate) fn request_fingerprint(pin: &Pin, path: &str, body: &[u8]) -> Fingerprint {
    let name = match pin {
        Pin::Adapter { name, .. } => name,
        Pin::Service { service } => service,
    };
    let mut hasher = Sha256::new();
    for part in [name.as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    std::array::from_fn(|idx| hash[idx])
}

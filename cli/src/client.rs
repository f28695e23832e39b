//! HTTP exchanges with hosts.

use std::{future::Future, net::SocketAddr, str::FromStr, time::Duration};

use api::{ErrorBody, ErrorDetail};
use bytes::Bytes;
use http::{Method, Request, Response, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as HyperClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use tokio::{runtime, time::timeout};

use crate::{advice::to_error, error::Error};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Environment variable and flag that give operator addresses.
pub(crate) const HOSTS: (&str, &str) = ("POPLARHOLLOW_HOSTS", "--host");
/// Environment variable and flag that give entry addresses.
pub(crate) const ENTRIES: (&str, &str) = ("POPLARHOLLOW_ENTRIES", "--entry");

/// Addresses of hosts, parsed from a comma-separated list.
#[derive(Debug, Clone)]
pub(crate) struct Addresses(pub(crate) Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Addresses, String> {
        let mut addrs = Vec::new();
        for part in text.split(',') {
            let addr = part.trim().parse();
            addrs.push(addr.map_err(|_| format!("`{part}` is not an IP address with a port"))?);
        }
        Ok(Addresses(addrs))
    }
}

impl Addresses {
    /// Returns the addresses of the command line, or those of the environment variable.
    ///
    /// Fails with a usage error if there are none or the variable can't be parsed.
    pub(crate) fn or_env(
        given: Option<Addresses>,
        (variable, option): (&str, &str),
    ) -> Result<Addresses, Error> {
        if let Some(given) = given {
            return Ok(given);
        }
        let Ok(text) = std::env::var(variable) else {
            let message = format!("no host address; add {option} or set {variable}");
            return Err(Error::usage(message));
        };
        text.parse().map_err(|err| Error::usage(format!("{variable}: {err}")))
    }
}

/// Reason why an exchange gave no result.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Nothing was sent: the host could not be reached or the request could not be built.
    NotSent(String),
    /// The request may have been sent, and no complete, readable answer arrived.
    Lost(String),
    /// The host answered with an error.
    Answered(ErrorDetail),
}

impl Failure {
    /// Whether to try the next host: the request had no effect and the host advises another
    /// one, or its effect is unknown and it is safe to repeat (`repeatable`).
    pub(crate) fn try_elsewhere(&self, repeatable: bool) -> bool {
        match self {
            Failure::NotSent(_) => true,
            Failure::Lost(_) => repeatable,
            Failure::Answered(detail) => match detail.ran.as_str() {
                "no" => detail.retry == "elsewhere",
                "unknown" => repeatable,
                _ => false,
            },
        }
    }

    /// Whether it is unknown if the request took effect.
    pub(crate) fn is_unknown(&self) -> bool {
        match self {
            Failure::NotSent(_) => false,
            Failure::Lost(_) => true,
            Failure::Answered(detail) => detail.ran == "unknown",
        }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Error {
        match failure {
            Failure::NotSent(message) => {
                Error::failed(format!("{message}; nothing was sent; try another host"))
            }
            Failure::Lost(message) => Error::unknown(message),
            Failure::Answered(detail) => to_error(&detail),
        }
    }
}

/// HTTP client for requests to hosts.
pub(crate) struct Client {
    hyper: HyperClient<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client. The timeout applies to the head of an answer and, separately, to a body
    /// that the client reads.
    pub(crate) fn new(timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // hyper must not resend requests: whether a request may be repeated is decided by the
        // commands.
        let mut builder = HyperClient::builder(TokioExecutor::new());
        let hyper = builder.retry_canceled_requests(false).build(connector);
        Client { hyper, timeout }
    }

    /// Gets a path and parses the JSON body. Tries the hosts in order until one answers.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        addrs: &Addresses,
        path: &str,
    ) -> Result<T, Error> {
        let mut failure = Failure::NotSent("no host address".to_owned());
        for addr in &addrs.0 {
            match self.exchange(*addr, Method::GET, path, &[], Bytes::new()).await {
                Ok(body) => return parse(*addr, &body).map_err(read_only_error),
                Err(err) => failure = err,
            }
            if !failure.try_elsewhere(true) {
                break;
            }
        }
        Err(read_only_error(failure))
    }

    /// Sends a request to one host and returns the complete body of a successful answer.
    pub(crate) async fn exchange(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<Bytes, Failure> {
        let response = self.open(addr, method, path, headers, body).await?;
        let collected = timeout(self.timeout, response.into_body().collect()).await;
        match collected {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(err)) => Err(connection_lost(addr, &err)),
            Err(_) => {
                Err(Failure::Lost(format!("no complete answer from {addr} within the time limit")))
            }
        }
    }

    /// Sends a request to one host and returns a successful answer whose body is still unread.
    pub(crate) async fn open(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<Response<Incoming>, Failure> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        let request = builder
            .body(Full::new(body))
            .map_err(|err| Failure::NotSent(format!("could not build the request: {err}")))?;
        let response = match timeout(self.timeout, self.hyper.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(err)) if err.is_connect() => {
                return Err(Failure::NotSent(format!(
                    "could not connect to {addr}{}",
                    causes(&err)
                )));
            }
            Ok(Err(err)) => return Err(connection_lost(addr, &err)),
            Err(_) => {
                return Err(Failure::Lost(format!("no answer from {addr} within the time limit")));
            }
        };
        if response.status().is_success() {
            return Ok(response);
        }
        Err(self.read_error(addr, response).await)
    }

    async fn read_error(&self, addr: SocketAddr, response: Response<Incoming>) -> Failure {
        let status = response.status();
        let unreadable =
            || Failure::Lost(format!("{addr} answered {status} without a readable error"));
        let collected = timeout(self.timeout, response.into_body().collect()).await;
        let Ok(Ok(body)) = collected else {
            return unreadable();
        };
        match serde_json::from_slice::<ErrorBody>(&body.to_bytes()) {
            Ok(body) => Failure::Answered(body.error),
            Err(_) => unreadable(),
        }
    }
}

/// Parses the JSON body of a host's answer.
pub(crate) fn parse<T: DeserializeOwned>(addr: SocketAddr, body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|err| Failure::Lost(format!("could not parse the answer of {addr}: {err}")))
}

/// Converts the failure of a read-only exchange. It changes nothing, so its outcome is never
/// unknown.
fn read_only_error(failure: Failure) -> Error {
    match failure {
        Failure::Lost(message) => Error::failed(format!("{message}; run the command again")),
        Failure::Answered(mut detail) => {
            detail.ran = "no".to_owned();
            to_error(&detail)
        }
        failure => failure.into(),
    }
}

/// Reports a lost connection with the error's chain of causes.
pub(crate) fn connection_lost(addr: SocketAddr, err: &dyn std::error::Error) -> Failure {
    Failure::Lost(format!("the connection to {addr} was lost: {err}{}", causes(err)))
}

/// Formats the chain of an error's causes, each after a colon.
fn causes(err: &dyn std::error::Error) -> String {
    let mut text = String::new();
    let mut cause = err.source();
    while let Some(err) = cause {
        text.push_str(&format!(": {err}"));
        cause = err.source();
    }
    text
}

/// Runs a command's future on a new single-threaded runtime.
pub(crate) fn block_on<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    runtime
        .map_err(|err| Error::failed(format!("could not start the runtime: {err}")))?
        .block_on(future)
}

/// Returns a name unchanged for use in a URL. Fails if it contains characters that declared
/// names can't have, so no escaping is needed.
pub(crate) fn url_part(name: &str) -> Result<&str, Error> {
    if !name.is_empty() && name.chars().all(|it| it.is_ascii_alphanumeric() || "@._-".contains(it))
    {
        return Ok(name);
    }
    Err(Error::usage(format!(
        "`{name}` is not a valid name; allowed: a-z, 0-9, `.`, `_`, `-`, `@`"
    )))
}

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

use crate::{advice::explain, error::Error};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Environment variable with operator addresses.
pub(crate) const HOSTS: (&str, &str) = ("POPLARHOLLOW_HOSTS", "--host");
/// Environment variable with entry addresses.
pub(crate) const ENTRIES: (&str, &str) = ("POPLARHOLLOW_ENTRIES", "--entry");

/// Addresses of hosts, written with commas between them.
#[derive(Debug, Clone)]
pub(crate) struct Addresses(pub(crate) Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Addresses, String> {
        let mut addrs = Vec::new();
        for part in text.split(',') {
            let addr = part.trim().parse();
            addrs.push(addr.map_err(|_| format!("`{part}` is no IP number with a port"))?);
        }
        Ok(Addresses(addrs))
    }
}

impl Addresses {
    /// Returns the given addresses, or those of the environment.
    pub(crate) fn or_env(
        given: Option<Addresses>,
        (variable, option): (&str, &str),
    ) -> Result<Addresses, Error> {
        if let Some(given) = given {
            return Ok(given);
        }
        let Ok(text) = std::env::var(variable) else {
            let message = format!("no address of a host; add {option} or set {variable}");
            return Err(Error::usage(message));
        };
        text.parse().map_err(|err| Error::usage(format!("{variable}: {err}")))
    }
}

/// Why an exchange brought no result.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// Something was sent, and no whole answer came.
    Lost(String),
    /// The host answered with an error.
    Answered(ErrorDetail),
}

impl Failure {
    /// Whether another host may answer better: nothing happened, or the
    /// request may be sent twice.
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

    /// Whether the request may have had its effect.
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
                Error::failed(format!("{message}; nothing was sent; name another host"))
            }
            Failure::Lost(message) => Error::unknown(message),
            Failure::Answered(detail) => explain(&detail),
        }
    }
}

/// A client towards hosts.
pub(crate) struct Client {
    hyper: HyperClient<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Makes a client whose exchanges end within a time.
    pub(crate) fn new(timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A request goes out once; whether to send it again is decided here.
        let mut builder = HyperClient::builder(TokioExecutor::new());
        let hyper = builder.retry_canceled_requests(false).build(connector);
        Client { hyper, timeout }
    }

    /// Gets a JSON answer of a path from the first host that gives one.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        addrs: &Addresses,
        path: &str,
    ) -> Result<T, Error> {
        let mut failure = Failure::NotSent("no address of a host".to_owned());
        for addr in &addrs.0 {
            match self.exchange(*addr, Method::GET, path, &[], Bytes::new()).await {
                Ok(body) => return parse(*addr, &body).map_err(known),
                Err(err) => failure = err,
            }
            if !failure.try_elsewhere(true) {
                break;
            }
        }
        Err(known(failure))
    }

    /// Sends a request to one host and returns the whole answer of a success.
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
            Ok(Err(err)) => Err(lost(addr, &err)),
            Err(_) => Err(Failure::Lost(format!("no whole answer came from {addr} in time"))),
        }
    }

    /// Sends a request to one host and returns the start of a success.
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
            .map_err(|err| Failure::NotSent(format!("could not make the request: {err}")))?;
        let response = match timeout(self.timeout, self.hyper.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(err)) if err.is_connect() => {
                return Err(Failure::NotSent(format!(
                    "could not connect to {addr}{}",
                    causes(&err)
                )));
            }
            Ok(Err(err)) => return Err(lost(addr, &err)),
            Err(_) => return Err(Failure::Lost(format!("no answer came from {addr} in time"))),
        };
        if response.status().is_success() {
            return Ok(response);
        }
        Err(self.read_error(addr, response).await)
    }

    async fn read_error(&self, addr: SocketAddr, response: Response<Incoming>) -> Failure {
        let status = response.status();
        let unreadable = || Failure::Lost(format!("{addr} answered {status} without a reason"));
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

/// Reads a host's JSON answer.
pub(crate) fn parse<T: DeserializeOwned>(addr: SocketAddr, body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|err| Failure::Lost(format!("could not read the answer of {addr}: {err}")))
}

/// An exchange that changes nothing leaves no outcome unknown.
fn known(failure: Failure) -> Error {
    match failure {
        Failure::Lost(message) => Error::failed(format!("{message}; run the command again")),
        Failure::Answered(mut detail) => {
            detail.ran = "no".to_owned();
            explain(&detail)
        }
        failure => failure.into(),
    }
}

/// Says that a connection was lost, with the chain of causes.
pub(crate) fn lost(addr: SocketAddr, err: &dyn std::error::Error) -> Failure {
    Failure::Lost(format!("the connection to {addr} was lost: {err}{}", causes(err)))
}

/// Writes the chain of an error's causes.
fn causes(err: &dyn std::error::Error) -> String {
    let mut text = String::new();
    let mut cause = err.source();
    while let Some(err) = cause {
        text.push_str(&format!(": {err}"));
        cause = err.source();
    }
    text
}

/// Runs a command's exchanges.
pub(crate) fn block_on<T>(work: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|err| Error::failed(format!("could not start: {err}")))?.block_on(work)
}

/// Returns a name as part of a URL. Declared names need no escapes.
pub(crate) fn url_part(name: &str) -> Result<&str, Error> {
    if !name.is_empty() && name.chars().all(|it| it.is_ascii_alphanumeric() || "@._-".contains(it))
    {
        return Ok(name);
    }
    Err(Error::usage(format!(
        "`{name}` is no declared name; allowed: a-z, 0-9, `.`, `_`, `-`, `@`"
    )))
}

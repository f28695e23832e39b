//! HTTP client of the sessions.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Upper bound on every wait in a session.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A complete response, or the record of a failed connection.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status; zero if the connection failed, broke or timed out.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body, decoded as UTF-8 with replacement characters.
    pub body: String,
}

impl Reply {
    fn disconnected() -> Reply {
        Reply { status: 0, headers: HeaderMap::new(), body: String::new() }
    }

    /// Returns a header's value, empty if it is missing or not text.
    pub fn header(&self, key: &str) -> &str {
        self.headers.get(key).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Parses the body as JSON; `None` if it has another form.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_str(&self.body).ok()
    }
}

/// A response whose body is still being received.
#[derive(Debug)]
pub struct Streamed {
    /// HTTP status.
    pub status: u16,
    body: Incoming,
}

impl Streamed {
    /// Returns the next chunk of the body; `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        let frame = self.body.frame().await?;
        Some(frame.map(|frame| frame.into_data().unwrap_or_default()))
    }

    /// Reads the rest of the body. Returns the text and whether the body ended without an error.
    pub async fn read_to_end(mut self) -> (String, bool) {
        let mut text = Vec::new();
        while let Some(chunk) = self.next().await {
            let Ok(bytes) = chunk else { return (into_text(&text), false) };
            text.extend_from_slice(&bytes);
        }
        (into_text(&text), true)
    }
}

fn into_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// An HTTP client. The default one opens a connection for each request.
#[derive(Debug, Clone)]
pub struct Client(Pool<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Client {
        Client::new(0)
    }
}

impl Client {
    /// Creates a client that keeps at most `pooled` idle connections per host for reuse.
    pub fn new(pooled: usize) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Pool::builder(TokioExecutor::new());
        Client(builder.pool_max_idle_per_host(pooled).build(connector))
    }

    /// Sends a request and returns the response once its headers are there; `None` if the
    /// connection failed or [`WAIT_LIMIT`] passed.
    pub async fn start(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<(Streamed, HeaderMap)> {
        let mut builder = Request::builder().method(method).uri(url);
        for (key, value) in headers {
            builder = builder.header(*key, *value);
        }
        let request = builder.body(Full::new(body.into())).ok()?;
        let response = timeout(WAIT_LIMIT, self.0.request(request)).await.ok()?.ok()?;
        let (parts, body) = response.into_parts();
        Some((Streamed { status: parts.status.as_u16(), body }, parts.headers))
    }

    async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Reply {
        let Some((streamed, headers)) = self.start(method, url, headers, body).await else {
            return Reply::disconnected();
        };
        let status = streamed.status;
        match timeout(WAIT_LIMIT, streamed.read_to_end()).await {
            Ok((body, true)) => Reply { status, headers, body },
            Ok((_, false)) | Err(_) => Reply::disconnected(),
        }
    }

    /// Sends a POST request and reads the whole response.
    pub async fn post(&self, url: &str, headers: &[(&str, &str)], body: impl Into<Bytes>) -> Reply {
        self.send(Method::POST, url, headers, body).await
    }

    /// Sends a POST request with a JSON body and reads the whole response.
    pub async fn post_json(&self, url: &str, body: impl Into<Bytes>) -> Reply {
        self.post(url, &[("content-type", "application/json")], body).await
    }

    /// Sends a GET request and reads the whole response.
    pub async fn get(&self, url: &str) -> Reply {
        self.send(Method::GET, url, &[], Bytes::new()).await
    }
}

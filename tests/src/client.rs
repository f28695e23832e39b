//! A small HTTP client for sessions.

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

/// The bound on any wait of a session.
pub const LIMIT: Duration = Duration::from_secs(60);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status; zero if the connection failed or broke.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body as text.
    pub body: String,
}

impl Reply {
    fn lost() -> Reply {
        Reply { status: 0, headers: HeaderMap::new(), body: String::new() }
    }

    /// Returns a header, empty if there is none.
    pub fn header(&self, key: &str) -> &str {
        self.headers.get(key).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_str(&self.body).ok()
    }
}

/// An answer that is still read.
#[derive(Debug)]
pub struct Streamed {
    /// HTTP status.
    pub status: u16,
    body: Incoming,
}

impl Streamed {
    /// Returns the next piece; none at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        let frame = self.body.frame().await?;
        Some(frame.map(|frame| frame.into_data().unwrap_or_default()))
    }

    /// Reads to the end. Returns the text and whether the body ended cleanly.
    pub async fn rest(mut self) -> (String, bool) {
        let mut text = Vec::new();
        while let Some(piece) = self.next().await {
            let Ok(bytes) = piece else { return (into_text(&text), false) };
            text.extend_from_slice(&bytes);
        }
        (into_text(&text), true)
    }
}

fn into_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A client whose every request has a connection of its own.
#[derive(Debug, Clone)]
pub struct Client(Pool<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Client {
        Client::new(0)
    }
}

impl Client {
    /// Makes a client that keeps connections open to reuse them, at most
    /// `pooled` for each host.
    pub fn new(pooled: usize) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Pool::builder(TokioExecutor::new());
        Client(builder.pool_max_idle_per_host(pooled).build(connector))
    }

    /// Sends a request and returns its answer as it starts; none if the
    /// connection failed.
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
        let response = timeout(LIMIT, self.0.request(request)).await.ok()?.ok()?;
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
            return Reply::lost();
        };
        let status = streamed.status;
        match timeout(LIMIT, streamed.rest()).await {
            Ok((body, true)) => Reply { status, headers, body },
            Ok((_, false)) | Err(_) => Reply::lost(),
        }
    }

    /// Posts a body.
    pub async fn post(&self, url: &str, headers: &[(&str, &str)], body: impl Into<Bytes>) -> Reply {
        self.send(Method::POST, url, headers, body).await
    }

    /// Posts JSON.
    pub async fn post_json(&self, url: &str, body: impl Into<Bytes>) -> Reply {
        self.post(url, &[("content-type", "application/json")], body).await
    }

    /// Gets an answer.
    pub async fn get(&self, url: &str) -> Reply {
        self.send(Method::GET, url, &[], Bytes::new()).await
    }
}

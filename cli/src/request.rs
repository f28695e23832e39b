//! `request`: sends one request and prints the answer.

use std::{
    io::{Write, stdout},
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use api::{
    ErrorBody, STREAM_END,
    header::{CALL, CALLER, DEADLINE, IDEMPOTENCY_KEY, KEY_MADE, RAN, SERVICE, TARGET},
};
use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::{
    client::{Addresses, Client, ENTRIES, Failure, block_on, connection_lost, url_part},
    cmd::Request,
    error::Error,
};

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(600);
const CONTEXT: &str = "could not get an answer";

/// A request that is ready to be sent.
struct PreparedRequest {
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Request {
    pub(crate) fn run(self) -> Result<(), Error> {
        let addrs = Addresses::or_env(self.entry.clone(), ENTRIES)?;
        let key_made = self.key_made.unwrap_or_else(now);
        let prepared = self.build(key_made)?;
        block_on(async {
            let result = self.send(&addrs, &prepared).await;
            result.map_err(|failure| self.error_for(failure, key_made).context(CONTEXT))
        })
    }

    /// Converts a failure to the command's error, with advice on how to repeat the request.
    fn error_for(&self, failure: Failure, key_made: u64) -> Error {
        let advice = match &self.key {
            Some(key) => format!("repeat the request with --key {key} --key-made {key_made}"),
            None => "repeat the request if the call is idempotent".to_owned(),
        };
        match failure {
            Failure::Lost(message) => {
                Error::unknown(message).advise(&format!("the outcome is unknown; {advice}"))
            }
            Failure::Answered(detail) if detail.retry == "same-key" => {
                Error::unknown(detail.message).advise(&advice)
            }
            failure => failure.into(),
        }
    }

    fn build(&self, key_made: u64) -> Result<PreparedRequest, Error> {
        let optional = [
            (CALLER, self.caller.clone()),
            (DEADLINE, self.deadline_ms.map(|it| it.to_string())),
            (IDEMPOTENCY_KEY, self.key.clone()),
            (KEY_MADE, self.key.as_ref().map(|_| key_made.to_string())),
        ];
        let mut headers = Vec::new();
        for (name, value) in optional {
            headers.extend(value.map(|it| (name, it)));
        }
        if let Some(model) = &self.model {
            headers.extend(self.service.clone().map(|it| (SERVICE, it)));
            headers.extend(self.call.clone().map(|it| (CALL, it)));
            let mut body = json!({ "model": model, "prompt": self.prompt, "stream": self.stream });
            if let Some(tokens) = self.max_tokens {
                body["max_tokens"] = json!(tokens);
            }
            let body = Bytes::from(body.to_string());
            return Ok(PreparedRequest { path: "/v1/completions".to_owned(), headers, body });
        }
        let (Some(service), Some(call)) = (&self.service, &self.call) else {
            return Err(Error::usage("pass --model, or --service and --call"));
        };
        if self.stream {
            return Err(Error::usage("--stream requires --model"));
        }
        let path = format!("/v1/services/{}/{}", url_part(service)?, url_part(call)?);
        Ok(PreparedRequest { path, headers, body: Bytes::from(self.prompt.clone()) })
    }

    /// Sends the request to the entry addresses in order until one host takes it, and prints the
    /// answer. Tries the next one only if it is certain that the request was not run.
    async fn send(&self, addrs: &Addresses, prepared: &PreparedRequest) -> Result<(), Failure> {
        let client = Client::new(EXCHANGE_TIMEOUT);
        let mut failure = Failure::NotSent("no host address".to_owned());
        for addr in &addrs.0 {
            let opened = client
                .open(*addr, Method::POST, &prepared.path, &prepared.headers, prepared.body.clone())
                .await;
            match opened {
                Ok(response) => return self.read(*addr, response).await,
                Err(err) => failure = err,
            }
            if !failure.try_elsewhere(false) {
                break;
            }
        }
        Err(failure)
    }

    async fn read(&self, addr: SocketAddr, response: Response<Incoming>) -> Result<(), Failure> {
        let summary = summary(addr, response.headers());
        if self.stream {
            let read = read_stream(addr, response.into_body(), self.json).await;
            println!();
            read?;
        } else {
            let collected = response.into_body().collect().await;
            let body = collected.map_err(|err| connection_lost(addr, &err))?.to_bytes();
            println!("{}", self.render(&body));
        }
        eprintln!("{summary}");
        Ok(())
    }

    /// Returns the text of a completion, or the unchanged body with `--json`, for a plain service or
    /// if there is no text in it.
    fn render(&self, body: &[u8]) -> String {
        let unchanged = String::from_utf8_lossy(body).into_owned();
        if self.json || self.model.is_none() {
            return unchanged;
        }
        let value = serde_json::from_slice::<Value>(body).unwrap_or_default();
        match value["choices"][0]["text"].as_str() {
            Some(text) => text.trim_start().to_owned(),
            None => unchanged,
        }
    }
}

fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

fn summary(addr: SocketAddr, headers: &HeaderMap) -> String {
    let text = |name| headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or("unknown");
    format!("answered by {} with {} via {addr}", text(TARGET), text(RAN))
}

/// Prints the events of a stream as they arrive. Fails if the last one is not the end marker.
async fn read_stream(addr: SocketAddr, mut body: Incoming, raw: bool) -> Result<(), Failure> {
    let mut buffer = BytesMut::new();
    let mut ended = false;
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(|err| connection_lost(addr, &err))?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&bytes);
        while let Some(end) = buffer.windows(2).position(|it| it == b"\n\n") {
            let event = buffer.split_to(end);
            buffer.advance(2);
            ended = print_event(&event, raw)?;
        }
    }
    if ended {
        return Ok(());
    }
    Err(Failure::Lost("the answer ended before it was complete".to_owned()))
}

/// Prints one event. Returns whether it is the end marker. Fails if it is an error.
fn print_event(event: &[u8], raw: bool) -> Result<bool, Failure> {
    if STREAM_END.strip_suffix(b"\n\n") == Some(event) {
        return Ok(true);
    }
    let text = String::from_utf8_lossy(event);
    let data = text.lines().find_map(|it| it.strip_prefix("data: ")).unwrap_or_default();
    if let Ok(body) = serde_json::from_str::<ErrorBody>(data) {
        return Err(Failure::Answered(body.error));
    }
    if raw {
        println!("{data}");
        return Ok(false);
    }
    let value = serde_json::from_str::<Value>(data).unwrap_or_default();
    print!("{}", value["choices"][0]["text"].as_str().unwrap_or_default());
    let _ = stdout().flush();
    Ok(false)
}

//! `request`: one request and its answer.

use std::{
    io::{Write, stdout},
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use api::{
    ErrorBody, STREAM_END,
    header::{CALL, CALLER, DEADLINE, KEY, KEY_MADE, RAN, SERVICE, TARGET},
};
use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::{
    client::{Addresses, Client, ENTRIES, Failure, block_on, lost, url_part},
    cmd::Request,
    error::Error,
};

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(600);
const WHAT: &str = "could not get an answer";

/// A request as it is sent.
struct Sent {
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Request {
    pub(crate) fn run(self) -> Result<(), Error> {
        let addrs = Addresses::or_env(self.entry.clone(), ENTRIES)?;
        let made = self.key_made.unwrap_or_else(now);
        let sent = self.build(made)?;
        block_on(async {
            let result = self.send(&addrs, &sent).await;
            result.map_err(|failure| self.explain(failure, made).context(WHAT))
        })
    }

    /// Says what to do about a failure.
    fn explain(&self, failure: Failure, made: u64) -> Error {
        let again = match &self.key {
            Some(key) => format!("ask again with --key {key} --key-made {made}"),
            None => "ask again if the call is idempotent".to_owned(),
        };
        match failure {
            Failure::Lost(message) => {
                Error::unknown(message).advise(&format!("the outcome is unknown; {again}"))
            }
            Failure::Answered(detail) if detail.retry == "same-key" => {
                Error::unknown(detail.message).advise(&again)
            }
            failure => failure.into(),
        }
    }

    fn build(&self, made: u64) -> Result<Sent, Error> {
        let optional = [
            (CALLER, self.caller.clone()),
            (DEADLINE, self.deadline_ms.map(|it| it.to_string())),
            (KEY, self.key.clone()),
            (KEY_MADE, self.key.as_ref().map(|_| made.to_string())),
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
            return Ok(Sent { path: "/v1/completions".to_owned(), headers, body });
        }
        let (Some(service), Some(call)) = (&self.service, &self.call) else {
            return Err(Error::usage("name --model, or --service and --call"));
        };
        if self.stream {
            return Err(Error::usage("--stream goes with --model only"));
        }
        let path = format!("/v1/services/{}/{}", url_part(service)?, url_part(call)?);
        Ok(Sent { path, headers, body: Bytes::from(self.prompt.clone()) })
    }

    /// Sends the request to the first entry that takes it.
    async fn send(&self, addrs: &Addresses, sent: &Sent) -> Result<(), Failure> {
        let client = Client::new(EXCHANGE_TIMEOUT);
        let mut failure = Failure::NotSent("no address of a host".to_owned());
        for addr in &addrs.0 {
            let opened = client
                .open(*addr, Method::POST, &sent.path, &sent.headers, sent.body.clone())
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
        let about = about(addr, response.headers());
        if self.stream {
            let read = read_stream(addr, response.into_body(), self.json).await;
            println!();
            read?;
        } else {
            let collected = response.into_body().collect().await;
            let body = collected.map_err(|err| lost(addr, &err))?.to_bytes();
            println!("{}", self.render(&body));
        }
        eprintln!("{about}");
        Ok(())
    }

    /// Returns the text of a completion, or the body as it is.
    fn render(&self, body: &[u8]) -> String {
        let whole = String::from_utf8_lossy(body).into_owned();
        if self.json || self.model.is_none() {
            return whole;
        }
        let value = serde_json::from_slice::<Value>(body).unwrap_or_default();
        match value["choices"][0]["text"].as_str() {
            Some(text) => text.trim_start().to_owned(),
            None => whole,
        }
    }
}

fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

fn about(addr: SocketAddr, headers: &HeaderMap) -> String {
    let text = |name| headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or("unknown");
    format!("answered by {} with {} by way of {addr}", text(TARGET), text(RAN))
}

/// Prints the events of a stream as they come. It must end with its last event.
async fn read_stream(addr: SocketAddr, mut body: Incoming, raw: bool) -> Result<(), Failure> {
    let mut rest = BytesMut::new();
    let mut ended = false;
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(|err| lost(addr, &err))?.into_data() else {
            continue;
        };
        rest.extend_from_slice(&bytes);
        while let Some(end) = rest.windows(2).position(|it| it == b"\n\n") {
            let event = rest.split_to(end);
            rest.advance(2);
            ended = print_event(&event, raw)?;
        }
    }
    if ended {
        return Ok(());
    }
    Err(Failure::Lost("the answer ended before it was whole".to_owned()))
}

/// Prints one event. Returns whether it is the stream's last.
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

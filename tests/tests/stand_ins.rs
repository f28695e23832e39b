//! Tests of the stand-ins themselves: they count what they execute and refuse invalid requests and
//! orders. The end-to-end tests rely on both; otherwise they could pass without detecting a fault.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use api::{CapacityBody, KindBody, OrderBody};
use http::Method;
use sessions::{
    announce::StandIn,
    checkout::octet,
    client::{Client, Reply},
    cluster::completion,
    counts::Counts,
    engine::{Behaviour, Engine},
    options::Options,
    server::{Handler, serve},
    service::Service,
    text,
};

const INCARNATION: u64 = 7;
const MODEL: &str = "m@a@v1";

/// Returns a loopback address that differs between checkouts.
fn addr(number: u8) -> String {
    format!("127.{}.140.{number}:8100", octet())
}

fn options(addr: &str, kind: KindBody, fenced: bool) -> Options {
    Options {
        name: "t1".to_owned(),
        addr: addr.parse().unwrap(),
        domain: "north".to_owned(),
        hosts: Vec::new(),
        kind,
        capacity: CapacityBody { adapters: 2, requests: 2 },
        fenced,
        report_interval: Duration::from_millis(300),
        report_delay: Duration::ZERO,
        drop_percent: 0,
        seed: 1,
        incarnation: INCARNATION,
    }
}

/// A stand-in served at an address, and a client for it.
struct Served {
    addr: SocketAddr,
    client: Client,
}

impl Served {
    async fn new(addr: SocketAddr, handler: Arc<dyn Handler>) -> Served {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        tokio::spawn(async move { serve(addr, handler, log).await.expect("the address is free") });
        let served = Served { addr, client: Client::default() };
        while served.get("/v1/counts").await.status != 200 {
            tokio::task::yield_now().await;
        }
        served
    }

    async fn engine(addr: &str, token: Duration, fenced: bool) -> (Served, Arc<Engine>) {
        let options = options(addr, KindBody::Engine("m".to_owned()), fenced);
        let behaviour =
            Behaviour { load_time: Duration::ZERO, token_interval: token, fail_percent: 0 };
        let engine = Engine::new(options.clone(), behaviour);
        (Served::new(options.addr, engine.clone()).await, engine)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    async fn get(&self, path: &str) -> Reply {
        self.client.get(&self.url(path)).await
    }

    async fn counts(&self) -> Counts {
        self.get("/v1/counts").await.json().unwrap()
    }

    async fn order(&self, fence: u64, incarnation: u64, action: &str, adapter: &str) -> String {
        let (action, adapter) = (action.to_owned(), adapter.to_owned());
        let order = OrderBody { fence, incarnation, action, adapter };
        let body = serde_json::to_string(&order).unwrap();
        let reply = self.client.post_json(&self.url("/v1/orders"), body).await;
        format!("{} {}", reply.status, reply.body)
    }

    async fn complete(&self, request: &str, headers: &[(&str, &str)], prompt: &str) -> Reply {
        let headers = [&[("x-request", request)], headers].concat();
        let body = completion(MODEL, prompt, 4, false);
        self.client.post(&self.url("/v1/completions"), &headers, body).await
    }
}

#[tokio::test]
async fn an_engine_refuses_and_counts() {
    let (engine, stand_in) = Served::engine(&addr(1), Duration::ZERO, true).await;
    let mut out = Vec::new();
    out.push(engine.complete("1", &[], "x").await.body);
    out.push(engine.order(5, INCARNATION + 1, "load", MODEL).await);
    out.push(engine.order(5, INCARNATION, "load", MODEL).await);
    out.push(engine.order(4, INCARNATION, "load", "m@b@v1").await);
    out.push(engine.order(5, INCARNATION, "load", "m@b@v1").await);
    out.push(engine.order(6, INCARNATION, "load", "m@c@v1").await);
    out.push(engine.order(6, INCARNATION, "evict", "m@b@v1").await);
    out.push(engine.complete("2", &[("x-incarnation", "8")], "x").await.body);
    out.push(engine.complete("3", &[("x-fence", "5")], "x").await.body);
    let reply = engine.complete("4", &[("x-fence", "6"), ("x-incarnation", "7")], "x").await;
    assert_eq!(reply.header("x-request"), "4");
    assert_eq!((reply.header("x-ran"), reply.header("x-incarnation")), (MODEL, "7"));
    let body: serde_json::Value = reply.json().unwrap();
    assert_eq!(body["choices"][0]["text"], text::answer(MODEL, "x", 4));
    engine.complete("4", &[], "x").await;
    stand_in.leave();
    out.push(engine.complete("5", &[], "x").await.body);
    let counts = engine.counts().await;
    assert_eq!(counts.requests.get("4"), Some(&2), "a doubled request is counted");
    assert_eq!(counts.requests.len(), 1, "refused requests are not run: {counts:?}");
    assert_eq!((counts.loads, counts.evictions), (2, 1));
    insta::assert_snapshot!(out.join("\n"));
}

#[tokio::test]
async fn an_eviction_in_use_is_a_violation() {
    let (engine, stand_in) = Served::engine(&addr(2), Duration::from_secs(600), false).await;
    engine.order(5, INCARNATION, "load", MODEL).await;
    let url = engine.url("/v1/completions");
    let body = completion(MODEL, "long", 4, true);
    let started = engine.client.start(Method::POST, &url, &[("x-request", "9")], body).await;
    let (stream, _) = started.unwrap();
    assert_eq!(stand_in.report().busy, [MODEL]);
    assert!(engine.order(4, INCARNATION, "evict", MODEL).await.starts_with("200"));
    let counts = engine.counts().await;
    assert_eq!(counts.violations, [MODEL]);
    assert_eq!(counts.old_orders, 1, "an unfenced engine follows old orders, and counts them");
    let url = engine.url("/v1/requests/9");
    engine.client.start(Method::DELETE, &url, &[], "").await.unwrap();
    let (_, clean) = stream.read_to_end().await;
    assert!(!clean, "a cancelled stream does not look whole");
    while !stand_in.is_idle() {
        tokio::task::yield_now().await;
    }
    assert_eq!(engine.counts().await.cancelled, 1);
}

#[tokio::test]
async fn an_answer_is_resumed_at_any_offset() {
    let (engine, _) = Served::engine(&addr(3), Duration::ZERO, true).await;
    engine.order(1, INCARNATION, "load", MODEL).await;
    let url = engine.url("/v1/completions");
    let body = completion(MODEL, "x", 20, true);
    let whole = engine.client.post(&url, &[("x-request", "3")], body).await.body;
    assert!(whole.ends_with("data: [DONE]\n\n"));
    for offset in [0, 1, whole.len() / 2, whole.len() - 1, whole.len()] {
        let part = engine.get(&format!("/v1/requests/3?offset={offset}")).await;
        assert_eq!((part.status, part.body.as_str()), (200, &whole[offset..]));
    }
    assert_eq!(engine.get("/v1/requests/4").await.status, 404);
    assert_eq!(engine.counts().await.requests["3"], 1, "resuming runs nothing");
}

#[tokio::test]
async fn a_service_counts_calls_it_does_not_answer() {
    let options = options(&addr(4), KindBody::Service("book".to_owned()), true);
    let stand_in = Service::new("book".to_owned(), options.clone(), Duration::ZERO);
    let service = Served::new(options.addr, stand_in.clone()).await;
    let url = service.url("/pay");
    let call = async |request: &str, body: &str| {
        service.client.post(&url, &[("x-request", request)], body.to_owned()).await
    };
    let reply = call("1", "100").await;
    assert_eq!(reply.body, r#"{"service":"book","path":"/pay","body":"100","run":1}"#);
    assert_eq!((reply.header("x-request"), reply.header("x-ran")), ("1", "book"));
    assert_eq!(call("2", "DROP").await.status, 0, "no answer");
    stand_in.leave();
    assert_eq!(call("3", "200").await.body, r#"{"refused":"leaving"}"#);
    let counts = service.counts().await;
    assert_eq!((counts.contents["100"], counts.contents["DROP"]), (1, 1));
    assert_eq!(counts.contents.get("200"), None);
}

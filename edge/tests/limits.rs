//! Targets that name a limit of requests, as stand-in targets, callers and several hosts see them.

mod common;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use common::{
    CONTROL, Cluster, ENTRY, call, document, ip, read_request, send_heartbeats, signed_head,
    target_record, until,
};
use http::Method;
use platform::stand_in;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::sleep,
};

const HOSTS: u8 = 4;
/// Time after the first naming from which the limit holds.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Requests per second that the target takes, in thousandths.
const MILLI_RATE: u32 = 2000;
/// How long callers press on the target.
const PRESSURE: Duration = Duration::from_secs(11);

/// A target that names its limit in each answer and notes when requests reach it.
#[derive(Clone, Default)]
struct LimitedTarget {
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl LimitedTarget {
    async fn start(net: u8, control: Vec<SocketAddr>) -> LimitedTarget {
        let target = LimitedTarget::default();
        let addr = format!("{}:8080", ip(net, 101));
        let listener = TcpListener::bind(&addr).await.expect("the address is free");
        tokio::spawn(send_heartbeats(target_record(1, "app", addr), control, Vec::new));
        let serving = target.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        target
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            self.arrivals.lock().expect("the lock is not poisoned").push(Instant::now());
            let mut headers = http::HeaderMap::new();
            stand_in::name_limit(&mut headers, MILLI_RATE);
            let mut more = "Content-Length: 4\r\n".to_owned();
            for (name, value) in &headers {
                more += &format!("{name}: {}\r\n", value.to_str().expect("it is text"));
            }
            let answer = signed_head("200 OK", &request.attempt, &more) + "done";
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("the lock is not poisoned").clone()
    }
}

/// Returns the most arrivals within [`WINDOW`] that begin at `from` or later.
fn most_in_window(arrivals: &[Instant], from: Instant) -> usize {
    let mut most = 0;
    for (at, first) in arrivals.iter().enumerate().filter(|(_, it)| **it >= from) {
        let count = arrivals[at..].iter().take_while(|it| **it < *first + WINDOW).count();
        most = most.max(count);
    }
    most
}

/// Guards against a limit that no host keeps, or that each host keeps by itself: the target then
/// gets several times what it takes.
#[tokio::test]
async fn a_named_limit_holds_over_all_hosts() {
    let net = 15;
    let cluster = Cluster::start(net, HOSTS);
    cluster.configure(1, &document(3)).await;
    let control: Vec<_> = (1..=HOSTS).map(|host| cluster.addr(host, CONTROL)).collect();
    let target = LimitedTarget::start(net, control).await;
    for host in 1..=HOSTS {
        cluster.wait_ready(host).await;
    }
    let entries: Vec<_> = (1..=HOSTS).map(|host| cluster.addr(host, ENTRY)).collect();
    let read = async |entry, attempt: String| {
        let headers = [("attempt-id", attempt.as_str()), ("deadline-ms", "3000")];
        call(entry, Method::GET, "/read/x", &headers, "").await
    };
    until(async || read(entries[0], "first".to_owned()).await.is_ok_and(|it| it.status == 200))
        .await;
    let named = target.arrivals()[0];
    let mut callers = Vec::new();
    for (host, entry) in entries.iter().copied().enumerate() {
        for caller in 0..2 {
            callers.push(tokio::spawn(async move {
                for number in 0.. {
                    let _ = read(entry, format!("{host}-{caller}-{number}")).await;
                    sleep(Duration::from_millis(60)).await;
                }
            }));
        }
    }
    sleep(PRESSURE).await;
    for caller in callers {
        caller.abort();
    }
    let arrivals = target.arrivals();
    let allowed = WINDOW.as_secs_f64() * 1.5 * f64::from(MILLI_RATE) / 1000.0 + 5.0;
    let most = most_in_window(&arrivals, named + CONTACT);
    assert!(most as f64 <= allowed, "{most} requests in 4 s, {allowed} allowed");
    assert!(most > 0, "no request after {CONTACT:?}");
}

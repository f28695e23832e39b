//! What targets say of themselves in their answers, as stand-in targets, callers and several hosts see
//! it: that they leave, and that they want nothing from a host for a while.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use common::{
    CONTROL, Cluster, ENTRY, call, document, ip, read_request, send_heartbeats, signed_head,
    target::Says, target_record, until,
};
use http::Method;
use platform::stand_in;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};

const HOSTS: u8 = 4;
/// Time after a host has passed on that a target leaves from which nothing may reach it from there.
const DRAIN: Duration = Duration::from_secs(2);
/// Time that targets ask for, in seconds.
const PAUSE: f64 = 2.5;
const LONG_PAUSE: f64 = 50.0;
/// Time after a target asked for a pause from which few requests may reach it from that host.
const PAUSE_BEGINS: Duration = Duration::from_millis(500);
const MAX_PAUSED: usize = 2;
/// How long targets pause by turns, and how often.
const TURN: Duration = Duration::from_secs(1);
const TURNS: usize = 6;
/// How long callers press on the targets.
const PRESSURE: Duration = Duration::from_secs(6);

/// What a target has seen.
struct Seen {
    says: Says,
    /// When requests came, and from which address.
    arrivals: Vec<(Instant, String)>,
    /// When answers with what it says went out, and to which address.
    said: Vec<(Instant, String)>,
}

/// A target whose heartbeats say that it is ready, whatever its answers say.
#[derive(Clone)]
struct Target(Arc<Mutex<Seen>>);

impl Target {
    async fn start(net: u8, number: u8, control: Vec<SocketAddr>) -> Target {
        let seen = Seen { says: Says::Nothing, arrivals: Vec::new(), said: Vec::new() };
        let target = Target(Arc::new(Mutex::new(seen)));
        let addr = format!("{}:8080", ip(net, 100 + number));
        let listener = TcpListener::bind(&addr).await.expect("the address is free");
        tokio::spawn(send_heartbeats(target_record(number, "app", addr), control, Vec::new));
        let serving = target.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, from)) = listener.accept().await else { continue };
                tokio::spawn(serving.clone().serve(stream, from.ip().to_string()));
            }
        });
        target
    }

    fn seen<T>(&self, read: impl FnOnce(&mut Seen) -> T) -> T {
        read(&mut self.0.lock().expect("the lock is not poisoned"))
    }

    async fn serve(self, mut stream: TcpStream, from: String) {
        let mut bytes = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut bytes).await {
            let says = self.seen(|seen| {
                seen.arrivals.push((Instant::now(), from.clone()));
                if seen.says != Says::Nothing {
                    seen.said.push((Instant::now(), from.clone()));
                }
                seen.says
            });
            let mut headers = says.headers();
            let status = match says {
                Says::Pause(_) => {
                    headers.extend(stand_in::not_run());
                    "503 Busy"
                }
                Says::Nothing | Says::Leaving | Says::Brittle(_) => "200 OK",
            };
            let mut more = "Content-Length: 4\r\n".to_owned();
            for (name, value) in &headers {
                more += &format!("{name}: {}\r\n", value.to_str().expect("it is text"));
            }
            let answer = signed_head(status, &request.attempt, &more) + "done";
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

async fn start(net: u8, targets: u8) -> (Cluster, Vec<Target>) {
    let cluster = Cluster::start(net, HOSTS);
    cluster.configure(1, &document(3)).await;
    let control: Vec<_> = (1..=HOSTS).map(|host| cluster.addr(host, CONTROL)).collect();
    let mut started = Vec::new();
    for number in 1..=targets {
        started.push(Target::start(net, number, control.clone()).await);
    }
    for host in 1..=HOSTS {
        cluster.wait_ready(host).await;
        let entry = cluster.addr(host, ENTRY);
        until(async || read(entry, format!("first-{host}")).await.is_ok_and(|it| it.status == 200))
            .await;
    }
    (cluster, started)
}

async fn read(entry: SocketAddr, attempt: String) -> std::io::Result<common::Answer> {
    let headers = [("attempt-id", attempt.as_str()), ("deadline-ms", "3000")];
    call(entry, Method::GET, "/read/x", &headers, "").await
}

/// How many requests were served and not served.
#[derive(Default)]
struct Counts {
    served: AtomicUsize,
    failed: AtomicUsize,
}

/// Lets callers press on all hosts.
fn press(cluster: &Cluster) -> Vec<JoinHandle<()>> {
    press_and_count(cluster, &Arc::default())
}

fn press_and_count(cluster: &Cluster, counts: &Arc<Counts>) -> Vec<JoinHandle<()>> {
    let mut callers = Vec::new();
    for host in 1..=HOSTS {
        let entry = cluster.addr(host, ENTRY);
        for caller in 0..2 {
            let counts = counts.clone();
            callers.push(tokio::spawn(async move {
                for number in 0.. {
                    let answer = read(entry, format!("{host}-{caller}-{number}")).await;
                    let served = answer.is_ok_and(|it| it.status.is_success());
                    let count = if served { &counts.served } else { &counts.failed };
                    count.fetch_add(1, Ordering::SeqCst);
                    sleep(Duration::from_millis(40)).await;
                }
            }));
        }
    }
    callers
}

/// Guards against hosts that go on sending to a target because its heartbeats still say that it is
/// ready, though its answers say that it leaves.
#[tokio::test]
async fn a_target_that_leaves_by_its_answers_gets_no_more() {
    let (cluster, targets) = start(18, 2).await;
    let callers = press(&cluster);
    sleep(Duration::from_secs(1)).await;
    targets[0].seen(|it| it.says = Says::Leaving);
    sleep(PRESSURE).await;
    for caller in callers {
        caller.abort();
    }
    targets[0].seen(|it| {
        let said = it.said.first().expect("it said so").0;
        let late = it.arrivals.iter().filter(|(at, _)| *at > said + DRAIN).count();
        assert_eq!(late, 0, "requests later than {DRAIN:?} after the first answer that said so");
    });
    let others = targets[1].seen(|it| it.arrivals.len());
    assert!(others > 0, "the other target serves");
}

/// Guards against hosts that go on sending to a target that turned a request away and asked for a pause.
#[tokio::test]
async fn a_target_that_asks_for_a_pause_gets_few_requests() {
    let (cluster, targets) = start(19, 2).await;
    let callers = press(&cluster);
    sleep(Duration::from_secs(1)).await;
    targets[0].seen(|it| it.says = Says::Pause(PAUSE));
    sleep(PRESSURE).await;
    for caller in callers {
        caller.abort();
    }
    targets[0].seen(|it| {
        assert!(!it.said.is_empty(), "it asked for a pause");
        for (said, host) in &it.said {
            let span = *said + PAUSE_BEGINS..*said + Duration::from_secs_f64(PAUSE);
            let came = it.arrivals.iter().filter(|(at, from)| span.contains(at) && from == host);
            let came = came.count();
            assert!(came <= MAX_PAUSED, "{came} requests from {host} while it asked for none");
        }
    });
}

/// Guards against requests that are refused, or sent to a target that wants none, though another target
/// is free: the targets ask for a pause by turns.
#[tokio::test]
async fn callers_are_served_while_targets_pause_by_turns() {
    let (cluster, targets) = start(23, 3).await;
    let counts: Arc<Counts> = Arc::default();
    let callers = press_and_count(&cluster, &counts);
    for turn in 0..TURNS {
        let pausing = turn % targets.len();
        for (number, target) in targets.iter().enumerate() {
            let says =
                if number == pausing { Says::Pause(TURN.as_secs_f64()) } else { Says::Nothing };
            target.seen(|it| it.says = says);
        }
        sleep(TURN).await;
    }
    for caller in callers {
        caller.abort();
    }
    let turned_away: usize = targets.iter().map(|it| it.seen(|seen| seen.said.len())).sum();
    let (served, failed) =
        (counts.served.load(Ordering::SeqCst), counts.failed.load(Ordering::SeqCst));
    println!("{served} served, {failed} not served, {turned_away} turned away by targets");
    assert!(served > 0, "nothing served");
    assert_eq!(failed, 0, "of {served}, while two targets were free");
    let most = TURNS * usize::from(HOSTS) * (1 + MAX_PAUSED);
    assert!(turned_away <= most, "{turned_away} requests turned away by targets that want none");
}

/// Guards against callers that wait for targets which have all asked for a pause longer than they can
/// wait, or that are told to come back too early.
#[tokio::test]
async fn callers_are_told_when_the_first_pause_ends() {
    let (cluster, targets) = start(21, 1).await;
    targets[0].seen(|it| it.says = Says::Pause(LONG_PAUSE));
    let entry = cluster.addr(1, ENTRY);
    let headers = [("attempt-id", "refused-1"), ("deadline-ms", "1200")];
    for _ in 0..2 {
        let answer = call(entry, Method::GET, "/read/x", &headers, "").await.expect("an answer");
        assert_eq!(answer.status, 503);
        let after = answer.headers.get("retry-after").expect("when to come back");
        let after: f64 = after.to_str().expect("text").parse().expect("a number");
        assert!(after >= LONG_PAUSE / 2.0, "told to come back after {after} s");
    }
    let said = targets[0].seen(|it| it.said.len());
    assert_eq!(said, 1, "the second request is refused without a send");
}

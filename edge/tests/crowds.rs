//! Clients that don't stay inside the limits, as a crowd at one host: it goes on running, stays within the
//! memory and the descriptors of its machine, and answers an ordinary caller.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    CONTROL, Cluster, DIRECTORY, ENTRY, call,
    crowd::{
        BODY_BYTES, Client, DESCRIPTORS, Form, MACHINE, MEMORY_KB, Plan, Stop, play, statuses,
    },
    document, open_descriptors,
    paced::Upload,
    target::Target,
    until,
};
use http::{Method, StatusCode};
use tokio::{
    sync::{Mutex, MutexGuard},
    task::JoinHandle,
    time::sleep,
};

/// Crowds are played one at a time, so that each has the machine for itself.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// The host at which a crowd comes.
const HOST: u8 = 1;
/// Clients with bodies, which together are larger than the machine's memory.
const CROWD: usize = 100;
/// Clients with chunks of one byte.
const SMALL_CHUNK_CROWD: usize = 8;
/// Clients that only hold their connections, more than the machine has descriptors.
const CONNECTIONS: usize = 600;
/// The smallest machine that the program is made for, and its memory in kilobytes.
const SMALLEST_MACHINE: &str = "limits.memoryMb=160\nlimits.maxFds=4100\n";
const SMALLEST_MEMORY_KB: u64 = 160_000_000 / 1024;
/// Size of an answer that the kernel's buffers don't hold whole.
const BIG_ANSWER_BYTES: usize = 12 << 20;
/// Clients that read no answer.
const SILENT_CROWD: usize = 20;
/// How long the target of the crowd's whole requests takes.
const SLOW: Duration = Duration::from_secs(3);
/// Time between two looks at the open descriptors.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// A cluster of small machines, with a target for ordinary callers and one for a crowd.
struct Scene {
    cluster: Cluster,
    app: Target,
    odd: Target,
    /// Number of ordinary requests so far.
    sent: u64,
    _alone: MutexGuard<'static, ()>,
}

impl Scene {
    /// Each test has a network of its own, as the targets of the one before may still be listening.
    async fn start(net: u8) -> Scene {
        Scene::start_on(net, MACHINE).await
    }

    async fn start_on(net: u8, machine: &'static str) -> Scene {
        let alone = ONE_AT_A_TIME.lock().await;
        let cluster = Cluster::start_with(net, 3, machine);
        let limit = format!(r#""maxBodyBytes":{BODY_BYTES}"#);
        cluster.configure(3, &document(3).replace(r#""maxBodyBytes":100000"#, &limit)).await;
        let control: Vec<_> = (1..=3).map(|host| cluster.addr(host, CONTROL)).collect();
        let odd = Target::start(net, 1, "odd", control.clone()).await;
        let app = Target::start(net, 2, "app", control).await;
        for host in 1..=3 {
            cluster.wait_ready(host).await;
        }
        let mut scene = Scene { cluster, app, odd, sent: 0, _alone: alone };
        scene.serve_ordinary().await;
        scene
    }

    fn addr(&self, port: u16) -> SocketAddr {
        self.cluster.addr(HOST, port)
    }

    /// Sends an ordinary request until it is answered.
    async fn serve_ordinary(&mut self) {
        let addr = self.addr(ENTRY);
        until(async || {
            self.sent += 1;
            let attempt = format!("ordinary-{}", self.sent);
            let headers = [("attempt-id", attempt.as_str()), ("deadline-ms", "3000")];
            let answer = call(addr, Method::POST, "/read/x", &headers, "{}").await;
            answer.is_ok_and(|it| it.status == StatusCode::OK)
        })
        .await;
    }

    /// Has an operator read the configuration until that succeeds.
    async fn serve_operator(&self) {
        let addr = self.addr(CONTROL);
        until(async || {
            let path = platform::config::FETCH_PATH;
            let answer = call(addr, Method::GET, path, &[], "").await;
            answer.is_ok_and(|it| it.status == StatusCode::OK)
        })
        .await;
    }

    /// Sends a request with a large body until it is served, and checks that its target got all of it.
    async fn serve_large(&mut self, form: Form) {
        let addr = self.addr(ENTRY);
        let plan = Plan { form, stop: Stop::Never, path: "/read/x" };
        until(async || {
            self.sent += 1;
            let client = Client::play(addr, plan, format!("large-{}", self.sent)).await;
            client.expect("it connects").status().await == Some(200)
        })
        .await;
        assert_eq!(self.app.body_sizes().last(), Some(&plan.size()), "{form:?}");
    }

    /// Plays a crowd and checks what must hold, while its clients stay and after they have left.
    async fn play(&mut self, port: u16, plan: Plan, count: usize) {
        let watch = watch_descriptors(self.cluster.pid(HOST));
        let clients = play(self.addr(port), plan, count, "crowd").await;
        self.check();
        self.serve_ordinary().await;
        self.serve_operator().await;
        self.check_promises(clients).await;
        self.serve_ordinary().await;
        self.check();
        if watch.is_finished() {
            panic!("{} descriptors, {DESCRIPTORS} allowed", watch.await.expect("it counts"));
        }
        watch.abort();
        // What a crowd has taken is given back.
        self.serve_large(Form::Length).await;
        self.check();
        println!("{plan:?} at {port}: {} KB", self.cluster.peak_memory_kb(HOST));
    }

    fn check(&mut self) {
        self.check_memory(MEMORY_KB);
    }

    fn check_memory(&mut self, allowed: u64) {
        self.cluster.assert_running();
        for host in 1..=3 {
            let peak = self.cluster.peak_memory_kb(host);
            assert!(peak <= allowed, "host {host}: {peak} KB, {allowed} allowed");
        }
    }

    /// Checks that no request of the crowd has run that was refused.
    async fn check_promises(&self, clients: Vec<Client>) {
        for (attempt, status) in statuses(clients).await {
            if matches!(status, Some(408 | 413 | 421 | 429 | 503)) {
                let runs = self.odd.runs();
                assert!(!runs.contains(&attempt), "{attempt} was refused with {status:?} and ran");
            }
        }
    }
}

/// Counts a process' open descriptors until the returned task is aborted. It ends once there are more than the
/// machine allows.
fn watch_descriptors(pid: u32) -> JoinHandle<usize> {
    tokio::spawn(async move {
        loop {
            let open = open_descriptors(pid).unwrap_or_default();
            if open > DESCRIPTORS {
                return open;
            }
            sleep(LOOK_INTERVAL).await;
        }
    })
}

/// Guards against limits that turn a proper request away. Load pattern: one request at a time, with the largest
/// body, in each form.
#[tokio::test]
async fn one_large_request_is_served_in_calm() {
    let mut scene = Scene::start(61).await;
    for form in [Form::Length, Form::LargeChunks, Form::SmallChunks] {
        scene.serve_large(form).await;
    }
    scene.check();
}

/// Guards against bodies that no limit adds up. Load pattern: many bodies with a length, which stop just short of
/// their end.
#[tokio::test]
async fn many_bodies_with_a_length_that_stop_short() {
    let mut scene = Scene::start(62).await;
    scene.play(ENTRY, Plan { form: Form::Length, stop: Stop::Short, path: "/odd/x" }, CROWD).await;
}

/// Guards against the same. Load pattern: many bodies in large chunks, which stop just short of their end.
#[tokio::test]
async fn many_bodies_in_large_chunks_that_stop_short() {
    let mut scene = Scene::start(63).await;
    let plan = Plan { form: Form::LargeChunks, stop: Stop::Short, path: "/odd/x" };
    scene.play(ENTRY, plan, CROWD).await;
}

/// Guards against chunks that take many times their size. Load pattern: some bodies in chunks of one byte, which
/// stop just short of their end.
#[tokio::test]
async fn bodies_in_small_chunks_that_stop_short() {
    let mut scene = Scene::start(64).await;
    let plan = Plan { form: Form::SmallChunks, stop: Stop::Short, path: "/odd/x" };
    scene.play(ENTRY, plan, SMALL_CHUNK_CROWD).await;
}

/// Guards against bodies that are held, beside others, while their requests wait. Load pattern: many whole bodies
/// at once to a slow target.
#[tokio::test]
async fn many_whole_bodies_at_once() {
    let mut scene = Scene::start(65).await;
    scene.odd.slow_down(SLOW);
    scene.play(ENTRY, Plan { form: Form::Length, stop: Stop::Never, path: "/odd/x" }, CROWD).await;
}

/// Guards against the same. Load pattern: many whole bodies in large chunks at once to a slow target.
#[tokio::test]
async fn many_whole_bodies_in_chunks_at_once() {
    let mut scene = Scene::start(66).await;
    scene.odd.slow_down(SLOW);
    let plan = Plan { form: Form::LargeChunks, stop: Stop::Never, path: "/odd/x" };
    scene.play(ENTRY, plan, CROWD).await;
}

/// Guards against bodies that are read although they can't be served. Load pattern: many bodies far over the limit,
/// as their length says.
#[tokio::test]
async fn many_bodies_far_over_the_limit_that_say_so() {
    let mut scene = Scene::start(67).await;
    let plan = Plan { form: Form::FarOverAnnounced, stop: Stop::Never, path: "/odd/x" };
    scene.play(ENTRY, plan, CROWD).await;
}

/// Guards against the same. Load pattern: one request whose length says that its body is far over the limit, and
/// whose body isn't sent before the answer.
#[tokio::test]
async fn a_body_far_over_the_limit_is_refused_by_its_length() {
    let scene = Scene::start(68).await;
    let plan = Plan { form: Form::FarOverAnnounced, stop: Stop::AfterHead, path: "/odd/x" };
    let client = Client::play(scene.addr(ENTRY), plan, "far-over".to_owned()).await;
    assert_eq!(client.expect("it connects").status().await, Some(413));
}

/// Guards against a host that reads on without end for a client that is refused. Load pattern: requests whose bodies
/// are far over the limit, one at a time.
#[tokio::test]
async fn who_does_not_stop_sending_is_cut_off() {
    let scene = Scene::start(69).await;
    for form in [Form::FarOverAnnounced, Form::FarOverSent] {
        let plan = Plan { form, stop: Stop::Never, path: "/odd/x" };
        let client = Client::play(scene.addr(ENTRY), plan, "far-over".to_owned()).await;
        assert!(!client.expect("it connects").has_sent, "{form:?}");
    }
}

/// Guards against the rest of a body that is taken for a request: who gets an answer early may not send the rest.
/// Load pattern: requests to no route on one connection, whose bodies are sent whole, or in part.
#[tokio::test]
async fn an_answer_before_the_end_of_the_body_ends_the_connection() {
    let scene = Scene::start(70).await;
    let mut upload = Upload::open(scene.addr(ENTRY)).await;
    let head = |length| {
        format!(
            "POST /nowhere/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: {length}\r\n\r\n{{}}"
        )
    };
    for number in 0..5 {
        let got = upload.exchange(vec![(Duration::ZERO, head(2))], Duration::ZERO).await.got;
        assert_eq!(got.status, Some(404), "request {number}");
        assert!(!got.head.contains("connection: close"), "request {number}: {}", got.head);
    }
    let got = upload.exchange(vec![(Duration::ZERO, head(500))], Duration::ZERO).await.got;
    assert_eq!(got.status, Some(404));
    assert!(got.head.contains("connection: close"), "{}", got.head);
}

/// Guards against an answer that its client can't read: closing a connection with unread bytes resets it. Load
/// pattern: requests with bodies over the limit, one at a time, whose clients read the answer once all is sent.
#[tokio::test]
async fn who_sends_too_much_can_read_that() {
    let scene = Scene::start(71).await;
    for (form, path) in [
        (Form::OverAnnounced, "/odd/x"),
        (Form::OverSent, "/odd/x"),
        (Form::Length, "/nowhere/x"),
        (Form::LargeChunks, "/nowhere/x"),
    ] {
        let expected = if path == "/odd/x" { 413 } else { 404 };
        for number in 0..5 {
            let plan = Plan { form, stop: Stop::Never, path };
            let client = Client::play(scene.addr(ENTRY), plan, format!("over-{number}")).await;
            let status = client.expect("it connects").status().await;
            assert_eq!(status, Some(expected), "{plan:?}, request {number}");
        }
    }
}

/// Guards against the same. Load pattern: many bodies far over the limit, in chunks.
#[tokio::test]
async fn many_bodies_far_over_the_limit_in_chunks() {
    let mut scene = Scene::start(72).await;
    let plan = Plan { form: Form::FarOverSent, stop: Stop::Never, path: "/odd/x" };
    scene.play(ENTRY, plan, CROWD).await;
}

/// Guards against calls that no common limit bounds. Load pattern: many large bodies at the operators' address, which
/// stop just short of their end.
#[tokio::test]
async fn many_bodies_at_the_operators_address() {
    let mut scene = Scene::start(73).await;
    let plan = Plan { form: Form::Length, stop: Stop::Short, path: platform::config::REPLACE_PATH };
    scene.play(CONTROL, plan, CROWD).await;
}

/// Guards against callers who shut out all others. Load pattern: more connections than the machine has descriptors,
/// each in the midst of a head, at one address after the other.
#[tokio::test]
async fn more_connections_than_descriptors() {
    let mut scene = Scene::start(74).await;
    let plan = Plan { form: Form::Length, stop: Stop::InHead, path: "/odd/x" };
    for port in [ENTRY, CONTROL, DIRECTORY] {
        scene.play(port, plan, CONNECTIONS).await;
    }
}

/// Guards against answers that no limit adds up once they are whole. Load pattern: some callers who ask for a large
/// answer each, and take nothing of it.
#[tokio::test]
async fn large_answers_that_nobody_takes() {
    let mut scene = Scene::start_on(75, SMALLEST_MACHINE).await;
    scene.odd.answer_with(BIG_ANSWER_BYTES);
    let mut crowd = Vec::new();
    for number in 0..SILENT_CROWD {
        let mut upload = Upload::open(scene.addr(ENTRY)).await;
        upload.send_head("/odd/x", &format!("crowd-{number}")).await;
        upload.send("\r\n{}").await;
        crowd.push(upload);
        scene.serve_ordinary().await;
    }
    let odd = scene.odd.clone();
    let ran = || odd.runs().iter().filter(|it| it.starts_with("crowd")).count();
    until(async || ran() > 0).await;
    sleep(SLOW).await;
    scene.serve_ordinary().await;
    scene.serve_operator().await;
    scene.check_memory(SMALLEST_MEMORY_KB);
    println!("{} of the crowd ran, {} KB", ran(), scene.cluster.peak_memory_kb(HOST));
    drop(crowd);
    let addr = scene.addr(ENTRY);
    until(async || {
        scene.sent += 1;
        let attempt = format!("big-{}", scene.sent);
        let headers = [("attempt-id", attempt.as_str()), ("deadline-ms", "9000")];
        let answer = call(addr, Method::POST, "/odd/x", &headers, "{}").await;
        answer.is_ok_and(|it| it.body.is_some_and(|it| it.len() == BIG_ANSWER_BYTES))
    })
    .await;
    scene.check_memory(SMALLEST_MEMORY_KB);
}

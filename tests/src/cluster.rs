//! A cluster of host and target processes on its own loopback subnet.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use api::{FileBody, PublishBody, Receipt, StatusBody};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};
use wire::HostId;

use crate::{
    checkout::octet,
    client::{Client, Reply, WAIT_LIMIT},
    counts::Counts,
};

/// Failure domains, assigned to hosts and targets round-robin.
pub const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// The adapter that most sessions request.
pub const MODEL: &str = "stylist-8b@pouf-marie@v2";

const VOTERS: HostId = 3;
const TARGET_PORT: u16 = 9100;
const POLL: Duration = Duration::from_millis(20);

const NOTES: &str = "[service]\nname = notes\nversion = 1\nkind = model\nmodel = stylist-8b\n\n\
    [adapters]\npouf-marie = v1, v2\ncadogan-court = v3\n\n\
    [call note]\npath = /v1/completions\nurgency = high\nidempotent = yes\ndeadline = 30s\n";

const FITTINGS: &str = "[service]\nname = fittings\nversion = 1\nkind = plain\n\n\
    [call pay]\npath = /pay\nurgency = high\nidempotent = no\ndeadline = 20s\n\n\
    [call status]\npath = /status\nurgency = normal\nidempotent = yes\ndeadline = 20s\n";

const SYSTEM: &str =
    "[service]\nname = system\nversion = 1\nkind = system\n\n[cluster]\nvoters = 1, 2, 3\n";

/// Host and target processes. Dropping it kills them, and prints their logs during a panic.
#[derive(Debug)]
pub struct Cluster {
    /// HTTP client of the session.
    pub client: Client,
    subnet: u8,
    count: HostId,
    bins: PathBuf,
    dir: TempDir,
    signed: bool,
    /// The `drain` setting of hosts started from now on; the default if none.
    drain: Option<Duration>,
    hosts: BTreeMap<HostId, Child>,
    targets: BTreeMap<String, (Child, String)>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let targets = self.targets.values_mut().map(|(child, _)| child);
        for child in self.hosts.values_mut().chain(targets) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            self.print_logs();
        }
    }
}

impl Cluster {
    /// Prepares a cluster of `count` hosts, of which the first three vote, and starts none of them.
    /// `bins` is the directory of the programs; `subnet` is the third octet of the addresses and
    /// differs between clusters that run at once.
    pub fn new(bins: &Path, subnet: u8, count: HostId) -> Cluster {
        let dir = tempfile::tempdir().expect("a temporary directory can be created");
        fs::write(dir.path().join("key"), "a key of this session")
            .expect("the directory is writable");
        Cluster {
            client: Client::default(),
            subnet,
            count,
            bins: bins.to_owned(),
            dir,
            signed: false,
            drain: None,
            hosts: BTreeMap::new(),
            targets: BTreeMap::new(),
        }
    }

    /// Makes hosts started from now on require signed publishes. Returns the path of the key file.
    pub fn require_signature(&mut self, key: &str) -> PathBuf {
        let path = self.dir.path().join("publish-key");
        fs::write(&path, key).expect("the directory is writable");
        self.signed = true;
        path
    }

    /// Sets the grace time of hosts started from now on.
    pub fn set_drain(&mut self, drain: Duration) {
        self.drain = Some(drain);
    }

    /// Starts all hosts, waits until they hold leases and publishes the session's declarations.
    pub async fn start(bins: &Path, subnet: u8, count: HostId) -> Cluster {
        Cluster::start_with(bins, subnet, count, &[]).await
    }

    /// Like [`Cluster::start`], with extra command-line options for the hosts.
    pub async fn start_with(bins: &Path, subnet: u8, count: HostId, options: &[&str]) -> Cluster {
        let mut cluster = Cluster::new(bins, subnet, count);
        for host in 1..=count {
            cluster.start_host(host, options);
        }
        cluster.wait_for_leader().await;
        let files = [("notes.ini", NOTES), ("fittings.ini", FITTINGS), ("system.ini", SYSTEM)];
        cluster.publish(1, &files).await;
        cluster
    }

    fn ip(&self, host: HostId) -> String {
        format!("127.{}.{}.{host}", octet(), self.subnet)
    }

    fn settings(&self, host: HostId) -> String {
        let mut text = format!("[host]\nid = {host}\nip = {}\n", self.ip(host));
        let domain = domain(host);
        let _ = write!(text, "domain = {domain}\nkey_file = key\n");
        if self.signed {
            text.push_str("publish_key_file = publish-key\n");
        }
        if host <= VOTERS {
            let _ = writeln!(text, "data_dir = data-{host}");
        }
        text.push_str("\n[hosts]\n");
        for peer in 1..=self.count {
            let _ = writeln!(text, "{peer} = {} {}", self.ip(peer), self::domain(peer));
        }
        text.push_str("\n[cluster]\nfounders = 1, 2, 3\n");
        if let Some(drain) = self.drain {
            let _ = writeln!(text, "\n[timing]\ndrain = {}ms", drain.as_millis());
        }
        text
    }

    fn spawn(&self, program: &str, log: &str, args: &[String]) -> Child {
        let path = self.dir.path().join(format!("{log}.log"));
        let log = File::options().append(true).create(true).open(path);
        Command::new(self.bins.join(program))
            .args(args)
            .current_dir(self.dir.path())
            .stdin(Stdio::null())
            .stderr(log.expect("the directory is writable"))
            .spawn()
            .unwrap_or_else(|e| panic!("could not start {program}, is the workspace built?: {e}"))
    }

    /// Starts a host with extra command-line options.
    pub fn start_host(&mut self, host: HostId, options: &[&str]) {
        let file = format!("{host}.ini");
        fs::write(self.dir.path().join(&file), self.settings(host))
            .expect("the directory is writable");
        let mut args = vec!["--config".to_owned(), file];
        args.extend(options.iter().map(|&option| option.to_owned()));
        let child = self.spawn("poplarhollowd", &format!("host-{host}"), &args);
        self.hosts.insert(host, child);
    }

    /// Starts a target program, `fake-engine` or `fake-service`. The last octet of its address is
    /// 100 plus `number`.
    pub fn start_target(&mut self, program: &str, name: &str, number: u8, options: &[&str]) {
        let addr =
            format!("127.{}.{}.{}:{TARGET_PORT}", octet(), self.subnet, 100 + u16::from(number));
        let hosts: Vec<String> = (1..=self.count).map(|host| self.entry_addr(host)).collect();
        let domain = DOMAINS[usize::from(number) % DOMAINS.len()];
        let args = [
            ["--addr", &addr],
            ["--name", name],
            ["--domain", domain],
            ["--hosts", &hosts.join(",")],
        ];
        let mut args: Vec<String> = args.concat().iter().map(|&arg| arg.to_owned()).collect();
        args.extend(options.iter().map(|&option| option.to_owned()));
        let child = self.spawn(program, name, &args);
        self.targets.insert(name.to_owned(), (child, addr));
    }

    /// Starts an engine and waits until a host owns it.
    pub async fn start_engine(&mut self, name: &str, number: u8, options: &[&str]) {
        let mut args = vec!["--model", "stylist-8b"];
        args.extend_from_slice(options);
        self.start_target("fake-engine", name, number, &args);
        self.wait_for_owner(name).await;
    }

    /// Starts a service and waits until a host owns it.
    pub async fn start_service(&mut self, name: &str, number: u8, options: &[&str]) {
        let mut args = vec!["--service", "fittings"];
        args.extend_from_slice(options);
        self.start_target("fake-service", name, number, &args);
        self.wait_for_owner(name).await;
    }

    /// Returns the `IP:PORT` that a host listens on for callers.
    pub fn entry_addr(&self, host: HostId) -> String {
        format!("{}:8000", self.ip(host))
    }

    /// Returns the `IP:PORT` of a target.
    pub fn target_addr(&self, name: &str) -> &str {
        &self.targets[name].1
    }

    /// Returns the process ID of a host.
    pub fn pid(&self, host: HostId) -> u32 {
        self.hosts[&host].id()
    }

    /// Sends a signal, such as `TERM`, to a host.
    pub fn signal(&self, host: HostId, signal: &str) {
        let pid = self.pid(host).to_string();
        let sent = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "could not send signal {signal} to host {host}"
        );
    }

    /// Kills a host with SIGKILL and waits for its exit.
    pub fn kill(&mut self, host: HostId) {
        let mut child = self.hosts.remove(&host).expect("the host runs");
        child.kill().expect("the host runs");
        child.wait().expect("the host ends");
    }

    /// Kills a target with SIGKILL and waits for its exit.
    pub fn kill_target(&mut self, name: &str) {
        let (mut child, _) = self.targets.remove(name).expect("the target runs");
        child.kill().expect("the target runs");
        child.wait().expect("the target ends");
    }

    /// Waits until a host has exited. Kills it and panics after [`WAIT_LIMIT`].
    pub async fn wait_for_exit(&mut self, host: HostId) -> ExitStatus {
        let mut child = self.hosts.remove(&host).expect("the host runs");
        let waiting = async {
            loop {
                if let Some(status) = child.try_wait().expect("the host is a child") {
                    return status;
                }
                sleep(POLL).await;
            }
        };
        let status = timeout(WAIT_LIMIT, waiting).await;
        if status.is_err() {
            let _ = child.kill();
        }
        status.unwrap_or_else(|_| panic!("host {host} did not exit in time"))
    }

    /// Returns a host's status; `None` if it does not respond within 2 s.
    pub async fn status(&self, host: HostId) -> Option<StatusBody> {
        let url = format!("http://{}:9000/v1/status", self.ip(host));
        timeout(Duration::from_secs(2), self.client.get(&url)).await.ok()?.json()
    }

    /// Returns a host's metrics in text form.
    pub async fn metrics(&self, host: HostId) -> String {
        self.client.get(&format!("http://{}:9000/metrics", self.ip(host))).await.body
    }

    /// Returns the counts of a target.
    pub async fn counts(&self, name: &str) -> Counts {
        let reply = self.client.get(&format!("http://{}/v1/counts", self.target_addr(name))).await;
        reply.json().expect("the target answers")
    }

    /// Waits until every running host holds a lease and reports the same leader; returns it.
    pub async fn wait_for_leader(&self) -> HostId {
        self.wait_for("all hosts hold leases", async || {
            let mut leader = None;
            for &host in self.hosts.keys() {
                let status = self.status(host).await?;
                let known = status.leader.filter(|_| status.lease)?;
                if leader.is_some_and(|leader| leader != known) {
                    return None;
                }
                leader = Some(known);
            }
            leader
        })
        .await
    }

    /// Waits until every running host reports an owner that runs; returns the owner.
    pub async fn wait_for_owner(&self, name: &str) -> HostId {
        self.wait_for("the target is owned", async || {
            let mut owner = None;
            for &host in self.hosts.keys() {
                let status = self.status(host).await?;
                let row = status.targets.into_iter().find(|row| row.name == name)?;
                owner = row.owner.filter(|owner| self.hosts.contains_key(owner));
                owner?;
            }
            owner
        })
        .await
    }

    /// Publishes files at a host and retries until it accepts them.
    pub async fn publish(&self, host: HostId, files: &[(&str, &str)]) -> Receipt {
        let files = files
            .iter()
            .map(|(name, text)| FileBody { name: (*name).to_owned(), text: (*text).to_owned() })
            .collect();
        let author = "session".to_owned();
        let body = PublishBody { files, author, revision: "1".to_owned() };
        let json = serde_json::to_string(&body).expect("a publish body serializes");
        let url = format!("http://{}:9000/v1/publish", self.ip(host));
        self.wait_for("the publish is confirmed", async || {
            let reply = self.client.post_json(&url, json.clone()).await;
            reply.json().filter(|_| reply.status == 200)
        })
        .await
    }

    /// Sends a host a completion request for four tokens, not streamed.
    pub async fn complete(&self, host: HostId, model: &str, prompt: &str) -> Reply {
        let url = format!("http://{}/v1/completions", self.entry_addr(host));
        self.client.post_json(&url, completion(model, prompt, 4, false)).await
    }

    /// Repeats a completion request until it succeeds.
    pub async fn wait_for_completion(&self, host: HostId, prompt: &str) -> Reply {
        self.wait_for("the completion is answered", async || {
            let reply = self.complete(host, MODEL, prompt).await;
            (reply.status == 200).then_some(reply)
        })
        .await
    }

    /// Calls `ask` at intervals until it returns a value. Panics after [`WAIT_LIMIT`].
    pub async fn wait_for<T>(&self, what: &str, mut ask: impl AsyncFnMut() -> Option<T>) -> T {
        let polling = async {
            loop {
                if let Some(answer) = ask().await {
                    return answer;
                }
                sleep(POLL).await;
            }
        };
        timeout(WAIT_LIMIT, polling)
            .await
            .unwrap_or_else(|_| panic!("timed out waiting for: {what}"))
    }

    fn print_logs(&self) {
        let Ok(files) = fs::read_dir(self.dir.path()) else { return };
        for file in files.flatten() {
            let path = file.path();
            if path.extension().is_some_and(|it| it == "log") {
                let text = fs::read_to_string(&path).unwrap_or_default();
                eprintln!("--- {}\n{text}", path.display());
            }
        }
    }
}

fn domain(host: HostId) -> &'static str {
    DOMAINS[(host as usize - 1) % DOMAINS.len()]
}

/// Returns the JSON body of a completion request; `tokens` is its `max_tokens`.
pub fn completion(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    let body = serde_json::json!({
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    });
    body.to_string()
}

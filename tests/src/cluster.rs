//! A cluster of real processes on loopback addresses of its own.

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
    client::{Client, LIMIT, Reply},
    counts::Counts,
};

/// The failure domains of the hosts, in turn.
pub const DOMAINS: [&str; 3] = ["north", "south", "west"];

/// The adapter that the sessions ask for.
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

/// Hosts and targets as processes. They end with this value.
#[derive(Debug)]
pub struct Cluster {
    /// Sends the session's requests.
    pub client: Client,
    net: u8,
    count: HostId,
    bins: PathBuf,
    dir: TempDir,
    signed: bool,
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
    /// Makes a cluster of `count` hosts; the first three vote. `bins` holds the
    /// programs, and `net` tells the clusters of one machine apart.
    pub fn new(bins: &Path, net: u8, count: HostId) -> Cluster {
        let dir = tempfile::tempdir().expect("a folder can be made");
        fs::write(dir.path().join("key"), "a key of this session").expect("the folder is usable");
        Cluster {
            client: Client::default(),
            net,
            count,
            bins: bins.to_owned(),
            dir,
            signed: false,
            hosts: BTreeMap::new(),
            targets: BTreeMap::new(),
        }
    }

    /// Makes hosts that are started from now on ask for signed publishes.
    /// Returns the file with the key.
    pub fn sign(&mut self, key: &str) -> PathBuf {
        let path = self.dir.path().join("publish-key");
        fs::write(&path, key).expect("the folder is usable");
        self.signed = true;
        path
    }

    /// Starts all hosts, publishes the session's declarations and waits until
    /// all hosts hold a lease.
    pub async fn start(bins: &Path, net: u8, count: HostId) -> Cluster {
        Cluster::start_with(bins, net, count, &[]).await
    }

    /// Does the same with options for the hosts' programs.
    pub async fn start_with(bins: &Path, net: u8, count: HostId, options: &[&str]) -> Cluster {
        let mut cluster = Cluster::new(bins, net, count);
        for host in 1..=count {
            cluster.start_host(host, options);
        }
        cluster.until_live().await;
        let files = [("notes.ini", NOTES), ("fittings.ini", FITTINGS), ("system.ini", SYSTEM)];
        cluster.publish(1, &files).await;
        cluster
    }

    fn ip(&self, host: HostId) -> String {
        format!("127.{}.{}.{host}", octet(), self.net)
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
        text
    }

    fn spawn(&self, program: &str, log: &str, args: &[String]) -> Child {
        let path = self.dir.path().join(format!("{log}.log"));
        let log = File::options().append(true).create(true).open(path);
        Command::new(self.bins.join(program))
            .args(args)
            .current_dir(self.dir.path())
            .stdin(Stdio::null())
            .stderr(log.expect("the folder is usable"))
            .spawn()
            .unwrap_or_else(|e| panic!("could not start {program}, is the workspace built?: {e}"))
    }

    /// Starts a host.
    pub fn start_host(&mut self, host: HostId, options: &[&str]) {
        let file = format!("{host}.ini");
        fs::write(self.dir.path().join(&file), self.settings(host)).expect("the folder is usable");
        let mut args = vec!["--config".to_owned(), file];
        args.extend(options.iter().map(|&option| option.to_owned()));
        let child = self.spawn("poplarhollowd", &format!("host-{host}"), &args);
        self.hosts.insert(host, child);
    }

    /// Starts a target: `fake-engine` or `fake-service`. It has the address
    /// the cluster's net, 100 plus `number`.
    pub fn start_target(&mut self, program: &str, name: &str, number: u8, options: &[&str]) {
        let addr =
            format!("127.{}.{}.{}:{TARGET_PORT}", octet(), self.net, 100 + u16::from(number));
        let hosts: Vec<String> = (1..=self.count).map(|host| self.entry(host)).collect();
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

    /// Starts an engine and waits until it is owned.
    pub async fn engine(&mut self, name: &str, number: u8, options: &[&str]) {
        let mut args = vec!["--model", "stylist-8b"];
        args.extend_from_slice(options);
        self.start_target("fake-engine", name, number, &args);
        self.until_owned(name).await;
    }

    /// Starts a service and waits until it is owned.
    pub async fn service(&mut self, name: &str, number: u8, options: &[&str]) {
        let mut args = vec!["--service", "fittings"];
        args.extend_from_slice(options);
        self.start_target("fake-service", name, number, &args);
        self.until_owned(name).await;
    }

    /// Returns a host's address for callers.
    pub fn entry(&self, host: HostId) -> String {
        format!("{}:8000", self.ip(host))
    }

    /// Returns a target's address.
    pub fn target(&self, name: &str) -> &str {
        &self.targets[name].1
    }

    /// Returns the process of a host.
    pub fn pid(&self, host: HostId) -> u32 {
        self.hosts[&host].id()
    }

    /// Sends a signal to a host, such as `TERM`.
    pub fn signal(&self, host: HostId, signal: &str) {
        let pid = self.pid(host).to_string();
        let sent = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "signal {signal} to host {host}");
    }

    /// Kills a host at once.
    pub fn kill(&mut self, host: HostId) {
        let mut child = self.hosts.remove(&host).expect("the host runs");
        child.kill().expect("the host runs");
        child.wait().expect("the host ends");
    }

    /// Kills a target at once.
    pub fn kill_target(&mut self, name: &str) {
        let (mut child, _) = self.targets.remove(name).expect("the target runs");
        child.kill().expect("the target runs");
        child.wait().expect("the target ends");
    }

    /// Waits until a host has ended.
    pub async fn until_ended(&mut self, host: HostId) -> ExitStatus {
        let mut child = self.hosts.remove(&host).expect("the host runs");
        let waiting = async {
            loop {
                if let Some(status) = child.try_wait().expect("the host is a child") {
                    return status;
                }
                sleep(POLL).await;
            }
        };
        let status = timeout(LIMIT, waiting).await;
        if status.is_err() {
            let _ = child.kill();
        }
        status.unwrap_or_else(|_| panic!("host {host} does not end"))
    }

    /// Returns a host's status, if it answers.
    pub async fn status(&self, host: HostId) -> Option<StatusBody> {
        let url = format!("http://{}:9000/v1/status", self.ip(host));
        timeout(Duration::from_secs(2), self.client.get(&url)).await.ok()?.json()
    }

    /// Returns a host's metrics.
    pub async fn metrics(&self, host: HostId) -> String {
        self.client.get(&format!("http://{}:9000/metrics", self.ip(host))).await.body
    }

    /// Returns what a target did.
    pub async fn counts(&self, name: &str) -> Counts {
        let reply = self.client.get(&format!("http://{}/v1/counts", self.target(name))).await;
        reply.json().expect("the target answers")
    }

    /// Waits until every running host holds a lease and knows the same leader.
    pub async fn until_live(&self) -> HostId {
        self.until("all hosts hold leases", async || {
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

    /// Waits until a running host owns a target and returns the host.
    pub async fn until_owned(&self, name: &str) -> HostId {
        self.until("the target is owned", async || {
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

    /// Publishes files at a host, again until it confirms them.
    pub async fn publish(&self, host: HostId, files: &[(&str, &str)]) -> Receipt {
        let files = files
            .iter()
            .map(|(name, text)| FileBody { name: (*name).to_owned(), text: (*text).to_owned() })
            .collect();
        let author = "session".to_owned();
        let body = PublishBody { files, author, revision: "1".to_owned() };
        let json = serde_json::to_string(&body).expect("a publish is plain data");
        let url = format!("http://{}:9000/v1/publish", self.ip(host));
        self.until("the publish is confirmed", async || {
            let reply = self.client.post_json(&url, json.clone()).await;
            reply.json().filter(|_| reply.status == 200)
        })
        .await
    }

    /// Asks a host for a completion that is not streamed.
    pub async fn complete(&self, host: HostId, model: &str, prompt: &str) -> Reply {
        let url = format!("http://{}/v1/completions", self.entry(host));
        self.client.post_json(&url, completion(model, prompt, 4, false)).await
    }

    /// Asks until the completion is answered.
    pub async fn until_complete(&self, host: HostId, prompt: &str) -> Reply {
        self.until("the completion is answered", async || {
            let reply = self.complete(host, MODEL, prompt).await;
            (reply.status == 200).then_some(reply)
        })
        .await
    }

    /// Polls until the question has an answer.
    pub async fn until<T>(&self, what: &str, mut ask: impl AsyncFnMut() -> Option<T>) -> T {
        let polling = async {
            loop {
                if let Some(answer) = ask().await {
                    return answer;
                }
                sleep(POLL).await;
            }
        };
        timeout(LIMIT, polling).await.unwrap_or_else(|_| panic!("not in time: {what}"))
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

/// Returns the body of a completion request.
pub fn completion(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    let body = serde_json::json!({
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    });
    body.to_string()
}

//! End-to-end tests of operator commands: concurrent publishes, lost replies, killed hosts.

use std::{fs, path::Path, process::Output};

use api::{AuditPage, PublishKey, Receipt, header::PUBLISH_MAC};
use sessions::cluster::Cluster;
use tempfile::TempDir;
use tokio::process::{Child, Command};
use wire::HostId;

const HOSTS: [HostId; 4] = [1, 2, 3, 4];

fn bins() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_fake-engine"))
        .parent()
        .expect("the program has a parent directory")
}

/// An operator's working directory and the commands run from it.
struct Operator(TempDir);

/// Exit code and output of a command.
#[derive(Debug)]
struct CommandResult {
    code: Option<i32>,
    out: String,
    err: String,
}

impl From<Output> for CommandResult {
    fn from(output: Output) -> CommandResult {
        CommandResult {
            code: output.status.code(),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

impl CommandResult {
    fn receipt(&self) -> Receipt {
        assert_eq!(self.code, Some(0), "{self:?}");
        serde_json::from_str(&self.out).expect("a receipt is JSON")
    }
}

impl Operator {
    fn new() -> Operator {
        Operator(tempfile::tempdir().expect("a temporary directory can be created"))
    }

    /// Writes a service declaration whose adapter is named after the author; returns its path.
    fn declare(&self, author: &str, version: u64) -> String {
        let text = format!(
            "[service]\nname = plans\nversion = {version}\nkind = model\nmodel = stylist-8b\n\
             [adapters]\n{author} = v{version}\n\
             [call plan]\npath = /v1/completions\nidempotent = yes\n"
        );
        let path = self.0.path().join(format!("{author}-{version}.ini"));
        fs::write(&path, text).expect("the directory is writable");
        path.display().to_string()
    }

    fn path(&self, name: &str) -> String {
        self.0.path().join(name).display().to_string()
    }

    fn spawn(&self, args: &[&str]) -> Child {
        Command::new(bins().join("poplarhollow"))
            .args(args)
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("the workspace is built")
    }

    async fn run(&self, args: &[&str]) -> CommandResult {
        finish(self.spawn(args)).await
    }

    fn publish(&self, file: &str, author: &str, hosts: &str, wait: &str) -> Child {
        let args = ["publish", file, "--revision", "r1", "--author", author, "--json"];
        self.spawn(&[&args[..], &["--host", hosts, "--wait", wait]].concat())
    }

    /// Exports the audit trail of a host, verifies the file against `head` and returns its content.
    async fn export(&self, host: &str, head: &str) -> AuditPage {
        let path = self.path("audit.json");
        let run = self.run(&["audit", "export", &path, "--host", host]).await;
        assert_eq!(run.code, Some(0), "{run:?}");
        let run = self.run(&["audit", "verify", &path, "--head", head]).await;
        assert_eq!(run.code, Some(0), "{run:?}");
        let text = fs::read(&path).expect("the file was written");
        serde_json::from_slice(&text).expect("an exported trail is JSON")
    }
}

async fn finish(child: Child) -> CommandResult {
    child.wait_with_output().await.expect("the process was started here").into()
}

/// Returns the comma-separated operator addresses of hosts.
fn operator_addrs(cluster: &Cluster, hosts: &[HostId]) -> String {
    let addrs = hosts.iter().map(|it| cluster.entry_addr(*it).replace(":8000", ":9000"));
    addrs.collect::<Vec<_>>().join(",")
}

#[tokio::test]
async fn of_racing_publishes_one_is_accepted_and_all_hosts_agree() {
    let cluster = Cluster::start(bins(), 31, 4).await;
    let operator = Operator::new();
    let mut head = String::new();
    for version in 1..6 {
        let mut started = Vec::new();
        for (author, host) in [("ada", 1), ("bob", 2), ("cy", 4)] {
            let file = operator.declare(author, version);
            started.push(operator.publish(&file, author, &operator_addrs(&cluster, &[host]), "20"));
        }
        let mut accepted = Vec::new();
        for child in started {
            let run = finish(child).await;
            if run.code == Some(0) {
                accepted.push(run.receipt());
                continue;
            }
            assert_eq!(run.code, Some(1), "{run:?}");
            assert!(run.err.contains("is in force with digest"), "{run:?}");
        }
        assert_eq!(accepted.len(), 1, "version {version}");
        assert!(accepted[0].everywhere);
        head = accepted[0].head.clone();
    }
    let first = operator.export(&operator_addrs(&cluster, &[1]), &head).await;
    assert_eq!(first.entries.len(), 6);
    for host in HOSTS {
        assert_eq!(
            operator.export(&operator_addrs(&cluster, &[host]), &head).await,
            first,
            "host {host}"
        );
    }
}

#[tokio::test]
async fn a_publish_gets_its_receipt_although_the_leader_is_killed() {
    let mut cluster = Cluster::start(bins(), 32, 4).await;
    let operator = Operator::new();
    let mut receipts = Vec::new();
    for version in 1..4 {
        let leader = cluster.wait_for_leader().await;
        let file = operator.declare("ada", version);
        // The command contacts the leader first, which is killed at about the time of the commit.
        let mut order = vec![leader];
        order.extend(HOSTS.into_iter().filter(|it| *it != leader));
        let child = operator.publish(&file, "ada", &operator_addrs(&cluster, &order), "60");
        cluster.kill(leader);
        let receipt = finish(child).await.receipt();
        assert!(receipt.everywhere);
        for host in HOSTS.into_iter().filter(|it| *it != leader) {
            let child = operator.publish(&file, "ada", &operator_addrs(&cluster, &[host]), "20");
            let again = finish(child).await.receipt();
            let key = |it: &Receipt| (it.index, it.sequence, it.head.clone());
            assert_eq!(key(&again), key(&receipt), "host {host}");
        }
        receipts.push(receipt);
        cluster.start_host(leader, &[]);
    }
    cluster.wait_for_leader().await;
    for host in HOSTS {
        let head = &receipts[2].head;
        let page = operator.export(&operator_addrs(&cluster, &[host]), head).await;
        for receipt in &receipts {
            let entry = &page.entries[receipt.sequence as usize - 1];
            assert_eq!(entry.hash, receipt.head);
        }
    }
}

#[tokio::test]
async fn nothing_accepted_reverts_when_every_host_is_killed() {
    let mut cluster = Cluster::start(bins(), 33, 4).await;
    let operator = Operator::new();
    let all = operator_addrs(&cluster, &HOSTS);
    for version in 1..21 {
        let file = operator.declare("ada", version);
        finish(operator.publish(&file, "ada", &all, "0")).await.receipt();
    }
    let file = operator.declare("ada", 21);
    let receipt = finish(operator.publish(&file, "ada", &all, "20")).await.receipt();
    let before = operator.export(&operator_addrs(&cluster, &[1]), &receipt.head).await;
    for host in HOSTS {
        cluster.kill(host);
    }
    for host in HOSTS {
        cluster.start_host(host, &[]);
    }
    cluster.wait_for_leader().await;
    for host in HOSTS {
        let page = operator.export(&operator_addrs(&cluster, &[host]), &receipt.head).await;
        assert_eq!(page, before, "host {host}");
    }
    let again = finish(operator.publish(&file, "ada", &all, "20")).await.receipt();
    assert_eq!((again.index, again.head), (receipt.index, receipt.head));
}

#[tokio::test]
async fn without_a_quorum_the_outcome_is_unknown_until_the_command_is_repeated() {
    let cluster = Cluster::start(bins(), 34, 4).await;
    let operator = Operator::new();
    for host in [2, 3] {
        cluster.signal(host, "STOP");
    }
    let file = operator.declare("ada", 1);
    let run = finish(operator.publish(&file, "ada", &operator_addrs(&cluster, &[1]), "0")).await;
    for host in [2, 3] {
        cluster.signal(host, "CONT");
    }
    assert_eq!(run.code, Some(3), "{run:?}");
    assert!(run.err.contains("run the command again"), "{run:?}");
    let all = operator_addrs(&cluster, &HOSTS);
    let receipt = finish(operator.publish(&file, "ada", &all, "60")).await.receipt();
    assert!(receipt.everywhere);
    cluster.wait_for_leader().await;
    let page = operator.export(&operator_addrs(&cluster, &[1]), &receipt.head).await;
    assert_eq!(page.entries.len(), 2, "accepted once");
}

/// Publishes a body with the given MAC. Returns the status, the error code and its `ran` value.
async fn post_publish(cluster: &Cluster, body: &str, mac: &str) -> (u16, String, String) {
    let url = format!("http://{}/v1/publish", operator_addrs(cluster, &[2]));
    let headers = [("content-type", "application/json"), (PUBLISH_MAC, mac)];
    let reply = cluster.client.post(&url, &headers, body.to_owned()).await;
    let error = reply.json::<api::ErrorBody>().map(|it| (it.error.code, it.error.ran));
    let (code, ran) = error.unwrap_or_default();
    (reply.status, code, ran)
}

#[tokio::test]
async fn only_who_has_the_key_can_publish() {
    let mut cluster = Cluster::new(bins(), 35, 4);
    let key_file = cluster.require_signature("a publish key\n").display().to_string();
    for host in HOSTS {
        cluster.start_host(host, &[]);
    }
    cluster.wait_for_leader().await;
    let operator = Operator::new();
    let host = operator_addrs(&cluster, &[2]);
    let file = operator.declare("ada", 1);
    let other = operator.path("other-key");
    fs::write(&other, "another key").expect("the directory is writable");
    let args = ["publish", &file, "--revision", "r1", "--author", "ada", "--json"];
    let args = [&args[..], &["--host", &host]].concat();
    for option in [&[][..], &["--key-file", &other]] {
        let run = operator.run(&[&args[..], option].concat()).await;
        assert_eq!(run.code, Some(1), "{run:?}");
        assert!(run.err.contains("the request is not authorised: x-publish-mac is"), "{run:?}");
    }
    let text = fs::read_to_string(&file).expect("the file was written");
    let files = vec![api::FileBody { name: file.clone(), text }];
    let body = api::PublishBody { files, author: "ada".to_owned(), revision: "r1".to_owned() };
    let body = serde_json::to_string(&body).expect("a publish body serializes");
    let mac = PublishKey::new(b"a publish key").expect("the key is valid").sign(body.as_bytes());
    let forbidden = (403, "forbidden".to_owned(), "no".to_owned());
    for changed in [body.replace("r1", "r2"), format!("{body} "), "no JSON".to_owned()] {
        assert_eq!(post_publish(&cluster, &changed, &mac).await, forbidden, "{changed}");
    }
    let counted = cluster.metrics(2).await;
    assert!(counted.contains("poplarhollow_publishes_total{code=\"forbidden\"} 5"), "{counted}");
    assert_eq!(cluster.status(2).await.expect("the host responds").services, []);

    let run = operator.run(&[&args[..], &["--key-file", &key_file]].concat()).await;
    assert_eq!(run.receipt().sequence, 1);
    assert_eq!(post_publish(&cluster, &body, &mac).await.0, 200, "sent again");
    assert_eq!(cluster.status(2).await.expect("the host responds").services.len(), 1);
    assert_eq!(operator.export(&host, &run.receipt().head).await.entries.len(), 1);
}

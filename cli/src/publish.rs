//! `publish`: submits declarations and waits until they are in force.

use std::{
    env, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use api::{FileBody, PublishBody, PublishKey, Receipt, header::PUBLISH_MAC};
use bytes::Bytes;
use decl::Declaration;
use http::Method;
use tokio::time::sleep;

use crate::{
    client::{Addresses, Client, Failure, HOSTS, block_on, parse},
    cmd::Publish,
    error::Error,
    output::print_json,
};

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two rounds over the hosts.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
const MAX_WAIT_S: u64 = 3600;
const PATH: &str = "/v1/publish";
/// Environment variable with the path of the publish key file.
const KEY_FILE: &str = "POPLARHOLLOW_PUBLISH_KEY_FILE";

impl Publish {
    pub(crate) fn run(self) -> Result<(), Error> {
        if self.files.is_empty() {
            return Err(Error::usage("no file to publish; pass declarations"));
        }
        let author = self.author.clone().or_else(|| env::var("USER").ok());
        let Some(author) = author.filter(|it| !it.is_empty()) else {
            return Err(Error::usage("no author; add --author"));
        };
        if self.revision.is_empty() {
            return Err(Error::usage(
                "the revision is empty; pass the revision of the reviewed code",
            ));
        }
        let addrs = Addresses::or_env(self.host.clone(), HOSTS)?;
        let key = self.key_path().map(|path| read_key(&path)).transpose()?;
        let files = read_files(&self.files)?;
        let body = PublishBody { files, author, revision: self.revision.clone() };
        let body = serde_json::to_vec(&body).map_err(|err| Error::failed(err.to_string()))?;
        let mac = key.map(|key| (PUBLISH_MAC, key.sign(&body)));
        let receipt = block_on(async {
            let publisher = Publisher {
                client: Client::new(EXCHANGE_TIMEOUT),
                addrs,
                headers: mac.into_iter().collect(),
                body: Bytes::from(body),
                deadline: Instant::now() + Duration::from_secs(self.wait.min(MAX_WAIT_S)),
            };
            let accepted = publisher.submit().await;
            let accepted = accepted.map_err(|err| err.context("could not publish"))?;
            Ok(publisher.wait_in_force(accepted).await)
        })?;
        if self.json {
            return print_json(&receipt);
        }
        print_receipt(&receipt);
        Ok(())
    }

    fn key_path(&self) -> Option<PathBuf> {
        let from_env = || env::var_os(KEY_FILE).filter(|it| !it.is_empty()).map(PathBuf::from);
        self.key_file.clone().or_else(from_env)
    }
}

/// Reads the publish key from its file.
fn read_key(path: &Path) -> Result<PublishKey, Error> {
    let name = path.display();
    let content = fs::read(path)
        .map_err(|err| Error::failed(format!("{name}: could not read key file: {err}")))?;
    PublishKey::new(&content).ok_or_else(|| Error::failed(format!("{name}: contains no key")))
}

/// Reads the files and validates all of them, so that nothing is sent if one has a mistake.
fn read_files(paths: &[PathBuf]) -> Result<Vec<FileBody>, Error> {
    let mut files = Vec::new();
    let mut mistakes = Vec::new();
    for path in paths {
        let name = path.display().to_string();
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(err) => {
                mistakes.push(format!("{name}: could not read file: {err}"));
                continue;
            }
        };
        if let Err(errors) = Declaration::parse(&name, &text) {
            mistakes.extend(errors.iter().map(ToString::to_string));
        }
        files.push(FileBody { name, text });
    }
    if mistakes.is_empty() {
        return Ok(files);
    }
    let message = format!("could not publish: {}; nothing was sent", mistakes.join("\n"));
    Err(Error::failed(message))
}

struct Publisher {
    client: Client,
    addrs: Addresses,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    deadline: Instant,
}

impl Publisher {
    /// Submits the files to the hosts in order, round after round, until one accepts or refuses
    /// them, the deadline passes or no host can be reached. Repeating is safe: the same files get
    /// the same receipt.
    async fn submit(&self) -> Result<Receipt, Error> {
        let mut unknown = None;
        loop {
            let mut answered = false;
            let mut last = Failure::NotSent("no host address".to_owned());
            for addr in &self.addrs.0 {
                let sent = self.send(*addr).await;
                let failure = match sent {
                    Ok(receipt) => return Ok(receipt),
                    Err(failure) => failure,
                };
                if !failure.try_elsewhere(true) {
                    return Err(refusal_error(unknown, failure));
                }
                answered |= !matches!(failure, Failure::NotSent(_));
                if failure.is_unknown() {
                    unknown = Some(failure);
                } else {
                    last = failure;
                }
            }
            let expired = Instant::now() + RETRY_INTERVAL >= self.deadline;
            if expired || !answered {
                return Err(final_error(unknown, last));
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Submits the files to one host.
    async fn send(&self, addr: SocketAddr) -> Result<Receipt, Failure> {
        let body = self.body.clone();
        let answer = self.client.exchange(addr, Method::POST, PATH, &self.headers, body).await?;
        parse(addr, &answer)
    }

    /// Submits the files again until they are in force everywhere or the deadline passes. Returns
    /// the latest receipt with the same index.
    async fn wait_in_force(&self, accepted: Receipt) -> Receipt {
        let mut receipt = accepted;
        while !receipt.everywhere && Instant::now() + RETRY_INTERVAL < self.deadline {
            sleep(RETRY_INTERVAL).await;
            for addr in &self.addrs.0 {
                let Ok(newer) = self.send(*addr).await else {
                    continue;
                };
                if newer.index == receipt.index {
                    receipt = newer;
                }
                break;
            }
        }
        receipt
    }
}

/// Codes of refusals that any host gives for the same files, now and later.
const FINAL_CODES: [&str; 3] = ["bad_declaration", "stale_version", "version_taken"];

/// Returns the error for a refusal by one host. If the outcome at another host is unknown, it stays
/// unknown unless the refusal is about the files themselves.
fn refusal_error(unknown: Option<Failure>, refusal: Failure) -> Error {
    match &refusal {
        Failure::Answered(detail) if FINAL_CODES.contains(&detail.code.as_str()) => refusal.into(),
        _ => final_error(unknown, refusal),
    }
}

/// Returns the error of the command after the last round: an unknown outcome at any host takes
/// precedence over the last failure.
fn final_error(unknown: Option<Failure>, last: Failure) -> Error {
    match unknown {
        None => last.into(),
        Some(Failure::Lost(message)) => Error::unknown(message).advise(
            "the outcome is unknown; run the command again; files that were already accepted get the same receipt",
        ),
        Some(failure) => failure.into(),
    }
}

fn print_receipt(receipt: &Receipt) {
    println!("accepted at index {}, audit sequence {}", receipt.index, receipt.sequence);
    println!("audit head {}", receipt.head);
    for service in &receipt.services {
        println!("{} version {} digest {}", service.service, service.version, service.digest);
    }
    for domain in &receipt.in_force {
        let total = domain.applied + domain.lagging;
        println!("{}: in force on {} of {total} live hosts", domain.domain, domain.applied);
    }
    if receipt.everywhere {
        println!("in force everywhere");
    } else {
        println!("not yet in force everywhere; run the command again to check");
    }
}

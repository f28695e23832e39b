//! `publish`: hands in declarations until a host confirms them.

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
/// Time between two rounds over the hosts.
const PAUSE: Duration = Duration::from_millis(300);
const MAX_WAIT: u64 = 3600;
const PATH: &str = "/v1/publish";
/// The variable that names the file with the publish key.
const KEY_FILE: &str = "POPLARHOLLOW_PUBLISH_KEY_FILE";

impl Publish {
    pub(crate) fn run(self) -> Result<(), Error> {
        if self.files.is_empty() {
            return Err(Error::usage("no file to publish; name declarations"));
        }
        let author = self.author.clone().or_else(|| env::var("USER").ok());
        let Some(author) = author.filter(|it| !it.is_empty()) else {
            return Err(Error::usage("no author; add --author"));
        };
        if self.revision.is_empty() {
            return Err(Error::usage("the revision is empty; name that of the reviewed code"));
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
                until: Instant::now() + Duration::from_secs(self.wait.min(MAX_WAIT)),
            };
            let accepted = publisher.hand_in().await;
            let accepted = accepted.map_err(|err| err.context("could not publish"))?;
            Ok(publisher.wait_in_force(accepted).await)
        })?;
        if self.json {
            return print_json(&receipt);
        }
        print(&receipt);
        Ok(())
    }

    fn key_path(&self) -> Option<PathBuf> {
        let named = || env::var_os(KEY_FILE).filter(|it| !it.is_empty()).map(PathBuf::from);
        self.key_file.clone().or_else(named)
    }
}

/// Reads the publish key.
fn read_key(path: &Path) -> Result<PublishKey, Error> {
    let name = path.display();
    let content = fs::read(path)
        .map_err(|err| Error::failed(format!("{name}: could not read key file: {err}")))?;
    PublishKey::new(&content).ok_or_else(|| Error::failed(format!("{name}: holds no key")))
}

/// Reads the files and checks them before anything is sent.
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
    until: Instant,
}

impl Publisher {
    /// Asks the hosts in turn, round after round, until one accepts or refuses.
    /// The same files may be handed in again: they get the same receipt.
    async fn hand_in(&self) -> Result<Receipt, Error> {
        let mut unknown = None;
        loop {
            let mut answered = false;
            let mut last = Failure::NotSent("no address of a host".to_owned());
            for addr in &self.addrs.0 {
                let sent = self.send(*addr).await;
                let failure = match sent {
                    Ok(receipt) => return Ok(receipt),
                    Err(failure) => failure,
                };
                if !failure.try_elsewhere(true) {
                    return Err(refused(unknown, failure));
                }
                answered |= !matches!(failure, Failure::NotSent(_));
                if failure.is_unknown() {
                    unknown = Some(failure);
                } else {
                    last = failure;
                }
            }
            let over = Instant::now() + PAUSE >= self.until;
            if over || !answered {
                return Err(give_up(unknown, last));
            }
            sleep(PAUSE).await;
        }
    }

    /// Hands the files in at one host.
    async fn send(&self, addr: SocketAddr) -> Result<Receipt, Failure> {
        let body = self.body.clone();
        let answer = self.client.exchange(addr, Method::POST, PATH, &self.headers, body).await?;
        parse(addr, &answer)
    }

    /// Hands the files in again until they are in force everywhere.
    async fn wait_in_force(&self, accepted: Receipt) -> Receipt {
        let mut receipt = accepted;
        while !receipt.everywhere && Instant::now() + PAUSE < self.until {
            sleep(PAUSE).await;
            for addr in &self.addrs.0 {
                let Ok(again) = self.send(*addr).await else {
                    continue;
                };
                if again.index == receipt.index {
                    receipt = again;
                }
                break;
            }
        }
        receipt
    }
}

/// Refusals that also hold for the same files at another host, now and later.
const FINAL: [&str; 3] = ["bad_declaration", "stale_version", "version_taken"];

/// A refusal at one host leaves an unknown outcome at another as it is, unless
/// it is about the files themselves.
fn refused(unknown: Option<Failure>, refusal: Failure) -> Error {
    match &refusal {
        Failure::Answered(detail) if FINAL.contains(&detail.code.as_str()) => refusal.into(),
        _ => give_up(unknown, refusal),
    }
}

fn give_up(unknown: Option<Failure>, last: Failure) -> Error {
    match unknown {
        None => last.into(),
        Some(Failure::Lost(message)) => Error::unknown(message).advise(
            "the outcome is unknown; run the command again: files that were accepted get the same receipt",
        ),
        Some(failure) => failure.into(),
    }
}

fn print(receipt: &Receipt) {
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
        println!("not yet in force everywhere; run the command again to see how far it is");
    }
}

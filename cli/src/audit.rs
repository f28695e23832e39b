//! `audit`: shows, exports and verifies the audit trail of accepted changes.

use std::{fs, path::Path, time::Duration};

use api::{AuditEntry, AuditPage};
use history::{Entry, from_api, from_hex, verify_head};

use crate::{
    client::{Addresses, Client, HOSTS, block_on},
    cmd::{Audit, AuditCmd, AuditExport, AuditShow, AuditVerify},
    date::utc,
    error::Error,
    output::{print_json, to_json},
};

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

impl Audit {
    pub(crate) fn run(self) -> Result<(), Error> {
        match self.cmd {
            AuditCmd::Show(cmd) => cmd.run(),
            AuditCmd::Export(cmd) => cmd.run(),
            AuditCmd::Verify(cmd) => cmd.run(),
        }
    }
}

impl AuditShow {
    fn run(self) -> Result<(), Error> {
        let addrs = Addresses::or_env(self.host, HOSTS)?;
        let page = fetch(&addrs, self.from.max(1))?;
        if self.json {
            return print_json(&page);
        }
        for entry in &page.entries {
            print_entry(entry);
        }
        println!("head {} at sequence {}", page.head, page.last);
        Ok(())
    }
}

impl AuditExport {
    fn run(self) -> Result<(), Error> {
        let addrs = Addresses::or_env(self.host, HOSTS)?;
        let page = fetch(&addrs, 1)?;
        verify_page(&page).map_err(|err| err.context("the host's audit trail is not valid"))?;
        let file = self.file.display().to_string();
        let text = to_json(&page)? + "\n";
        fs::write(&self.file, text)
            .map_err(|err| Error::failed(format!("could not write {file}: {err}")))?;
        println!("wrote {} entries to {file}, head {}", page.entries.len(), page.head);
        Ok(())
    }
}

impl AuditVerify {
    fn run(self) -> Result<(), Error> {
        let file = self.file.display().to_string();
        let context = format!("could not verify {file}");
        let page = read_page(&self.file).map_err(|err| err.context(&context))?;
        let entries = verify_page(&page).map_err(|err| err.context(&context))?;
        if let Some(head) = &self.head {
            let Some(hash) = from_hex(head) else {
                return Err(Error::usage(format!(
                    "`{head}` is not a SHA-256 hash in lower-case hexadecimal"
                )));
            };
            if !entries.iter().any(|it| it.hash == hash) {
                let message = format!("{context}: no entry has the hash {head}");
                return Err(Error::failed(message));
            }
        }
        println!("{} entries verified, head {}", entries.len(), page.head);
        Ok(())
    }
}

/// Fetches the entries from sequence `from` to the end, page by page.
fn fetch(addrs: &Addresses, from: u64) -> Result<AuditPage, Error> {
    let client = Client::new(EXCHANGE_TIMEOUT);
    let fetched = block_on(async {
        let mut all_entries: Vec<AuditEntry> = Vec::new();
        loop {
            let next = from + all_entries.len() as u64;
            let path = format!("/v1/audit?from={next}");
            let mut page: AuditPage = client.get(addrs, &path).await?;
            let has_entries = !page.entries.is_empty();
            all_entries.append(&mut page.entries);
            // Pages may come from different hosts. A host that lags behind the previous one
            // answers with an empty page, which also ends the loop.
            if !has_entries || from + all_entries.len() as u64 > page.last {
                return Ok(AuditPage { entries: all_entries, ..page });
            }
        }
    });
    fetched.map_err(|err| err.context("could not read the audit trail"))
}

fn read_page(path: &Path) -> Result<AuditPage, Error> {
    let text = fs::read(path).map_err(|err| Error::failed(err.to_string()))?;
    serde_json::from_slice(&text)
        .map_err(|err| Error::failed(format!("not an exported audit trail: {err}")))
}

/// Verifies a complete trail against its head and returns the entries.
fn verify_page(page: &AuditPage) -> Result<Vec<Entry>, Error> {
    let mut entries = Vec::new();
    for entry in &page.entries {
        entries.push(from_api(entry).map_err(|err| Error::failed(err.to_string()))?);
    }
    let Some(head) = from_hex(&page.head) else {
        return Err(Error::failed(format!(
            "`{}` is not a SHA-256 hash in lower-case hexadecimal",
            page.head
        )));
    };
    verify_head(&entries, page.last, head).map_err(|err| Error::failed(err.to_string()))?;
    Ok(entries)
}

fn print_entry(entry: &AuditEntry) {
    println!(
        "{} {} by {} from revision {} at index {}",
        entry.sequence,
        utc(entry.at),
        entry.author,
        entry.revision,
        entry.index
    );
    for change in &entry.changes {
        println!(
            "  {} version {} in place of {}, digest {}",
            change.service, change.version, change.replaced, change.digest
        );
    }
    println!("  hash {}", entry.hash);
}

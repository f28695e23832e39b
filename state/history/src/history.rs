//! Application of publishes to the configuration and its audit trail.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use wire::{ErrorKind, Fault, Index, Publish};

use crate::{
    Change, Config, Entry, Hash, ServiceInfo,
    publish::{self, File},
    to_hex,
};

/// Confirms an accepted publish. A resend receives the same receipt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The log index of the change; on a resend, the highest index among its services.
    pub index: Index,
    /// The audit sequence number of that change.
    pub sequence: u64,
    /// The audit hash of that change.
    pub head: Hash,
    /// Each service with its version and the SHA-256 digest of its file, in order of names.
    pub services: Vec<(String, u64, Hash)>,
}

/// The replicated configuration with its audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    config: Arc<Config>,
    entries: Vec<Entry>,
}

/// The files of a publish by service.
type Files = BTreeMap<String, File>;

impl History {
    /// Applies a publish at a log index: all of its files or none. `at` is in milliseconds since
    /// the epoch.
    ///
    /// A version above the one in force is accepted; the version in force with the same content
    /// changes nothing. Fails with [`ErrorKind::VersionTaken`] for the version in force with
    /// other content, [`ErrorKind::StaleVersion`] for a lower version and
    /// [`ErrorKind::BadDeclaration`] for an invalid file.
    pub fn apply(&mut self, index: Index, at: u64, publish: &Publish) -> Result<Receipt, Fault> {
        let files = publish::parse_files(publish)?;
        self.check_versions(&files)?;
        let changes = self.changes(&files);
        if !changes.is_empty() {
            self.append(index, at, publish, changes);
            self.put_in_force(index, &files);
        }
        Ok(self.receipt(&files))
    }

    /// Checks whether a publish would be accepted now. Fails like [`History::apply`].
    pub fn check(&self, publish: &Publish) -> Result<(), Fault> {
        let files = publish::parse_files(publish)?;
        self.check_versions(&files)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the audit entries from a sequence number on.
    pub fn entries(&self, from: u64) -> &[Entry] {
        let skipped = usize::try_from(from.saturating_sub(1)).unwrap_or(usize::MAX);
        self.entries.get(skipped..).unwrap_or_default()
    }

    /// Returns the sequence number and hash of the newest entry; zeros if there is none.
    pub fn head(&self) -> (u64, Hash) {
        self.entries.last().map_or((0, Hash::default()), |it| (it.sequence, it.hash))
    }

    /// Refuses files whose version is below the one in force, or equal to it with other content.
    fn check_versions(&self, files: &Files) -> Result<(), Fault> {
        let mut kind = None;
        let mut refusals = Vec::new();
        for (service, file) in files {
            let Some(current) = self.config.services.get(service) else {
                continue;
            };
            let version = file.declaration.version;
            let reason = if version < current.declaration.version {
                ErrorKind::StaleVersion
            } else if version == current.declaration.version && file.digest != current.digest {
                ErrorKind::VersionTaken
            } else {
                continue;
            };
            kind.get_or_insert(reason);
            refusals.push(self.refusal_message(service, file, current));
        }
        match kind {
            None => Ok(()),
            Some(kind) => Err(Fault::new(kind, publish::join_lines(&refusals))),
        }
    }

    /// Returns the message for a refused file, which names what is in force in its place.
    fn refusal_message(&self, service: &str, file: &File, current: &ServiceInfo) -> String {
        let name = &file.name;
        let offered = file.declaration.version;
        let version = current.declaration.version;
        let digest = to_hex(&current.digest);
        let mut text = if offered == version {
            format!("{name}: version {version} of {service} is in force with digest {digest}")
        } else {
            format!(
                "{name}: version {offered} of {service} is below version {version}, in force with digest {digest}"
            )
        };
        if let Some(entry) = self.entry_at(current.index) {
            text.push_str(&format!(
                ", published by {} from revision {} at index {}",
                entry.author, entry.revision, entry.index
            ));
        }
        if let Some(entry) = self.earlier_entry(service, file) {
            text.push_str(&format!("; this file was in force from index {} on", entry.index));
        }
        text
    }

    fn entry_at(&self, index: Index) -> Option<&Entry> {
        let idx = self.entries.binary_search_by_key(&index, |it| it.index).ok()?;
        self.entries.get(idx)
    }

    /// Finds the newest entry that brought the same file into force.
    fn earlier_entry(&self, service: &str, file: &File) -> Option<&Entry> {
        let same = |it: &Change| it.service == service && it.digest == file.digest;
        self.entries.iter().rev().find(|it| it.changes.iter().any(same))
    }

    fn changes(&self, files: &Files) -> Vec<Change> {
        let mut changes = Vec::new();
        for (service, file) in files {
            let current = self.config.services.get(service);
            let replaced = current.map_or(0, |it| it.declaration.version);
            if file.declaration.version == replaced {
                continue;
            }
            changes.push(Change {
                service: service.clone(),
                version: file.declaration.version,
                replaced,
                digest: file.digest,
                text: file.text.clone(),
            });
        }
        changes
    }

    fn append(&mut self, index: Index, at: u64, publish: &Publish, changes: Vec<Change>) {
        let (last, previous) = self.head();
        let mut entry = Entry {
            sequence: last + 1,
            index,
            at,
            author: publish.author.clone(),
            revision: publish.revision.clone(),
            changes,
            previous,
            hash: Hash::default(),
        };
        entry.hash = entry.compute_hash();
        self.entries.push(entry);
    }

    fn put_in_force(&mut self, index: Index, files: &Files) {
        let config = Arc::make_mut(&mut self.config);
        for (service, file) in files {
            let current = config.services.get(service);
            if current.is_some_and(|it| it.declaration.version == file.declaration.version) {
                continue;
            }
            config.put(ServiceInfo {
                declaration: file.declaration.clone(),
                digest: file.digest,
                index,
            });
        }
    }

    /// Returns a receipt for files in force, with the index of the newest change among them.
    fn receipt(&self, files: &Files) -> Receipt {
        let in_force = files.keys().filter_map(|it| self.config.services.get(it));
        let index = in_force.map(|it| it.index).max().unwrap_or_default();
        let entry = self.entry_at(index);
        let mut services = Vec::new();
        for (service, file) in files {
            services.push((service.clone(), file.declaration.version, file.digest));
        }
        Receipt {
            index,
            sequence: entry.map_or(0, |it| it.sequence),
            head: entry.map_or(Hash::default(), |it| it.hash),
            services,
        }
    }
}

//! Service declarations: parsing and validation.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use wire::{HostId, Urgency};

use crate::{
    FileError,
    document::{Document, Section},
    reader::{Checked, Reader},
    value,
};

/// The name of the service whose declaration lists the voters. It is reserved for kind `system`.
pub const SYSTEM_SERVICE: &str = "system";

const SERVICE: &str = "service";
const ADAPTERS: &str = "adapters";
const CLUSTER: &str = "cluster";
const CALL_PREFIX: &str = "call ";
const CALL_KEYS: [&str; 4] = ["path", "urgency", "idempotent", "deadline"];
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const MIN_DEADLINE: Duration = Duration::from_millis(1);
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// What serves the requests of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Model engines that serve adapters of a base model.
    Model {
        /// The base model's name.
        model: String,
        /// The adapters, each with the versions in use.
        adapters: BTreeMap<String, Vec<String>>,
    },
    /// A plain service without models.
    Plain,
    /// The system itself: the declaration lists the voters of the replication group.
    System {
        /// The voting hosts.
        voters: Vec<HostId>,
    },
}

/// A call that a service offers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The call's name.
    pub name: String,
    /// The HTTP path of its requests at the target.
    pub path: String,
    /// The urgency of its requests.
    pub urgency: Urgency,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The deadline of requests for which the caller sets none.
    pub deadline: Duration,
}

/// The validated content of a declaration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// The service's name.
    pub service: String,
    /// The declaration's version, from 1.
    pub version: u64,
    /// What serves the requests.
    pub kind: ServiceKind,
    /// The calls by name.
    pub calls: BTreeMap<String, Call>,
    /// The first call in the file, which serves requests that name no call.
    pub first_call: Option<String>,
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Model,
    Plain,
    System,
}

impl Declaration {
    /// Parses a declaration. On failure, returns all mistakes that were found, not just the first.
    pub fn parse(file: &str, text: &str) -> Result<Declaration, Vec<FileError>> {
        let document = Document::parse(file, text)?;
        let mut reader = Reader::new(&document);
        let declaration = read(&mut reader);
        reader.finish(declaration)
    }

    /// Returns the full names, `model@adapter@version`, of all adapter versions.
    pub fn adapter_names(&self) -> Vec<String> {
        let ServiceKind::Model { model, adapters } = &self.kind else {
            return Vec::new();
        };
        let mut names = Vec::new();
        for (adapter, versions) in adapters {
            for version in versions {
                names.push(format!("{model}@{adapter}@{version}"));
            }
        }
        names
    }
}

fn read(reader: &mut Reader<'_>) -> Option<Declaration> {
    let service = reader.required(SERVICE, "name", value::name);
    let version = reader.required(SERVICE, "version", value::integer(1..=u64::MAX));
    let kinds = [("model", Kind::Model), ("plain", Kind::Plain), ("system", Kind::System)];
    let kind = reader.required(SERVICE, "kind", value::choice(&kinds));
    let calls = read_calls(reader);
    let service_kind = kind.and_then(|it| read_kind(reader, it));
    if let Some(kind) = kind {
        check_sections(reader, kind, service.as_deref());
    }
    let first_call = first_call(reader.document);
    Some(Declaration {
        service: service?,
        version: version?,
        kind: service_kind?,
        calls,
        first_call,
    })
}

/// Checks that the file has the sections and keys of its kind, and no others.
fn check_sections(reader: &mut Reader<'_>, kind: Kind, service: Option<&str>) {
    let (sections, keys): (&[&str], &[&str]) = match kind {
        Kind::Model => (&[SERVICE, ADAPTERS], &["name", "version", "kind", "model"]),
        Kind::Plain => (&[SERVICE], &["name", "version", "kind"]),
        Kind::System => (&[SERVICE, CLUSTER], &["name", "version", "kind"]),
    };
    let mut calls = 0;
    for section in &reader.document.sections {
        if section.name == SERVICE {
            reader.check_keys(section, keys);
        }
        if section.name == CLUSTER && kind == Kind::System {
            reader.check_keys(section, &["voters"]);
        }
        if sections.contains(&section.name.as_str()) {
            continue;
        }
        if section.name.starts_with(CALL_PREFIX) && kind != Kind::System {
            calls += 1;
            continue;
        }
        let allowed = sections.join("], [");
        let call = if kind == Kind::System { "" } else { ", [call NAME]" };
        let message = format!("unknown section for this kind; allowed: [{allowed}]{call}");
        reader.report(&section.name, "", message);
    }
    if calls == 0 && kind != Kind::System {
        reader.report(SERVICE, "", "the service has no call; add a section [call NAME]");
    }
    let is_system = service == Some(SYSTEM_SERVICE);
    if service.is_some() && is_system != (kind == Kind::System) {
        let message =
            format!("the name `{SYSTEM_SERVICE}` and the kind `system` only go with each other");
        reader.report(SERVICE, "name", message);
    }
}

fn read_kind(reader: &mut Reader<'_>, kind: Kind) -> Option<ServiceKind> {
    match kind {
        Kind::Plain => Some(ServiceKind::Plain),
        Kind::Model => {
            let model = reader.required(SERVICE, "model", value::name);
            let adapters = read_adapters(reader);
            Some(ServiceKind::Model { model: model?, adapters })
        }
        Kind::System => {
            let voters = reader.required(CLUSTER, "voters", |it| value::list(it, value::host));
            Some(ServiceKind::System { voters: voters? })
        }
    }
}

fn read_adapters(reader: &mut Reader<'_>) -> BTreeMap<String, Vec<String>> {
    let mut adapters = BTreeMap::new();
    let keys = reader.document.section(ADAPTERS).map_or(&[][..], |it| &it.keys);
    if keys.is_empty() {
        reader.report(ADAPTERS, "", "no adapter; allowed: one line `ADAPTER = VERSION, ...` each");
    }
    for key in keys {
        if let Err(message) = value::name(&key.name) {
            reader.report(ADAPTERS, &key.name, message);
        }
        let versions = reader.check(ADAPTERS, key, |it| value::list(it, value::name));
        adapters.insert(key.name.clone(), versions.unwrap_or_default());
    }
    adapters
}

fn first_call(document: &Document) -> Option<String> {
    let mut names = document.sections.iter().filter_map(|it| it.name.strip_prefix(CALL_PREFIX));
    names.next().map(|it| it.trim().to_owned())
}

fn read_calls(reader: &mut Reader<'_>) -> BTreeMap<String, Call> {
    let mut calls = BTreeMap::new();
    for section in &reader.document.sections {
        let Some(name) = section.name.strip_prefix(CALL_PREFIX) else {
            continue;
        };
        let name = name.trim();
        if let Err(message) = value::name(name) {
            reader.report(&section.name, "", message);
        }
        reader.check_keys(section, &CALL_KEYS);
        let Some(call) = read_call(reader, section, name) else {
            continue;
        };
        if calls.insert(name.to_owned(), call).is_some() {
            reader.report(&section.name, "", format!("the call `{name}` stands twice"));
        }
    }
    calls
}

fn read_call(reader: &mut Reader<'_>, section: &Section, name: &str) -> Option<Call> {
    let urgencies = [("high", Urgency::High), ("normal", Urgency::Normal), ("low", Urgency::Low)];
    let path = reader.required(&section.name, "path", value::path);
    let urgency = reader.with_default(
        &section.name,
        "urgency",
        Urgency::default(),
        value::choice(&urgencies),
    );
    let idempotent = reader.required(&section.name, "idempotent", yes_no);
    let limits = value::duration(MIN_DEADLINE..=MAX_DEADLINE);
    let deadline = reader.with_default(&section.name, "deadline", DEFAULT_DEADLINE, limits);
    Some(Call { name: name.to_owned(), path: path?, urgency, idempotent: idempotent?, deadline })
}

fn yes_no(text: &str) -> Checked<bool> {
    value::choice(&[("yes", true), ("no", false)])(text)
}

//! `check`: declarations and settings, offline.

use std::{collections::BTreeMap, fs, path::Path};

use decl::{Declaration, FileError, FileKind, ServiceKind, Settings};
use serde::Serialize;

use crate::{cmd::Check, error::Error, output::print_json};

/// The result for scripts.
#[derive(Debug, Default, Serialize)]
struct Report {
    accepted: Vec<String>,
    mistakes: Vec<String>,
}

impl Check {
    pub(crate) fn run(self) -> Result<(), Error> {
        if self.files.is_empty() {
            return Err(Error::usage("no file to check; name declarations or settings"));
        }
        let report = check(&self.files);
        if self.json {
            print_json(&report)?;
        } else {
            print_lines(&report);
        }
        if report.mistakes.is_empty() {
            return Ok(());
        }
        let count = report.mistakes.len();
        Err(Error::failed(format!("mistakes found: {count}; correct them and check again")))
    }
}

fn print_lines(report: &Report) {
    for line in &report.accepted {
        println!("{line}");
    }
    for line in &report.mistakes {
        eprintln!("{line}");
    }
}

fn check(files: &[impl AsRef<Path>]) -> Report {
    let mut report = Report::default();
    let mut services = BTreeMap::new();
    for path in files {
        let file = path.as_ref().display().to_string();
        match check_file(path.as_ref(), &file) {
            Ok((line, service)) => {
                report.accepted.push(format!("{file}: {line}"));
                let Some(service) = service else {
                    continue;
                };
                if let Some(other) = services.insert(service.clone(), file.clone()) {
                    let message = format!("{file}: declares {service}, as {other} does");
                    report.mistakes.push(message);
                }
            }
            Err(mistakes) => report.mistakes.extend(mistakes),
        }
    }
    report
}

/// Checks one file. Returns a line about it and the service it declares.
fn check_file(path: &Path, file: &str) -> Result<(String, Option<String>), Vec<String>> {
    let text = fs::read_to_string(path)
        .map_err(|err| vec![format!("{file}: could not read file: {err}")])?;
    let strings = |errors: Vec<FileError>| -> Vec<String> {
        errors.iter().map(ToString::to_string).collect()
    };
    match FileKind::of(&text) {
        Some(FileKind::Declaration) => {
            let declaration = Declaration::parse(file, &text).map_err(strings)?;
            Ok((about_service(&declaration), Some(declaration.service)))
        }
        Some(FileKind::Settings) => {
            let settings = Settings::parse(file, &text).map_err(strings)?;
            Ok((about_host(&settings), None))
        }
        None => Err(vec![format!(
            "{file}: neither a declaration with [service] nor settings with [host]"
        )]),
    }
}

fn about_service(declaration: &Declaration) -> String {
    let Declaration { service, version, kind, calls, .. } = declaration;
    let start = format!("service {service}, version {version}");
    let names: Vec<_> = calls.keys().map(String::as_str).collect();
    let calls = names.join(", ");
    match kind {
        ServiceKind::System { voters } => format!("{start}, voters {voters:?}"),
        ServiceKind::Plain => format!("{start}, calls {calls}"),
        ServiceKind::Model { model, .. } => {
            let adapters = declaration.adapter_names().len();
            format!("{start}, {adapters} adapter versions of {model}, calls {calls}")
        }
    }
}

fn about_host(settings: &Settings) -> String {
    let Settings { host, domain, peers, .. } = settings;
    let role = if settings.data_dir.is_some() { "with a data folder" } else { "without a disk" };
    format!("host {host} of {} in {domain}, {role}", peers.len())
}

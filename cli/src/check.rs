//! `check`: declarations, settings, and what the machines read, offline.

use std::{collections::BTreeMap, fs, path::Path};

use decl::{Declaration, FileError, FileKind, ServiceKind, Settings};
use serde::Serialize;

use crate::{
    cmd::Check,
    deployment::{Read, check_voters, compare_settings},
    error::Error,
    output::print_json,
};

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
    let mut declarations = Vec::new();
    let mut settings = Vec::new();
    for path in files {
        let file = path.as_ref().display().to_string();
        match read(path.as_ref(), &file) {
            Ok(File::Declaration(content)) => {
                report.accepted.push(format!("{file}: {}", about_service(&content)));
                declarations.push(Read { file, content });
            }
            Ok(File::Machine(about)) => report.accepted.push(format!("{file}: {about}")),
            Ok(File::Settings(content)) => {
                report.accepted.push(format!("{file}: {}", about_host(&content)));
                settings.push(Read { file, content: *content });
            }
            Err(mistakes) => report.mistakes.extend(mistakes),
        }
    }
    report.mistakes.extend(compare_services(&declarations));
    report.mistakes.extend(compare_settings(&settings));
    report.mistakes.extend(check_voters(&declarations, &settings));
    report
}

/// Finds services that two files declare.
fn compare_services(declarations: &[Read<Declaration>]) -> Vec<String> {
    let mut files = BTreeMap::new();
    let mut mistakes = Vec::new();
    for Read { file, content } in declarations {
        if let Some(other) = files.insert(&content.service, file) {
            mistakes.push(format!("{file}: declares {}, as {other} does", content.service));
        }
    }
    mistakes
}

enum File {
    Declaration(Declaration),
    Settings(Box<Settings>),
    /// A file of the machines; what it holds.
    Machine(String),
}

/// Reads one file, whose kind is told by its content.
fn read(path: &Path, file: &str) -> Result<File, Vec<String>> {
    let text = fs::read_to_string(path)
        .map_err(|err| vec![format!("{file}: could not read file: {err}")])?;
    let strings = |errors: Vec<FileError>| -> Vec<String> {
        errors.iter().map(ToString::to_string).collect()
    };
    match FileKind::of(&text) {
        Some(FileKind::Declaration) => {
            Declaration::parse(file, &text).map(File::Declaration).map_err(strings)
        }
        Some(FileKind::Settings) => {
            let settings = Settings::parse(file, &text).map_err(strings)?;
            Ok(File::Settings(Box::new(settings)))
        }
        None if platform::deploy::is_deploy(&text) => deploy(file, &text),
        None if platform::settings::is_settings(&text) => machine(file, &text),
        None => Err(vec![format!(
            "{file}: no declaration with [service], no settings with [host], and no deploy file or \
             settings of the machines"
        )]),
    }
}

fn deploy(file: &str, text: &str) -> Result<File, Vec<String>> {
    match platform::deploy::check(text) {
        Ok(roles) => Ok(File::Machine(format!("deploy file, roles {}", roles.join(", ")))),
        Err(errors) => Err(errors.iter().map(|it| format!("{file}: {it}")).collect()),
    }
}

fn machine(file: &str, text: &str) -> Result<File, Vec<String>> {
    match platform::settings::read(text) {
        Ok(settings) => {
            let role = if settings.data_dir.is_some() { "with a disk" } else { "without a disk" };
            let (name, domain) = (settings.name, settings.domain);
            Ok(File::Machine(format!("settings of machine {name} in {domain}, {role}")))
        }
        Err(error) => {
            let line = error.field().and_then(|it| platform::settings::line_of(text, it));
            let place = line.map(|it| format!("line {it}: ")).unwrap_or_default();
            Err(vec![format!("{file}: {place}{error}")])
        }
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

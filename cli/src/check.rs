//! `check`: validates declarations, host settings, deploy files and machine settings offline.

use std::{collections::BTreeMap, fs, path::Path};

use decl::{Declaration, FileError, FileKind, ServiceKind, Settings};
use serde::Serialize;

use crate::{
    cmd::Check,
    deployment::{ParsedFile, check_voters, compare_settings},
    error::Error,
    output::print_json,
};

/// Result of a check, printed as JSON with `--json`.
#[derive(Debug, Default, Serialize)]
struct Report {
    accepted: Vec<String>,
    mistakes: Vec<String>,
}

impl Check {
    pub(crate) fn run(self) -> Result<(), Error> {
        if self.files.is_empty() {
            return Err(Error::usage("no file to check; pass declarations or settings"));
        }
        let report = check(&self.files);
        if self.json {
            print_json(&report)?;
        } else {
            print_report(&report);
        }
        if report.mistakes.is_empty() {
            return Ok(());
        }
        let count = report.mistakes.len();
        Err(Error::failed(format!("mistakes found: {count}; correct them and check again")))
    }
}

fn print_report(report: &Report) {
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
                report.accepted.push(format!("{file}: {}", describe_service(&content)));
                declarations.push(ParsedFile { file, content });
            }
            Ok(File::Machine(description)) => {
                report.accepted.push(format!("{file}: {description}"))
            }
            Ok(File::Settings(content)) => {
                report.accepted.push(format!("{file}: {}", describe_host(&content)));
                settings.push(ParsedFile { file, content: *content });
            }
            Err(mistakes) => report.mistakes.extend(mistakes),
        }
    }
    report.mistakes.extend(find_duplicate_services(&declarations));
    report.mistakes.extend(compare_settings(&settings));
    report.mistakes.extend(check_voters(&declarations, &settings));
    report
}

/// Reports services that more than one file declares.
fn find_duplicate_services(declarations: &[ParsedFile<Declaration>]) -> Vec<String> {
    let mut files = BTreeMap::new();
    let mut mistakes = Vec::new();
    for ParsedFile { file, content } in declarations {
        if let Some(other) = files.insert(&content.service, file) {
            mistakes
                .push(format!("{file}: declares {}, which {other} declares too", content.service));
        }
    }
    mistakes
}

enum File {
    Declaration(Declaration),
    Settings(Box<Settings>),
    /// A deploy file or the settings of a machine, with a description of its content.
    Machine(String),
}

/// Reads and validates one file. Its kind is detected from its content.
fn read(path: &Path, file: &str) -> Result<File, Vec<String>> {
    let text = fs::read_to_string(path)
        .map_err(|err| vec![format!("{file}: could not read file: {err}")])?;
    let messages = |errors: Vec<FileError>| -> Vec<String> {
        errors.iter().map(ToString::to_string).collect()
    };
    match FileKind::detect(&text) {
        Some(FileKind::Declaration) => {
            Declaration::parse(file, &text).map(File::Declaration).map_err(messages)
        }
        Some(FileKind::Settings) => {
            let settings = Settings::parse(file, &text).map_err(messages)?;
            Ok(File::Settings(Box::new(settings)))
        }
        None if platform::deploy::is_deploy(&text) => check_deploy(file, &text),
        None if platform::settings::is_settings(&text) => check_machine(file, &text),
        None => Err(vec![format!(
            "{file}: neither a declaration with [service], host settings with [host], a deploy file \
             nor machine settings"
        )]),
    }
}

fn check_deploy(file: &str, text: &str) -> Result<File, Vec<String>> {
    match platform::deploy::check(text) {
        Ok(roles) => Ok(File::Machine(format!("deploy file, roles {}", roles.join(", ")))),
        Err(errors) => Err(errors.iter().map(|it| format!("{file}: {it}")).collect()),
    }
}

fn check_machine(file: &str, text: &str) -> Result<File, Vec<String>> {
    match platform::settings::read(text) {
        Ok(settings) => {
            let role = if settings.data_dir.is_some() { "with a disk" } else { "without a disk" };
            let (name, domain) = (settings.name, settings.domain);
            Ok(File::Machine(format!("settings of machine {name} in {domain}, {role}")))
        }
        Err(error) => {
            let line = error.field().and_then(|it| platform::settings::line_of(text, it));
            let position = line.map(|it| format!("line {it}: ")).unwrap_or_default();
            Err(vec![format!("{file}: {position}{error}")])
        }
    }
}

fn describe_service(declaration: &Declaration) -> String {
    let Declaration { service, version, kind, calls, .. } = declaration;
    let prefix = format!("service {service}, version {version}");
    let names: Vec<_> = calls.keys().map(String::as_str).collect();
    let calls = names.join(", ");
    match kind {
        ServiceKind::System { voters } => format!("{prefix}, voters {voters:?}"),
        ServiceKind::Plain => format!("{prefix}, calls {calls}"),
        ServiceKind::Model { model, .. } => {
            let adapters = declaration.adapter_names().len();
            format!("{prefix}, {adapters} adapter versions of {model}, calls {calls}")
        }
    }
}

fn describe_host(settings: &Settings) -> String {
    let Settings { host, domain, peers, .. } = settings;
    let role = if settings.data_dir.is_some() { "with a data folder" } else { "without a disk" };
    format!("host {host} of {} in {domain}, {role}", peers.len())
}

//! Consistency checks between the files of one deployment.

use decl::{Declaration, ServiceKind, Settings};

/// A file that was read and parsed without a mistake.
pub(crate) struct ParsedFile<T> {
    pub(crate) file: String,
    pub(crate) content: T,
}

/// Compares settings files of the same system: all sections but `[host]` must be equal, each
/// host may have one file only, and all hosts or none must have a publish key file.
pub(crate) fn compare_settings(settings: &[ParsedFile<Settings>]) -> Vec<String> {
    let mut mistakes = Vec::new();
    for (i, later) in settings.iter().enumerate() {
        let same = settings[..i].iter().find(|it| is_same_system(&it.content, &later.content));
        let Some(earlier) = same else {
            continue;
        };
        let section = differing_section(&earlier.content, &later.content);
        if let Some(section) = section {
            let message = format!("{}: [{section}] differs from {}", later.file, earlier.file);
            mistakes.push(message);
        }
        let signed = |it: &ParsedFile<Settings>| it.content.publish_key_file.is_some();
        if signed(earlier) != signed(later) {
            let message = "has publish_key_file in [host], unlike";
            let (with, without) = if signed(later) { (later, earlier) } else { (earlier, later) };
            mistakes.push(format!("{}: {message} {}", with.file, without.file));
        }
        let duplicate = settings[..i].iter().find(|it| {
            is_same_system(&it.content, &later.content) && it.content.host == later.content.host
        });
        if let Some(duplicate) = duplicate {
            mistakes.push(format!("{}: has the same host id as {}", later.file, duplicate.file));
        }
    }
    mistakes
}

/// Whether one of the hosts lists the other's IP address in `[hosts]`.
fn is_same_system(a: &Settings, b: &Settings) -> bool {
    let lists = |a: &Settings, b: &Settings| a.peers.iter().any(|it| it.ip == b.ip);
    lists(a, b) || lists(b, a)
}

fn differing_section(a: &Settings, b: &Settings) -> Option<&'static str> {
    let same = [
        ("hosts", a.peers == b.peers),
        ("cluster", a.founders == b.founders),
        ("timing", a.timing == b.timing),
        ("limits", a.limits == b.limits),
        ("weights", a.weights == b.weights),
    ];
    same.into_iter().find(|it| !it.1).map(|it| it.0)
}

/// Checks that the voters of declarations are listed in `[hosts]` and have a data folder. Checks
/// nothing unless there are settings files and all belong to one system.
pub(crate) fn check_voters(
    declarations: &[ParsedFile<Declaration>],
    settings: &[ParsedFile<Settings>],
) -> Vec<String> {
    let mut mistakes = Vec::new();
    let Some(first) = settings.first() else {
        return mistakes;
    };
    if !settings.iter().all(|it| is_same_system(&first.content, &it.content)) {
        return mistakes;
    }
    for declaration in declarations {
        let ServiceKind::System { voters } = &declaration.content.kind else {
            continue;
        };
        for voter in voters {
            let file = &declaration.file;
            if !first.content.peers.iter().any(|it| it.host == *voter) {
                mistakes.push(format!("{file}: voter {voter} is not in [hosts] of {}", first.file));
            }
            let host = settings.iter().find(|it| it.content.host == *voter);
            if let Some(host) = host.filter(|it| it.content.data_dir.is_none()) {
                mistakes.push(format!("{file}: voter {voter} has no data_dir in {}", host.file));
            }
        }
    }
    mistakes
}

//! Checks of the files of one deployment against each other.

use decl::{Declaration, ServiceKind, Settings};

/// A file that was read without a mistake.
pub(crate) struct Read<T> {
    pub(crate) file: String,
    pub(crate) content: T,
}

/// Compares settings files that name each other's hosts: all but `[host]` must
/// be the same.
pub(crate) fn compare_settings(settings: &[Read<Settings>]) -> Vec<String> {
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
        let signed = |it: &Read<Settings>| it.content.publish_key_file.is_some();
        if signed(earlier) != signed(later) {
            let message = "has publish_key_file in [host] but not the other";
            let (with, without) = if signed(later) { (later, earlier) } else { (earlier, later) };
            mistakes.push(format!("{}: {message}, {}", with.file, without.file));
        }
        let twin = settings[..i].iter().find(|it| {
            is_same_system(&it.content, &later.content) && it.content.host == later.content.host
        });
        if let Some(twin) = twin {
            mistakes.push(format!("{}: is of the same host as {}", later.file, twin.file));
        }
    }
    mistakes
}

fn is_same_system(one: &Settings, other: &Settings) -> bool {
    let names = |a: &Settings, b: &Settings| a.peers.iter().any(|it| it.ip == b.ip);
    names(one, other) || names(other, one)
}

fn differing_section(one: &Settings, other: &Settings) -> Option<&'static str> {
    let same = [
        ("hosts", one.peers == other.peers),
        ("cluster", one.founders == other.founders),
        ("timing", one.timing == other.timing),
        ("limits", one.limits == other.limits),
        ("weights", one.weights == other.weights),
    ];
    same.into_iter().find(|it| !it.1).map(|it| it.0)
}

/// Checks that the voters which a declaration names exist and have a data
/// folder, if all settings are of one system.
pub(crate) fn check_voters(
    declarations: &[Read<Declaration>],
    settings: &[Read<Settings>],
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

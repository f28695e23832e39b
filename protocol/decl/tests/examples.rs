//! Every example file is valid.

use std::{fs, path::Path};

use decl::{Declaration, FileKind, Settings};

/// Deployments in `examples`, with their numbers of hosts and founders.
const DEPLOYMENTS: [(&str, usize, usize); 2] = [("maison", 10, 3), ("derwent", 11, 3)];

fn texts(folder: &Path) -> Vec<(String, String)> {
    let mut texts = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        texts.push((path.display().to_string(), text));
    }
    texts
}

#[test]
fn every_example_parses() {
    let mut folders = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")];
    let mut count = 0;
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            folders.extend(path.is_dir().then_some(path));
        }
        for (name, text) in texts(&folder).into_iter().filter(|it| it.0.ends_with(".ini")) {
            count += 1;
            match FileKind::detect(&text) {
                Some(FileKind::Declaration) => drop(Declaration::parse(&name, &text).unwrap()),
                Some(FileKind::Settings) => drop(Settings::parse(&name, &text).unwrap()),
                None => panic!("{name} is neither a declaration nor settings"),
            }
        }
    }
    assert!(count >= 27, "{count}");
}

#[test]
fn settings_parse_and_differ_only_in_the_host() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for (deployment, hosts, founders) in DEPLOYMENTS {
        let files = texts(&root.join(deployment).join("hosts"));
        assert_eq!(files.len(), hosts, "{deployment}");
        let shared = files[0].1.split_once("[hosts]").unwrap().1;
        let mut data_dirs = 0;
        for (name, text) in &files {
            let settings = Settings::parse(name, text).unwrap();
            assert_eq!(settings.peers.len(), hosts);
            assert_eq!(settings.founders.len(), founders);
            assert_eq!(text.split_once("[hosts]").unwrap().1, shared, "{name}");
            data_dirs += usize::from(settings.data_dir.is_some());
        }
        assert_eq!(data_dirs, founders);
    }
}

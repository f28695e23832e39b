//! Tests that publishes are applied as a whole, are compared with the versions in force, and
//! receive the same receipt when they are resent.

use std::{collections::BTreeMap, fmt::Write};

use history::{Config, History, to_hex};
use quickcheck::{Arbitrary, Gen};
use wire::{DeclFile, ErrorKind, Publish};

const SEED: u64 = 7;

fn model(service: &str, version: u64, adapters: &str) -> DeclFile {
    let text = format!(
        "[service]\nname = {service}\nversion = {version}\nkind = model\nmodel = m\n\
         [adapters]\n{adapters}\n[call note]\npath = /v1/completions\nidempotent = yes\n\
         [call draft]\npath = /v1/drafts\nidempotent = yes\n"
    );
    DeclFile { name: format!("{service}.ini"), text }
}

fn plain(service: &str, version: u64) -> DeclFile {
    let text = format!(
        "[service]\nname = {service}\nversion = {version}\nkind = plain\n\
         [call book]\npath = /book\nidempotent = no\n"
    );
    DeclFile { name: format!("{service}.ini"), text }
}

fn system(version: u64, voters: &str) -> DeclFile {
    let text = format!(
        "[service]\nname = system\nversion = {version}\nkind = system\n[cluster]\nvoters = {voters}\n"
    );
    DeclFile { name: "system.ini".to_owned(), text }
}

fn publish(author: &str, files: Vec<DeclFile>) -> Publish {
    Publish { files, author: author.to_owned(), revision: format!("rev-{author}") }
}

fn hash_prefix(hash: &[u8; 32]) -> String {
    to_hex(hash)[..8].to_owned()
}

fn apply_and_print(out: &mut String, history: &mut History, index: u64, publish: &Publish) {
    let before = history.clone();
    let files: Vec<_> = publish.files.iter().map(|it| it.name.as_str()).collect();
    writeln!(out, "{index} {} {}", publish.author, files.join(" ")).unwrap();
    match history.apply(index, index * 1000, publish) {
        Ok(receipt) => {
            let head = hash_prefix(&receipt.head);
            writeln!(out, "  index {} sequence {} head {head}", receipt.index, receipt.sequence)
                .unwrap();
            for (service, version, digest) in &receipt.services {
                writeln!(out, "    {service} {version} {}", hash_prefix(digest)).unwrap();
            }
        }
        Err(fault) => {
            assert_eq!(*history, before, "a refused publish changes nothing");
            writeln!(out, "  {:?}: {fault}", fault.kind).unwrap();
        }
    }
}

#[test]
fn versions_are_compared_and_set() {
    let first = publish("ada", vec![model("notes", 2, "a = v1"), plain("book", 1)]);
    let mut mixed = publish("eve", vec![model("notes", 3, "a = v2\nb = v1"), plain("book", 1)]);
    let mut bad = first.clone();
    bad.files[0].text = bad.files[0].text.replace("path = /v1/d", "path = v1/d");
    let steps = [
        first.clone(),
        first.clone(),
        publish("bob", vec![model("notes", 2, "a = v9")]),
        publish("bob", vec![model("notes", 1, "a = v1"), plain("other", 1)]),
        publish("bob", vec![plain("book", 1)]),
        mixed.clone(),
        mixed.clone(),
        first.clone(),
        publish("cy", vec![model("plans", 1, "a = v2\nc = v1")]),
        publish("cy", vec![system(1, "1, 5, 8")]),
        publish("bob", vec![plain("book", 1)]),
        mixed.clone(),
        publish("cy", vec![plain("twice", 1), plain("twice", 2)]),
        bad,
        publish("cy", Vec::new()),
        publish("", vec![plain("other", 1)]),
        publish("dee", vec![model("notes", 9, "d = v1")]),
    ];
    let mut out = String::new();
    let mut history = History::default();
    for (i, step) in steps.iter().enumerate() {
        apply_and_print(&mut out, &mut history, 10 + i as u64, step);
    }
    mixed.author = "someone else".to_owned();
    apply_and_print(&mut out, &mut history, 99, &mixed);
    let config = history.config();
    writeln!(out, "revision {} voters {:?}", config.revision, config.voters).unwrap();
    for info in config.adapters.values() {
        writeln!(out, "{} {} {:?}", info.id, info.name, info.services).unwrap();
    }
    assert_eq!(history.entries(0).len(), 5);
    assert_eq!(history.entries(4).len(), 2);
    assert!(history.entries(6).is_empty());
    insta::assert_snapshot!(out);
}

#[test]
fn requests_find_adapters_and_calls() {
    let mut history = History::default();
    let files =
        vec![model("notes", 1, "a = v1, v2"), model("plans", 1, "b = v1"), plain("book", 1)];
    history.apply(1, 0, &publish("ada", files)).unwrap();
    history.apply(2, 0, &publish("ada", vec![model("notes", 2, "a = v2\nc = v1")])).unwrap();
    history.apply(3, 0, &publish("ada", vec![model("plans", 2, "d = v1")])).unwrap();
    let config: &Config = history.config();
    let mut out = String::new();
    for name in ["m@a@v2", "m@a@v1", "m@a", "m@a@", "m@b@v1", "m@x@v1", "x@a@v2", "m", "", "@@@@"] {
        let found = config.resolve(name).map(|it| it.id);
        writeln!(out, "{name:?}: {found:?}").unwrap();
    }
    let calls = [
        (None, None, Some("m@a@v2")),
        (None, Some("draft"), Some("m@a@v2")),
        (None, Some("nothing"), Some("m@a@v2")),
        (Some("notes"), None, Some("m@a@v2")),
        (Some("plans"), None, Some("m@a@v2")),
        (Some("book"), None, Some("m@a@v2")),
        (Some("notes"), None, Some("m@a@v1")),
        (Some("book"), Some("book"), None),
        (Some("book"), None, None),
        (Some("book"), Some("pay"), None),
        (Some("notes"), Some("note"), None),
        (Some("nobody"), Some("book"), None),
        (None, Some("book"), None),
    ];
    for (service, call, model) in calls {
        let found = config.call(service, call, model).map(|it| it.path.as_str());
        writeln!(out, "{service:?} {call:?} {model:?}: {found:?}").unwrap();
    }
    insta::assert_snapshot!(out);
}

/// Adapter numbers never change, versions never decrease, and hosts that apply the same publishes
/// have the same state, also if they restore it from snapshots.
#[test]
fn replicas_agree_and_versions_never_decrease() {
    for seed in 0..200 {
        let mut rng = Gen::from_size_and_seed(10, SEED + seed);
        let mut history = History::default();
        let mut replica = History::default();
        for index in 1..30 {
            let publish = random_publish(&mut rng);
            let before = history.config().clone();
            let result = history.apply(index, index, &publish);
            if *rng.choose(&[true, false, false]).unwrap() {
                replica = wire::decode(&wire::encode(&replica)).unwrap();
            }
            assert_eq!(replica.apply(index, index, &publish), result);
            assert_eq!(replica, history);
            check_step(&before, history.config(), result.map(drop).map_err(|it| it.kind));
        }
        history::verify(history.entries(0)).unwrap();
    }
}

fn random_publish(rng: &mut Gen) -> Publish {
    let mut files = Vec::new();
    for service in ["s1", "s2", "s3"] {
        if bool::arbitrary(rng) {
            continue;
        }
        let version = *rng.choose(&[0, 1, 1, 2, 2, 3, 4, 5]).unwrap();
        let adapters = *rng.choose(&["a = v1", "a = v1, v2", "b = v1\nc = v1"]).unwrap();
        files.push(model(service, version, adapters));
    }
    publish("ada", files)
}

fn check_step(before: &Config, after: &Config, result: Result<(), ErrorKind>) {
    if result.is_err() {
        assert_eq!(before, after);
    }
    assert!(after.revision >= before.revision);
    assert!(after.names.starts_with(&before.names));
    for (service, info) in &before.services {
        let now = &after.services[service];
        assert!(now.declaration.version >= info.declaration.version);
        if now.declaration.version == info.declaration.version {
            assert_eq!(now, info);
        }
    }
    let declared = declared(after);
    for (name, info) in &after.adapters {
        assert_eq!(after.names[info.id as usize], *name);
        let services = declared.get(name).cloned().unwrap_or_default();
        assert_eq!((info.declared, &info.services), (!services.is_empty(), &services));
    }
    assert!(declared.keys().all(|it| after.adapters.contains_key(it)));
}

/// Returns the services that declare each adapter, according to the declarations in force.
fn declared(config: &Config) -> BTreeMap<String, Vec<String>> {
    let mut declared: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (service, info) in &config.services {
        for name in info.declaration.adapter_names() {
            declared.entry(name).or_default().push(service.clone());
        }
    }
    declared
}

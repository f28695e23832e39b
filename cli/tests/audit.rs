//! `audit` finds tampering in exported trails, and reads a trail in pages.

mod support;

use std::fmt::Write;

use api::AuditPage;
use history::{History, to_api, to_hex};
use support::{Reply, StubHost, file, run, run_with};
use wire::{DeclFile, Publish};

const FIRST_AT: u64 = 1_709_164_800_000;

fn page() -> AuditPage {
    let mut history = History::default();
    for version in 1..4 {
        let text = format!(
            "[service]\nname = book\nversion = {version}\nkind = plain\n\
             [call pay]\npath = /pay\nidempotent = no\n"
        );
        let publish = Publish {
            files: vec![DeclFile { name: "book.ini".to_owned(), text }],
            author: "ada".to_owned(),
            revision: format!("rev{version}"),
        };
        history.apply(version * 2, FIRST_AT + version * 1000, &publish).unwrap();
    }
    let (last, head) = history.head();
    let entries = history.entries(1).iter().map(to_api).collect();
    AuditPage { entries, last, head: to_hex(&head) }
}

fn text(page: &AuditPage) -> String {
    serde_json::to_string(page).unwrap()
}

#[test]
fn a_tampered_file_is_found_offline() {
    let good = page();
    let mut swapped = good.clone();
    swapped.entries.swap(0, 1);
    let mut dropped = good.clone();
    dropped.entries.remove(1);
    let mut cut = good.clone();
    cut.entries.pop();
    let mut cut_with_head = cut.clone();
    cut_with_head.last = 2;
    cut_with_head.head = cut.entries[1].hash.clone();
    let cases = [
        ("good", text(&good)),
        ("author", text(&good).replacen("ada", "eve", 1)),
        ("text", text(&good).replacen("/pay", "/bay", 1)),
        ("revision", text(&good).replace("rev3", "rev4")),
        ("swapped", text(&swapped)),
        ("dropped", text(&dropped)),
        ("cut", text(&cut)),
        ("cut with its head", text(&cut_with_head)),
        ("truncated", text(&good)[..200].to_owned()),
        ("empty", String::new()),
    ];
    let mut out = String::new();
    for (name, text) in cases {
        let path = file("audit.json", &text).display().to_string();
        let shown = run(&["audit", "verify", &path, "--head", &good.head]);
        writeln!(out, "== {name}\n{}", shown.replace(&path, "audit.json")).unwrap();
    }
    insta::assert_snapshot!(out);
}

#[test]
fn the_trail_is_shown_and_exported_page_by_page() {
    let whole = page();
    let mut first = whole.clone();
    let second = AuditPage { entries: first.entries.split_off(2), ..whole.clone() };
    let replies = vec![Reply::Answer(200, text(&first)), Reply::Answer(200, text(&second))];
    let host = [StubHost::start(replies.clone())];
    let shown = run_with(&host, "--host", &["audit", "show"]);
    let paths: Vec<_> = host[0].requests().iter().map(|it| it.trim().to_owned()).collect();
    assert_eq!(paths, ["GET /v1/audit?from=1 HTTP/1.1", "GET /v1/audit?from=3 HTTP/1.1"]);
    insta::assert_snapshot!(shown);

    let path = file("export.json", "").display().to_string();
    let host = [StubHost::start(replies)];
    let shown = run_with(&host, "--host", &["audit", "export", &path]);
    assert!(shown.starts_with("exit 0"), "{shown}");
    let shown = run(&["audit", "verify", &path]);
    assert!(shown.starts_with("exit 0"), "{shown}");

    let mut broken = whole;
    broken.entries[1].author = "eve".to_owned();
    let host = [StubHost::start(vec![Reply::Answer(200, text(&broken))])];
    let shown = run_with(&host, "--host", &["audit", "export", &path]);
    assert!(shown.starts_with("exit 1"), "{shown}");
}

//! Malformed JSON bodies are rejected without a panic.

use api::{
    AuditPage, ErrorBody, OrderBody, OrderReply, PublishBody, Receipt, Refusal, ReportBody,
    ReportReply, StatusBody, WhereBody,
};
use quickcheck::{Arbitrary, Gen};
use serde::{Serialize, de::DeserializeOwned};
use wire::TargetReport;

const SEED: u64 = 9;
const ROUNDS: usize = 500;
const PIECES: [&str; 14] = [
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "null",
    "-1",
    "1e999",
    "18446744073709551616",
    "\\u0000",
    "\\ud800",
    "true",
];

const REPORT: &str = r#"{"name":"t","addr":"127.0.0.1:1","domain":"n","kind":{"engine":"m"},
    "capacity":{"adapters":4,"requests":8},"fenced":true,"incarnation":5,"seq":6,"fence":7,
    "age_ms":8,"loaded":["m@a@v1"],"busy":[],"load":{"running":1,"queued":0},"leaving":false}"#;
const PUBLISH: &str = r#"{"files":[{"name":"f","text":"[service]"}],"author":"a","revision":"r"}"#;
const ORDER: &str = r#"{"fence":1,"incarnation":2,"action":"load","adapter":"m@a@v1"}"#;
const AUDIT: &str = r#"{"entries":[{"sequence":1,"index":2,"at":3,"author":"a","revision":"r",
    "changes":[{"service":"s","version":1,"replaced":0,"digest":"00","text":"t"}],
    "previous":"00","hash":"00"}],"last":1,"head":"00"}"#;

fn corrupt(text: &str, rng: &mut Gen) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    let pos = usize::arbitrary(rng) % bytes.len();
    match usize::arbitrary(rng) % 4 {
        0 => bytes.truncate(pos),
        1 => bytes[pos] ^= 1 << (usize::arbitrary(rng) % 8),
        2 => drop(bytes.splice(pos..pos, rng.choose(&PIECES).unwrap().bytes())),
        _ => drop(bytes.splice(pos..=pos, rng.choose(&PIECES).unwrap().bytes())),
    }
    bytes
}

/// Parses bytes as a body. An accepted body must survive serialising and parsing again.
fn parse<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let body: T = serde_json::from_slice(bytes).ok()?;
    let text = serde_json::to_string(&body).unwrap();
    let again: T = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&again).unwrap(), text);
    Some(body)
}

fn parse_all(bytes: &[u8]) {
    parse::<PublishBody>(bytes);
    parse::<OrderBody>(bytes);
    parse::<OrderReply>(bytes);
    parse::<Refusal>(bytes);
    parse::<ReportReply>(bytes);
    parse::<AuditPage>(bytes);
    parse::<Receipt>(bytes);
    parse::<StatusBody>(bytes);
    parse::<WhereBody>(bytes);
    parse::<ErrorBody>(bytes);
    if let Some(report) = parse::<ReportBody>(bytes) {
        wire::encode(&TargetReport::from(report));
    }
}

#[test]
fn damaged_bodies() {
    let mut rng = Gen::from_size_and_seed(100, SEED);
    for text in [REPORT, PUBLISH, ORDER, AUDIT] {
        parse_all(text.as_bytes());
        for _ in 0..ROUNDS {
            parse_all(&corrupt(text, &mut rng));
        }
    }
    for _ in 0..ROUNDS {
        parse_all(&Vec::<u8>::arbitrary(&mut rng));
        parse_all(String::arbitrary(&mut rng).as_bytes());
    }
}

#[test]
fn deep_bodies() {
    for text in ["[".repeat(1_000_000), "{\"files\":".repeat(100_000)] {
        assert!(parse::<PublishBody>(text.as_bytes()).is_none());
    }
}

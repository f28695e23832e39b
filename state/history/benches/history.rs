//! Measures processor time, memory and snapshot size of the configuration and its audit trail.
//!
//! Run with `cargo bench -p history`.

use std::{fmt::Write, fs, hint::black_box, time::Instant};

use history::{History, verify};
use wire::{DeclFile, Publish};

const PAGE_BYTES: usize = 4096;
const ADAPTERS_PER_SERVICE: usize = 100;
const LOOKUPS: usize = 10_000;
const CHANGES: u64 = 20;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}

fn publish(service: usize, version: u64, adapters: usize) -> Publish {
    let mut text = format!(
        "[service]\nname = service-{service}\nversion = {version}\nkind = model\nmodel = base\n[adapters]\n"
    );
    for n in 0..adapters {
        let _ = writeln!(text, "adapter-{service}-{n} = v1");
    }
    text.push_str("[call note]\npath = /v1/completions\nidempotent = yes\n");
    let files = vec![DeclFile { name: "f.ini".to_owned(), text }];
    Publish { files, author: "pipeline".to_owned(), revision: "0123456789abcdef".to_owned() }
}

/// Returns the mean time of `count` calls, in microseconds.
fn mean_us(count: u64, mut call: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    for n in 0..count {
        call(n);
    }
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Prints the cost of a change and of lookups for several numbers of adapters in force.
fn measure_adapters() {
    println!("\nservices of {ADAPTERS_PER_SERVICE} adapters; a change replaces one service");
    println!("adapters  change us  resend us  resolve us   call us  restart ms");
    for services in [1, 10, 30, 130] {
        let mut history = History::default();
        let mut index = 0;
        for service in 0..services {
            index += 1;
            history.apply(index, 0, &publish(service, 1, ADAPTERS_PER_SERVICE)).unwrap();
        }
        // Requests in progress hold the configuration, so a change has to copy it.
        let held = history.config().clone();
        let change = mean_us(CHANGES, |n| {
            let publish = publish(0, 2 + n, ADAPTERS_PER_SERVICE);
            let held = history.config().clone();
            history.apply(index + 1 + n, 0, &publish).unwrap();
            drop(held);
        });
        let same = publish(0, 1 + CHANGES, ADAPTERS_PER_SERVICE);
        let resend = mean_us(CHANGES, |n| drop(history.apply(index + 100 + n, 0, &same).unwrap()));
        let name = format!("base@adapter-{}-7@v1", services / 2);
        let config = history.config().clone();
        let resolve = mean_us(LOOKUPS as u64, |_| _ = black_box(config.resolve(black_box(&name))));
        let call = mean_us(LOOKUPS as u64, |_| {
            _ = black_box(config.call(None, None, Some(black_box(&name))));
        });
        let snapshot = wire::encode(&history);
        let restart =
            mean_us(3, |_| _ = black_box(wire::decode_state::<History>(&snapshot).unwrap()));
        let adapters = services * ADAPTERS_PER_SERVICE;
        println!(
            "{adapters:8} {change:10.0} {resend:10.0} {resolve:11.2} {call:9.2} {:11.2}",
            restart / 1000.0
        );
        drop(held);
    }
}

/// Prints the cost of the trail for several numbers of changes in it.
fn measure_changes() {
    println!("one service; its file has the given size");
    println!(" changes  file B  memory B  snapshot B  verify us  snapshot ms  restart ms");
    // Histories are kept: memory that is freed and reused would not show in the resident size.
    let mut kept = Vec::new();
    for adapters in [10, 100] {
        for changes in [1000, 4000, 16_000] {
            let file = publish(0, 1, adapters).files[0].text.len();
            let before = resident_bytes();
            let mut history = History::default();
            for version in 1..=changes {
                history.apply(version, 0, &publish(0, version, adapters)).unwrap();
            }
            let count = changes as f64;
            let memory = resident_bytes().saturating_sub(before) as f64 / count;
            let check = mean_us(1, |_| _ = black_box(verify(history.entries(1)).unwrap())) / count;
            let mut snapshot = Vec::new();
            let write = mean_us(1, |_| snapshot = wire::encode(&history)) / 1000.0;
            let read =
                mean_us(1, |_| _ = black_box(wire::decode_state::<History>(&snapshot).unwrap()));
            println!(
                "{changes:8} {file:7} {memory:9.0} {:11.0} {check:10.1} {write:12.1} {:11.1}",
                snapshot.len() as f64 / count,
                read / 1000.0
            );
            kept.push(history);
        }
    }
}

fn main() {
    measure_changes();
    measure_adapters();
}

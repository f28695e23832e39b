//! Benchmarks requests through real processes on loopback and prints the results.
//! `scripts/measure` builds the programs and runs it; arguments select measurements by name.

mod claims;
mod delay;
mod memory;
mod outage;
mod process;
mod rate;
mod rest;

use std::path::Path;

use tokio::runtime::Builder;

fn main() {
    let bins = Path::new(env!("CARGO_BIN_EXE_fake-engine"))
        .parent()
        .expect("the program has a parent directory");
    let chosen: Vec<String> = std::env::args().skip(1).filter(|it| !it.starts_with('-')).collect();
    let runs = |name: &str| chosen.is_empty() || chosen.iter().any(|it| it == name);
    let runtime = Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    runtime.block_on(async {
        if runs("delay") {
            delay::measure(bins).await;
        }
        if runs("rate") {
            rate::measure(bins).await;
        }
        if runs("claims") {
            claims::measure(bins).await;
        }
        if runs("memory") {
            memory::measure(bins).await;
        }
        if runs("rest") {
            rest::measure(bins).await;
        }
        if runs("outage") {
            outage::measure(bins).await;
        }
    });
}

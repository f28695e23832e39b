//! The seeds of soak tests, which are set by variables of the environment.

use tokio::{runtime::Builder, task::LocalSet};

/// Returns a number from the environment.
pub fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |it| it.parse().expect("a number"))
}

/// Runs a test with each of the seeds that a variable names (first-last), or with the first two. Each seed has its
/// own runtime, so that its targets and proxies end with it.
pub fn run_seeds(name: &str, run: impl AsyncFn(u64)) {
    let seeds = std::env::var(name).unwrap_or_else(|_| "1-2".to_owned());
    let (first, last) = seeds.split_once('-').expect("the seeds are first-last");
    for seed in first.parse().expect("a seed")..=last.parse().expect("a seed") {
        let runtime = Builder::new_current_thread().enable_all().build().expect("it starts");
        LocalSet::new().block_on(&runtime, run(seed));
    }
}

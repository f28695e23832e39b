//! Runs one host that serves callers from the users' machines: it takes their
//! requests, sends them to targets, and keeps its part of the shared state.

mod answer;
mod client;
mod control;
mod disk;
mod edge;
mod error;
mod front;
mod listen;
mod log;
mod metrics;
mod placed;
mod relay;
mod run;
mod stream;
mod turn;

use std::process::ExitCode;

use argh::FromArgs;

/// Runs one host of a serving layer for LoRA adapters. The settings file is named
/// by the environment of the machine.
#[derive(Debug, FromArgs)]
struct Options {
    /// settings file, in place of the one that the environment names
    #[argh(option)]
    settings: Option<std::path::PathBuf>,
    /// write no log lines, to measure what they cost
    #[argh(switch)]
    no_log: bool,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match run::run(options.settings, !options.no_log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poplarhollow-edge: {}", wire::chain(&error));
            ExitCode::FAILURE
        }
    }
}

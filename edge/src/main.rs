//! The process of one host on the deployment platform: it receives callers' requests, forwards
//! them to targets, and keeps its part of the replicated state.

mod active;
mod answer;
mod answer_memory;
mod attempt;
mod client;
mod control;
mod count;
mod crash;
mod disk;
mod edge;
mod ends;
mod error;
mod front;
mod listen;
mod log;
mod metrics;
mod named;
mod permit;
mod place;
mod relay;
mod reservation;
mod run;
mod signal;
mod skip;
mod software;
mod stall;
mod stop;
mod stream;
mod way;

use std::process::ExitCode;

use argh::FromArgs;

/// Runs one host of a serving layer for LoRA adapters. The settings file is named by an
/// environment variable of the machine.
#[derive(Debug, FromArgs)]
struct Options {
    /// settings file; takes precedence over the environment variable
    #[argh(option)]
    settings: Option<std::path::PathBuf>,
    /// write no log lines; used to measure the cost of logging
    #[argh(switch)]
    no_log: bool,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match run::run(options.settings, !options.no_log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poplarhollow-edge: {}", wire::error_chain(&error));
            ExitCode::FAILURE
        }
    }
}

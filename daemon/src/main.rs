//! Daemon that runs one host.

mod callers;
mod disk;
mod error;
mod handlers;
mod host;
mod logger;
mod metrics;
mod options;
mod run;
mod shards;

use std::process::ExitCode;

use wire::error_chain;

use crate::options::Options;

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match run::run(&options) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{}", error_chain(&e));
            ExitCode::FAILURE
        }
    }
}

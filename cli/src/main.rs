//! Command-line tool for operators, auditors and publishing pipelines.

mod advice;
mod audit;
mod check;
mod client;
mod cmd;
mod completions;
mod date;
mod deployment;
mod entries;
mod error;
mod explain;
mod output;
mod publish;
mod request;
mod status;

use std::{env, process::ExitCode};

use argh::FromArgs;

use crate::{
    cmd::{Cmd, Top},
    error::{Error, USAGE_EXIT},
};

const NAME: &str = "poplarhollow";

fn main() -> ExitCode {
    let mut args = Vec::new();
    for arg in env::args_os().skip(1) {
        args.push(arg.to_string_lossy().into_owned());
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let top = match Top::from_args(&[NAME], &args) {
        Ok(top) => top,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}\nRun {NAME} --help for more information.", exit.output.trim_end());
            return ExitCode::from(USAGE_EXIT);
        }
    };
    match run(top.cmd) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            err.exit_code()
        }
    }
}

fn run(cmd: Cmd) -> Result<(), Error> {
    match cmd {
        Cmd::Check(cmd) => cmd.run(),
        Cmd::Publish(cmd) => cmd.run(),
        Cmd::Status(cmd) => cmd.run(),
        Cmd::Where(cmd) => cmd.run(),
        Cmd::Audit(cmd) => cmd.run(),
        Cmd::Request(cmd) => cmd.run(),
        Cmd::Explain(cmd) => cmd.run(),
        Cmd::Completions(cmd) => cmd.run(),
    }
}

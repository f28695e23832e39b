//! Main function of the stand-in programs, and what a process takes.

use std::{io::stderr, process::ExitCode, sync::Arc};

use slog::{Drain, Logger, error, info, o};
use tokio::sync::Notify;

use crate::{
    announce::{StandIn, announce, leave_on_signal},
    options::Options,
    server::{Handler, serve},
};

/// Serves a stand-in until SIGTERM and the end of its last request. The exit code is a failure if
/// the address cannot be bound or the signal handler cannot be installed.
pub async fn run<T: StandIn + Handler>(target: Arc<T>, options: Options) -> ExitCode {
    let log = logger(&options.name);
    let wake = Arc::new(Notify::new());
    info!(log, "started"; "addr" => %options.addr, "incarnation" => options.incarnation);
    tokio::spawn(announce(target.clone(), options.clone(), wake.clone()));
    tokio::select! {
        result = serve(options.addr, target.clone(), log.clone()) => {
            if let Err(err) = result {
                error!(log, "could not listen"; "addr" => %options.addr, "error" => %err);
            }
            ExitCode::FAILURE
        }
        result = leave_on_signal(target, &options, &wake, &log) => match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(err) => {
                error!(log, "could not wait for a signal"; "error" => %err);
                ExitCode::FAILURE
            }
        },
    }
}

/// Returns the most memory that a process has had, in kilobytes; none if it has ended.
pub fn peak_memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn logger(name: &str) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    Logger::root(drain, o!("target" => name.to_owned()))
}

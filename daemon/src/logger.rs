//! Logger that writes to standard error.

use std::io::stderr;

use decl::{LogFormat, Settings};
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard};

/// Capacity of the queue of lines that are not yet written.
const QUEUE_LINES: usize = 4096;

/// Creates the logger in the format of the settings. Dropping the guard writes the queued lines.
pub(crate) fn logger(settings: &Settings) -> (Logger, AsyncGuard) {
    let (drain, guard) = match settings.log {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(stderr());
            start(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => start(slog_json::Json::default(stderr()).fuse()),
    };
    let level = slog::LevelFilter::new(drain, slog::Level::Info).fuse();
    (Logger::root(level, o!("host" => settings.host)), guard)
}

fn start<D>(drain: D) -> (slog::Fuse<Async>, AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = Async::new(drain).chan_size(QUEUE_LINES).build_with_guard();
    (drain.fuse(), guard)
}

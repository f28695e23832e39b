//! Log lines on standard output: one JSON object for each event.
//!
//! Logging never blocks. Request lines above a rate limit, and lines that the writer cannot keep
//! up with, are dropped and counted. Lines of served requests are dropped first.

use std::cell::{Cell, RefCell};

use fleet::Event;
use serde_json::Value;
use slog::{Drain, KV, Logger, Record, Serializer, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::time::Duration;

/// Lines that the queue of the writer holds.
const QUEUED_LINES: usize = 2048;
/// Average number of request lines per second.
const REQUEST_LINES_PER_S: f64 = 40.0;
/// Request lines that may be written in one burst.
const REQUEST_BURST: f64 = 200.0;
/// Share of the burst that is reserved for failed requests.
const FAILED_SHARE: f64 = 0.5;

/// Writes events, with a rate limit for requests.
pub(crate) struct Log {
    /// None if logging is off.
    logger: Option<Logger>,
    /// When the budget of request lines was last updated, and the lines in it.
    budget: Cell<(Duration, f64)>,
    /// Request lines dropped since the last one that was written.
    dropped: Cell<u64>,
    /// Dropping it flushes the queue.
    guard: RefCell<Option<AsyncGuard>>,
}

struct Fields(Value);

impl KV for Fields {
    fn serialize(&self, _: &Record<'_>, out: &mut dyn Serializer) -> slog::Result {
        let Value::Object(fields) = &self.0 else { return Ok(()) };
        for (key, value) in fields {
            let key = slog::Key::from(key.clone());
            match value {
                Value::Null => {}
                Value::Bool(value) => out.emit_bool(key, *value)?,
                Value::Number(value) => match value.as_u64() {
                    Some(value) => out.emit_u64(key, value)?,
                    None => out.emit_f64(key, value.as_f64().unwrap_or_default())?,
                },
                Value::String(value) => out.emit_str(key, value)?,
                other => out.emit_arguments(key, &format_args!("{other}"))?,
            }
        }
        Ok(())
    }
}

impl Log {
    /// Starts the writer. If `on` is false, no lines are written.
    pub(crate) fn start(name: &str, on: bool) -> Log {
        let drain = slog_json::Json::default(std::io::stdout()).fuse();
        let (drain, guard) = Async::new(drain)
            .chan_size(QUEUED_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        let logger = Logger::root(drain.fuse(), o!("host" => name.to_owned()));
        Log {
            logger: on.then_some(logger),
            budget: Cell::new((Duration::ZERO, REQUEST_BURST)),
            dropped: Cell::new(0),
            guard: RefCell::new(Some(guard)),
        }
    }

    /// Writes an event.
    pub(crate) fn event(&self, event: &Event) {
        let Some(logger) = &self.logger else { return };
        let Ok(value) = serde_json::to_value(event) else { return };
        slog::info!(logger, ""; Fields(value));
    }

    /// Writes a request's line if the rate limit allows it.
    pub(crate) fn request(&self, now: Duration, failed: bool, line: impl FnOnce() -> Event) {
        if self.logger.is_none() {
            return;
        }
        let (at, budget) = self.budget.get();
        let elapsed = now.saturating_sub(at).as_secs_f64();
        let budget = (budget + elapsed * REQUEST_LINES_PER_S).min(REQUEST_BURST);
        let needed = if failed { 1.0 } else { REQUEST_BURST * FAILED_SHARE };
        if budget < needed {
            self.budget.set((now, budget));
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.budget.set((now, budget - 1.0));
        let lines = self.dropped.take();
        if lines > 0 {
            self.event(&Event::LeftOut { lines });
        }
        self.event(&line());
    }

    /// Writes the queued lines and ends the writer.
    pub(crate) fn flush(&self) {
        drop(self.guard.borrow_mut().take());
    }
}

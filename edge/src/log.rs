//! Log lines on standard output: one JSON object for each event.
//!
//! Writing never waits: lines beyond a rate, or beyond what the writer keeps up
//! with, are left out and counted. Served requests are left out first.

use std::cell::{Cell, RefCell};

use fleet::Event;
use serde_json::Value;
use slog::{Drain, KV, Logger, Record, Serializer, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::time::Duration;

/// Lines that may wait to be written.
const WAITING_LINES: usize = 2048;
/// Lines a second for requests, on the average.
const REQUEST_LINES: f64 = 40.0;
/// Lines for requests that may be written at once.
const REQUEST_BURST: f64 = 200.0;
/// Part of the burst that is kept for requests that failed.
const KEPT_FOR_FAILED: f64 = 0.5;

/// Writes events.
pub(crate) struct Log {
    /// None if no lines are written.
    logger: Option<Logger>,
    room: Cell<(Duration, f64)>,
    left_out: Cell<u64>,
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
    /// Starts the writer, unless no lines are to be written.
    pub(crate) fn start(name: &str, on: bool) -> Log {
        let drain = slog_json::Json::default(std::io::stdout()).fuse();
        let (drain, guard) = Async::new(drain)
            .chan_size(WAITING_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        let logger = Logger::root(drain.fuse(), o!("host" => name.to_owned()));
        Log {
            logger: on.then_some(logger),
            room: Cell::new((Duration::ZERO, REQUEST_BURST)),
            left_out: Cell::new(0),
            guard: RefCell::new(Some(guard)),
        }
    }

    /// Writes an event.
    pub(crate) fn event(&self, event: &Event) {
        let Some(logger) = &self.logger else { return };
        let Ok(value) = serde_json::to_value(event) else { return };
        slog::info!(logger, ""; Fields(value));
    }

    /// Writes a request's line if there is room for it.
    pub(crate) fn request(&self, now: Duration, failed: bool, line: impl FnOnce() -> Event) {
        if self.logger.is_none() {
            return;
        }
        let (at, room) = self.room.get();
        let passed = now.saturating_sub(at).as_secs_f64();
        let room = (room + passed * REQUEST_LINES).min(REQUEST_BURST);
        let least = if failed { 1.0 } else { REQUEST_BURST * KEPT_FOR_FAILED };
        if room < least {
            self.room.set((now, room));
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.room.set((now, room - 1.0));
        let lines = self.left_out.take();
        if lines > 0 {
            self.event(&Event::LeftOut { lines });
        }
        self.event(&line());
    }

    /// Writes what waits.
    pub(crate) fn end(&self) {
        drop(self.guard.borrow_mut().take());
    }
}

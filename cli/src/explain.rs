//! `explain`: one request's story, from the hosts' logs.

use std::{
    collections::BTreeSet,
    fmt::Write as _,
    fs::File,
    io::{BufRead, BufReader, Write as _, stdin, stdout},
};

use serde_json::Value;

use crate::{cmd::Explain, error::Error};

/// Seconds before a request's line, beyond the request's own time, in which a
/// change of belief may be what decided it.
const BEFORE: f64 = 10.0;

/// A log line: when, on which host, what.
#[derive(Debug, Clone)]
struct Line {
    /// Seconds since some moment, the same for all lines.
    at: f64,
    /// The time as it was written.
    time: String,
    host: String,
    event: String,
    fields: Value,
}

impl Line {
    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }
}

impl Explain {
    pub(crate) fn run(self) -> Result<(), Error> {
        let mut lines = Vec::new();
        if self.files.is_empty() {
            read(stdin().lock(), &mut lines)?;
        }
        for path in &self.files {
            let failed = |err| Error::failed(format!("could not read {}: {err}", path.display()));
            read(BufReader::new(File::open(path).map_err(failed)?), &mut lines)?;
        }
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let own: Vec<&Line> =
            lines.iter().filter(|it| it.event == "request" && it.text("id") == self.id).collect();
        if own.is_empty() {
            let why = "it was served and left out, or the logs are of other hosts or times";
            return Err(Error::failed(format!("no line names request {}: {why}", self.id)));
        }
        let mut story = String::new();
        for request in own {
            tell_request(request, &mut story);
            tell_around(request, &lines, &mut story);
        }
        // A reader that ends early has seen what it wanted.
        let _ = stdout().write_all(story.as_bytes());
        Ok(())
    }
}

/// Reads log lines; what stands before the object, and other lines, are left out.
fn read(input: impl BufRead, lines: &mut Vec<Line>) -> Result<(), Error> {
    for line in input.lines() {
        let line = line.map_err(|err| Error::failed(format!("could not read log: {err}")))?;
        let Some(start) = line.find('{') else { continue };
        let Ok(fields) = serde_json::from_str::<Value>(&line[start..]) else { continue };
        let text = |key: &str| fields.get(key).and_then(Value::as_str).map(str::to_owned);
        let (Some(event), Some(time)) = (text("event"), text("ts")) else { continue };
        let writer = line[..start].split_whitespace().next_back().map(str::to_owned);
        let host = text("host").or(writer).unwrap_or_default();
        let at = seconds_of_day(&time).unwrap_or_default();
        lines.push(Line { at, time, host, event, fields });
    }
    Ok(())
}

/// Reads the seconds since midnight of a time such as 2026-12-04T07:54:36.5Z.
fn seconds_of_day(time: &str) -> Option<f64> {
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(hours * 3600.0 + minutes * 60.0 + seconds)
}

fn tell_request(line: &Line, story: &mut String) {
    let number = |key: &str| line.fields.get(key).and_then(Value::as_u64).unwrap_or(0);
    let _ = writeln!(
        story,
        "{} {}: request {} on route {}: {}, status {}, after {} ms",
        line.time,
        line.host,
        line.text("id"),
        line.text("route"),
        line.text("outcome"),
        number("status"),
        number("took_ms"),
    );
    for step in line.text("steps").split(';').map(str::trim).filter(|it| !it.is_empty()) {
        let (at, what) = step.split_once(' ').unwrap_or(("?", step));
        let _ = writeln!(story, "  at {at} ms: {what}");
    }
}

/// Tells what hosts came to believe meanwhile of the targets and adapters that the
/// request met, and of the leader.
fn tell_around(request: &Line, lines: &[Line], story: &mut String) {
    let took = request.fields.get("took_ms").and_then(Value::as_f64).unwrap_or(0.0) / 1000.0;
    let words: BTreeSet<&str> = request.text("steps").split([' ', ';']).collect();
    let mut shown = BTreeSet::new();
    for line in lines {
        if line.at < request.at - took - BEFORE || line.at > request.at + 1.0 {
            continue;
        }
        let about = match line.event.as_str() {
            "target" | "target_silent" => words.contains(line.text("target")),
            "ordered" => words.contains(line.text("adapter")),
            "leader" | "holder" | "unplaced" | "host_silent" | "disk_failed" => true,
            "stopping" | "started" | "config" => line.host == request.host,
            _ => false,
        };
        let mut fields = line.fields.clone();
        if let Some(map) = fields.as_object_mut() {
            map.retain(|key, _| !["msg", "level", "ts", "event", "host"].contains(&key.as_str()));
        }
        // Many hosts come to believe the same; the first one is enough.
        if about && shown.insert((line.event.clone(), fields.to_string())) {
            let _ = writeln!(story, "  {} {}: {} {fields}", line.time, line.host, line.event);
        }
    }
}

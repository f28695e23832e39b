//! `explain`: reconstructs what happened to one request from the hosts' logs.

use std::{
    collections::BTreeSet,
    fmt::Write as _,
    fs::File,
    io::{BufRead, BufReader, Write as _, stdin, stdout},
};

use serde_json::Value;

use crate::{cmd::Explain, error::Error};

/// Seconds before the start of a request from which events are shown: a change of a host's cached
/// state in this time may have decided the outcome of the request.
const LOOKBACK_S: f64 = 10.0;

/// One event of a host's log.
#[derive(Debug, Clone)]
struct Line {
    /// Seconds since midnight.
    at: f64,
    /// The time as written in the log.
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
        let requests: Vec<&Line> =
            lines.iter().filter(|it| it.event == "request" && it.text("id") == self.id).collect();
        if requests.is_empty() {
            let reason =
                "request lines are rate-limited, or the logs are from other hosts or times";
            return Err(Error::failed(format!("no log line for request {}: {reason}", self.id)));
        }
        let mut report = String::new();
        for request in requests {
            write_request(request, &mut report);
            write_context(request, &lines, &mut report);
        }
        // A closed pipe is not an error: the reader needs no further output.
        let _ = stdout().write_all(report.as_bytes());
        Ok(())
    }
}

/// Reads log lines that contain a JSON object with an event and a time, and skips all others. Text
/// before the object is ignored, but its last word is taken as the host if the object names none.
fn read(input: impl BufRead, lines: &mut Vec<Line>) -> Result<(), Error> {
    for line in input.lines() {
        let line = line.map_err(|err| Error::failed(format!("could not read log: {err}")))?;
        let Some(start) = line.find('{') else { continue };
        let Ok(fields) = serde_json::from_str::<Value>(&line[start..]) else { continue };
        let text = |key: &str| fields.get(key).and_then(Value::as_str).map(str::to_owned);
        let (Some(event), Some(time)) = (text("event"), text("ts")) else { continue };
        let prefix_host = line[..start].split_whitespace().next_back().map(str::to_owned);
        let host = text("host").or(prefix_host).unwrap_or_default();
        let at = seconds_of_day(&time).unwrap_or_default();
        lines.push(Line { at, time, host, event, fields });
    }
    Ok(())
}

/// Returns the seconds since midnight of a time such as 2026-12-04T07:54:36.5Z.
fn seconds_of_day(time: &str) -> Option<f64> {
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(hours * 3600.0 + minutes * 60.0 + seconds)
}

fn write_request(line: &Line, report: &mut String) {
    let number = |key: &str| line.fields.get(key).and_then(Value::as_u64).unwrap_or(0);
    let _ = writeln!(
        report,
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
        let _ = writeln!(report, "  at {at} ms: {what}");
    }
}

/// Writes the events that may have affected the request: those of its targets and adapters, crashes
/// and the quarantine of the same request, changes of leaders and order leases, adapters without a target, silent hosts and failed disks, and starts,
/// stops and configurations of the host that handled it.
fn write_context(request: &Line, lines: &[Line], report: &mut String) {
    let duration = request.fields.get("took_ms").and_then(Value::as_f64).unwrap_or(0.0) / 1000.0;
    let words: BTreeSet<&str> = request.text("steps").split([' ', ';']).collect();
    let crashed =
        lines.iter().filter(|it| it.event == "crashed" && it.text("id") == request.text("id"));
    let listed = crashed.filter_map(|it| it.fields.get("suspects"));
    // A list is written as text that contains a JSON array.
    let suspects: Vec<String> =
        listed.map(|it| it.as_str().map_or(it.to_string(), str::to_owned)).collect();
    let is_suspect = |name: &str| suspects.iter().any(|it| it.contains(&format!("\"{name}\"")));
    let mut shown = BTreeSet::new();
    for line in lines {
        if line.at < request.at - duration - LOOKBACK_S || line.at > request.at + 1.0 {
            continue;
        }
        let relevant = match line.event.as_str() {
            "target" | "target_silent" | "limit" | "leaves_by_answer" | "paused"
            | "pause_ended" => words.contains(line.text("target")),
            "crashed" => line.text("id") == request.text("id"),
            "barred" | "cleared" | "trial" => is_suspect(line.text("suspect")),
            "ordered" => words.contains(line.text("adapter")),
            "leader" | "holder" | "unplaced" | "host_silent" | "disk_failed" => true,
            "stopping" | "started" | "config" => line.host == request.host,
            _ => false,
        };
        let mut fields = line.fields.clone();
        if let Some(map) = fields.as_object_mut() {
            map.retain(|key, _| !["msg", "level", "ts", "event", "host"].contains(&key.as_str()));
        }
        // Many hosts log the same event; only the first is shown.
        if relevant && shown.insert((line.event.clone(), fields.to_string())) {
            let _ = writeln!(report, "  {} {}: {} {fields}", line.time, line.host, line.event);
        }
    }
}

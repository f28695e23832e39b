//! `explain` selects the log lines that concern one request.

mod support;

use support::{file, run};

const LOG: &str = r#"noise
   1.0 edge-a {"msg":"","level":"INFO","ts":"2026-01-02T03:04:05.1Z","host":"edge-a","event":"target","target":"i-1","service":"s","addr":"x","state":"ready"}
{"msg":"","level":"INFO","ts":"2026-01-02T03:04:06.0Z","host":"edge-b","event":"leader","term":2}
{"msg":"","level":"INFO","ts":"2026-01-02T03:04:06.0Z","host":"edge-c","event":"leader","term":2}
{"msg":"","level":"INFO","ts":"2026-01-02T03:04:06.5Z","host":"edge-b","event":"target_silent","target":"i-1"}
{"msg":"","level":"INFO","ts":"2026-01-02T03:04:06.6Z","host":"edge-b","event":"target_silent","target":"i-9"}
{"msg":"","level":"INFO","ts":"2026-01-02T03:04:07.2Z","host":"edge-a","event":"request","id":"9c41","route":"r-1","outcome":"unanswered","status":502,"took_ms":1300,"steps":"0 waits m/a3; 400 sent i-1; 1300 lost i-1;"}
{"msg":"","level":"INFO","ts":"2026-01-02T03:04:09.2Z","host":"edge-a","event":"leader","term":3}
"#;

#[test]
fn a_request_is_explained() {
    let log = file("edge.log", LOG);
    insta::assert_snapshot!(run(&["explain", "9c41", &log.to_string_lossy()]));
}

/// The crashes of the explained attempt, the quarantine of its content, and neither those of
/// another request.
const CRASH_LOG: &str = r#"
{"ts":"2026-01-02T03:04:05.1Z","host":"edge-a","event":"crashed","id":"9c41","suspects":"[\"request:7d2a\"]","caller":"10.0.0.7","path":"/r/1","body":"5e","target":"i-1"}
{"ts":"2026-01-02T03:04:05.1Z","host":"edge-a","event":"crashed","id":"b00c","suspects":"[\"request:8034\"]","caller":"10.0.0.8","path":"/r/2","body":"5e","target":"i-1"}
{"ts":"2026-01-02T03:04:05.2Z","host":"edge-b","event":"barred","suspect":"request:7d2a","crashes":2,"failed_trials":0}
{"ts":"2026-01-02T03:04:05.3Z","host":"edge-b","event":"barred","suspect":"request:8034","crashes":2,"failed_trials":0}
{"ts":"2026-01-02T03:04:05.4Z","host":"edge-a","event":"request","id":"9c41","route":"r-1","outcome":"unanswered","status":502,"took_ms":400,"steps":"0 sent i-1; 390 lost i-1;"}
"#;

#[test]
fn a_request_that_crashed_its_target_is_explained() {
    let log = file("crash.log", CRASH_LOG);
    insta::assert_snapshot!(run(&["explain", "9c41", &log.to_string_lossy()]));
}

#[test]
fn a_request_without_a_log_line() {
    let log = file("edge.log", LOG);
    insta::assert_snapshot!(run(&["explain", "ffff", &log.to_string_lossy()]));
}

const PAUSE_LOG: &str = r#"{"ts":"2026-01-02T03:04:05.0Z","host":"edge-a","event":"paused","target":"i-2","id":"77aa","span_ms":4000}
{"ts":"2026-01-02T03:04:05.0Z","host":"edge-a","event":"leaves_by_answer","target":"i-3","id":"77ab"}
{"ts":"2026-01-02T03:04:05.1Z","host":"edge-a","event":"paused","target":"i-9","id":"77ac","span_ms":4000}
{"ts":"2026-01-02T03:04:05.4Z","host":"edge-a","event":"request","id":"9c41","route":"r-1","outcome":"limited","status":503,"took_ms":30,"steps":"0 placed i-3; 10 gone i-3; 30 waits for a place at i-2;"}
{"ts":"2026-01-02T03:04:06.2Z","host":"edge-a","event":"pause_ended","target":"i-2","id":"77aa","age_ms":1200}
"#;

/// Guards against a story that lacks why a request was refused: its targets leave or asked for a pause.
#[test]
fn a_request_refused_for_what_targets_say_is_explained() {
    let log = file("pause.log", PAUSE_LOG);
    let shown = run(&["explain", "9c41", &log.to_string_lossy()]);
    for expected in ["paused", "\"id\":\"77aa\"", "leaves_by_answer", "pause_ended"] {
        assert!(shown.contains(expected), "{expected} is missing in {shown}");
    }
    assert!(!shown.contains("i-9"), "another target's pause: {shown}");
}

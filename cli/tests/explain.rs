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

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

#[test]
fn a_request_without_a_log_line() {
    let log = file("edge.log", LOG);
    insta::assert_snapshot!(run(&["explain", "ffff", &log.to_string_lossy()]));
}

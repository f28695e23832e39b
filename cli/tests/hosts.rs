//! Output, exit code and number of requests of each command for the answers and failures of hosts.

mod support;

use std::{fmt::Write, path::Path};

use support::{Reply, StubHost, file, run, run_with};

const DECLARATION: &str = "[service]\nname = book\nversion = 3\nkind = plain\n\
    [call pay]\npath = /pay\nidempotent = no\n";

fn receipt(everywhere: bool) -> Reply {
    let lagging = u32::from(!everywhere);
    Reply::Answer(
        200,
        format!(
            r#"{{"index":7,"sequence":2,"head":"ab","everywhere":{everywhere},
            "services":[{{"service":"book","version":3,"digest":"cd","index":7}}],
            "in_force":[{{"domain":"north","applied":3,"lagging":{lagging}}}]}}"#
        ),
    )
}

fn error(status: u16, code: &str, ran: &str, retry: &str) -> Reply {
    Reply::Answer(
        status,
        format!(
            r#"{{"error":{{"code":"{code}","message":"message of {code}","ran":"{ran}","retry":"{retry}"}}}}"#
        ),
    )
}

fn answer(body: &str) -> Reply {
    Reply::Answer(200, body.to_owned())
}

/// Runs a command once per case, against hosts that give the case's replies. A host without
/// replies does not listen.
fn run_cases(option: &str, cases: &[(&str, Vec<Vec<Reply>>)], args: &[&str]) -> String {
    let mut out = String::new();
    for (name, hosts) in cases {
        let mut started = Vec::new();
        for (i, replies) in hosts.iter().enumerate() {
            let absent = replies.is_empty();
            started.push(if absent {
                StubHost::absent(i)
            } else {
                StubHost::start(replies.clone())
            });
        }
        let shown = run_with(&started, option, args);
        let counts: Vec<_> = started.iter().map(|it| it.requests().len()).collect();
        writeln!(out, "== {name}\n{shown}requests by host: {counts:?}\n").unwrap();
    }
    out
}

#[test]
fn publish_tries_other_hosts_and_tells_unknown_from_refused() {
    let path = file("publish.ini", DECLARATION);
    let taken = error(409, "version_taken", "no", "never");
    let no_lease = error(503, "no_lease", "no", "elsewhere");
    let no_quorum = error(503, "no_quorum", "unknown", "same-key");
    let hangup = Reply::HangUp;
    let cases = [
        ("accepted", vec![vec![receipt(true)]]),
        ("accepted, in force later", vec![vec![receipt(false)]]),
        ("taken", vec![vec![taken.clone()], vec![receipt(true)]]),
        ("nobody listens", vec![vec![], vec![]]),
        ("first is absent", vec![vec![], vec![receipt(true)]]),
        ("first hangs up", vec![vec![hangup.clone()], vec![receipt(true)]]),
        ("first hangs up, second refuses", vec![vec![hangup.clone()], vec![taken]]),
        ("first hangs up, second is absent", vec![vec![hangup.clone()], vec![]]),
        (
            "first hangs up, second forbids",
            vec![vec![hangup.clone()], vec![error(403, "forbidden", "no", "never")]],
        ),
        ("forbidden", vec![vec![error(403, "forbidden", "no", "never")]]),
        ("all hang up", vec![vec![hangup.clone()], vec![hangup]]),
        ("no quorum", vec![vec![no_quorum]]),
        ("no lease, then accepted", vec![vec![no_lease.clone()], vec![receipt(true)]]),
        ("no lease", vec![vec![no_lease.clone()], vec![no_lease]]),
        ("not readable", vec![vec![answer("{}")]]),
        ("cut", vec![vec![Reply::Cut("{".to_owned())]]),
        ("no reason", vec![vec![Reply::Answer(500, "oops".to_owned())]]),
    ];
    let path = path.display().to_string();
    let args = ["publish", &path, "--revision", "r1", "--author", "ada", "--wait", "0"];
    insta::assert_snapshot!(run_cases("--host", &cases, &args));
}

#[test]
fn publish_repeats_until_in_force() {
    let path = file("again.ini", DECLARATION).display().to_string();
    let no_quorum = error(503, "no_quorum", "unknown", "same-key");
    let replies = vec![no_quorum, receipt(false), receipt(false), receipt(true)];
    let args = ["publish", &path, "--revision", "r1", "--author", "ada", "--json"];
    insta::assert_snapshot!(run_cases("--host", &[("four rounds", vec![replies])], &args));
}

/// Whether a request carries the authentication code of its body under `key`.
fn is_signed(request: &str, key: &[u8]) -> bool {
    let (_, rest) = request.split_once("x-publish-mac: ").unwrap();
    let (mac, body) = rest.split_once('\n').unwrap();
    api::PublishKey::new(key).unwrap().verify(body.as_bytes(), mac)
}

#[test]
fn publish_signs_with_the_key_of_a_file() {
    let path = file("signed.ini", DECLARATION).display().to_string();
    let key = file("publish.key", "a key\n").display().to_string();
    let empty = file("empty.key", "\n").display().to_string();
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).display().to_string();
    let args = ["publish", "--revision", "r1", "--author", "ada"];
    let mut out = String::new();
    for name in [&key, &empty, "absent.key"] {
        let host = StubHost::start(vec![receipt(true)]);
        let addr = host.addr.to_string();
        let more = [&path, "--host", &addr, "--key-file", name];
        let shown = run(&[&args[..], &more].concat());
        let sent: Vec<_> = host.requests().iter().map(|it| is_signed(it, b"a key")).collect();
        writeln!(out, "{shown}signed: {sent:?}\n").unwrap();
    }
    insta::assert_snapshot!(out.replace(&root, "."));
}

#[test]
fn publish_does_not_send_a_bad_file() {
    let path = file("bad.ini", &DECLARATION.replace("= 3", "= x")).display().to_string();
    let host = StubHost::start(vec![receipt(true)]);
    let addr = host.addr.to_string();
    let args = ["publish", &path, "--revision", "r", "--author", "ada", "--host", &addr];
    let shown = run(&args).replace(&path, "bad.ini");
    assert!(host.requests().is_empty());
    insta::assert_snapshot!(shown);
}

#[test]
fn requests_are_not_sent_twice() {
    let good = answer(r#"{"choices":[{"text":" one two"}]}"#);
    let cases = [
        ("answered", vec![vec![good.clone()]]),
        ("first is absent", vec![vec![], vec![good.clone()]]),
        ("first leaves", vec![vec![error(503, "leaving", "no", "elsewhere")], vec![good.clone()]]),
        ("first hangs up", vec![vec![Reply::HangUp], vec![good.clone()]]),
        ("in doubt", vec![vec![error(409, "in_doubt", "unknown", "never")], vec![good.clone()]]),
        ("key busy", vec![vec![error(409, "key_busy", "unknown", "same-key")]]),
        ("key reused", vec![vec![error(422, "key_reused", "no", "never")]]),
        ("failed", vec![vec![error(502, "target_failed", "yes", "later")], vec![good]]),
        ("cut", vec![vec![Reply::Cut("{".to_owned())]]),
    ];
    let args = ["request", "--model", "m@a@v1", "--prompt", "x", "--key", "k1", "--key-made", "5"];
    insta::assert_snapshot!(run_cases("--entry", &cases, &args));
}

#[test]
fn streams_must_be_complete() {
    let event = |it: &str| format!("data: {{\"choices\":[{{\"text\":\"{it}\"}}]}}\n\n");
    let two = event(" one") + &event(" two");
    let done = "data: [DONE]\n\n";
    let fault = r#"event: error
data: {"error":{"code":"target_lost","message":"m","ran":"unknown","retry":"later"}}

"#;
    let cases = [
        ("whole", vec![vec![Reply::Answer(200, two.clone() + done)]]),
        ("no end", vec![vec![Reply::Answer(200, two.clone())]]),
        ("cut", vec![vec![Reply::Cut(two.clone())]]),
        ("cut in the end", vec![vec![Reply::Cut(two.clone() + "data: [DO")]]),
        ("error", vec![vec![Reply::Answer(200, two + fault)]]),
        ("empty", vec![vec![Reply::Answer(200, "\n\n".to_owned())]]),
    ];
    let args = ["request", "--model", "m@a@v1", "--prompt", "x", "--stream"];
    insta::assert_snapshot!(run_cases("--entry", &cases, &args));
}

#[test]
fn a_request_is_sent_as_asked() {
    let mut out = String::new();
    let cases: [&[&str]; 2] = [
        &[
            "request",
            "--model",
            "m@a@v1",
            "--service",
            "s",
            "--call",
            "c",
            "--prompt",
            "p",
            "--max-tokens",
            "5",
            "--stream",
            "--caller",
            "ada",
            "--deadline-ms",
            "900",
        ],
        &[
            "request",
            "--service",
            "book",
            "--call",
            "pay",
            "--prompt",
            "{}",
            "--key",
            "k",
            "--key-made",
            "12",
        ],
    ];
    for args in cases {
        let host = StubHost::start(vec![answer("data: [DONE]\n\n")]);
        let addr = host.addr.to_string();
        let shown = run(&[args, &["--entry", &addr]].concat());
        assert!(shown.starts_with("exit 0"), "{shown}");
        writeln!(out, "{}\n", host.requests().join("\n")).unwrap();
    }
    insta::assert_snapshot!(out);
}

#[test]
fn where_and_status_query_several_hosts() {
    let directory = r#"{"entries":[{"addr":"127.0.0.1:8000","domain":"north"}],"lifetime":10}"#;
    let cases = [
        ("answered", vec![vec![answer(directory)]]),
        ("first hangs up", vec![vec![Reply::HangUp], vec![answer(directory)]]),
        ("unknown", vec![vec![error(404, "unknown_adapter", "no", "never")]]),
        ("nobody listens", vec![vec![]]),
        ("all hang up", vec![vec![Reply::HangUp]]),
    ];
    insta::assert_snapshot!("where", run_cases("--entry", &cases, &["where", "m@a@v1"]));
    let status = r#"{"host":2,"leader":1,"term":4,"lease":true,"commit":9,"applied":9,
        "alarms":["trail went back"],
        "hosts":[{"host":1,"domain":"north","role":"voter","live":true,"applied":9}],
        "targets":[{"name":"t1","domain":"north","owner":1,"fence":5,"resident":["m@a@v1"],
            "running":2,"leaving":false}],
        "services":[{"service":"book","version":3,"digest":"cd","index":7}],
        "queued":4,"stall_seconds":1.25,"batch_fullness":0.5,
        "quarantine":[{"print":"ff","strikes":2}]}"#;
    let owner = status
        .replace("\"host\":2,", "\"host\":1,")
        .replace("\"running\":2", "\"running\":7")
        .replace("[\"m@a@v1\"]", "[\"m@a@v1\",\"m@b@v1\"]");
    let follower = status.replace("[\"m@a@v1\"]", "[]").replace("trail went back", "disk is full");
    let cases = [
        ("leader and owner", vec![vec![answer(&follower)], vec![answer(&owner)]]),
        ("no leader", vec![vec![answer(&follower.replace("\"leader\":1", "\"leader\":null"))]]),
        ("owner not asked", vec![vec![answer(&follower)], vec![]]),
        ("nobody listens", vec![vec![], vec![]]),
    ];
    insta::assert_snapshot!("status", run_cases("--host", &cases, &["status"]));
}

#[test]
fn check_reports_every_mistake() {
    let good = file("good.ini", DECLARATION);
    let bad = file("bad2.ini", &DECLARATION.replace("= 3", "= x").replace("= no", "= maybe"));
    let other = file("other.ini", "[x]\n");
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).display().to_string();
    let files = [&good, &bad, &other, &good, Path::new("absent.ini")];
    let files: Vec<_> = files.iter().map(|it| it.display().to_string()).collect();
    let mut args = vec!["check"];
    args.extend(files.iter().map(String::as_str));
    let mut shown = run(&args);
    args.push("--json");
    shown.push_str(&run(&args));
    insta::assert_snapshot!(shown.replace(&root, "."));
}

#[test]
fn check_compares_the_files_of_a_deployment() {
    let host = |id: u32, shared: &str| {
        let disk = if id == 1 { "data_dir = d\n" } else { "" };
        format!("[host]\nid = {id}\nip = 127.0.0.{id}\ndomain = n\n{disk}[hosts]\n{shared}")
    };
    let shared = "1 = 127.0.0.1 n\n2 = 127.0.0.2 n\n[cluster]\nfounders = 1\n";
    let system = |voters: &str| {
        format!(
            "[service]\nname = system\nversion = 1\nkind = system\n[cluster]\nvoters = {voters}\n"
        )
    };
    let cases = [
        ("good", host(2, shared), system("1")),
        ("timing", host(2, &format!("{shared}[timing]\nlease = 4s\n")), system("1")),
        ("hosts", host(2, &format!("3 = 127.0.0.3 n\n{shared}")), system("1")),
        ("publish key", host(2, shared).replace("ip", "publish_key_file = k\nip"), system("1")),
        ("twin", host(1, shared), system("1")),
        ("voters", host(2, shared), system("1, 2, 3")),
    ];
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).display().to_string();
    let mut out = String::new();
    for (name, second, system) in cases {
        let files = [
            file("first.ini", &host(1, shared)),
            file("second.ini", &second),
            file("system.ini", &system),
        ];
        let files: Vec<_> = files.iter().map(|it| it.display().to_string()).collect();
        let shown = run(&["check", &files[0], &files[1], &files[2]]).replace(&root, ".");
        writeln!(out, "== {name}\n{shown}").unwrap();
    }
    insta::assert_snapshot!(out);
}

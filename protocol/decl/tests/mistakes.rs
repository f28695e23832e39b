//! The error for each kind of mistake, with its line and what is allowed.

use decl::{Declaration, FileError, Settings};

const MODEL: &str = "[service]
name = notes
version = 3
kind = model
model = m-8b
[adapters]
a = v1, v2
[call note]
path = /v1/completions
urgency = high
idempotent = yes
deadline = 20s
";

const HOST: &str = "[host]
id = 1
ip = 127.0.0.1
domain = north
data_dir = data
[hosts]
1 = 127.0.0.1 north
2 = 127.0.0.2 south
[cluster]
founders = 1, 2
";

fn format_errors(errors: Vec<FileError>) -> String {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Applies each replacement to the base text and returns the errors of the results.
fn report<T: std::fmt::Debug>(
    base: &str,
    cases: &[(&str, &str)],
    parse: fn(&str, &str) -> Result<T, Vec<FileError>>,
) -> String {
    let mut out = String::new();
    for (from, to) in cases {
        assert!(base.contains(from), "{from}");
        let text = base.replacen(from, to, 1);
        let errors = match parse("f.ini", &text) {
            Ok(_) => "accepted".to_owned(),
            Err(errors) => format_errors(errors),
        };
        out.push_str(&format!("{from:?} -> {to:?}\n{errors}\n\n"));
    }
    out
}

#[test]
fn valid_files_parse() {
    insta::assert_debug_snapshot!("declaration", Declaration::parse("f.ini", MODEL).unwrap());
    insta::assert_debug_snapshot!("settings", Settings::parse("f.ini", HOST).unwrap());
}

#[test]
fn declaration_mistakes() {
    let cases = [
        ("name = notes\n", ""),
        ("name = notes", "name = No@tes"),
        ("name = notes", "name = system"),
        ("version = 3", "version = 0"),
        ("version = 3", "version = 18446744073709551616"),
        ("version = 3", "version = 3\nversion = 4"),
        ("version = 3", "version: 3"),
        ("version = 3", "version"),
        ("version = 3", "version = \\\n3"),
        ("kind = model", "kind = engine"),
        ("kind = model", "kind = plain"),
        ("kind = model", "kind = system"),
        ("model = m-8b\n", ""),
        ("[service]", "owner = me\n[service]"),
        ("[service]", "[service"),
        ("[adapters]\na = v1, v2\n", ""),
        ("a = v1, v2\n", ""),
        ("a = v1, v2", "a@b = v1"),
        ("a = v1, v2", "a = v1,, v2"),
        ("a = v1, v2", "a = v1, v1"),
        ("[call note]", "[calls]\nx = 1\n[call note]"),
        ("[call note]", "[call note]\nretries = 3"),
        ("[call note]", "[service]"),
        ("[call note]", "[call no te]"),
        ("path = /v1/completions", "path = v1 completions"),
        ("urgency = high", "urgency = soon"),
        ("idempotent = yes\n", ""),
        ("idempotent = yes", "idempotent = true"),
        ("deadline = 20s", "deadline = 20"),
        ("deadline = 20s", "deadline = 99999999999999999999d"),
        ("deadline = 20s", "deadline = 0ms"),
        ("urgency = high\nidempotent = yes", "urgency = x\nidempotent = y\nmore = z"),
    ];
    insta::assert_snapshot!(report(MODEL, &cases, Declaration::parse));
}

#[test]
fn settings_mistakes() {
    let cases = [
        ("id = 1\n", "id = 3\n"),
        ("id = 1\n", "id = 4096\n"),
        ("ip = 127.0.0.1", "ip = 0.0.0.0"),
        ("ip = 127.0.0.1", "ip = localhost"),
        ("ip = 127.0.0.1", "ip = 127.0.0.2"),
        ("domain = north", "domain = south"),
        ("data_dir = data\n", ""),
        ("data_dir = data", "data_dir ="),
        ("data_dir = data", "peer_port = 0\nentry_port = 70000\ndata_dir = d"),
        ("data_dir = data", "peer_port = 9000\ndata_dir = d"),
        ("data_dir = data", "log = xml\nseed = -1\ndata_dir = d"),
        ("2 = 127.0.0.2 south", "2 = 127.0.0.1 south"),
        ("2 = 127.0.0.2 south", "two = 127.0.0.2 south"),
        ("2 = 127.0.0.2 south", "2 = 127.0.0.2"),
        ("2 = 127.0.0.2 south", "2 = 127.0.0.2 south\n2 = 127.0.0.3 south"),
        ("founders = 1, 2", "founders = 1, 3"),
        ("founders = 1, 2", "founders ="),
        ("founders = 1, 2", "founders = 1\n[timing]\nheartbeat = 1s"),
        ("founders = 1, 2", "founders = 1\n[timing]\nelection = 2s"),
        ("founders = 1, 2", "founders = 1\n[timing]\nlag = 1ms\ndrain = 2\nlease = 5 s"),
        ("founders = 1, 2", "founders = 1\n[limits]\nqueue = 0\nretry_percent = 101"),
        ("founders = 1, 2", "founders = 1\n[limits]\nstore_rate = NaN\nclaim_age = 1ms"),
        ("founders = 1, 2", "founders = 1\n[limits]\nqueue = 10"),
        ("founders = 1, 2", "founders = 1\n[weights]\nstall = -1\nbatch = inf"),
        ("founders = 1, 2", "founders = 1\n[policy]\nx = 1"),
        ("[cluster]\nfounders = 1, 2\n", ""),
    ];
    insta::assert_snapshot!(report(HOST, &cases, Settings::parse));
}

//! Help texts, errors for wrong command lines, and completion scripts.

mod support;

use std::fmt::Write;

use support::run;

const COMMANDS: [&[&str]; 12] = [
    &[],
    &["check"],
    &["publish"],
    &["status"],
    &["where"],
    &["audit"],
    &["audit", "show"],
    &["audit", "export"],
    &["audit", "verify"],
    &["request"],
    &["explain"],
    &["completions"],
];

#[test]
fn help_texts() {
    let mut out = String::new();
    for command in COMMANDS {
        let args = [command, &["--help"]].concat();
        writeln!(out, "$ poplarhollow {}\n{}", args.join(" "), run(&args)).unwrap();
    }
    insta::assert_snapshot!(out);
}

#[test]
fn wrong_command_lines() {
    let cases: [&[&str]; 13] = [
        &[],
        &["fly"],
        &["check"],
        &["publish", "x.ini"],
        &["publish", "--revision", "r"],
        &["publish", "x.ini", "--revision", "r", "--author", "ada"],
        &["publish", "x.ini", "--revision", "", "--author", "ada"],
        &["status", "--host", "localhost:1"],
        &["where", "m a", "--entry", "127.0.0.1:1"],
        &["request", "--prompt", "x", "--entry", "127.0.0.1:1"],
        &["request", "--prompt", "x", "--service", "a/b", "--call", "c", "--entry", "127.0.0.1:1"],
        &["audit", "verify"],
        &["completions", "tcsh"],
    ];
    let mut out = String::new();
    for args in cases {
        writeln!(out, "$ poplarhollow {}\n{}", args.join(" "), run(args)).unwrap();
    }
    insta::assert_snapshot!(out);
}

#[test]
fn completions_name_the_commands() {
    for shell in ["bash", "zsh", "fish", "nushell"] {
        let out = run(&["completions", shell]);
        assert!(out.starts_with("exit 0"), "{out}");
        assert!(out.contains("publish") && out.contains("verify"), "{shell}");
    }
}

//! `check` validates deploy files and machine settings.

use std::{fs, process::Command};

fn check(name: &str, text: &str) -> String {
    let dir = std::env::temp_dir().join(format!("poplarhollow-check-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    fs::write(dir.join(name), text).expect("a file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_poplarhollow"))
        .args(["check", name])
        .current_dir(&dir)
        .output()
        .expect("the program starts");
    let text = [output.stdout, output.stderr].concat();
    String::from_utf8(text).expect("it is text")
}

#[test]
fn files_of_the_machines_are_checked() {
    let deploy = "build = \"make\"\n\n[roles.edge]\nrun = \"x\"\non = \"edge\"\nshare = 2\nserves = [\"registry\"]\n";
    let settings =
        "nodeName=edge-1\nip=10.0.0.1\nzone=z1\nportRange=7380,7395\nbounds.leaseMs=soon\n";
    let mut seen = String::new();
    for (name, text) in [
        ("wrong.toml", deploy.to_owned()),
        ("right.toml", deploy.replace("share = 2", "share = 1")),
        ("wrong.conf", settings.to_owned()),
        ("right.conf", settings.replace("soon", "3000")),
    ] {
        seen += &check(name, &text);
    }
    insta::assert_snapshot!(seen);
}

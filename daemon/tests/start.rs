//! Error messages and exit code of a daemon that can't start.

use std::{fs, process::Command};

use sessions::checkout::octet;

const VALID_SETTINGS: &str = "[host]\nid = 1\nip = ADDR\ndomain = north\n\
    data_dir = data\n\n\
    [hosts]\n1 = ADDR north\n\n[cluster]\nfounders = 1\n";

#[test]
fn a_failed_start_gives_one_line_and_exit_code_1() {
    let dir = tempfile::tempdir().expect("a folder can be made");
    let ip = format!("127.{}.130.1", octet());
    let occupied = std::net::TcpListener::bind((ip.as_str(), 8000)).expect("the address is free");
    let file = dir.path().join("file");
    fs::write(&file, "").expect("the folder is usable");
    let cases = [
        ("missing settings", None),
        ("unknown key", Some(VALID_SETTINGS.replace("domain =", "domian ="))),
        ("missing key file", Some(VALID_SETTINGS.replace("domain", "key_file = none\ndomain"))),
        (
            "missing publish key file",
            Some(VALID_SETTINGS.replace("domain", "publish_key_file = none\ndomain")),
        ),
        (
            "empty publish key",
            Some(VALID_SETTINGS.replace("domain", "publish_key_file = file\ndomain")),
        ),
        ("file as data folder", Some(VALID_SETTINGS.replace("= data", "= file"))),
        ("port in use", Some(VALID_SETTINGS.to_owned())),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        let path = dir.path().join("host.ini");
        let _ = fs::remove_file(&path);
        if let Some(text) = text {
            fs::write(&path, text.replace("ADDR", &ip)).expect("the folder is usable");
        }
        let output = Command::new(env!("CARGO_BIN_EXE_poplarhollowd"))
            .args(["--config", "host.ini"])
            .current_dir(dir.path())
            .output()
            .expect("the program starts");
        let lines = String::from_utf8_lossy(&output.stderr);
        let code = output.status.code();
        report.push_str(&format!("{name}: {code:?}\n{}\n", lines.trim_end()));
    }
    drop(occupied);
    insta::assert_snapshot!(report.replace(&ip, "ADDR"));
}

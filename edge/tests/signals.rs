//! Signals and new configurations that come at a bad moment.

mod common;

use std::{process::Command, time::Duration};

use common::{BOUNDS, Cluster, ENTRY, document};
use tokio::{net::TcpStream, time::sleep};

/// Guards against a host that begins to accept work after it was told to end, with a grace time that counts from
/// then. Load pattern: SIGTERM while the settings are read, which takes 3 s.
#[tokio::test]
async fn a_host_that_is_told_to_end_while_it_starts_accepts_nothing() {
    let mut cluster = Cluster::start(46, 4);
    cluster.configure(4, &document(3)).await;
    cluster.kill(4);
    let path = cluster.settings_path(4);
    std::fs::remove_file(&path).expect("it exists");
    Command::new("mkfifo").arg(&path).status().expect("a pipe can be made");
    cluster.spawn_host(4);
    sleep(Duration::from_millis(500)).await;
    cluster.signal(4, "-TERM");
    sleep(Duration::from_secs(3)).await;
    cluster.write_settings(4, false, BOUNDS);
    let entry = cluster.addr(4, ENTRY);
    let connecting = async {
        for _ in 0..100 {
            if TcpStream::connect(entry).await.is_ok() {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        false
    };
    let (has_ended, has_accepted) = tokio::join!(cluster.wait_end(4), connecting);
    assert!(has_ended, "it exits by itself, with success");
    assert!(!has_accepted, "it accepts callers");
}

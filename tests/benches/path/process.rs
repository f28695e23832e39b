//! Memory and processor time of a process, from `/proc`.

use std::{fs, time::Duration};

const PAGE_BYTES: u64 = 4096;
const TICKS_PER_SECOND: u64 = 100;

/// Returns the resident memory of a process in bytes.
pub fn resident(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).expect("the process runs");
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse().ok())
        .expect("the second field is a number");
    pages * PAGE_BYTES
}

/// Returns the user and system time that a process has used.
pub fn cpu(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    // The program name may contain spaces; the fields after it follow the last parenthesis.
    let (_, fields) = text.rsplit_once(") ").expect("the name is in parentheses");
    let ticks: u64 =
        fields.split(' ').skip(11).take(2).map(|it| it.parse::<u64>().unwrap_or(0)).sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

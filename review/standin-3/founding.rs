//! At the first start of the system one machine with a disk stands still, until another one has founded the group.
//! Later an operator sends configurations to three machines and reads them back everywhere.

use std::time::Duration;

use crate::{
    Verdict,
    fleet::{Fleet, Machine},
    http::call,
};

/// How long the machine stands still at most, as the pages name it. It goes on [`MORE`] after another one has changed
/// its file of terms and votes for the first time, which it does when it founds the group.
const FROZEN_S: f64 = 3.5;
const MORE: Duration = Duration::from_millis(100);
/// When the last machine starts; the pages say within 0.3 s of the others.
const LAST_START_S: f64 = 0.25;
const FOUNDING_FILE: &str = "hard";
/// `configApplyMs` in seconds, and a margin.
const APPLY_S: f64 = 2.0 + 0.5;
/// Time for an operator's change to be acknowledged; it is sent again meanwhile.
const ACK_LIMIT_S: f64 = 14.0;

const MACHINES: [Machine; 6] = [
    Machine { name: "disk-1", zone: 1, disk: true },
    Machine { name: "disk-2", zone: 2, disk: true },
    Machine { name: "disk-3", zone: 3, disk: true },
    Machine { name: "plain-1", zone: 1, disk: false },
    Machine { name: "plain-2", zone: 2, disk: false },
    Machine { name: "plain-3", zone: 3, disk: false },
];
const SEEDS: [&str; 3] = ["plain-1", "plain-2", "plain-3"];

pub fn play(record: &str, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(&MACHINES, &SEEDS, record)?;
    for name in ["disk-1", "disk-2", "disk-3", "plain-2", "plain-3", "plain-1"] {
        if name == "plain-1" {
            // The lowest seed starts last, so that it hears of all others well before it names the founder.
            fleet.sleep_until(LAST_START_S);
        }
        fleet.start(name)?;
        if name == "disk-1" && trouble {
            fleet.freeze(name);
        }
    }
    fleet.note("all machines are started");
    if trouble {
        wait_for_founding(&fleet);
        fleet.thaw("disk-1");
    }
    let mut is_broken = false;
    // The last change may only be answered late: the system has had time to start.
    for (version, by) in [(3, "plain-2"), (5, "disk-1"), (8, "disk-2")] {
        let acknowledged = send(&mut fleet, version, by);
        let Some(at) = acknowledged else {
            fleet.note(&format!("version {version} got no acknowledgement"));
            continue;
        };
        fleet.sleep_until(at + APPLY_S);
        is_broken |= read_all(&mut fleet, version);
    }
    fleet.note_logs();
    fleet.note(if is_broken { "CONFIG is broken" } else { "CONFIG held" });
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Waits until another machine with a disk has founded the group, but no longer than the freeze may last.
fn wait_for_founding(fleet: &Fleet) {
    let read = |name: &str| std::fs::read(fleet.data(name).join(FOUNDING_FILE)).ok();
    let (mut second, mut third) = (None, None);
    while fleet.now().as_secs_f64() < FROZEN_S - MORE.as_secs_f64() {
        for (name, first) in [("disk-2", &mut second), ("disk-3", &mut third)] {
            let now = read(name);
            if first.is_none() {
                *first = now;
            } else if now.is_some() && *first != now {
                return std::thread::sleep(MORE);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends a configuration to a machine until it is acknowledged. Returns when it was.
fn send(fleet: &mut Fleet, version: u64, by: &str) -> Option<f64> {
    let document = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"read\",\"host\":\"desk.example\",\
         \"pathPrefix\":\"/read/\",\"routeType\":\"safe\",\"timeoutMs\":{},\"targetLatencyMs\":120,\
         \"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}}],\"services\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":120,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        1200 + version
    );
    let until = fleet.now().as_secs_f64() + ACK_LIMIT_S;
    while fleet.now().as_secs_f64() < until {
        let addr = fleet.control(by);
        let path = "/poplarhollow/Config.Replace";
        let answer = call(addr, "POST", path, &document, Duration::from_secs(4));
        let status = answer.map(|it| it.status);
        fleet.note(&format!("operator sends version {version} to {by}: {status:?}"));
        if status == Some(200) {
            return Some(fleet.now().as_secs_f64());
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    None
}

/// Reads the configuration at every machine. Returns whether any answers with an older one than `version`.
fn read_all(fleet: &mut Fleet, version: u64) -> bool {
    let mut is_broken = false;
    for name in fleet.names() {
        let addr = fleet.control(name);
        let path = "/poplarhollow/Config.Fetch";
        let answer = call(addr, "GET", path, "", Duration::from_secs(2));
        let Some(answer) = answer else {
            fleet.note(&format!("operator reads at {name}: no answer"));
            continue;
        };
        let shown = version_of(&answer.body);
        fleet.note(&format!("operator reads at {name}: {} version {shown:?}", answer.status));
        if answer.status == 200 && shown.is_some_and(|it| it < version) {
            fleet.note(&format!("{name} shows an older version than {version}, which is acknowledged"));
            is_broken = true;
        }
    }
    is_broken
}

fn version_of(document: &str) -> Option<u64> {
    let (_, rest) = document.split_once("\"version\":")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

//! At the first start of the system one machine with a disk is away for 11.1 s: it stands still for 7.6 s, and then loses
//! power for 3.5 s. An operator sends the first configuration until it is acknowledged. Right after that another machine
//! loses its disk. All are back soon; the operator reads.

use std::time::Duration;

use crate::{
    Verdict,
    fleet::{Fleet, Machine},
    http::call,
};

/// How long the first machine stands still, and is without power afterwards, as the site files have it.
const FROZEN_S: f64 = 7.6;
const DARK_S: f64 = 3.5;
/// How long the second machine is away.
const WIPED_S: f64 = 1.0;
/// `recoveryS` and `contactMs`, with a margin, after all machines are back.
const RECOVERY_S: f64 = 12.0 + 3.0 + 5.0;
/// Time for which the operator reads then: `contactMs` and more.
const READING_S: f64 = 6.0;
/// When the operator's first configuration must be acknowledged.
const ACK_LIMIT_S: f64 = 40.0;

const MACHINES: [Machine; 6] = [
    Machine { name: "disk-1", zone: 1, disk: true },
    Machine { name: "disk-2", zone: 2, disk: true },
    Machine { name: "disk-3", zone: 3, disk: true },
    Machine { name: "plain-1", zone: 1, disk: false },
    Machine { name: "plain-2", zone: 2, disk: false },
    Machine { name: "plain-3", zone: 3, disk: false },
];
const SEEDS: [&str; 3] = ["disk-1", "disk-2", "disk-3"];
const VERSION: &str = "\"version\":3,";

pub fn play(record: &str, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(&MACHINES, &SEEDS, record)?;
    for machine in MACHINES {
        fleet.start(machine.name)?;
        if machine.name == "disk-3" && trouble {
            fleet.freeze("disk-3");
        }
    }
    fleet.note("all machines are started");
    let mut away = if trouble { Away::Frozen } else { Away::Back };
    let mut by = None;
    while by.is_none() {
        if fleet.now().as_secs_f64() > ACK_LIMIT_S {
            return Err("the first configuration got no acknowledgement".to_owned());
        }
        by = send(&mut fleet, &mut away)?;
    }
    if trouble {
        fleet.lose_disk("disk-2");
        let until = fleet.now().as_secs_f64() + WIPED_S;
        while fleet.now().as_secs_f64() < until || away != Away::Back {
            away.advance(&mut fleet)?;
            std::thread::sleep(Duration::from_millis(20));
            if fleet.now().as_secs_f64() >= until && !fleet.runs("disk-2") {
                fleet.start_later("disk-2")?;
                fleet.note("disk-2 is back with an empty disk, bootstrap=false");
            }
        }
    }
    let back = fleet.now().as_secs_f64();
    fleet.note("all machines are back");
    fleet.sleep_until(back + RECOVERY_S);
    let mut shown = 0;
    while fleet.now().as_secs_f64() < back + RECOVERY_S + READING_S {
        for name in fleet.names() {
            let path = "/poplarhollow/Config.Fetch";
            let answer = call(fleet.control(name), "GET", path, "", Duration::from_secs(2));
            let has_it =
                answer.as_ref().is_some_and(|it| it.status == 200 && it.body.contains(VERSION));
            shown += u32::from(has_it);
            let status = answer.map(|it| it.status);
            fleet.note(&format!("operator reads at {name}: {status:?}, version 3 shown: {has_it}"));
        }
    }
    fleet.note_logs();
    let is_broken = shown == 0;
    fleet.note(if is_broken {
        "version 3 was acknowledged and is gone"
    } else {
        "version 3 is there"
    });
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// What the first machine does.
#[derive(Clone, Copy, PartialEq)]
enum Away {
    Frozen,
    Dark,
    Back,
}

impl Away {
    fn advance(&mut self, fleet: &mut Fleet) -> Result<(), String> {
        let now = fleet.now().as_secs_f64();
        if *self == Away::Frozen && now >= FROZEN_S {
            fleet.lose_power("disk-3");
            *self = Away::Dark;
        }
        if *self == Away::Dark && now >= FROZEN_S + DARK_S {
            fleet.start_later("disk-3")?;
            fleet.note("disk-3 is back with its disk, bootstrap=false");
            *self = Away::Back;
        }
        Ok(())
    }
}

/// Sends the configuration to the next machine. Returns that if it acknowledges it.
fn send(fleet: &mut Fleet, away: &mut Away) -> Result<Option<&'static str>, String> {
    let document = "{\"version\":3,\"routes\":[{\"name\":\"read\",\"host\":\"desk.example\",\
         \"pathPrefix\":\"/read/\",\"routeType\":\"safe\",\"timeoutMs\":1200,\"targetLatencyMs\":120,\
         \"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}],\"services\":[{\"name\":\"desk\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":120,\"protocol\":\"h1\",\"tls\":false}],\
         \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}";
    for name in ["plain-1", "plain-2", "plain-3"] {
        let (path, addr) = ("/poplarhollow/Config.Replace", fleet.control(name));
        let calling =
            std::thread::spawn(move || call(addr, "POST", path, document, Duration::from_secs(1)));
        while !calling.is_finished() {
            away.advance(fleet)?;
            std::thread::sleep(Duration::from_millis(5));
        }
        let status = calling.join().ok().flatten().map(|it| it.status);
        fleet.note(&format!("operator sends version 3 to {name}: {status:?}"));
        if status == Some(200) {
            return Ok(Some(name));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(None)
}

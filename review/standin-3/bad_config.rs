//! After a valid configuration an operator sends two invalid ones: a route that names an unknown service beside its
//! split, and a route whose weights add up to 0. Each must be refused and must not come into force.

use std::time::Duration;

use crate::{
    Verdict,
    fleet::{Fleet, Machine},
    http::call,
};

/// `configApplyMs` in seconds, and a margin.
const APPLY_S: f64 = 2.0 + 0.5;
/// Time for an operator's change to be answered clearly; it is sent again meanwhile.
const ANSWER_LIMIT_S: f64 = 20.0;

const MACHINES: [Machine; 4] = [
    Machine { name: "disk-1", zone: 1, disk: true },
    Machine { name: "disk-2", zone: 2, disk: true },
    Machine { name: "disk-3", zone: 3, disk: true },
    Machine { name: "plain-1", zone: 1, disk: false },
];
const SEEDS: [&str; 3] = ["disk-1", "disk-2", "disk-3"];

/// What the route says of its services, and whether that is valid.
const CHANGES: [(u64, &str, bool); 4] = [
    (3, "\"service\":\"desk\"", true),
    (5, "\"service\":\"gone\",\"trafficSplit\":[{\"service\":\"desk\",\"weight\":100}]", false),
    (
        8,
        "\"trafficSplit\":[{\"service\":\"desk\",\"weight\":10},{\"service\":\"annex\",\"weight\":-10}]",
        false,
    ),
    (
        11,
        "\"trafficSplit\":[{\"service\":\"desk\",\"weight\":90},{\"service\":\"annex\",\"weight\":10}]",
        true,
    ),
];

pub fn play(record: &str, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(&MACHINES, &SEEDS, record)?;
    for machine in MACHINES {
        fleet.start(machine.name)?;
    }
    fleet.note("all machines are started");
    let mut is_broken = false;
    for (version, services, is_valid) in CHANGES {
        if !is_valid && !trouble {
            continue;
        }
        let status = send(&mut fleet, version, services);
        fleet.note(&format!("version {version}, valid: {is_valid}: {status:?}"));
        if is_valid && status != Some(200) {
            return Err("a valid configuration got no acknowledgement".to_owned());
        }
        let at = fleet.now().as_secs_f64();
        fleet.sleep_until(at + APPLY_S);
        let shown = read(&mut fleet, version);
        if !is_valid && (status == Some(200) || shown) {
            fleet.note(&format!("version {version} is invalid: acknowledged or in force"));
            is_broken = true;
        }
    }
    fleet.note(if is_broken { "CONFIG is broken" } else { "CONFIG held" });
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends a configuration until it gets a clear answer. Returns its status.
fn send(fleet: &mut Fleet, version: u64, services: &str) -> Option<u16> {
    let document = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"read\",\"host\":\"desk.example\",\
         \"pathPrefix\":\"/read/\",\"routeType\":\"safe\",\"timeoutMs\":1200,\"targetLatencyMs\":120,\
         \"priority\":1,{services},\"maxAttempts\":2}}],\"services\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":120,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"annex\",\"healthPath\":\"/healthz\",\"maxConnections\":120,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    fleet.note(&format!("operator sends {document}"));
    let until = fleet.now().as_secs_f64() + ANSWER_LIMIT_S;
    while fleet.now().as_secs_f64() < until {
        let path = "/poplarhollow/Config.Replace";
        let answer =
            call(fleet.control("plain-1"), "POST", path, &document, Duration::from_secs(3));
        let status = answer.map(|it| it.status);
        if status.is_some_and(|it| it < 500) {
            return status;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    None
}

/// Reads the configuration at all machines. Returns whether any shows this version.
fn read(fleet: &mut Fleet, version: u64) -> bool {
    let mut is_shown = false;
    for name in fleet.names() {
        let path = "/poplarhollow/Config.Fetch";
        let answer = call(fleet.control(name), "GET", path, "", Duration::from_secs(2));
        let has_it = |body: &str| body.contains(&format!("\"version\":{version},"));
        let shown = answer.as_ref().is_some_and(|it| it.status == 200 && has_it(&it.body));
        let status = answer.map(|it| it.status);
        fleet.note(&format!(
            "operator reads at {name}: {status:?}, version {version} shown: {shown}"
        ));
        is_shown |= shown;
    }
    is_shown
}

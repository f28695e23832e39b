//! `status`: the system as one host sees it.

use std::time::Duration;

use api::StatusBody;

use crate::{
    client::{Addresses, Client, HOSTS, block_on},
    cmd::Status,
    error::Error,
};

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
const PERCENT: f64 = 100.0;

impl Status {
    pub(crate) fn run(self) -> Result<(), Error> {
        let addrs = Addresses::or_env(self.host, HOSTS)?;
        let client = Client::new(EXCHANGE_TIMEOUT);
        let status = block_on(async { client.get::<StatusBody>(&addrs, "/v1/status").await });
        let status = status.map_err(|err| err.context("could not read the status"))?;
        if self.json {
            let text = serde_json::to_string_pretty(&status);
            println!("{}", text.map_err(|err| Error::failed(err.to_string()))?);
            return Ok(());
        }
        print(&status);
        Ok(())
    }
}

fn print(status: &StatusBody) {
    let leader = status.leader.map_or("none".to_owned(), |it| it.to_string());
    let lease = if status.lease { "has a lease" } else { "has no lease" };
    println!("host {} {lease}; leader {leader}, term {}", status.host, status.term);
    println!("applied {} of {} committed", status.applied, status.commit);
    println!(
        "last minute: {:.1} s waited for adapters, batches {:.0} % full, {} requests queued",
        status.stall_seconds,
        status.batch_fullness * PERCENT,
        status.queued
    );
    for alarm in &status.alarms {
        println!("ALARM {alarm}");
    }
    println!("\nHOST DOMAIN ROLE LIVE APPLIED");
    for host in &status.hosts {
        let live = if host.live { "yes" } else { "no" };
        println!("{} {} {} {live} {}", host.host, host.domain, host.role, host.applied);
    }
    println!("\nTARGET DOMAIN OWNER FENCE RUNNING STATE RESIDENT");
    for target in &status.targets {
        let owner = target.owner.map_or("none".to_owned(), |it| it.to_string());
        let state = if target.leaving { "leaving" } else { "serving" };
        println!(
            "{} {} {owner} {} {} {state} {}",
            target.name,
            target.domain,
            target.fence,
            target.running,
            target.resident.join(",")
        );
    }
    println!("\nSERVICE VERSION INDEX DIGEST");
    for service in &status.services {
        let service_name = &service.service;
        println!("{service_name} {} {} {}", service.version, service.index, service.digest);
    }
    if status.quarantine.is_empty() {
        return;
    }
    println!("\nREQUEST STRIKES");
    for request in &status.quarantine {
        println!("{} {}", request.print, request.strikes);
    }
}

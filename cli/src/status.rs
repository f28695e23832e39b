//! `status`: shows the state of the system as seen by the queried hosts.

use std::{collections::BTreeMap, time::Duration};

use api::StatusBody;

use crate::{
    client::{Addresses, Client, HOSTS, block_on},
    cmd::Status,
    error::Error,
    output::print_json,
};

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
const PERCENT: f64 = 100.0;

impl Status {
    pub(crate) fn run(self) -> Result<(), Error> {
        let addrs = Addresses::or_env(self.host, HOSTS)?;
        let answers = block_on(async { query(&addrs).await });
        let answers = answers.map_err(|err| err.context("could not read the status"))?;
        let merged = merge(&answers);
        if self.json {
            return print_json(&merged);
        }
        print_status(&merged, &answers);
        Ok(())
    }
}

/// Queries all hosts. Prints the failures to standard error if at least one host answers.
async fn query(addrs: &Addresses) -> Result<Vec<StatusBody>, Error> {
    let client = Client::new(EXCHANGE_TIMEOUT);
    let mut answers = Vec::new();
    let mut failures = Vec::new();
    for addr in &addrs.0 {
        match client.get(&Addresses(vec![*addr]), "/v1/status").await {
            Ok(status) => answers.push(status),
            Err(err) => failures.push(err),
        }
    }
    if answers.is_empty() {
        let last = failures.pop();
        return Err(last.unwrap_or_else(|| Error::usage("no host address")));
    }
    for failure in failures {
        eprintln!("could not query a host: {failure}");
    }
    Ok(answers)
}

/// Merges answers. Each value comes from the host that knows it best: the hosts from the leader with
/// the highest term, a target's row from its owner, if that has the same fencing number, and alarms
/// from every host. Without a leader's answer, the first answer is the base.
fn merge(answers: &[StatusBody]) -> StatusBody {
    let leader = answers.iter().filter(|it| it.leader == Some(it.host));
    let base = leader.max_by_key(|it| it.term).unwrap_or(&answers[0]);
    let mut merged = base.clone();
    for row in &mut merged.targets {
        let owner = answers.iter().find(|it| Some(it.host) == row.owner);
        let current = owner.and_then(|it| it.targets.iter().find(|it| it.name == row.name));
        if let Some(current) = current.filter(|it| it.fence == row.fence) {
            *row = current.clone();
        }
    }
    merged.alarms.clear();
    for answer in answers {
        merged.alarms.extend(answer.alarms.iter().map(|it| format!("host {}: {it}", answer.host)));
    }
    merged
}

fn print_status(status: &StatusBody, answers: &[StatusBody]) {
    let leader = status.leader.map_or("none".to_owned(), |it| it.to_string());
    println!("leader {leader}, term {}", status.term);
    if status.leader.is_none() {
        println!("no change is possible without a leader; make sure that most voters are running");
    }
    for alarm in &status.alarms {
        println!("ALARM: {alarm}");
    }
    table(
        &["ASKED", "LEASE", "APPLIED", "COMMITTED", "QUEUED", "STALL S", "BATCH %"],
        &answered_hosts(answers),
    );
    table(&["DOMAIN", "LIVE", "APPLIED"], &domains(status));
    table(&["HOST", "DOMAIN", "ROLE", "LIVE", "APPLIED"], &hosts(status));
    table(
        &["TARGET", "DOMAIN", "OWNER", "FENCE", "RUNNING", "STATE", "RESIDENT"],
        &targets(status),
    );
    table(&["SERVICE", "VERSION", "INDEX", "DIGEST"], &services(status));
    table(&["QUARANTINED", "STRIKES"], &quarantine(status));
    if status.hosts.is_empty() && status.leader.is_some_and(|it| it != status.host) {
        println!("\nonly the leader, host {leader}, lists hosts, and its status was not read");
    }
}

/// Prints a table after an empty line, or nothing if there are no rows.
fn table(head: &[&str], rows: &[Vec<String>]) {
    if rows.is_empty() {
        return;
    }
    let mut widths: Vec<usize> = head.iter().map(|it| it.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.len().max(*width);
        }
    }
    println!();
    print_row(&widths, head.iter().copied());
    for row in rows {
        print_row(&widths, row.iter().map(String::as_str));
    }
}

fn print_row<'a>(widths: &[usize], cells: impl Iterator<Item = &'a str>) {
    let mut line = String::new();
    for (width, cell) in widths.iter().zip(cells) {
        line.push_str(&format!("{cell:width$}  "));
    }
    println!("{}", line.trim_end());
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// Rows of the hosts that answered. Stall time and batch fullness are of the last minute.
fn answered_hosts(answers: &[StatusBody]) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for answer in answers {
        rows.push(vec![
            format!("host {}", answer.host),
            yes_no(answer.lease),
            answer.applied.to_string(),
            answer.commit.to_string(),
            answer.queued.to_string(),
            format!("{:.1}", answer.stall_seconds),
            format!("{:.0}", answer.batch_fullness * PERCENT),
        ]);
    }
    rows
}

/// Rows of the failure domains, with the number of live hosts and the lowest index that these have
/// applied.
fn domains(status: &StatusBody) -> Vec<Vec<String>> {
    let mut domains: BTreeMap<&str, (u32, u64)> = BTreeMap::new();
    for host in &status.hosts {
        let (live, applied) = domains.entry(&host.domain).or_insert((0, u64::MAX));
        if host.live {
            *live += 1;
            *applied = host.applied.min(*applied);
        }
    }
    let mut rows = Vec::new();
    for (domain, (live, applied)) in domains {
        let applied = if live == 0 { "-".to_owned() } else { applied.to_string() };
        rows.push(vec![domain.to_owned(), live.to_string(), applied]);
    }
    rows
}

fn hosts(status: &StatusBody) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for host in &status.hosts {
        rows.push(vec![
            host.host.to_string(),
            host.domain.clone(),
            host.role.clone(),
            yes_no(host.live),
            host.applied.to_string(),
        ]);
    }
    rows
}

fn targets(status: &StatusBody) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for target in &status.targets {
        let state = if target.leaving { "leaving" } else { "serving" };
        rows.push(vec![
            target.name.clone(),
            target.domain.clone(),
            target.owner.map_or("none".to_owned(), |it| it.to_string()),
            target.fence.to_string(),
            target.running.to_string(),
            state.to_owned(),
            target.resident.join(","),
        ]);
    }
    rows
}

fn services(status: &StatusBody) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for service in &status.services {
        rows.push(vec![
            service.service.clone(),
            service.version.to_string(),
            service.index.to_string(),
            service.digest.clone(),
        ]);
    }
    rows
}

fn quarantine(status: &StatusBody) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for request in &status.quarantine {
        rows.push(vec![request.print.clone(), request.strikes.to_string()]);
    }
    rows
}

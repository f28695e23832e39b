//! Cost of the control plane at rest, and time that changes and failovers take, in virtual time.
//!
//! `cargo bench -p node` prints each table with its slopes.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

use common::{Cluster, Layout, NOTES, ready_in, target::Target};
use wire::HostId;

const LOSS_PERCENT: u64 = 5;
const JITTER: Duration = Duration::from_millis(10);
const WARM_UP: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_secs(60);
const PUBLISHES: u64 = 15;
const TIMEOUT: Duration = Duration::from_secs(40);
const LEASE: Duration = Duration::from_secs(3);
const VOTERS: u32 = 3;
const DOMAINS: u32 = 3;
const TARGETS_PER_HOST: u32 = 3;

fn clock() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

fn cluster(hosts: u32, domains: u32) -> Cluster {
    let mut cluster = ready_in(Layout { hosts, voters: VOTERS, domains });
    for number in 0..hosts * TARGETS_PER_HOST {
        let mut target = Target::engine(&format!("e{number}"), number as u8, true);
        target.info.addr = format!("127.9.{}.{}:9000", number / 200, number % 200);
        target.addr = target.info.addr.clone();
        cluster.add_target(target);
    }
    cluster.run(WARM_UP);
    cluster
}

/// Returns the slope of `y` over `x` by least squares.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let numerator: f64 = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum();
    let denominator: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    numerator / denominator
}

/// Prints the bytes sent and the processing time of each role while nothing changes.
fn at_rest() {
    println!("control plane at rest, {TARGETS_PER_HOST} targets a host, per host and second");
    println!("hosts  leader B/s  voter B/s  observer B/s  leader us  voter us  observer us");
    let mut rows: [Vec<(f64, f64)>; 6] = Default::default();
    for hosts in [5, 10, 20, 40, 60] {
        let mut cluster = cluster(hosts, DOMAINS);
        cluster.links.sent.clear();
        cluster.spent.clear();
        cluster.clock = Some(clock);
        cluster.run(WINDOW);
        let leader = cluster.leader().expect("there is a leader");
        let voters: Vec<HostId> = (1..=VOTERS).filter(|&id| id != leader).collect();
        let observers: Vec<HostId> = (VOTERS + 1..=hosts).collect();
        let mut cells = Vec::new();
        for ids in [&vec![leader], &voters, &observers] {
            let bytes: u64 = ids.iter().map(|id| cluster.links.sent[id].bytes).sum();
            cells.push(bytes as f64 / ids.len() as f64 / WINDOW.as_secs_f64());
        }
        for ids in [&vec![leader], &voters, &observers] {
            let spent: Duration = ids.iter().map(|id| cluster.spent[id]).sum();
            cells.push(spent.as_secs_f64() * 1e6 / ids.len() as f64 / WINDOW.as_secs_f64());
        }
        for (row, cell) in rows.iter_mut().zip(&cells) {
            row.push((f64::from(hosts), *cell));
        }
        println!(
            "{hosts:>5}  {:>10.0}  {:>9.0}  {:>12.0}  {:>9.0}  {:>8.0}  {:>11.0}",
            cells[0], cells[1], cells[2], cells[3], cells[4], cells[5]
        );
    }
    let slopes: Vec<f64> = rows.iter().map(|row| slope(row)).collect();
    println!(
        "slope  {:>10.1}  {:>9.1}  {:>12.1}  {:>9.1}  {:>8.1}  {:>11.1}  per host\n",
        slopes[0], slopes[1], slopes[2], slopes[3], slopes[4], slopes[5]
    );
}

fn publish_times(cluster: &mut Cluster, publishes: u64) -> Vec<f64> {
    let mut times = Vec::new();
    for number in 0..publishes {
        let version = 2 + number;
        let text = NOTES.replace("version = 1", &format!("version = {version}"));
        let began = cluster.now;
        let tag = cluster.publish(1 + (number as HostId % 3), &[("notes.ini", &text)]);
        cluster.run_until(TIMEOUT, |it| it.published.contains_key(&tag));
        let accepted = cluster.published.get(&tag).is_some_and(Result::is_ok);
        assert!(accepted, "publish {number}: {:?}", cluster.published.get(&tag));
        times.push((cluster.now - began).as_secs_f64());
        cluster.run(Duration::from_millis(337));
    }
    times.sort_by(f64::total_cmp);
    times
}

/// Prints the time from a publish to its confirmation as in force everywhere.
fn in_force() {
    println!(
        "publish to in force everywhere, {LOSS_PERCENT} % loss, jitter up to {} ms",
        JITTER.as_millis()
    );
    println!("target: 5 s, and {} s with a failure domain cut off", LEASE.as_secs() + 5);
    println!("hosts  domains  median s  longest s  one domain cut off s");
    let mut points = Vec::new();
    let layouts = [(5, 3), (10, 3), (20, 3), (40, 3), (36, 4), (36, 6), (36, 9), (36, 18)];
    for (hosts, domains) in layouts {
        let mut cluster = cluster(hosts, domains);
        cluster.links.loss_percent = LOSS_PERCENT;
        cluster.links.jitter = JITTER;
        let times = publish_times(&mut cluster, PUBLISHES);
        let leader = cluster.leader().expect("there is a leader");
        let domain = (leader + 1) % domains;
        for id in (1..=hosts).filter(|id| id % domains == domain) {
            cluster.isolate(id);
        }
        let text = NOTES.replace("version = 1", "version = 999");
        let began = cluster.now;
        let tag = cluster.publish(leader, &[("notes.ini", &text)]);
        cluster.run_until(TIMEOUT, |it| it.published.contains_key(&tag));
        let cut_off = (cluster.now - began).as_secs_f64();
        let median = times[times.len() / 2];
        let longest = times.last().copied().unwrap_or_default();
        if domains == DOMAINS {
            points.push((f64::from(hosts), median));
        }
        println!("{hosts:>5}  {domains:>7}  {median:>8.3}  {longest:>9.3}  {cut_off:>20.3}");
    }
    println!("slope           {:>8.5} s per host in {DOMAINS} failure domains\n", slope(&points));
}

/// Prints the time until a new leader is known and all targets are owned again, after the leader or
/// an owner is killed.
fn outages() {
    println!("time to recover from the loss of a host, 10 hosts");
    println!("lost    leader known s  all targets owned s");
    for (name, is_leader) in [("leader", true), ("owner", false)] {
        let mut cluster = cluster(10, DOMAINS);
        let leader = cluster.leader().expect("there is a leader");
        let owner = cluster.owner("e5").expect("owned");
        let lost = if is_leader { leader } else { owner };
        let began = cluster.now;
        cluster.kill(lost);
        let other = (1..=10).find(|&id| id != lost).expect("others run");
        cluster.run_until(TIMEOUT, |it| {
            it.node(other).status(it.now).leader.is_some_and(|id| id != lost)
        });
        let elected = (cluster.now - began).as_secs_f64();
        cluster.run_until(TIMEOUT, |it| {
            let rows = it.node(other).status(it.now).targets;
            rows.iter().all(|row| row.owner.is_some_and(|id| id != lost))
        });
        let owned = (cluster.now - began).as_secs_f64();
        println!("{name:<6}  {elected:>14.3}  {owned:>19.3}");
    }
}

fn main() {
    at_rest();
    in_force();
    outages();
}

//! Benchmarks of the log in virtual time on the simulated link, with fixed seeds, and of a restart
//! from files in real time in a temporary folder.

#[path = "../../tests/harness/mod.rs"]
mod harness;
mod trial;

use std::time::{Duration, Instant};

use bytes::Bytes;
use harness::Cluster;
use replog::{Input, Op, Write};
use wire::{Entry, EntryBody, HostId};

const SECOND: Duration = Duration::from_secs(1);
const RUNS: u64 = 5;

fn main() {
    commit();
    idle();
    election();
    restart();
    catch_up();
    trial::run();
}

/// Returns the least-squares slope of points (x, y).
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |(a, b), p| (a + p.0, b + p.1));
    let over: f64 = points.iter().map(|p| (p.0 - sx / n) * (p.1 - sy / n)).sum();
    over / points.iter().map(|p| (p.0 - sx / n).powi(2)).sum::<f64>()
}

/// Returns a time in milliseconds.
pub fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Returns a cluster with a founded group and its leader, two seconds after the election.
fn group(seed: u64, voters: u32, observers: u32, delay: u64) -> (Cluster, HostId) {
    let mut cluster = Cluster::new(seed, voters, observers);
    cluster.snapshot_after = 1_000_000;
    cluster.link.delay = Duration::from_millis(delay);
    for host in 1..=voters + observers {
        cluster.crash(host);
        cluster.start(host);
    }
    let leader = cluster.await_leader();
    cluster.run(2 * SECOND);
    (cluster, leader)
}

/// Commits entries one at a time. Returns the delay in milliseconds and the messages per entry,
/// without the messages that an idle group sends.
fn commits(seed: u64, voters: u32, delay: u64) -> (f64, f64) {
    let (mut cluster, leader) = group(seed, voters, 0, delay);
    let before = cluster.sent;
    cluster.run(20 * SECOND);
    let idle = (cluster.sent - before) as f64;
    let before = cluster.sent;
    let mut total = Duration::ZERO;
    for _ in 0..200 {
        let proposed = cluster.now;
        cluster.input(leader, Input::Propose(Bytes::from_static(&[7; 100])));
        let index = cluster.status(leader).last;
        cluster.run(SECOND / 10);
        total += cluster.committed_at[&index] - proposed;
    }
    let sent = (cluster.sent - before) as f64 - idle;
    (ms(total) / 200.0, sent / 200.0)
}

fn commit() {
    println!("commit at the leader, sync 1 ms, 200 entries of 100 bytes proposed one at a time");
    println!("voters  link ms  delay ms  messages per commit");
    let mut by_delay = Vec::new();
    let mut by_voters = Vec::new();
    for voters in [3, 5, 7] {
        for delay in [1, 2, 5, 10] {
            let (time, sent) = commits(1, voters, delay);
            println!("{voters:6}  {delay:7}  {time:8.2}  {sent:.2}");
            by_delay.push((delay as f64, time));
            by_voters.push((f64::from(voters), sent));
        }
    }
    println!("slope: {:.2} ms of commit delay per ms of link delay", slope(&by_delay));
    println!("slope: {:.2} messages per commit and voter\n", slope(&by_voters));
}

fn idle() {
    println!("idle group, heartbeat 100 ms, 60 s, postcard bytes without frames and headers");
    println!("voters  observers  leader B/s sent  other voter B/s sent  observer B/s sent");
    let mut points = Vec::new();
    for (voters, observers) in [(3, 0), (3, 4), (3, 8), (5, 6), (7, 4)] {
        let (mut cluster, leader) = group(2, voters, observers, 3);
        cluster.bytes_by.clear();
        cluster.run(60 * SECOND);
        let of = |host: HostId| cluster.bytes_by.get(&host).copied().unwrap_or(0) as f64 / 60.0;
        let other = if leader == 1 { 2 } else { 1 };
        let observer = if observers == 0 { 0.0 } else { of(voters + observers) };
        println!(
            "{voters:6}  {observers:9}  {:15.0}  {:20.0}  {observer:17.0}",
            of(leader),
            of(other)
        );
        points.push((f64::from(voters + observers), of(leader)));
    }
    println!("slope: {:.0} B/s sent by the leader per host\n", slope(&points));
}

fn election() {
    println!("time without a leader after the leader's crash, election time 1 s, link 3 ms");
    for (voters, loss) in [(3, 0.0), (3, 0.05), (5, 0.0), (5, 0.05)] {
        let mut times = Vec::new();
        for seed in 0..20 {
            let (mut cluster, leader) = group(100 + seed, voters, 0, 3);
            cluster.link.loss = loss;
            let crashed = cluster.now;
            cluster.crash(leader);
            cluster.await_leader();
            times.push(cluster.now - crashed);
        }
        times.sort_unstable();
        let (mid, most) = (ms(times[10]), ms(times[19]));
        println!("{voters} voters, loss {loss}: median {mid:.0} ms, longest of 20 {most:.0} ms");
    }
    println!();
}

fn entry(index: u64) -> Entry {
    Entry { term: 1, index, body: EntryBody::Data(Bytes::from_static(&[7; 300])) }
}

fn restart() {
    println!("restart from files, entries of 300 bytes in 20 records; real time, best of {RUNS}");
    let mut points = Vec::new();
    for count in [500, 1000, 2000, 4000, 8000] {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let (mut disk, _) = store::open(dir.path(), 1).expect("a new folder");
        for i in 0..20 {
            let share = count / 20;
            let list = (i * share + 1..=(i + 1) * share).map(entry).collect();
            let write = Write { ticket: i + 1, ops: vec![Op::Append(list)] };
            disk.write(&write).expect("space on disk");
        }
        drop(disk);
        let mut best = Duration::MAX;
        for _ in 0..RUNS {
            let start = Instant::now();
            let (_, found) = store::open(dir.path(), 1).expect("the folder written");
            best = best.min(start.elapsed());
            assert_eq!(found.entries.len() as u64, count);
        }
        println!("{count:6} changes: {:.2} ms", ms(best));
        points.push((count as f64 / 1000.0, ms(best)));
    }
    println!("slope: {:.2} ms per 1,000 changes\n", slope(&points));
}

fn catch_up() {
    println!("catch-up of a restarted voter, entries of 300 bytes, link 3 ms, sync 1 ms");
    for loss in [0.0, 0.05] {
        let mut points = Vec::new();
        for count in [500, 1000, 2000, 4000, 8000, 16_000] {
            let (mut cluster, leader) = group(3, 3, 0, 3);
            let restarted = if leader == 1 { 2 } else { 1 };
            cluster.crash(restarted);
            for _ in 0..count {
                cluster.input(leader, Input::Propose(Bytes::from_static(&[7; 300])));
                cluster.run(Duration::from_millis(1));
            }
            cluster.run(SECOND);
            cluster.link.loss = loss;
            let (from, sent) = (cluster.now, cluster.sent);
            cluster.start(restarted);
            let last = cluster.status(leader).last;
            while cluster.hosts[&restarted].applied < last {
                cluster.run(Duration::from_millis(1));
            }
            let time = ms(cluster.now - from);
            println!(
                "loss {loss}, {count:5} changes: {time:.0} ms, {} messages",
                cluster.sent - sent
            );
            points.push((f64::from(count) / 1000.0, time));
        }
        println!("slope: {:.1} ms per 1,000 changes", slope(&points));
    }
    println!();
}

//! Comparison of timestamp-ordered two-step broadcast (P. Zielinski, "Low-latency Atomic Broadcast
//! in the presence of contention", 2006) with forwarding to the leader, on links with the same
//! delay, jitter and loss.
//!
//! The two-step side is a model without crashes that favours it: negative statements are carried by
//! the second step's messages, the third step is never sent, and the channel's acknowledgements are
//! not counted. A lost message is resent after a heartbeat interval, as the log does.

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replog::Input;
use wire::HostId;

use super::{group, harness::HEARTBEAT, ms};

const LINK: Duration = Duration::from_millis(3);
const JITTER: Duration = Duration::from_millis(2);
const SYNC: Duration = Duration::from_millis(1);
/// Interval between two proposals of the same proposer.
const PERIOD: Duration = Duration::from_millis(100);
const COUNT: usize = 600;

/// One configuration to compare.
struct Case {
    voters: u32,
    proposers: u32,
    loss: f64,
    /// Largest deviation of a host's clock from true time.
    skew: Duration,
}

/// Proposals in order: when each is made, and by which host.
type Plan = Vec<(Duration, HostId)>;

pub fn run() {
    println!("two-step broadcast (model) against forwarding to the leader");
    println!("link 3 ms + 0-2 ms, sync 1 ms, {COUNT} proposals, 10 a second and proposer");
    println!("                               two-step                 leader");
    println!("voters proposers loss skew   median     99 %  msgs    median     99 %  msgs");
    let none = Duration::ZERO;
    let skew = Duration::from_millis(10);
    let mut cases = Vec::new();
    for voters in [3, 5, 7] {
        for (proposers, loss, skew) in
            [(1, 0.0, none), (voters, 0.0, none), (voters, 0.05, none), (voters, 0.0, skew)]
        {
            cases.push(Case { voters, proposers, loss, skew });
        }
    }
    for case in &cases {
        let (two, two_msgs) = two_step(case);
        let (led, led_msgs) = leader(case);
        println!(
            "{:6} {:9} {:4} {:4} {:8.1} {:8.1} {:5.1}  {:8.1} {:8.1} {:5.1}",
            case.voters,
            case.proposers,
            case.loss,
            case.skew.as_millis(),
            ms(two[two.len() / 2]),
            ms(two[two.len() * 99 / 100]),
            two_msgs,
            ms(led[led.len() / 2]),
            ms(led[led.len() * 99 / 100]),
            led_msgs
        );
    }
}

fn plan(case: &Case, rng: &mut ChaCha8Rng) -> Plan {
    let mut out = Vec::new();
    for host in 1..=case.proposers {
        let phase = PERIOD.mul_f64(rng.random::<f64>());
        for i in 0..COUNT as u32 / case.proposers {
            out.push((phase + PERIOD * i, host));
        }
    }
    out.sort_unstable();
    out
}

/// Returns when a message arrives, and adds each transmission to `msgs`.
fn arrival(sent: Duration, loss: f64, rng: &mut ChaCha8Rng, msgs: &mut u64) -> Duration {
    let mut at = sent;
    *msgs += 1;
    while rng.random_bool(loss) {
        at += HEARTBEAT;
        *msgs += 1;
    }
    at + LINK + JITTER.mul_f64(rng.random::<f64>())
}

/// Models two-step broadcast. Returns the sorted delays from proposal to delivery at the proposer,
/// and the messages per proposal.
fn two_step(case: &Case) -> (Vec<Duration>, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let plan = plan(case, &mut rng);
    let n = case.voters as usize;
    let start = case.skew * 2;
    let skews: Vec<Duration> =
        (0..n).map(|_| case.skew.mul_f64(2.0 * rng.random::<f64>())).collect();
    let mut msgs = 0;
    let mut ready = Vec::new();
    for &(at, from) in &plan {
        let at = at + start;
        let from = from as usize - 1;
        let stamp = at + skews[from];
        let mut by_host = vec![Duration::ZERO; n];
        for (j, skew) in skews.iter().enumerate() {
            let first = if j == from { at } else { arrival(at, case.loss, &mut rng, &mut msgs) };
            // A host may state what it knows up to the stamp only once its own clock has reached
            // it.
            let second = (first + SYNC).max(stamp - *skew);
            for (k, known) in by_host.iter_mut().enumerate() {
                let received =
                    if k == j { second } else { arrival(second, case.loss, &mut rng, &mut msgs) };
                *known = (*known).max(received);
            }
        }
        ready.push((stamp, from, at, by_host));
    }
    ready.sort();
    let mut delivered = vec![Duration::ZERO; n];
    let mut delays = Vec::new();
    for (_, from, at, by_host) in &ready {
        for (last, time) in delivered.iter_mut().zip(by_host) {
            *last = (*last).max(*time);
        }
        delays.push(delivered[*from] - *at);
    }
    delays.sort_unstable();
    (delays, msgs as f64 / plan.len() as f64)
}

/// Forwards the same proposals to the leader of a real log. Returns what [`two_step`] returns.
fn leader(case: &Case) -> (Vec<Duration>, f64) {
    let (mut cluster, leader) = group(1, case.voters, 0, 3);
    cluster.link.jitter = JITTER;
    let before = cluster.sent;
    cluster.run(Duration::from_secs(10));
    let idle = (cluster.sent - before) as f64 / 10.0;
    cluster.link.loss = case.loss;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut msgs = 0;
    let (base, sent) = (cluster.now, cluster.sent);
    let mut arrivals = Vec::new();
    for (at, from) in plan(case, &mut rng) {
        let at = base + at;
        let arrived = if from == leader { at } else { arrival(at, case.loss, &mut rng, &mut msgs) };
        arrivals.push((arrived, at, from));
    }
    arrivals.sort_unstable();
    let mut proposed = Vec::new();
    for (arrived, at, from) in arrivals {
        cluster.run(arrived - cluster.now);
        cluster.input(leader, Input::Propose(Bytes::from_static(&[7; 100])));
        proposed.push((cluster.status(leader).last, at, from));
    }
    cluster.run(Duration::from_secs(5));
    let elapsed = (cluster.now - base).as_secs_f64();
    msgs += cluster.sent - sent;
    let total = msgs as f64 - idle * elapsed;
    let mut delays = Vec::new();
    for (index, at, from) in &proposed {
        delays.push(cluster.applied_at[&(*from, *index)] - *at);
    }
    delays.sort_unstable();
    (delays, total / proposed.len() as f64)
}

//! Trial of timestamp-ordered two-step broadcast (P. Zielinski, "Low-latency
//! Atomic Broadcast in the presence of contention", 2006) against forwarding to
//! the leader, on links of the same delay, jitter and loss.
//!
//! The two-step side is a model of runs without crashes, in its favour: negative
//! statements ride on the second step's messages, the third step is never sent,
//! and acknowledgements of the channel are not counted. A lost message is sent
//! again after a heartbeat, as the log does.

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
/// Time between two proposals of one proposer.
const PERIOD: Duration = Duration::from_millis(100);
const COUNT: usize = 600;

struct Case {
    voters: u32,
    proposers: u32,
    loss: f64,
    /// Largest clock difference from true time.
    skew: Duration,
}

/// One proposal: when, by whom.
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

/// Returns when a message arrives, counting each try.
fn arrival(sent: Duration, loss: f64, rng: &mut ChaCha8Rng, msgs: &mut u64) -> Duration {
    let mut at = sent;
    *msgs += 1;
    while rng.random_bool(loss) {
        at += HEARTBEAT;
        *msgs += 1;
    }
    at + LINK + JITTER.mul_f64(rng.random::<f64>())
}

/// Returns the sorted delays from proposal to delivery at the proposer, and the
/// messages for each proposal.
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
            // The statement about times up to the stamp needs the own clock there.
            let second = (first + SYNC).max(stamp - *skew);
            for (k, known) in by_host.iter_mut().enumerate() {
                let got =
                    if k == j { second } else { arrival(second, case.loss, &mut rng, &mut msgs) };
                *known = (*known).max(got);
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

/// The same for proposals that are forwarded to the leader of the real log.
fn leader(case: &Case) -> (Vec<Duration>, f64) {
    let (mut world, leader) = group(1, case.voters, 0, 3);
    world.link.jitter = JITTER;
    let before = world.sent;
    world.run(Duration::from_secs(10));
    let rest = (world.sent - before) as f64 / 10.0;
    world.link.loss = case.loss;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut msgs = 0;
    let (base, sent) = (world.now, world.sent);
    let mut arrivals = Vec::new();
    for (at, from) in plan(case, &mut rng) {
        let at = base + at;
        let there = if from == leader { at } else { arrival(at, case.loss, &mut rng, &mut msgs) };
        arrivals.push((there, at, from));
    }
    arrivals.sort_unstable();
    let mut asked = Vec::new();
    for (there, at, from) in arrivals {
        world.run(there - world.now);
        world.input(leader, Input::Propose(Bytes::from_static(&[7; 100])));
        asked.push((world.status(leader).last, at, from));
    }
    world.run(Duration::from_secs(5));
    let spent = (world.now - base).as_secs_f64();
    msgs += world.sent - sent;
    let total = msgs as f64 - rest * spent;
    let mut delays = Vec::new();
    for (index, at, from) in &asked {
        delays.push(world.applied_at[&(*from, *index)] - *at);
    }
    delays.sort_unstable();
    (delays, total / asked.len() as f64)
}

//! Random interleavings of claims, resends, host losses, late and repeated entries, clock skew
//! and retention: no call is ever sent twice.

mod common;

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use claims::{ClaimReply, Claims, Retention};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Claim, ErrorKind, Outcome, Settle};

use crate::common::{START, claim, key};

const SEEDS: u64 = 200;
const STEPS: u64 = 2000;
const KEYS: u64 = 40;
const HOSTS: u64 = 4;
const SMALL: Retention = Retention { age: Duration::from_secs(600), count: 8, bytes: 60 };

#[derive(Clone)]
enum Entry {
    Claim(Claim),
    Settle(Settle),
    Lost(u32, u64),
}

/// A claimer's request. It sends at most once, and never after it settled as not run.
struct Request {
    name: String,
    host: u32,
    incarnation: u64,
    answered: bool,
}

struct World {
    rng: ChaCha8Rng,
    claims: Claims,
    now: u64,
    /// Proposed entries, committed in random order; some are committed more than once.
    pending: Vec<Entry>,
    requests: BTreeMap<u64, Request>,
    /// The creation time of each key, in milliseconds since the epoch.
    made: BTreeMap<String, u64>,
    incarnations: [u64; HOSTS as usize],
    next: u64,
    sent: BTreeMap<String, u32>,
    replies: BTreeMap<String, u32>,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            claims: Claims::new(SMALL),
            now: START,
            pending: Vec::new(),
            requests: BTreeMap::new(),
            made: BTreeMap::new(),
            incarnations: [1; HOSTS as usize],
            next: 0,
            sent: BTreeMap::new(),
            replies: BTreeMap::new(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    fn step(&mut self) {
        self.now += self.below(4000);
        match self.below(10) {
            0..4 => self.call(),
            4 if self.below(10) == 0 => self.lose_host(),
            5 if self.below(10) == 0 => {
                let bytes = wire::encode(&self.claims);
                self.claims = wire::decode(&bytes).expect("decodes");
            }
            _ => self.commit(),
        }
    }

    /// A caller sends a new call or a resend to a random host.
    fn call(&mut self) {
        let n = self.below(KEYS);
        let name = format!("key{}", n + self.now / 400_000 * 7);
        let skew = self.below(40_000);
        let made = *self.made.entry(name.clone()).or_insert(self.now + 20_000 - skew);
        let slot = self.below(HOSTS);
        let (host, incarnation) = (slot as u32 + 1, self.incarnations[slot as usize]);
        self.next += 1;
        let request = self.next;
        let entry = Claim { host, incarnation, ..claim(&name, request, made) };
        self.requests.insert(request, Request { name, host, incarnation, answered: false });
        self.pending.push(Entry::Claim(entry));
    }

    /// A host's incarnation ends; entries it proposed may still be committed.
    fn lose_host(&mut self) {
        let slot = self.below(HOSTS) as usize;
        self.incarnations[slot] += 1;
        self.pending.push(Entry::Lost(slot as u32 + 1, self.incarnations[slot]));
    }

    fn commit(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let idx = self.below(self.pending.len() as u64) as usize;
        // Some entries are committed, stay pending and are committed again.
        let entry = if self.below(5) == 0 {
            self.pending[idx].clone()
        } else {
            self.pending.swap_remove(idx)
        };
        let at = self.now + 10_000 - self.below(20_000);
        match entry {
            Entry::Claim(claim) => {
                let reply = self.claims.claim(at, &claim);
                self.handle_reply(claim.request, reply);
            }
            Entry::Settle(settle) => _ = self.claims.settle(at, &settle),
            Entry::Lost(host, before) => self.claims.host_lost(at, host, before),
        }
    }

    /// The claimer acts on the first reply if its incarnation is still alive.
    fn handle_reply(&mut self, request: u64, reply: ClaimReply) {
        let dice = self.below(10);
        let entry = self.requests.get_mut(&request).expect("request");
        let alive = self.incarnations[entry.host as usize - 1] == entry.incarnation;
        if entry.answered || !alive {
            return;
        }
        entry.answered = true;
        let name = entry.name.clone();
        let kind = common::describe(&reply).split(' ').take(2).collect::<Vec<_>>().join(" ");
        *self.replies.entry(kind).or_default() += 1;
        if reply != ClaimReply::Granted {
            return;
        }
        let outcome = match dice {
            0..3 => Outcome::NotRun(ErrorKind::NoTarget),
            3..8 => Outcome::Done { status: 200, body: Bytes::from(vec![b'x'; dice as usize]) },
            8 => Outcome::InDoubt,
            // The claimer ends after it sent the call, and its settlement is lost.
            _ => {
                *self.sent.entry(name).or_default() += 1;
                return;
            }
        };
        if !matches!(outcome, Outcome::NotRun(_)) {
            *self.sent.entry(name.clone()).or_default() += 1;
        }
        self.pending.push(Entry::Settle(Settle { key: key(&name), request, outcome }));
    }

    fn sent_twice(&self) -> Option<String> {
        let twice = self.sent.iter().find(|(_, count)| **count > 1)?;
        Some(format!("{} was sent {} times", twice.0, twice.1))
    }
}

#[test]
fn no_call_is_sent_twice() {
    let mut replies: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            world.step();
            assert_eq!(world.sent_twice(), None, "seed {seed} step {step}");
        }
        let (_, ended) = world.claims.counts();
        assert!(ended <= SMALL.count && world.claims.bytes() <= SMALL.bytes);
        for (kind, count) in world.replies {
            *replies.entry(kind).or_default() += count;
        }
    }
    // Every kind of reply occurred often enough to be tested.
    println!("{replies:?}");
    assert_eq!(replies.len(), 5);
    assert!(replies.values().all(|count| *count > 500));
}

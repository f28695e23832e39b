//! The memory that the bodies of requests share.

use std::{collections::BTreeMap, time::Duration};

use admit::{BodyId, BodyMemory, NoMemory};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const KB: usize = 1024;
const LIMIT: usize = 4096 * KB;
const LARGE: usize = 1024 * KB;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Begins a body of which so much has arrived.
fn begin(memory: &mut BodyMemory, now: Duration, size: usize) -> BodyId {
    let id = memory.begin(now);
    memory.grow(now, id, size).expect("there is memory");
    id
}

#[test]
fn a_body_that_has_stalled_gives_up_its_memory_the_longest_first() {
    let mut memory = BodyMemory::new(LIMIT);
    let stalled = begin(&mut memory, at(0), LARGE);
    let longest = begin(&mut memory, at(0), LARGE);
    let moving = begin(&mut memory, at(0), LARGE);
    memory.record_progress(at(400), stalled);
    memory.record_progress(at(900), moving);
    let later = memory.begin(at(1450));
    assert_eq!(memory.grow(at(1450), later, LARGE), Ok(vec![longest]));
    assert_eq!(memory.used(), 3 * LARGE);
}

#[test]
fn later_large_bodies_give_way_to_earlier_ones() {
    let mut memory = BodyMemory::new(LIMIT);
    let first = begin(&mut memory, at(0), LARGE);
    let second = begin(&mut memory, at(1), LARGE / 2);
    let third = begin(&mut memory, at(2), LARGE);
    let fourth = begin(&mut memory, at(3), LARGE / 2);
    assert_eq!(memory.grow(at(4), first, KB), Ok(vec![fourth]));
    assert_eq!(memory.grow(at(5), third, LARGE), Err(NoMemory), "none came later");
    assert_eq!(memory.grow(at(6), second, LARGE), Ok(vec![third]));
}

#[test]
fn whole_bodies_keep_their_memory_until_they_end() {
    let mut memory = BodyMemory::new(LIMIT);
    let whole: Vec<_> = (0..3).map(|_| begin(&mut memory, at(0), LARGE)).collect();
    for id in &whole {
        memory.complete(*id, LARGE - KB);
    }
    assert_eq!(memory.used(), 3 * (LARGE - KB));
    let later = memory.begin(at(9000));
    assert_eq!(memory.grow(at(9000), later, LARGE), Err(NoMemory));
    memory.end(whole[1]);
    assert_eq!(memory.grow(at(9000), later, LARGE), Ok(Vec::new()));
}

/// Guards against small requests that are refused beside large ones. Load pattern: whole large bodies at a slow
/// target take all that large bodies may have, and small ones come and go.
#[test]
fn small_bodies_have_memory_beside_large_ones() {
    let mut memory = BodyMemory::new(LIMIT);
    loop {
        let id = memory.begin(at(0));
        if memory.grow(at(0), id, LARGE / 2).is_err() {
            break;
        }
        memory.complete(id, LARGE / 2);
    }
    for ms in 0..1000 {
        let id = memory.begin(at(ms));
        assert_eq!(memory.grow(at(ms), id, 8 * KB), Ok(Vec::new()), "{ms}");
        memory.end(id);
    }
}

/// Guards against a crowd of which all get halfway and none to the end. Load pattern: 40 bodies arrive at the same
/// pace, together ten times as large as the memory.
#[test]
fn of_a_crowd_the_first_get_to_their_end() {
    let mut memory = BodyMemory::new(LIMIT);
    let mut crowd: BTreeMap<BodyId, usize> = (0..40).map(|_| (memory.begin(at(0)), 0)).collect();
    let mut whole = Vec::new();
    for ms in 0..64 {
        for id in crowd.keys().copied().collect::<Vec<_>>() {
            let Some(size) = crowd.get_mut(&id) else { continue };
            *size += LARGE / 64;
            let is_whole = *size == LARGE;
            match memory.grow(at(ms), id, LARGE / 64) {
                Ok(yielded) => crowd.retain(|it, _| !yielded.contains(it)),
                Err(NoMemory) => {
                    memory.end(id);
                    crowd.remove(&id);
                }
            }
            if is_whole && crowd.contains_key(&id) {
                memory.complete(id, LARGE);
                whole.push(id);
            }
        }
    }
    assert_eq!(whole, [1, 2, 3], "as many as large bodies have memory for");
}

/// Guards against memory that is given out twice or never comes back: random bodies, of which some stall.
#[test]
fn no_more_memory_is_given_out_than_there_is() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut memory = BodyMemory::new(LIMIT);
        let mut held: BTreeMap<BodyId, usize> = BTreeMap::new();
        for step in 0..4000 {
            let now = at(step * 20);
            let known: Vec<_> = held.keys().copied().collect();
            let id = match known.len() {
                0 => memory.begin(now),
                _ if rng.random_bool(0.3) => memory.begin(now),
                count => known[rng.random_range(0..count)],
            };
            let size = held.entry(id).or_default();
            if rng.random_bool(0.1) {
                memory.end(id);
                held.remove(&id);
            } else if rng.random_bool(0.2) {
                memory.complete(id, *size / 2);
                *size /= 2;
            } else {
                memory.record_progress(now, id);
                let more = rng.random_range(1..300 * KB);
                match memory.grow(now, id, more) {
                    Ok(yielded) => {
                        *size += more;
                        held.retain(|it, _| !yielded.contains(it));
                    }
                    Err(NoMemory) => {
                        memory.end(id);
                        held.remove(&id);
                    }
                }
            }
            assert!(memory.used() <= LIMIT, "seed {seed}, step {step}");
            assert_eq!(memory.used(), held.values().sum::<usize>(), "seed {seed}, step {step}");
        }
    }
}

//! Tests that the checks of an audit trail detect every alteration of it.

use history::{Entry, History, from_api, to_api, verify, verify_head};
use quickcheck::{Arbitrary, Gen};
use wire::{DeclFile, Publish};

const SEED: u64 = 11;
const ROUNDS: u64 = 2000;

fn trail() -> Vec<Entry> {
    let mut history = History::default();
    for version in 1..8 {
        let text = format!(
            "[service]\nname = book\nversion = {version}\nkind = plain\n\
             [call book]\npath = /book\nidempotent = no\n"
        );
        let publish = Publish {
            files: vec![DeclFile { name: "book.ini".to_owned(), text }],
            author: "ada".to_owned(),
            revision: format!("rev{version}"),
        };
        history.apply(version * 3, version * 1000, &publish).unwrap();
    }
    history.entries(0).to_vec()
}

fn pick(rng: &mut Gen, len: usize) -> usize {
    usize::arbitrary(rng) % len
}

#[test]
fn an_unaltered_trail_passes_its_checks() {
    let entries = trail();
    let head = entries.last().unwrap().hash;
    assert_eq!(verify(&entries), Ok(head));
    assert_eq!(verify(&[]), Ok([0; 32]));
    assert_eq!(verify_head(&entries, 7, head), Ok(()));
    let exported: Vec<_> = entries.iter().map(to_api).collect();
    let back: Vec<_> = exported.iter().map(|it| from_api(it).unwrap()).collect();
    assert_eq!(back, entries);
}

/// Flips one random bit in the stored form of the trail.
#[test]
fn a_flipped_bit_is_found() {
    let entries = trail();
    let stored = wire::encode(&entries);
    let mut rng = Gen::from_size_and_seed(1000, SEED);
    for _ in 0..ROUNDS {
        let mut changed = stored.clone();
        let offset = pick(&mut rng, changed.len());
        changed[offset] ^= 1 << pick(&mut rng, 8);
        let Ok(read) = wire::decode::<Vec<Entry>>(&changed) else {
            continue;
        };
        if read == entries {
            continue;
        }
        let head = entries[6].hash;
        assert!(verify_head(&read, 7, head).is_err(), "byte {offset} of {}", stored.len());
        if read.len() == entries.len() {
            assert!(verify(&read).is_err(), "byte {offset} of {}", stored.len());
        }
    }
}

#[test]
fn a_dropped_or_moved_entry_is_found() {
    let entries = trail();
    let head = entries[6].hash;
    for i in 0..entries.len() {
        let mut dropped = entries.clone();
        dropped.remove(i);
        assert!(verify_head(&dropped, 7, head).is_err(), "dropped {i}");
        assert!(i + 1 == entries.len() || verify(&dropped).is_err(), "dropped {i}");
        let mut doubled = entries.clone();
        doubled.insert(i, entries[i].clone());
        assert!(verify(&doubled).is_err(), "doubled {i}");
        for j in i + 1..entries.len() {
            let mut swapped = entries.clone();
            swapped.swap(i, j);
            assert!(verify(&swapped).is_err(), "swapped {i} and {j}");
        }
    }
}

/// Changes an entry's author and recomputes its hash. The change shows in the previous hash of
/// the next entry or, for the last entry, in the known head.
#[test]
fn a_rewritten_entry_is_found() {
    let entries = trail();
    let head = entries[6].hash;
    for i in 0..entries.len() {
        let mut changed = entries.clone();
        changed[i].author = "eve".to_owned();
        changed[i].hash = changed[i].compute_hash();
        let found = verify_head(&changed, 7, head).unwrap_err();
        assert_eq!(found.sequence, (i as u64 + 2).min(7), "{found}");
    }
}

#[test]
fn a_malformed_export_is_refused() {
    let entry = to_api(&trail()[0]);
    for hash in ["", "00", &"zz".repeat(32), &"AB".repeat(32), &"é".repeat(32)] {
        let mut changed = entry.clone();
        changed.previous = hash.to_owned();
        assert!(from_api(&changed).is_err(), "{hash}");
    }
}

/// A wrong sequence number or log index is found even if the hashes match.
#[test]
fn a_renumbered_entry_is_found() {
    for (sequence, index) in [(8, 21), (6, 21), (0, 21), (7, 18), (7, 3)] {
        let mut entries = trail();
        entries[6].sequence = sequence;
        entries[6].index = index;
        entries[6].hash = entries[6].compute_hash();
        assert_eq!(verify(&entries).unwrap_err().sequence, 7);
    }
}

/// An entry that could never have been accepted is found even if the hashes match.
#[test]
fn a_change_that_lowers_a_version_is_found() {
    for (replaced, version) in [(6, 6), (6, 5), (5, 7), (0, 7)] {
        let mut entries = trail();
        entries[6].changes[0].replaced = replaced;
        entries[6].changes[0].version = version;
        entries[6].hash = entries[6].compute_hash();
        assert_eq!(verify(&entries).unwrap_err().sequence, 7);
    }
    let mut entries = trail();
    entries[6].changes.clear();
    entries[6].hash = entries[6].compute_hash();
    assert!(verify(&entries).is_err());
}

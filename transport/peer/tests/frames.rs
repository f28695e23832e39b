//! Damaged datagrams, greetings and messages are rejected without a panic.

use std::time::Duration;

use bytes::Bytes;
use peer::{
    auth::Key,
    frame::{Datagram, GREETING_BYTES, Greeting, ReplayWindow, Session},
};
use quickcheck::{Arbitrary, Gen};
use wire::{
    Answer, Digest, Entry, EntryBody, LoadRequest, LogBody, LogMsg, PeerMsg, Piece, Renew,
    Residency,
};

const SEED: u64 = 20;
const ROUNDS: usize = 3000;

fn generator() -> Gen {
    Gen::from_size_and_seed(200, SEED)
}

fn messages() -> Vec<PeerMsg> {
    let entry = Entry { term: 1, index: 2, body: EntryBody::Data(Bytes::from(vec![7; 300])) };
    let append =
        LogBody::Append { round: 1, prev: 1, prev_term: 1, entries: vec![entry; 3], commit: 1 };
    let digest =
        Digest { resident: vec![Residency { adapter: 1, targets: 2 }; 20], ..Digest::default() };
    let renew = Renew {
        incarnation: 1,
        sent: Duration::from_secs(1),
        domain: "north".to_owned(),
        applied: 2,
        round: 3,
        digest: Some(digest),
    };
    let piece = Piece { request: 1, offset: 0, bytes: Bytes::from(vec![1; 100]), last: false };
    vec![
        PeerMsg::Log(LogMsg { group: 1, disk: Some(2), term: 3, body: append }),
        PeerMsg::Renew(renew),
        PeerMsg::Answer(Answer::Piece(piece)),
        PeerMsg::LoadRequests(vec![
            LoadRequest {
                adapter: 1,
                score: 0.5,
                waiting: 2,
                age: Duration::ZERO
            };
            10
        ]),
    ]
}

#[test]
fn random_bytes_never_have_a_valid_tag() {
    let mut random = generator();
    let key = Key::new(b"key");
    for _ in 0..ROUNDS {
        let bytes = Vec::<u8>::arbitrary(&mut random);
        let _ = wire::decode::<PeerMsg>(&bytes);
        if Datagram::decode(&bytes).is_some() {
            assert!(!Datagram::verify(&bytes, &key));
        }
        if let Ok(greeting) = <&[u8; GREETING_BYTES]>::try_from(&bytes[..]) {
            let _ = Greeting::decode(greeting);
            assert!(!Greeting::verify(greeting, &key, &[]));
        }
    }
}

#[test]
fn truncated_and_flipped_messages_do_not_panic() {
    let mut random = generator();
    for msg in messages() {
        let bytes = wire::encode(&msg);
        assert_eq!(wire::decode::<PeerMsg>(&bytes).expect("it is complete"), msg);
        for len in 0..bytes.len() {
            assert!(wire::decode::<PeerMsg>(&bytes[..len]).is_err(), "{len} of {}", bytes.len());
        }
        for _ in 0..ROUNDS {
            let mut bytes = bytes.clone();
            let at = usize::arbitrary(&mut random) % bytes.len();
            bytes[at] ^= 1 << (u8::arbitrary(&mut random) % 8);
            let _ = wire::decode::<PeerMsg>(&bytes);
        }
    }
}

#[test]
fn a_flipped_bit_breaks_the_tag() {
    let key = Key::new(b"key");
    let datagram = Datagram { from: 1, to: 2, incarnation: 3, seq: 4, payload: b"payload" };
    let good = datagram.encode(&key);
    assert!(Datagram::verify(&good, &key));
    for bit in 0..good.len() * 8 {
        let mut bytes = good.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(!Datagram::verify(&bytes, &key), "bit {bit}");
    }
}

#[test]
fn sessions_of_other_greetings_do_not_verify() {
    let key = Key::new(b"key");
    let client = Greeting { from: 1, to: 2, incarnation: 3, nonce: [4; 16] };
    let server = Greeting { from: 2, to: 1, incarnation: 5, nonce: [6; 16] };
    let good = Session::new(&key, &client, &server).proof();
    let others = [
        (Greeting { nonce: [5; 16], ..client }, server),
        (client, Greeting { nonce: [5; 16], ..server }),
        (Greeting { incarnation: 4, ..client }, server),
        (client, Greeting { incarnation: 6, ..server }),
        (Greeting { from: 3, ..client }, server),
        (client, Greeting { from: 3, ..server }),
    ];
    for (client, server) in others {
        assert!(!Session::new(&key, &client, &server).verify_proof(&good));
    }
    assert!(!Session::new(&Key::new(b"other"), &client, &server).verify_proof(&good));
}

#[test]
fn a_window_accepts_each_number_once() {
    let mut random = generator();
    let mut window = ReplayWindow::default();
    let mut accepted = std::collections::BTreeSet::new();
    for _ in 0..ROUNDS {
        let seq = 1 + u64::arbitrary(&mut random) % 500;
        if window.accept(1, seq) {
            assert!(accepted.insert(seq), "{seq} was accepted twice");
        }
    }
    assert!(accepted.contains(&500));
    assert!(!window.accept(0, 1000), "an earlier incarnation");
    assert!(window.accept(2, 1), "a later incarnation");
    window.reset(1);
    assert!(window.accept(1, 1), "an incarnation that a handshake proved");
}

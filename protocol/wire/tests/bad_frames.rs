//! Malformed frames are rejected without a panic and within a memory limit.

use std::{fs, time::Duration};

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};
use wire::*;

const SEED: u64 = 5;
const ROUNDS: usize = 2000;
/// The length 2^63 as encoded in a frame.
const HUGE_LEN: [u8; 10] = [0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x01];
const MAX_PEAK_KB: usize = 96 * 1024;

fn log(body: LogBody) -> PeerMsg {
    PeerMsg::Log(LogMsg { group: 1, disk: Some(2), term: 3, body })
}

fn members() -> Membership {
    Membership { members: vec![Member { host: 1, disk: 9, role: Role::Voter }] }
}

fn report() -> TargetReport {
    TargetReport {
        info: TargetInfo {
            name: "t1".to_owned(),
            addr: "127.0.0.1:1".to_owned(),
            domain: "north".to_owned(),
            kind: TargetKind::Engine { model: "m".to_owned() },
            capacity: Capacity { adapters: 4, requests: 8 },
            fenced: true,
        },
        incarnation: 5,
        seq: 6,
        fence: 7,
        age: Duration::from_millis(20),
        loaded: vec!["m@a@v1".to_owned()],
        busy: vec!["m@a@v1".to_owned()],
        load: Load { running: 1, queued: 0 },
        leaving: false,
    }
}

fn forward() -> Forward {
    Forward {
        request: request_id(1, 2, 3),
        incarnation: 2,
        pin: Pin::Adapter { id: 1, name: "m@a@v1".to_owned() },
        caller: "ada".to_owned(),
        fingerprint: [7; 16],
        urgency: Urgency::High,
        time_left: Duration::from_secs(3),
        idempotent: true,
        stream: true,
        path: "/v1/completions".to_owned(),
        body: Bytes::from_static(b"{}"),
        credit: 65536,
    }
}

fn samples() -> Vec<PeerMsg> {
    let entry = Entry { term: 1, index: 2, body: EntryBody::Data(Bytes::from_static(b"data")) };
    let members_entry = Entry { term: 1, index: 3, body: EntryBody::Members(members()) };
    let entries = vec![entry, members_entry];
    let append = LogBody::Append { round: 1, prev: 1, prev_term: 1, entries, commit: 1 };
    let head = Snapshot { index: 9, term: 2, members: members(), state: Bytes::new() };
    let chunk = Bytes::from_static(b"chunk");
    vec![
        log(append),
        log(LogBody::Install { round: 1, head, total: 9, offset: 0, chunk, commit: 3 }),
        log(LogBody::Founding { group: 4, members: members() }),
        log(LogBody::Vote { last: 5, last_term: 2 }),
        PeerMsg::Report(Box::new(report())),
        PeerMsg::LoadRequests(vec![
            LoadRequest {
                adapter: 1,
                score: 0.5,
                waiting: 2,
                age: Duration::ZERO
            };
            3
        ]),
        PeerMsg::LoadGrants(vec![LoadGrant {
            slot: 1,
            adapter: 2,
            duration: Duration::from_secs(1),
        }]),
        PeerMsg::Forward(Box::new(forward())),
        PeerMsg::Answer(Answer::Piece(Piece {
            request: 1,
            offset: 2,
            bytes: Bytes::from_static(b"data: x"),
            last: true,
        })),
        PeerMsg::Answer(Answer::Fail(Fail {
            request: 1,
            fault: Fault::new(ErrorKind::TargetLost, "gone"),
        })),
        PeerMsg::Cancel(3),
        PeerMsg::InForce {
            tag: 1,
            commit: 2,
            domains: vec![DomainForce { domain: "north".to_owned(), applied: 1, lagging: 0 }],
        },
    ]
}

fn pick(rng: &mut Gen, len: usize) -> usize {
    usize::arbitrary(rng) % len
}

/// Decodes a frame. An accepted message must survive encoding and decoding again.
fn check_frame(frame: &[u8]) {
    let Ok(msg) = decode::<PeerMsg>(frame) else {
        return;
    };
    let again: PeerMsg = decode(&encode(&msg)).unwrap();
    assert_eq!(format!("{again:?}"), format!("{msg:?}"));
}

/// Returns the peak resident memory of the process, in kB.
fn peak_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn damaged_frames() {
    let mut rng = Gen::from_size_and_seed(100, SEED);
    for msg in samples() {
        let frame = encode(&msg);
        assert_eq!(decode::<PeerMsg>(&frame).unwrap(), msg);
        for end in 0..frame.len() {
            assert!(decode::<PeerMsg>(&frame[..end]).is_err(), "{msg:?} cut at {end}");
        }
        assert!(decode::<PeerMsg>(&[&frame[..], &[0]].concat()).is_err(), "{msg:?}");
        for _ in 0..ROUNDS {
            let mut flipped = frame.clone();
            let pos = pick(&mut rng, flipped.len());
            flipped[pos] ^= 1 << pick(&mut rng, 8);
            check_frame(&flipped);
        }
        for pos in 0..frame.len() {
            check_frame(&[&frame[..pos], &HUGE_LEN, &frame[pos + 1..]].concat());
            check_frame(&[&frame[..pos], &HUGE_LEN].concat());
        }
    }
    for _ in 0..ROUNDS {
        check_frame(&Vec::<u8>::arbitrary(&mut rng));
    }
    assert!(peak_kb() < MAX_PEAK_KB, "{} kB", peak_kb());
}

#[test]
fn oversize_frames() {
    let frame = vec![0; MAX_FRAME_BYTES + 1];
    assert!(matches!(decode::<PeerMsg>(&frame), Err(DecodeError::TooLong(_))));
}

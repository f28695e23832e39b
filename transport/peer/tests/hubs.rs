//! Hosts exchange messages with each other and with unauthenticated senders.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{KEY, LIMIT, addr, config, connect, ip, next, numbered, start, until};
use peer::{
    DropReason, Event, QUEUE_BYTES,
    auth::Key,
    frame::{Datagram, GREETING_BYTES, Greeting},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};
use wire::{LogBody, LogMsg, MAX_FRAME_BYTES, PeerMsg};

fn log(body: LogBody) -> PeerMsg {
    PeerMsg::Log(LogMsg { group: 1, disk: None, term: 1, body })
}

fn large(bytes: usize) -> PeerMsg {
    PeerMsg::Answer(wire::Answer::Piece(wire::Piece {
        request: 1,
        offset: 0,
        bytes: Bytes::from(vec![0; bytes]),
        last: false,
    }))
}

#[tokio::test]
async fn messages_arrive_whole_and_in_order() {
    let (one, _events) = start(config(1, 1)).await;
    let (_two, mut events) = start(config(1, 2)).await;
    for number in 0..200 {
        one.send(2, &numbered(number));
    }
    one.send(2, &large(3_000_000));
    for number in 0..200 {
        let expected = Event::Message { from: 1, msg: numbered(number) };
        assert_eq!(next(&mut events).await, expected);
    }
    assert_eq!(next(&mut events).await, Event::Message { from: 1, msg: large(3_000_000) });
}

#[tokio::test]
async fn small_periodic_messages_use_udp_and_entries_use_tcp() {
    let (one, _events) = start(config(2, 1)).await;
    // Nothing listens for TCP connections at host 2, so only datagrams arrive there.
    let udp = UdpSocket::bind(addr(2, 2)).await.expect("the address is free");
    one.send(2, &log(LogBody::Hello { last: 1 }));
    let mut buf = [0; 2000];
    let (len, from) =
        timeout(LIMIT, udp.recv_from(&mut buf)).await.expect("it arrives").expect("it is read");
    assert_eq!(from, addr(2, 1));
    let datagram = Datagram::decode(&buf[..len]).expect("it is a datagram");
    assert!(Datagram::verify(&buf[..len], &Key::new(KEY)));
    assert_eq!((datagram.from, datagram.to, datagram.seq), (1, 2, 1));
    one.send(
        2,
        &log(LogBody::Append {
            round: 1,
            prev: 0,
            prev_term: 0,
            entries: vec![wire::Entry { term: 1, index: 1, body: wire::EntryBody::Noop }],
            commit: 0,
        }),
    );
    until(|| one.stats().dropped(DropReason::Broken) == 1).await;
}

#[tokio::test]
async fn a_restarted_host_is_reached_again() {
    let (one, mut losses) = start(config(3, 1)).await;
    let (two, mut events) = start(config(3, 2)).await;
    one.send(2, &numbered(1));
    assert_eq!(next(&mut events).await, Event::Message { from: 1, msg: numbered(1) });
    drop(two);
    drop(events);
    assert_eq!(next(&mut losses).await, Event::ConnectionLost(2));
    let mut restarted = config(3, 2);
    restarted.incarnation = 2;
    let (_two, mut events) = start(restarted).await;
    let resending = async {
        loop {
            one.send(2, &numbered(2));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        () = resending => unreachable!(),
        event = next(&mut events) => {
            assert_eq!(event, Event::Message { from: 1, msg: numbered(2) });
        }
    }
}

/// Guards against messages that are dropped because the host waits to connect, although the peer is
/// back and has connected itself.
#[tokio::test]
async fn a_host_that_connects_is_connected_to_at_once() {
    let (one, mut events) = start(config(12, 1)).await;
    let listener = TcpListener::bind(addr(12, 3)).await.expect("the address is free");
    // Each connection that breaks doubles the time before the next attempt.
    for _ in 0..6 {
        let sending = async {
            loop {
                one.send(3, &numbered(1));
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::select! {
            () = sending => unreachable!(),
            accepted = listener.accept() => drop(accepted.expect("a connection")),
        }
    }
    drop(listener);
    while events.try_recv().is_ok() {}
    let (three, mut arrived) = start(config(12, 3)).await;
    three.send(1, &numbered(2));
    let message = Event::Message { from: 3, msg: numbered(2) };
    while next(&mut events).await != message {}
    one.send(3, &numbered(3));
    assert_eq!(next(&mut arrived).await, Event::Message { from: 1, msg: numbered(3) });
}

fn forward(request: u64) -> PeerMsg {
    PeerMsg::Forward(Box::new(wire::Forward {
        request,
        incarnation: 1,
        pin: wire::Pin::Service { service: "s".to_owned() },
        caller: "c".to_owned(),
        fingerprint: [0; 16],
        urgency: wire::Urgency::Normal,
        time_left: LIMIT,
        idempotent: false,
        stream: false,
        path: "/".to_owned(),
        body: Bytes::new(),
        credit: 1,
    }))
}

#[tokio::test]
async fn an_unreachable_host_returns_requests_and_drops_repeated_messages() {
    let (one, mut events) = start(config(4, 1)).await;
    one.send(3, &numbered(1));
    until(|| one.stats().dropped(DropReason::Broken) == 1).await;
    one.send(3, &forward(7));
    assert_eq!(next(&mut events).await, Event::Undelivered { to: 3, request: 7 });
    one.send(3, &PeerMsg::Cancel(1));
    assert_eq!(next(&mut events).await, Event::ConnectionLost(3));
    // Dropping the repeated message delivers no event, and an undelivered request does not
    // deliver `Lost`.
    assert!(events.try_recv().is_err());
    let unsent = one.stats().take_unsent();
    let rows: Vec<_> = unsent.iter().map(|it| (it.host, it.kind, it.messages)).collect();
    assert_eq!(rows, [(3, "cancel", 1), (3, "forward", 1), (3, "wants", 1)]);
    assert_eq!(one.stats().take_unsent(), []);
}

#[tokio::test]
async fn a_partly_sent_request_is_not_reported_as_undelivered() {
    let listener = TcpListener::bind(addr(9, 2)).await.expect("the address is free");
    let (one, mut events) = start(config(9, 1)).await;
    let accepted = tokio::spawn(accept_and_stall(listener, 2));
    one.send(2, &forward(7));
    let mut stream = accepted.await.expect("the handshake starts");
    // Reads the proof of the handshake and the first byte of the frame.
    let mut bytes = [0; 17];
    stream.read_exact(&mut bytes).await.expect("the request arrives");
    drop(stream);
    assert_eq!(next(&mut events).await, Event::ConnectionLost(2));
    assert!(events.try_recv().is_err());
}

#[tokio::test]
async fn bad_datagrams_are_dropped_and_counted() {
    let (one, mut events) = start(config(5, 1)).await;
    let udp = UdpSocket::bind(addr(5, 2)).await.expect("the address is free");
    let other = UdpSocket::bind((ip(5, 9), 0)).await.expect("the address is free");
    let key = Key::new(KEY);
    let payload = wire::encode(&log(LogBody::Hello { last: 1 }));
    let make =
        |from, to, incarnation, seq| Datagram { from, to, incarnation, seq, payload: &payload };
    let good = make(2, 1, 5, 10).encode(&key);
    let mut changed = make(2, 1, 5, 11).encode(&key);
    changed[30] ^= 1;
    let garbage = Datagram { payload: &[0xff; 40], ..make(2, 1, 5, 12) }.encode(&key);
    let cases = [
        ("good", &udp, good.clone()),
        ("repeated", &udp, good.clone()),
        ("earlier incarnation", &udp, make(2, 1, 4, 99).encode(&key)),
        ("other address", &other, good.clone()),
        ("unknown host", &udp, make(9, 1, 5, 13).encode(&key)),
        ("other host's id", &udp, make(3, 1, 5, 13).encode(&key)),
        ("other receiver", &udp, make(2, 3, 5, 13).encode(&key)),
        ("own id", &udp, make(1, 1, 5, 13).encode(&key)),
        ("changed", &udp, changed),
        ("other key", &udp, make(2, 1, 5, 13).encode(&Key::new(b"other"))),
        ("empty", &udp, Vec::new()),
        ("truncated", &udp, good[..20].to_vec()),
        ("truncated tag", &udp, good[..good.len() - 1].to_vec()),
        ("too long", &udp, vec![0; 1300]),
        ("undecodable message", &udp, garbage),
        ("good, later incarnation", &udp, make(2, 1, 6, 1).encode(&key)),
    ];
    let mut report = String::new();
    for (name, socket, bytes) in cases {
        let before = counts(&one);
        socket.send_to(&bytes, addr(5, 1)).await.expect("it is sent");
        let mut after = before;
        until(|| {
            after = counts(&one);
            after != before
        })
        .await;
        let verdict = verdict(&before, &after);
        report.push_str(&format!("{name}: {verdict}\n"));
    }
    insta::assert_snapshot!(report);
    let expected = Event::Message { from: 2, msg: log(LogBody::Hello { last: 1 }) };
    assert_eq!(next(&mut events).await, expected);
    assert_eq!(next(&mut events).await, expected);
    assert!(events.try_recv().is_err());
}

type Counts = [u64; DropReason::ALL.len() + 1];

fn counts(hub: &peer::Hub) -> Counts {
    let mut counts = Counts::default();
    for (count, reason) in counts.iter_mut().zip(DropReason::ALL) {
        *count = hub.stats().dropped(reason);
    }
    counts[DropReason::ALL.len()] =
        hub.stats().received_by_kind().iter().map(|row| row.frames).sum();
    counts
}

fn verdict(before: &Counts, after: &Counts) -> &'static str {
    for (i, reason) in DropReason::ALL.iter().enumerate() {
        if after[i] > before[i] {
            return reason.as_str();
        }
    }
    "accepted"
}

#[tokio::test]
async fn bad_frames_end_their_connection() {
    let (one, mut events) = start(config(6, 1)).await;
    let payload = wire::encode(&numbered(1));
    let mut report = String::new();
    for name in ["good", "changed", "skipped", "undecodable message", "oversize", "truncated"] {
        let before = counts(&one);
        let (mut stream, mut session) = connect(6, 2, 1).await;
        let mut bytes = Vec::new();
        match name {
            "changed" => {
                session.encode(&payload, &mut bytes);
                bytes[5] ^= 1;
            }
            "skipped" => {
                session.encode(&payload, &mut Vec::new());
                session.encode(&payload, &mut bytes);
            }
            "undecodable message" => session.encode(&[0xff; 40], &mut bytes),
            "oversize" => bytes = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes().to_vec(),
            "truncated" => {
                session.encode(&payload, &mut bytes);
                bytes.pop();
            }
            _ => session.encode(&payload, &mut bytes),
        }
        stream.write_all(&bytes).await.expect("the host reads");
        stream.shutdown().await.expect("the connection is open");
        while next(&mut events).await != Event::ConnectionLost(2) {}
        report.push_str(&format!("{name}: {}\n", verdict(&before, &counts(&one))));
    }
    insta::assert_snapshot!(report);
}

#[tokio::test]
async fn invalid_greetings_are_rejected() {
    let (one, mut events) = start(config(7, 1)).await;
    let key = Key::new(KEY);
    let nonce = [1; 16];
    let client = Greeting { from: 2, to: 1, incarnation: 1, nonce };
    let good = client.encode(&key, &[]);
    let cases = [
        ("unknown host", 2, Greeting { from: 9, ..client }.encode(&key, &[])),
        ("other host's address", 3, good),
        ("other receiver", 2, Greeting { to: 3, ..client }.encode(&key, &[])),
        ("other key", 2, client.encode(&Key::new(b"other"), &[])),
        ("no greeting", 2, [0; GREETING_BYTES]),
        ("recorded greeting, no proof", 2, good),
    ];
    let mut report = String::new();
    for (name, host, greeting) in cases {
        let before = counts(&one);
        let socket = tokio::net::TcpSocket::new_v4().expect("sockets are free");
        socket.bind((ip(7, host), 0).into()).expect("ports are free");
        let mut stream = socket.connect(addr(7, 1)).await.expect("the host listens");
        stream.write_all(&greeting).await.expect("the host reads");
        // An invalid proof, in place of one recorded from another session.
        let _ = stream.write_all(&[0; 16]).await;
        let mut rest = Vec::new();
        let reading = stream.read_to_end(&mut rest);
        // The host closes the connection or resets it.
        let _ = timeout(LIMIT, reading).await.expect("the host closes");
        report.push_str(&format!("{name}: {}\n", verdict(&before, &counts(&one))));
    }
    insta::assert_snapshot!(report);
    assert!(events.try_recv().is_err());
}

/// Accepts one connection as host `host`, and reads nothing after the client's greeting.
async fn accept_and_stall(listener: TcpListener, host: u32) -> TcpStream {
    let key = Key::new(KEY);
    let (mut stream, _) = listener.accept().await.expect("a host connects");
    let mut bytes = [0; GREETING_BYTES];
    stream.read_exact(&mut bytes).await.expect("a greeting arrives");
    let client = Greeting::decode(&bytes).expect("it is a greeting");
    let server = Greeting { from: host, to: client.from, incarnation: 1, nonce: [3; 16] };
    stream.write_all(&server.encode(&key, &client.nonce)).await.expect("it is read");
    stream
}

#[tokio::test]
async fn the_queue_of_a_stalled_peer_is_bounded_and_its_connection_lost() {
    let listener = TcpListener::bind(addr(8, 2)).await.expect("the address is free");
    let (one, mut events) = start(config(8, 1)).await;
    let stalled = tokio::spawn(accept_and_stall(listener, 2));
    let piece = large(1024 * 1024);
    one.send(2, &piece);
    let stalled =
        timeout(LIMIT, stalled).await.expect("it connects").expect("the handshake starts");
    // Sends more than the queue and the socket buffers hold.
    for _ in 0..8 * QUEUE_BYTES / (1024 * 1024) {
        one.send(2, &piece);
        tokio::task::yield_now().await;
    }
    assert_eq!(next(&mut events).await, Event::ConnectionLost(2));
    assert!(one.stats().dropped(DropReason::Overflow) > 0);
    drop(stalled);
}

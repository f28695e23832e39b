//! The encoding of datagrams, handshakes and frames.

use wire::{HostId, Incarnation};

use crate::auth::{Key, NONCE_BYTES, Nonce, TAG_BYTES, Tag};

/// Maximum length of a datagram in bytes; longer messages are sent over TCP.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Length of a datagram's header and tag together in bytes.
pub const DATAGRAM_OVERHEAD: usize = DATAGRAM_HEADER + TAG_BYTES;

/// Length of a frame's header and tag together in bytes.
pub const FRAME_OVERHEAD: usize = 4 + TAG_BYTES;

/// Length of an encoded greeting, with its tag, in bytes.
pub const GREETING_BYTES: usize = GREETING_BODY + TAG_BYTES;

const MAGIC: &[u8; 4] = b"PHP1";
const DATAGRAM_HEADER: usize = 4 + 4 + 4 + 8 + 8;
const GREETING_BODY: usize = 4 + 4 + 4 + 8 + NONCE_BYTES;

fn read_host(bytes: &[u8], at: usize) -> HostId {
    HostId::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"))
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().expect("eight bytes"))
}

/// A message sent over UDP.
#[derive(Debug, Clone, Copy)]
pub struct Datagram<'a> {
    /// The sender.
    pub from: HostId,
    /// The receiver.
    pub to: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the datagram within that incarnation, from 1.
    pub seq: u64,
    /// The encoded message.
    pub payload: &'a [u8],
}

impl<'a> Datagram<'a> {
    /// Encodes the datagram and appends its tag.
    pub fn encode(&self, key: &Key) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(DATAGRAM_OVERHEAD + self.payload.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&self.from.to_le_bytes());
        bytes.extend_from_slice(&self.to.to_le_bytes());
        bytes.extend_from_slice(&self.incarnation.to_le_bytes());
        bytes.extend_from_slice(&self.seq.to_le_bytes());
        bytes.extend_from_slice(self.payload);
        let tag = key.tag(&[b"datagram", &bytes]);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// Decodes a datagram without verifying its tag; none if it is too short or has no magic bytes.
    pub fn decode(bytes: &'a [u8]) -> Option<Datagram<'a>> {
        if bytes.len() < DATAGRAM_OVERHEAD || &bytes[..4] != MAGIC {
            return None;
        }
        Some(Datagram {
            from: read_host(bytes, 4),
            to: read_host(bytes, 8),
            incarnation: read_u64(bytes, 12),
            seq: read_u64(bytes, 20),
            payload: &bytes[DATAGRAM_HEADER..bytes.len() - TAG_BYTES],
        })
    }

    /// Returns whether the tag of an encoded datagram is valid.
    ///
    /// Panics if `bytes` are shorter than a tag.
    pub fn verify(bytes: &[u8], key: &Key) -> bool {
        let (body, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        key.verify(&[b"datagram", body], tag)
    }
}

/// The first handshake message of each side of a new connection.
#[derive(Debug, Clone, Copy)]
pub struct Greeting {
    /// The sender.
    pub from: HostId,
    /// The receiver.
    pub to: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// A random number for this connection.
    pub nonce: Nonce,
}

impl Greeting {
    /// Encodes the greeting and appends its tag. `peer_nonce` is the nonce of the greeting that
    /// it answers, empty in a client's greeting.
    pub fn encode(&self, key: &Key, peer_nonce: &[u8]) -> [u8; GREETING_BYTES] {
        let mut bytes = [0; GREETING_BYTES];
        bytes[..4].copy_from_slice(MAGIC);
        bytes[4..8].copy_from_slice(&self.from.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.to.to_le_bytes());
        bytes[12..20].copy_from_slice(&self.incarnation.to_le_bytes());
        bytes[20..GREETING_BODY].copy_from_slice(&self.nonce);
        let tag = key.tag(&[b"greeting", peer_nonce, &bytes[..GREETING_BODY]]);
        bytes[GREETING_BODY..].copy_from_slice(&tag);
        bytes
    }

    /// Decodes a greeting without verifying its tag; none if it has no magic bytes.
    pub fn decode(bytes: &[u8; GREETING_BYTES]) -> Option<Greeting> {
        if &bytes[..4] != MAGIC {
            return None;
        }
        let mut nonce = Nonce::default();
        nonce.copy_from_slice(&bytes[20..GREETING_BODY]);
        Some(Greeting {
            from: read_host(bytes, 4),
            to: read_host(bytes, 8),
            incarnation: read_u64(bytes, 12),
            nonce,
        })
    }

    /// Returns whether the tag of an encoded greeting is valid; see [`Greeting::encode`].
    pub fn verify(bytes: &[u8; GREETING_BYTES], key: &Key, peer_nonce: &[u8]) -> bool {
        let (body, tag) = bytes.split_at(GREETING_BODY);
        key.verify(&[b"greeting", peer_nonce, body], tag)
    }
}

/// The key of one connection and the sequence number of its next frame.
#[derive(Debug)]
pub struct Session {
    key: Key,
    seq: u64,
}

impl Session {
    /// Derives the session from the greetings of both sides.
    pub fn new(key: &Key, client: &Greeting, server: &Greeting) -> Session {
        let key = key.derive(&[
            b"session",
            &client.nonce,
            &server.nonce,
            &client.from.to_le_bytes(),
            &server.from.to_le_bytes(),
            &client.incarnation.to_le_bytes(),
            &server.incarnation.to_le_bytes(),
        ]);
        Session { key, seq: 0 }
    }

    /// Returns the client's proof that it knows the session's key.
    pub fn proof(&self) -> Tag {
        self.key.tag(&[b"proof"])
    }

    /// Returns whether the client's proof is valid.
    pub fn verify_proof(&self, tag: &[u8]) -> bool {
        self.key.verify(&[b"proof"], tag)
    }

    /// Encodes the next frame and appends it to a buffer.
    pub fn encode(&mut self, payload: &[u8], out: &mut Vec<u8>) {
        let len = (payload.len() as u32).to_le_bytes();
        let tag = self.key.tag(&[&self.seq.to_le_bytes(), &len, payload]);
        self.seq += 1;
        out.extend_from_slice(&len);
        out.extend_from_slice(payload);
        out.extend_from_slice(&tag);
    }

    /// Returns whether the tag of the next frame is valid.
    pub fn verify(&mut self, payload: &[u8], tag: &[u8]) -> bool {
        let len = (payload.len() as u32).to_le_bytes();
        let valid = self.key.verify(&[&self.seq.to_le_bytes(), &len, payload], tag);
        self.seq += 1;
        valid
    }
}

/// Detects replayed datagrams of one sender by a sliding window of sequence numbers.
#[derive(Debug, Default)]
pub struct ReplayWindow {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` is set if `highest - n` was accepted.
    seen: u64,
}

impl ReplayWindow {
    /// Length of the window in sequence numbers.
    const BITS: u64 = u64::BITS as u64;

    /// Clears the window if the incarnation, which a handshake has proved, is another one.
    pub fn reset(&mut self, incarnation: Incarnation) {
        if self.incarnation != incarnation {
            *self = ReplayWindow { incarnation, highest: 0, seen: 0 };
        }
    }

    /// Records a datagram and returns whether to accept it. False if it was seen before, is
    /// older than the window or comes from an earlier incarnation.
    pub fn accept(&mut self, incarnation: Incarnation, seq: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        self.reset_if_later(incarnation);
        if seq > self.highest {
            let shift = seq - self.highest;
            self.seen = if shift < ReplayWindow::BITS { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.highest = seq;
            return true;
        }
        let age = self.highest - seq;
        if age >= ReplayWindow::BITS || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }

    fn reset_if_later(&mut self, incarnation: Incarnation) {
        if incarnation > self.incarnation {
            self.reset(incarnation);
        }
    }
}

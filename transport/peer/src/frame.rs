//! The bytes of datagrams, handshakes and frames.

use wire::{HostId, Incarnation};

use crate::auth::{Key, NONCE_BYTES, Nonce, TAG_BYTES, Tag};

/// The longest datagram in bytes; longer messages go by TCP.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Length of a datagram's header and tag in bytes.
pub const DATAGRAM_EXTRA: usize = DATAGRAM_HEAD + TAG_BYTES;

/// Length of a frame's header and tag in bytes.
pub const FRAME_EXTRA: usize = 4 + TAG_BYTES;

/// Length of a greeting in bytes.
pub const GREETING_BYTES: usize = GREETING_BODY + TAG_BYTES;

const MAGIC: &[u8; 4] = b"PHP1";
const DATAGRAM_HEAD: usize = 4 + 4 + 4 + 8 + 8;
const GREETING_BODY: usize = 4 + 4 + 4 + 8 + NONCE_BYTES;

fn host_at(bytes: &[u8], at: usize) -> HostId {
    HostId::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"))
}

fn long_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().expect("eight bytes"))
}

/// A message by UDP.
#[derive(Debug, Clone, Copy)]
pub struct Datagram<'a> {
    /// The sender.
    pub from: HostId,
    /// The receiver.
    pub to: HostId,
    /// The sender's run.
    pub run: Incarnation,
    /// Counts the datagrams of that run.
    pub seq: u64,
    /// The encoded message.
    pub payload: &'a [u8],
}

impl<'a> Datagram<'a> {
    /// Encodes the datagram with its tag.
    pub fn encode(&self, key: &Key) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(DATAGRAM_EXTRA + self.payload.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&self.from.to_le_bytes());
        bytes.extend_from_slice(&self.to.to_le_bytes());
        bytes.extend_from_slice(&self.run.to_le_bytes());
        bytes.extend_from_slice(&self.seq.to_le_bytes());
        bytes.extend_from_slice(self.payload);
        let tag = key.tag(&[b"datagram", &bytes]);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// Reads a datagram without checking its tag.
    pub fn decode(bytes: &'a [u8]) -> Option<Datagram<'a>> {
        if bytes.len() < DATAGRAM_EXTRA || &bytes[..4] != MAGIC {
            return None;
        }
        Some(Datagram {
            from: host_at(bytes, 4),
            to: host_at(bytes, 8),
            run: long_at(bytes, 12),
            seq: long_at(bytes, 20),
            payload: &bytes[DATAGRAM_HEAD..bytes.len() - TAG_BYTES],
        })
    }

    /// Whether the tag of an encoded datagram is right.
    pub fn verify(bytes: &[u8], key: &Key) -> bool {
        let (body, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        key.verify(&[b"datagram", body], tag)
    }
}

/// What each side of a new connection says first.
#[derive(Debug, Clone, Copy)]
pub struct Greeting {
    /// The sender.
    pub from: HostId,
    /// The receiver.
    pub to: HostId,
    /// The sender's run.
    pub run: Incarnation,
    /// A random number.
    pub nonce: Nonce,
}

impl Greeting {
    /// Encodes the greeting; `heard` is the nonce it answers, if any.
    pub fn encode(&self, key: &Key, heard: &[u8]) -> [u8; GREETING_BYTES] {
        let mut bytes = [0; GREETING_BYTES];
        bytes[..4].copy_from_slice(MAGIC);
        bytes[4..8].copy_from_slice(&self.from.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.to.to_le_bytes());
        bytes[12..20].copy_from_slice(&self.run.to_le_bytes());
        bytes[20..GREETING_BODY].copy_from_slice(&self.nonce);
        let tag = key.tag(&[b"greeting", heard, &bytes[..GREETING_BODY]]);
        bytes[GREETING_BODY..].copy_from_slice(&tag);
        bytes
    }

    /// Reads a greeting without checking its tag.
    pub fn decode(bytes: &[u8; GREETING_BYTES]) -> Option<Greeting> {
        if &bytes[..4] != MAGIC {
            return None;
        }
        let mut nonce = Nonce::default();
        nonce.copy_from_slice(&bytes[20..GREETING_BODY]);
        Some(Greeting {
            from: host_at(bytes, 4),
            to: host_at(bytes, 8),
            run: long_at(bytes, 12),
            nonce,
        })
    }

    /// Whether the tag of an encoded greeting is right.
    pub fn verify(bytes: &[u8; GREETING_BYTES], key: &Key, heard: &[u8]) -> bool {
        let (body, tag) = bytes.split_at(GREETING_BODY);
        key.verify(&[b"greeting", heard, body], tag)
    }
}

/// The key of one connection and the count of its frames.
#[derive(Debug)]
pub struct Session {
    key: Key,
    seq: u64,
}

impl Session {
    /// Derives the session of two greetings.
    pub fn new(key: &Key, client: &Greeting, server: &Greeting) -> Session {
        let key = key.derive(&[
            b"session",
            &client.nonce,
            &server.nonce,
            &client.from.to_le_bytes(),
            &server.from.to_le_bytes(),
            &client.run.to_le_bytes(),
            &server.run.to_le_bytes(),
        ]);
        Session { key, seq: 0 }
    }

    /// The client's proof that it takes part in this session.
    pub fn proof(&self) -> Tag {
        self.key.tag(&[b"proof"])
    }

    /// Whether the client's proof is right.
    pub fn verify_proof(&self, tag: &[u8]) -> bool {
        self.key.verify(&[b"proof"], tag)
    }

    /// Appends the next frame to a buffer.
    pub fn encode(&mut self, payload: &[u8], out: &mut Vec<u8>) {
        let len = (payload.len() as u32).to_le_bytes();
        let tag = self.key.tag(&[&self.seq.to_le_bytes(), &len, payload]);
        self.seq += 1;
        out.extend_from_slice(&len);
        out.extend_from_slice(payload);
        out.extend_from_slice(&tag);
    }

    /// Checks the next frame.
    pub fn verify(&mut self, payload: &[u8], tag: &[u8]) -> bool {
        let len = (payload.len() as u32).to_le_bytes();
        let good = self.key.verify(&[&self.seq.to_le_bytes(), &len, payload], tag);
        self.seq += 1;
        good
    }
}

/// Recognises datagrams that came before.
#[derive(Debug, Default)]
pub struct Window {
    run: Incarnation,
    top: u64,
    seen: u64,
}

impl Window {
    const BITS: u64 = u64::BITS as u64;

    /// Starts again for the run that a handshake proved.
    pub fn restart(&mut self, run: Incarnation) {
        if self.run != run {
            *self = Window { run, top: 0, seen: 0 };
        }
    }

    /// Whether a datagram is new; it is not new the second time.
    pub fn accept(&mut self, run: Incarnation, seq: u64) -> bool {
        if run < self.run {
            return false;
        }
        self.restart_if_later(run);
        if seq > self.top {
            let shift = seq - self.top;
            self.seen = if shift < Window::BITS { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.top = seq;
            return true;
        }
        let age = self.top - seq;
        if age >= Window::BITS || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }

    fn restart_if_later(&mut self, run: Incarnation) {
        if run > self.run {
            self.restart(run);
        }
    }
}

//! Malformed files are rejected with an error on a valid line, without a panic.

use std::{fs, path::Path};

use decl::{Declaration, FileError, FileKind, Settings};
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 3;
const ROUNDS: u64 = 300;
const PIECES: [&str; 18] = [
    "[service]",
    "[",
    "]",
    "[call ",
    "=",
    " = ",
    ":",
    "\n",
    "\r\n",
    "\\\n",
    "#",
    ";",
    "name",
    "\u{feff}",
    "\0",
    "é",
    "\"",
    "'",
];

fn examples() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    [
        "maison/stylist-notes.ini",
        "derwent/system.ini",
        "maison/fittings.ini",
        "derwent/hosts/04.ini",
    ]
    .iter()
    .map(|it| fs::read_to_string(root.join(it)).unwrap())
    .collect()
}

/// Parses a text as both kinds of file. Every error must have a line and a message.
fn parse(text: &str) {
    let lines = text.lines().count().max(1);
    let check = |errors: Vec<FileError>| {
        assert!(!errors.is_empty());
        for error in errors {
            assert!((1..=lines + 1).contains(&error.line), "{error} in {text:?}");
            assert!(!error.message.is_empty());
        }
    };
    let _ = Declaration::parse("f", text).map_err(check);
    let _ = Settings::parse("f", text).map_err(check);
    FileKind::detect(text);
}

fn pick(rng: &mut Gen, len: usize) -> usize {
    usize::arbitrary(rng) % len
}

#[test]
fn truncated_files() {
    for text in examples() {
        for end in (0..text.len()).filter(|it| text.is_char_boundary(*it)) {
            parse(&text[..end]);
            parse(&text[end..]);
        }
    }
}

#[test]
fn flipped_bits() {
    let mut rng = Gen::from_size_and_seed(100, SEED);
    for text in examples() {
        for _ in 0..ROUNDS {
            let mut bytes = text.clone().into_bytes();
            for _ in 0..1 + pick(&mut rng, 4) {
                let pos = pick(&mut rng, bytes.len());
                bytes[pos] ^= 1 << pick(&mut rng, 8);
            }
            parse(&String::from_utf8_lossy(&bytes));
        }
    }
}

#[test]
fn inserted_and_moved_pieces() {
    let mut rng = Gen::from_size_and_seed(100, SEED);
    for text in examples() {
        for _ in 0..ROUNDS {
            let mut lines: Vec<&str> = text.lines().collect();
            let (from, to) = (pick(&mut rng, lines.len()), pick(&mut rng, lines.len()));
            lines.swap(from, to);
            lines.insert(from, rng.choose(&PIECES).unwrap());
            let mut text = lines.join("\n");
            let pos = pick(&mut rng, text.len());
            if text.is_char_boundary(pos) {
                text.insert_str(pos, rng.choose(&PIECES).unwrap());
            }
            parse(&text);
        }
    }
}

#[test]
fn random_texts() {
    let mut rng = Gen::from_size_and_seed(200, SEED);
    for _ in 0..ROUNDS {
        parse(&String::arbitrary(&mut rng));
        let pieces: Vec<&str> =
            (0..pick(&mut rng, 30)).map(|_| *rng.choose(&PIECES).unwrap()).collect();
        parse(&pieces.concat());
    }
}

#[test]
fn oversize_files() {
    let long = "x".repeat(3 * 1024 * 1024);
    for text in [&long, &format!("[service]\nname = {long}\n"), &"[a]\n".repeat(1_000_000)] {
        assert_eq!(Declaration::parse("f", text).unwrap_err().len(), 1);
        assert_eq!(Settings::parse("f", text).unwrap_err().len(), 1);
    }
    let many = "[a]\n".repeat(100_000);
    assert_eq!(Declaration::parse("f", &many).unwrap_err().len(), 99_999);
}

//! The table of error kinds is complete and consistent.

use std::collections::HashSet;

use wire::{ErrorKind, Ran, Retry};

#[test]
fn each_kind_finds_its_own_row() {
    for row in ErrorKind::TABLE {
        assert_eq!(row.kind.info(), row);
    }
}

#[test]
fn codes_are_unique() {
    let codes: HashSet<_> = ErrorKind::TABLE.iter().map(|row| row.code).collect();
    assert_eq!(codes.len(), ErrorKind::TABLE.len());
}

#[test]
fn another_address_is_advised_only_when_nothing_ran() {
    for row in ErrorKind::TABLE {
        if row.retry == Retry::Elsewhere {
            assert_eq!(row.ran, Ran::No, "{}", row.code);
        }
    }
}

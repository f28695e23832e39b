//! Tests which configuration, versions and holders are in force after commands, and that a
//! configuration is unchanged after it is packed and unpacked.

use bytes::Bytes;
use desired::{Applied, Command, DefaultSoftware, Desired, MAX_DEPARTURES};
use wire::{HostId, Incarnation, Suspect};

fn replace(number: u64, body: &'static str) -> Command {
    Command::Replace { number, body: Bytes::from_static(body.as_bytes()) }
}

fn body(state: &Desired) -> &[u8] {
    &state.config.as_ref().expect("a configuration is in force").body
}

#[test]
fn the_highest_number_stays_in_force() {
    let mut state = Desired::default();
    assert_eq!(state.apply(1, replace(7, "seven")), Applied::Config);
    assert_eq!(state.apply(2, replace(5, "five")), Applied::Unchanged);
    assert_eq!(body(&state), b"seven");
    assert_eq!(state.apply(3, replace(9, "nine")), Applied::Config);
    assert_eq!(body(&state), b"nine");
}

#[test]
fn other_content_under_the_number_in_force_changes_nothing() {
    let mut state = Desired::default();
    state.apply(1, replace(7, "first"));
    assert!(state.is_redundant(&replace(7, "second")));
    assert_eq!(state.apply(2, replace(7, "second")), Applied::Unchanged);
    assert_eq!(body(&state), b"first");
}

#[test]
fn versions_never_decrease() {
    let mut state = Desired::default();
    let set = |version| Command::Version { adapter: "m/a3".to_owned(), version };
    assert_eq!(state.apply(1, set(3)), Applied::Version);
    assert_eq!(state.apply(2, set(2)), Applied::Unchanged);
    assert!(state.is_redundant(&set(3)));
    assert_eq!(state.versions["m/a3"], 3);
}

#[test]
fn fences_grow_with_the_log() {
    let mut state = Desired::default();
    state.apply(4, hold(1, 10));
    let first = state.holders["d"].fence;
    state.apply(9, hold(2, 11));
    assert!(state.holders["d"].fence > first);
}

fn hold(host: HostId, incarnation: Incarnation) -> Command {
    Command::AssignHolder { domain: "d".to_owned(), host, incarnation }
}

/// A holder begins without a wait only if no other host can have sent orders shortly before.
#[test]
fn a_holder_waits_unless_no_other_host_can_have_sent_orders() {
    let mut state = Desired::default();
    let mut waits = Vec::new();
    let mut apply = |index, command| {
        state.apply(index, command);
        waits.push(state.holders["d"].must_wait);
    };
    apply(1, hold(1, 10));
    apply(2, hold(1, 11));
    apply(3, hold(2, 20));
    apply(4, hold(2, 21));
    apply(5, Command::StartOrders { domain: "d".to_owned(), fence: 3 });
    apply(6, Command::StartOrders { domain: "d".to_owned(), fence: 4 });
    apply(7, hold(2, 22));
    apply(8, hold(1, 12));
    assert_eq!(waits, [false, false, true, true, true, false, false, true]);
}

#[test]
fn a_packed_document_is_small_and_unpacks_unchanged() {
    let route = r#"{"name":"r-1","host":"a.example","pathPrefix":"/one/","service":"s"},"#;
    let document = route.repeat(300);
    let packed = desired::pack(document.as_bytes());
    assert!(packed.len() * 10 < document.len(), "{} of {} bytes", packed.len(), document.len());
    assert_eq!(desired::unpack(&packed).as_deref(), Some(document.as_bytes()));
    assert_eq!(desired::unpack(b"{not packed"), None);
}

/// Guards against a stored state of an earlier release that can't be read any more: it ends before
/// the departures, the list of hosts, the software versions, or the quarantined suspects.
#[test]
fn states_of_earlier_releases_are_read() {
    let mut state = Desired::default();
    state.apply(1, replace(7, "seven"));
    state.apply(4, hold(1, 10));
    let bytes = wire::encode(&state);
    let (former, empty_tables) = bytes.split_at(bytes.len() - 4);
    assert_eq!(empty_tables, [0, 0, 0, 0]);
    assert_eq!(Desired::decode(former).expect("without suspects"), state);
    assert_eq!(Desired::decode(&bytes[..bytes.len() - 3]).expect("without versions"), state);
    assert_eq!(Desired::decode(&bytes[..bytes.len() - 2]).expect("without hosts"), state);
    assert_eq!(Desired::decode(&bytes[..bytes.len() - 1]).expect("without departures"), state);
    assert_eq!(Desired::decode(&bytes).expect("the present form"), state);
    assert!(Desired::decode(&former[..former.len() - 1]).is_err());
}

#[test]
fn a_quarantine_only_grows_until_its_release() {
    let mut state = Desired::default();
    let suspect = Suspect::Request(7);
    let set = |failed_trials| Command::Quarantine { suspect, failed_trials };
    assert_eq!(state.apply(1, set(2)), Applied::Quarantine);
    assert!(state.is_redundant(&set(1)));
    assert_eq!(state.apply(2, set(1)), Applied::Unchanged);
    assert_eq!(state.quarantined[&suspect].failed_trials, 2);
    state.apply(3, Command::Release { suspect });
    assert!(state.quarantined.is_empty());
}

/// Guards against a log of an earlier release that is read as other commands: the number of a variant
/// is stored.
#[test]
fn stored_commands_keep_their_numbers() {
    let suspect = Suspect::Request(7);
    let software = DefaultSoftware { default: 1, records_all: false };
    let commands = [
        replace(7, "seven"),
        Command::Version { adapter: "m/a".to_owned(), version: 2 },
        hold(1, 10),
        Command::StartOrders { domain: "d".to_owned(), fence: 3 },
        Command::Quarantine { suspect, failed_trials: 1 },
        Command::Release { suspect },
        Command::SetSoftware { service: "s".to_owned(), software },
        Command::ListHosts { added: vec![1], dropped: vec![2] },
        Command::Depart { target: "t".to_owned(), started_at: 5 },
        Command::DropDepartures { up_to: 6 },
    ];
    let numbers: Vec<u8> = commands.iter().map(|it| wire::encode(it)[0]).collect();
    assert_eq!(numbers, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
}

#[test]
fn hosts_are_listed_until_they_are_dropped() {
    let mut state = Desired::default();
    let list = Command::ListHosts { added: vec![1, 2], dropped: Vec::new() };
    assert!(!state.is_redundant(&list));
    assert_eq!(state.apply(1, list.clone()), Applied::Hosts);
    assert!(state.is_redundant(&list));
    state.apply(2, Command::ListHosts { added: vec![3], dropped: vec![1] });
    assert_eq!(state.hosts, [2, 3].into());
}

/// Guards against a departure that is undone by one of a former process, and against departures that are dropped
/// in the order of names, or kept without a bound.
#[test]
fn departures_are_kept_by_start_and_dropped_by_age() {
    let mut state = Desired::default();
    let depart = |number: usize, started_at| {
        let target = format!("t{:05}", MAX_DEPARTURES - number);
        Command::Depart { target, started_at }
    };
    assert_eq!(state.apply(1, depart(0, 7)), Applied::Departure);
    assert!(state.is_redundant(&depart(0, 7)) && state.is_redundant(&depart(0, 6)));
    assert_eq!(state.apply(2, depart(0, 6)), Applied::Unchanged);
    assert!(!state.is_redundant(&depart(0, 8)));
    for number in 1..=MAX_DEPARTURES {
        state.apply(2 + number as u64, depart(number, 7));
    }
    assert_eq!(state.departures.len(), MAX_DEPARTURES);
    assert!(!state.is_redundant(&depart(0, 7)), "the earliest was dropped");
    assert!(state.is_redundant(&depart(1, 7)));
    let drop = Command::DropDepartures { up_to: 4 };
    assert!(!state.is_redundant(&drop));
    state.apply(9000, drop.clone());
    assert!(state.is_redundant(&drop) && state.is_redundant(&depart(3, 7)));
    assert_eq!(state.departures.len(), MAX_DEPARTURES - 2);
}

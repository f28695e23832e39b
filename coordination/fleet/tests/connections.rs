//! Which connections of clients are closed when there are too many.

use std::time::Duration;

use fleet::{Connections, Listener, NoConnection, Resources};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_connection_that_waits_longest_gives_way() {
    let mut table = Connections::new(3);
    let (first, second) = (table.open(at(0)).unwrap().0, table.open(at(1)).unwrap().0);
    let third = table.open(at(2)).unwrap().0;
    table.record_activity(at(5), first);
    table.serve(second);
    let (fourth, closed) = table.open(at(6)).unwrap();
    assert_eq!((closed, table.count()), (Some(third), 3));
    // A closed connection that still reports itself isn't counted again.
    table.wait(at(7), third);
    table.serve(first);
    table.serve(fourth);
    assert_eq!(table.open(at(8)), Err(NoConnection));
    table.wait(at(9), second);
    assert_eq!(table.open(at(9)).unwrap().1, Some(second));
}

/// Guards against callers who are shut out. Load pattern: a crowd opens connections without end, and an ordinary
/// caller sends one request after the other on a connection of its own.
#[test]
fn a_caller_who_is_served_is_not_closed_by_a_crowd() {
    let mut table = Connections::new(20);
    for step in 0..1000 {
        let now = at(10 * step);
        let (caller, _) = table.open(now).expect("the crowd's connections give way");
        table.serve(caller);
        for _ in 0..200 {
            let (_, closed) = table.open(now).expect("there are others of the crowd");
            assert_ne!(closed, Some(caller), "step {step}");
        }
        table.wait(now, caller);
    }
    assert_eq!(table.count(), 20);
}

#[test]
fn the_client_that_takes_nothing_for_the_longest_time_is_closed() {
    let mut table = Connections::new(10);
    let [first, second, third, fourth] = [0, 1, 2, 3].map(|ms| table.open(at(ms)).unwrap().0);
    for id in [first, second, third] {
        table.record_blocked(id, true);
    }
    table.serve(first);
    table.record_activity(at(500), third);
    assert_eq!(table.remove_stalled(at(900)), None);
    assert_eq!(table.remove_stalled(at(1200)), Some(second));
    assert_eq!(table.remove_stalled(at(1200)), None, "the first is served, the third moves");
    table.record_blocked(third, false);
    table.wait(at(1300), first);
    assert_eq!(table.remove_stalled(at(9000)), Some(first));
    assert_eq!((table.remove_stalled(at(9000)), table.count()), (None, 2), "{third}, {fourth}");
}

/// Guards against limits that together are more than the machine has: those of all listeners, beside the
/// descriptors of other files.
#[test]
fn the_listeners_share_the_machine() {
    let all = [
        Listener::Entry,
        Listener::Control,
        Listener::Directory,
        Listener::Ready,
        Listener::Metrics,
    ];
    for (memory, descriptors) in [(64, 500), (160, 4100), (260, 4100), (4000, 4100)] {
        let resources = Resources { memory: memory * 1_000_000, descriptors };
        let counts = all.map(|it| resources.connections(it));
        let sum: usize = counts.iter().sum();
        assert!(sum <= (descriptors - 200) * 3 / 4, "{memory} MB: {counts:?}");
        let bodies = resources.body_memory() + resources.call_memory();
        let answers = resources.answer_memory() + resources.report_memory();
        let rest = resources.memory - bodies - answers - sum * 40 * 1024;
        assert!(rest * 5 >= resources.memory, "{memory} MB: {rest} bytes for the rest");
    }
}

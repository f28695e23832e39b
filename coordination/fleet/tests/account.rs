//! A holder's account of what its targets hold, while reports and orders are late or lost, versions
//! change in place, targets restart and holders change.

mod engines;

use std::{collections::BTreeMap, ops::RangeInclusive, time::Duration};

use engines::{Faults, World, model, ms, tick};
use fleet::{Demand, Engine, OrderOutcome, PlacementStep, PlacementTable, Report};
use wire::{FeedChange, TargetRecord, TargetState};

const ADAPTER_SLOTS: usize = 6;
const RUN: Duration = ms(40_000);
const NOW: Duration = ms(10_000);

fn one_model() -> Engine {
    Engine {
        slots: 64,
        weights_mb: 200.0,
        adapter_slots: ADAPTER_SLOTS,
        loads_per_s: 3.0,
        models: vec![model("m", 100.0)],
    }
}

/// Reports and orders are late, and orders get no answer; `executed` is the share of these that is carried
/// out at once.
fn late_and_lost(executed: f64) -> Faults {
    Faults {
        report_delay: ms(700),
        order_delay: ms(300),
        unanswered: 0.3,
        executed,
        lost: 0.3,
        ..Faults::default()
    }
}

/// Returns the seeds: `ACCOUNT_SEEDS`, as `FIRST-LAST`, or 0 to 19.
fn seeds() -> RangeInclusive<u64> {
    let range = std::env::var("ACCOUNT_SEEDS").unwrap_or_else(|_| "0-19".to_owned());
    let (first, last) = range.split_once('-').expect("FIRST-LAST");
    first.parse().expect("a number")..=last.parse().expect("a number")
}

/// Two targets with one model; runs all seeds and checks that no target is overfilled.
fn check(name: &str, faults: &Faults) {
    let mut overfilled = Vec::new();
    for seed in seeds() {
        let mut world = World::new(seed, one_model(), &[&["m"], &["m"]], faults.clone());
        world.run(RUN, &["m"]);
        overfilled.extend(world.overfilled().into_iter().map(|it| format!("seed {seed}, {it}")));
    }
    assert!(overfilled.is_empty(), "{name}: {} targets: {overfilled:#?}", overfilled.len());
}

/// Guards against a load into a slot that is still taken, because a report that was made before an
/// order, and arrived long after it, was believed.
#[test]
fn late_reports_do_not_overfill() {
    for report_delay in [300, 700, 1000, 3000] {
        let faults = Faults { report_delay: ms(report_delay), ..Faults::default() };
        check(&format!("up to {report_delay} ms"), &faults);
    }
}

/// Guards against the same while orders get no answer and are carried out late, or never.
#[test]
fn late_reports_and_unanswered_orders_do_not_overfill() {
    for executed in [0.0, 0.7] {
        check(&format!("{executed} executed"), &late_and_lost(executed));
    }
}

/// Guards against a slot that counts as free because the load of a new version in place was undone: the
/// former version keeps it.
#[test]
fn unanswered_loads_of_new_versions_do_not_overfill() {
    for executed in [0.0, 0.7] {
        let faults = Faults { unanswered: 0.3, executed, versions: 0.05, ..Faults::default() };
        check(&format!("{executed} executed"), &faults);
    }
}

/// Guards against slots that are lost for good: after orders without an answer, adapters were kept as
/// being loaded or unloaded for ever.
#[test]
fn wanted_adapters_are_placed_once_nothing_is_lost() {
    for executed in [0.0, 0.7] {
        let mut unplaced = Vec::new();
        for seed in seeds() {
            let faults = Faults {
                versions: 0.02,
                requests: 0.02,
                restarts: 0.001,
                holders: 0.002,
                ..late_and_lost(executed)
            };
            let mut world = World::new(seed, one_model(), &[&["m"], &["m"]], faults);
            world.run(ms(20_000), &["m"]);
            world.faults = Faults::default();
            let wanted: Vec<String> = (0..18).map(|it| format!("m/a{}", it * 11)).collect();
            let late = world.unplaced(&wanted, ms(10_000));
            unplaced.extend(late.into_iter().map(|it| format!("seed {seed}: {it}")));
        }
        assert!(unplaced.is_empty(), "{executed} executed: {} of 360", unplaced.len());
    }
}

/// Guards against a count that forgets what a former holder ordered, what requests keep at a target, and
/// what a restarted target no longer holds.
#[test]
fn restarts_and_changes_of_holders_do_not_overfill() {
    let faults = Faults {
        report_delay: ms(1000),
        order_delay: ms(400),
        unanswered: 0.2,
        executed: 0.3,
        lost: 0.3,
        requests: 0.05,
        versions: 0.02,
        restarts: 0.001,
        holders: 0.002,
    };
    check("all faults", &faults);
}

/// Guards against a second model beside one that is still being loaded: a report doesn't name it, and
/// its load takes longer than reports lag.
#[test]
fn models_that_are_being_loaded_keep_their_memory() {
    let mut overfilled = Vec::new();
    for seed in seeds() {
        let engine = Engine { models: vec![model("m", 100.0), model("n", 150.0)], ..one_model() };
        let faults = Faults {
            report_delay: ms(700),
            order_delay: ms(300),
            unanswered: 0.2,
            executed: 0.5,
            restarts: 0.002,
            ..Faults::default()
        };
        let mut world = World::new(seed, engine, &[&["m"], &["n"], &[], &[]], faults);
        world.run(RUN, &["m", "n"]);
        overfilled.extend(world.overfilled().into_iter().map(|it| format!("seed {seed}, {it}")));
        world.faults = Faults::default();
        let wanted: Vec<String> = (0..8).map(|it| format!("m/a{}", it * 11)).collect();
        let late = world.unplaced(&wanted, ms(10_000));
        overfilled.extend(late.into_iter().map(|it| format!("seed {seed}, unplaced: {it}")));
    }
    assert!(overfilled.is_empty(), "{overfilled:#?}");
}

/// Guards against memory that is counted twice: adapters of two models share what the models leave.
#[test]
fn two_models_at_one_target_share_its_memory() {
    let mut overfilled = Vec::new();
    for seed in seeds() {
        let engine = Engine {
            weights_mb: 254.0,
            models: vec![model("m", 100.0), model("n", 150.0)],
            ..one_model()
        };
        let faults = Faults {
            report_delay: ms(700),
            unanswered: 0.3,
            executed: 0.5,
            versions: 0.02,
            ..Faults::default()
        };
        let mut world = World::new(seed, engine, &[&["m", "n"], &["m", "n"]], faults);
        world.run(RUN, &["m", "n"]);
        overfilled.extend(world.overfilled().into_iter().map(|it| format!("seed {seed}, {it}")));
    }
    assert!(overfilled.is_empty(), "{overfilled:#?}");
}

/// Returns a table with one target, and the target's record.
fn table_with_target() -> (PlacementTable, TargetRecord) {
    let mut table = engines::placement_table();
    table.configure(BTreeMap::from([("s".to_owned(), one_model())]), BTreeMap::new());
    let record = engines::record("t0", 1);
    table.update_target(NOW, &record);
    (table, record)
}

fn report(started_at: u64, accepted_orders: u64) -> Report {
    let loaded = vec![("m".to_owned(), 1)];
    Report { loaded, accepted_orders, started_at: Some(started_at), ..Report::default() }
}

/// Guards against a restarted target that is taken for silent, because the answer to a report request to
/// its former process arrives after its first heartbeat.
#[test]
fn a_report_of_the_former_process_does_not_silence_a_target() {
    let (mut table, record) = table_with_target();
    let request = tick(&mut table, NOW).0.expect("a report is requested");
    table.update_target(NOW, &TargetRecord { started_at: 2, ..record });
    table.handle_report(NOW, "t0", request, Some(&report(1, 5)));
    let silent = table.take_steps().into_iter().any(|step| {
        matches!(step, PlacementStep::Publish(FeedChange::Target(_, it)) if it.state == TargetState::Silent)
    });
    assert!(!silent);
    assert!(tick(&mut table, NOW).0.is_some(), "the present process is asked for its report");
}

/// Guards against an order that counts as refused or accepted because the answer to an order to the
/// target's former process arrives while it is open.
#[test]
fn an_answer_to_an_order_of_the_former_process_is_ignored() {
    let (mut table, record) = table_with_target();
    let request = tick(&mut table, NOW).0.expect("a report is requested");
    table.handle_report(NOW, "t0", request, Some(&report(1, 0)));
    table.record_demand(NOW, 1, "s", Demand::anywhere("m/a1"), 1);
    let former = tick(&mut table, NOW).1.expect("an adapter is ordered");
    table.update_target(NOW, &TargetRecord { started_at: 2, ..record });
    let request = tick(&mut table, NOW).0.expect("a report is requested");
    table.handle_report(NOW, "t0", request, Some(&report(2, 0)));
    let order = tick(&mut table, NOW).1.expect("the adapter is ordered again");
    table.handle_outcome(NOW, &former, OrderOutcome::NotSent);
    table.handle_outcome(NOW, &order, OrderOutcome::Accepted);
    table.record_demand(NOW, 1, "s", Demand::anywhere("m/a2"), 1);
    let next = tick(&mut table, NOW).1.expect("the next one is ordered");
    assert_eq!((next.adapter.as_deref(), next.expected_orders), (Some("a2"), 1));
}

/// Guards against a restarted target that is dropped because news of its former process arrives late.
#[test]
fn late_news_of_the_former_process_does_not_remove_a_target() {
    let (mut table, record) = table_with_target();
    table.update_target(NOW, &TargetRecord { started_at: 2, ..record.clone() });
    for state in [TargetState::Ready, TargetState::Leaving, TargetState::Gone] {
        table.update_target(NOW, &TargetRecord { state, ..record.clone() });
    }
    let request = tick(&mut table, NOW).0.expect("a report is requested");
    table.handle_report(NOW, "t0", request, Some(&report(2, 0)));
    table.record_demand(NOW, 1, "s", Demand::anywhere("m/a1"), 1);
    assert!(tick(&mut table, NOW).1.is_some());
}

/// Guards against a slot that a former holder's late order takes: an unload that is answered as done may
/// have found the adapter gone, and then that order may still be accepted with its number.
#[test]
fn the_first_unload_of_a_holder_frees_no_slot_before_a_report() {
    let (mut table, _) = table_with_target();
    let request = tick(&mut table, NOW).0.expect("a report is requested");
    let mut full = report(1, 4);
    full.loaded.extend((0..ADAPTER_SLOTS).map(|it| (format!("m/old{it}"), 1)));
    table.handle_report(NOW, "t0", request, Some(&full));
    table.record_demand(NOW, 1, "s", Demand::anywhere("m/a1"), 1);
    let unload = tick(&mut table, NOW).1.expect("an adapter is evicted");
    assert!(!unload.load);
    table.handle_outcome(NOW, &unload, OrderOutcome::Done);
    let (request, order) = tick(&mut table, NOW);
    assert!(order.is_none(), "{order:?}");
    // The former holder's order was accepted with the number of the unload.
    let mut late = report(1, 5);
    late.loaded.extend(full.loaded.into_iter().filter(|(name, _)| *name != unload.name()).skip(1));
    late.pending.push("m/late".to_owned());
    table.handle_report(NOW, "t0", request.expect("a report is requested"), Some(&late));
    let order = tick(&mut table, NOW).1.expect("an order");
    assert!(!order.load, "all slots are taken: {order:?}");
}

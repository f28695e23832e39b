//! Measures the processor time of a holder's placement table per tick of 50 ms, with its reports and
//! the answers to its orders: `cargo bench -p fleet --bench placement`.

#[path = "../tests/engines/mod.rs"]
mod engines;

use std::time::Duration;

use engines::{Faults, World, model, ms};
use fleet::Engine;

/// Time between two ticks of a host.
const TICK: Duration = ms(50);
/// Ticks that are measured.
const TICKS: u32 = 400;
/// Adapters that requests wait for, each second.
const DEMANDS_PER_S: u64 = 40;

fn main() {
    println!(
        "targets | us a tick at rest | us a tick with {DEMANDS_PER_S} wanted adapters a second"
    );
    for targets in [4, 47, 556] {
        println!("{targets} | {:.0} | {:.0}", measure(targets, 0), measure(targets, DEMANDS_PER_S));
    }
}

/// Returns the microseconds a tick of a table of full targets takes.
fn measure(targets: usize, demands_per_s: u64) -> f64 {
    let engine = Engine {
        slots: 64,
        weights_mb: 45_000.0,
        adapter_slots: 20,
        loads_per_s: 3.0,
        models: vec![model("m", 42_700.0)],
    };
    let held: Vec<&[&str]> = vec![&["m"]; targets];
    let faults = Faults { report_delay: ms(20), order_delay: ms(5), ..Faults::default() };
    let mut world = World::new(1, engine, &held, faults);
    world.tick = TICK;
    world.fill(20);
    let (mut next, mut due) = (0, Duration::ZERO);
    world.spent = Duration::ZERO;
    for _ in 0..TICKS {
        while demands_per_s > 0 && due < world.now {
            due = due.max(world.now - TICK) + Duration::from_secs(1) / demands_per_s as u32;
            next += 1;
            world.demand(&format!("m/a{next}"));
        }
        world.step();
    }
    world.spent.as_secs_f64() * 1e6 / f64::from(TICKS)
}

//! Founding, replication, and what a quiet group does.

mod harness;

use std::time::Duration;

use harness::World;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn groups_of_each_size_found_and_commit() {
    for voters in [1, 2, 3, 5] {
        let mut world = World::new(7, voters, 1);
        world.elect();
        for i in 0..120 {
            world.propose(&format!("entry {i}"));
            world.run(SECOND / 50);
        }
        world.run(SECOND);
        assert_eq!(world.data().len(), 120, "{voters} voters");
        world.check_converged();
    }
}

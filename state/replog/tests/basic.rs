//! Founding and replication without faults.

mod harness;

use std::time::Duration;

use harness::Cluster;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn groups_of_each_size_found_and_commit() {
    for voters in [1, 2, 3, 5] {
        let mut cluster = Cluster::new(7, voters, 1);
        cluster.await_leader();
        for i in 0..120 {
            cluster.propose(&format!("entry {i}"));
            cluster.run(SECOND / 50);
        }
        cluster.run(SECOND);
        assert_eq!(cluster.data().len(), 120, "{voters} voters");
        cluster.check_converged();
    }
}

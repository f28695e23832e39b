//! Declarations for the tests, and caller requests that match them.

use std::time::Duration;

use bytes::Bytes;
use node::CallerRequest;

use super::{Cluster, Layout, WALL_START_MS};

/// Returns a caller's model request.
pub fn completion(model: &str, prompt: &str) -> CallerRequest {
    CallerRequest {
        caller: "stylist".to_owned(),
        service: None,
        call: None,
        model: Some(model.to_owned()),
        deadline: None,
        key: None,
        key_made_ms: None,
        stream: false,
        body: Bytes::from(prompt.to_owned()),
    }
}

/// Returns a caller's non-idempotent booking call with an idempotency key.
pub fn booking(key: &str, body: &str) -> CallerRequest {
    CallerRequest {
        caller: "manager".to_owned(),
        service: Some("booking".to_owned()),
        call: Some("pay".to_owned()),
        model: None,
        deadline: None,
        key: Some(key.to_owned()),
        key_made_ms: Some(WALL_START_MS),
        stream: false,
        body: Bytes::from(body.to_owned()),
    }
}

pub const NOTES: &str = "[service]\nname = notes\nversion = 1\nkind = model\nmodel = base\n\
[adapters]\na = v1\nb = v1\nc = v1\n\
[call note]\npath = /v1/completions\nurgency = high\nidempotent = yes\ndeadline = 20s\n";

pub const BOOKING: &str = "[service]\nname = booking\nversion = 1\nkind = plain\n\
[call pay]\npath = /pay\nurgency = high\nidempotent = no\ndeadline = 10s\n\
[call read]\npath = /read\nurgency = normal\nidempotent = yes\ndeadline = 10s\n";

/// Starts hosts in three failure domains, publishes the test declarations and waits until they are
/// in force.
pub fn ready(hosts: u32, voters: u32) -> Cluster {
    ready_in(Layout { hosts, voters, domains: 3 })
}

/// Does what [`ready`] does, with a given number of failure domains.
pub fn ready_in(layout: Layout) -> Cluster {
    let mut cluster = Cluster::new(layout);
    let tag = cluster.publish(1, &[("notes.ini", NOTES), ("booking.ini", BOOKING)]);
    let done = cluster.run_until(Duration::from_secs(20), |it| it.published.contains_key(&tag));
    assert!(done, "the publish did not end: {:?}", cluster.node(1).status(cluster.now));
    assert!(cluster.published[&tag].is_ok(), "{:?}", cluster.published[&tag]);
    cluster
}

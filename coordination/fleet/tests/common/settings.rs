//! Settings and configuration of the simulated hosts.

use std::{collections::BTreeMap, time::Duration};

use fleet::{Bounds, Config, Engine, Limits, Model, RequestKind, Route, Service, Settings};
use wire::HostId;

use super::ms;

/// Retries that all hosts together may send in a window beside a share of the requests.
pub const RETRY_ALLOWANCE: f64 = 60.0;

fn bounds() -> Bounds {
    Bounds {
        shutdown_grace: ms(8000),
        config_deadline: ms(2000),
        version_deadline: ms(5000),
        lease: ms(3000),
        retry_ratio: 0.2,
        retry_window: ms(10_000),
        retry_allowance: RETRY_ALLOWANCE,
        load_window: ms(5000),
        entry_ttl: ms(5000),
    }
}

pub fn settings(host: HostId, seeds: &[HostId], first_start: bool, disk: bool) -> Settings {
    let addr = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    Settings {
        name: format!("h{host}"),
        host,
        domain: format!("d{}", host % 3),
        entry: addr(1),
        ready: None,
        control: Some(addr(2)),
        directory: None,
        peer_port: 3,
        relay_port: 5,
        metrics_port: 4,
        seeds: seeds.to_vec(),
        first_start,
        data_dir: disk.then(|| "data".into()),
        resources: fleet::Resources::default(),
        cpu_millis: 1000,
        tolerated_losses: 1,
        heartbeat: ms(1200),
        bounds: bounds(),
    }
}

pub fn config() -> Config {
    let limits = Limits { head_bytes: 1000, body_bytes: 1000, idle: ms(15_000) };
    let model = Model { name: "m".to_owned(), weights_mb: 100.0, adapter_mb: 1.0 };
    let engine = Engine {
        slots: 64,
        weights_mb: 200.0,
        adapter_slots: 6,
        loads_per_s: 3.0,
        models: vec![model],
    };
    let service = Service { name: "s".to_owned(), engine: Some(engine) };
    let services = BTreeMap::from([("s".to_owned(), service)]);
    let route = Route {
        name: "r".to_owned(),
        host: "known".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Repeatable,
        timeout: ms(1000),
        latency_objective: ms(500),
        max_pause: Duration::ZERO,
        priority: 0,
        attempts: 2,
        split: vec![("s".to_owned(), 1)],
    };
    Config { number: 1, routes: vec![route], services, limits }
}

//! Target views, requests and a simulated engine for the tests.

#![allow(dead_code)]

use std::time::Duration;

use admit::{QueueLimits, QueuedRequest};
use place::{PolicySettings, Resident, TargetView};
use wire::{Pin, TargetKind, Urgency};

pub fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

pub fn settings() -> PolicySettings {
    PolicySettings {
        bounds: QueueLimits { max_total: 2_000, max_per_caller: 2_000 },
        stall: 1.0,
        batch: 0.5,
        load: Duration::from_millis(250),
        seed: 1,
    }
}

pub fn engine(id: u32, batch: u32, resident: Vec<Resident>) -> TargetView {
    TargetView {
        id,
        domain: "north".into(),
        kind: TargetKind::Engine { model: "m".into() },
        slots: 2,
        batch,
        running: 0,
        external: 0,
        open: true,
        exclusive: false,
        resident,
    }
}

pub fn idle(adapter: u32) -> Resident {
    Resident { adapter, users: 0, idle: true, ready: true }
}

pub fn request(request: u64, adapter: u32) -> QueuedRequest {
    QueuedRequest {
        request,
        pin: Pin::Adapter { id: adapter, name: format!("m@a{adapter}@1") },
        caller: format!("c{request}"),
        urgency: Urgency::Normal,
        queued_at: Duration::ZERO,
        deadline: Duration::from_secs(10),
        prefix: 0,
        exclusive: false,
    }
}

pub fn adapter(pin: &Pin) -> u32 {
    match pin {
        Pin::Adapter { id, .. } => *id,
        Pin::Service { .. } => u32::MAX,
    }
}

/// A target with its running requests, each with its end, and its adapters, each with whether it is
/// ready.
pub struct Engine {
    pub id: u32,
    pub batch: u32,
    pub resident: Vec<(u32, bool)>,
    pub running: Vec<(u64, Duration)>,
}

impl Engine {
    pub fn new(id: u32, batch: u32) -> Engine {
        Engine { id, batch, resident: Vec::new(), running: Vec::new() }
    }

    pub fn end(&mut self, now: Duration) {
        self.running.retain(|&(_, until)| until > now);
    }

    pub fn view(&self) -> TargetView {
        let resident = self.resident.iter().map(|&(adapter, ready)| Resident {
            adapter,
            users: 0,
            idle: ready,
            ready,
        });
        let running = self.running.len() as u32;
        TargetView { running, ..engine(self.id, self.batch, resident.collect()) }
    }
}

//! Calls, orders and reports between hosts and targets.

use node::{Call, Input, Order};
use wire::{HostId, Incarnation, RequestId};

use super::{Cluster, Event, LINK_DELAY, link::describe_input};

impl Cluster {
    pub(super) fn find_target(&self, addr: &str) -> Option<usize> {
        self.targets.iter().position(|target| target.addr == addr)
    }

    pub(super) fn call(&mut self, id: HostId, incarnation: Incarnation, call: Call) {
        let request = call.request;
        let Some(idx) = self.find_target(&call.addr) else { return };
        let verb = if call.resume_from.is_some() { "resume" } else { "call" };
        let name = self.targets[idx].name.clone();
        self.record(format!("host {id} -> {name}: {verb} {request:x} {}", call.expected_name));
        match self.targets[idx].call(id, incarnation, &call) {
            Ok(()) => self.schedule(LINK_DELAY, Event::Serve(idx, request)),
            Err(failure) => {
                self.record(format!("{name} -> host {id}: {request:x} {failure:?}"));
                let input = Input::CallFailed { request, failure };
                self.schedule(LINK_DELAY, Event::Input(id, incarnation, input));
            }
        }
    }

    /// Advances an answer of a target by one step and delivers what it sends.
    pub(super) fn serve(&mut self, idx: usize, request: RequestId) {
        let now = self.now;
        let step = self.targets[idx].serve(now, request);
        for (host, incarnation, input) in step.inputs {
            let line =
                format!("{} -> host {host}: {}", self.targets[idx].name, describe_input(&input));
            self.record(line);
            self.schedule(LINK_DELAY, Event::Input(host, incarnation, input));
        }
        if !self.targets[idx].up
            && let Some(restart_delay) = self.restart_delay
        {
            self.schedule(restart_delay, Event::RestartTarget(idx));
        }
        if step.more {
            let interval = self.targets[idx].piece_interval;
            self.schedule(interval, Event::Serve(idx, request));
        }
    }

    pub(super) fn order(&mut self, id: HostId, incarnation: Incarnation, order: Order) {
        let Some(idx) = self.find_target(&order.addr) else { return };
        let line = format!(
            "host {id} -> {}: order {} {:?} {} fence {}",
            self.targets[idx].name, order.order, order.action, order.adapter, order.fence
        );
        self.record(line);
        let extra = self.order_delays.get(&id).copied().unwrap_or_default();
        let delay = self.targets[idx].order_duration(&order) + extra;
        self.schedule(delay, Event::OrderArrived(idx, id, incarnation, order));
    }

    pub(super) fn report(&mut self, idx: usize) {
        let Some(report) = self.targets[idx].report() else { return };
        let owner = self.owner(&report.info.name).filter(|&id| self.is_running(id));
        let any = self.hosts.iter().find(|(_, host)| host.node.is_some() && !host.is_frozen);
        let Some(to) = owner.or(any.map(|(id, _)| *id)) else { return };
        if let Some((_, fence)) = self.node(to).report_destination(&report.info.name) {
            self.targets[idx].raise_fence(fence);
        }
        self.input(to, Input::Report(report));
    }
}

//! What hosts and targets do to each other.

use node::{Call, Input, Order};
use wire::{HostId, Incarnation, RequestId};

use super::{Cluster, Event, LINK_DELAY, link::brief};

impl Cluster {
    pub(super) fn find(&self, addr: &str) -> Option<usize> {
        self.targets.iter().position(|target| target.addr == addr)
    }

    pub(super) fn call(&mut self, id: HostId, run: Incarnation, call: Call) {
        let request = call.request;
        let Some(place) = self.find(&call.addr) else { return };
        let verb = if call.resume.is_some() { "resume" } else { "call" };
        let name = self.targets[place].name.clone();
        self.note(format!("host {id} -> {name}: {verb} {request:x} {}", call.ran));
        match self.targets[place].call(id, run, &call) {
            Ok(()) => self.at(LINK_DELAY, Event::Serve(place, request)),
            Err(failure) => {
                self.note(format!("{name} -> host {id}: {request:x} {failure:?}"));
                let input = Input::CallFailed { request, failure };
                self.at(LINK_DELAY, Event::Input(id, run, input));
            }
        }
    }

    /// Lets a target take one step of an answer.
    pub(super) fn serve(&mut self, place: usize, request: RequestId) {
        let now = self.now;
        let step = self.targets[place].serve(now, request);
        for (host, run, input) in step.inputs {
            let line = format!("{} -> host {host}: {}", self.targets[place].name, brief(&input));
            self.note(line);
            self.at(LINK_DELAY, Event::Input(host, run, input));
        }
        if !self.targets[place].up
            && let Some(revival) = self.revival
        {
            self.at(revival, Event::Revive(place));
        }
        if step.more {
            let pace = self.targets[place].pace;
            self.at(pace, Event::Serve(place, request));
        }
    }

    pub(super) fn order(&mut self, id: HostId, run: Incarnation, order: Order) {
        let Some(place) = self.find(&order.addr) else { return };
        let line = format!(
            "host {id} -> {}: order {} {:?} {} fence {}",
            self.targets[place].name, order.order, order.action, order.adapter, order.fence
        );
        self.note(line);
        let late = self.late_orders.get(&id).copied().unwrap_or_default();
        let delay = self.targets[place].order_time(&order) + late;
        self.at(delay, Event::Ordered(place, id, run, order));
    }

    pub(super) fn report(&mut self, place: usize) {
        let Some(report) = self.targets[place].report() else { return };
        let owner = self.owner(&report.info.name).filter(|&id| self.is_running(id));
        let any = self.hosts.iter().find(|(_, host)| host.node.is_some() && !host.is_frozen);
        let Some(to) = owner.or(any.map(|(id, _)| *id)) else { return };
        if let Some((_, fence)) = self.node(to).report_to(&report.info.name) {
            self.targets[place].learn(fence);
        }
        self.input(to, Input::Report(report));
    }
}

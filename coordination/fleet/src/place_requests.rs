//! Requests of hosts for places at targets with a limit, and their answers.

use std::time::Duration;

use wire::{FleetMsg, HostId, PlaceReply, PlaceRequest, RequestLimit};

use crate::{Host, Target, TargetQuery, io::Output, limit_view::Rank, prefill::is_late};

/// Places are asked for ahead of the requests of this time.
const ASK_AHEAD: Duration = Duration::from_millis(50);
/// Most places that are asked for at a time.
const MAX_ASKED: u32 = 16;

impl Host {
    /// Returns the rank of a request among those that wait for places.
    pub(crate) fn rank(now: Duration, query: &TargetQuery) -> Rank {
        let route = &query.route;
        (is_late(now, query.arrived, route.latency_objective), route.priority)
    }

    /// Returns the time until a target has a place for a further request, as the holder of its
    /// failure domain estimates it; `None` while that is not known.
    pub(crate) fn place_due(&self, now: Duration, target: &str) -> Option<Duration> {
        let target = self.targets.get(target)?;
        if !self.is_holder_active(now, &target.record.domain) {
            // A new holder waits for the lease of the former one.
            return Some(self.settings.bounds.lease);
        }
        target.limit.time_to_place(now)
    }

    /// Asks for places at a target with a limit, unless that was done recently.
    pub(crate) fn ask_for_place(&mut self, now: Duration, id: &str, rank: Rank) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let Some((milli_rate, waiting)) = target.limit.ask(now, rank) else { return };
        let ahead = ASK_AHEAD.as_millis() as u32 * (milli_rate / 1000) / 1000;
        let request = PlaceRequest {
            target: id.to_owned(),
            started_at: target.record.started_at,
            milli_rate,
            count: (1 + ahead).min(MAX_ASKED) as u16,
            waiting,
            late: rank.0,
            priority: rank.1,
            sent_ms: now.as_millis() as u64,
        };
        let domain = target.record.domain.clone();
        if self.held_domains.contains_key(&domain) {
            self.handle_place_request(now, self.settings.host, &request);
        } else if let Some(holder) = self.holder(&domain) {
            self.send(holder, FleetMsg::PlaceRequest(request));
        }
    }

    /// Handles a host's request for places, if this host may send orders to the target.
    pub(crate) fn handle_place_request(
        &mut self,
        now: Duration,
        from: HostId,
        request: &PlaceRequest,
    ) {
        let Some(known) = self.targets.get(&request.target) else { return };
        let domain = known.record.domain.clone();
        let target_limit = Some(known.limit.limit).filter(|it| it.needs_places());
        if self.order_fence(now, &domain).is_none() {
            return;
        }
        let Some(held) = self.held_domains.get_mut(&domain) else { return };
        let PlaceRequest { target, started_at, milli_rate, .. } = request;
        let known = target_limit.unwrap_or(RequestLimit::Rate(*milli_rate));
        held.placement.recall_limit(now, target, *started_at, known);
        let Some(limit) = held.placement.limit_in_force(target, held.fence) else { return };
        let replies = held.places.request(now, from, request, limit);
        self.send_places(now, replies);
    }

    /// Grants the places that are due at the targets of a failure domain.
    pub(crate) fn tick_places(&mut self, now: Duration, domain: &str) {
        if self.order_fence(now, domain).is_none() {
            return;
        }
        let Some(held) = self.held_domains.get_mut(domain) else { return };
        for target in held.places.used_up() {
            held.placement.raise_at_once(now, &target);
        }
        let fence = held.fence;
        let placement = &held.placement;
        let limit = |target: &str| placement.limit_in_force(target, fence);
        let replies = held.places.tick(now, limit, |host| self.hosts.is_live(now, host));
        self.send_places(now, replies);
    }

    fn send_places(&mut self, now: Duration, replies: Vec<(HostId, PlaceReply)>) {
        for (host, reply) in replies {
            if host == self.settings.host {
                self.handle_place_reply(now, &reply);
            } else {
                self.send(host, FleetMsg::PlaceReply(reply));
            }
        }
    }

    /// Handles the answer to this host's last request for places; earlier ones have no effect.
    pub(crate) fn handle_place_reply(&mut self, now: Duration, reply: &PlaceReply) {
        let Some(target) = self.targets.process_mut(&reply.target, reply.started_at) else {
            return;
        };
        if target.limit.take_reply(now, reply) {
            self.out.push(Output::RetryWaiting);
        }
    }

    /// Records that a request begins to wait for a place at a target.
    pub fn wait_for_place(&mut self, target: &str) {
        if let Some(target) = self.targets.get_mut(target) {
            target.limit.begin_wait();
        }
    }

    /// Records that a request no longer waits for a place at a target.
    pub fn place_wait_ended(&mut self, target: &str) {
        if let Some(target) = self.targets.get_mut(target) {
            target.limit.end_wait();
        }
    }

    pub(crate) fn give_back_places(&mut self, now: Duration) {
        let mut unused = Vec::new();
        for Target { record, limit, .. } in self.targets.iter_mut() {
            let places = limit.take_unused(now);
            if places > 0 {
                unused.push((record.domain.clone(), record.id.clone(), record.started_at, places));
            }
        }
        for (domain, target, started_at, places) in unused {
            self.return_places(now, &domain, target, started_at, places);
        }
    }

    /// Gives places back to the holder of a target's failure domain.
    pub(crate) fn return_places(
        &mut self,
        now: Duration,
        domain: &str,
        target: String,
        started_at: u64,
        places: u16,
    ) {
        if self.held_domains.contains_key(domain) {
            let own = self.settings.host;
            self.handle_returned_places(now, own, &target, started_at, places);
        } else if let Some(holder) = self.holder(domain) {
            self.send(holder, FleetMsg::PlacesUnused { target, started_at, places });
        }
    }

    /// Takes back places of a host, if this host holds the target's failure domain.
    pub(crate) fn handle_returned_places(
        &mut self,
        now: Duration,
        from: HostId,
        target: &str,
        started_at: u64,
        places: u16,
    ) {
        let mut replies = Vec::new();
        for (domain, held) in &mut self.held_domains {
            if self.targets.get(target).is_some_and(|it| it.record.domain == *domain) {
                replies = held.places.take_back(now, from, target, started_at, places);
            }
        }
        self.send_places(now, replies);
    }
}

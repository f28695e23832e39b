//! Prefill permits between hosts: each target has one host that schedules its permits, and the
//! other hosts send it their prefill requests.

use std::time::Duration;

use wire::{FleetMsg, HostId, PrefillRequest, TargetNumber};

use crate::{Event, Host, Pick, TargetQuery, io::Output, targets::stable_hash};

/// Interval between log lines about targets with waiting prompts.
const PROMPTS_LOG_INTERVAL: Duration = Duration::from_secs(2);

impl Host {
    /// Returns the host that schedules the prefill permits of a target: a ready host of its failure
    /// domain, or of another one if there is none. Hosts with the same list of hosts choose the
    /// same one. While their lists differ, two hosts may grant permits for a target; the only
    /// effect is longer pauses of its streams.
    fn scheduler_of(&self, target: &str) -> Option<HostId> {
        let domain = &self.targets.get(target)?.record.domain;
        let rank = |host: HostId| stable_hash(&(host, target));
        let near = self.hosts.ready().filter(|it| it.domain == *domain).map(|it| it.host);
        let near = near.max_by_key(|&it| rank(it));
        near.or_else(|| self.hosts.ready().map(|it| it.host).max_by_key(|&it| rank(it)))
    }

    /// Sends or repeats a request's prefill request. Returns the host that schedules the target's
    /// permits; `None` if no host is ready.
    pub fn request_permit(
        &mut self,
        now: Duration,
        request: &PrefillRequest,
    ) -> (Option<HostId>, Vec<Output>) {
        let scheduler = self.scheduler_of(&request.target);
        match scheduler {
            Some(host) if host == self.settings.host => {
                self.handle_prefill_request(now, host, request)
            }
            Some(host) => self.send(host, FleetMsg::PrefillRequest(request.clone())),
            None => {}
        }
        (scheduler, self.finish(now))
    }

    /// Releases a permit, or withdraws its request, at the host that schedules the target's
    /// permits. `prefilled` tells whether the prompt was prefilled.
    pub fn release_permit(
        &mut self,
        now: Duration,
        scheduler: HostId,
        permit_id: u64,
        target: &str,
        prefilled: bool,
    ) -> Vec<Output> {
        if scheduler == self.settings.host {
            let granted = self.prefill.release(now, (scheduler, permit_id), target, prefilled);
            self.send_permits(granted, self.prefill.backlog(target));
        } else {
            let target = target.to_owned();
            self.send(scheduler, FleetMsg::PrefillEnded { permit_id, target, prefilled });
        }
        self.finish(now)
    }

    pub(crate) fn handle_prefill_request(
        &mut self,
        now: Duration,
        from: HostId,
        request: &PrefillRequest,
    ) {
        let granted = self.prefill.request(now, from, request);
        let backlog = self.prefill.backlog(&request.target);
        if !granted.contains(&(from, request.permit_id)) {
            self.send_permit(from, request.permit_id, false, backlog);
        }
        self.send_permits(granted, backlog);
    }

    pub(crate) fn send_permits(&mut self, granted: Vec<(HostId, u64)>, backlog: u32) {
        for (host, permit_id) in granted {
            self.send_permit(host, permit_id, true, backlog);
        }
    }

    fn send_permit(&mut self, host: HostId, permit_id: u64, granted: bool, backlog: u32) {
        if host == self.settings.host {
            self.out.push(Output::PrefillReply { permit_id, granted, backlog });
        } else {
            self.send(host, FleetMsg::PrefillReply { permit_id, granted, backlog });
        }
    }

    /// Records a target's prefill backlog in tokens. Returns whether a request that waits there
    /// would now be sent to another target.
    pub fn is_better_elsewhere(
        &mut self,
        now: Duration,
        query: &TargetQuery,
        target: &str,
        backlog: u32,
    ) -> bool {
        if let Some(known) = self.targets.get_mut(target) {
            known.backlog = backlog;
        }
        match self.pick_target(now, query, 0).pick {
            Pick::Target(id) => id != target,
            Pick::NoAdapter | Pick::Full | Pick::None => false,
        }
    }

    /// Returns the prefill backlog, in tokens, of those targets of a failure domain whose permits
    /// this host schedules.
    pub(crate) fn backlogs(&self, domain: &str) -> Vec<(TargetNumber, u32)> {
        let mut backlogs = Vec::new();
        for (target, tokens) in self.prefill.backlogs() {
            let target = self.targets.get(target).filter(|it| it.record.domain == domain);
            if let Some(number) = target.and_then(|it| it.number) {
                backlogs.push((number, tokens));
            }
        }
        backlogs
    }

    /// Logs the prefill state of targets with waiting prompts and drops targets that are gone, once
    /// per interval.
    pub(crate) fn log_prompts(&mut self, now: Duration) {
        if now < self.prompts_logged + PROMPTS_LOG_INTERVAL {
            return;
        }
        self.prompts_logged = now;
        let targets = &self.targets;
        self.prefill.retain(|target| targets.get(target).is_some());
        for (target, speed, backlog) in self.prefill.estimates() {
            let speed = speed.unwrap_or_default();
            self.log(Event::Prompts { target, speed, backlog });
        }
    }
}

//! Stand-in target: answers the calls and orders that a host's state machine outputs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use node::{Call, CallFailure, Input, Order, OrderResult};
use replog::{Op, Recovered, Write};
use wire::{
    Action, Capacity, Fence, HostId, Incarnation, Load, RequestId, TargetInfo, TargetKind,
    TargetReport,
};

/// One execution of a request at a target.
#[derive(Debug, Clone)]
pub struct Execution {
    pub request: RequestId,
    pub ran: String,
    pub body: Bytes,
    client: Option<(HostId, Incarnation)>,
    answer: Vec<u8>,
    sent: usize,
    head_sent: bool,
    pub ended: bool,
}

/// Result of one step of an answer: inputs for hosts, and whether more steps follow.
#[derive(Debug, Default)]
pub struct Step {
    pub inputs: Vec<(HostId, Incarnation, Input)>,
    pub more: bool,
}

/// A simulated model engine or plain service.
#[derive(Debug)]
pub struct Target {
    pub name: String,
    pub addr: String,
    pub info: TargetInfo,
    pub incarnation: Incarnation,
    pub up: bool,
    pub leaving: bool,
    pub loaded: BTreeSet<String>,
    /// All executions, of all incarnations of the target.
    pub executions: Vec<Execution>,
    /// Number of evictions of adapters in use.
    pub violations: u32,
    pub crashes: u32,
    pub loads: u32,
    /// Number of pieces per answer.
    pub pieces: usize,
    /// Time between pieces.
    pub piece_interval: Duration,
    pub load_time: Duration,
    /// If set, the answers of calls whose body contains this text are lost after the execution.
    pub drop_answer: Option<String>,
    fence: Fence,
    seq: u64,
    /// Requests that are running, with the index of their execution.
    active: BTreeMap<RequestId, usize>,
}

impl Target {
    pub fn engine(name: &str, octet: u8, fenced: bool) -> Target {
        Target::new(name, octet, TargetKind::Engine { model: "base".to_owned() }, fenced)
    }

    pub fn service(name: &str, octet: u8) -> Target {
        Target::new(name, octet, TargetKind::Service { service: "booking".to_owned() }, true)
    }

    fn new(name: &str, octet: u8, kind: TargetKind, fenced: bool) -> Target {
        let addr = format!("127.9.0.{octet}:9000");
        Target {
            name: name.to_owned(),
            addr: addr.clone(),
            info: TargetInfo {
                name: name.to_owned(),
                addr,
                domain: format!("d{}", octet % 3),
                kind,
                capacity: Capacity { adapters: 2, requests: 4 },
                fenced,
            },
            incarnation: 1,
            up: true,
            leaving: false,
            loaded: BTreeSet::new(),
            executions: Vec::new(),
            violations: 0,
            crashes: 0,
            loads: 0,
            pieces: 3,
            piece_interval: Duration::from_millis(10),
            load_time: Duration::from_millis(250),
            drop_answer: None,
            fence: 0,
            seq: 0,
            active: BTreeMap::new(),
        }
    }

    /// Returns the number of executions of requests with this body.
    pub fn runs(&self, body: &str) -> usize {
        self.executions.iter().filter(|it| it.body == body.as_bytes()).count()
    }

    /// Stops the target and drops its running requests and loaded adapters.
    pub fn crash(&mut self) {
        self.up = false;
        self.crashes += 1;
        self.active.clear();
        self.loaded.clear();
    }

    /// Starts the target again as a new incarnation.
    pub fn restart(&mut self) {
        self.up = true;
        self.incarnation += 1;
        self.seq = 0;
        self.fence = 0;
    }

    /// Drops the connections of a host; its calls continue without a client.
    pub fn disconnect(&mut self, host: HostId) {
        for &idx in self.active.values() {
            let execution = &mut self.executions[idx];
            if execution.client.is_some_and(|(id, _)| id == host) {
                execution.client = None;
            }
        }
    }

    /// Raises the target's fence to at least the given one.
    pub fn raise_fence(&mut self, fence: Fence) {
        self.fence = self.fence.max(fence);
    }

    pub fn report(&mut self) -> Option<TargetReport> {
        if !self.up {
            return None;
        }
        self.seq += 1;
        Some(TargetReport {
            info: self.info.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            fence: self.fence,
            age: Duration::ZERO,
            loaded: self.loaded.iter().cloned().collect(),
            busy: self.busy().into_iter().collect(),
            load: Load { running: self.active.len() as u32, queued: 0 },
            leaving: self.leaving,
        })
    }

    /// Returns the number of requests that are running now.
    pub fn running(&self) -> usize {
        self.active.len()
    }

    fn busy(&self) -> BTreeSet<String> {
        self.active.values().map(|&idx| self.executions[idx].ran.clone()).collect()
    }

    fn is_engine(&self) -> bool {
        matches!(self.info.kind, TargetKind::Engine { .. })
    }

    pub fn call(
        &mut self,
        host: HostId,
        host_incarnation: Incarnation,
        call: &Call,
    ) -> Result<(), CallFailure> {
        if !self.up {
            return Err(CallFailure::NotSent);
        }
        if let Some(offset) = call.resume_from {
            return self.resume(host, host_incarnation, call.request, offset as usize);
        }
        let refused = |word: &str| Err(CallFailure::Refused(word.to_owned()));
        if call.incarnation != self.incarnation {
            return refused("other_incarnation");
        }
        if self.info.fenced && call.fence < self.fence {
            return refused("old_fence");
        }
        if self.leaving {
            return refused("leaving");
        }
        if self.is_engine() && !self.loaded.contains(&call.expected_name) {
            return refused("not_loaded");
        }
        if self.active.len() >= self.info.capacity.requests as usize {
            return refused("full");
        }
        self.raise_fence(call.fence);
        let mut answer = Vec::new();
        for number in 0..self.pieces {
            answer.extend_from_slice(format!("[{} {number}]", call.expected_name).as_bytes());
        }
        self.active.insert(call.request, self.executions.len());
        self.executions.push(Execution {
            request: call.request,
            ran: call.expected_name.clone(),
            body: call.body.clone(),
            client: Some((host, host_incarnation)),
            answer,
            sent: 0,
            head_sent: false,
            ended: false,
        });
        Ok(())
    }

    fn resume(
        &mut self,
        host: HostId,
        host_incarnation: Incarnation,
        request: RequestId,
        offset: usize,
    ) -> Result<(), CallFailure> {
        let found = self.executions.iter().rposition(|it| it.request == request);
        let found = found.filter(|_| self.is_engine());
        let Some(idx) = found else {
            return Err(CallFailure::Refused("unknown_request".to_owned()));
        };
        self.active.insert(request, idx);
        let execution = &mut self.executions[idx];
        execution.client = Some((host, host_incarnation));
        execution.sent = offset;
        execution.head_sent = false;
        Ok(())
    }

    pub fn cancel(&mut self, request: RequestId) {
        self.active.remove(&request);
    }

    /// Breaks the connections of all calls; the executions continue.
    pub fn break_connections(&mut self) -> Vec<(HostId, Incarnation, Input)> {
        let mut inputs = Vec::new();
        for (&request, &idx) in &self.active {
            let Some((host, host_incarnation)) = self.executions[idx].client.take() else {
                continue;
            };
            let failure = CallFailure::Lost;
            inputs.push((host, host_incarnation, Input::CallFailed { request, failure }));
        }
        inputs
    }

    /// Advances an answer by one step: sends the head first, then one piece per step.
    pub fn serve(&mut self, _now: Duration, request: RequestId) -> Step {
        let mut step = Step::default();
        let Some(&idx) = self.active.get(&request) else { return step };
        if !self.up {
            return step;
        }
        let body = self.executions[idx].body.clone();
        let text = String::from_utf8_lossy(&body).into_owned();
        if text.contains("CRASH") {
            self.fail_calls(&mut step);
            self.crash();
            return step;
        }
        let pieces = self.pieces;
        let incarnation = self.incarnation;
        let execution = &mut self.executions[idx];
        let Some((host, host_incarnation)) = execution.client else {
            return self.advance_unread(request, idx);
        };
        if self.drop_answer.as_ref().is_some_and(|marker| text.contains(marker)) {
            execution.ended = true;
            let failure = CallFailure::Lost;
            step.inputs.push((host, host_incarnation, Input::CallFailed { request, failure }));
            self.active.remove(&request);
            return step;
        }
        if !execution.head_sent {
            execution.head_sent = true;
            let ran = execution.ran.clone();
            let input = Input::CallHead { request, status: 200, ran, incarnation };
            step.inputs.push((host, host_incarnation, input));
        }
        let size = execution.answer.len().div_ceil(pieces);
        let end = (execution.sent + size).min(execution.answer.len());
        let bytes = Bytes::copy_from_slice(&execution.answer[execution.sent..end]);
        let last = end == execution.answer.len();
        let offset = execution.sent as u64;
        execution.sent = end;
        execution.ended = last;
        step.inputs.push((
            host,
            host_incarnation,
            Input::CallPiece { request, offset, bytes, last },
        ));
        step.more = !last;
        if last {
            self.active.remove(&request);
        }
        step
    }

    /// Advances an answer that no client reads.
    fn advance_unread(&mut self, request: RequestId, idx: usize) -> Step {
        let execution = &mut self.executions[idx];
        let size = execution.answer.len().div_ceil(self.pieces);
        execution.sent = (execution.sent + size).min(execution.answer.len());
        execution.ended = execution.sent == execution.answer.len();
        if execution.ended {
            self.active.remove(&request);
        }
        Step { inputs: Vec::new(), more: !self.executions[idx].ended }
    }

    /// Adds a failure for each call that has a client.
    fn fail_calls(&mut self, step: &mut Step) {
        for (&request, &idx) in &self.active {
            let Some((host, host_incarnation)) = self.executions[idx].client else { continue };
            let failure = CallFailure::Lost;
            step.inputs.push((host, host_incarnation, Input::CallFailed { request, failure }));
        }
    }

    pub fn order_duration(&self, order: &Order) -> Duration {
        match order.action {
            Action::Load => self.load_time,
            Action::Evict => Duration::from_millis(5),
        }
    }

    pub fn order(&mut self, order: &Order) -> OrderResult {
        if !self.up {
            return OrderResult::NotSent;
        }
        if order.incarnation != self.incarnation {
            return OrderResult::Failed("other_incarnation".to_owned());
        }
        if self.info.fenced && order.fence < self.fence {
            return OrderResult::Failed("old_fence".to_owned());
        }
        self.raise_fence(order.fence);
        match order.action {
            Action::Load => {
                if !self.loaded.contains(&order.adapter)
                    && self.loaded.len() >= self.info.capacity.adapters as usize
                {
                    return OrderResult::Failed("full".to_owned());
                }
                self.loads += 1;
                self.loaded.insert(order.adapter.clone());
            }
            Action::Evict => {
                if self.busy().contains(&order.adapter) {
                    self.violations += 1;
                }
                self.loaded.remove(&order.adapter);
            }
        }
        OrderResult::Done(self.loaded.iter().cloned().collect())
    }
}

/// Applies a write to an in-memory disk.
pub fn write(disk: &mut Recovered, write: Write) {
    for op in write.ops {
        match op {
            Op::Hard(hard) => disk.hard = hard,
            Op::Append(entries) => disk.entries.extend(entries),
            Op::Truncate(from) => disk.entries.retain(|entry| entry.index < from),
            Op::Snapshot(snapshot) => {
                let kept = disk
                    .entries
                    .iter()
                    .any(|entry| entry.index == snapshot.index && entry.term == snapshot.term);
                disk.entries.retain(|entry| kept && entry.index > snapshot.index);
                disk.snapshot = Some(snapshot);
            }
        }
    }
}

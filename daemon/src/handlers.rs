//! Implements the HTTP layer's [`Entry`] and [`Operator`] interfaces for a host.

use std::{sync::Arc, time::Duration};

use api::{
    AuditPage, DomainForce, EntryAddress, PublishBody, PublishKey, Receipt, ReportReply,
    ServiceReceipt, StatusBody, WhereBody, header::PUBLISH_MAC,
};
use futures::future::BoxFuture;
use node::{CallerRequest, Input, Published};
use tokio::{sync::oneshot, time::timeout};
use web::interface::{Answer, Entry, Operator};
use wire::{DeclFile, ErrorKind, Fault, Publish, TargetReport};

use crate::host::Host;

/// Seconds for which a caller may use the entry addresses that it received.
const ENTRIES_LIFETIME_S: u64 = 10;

/// Time after which a publish without a result is answered with `no_quorum`.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(30);

/// Handlers of the entry and operator servers of one host.
pub(crate) struct Handlers(pub(crate) Arc<Host>);

impl Entry for Handlers {
    fn submit(&self, caller: CallerRequest) -> BoxFuture<'_, Answer> {
        let host = &self.0;
        let (tag, answer) = host.callers.add(caller.model.clone(), &host.shards);
        let input = Input::Request { tag, caller: Box::new(caller) };
        Box::pin(async move {
            host.shards.send(input).await;
            answer
        })
    }

    fn report(&self, report: TargetReport) -> BoxFuture<'_, ReportReply> {
        let host = &self.0;
        Box::pin(async move {
            let name = report.info.name.clone();
            host.shards.send(Input::Report(report)).await;
            let Some((owner, fence)) = host.node.report_destination(&name) else {
                return ReportReply { report_to: None, fence: 0 };
            };
            ReportReply { report_to: host.entry_addr(owner), fence }
        })
    }

    fn entry_addresses(&self, model: Option<&str>) -> WhereBody {
        let host = &self.0;
        let mut entries = Vec::new();
        for id in host.node.entries(host.now(), model) {
            let Some(addr) = host.entry_addr(id) else { continue };
            let Some(peer) = host.settings.peers.iter().find(|peer| peer.host == id) else {
                continue;
            };
            entries.push(EntryAddress { addr, domain: peer.domain.clone() });
        }
        WhereBody { entries, lifetime: ENTRIES_LIFETIME_S }
    }
}

impl Operator for Handlers {
    fn authorise(&self, body: &[u8], mac: Option<&str>) -> Result<(), Fault> {
        let allowed = authorise(self.0.publish_key.as_ref(), body, mac);
        if let Err(fault) = &allowed {
            self.0.metrics.published(Some(fault));
        }
        allowed
    }

    fn publish(&self, body: PublishBody) -> BoxFuture<'_, Result<Receipt, Fault>> {
        Box::pin(async move {
            let result = publish(&self.0, body).await;
            self.0.metrics.published(result.as_ref().err());
            result
        })
    }

    fn status(&self) -> StatusBody {
        self.0.node.status(self.0.now())
    }

    fn audit(&self, from: u64, limit: usize) -> AuditPage {
        self.0.node.audit(from, limit)
    }

    fn metrics(&self) -> String {
        let host = &self.0;
        host.metrics.text(&self.status(), host.callers.count(), &host.hub.stats())
    }
}

/// Checks the authentication code of a publish. Without a key, every publish is allowed.
fn authorise(key: Option<&PublishKey>, body: &[u8], mac: Option<&str>) -> Result<(), Fault> {
    let Some(key) = key else { return Ok(()) };
    let Some(mac) = mac else {
        return Err(Fault::new(ErrorKind::Forbidden, format!("{PUBLISH_MAC} is missing")));
    };
    if !key.verify(body, mac) {
        let detail = format!("{PUBLISH_MAC} is not that of this body and the hosts' key");
        return Err(Fault::new(ErrorKind::Forbidden, detail));
    }
    Ok(())
}

/// Submits a publish to the host and waits for the result.
async fn publish(host: &Host, body: PublishBody) -> Result<Receipt, Fault> {
    let mut files = Vec::with_capacity(body.files.len());
    for file in body.files {
        files.push(DeclFile { name: file.name, text: file.text });
    }
    let publish = Publish { files, author: body.author, revision: body.revision };
    let tag = host.callers.tag();
    let (sender, receiver) = oneshot::channel();
    host.publishes.lock().expect("the lock is not poisoned").insert(tag, sender);
    host.shards.send(Input::Publish { tag, publish }).await;
    let answer = timeout(PUBLISH_TIMEOUT, receiver).await;
    host.publishes.lock().expect("the lock is not poisoned").remove(&tag);
    match answer {
        Ok(Ok(result)) => result.map(receipt),
        Ok(Err(_)) | Err(_) => Err(ErrorKind::NoQuorum.into()),
    }
}

/// Converts an accepted publish to the receipt of the operator API.
fn receipt(published: Published) -> Receipt {
    let Published { receipt, in_force: domains } = published;
    let mut services = Vec::with_capacity(receipt.services.len());
    for (service, version, digest) in receipt.services {
        let digest = history::to_hex(&digest);
        services.push(ServiceReceipt { service, version, digest, index: receipt.index });
    }
    let mut in_force = Vec::with_capacity(domains.len());
    for row in domains {
        in_force.push(DomainForce {
            domain: row.domain,
            applied: row.applied,
            lagging: row.lagging,
        });
    }
    Receipt {
        index: receipt.index,
        sequence: receipt.sequence,
        head: history::to_hex(&receipt.head),
        services,
        everywhere: in_force.iter().all(|row| row.lagging == 0),
        in_force,
    }
}

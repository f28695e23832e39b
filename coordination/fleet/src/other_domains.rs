//! The targets of other failure domains in the local view of a holder.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::Hash,
};

use wire::{AdapterHash, DomainId, TargetState};

use crate::{
    Targets,
    targets::{adapter_hash, stable_hash},
};

/// Summary of the targets of other failure domains.
#[derive(Debug, Clone, Default)]
pub struct OtherDomains {
    /// Number of ready targets, by service and failure domain.
    sizes: BTreeMap<String, BTreeMap<DomainId, usize>>,
    /// Number of targets that hold each model and adapter.
    copies: HashMap<AdapterHash, usize>,
    /// The adapters that these targets hold, by service.
    names: BTreeMap<String, BTreeSet<String>>,
    /// Number of known failure domains, including the holder's own.
    domains: usize,
}

impl OtherDomains {
    /// Summarises the ready targets outside of `domain`, out of `domains` known failure domains.
    pub fn new(domain: &str, targets: &Targets, domains: usize) -> OtherDomains {
        let mut others = OtherDomains { domains, ..OtherDomains::default() };
        for target in targets.iter() {
            if target.record.domain == domain || target.record.state != TargetState::Ready {
                continue;
            }
            let service = &target.record.service;
            let sizes = others.sizes.entry(service.clone()).or_default();
            *sizes.entry(target.record.domain.clone()).or_default() += 1;
            let names = others.names.entry(service.clone()).or_default();
            for name in target.adapters.keys() {
                *others.copies.entry(adapter_hash(name)).or_default() += 1;
                if name.contains('/') && !names.contains(name) {
                    names.insert(name.clone());
                }
            }
        }
        others
    }

    /// Returns the number of copies of a model or adapter.
    pub(crate) fn copies(&self, hash: AdapterHash) -> usize {
        self.copies.get(&hash).copied().unwrap_or(0)
    }

    /// Returns the adapters of a service.
    pub(crate) fn names(&self, service: &str) -> impl Iterator<Item = &String> {
        self.names.get(service).into_iter().flatten()
    }

    /// Returns the number of targets of a service by failure domain: the ready ones in the other
    /// domains, and `own` in `domain`.
    pub(crate) fn sizes(
        &self,
        service: &str,
        domain: &str,
        own: usize,
    ) -> BTreeMap<DomainId, usize> {
        let mut sizes = self.sizes.get(service).cloned().unwrap_or_default();
        sizes.insert(domain.to_owned(), own);
        sizes
    }

    /// Returns the number of known failure domains; at least one.
    pub(crate) fn domains(&self) -> usize {
        self.domains.max(1)
    }
}

/// Returns the failure domains with any targets in the order in which an adapter is placed there.
/// It depends only on the names of the adapter and the domains and on their numbers of targets;
/// larger domains come first more often (weighted rendezvous hashing).
pub(crate) fn domain_order(name: &str, sizes: &BTreeMap<DomainId, usize>) -> Vec<DomainId> {
    let mut order: Vec<(f64, &DomainId)> = Vec::new();
    for (domain, &size) in sizes.iter().filter(|(_, size)| **size > 0) {
        let sample = (unit_hash(&(name, domain))).max(f64::MIN_POSITIVE);
        order.push((-sample.ln() / size as f64, domain));
    }
    order.sort_by(|a, b| a.partial_cmp(b).expect("no logarithm of zero"));
    order.into_iter().map(|(_, domain)| domain.clone()).collect()
}

/// Returns how many of an adapter's `wanted` copies belong to a failure domain. The first copy goes
/// to the first domain in the adapter's order, each further one to the domain with the fewest
/// copies per target.
pub(crate) fn copies_of(
    name: &str,
    wanted: usize,
    sizes: &BTreeMap<DomainId, usize>,
    domain: &str,
) -> usize {
    let order = domain_order(name, sizes);
    let mut copies = vec![0usize; order.len()];
    for copy in 0..wanted.min(sizes.values().sum()) {
        let fill = |at: &usize| (copies[*at] + 1) as f64 / sizes[&order[*at]] as f64;
        let next = (0..order.len()).min_by(|a, b| fill(a).total_cmp(&fill(b)));
        let next = if copy == 0 { Some(0) } else { next };
        if let Some(at) = next.filter(|it| *it < copies.len()) {
            copies[at] += 1;
        }
    }
    let at = order.iter().position(|it| it == domain);
    at.map_or(0, |at| copies[at])
}

/// Hashes a value to a number from 0 (inclusive) to 1 (exclusive).
pub(crate) fn unit_hash(value: &impl Hash) -> f64 {
    (stable_hash(value) >> 11) as f64 / (1u64 << 53) as f64
}

//! The targets of other failure domains, as a holder sees them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::Hash,
};

use wire::{AdapterPrint, DomainId, TargetState};

use crate::{
    Targets,
    targets::{adapter_print, digest},
};

/// What is at the targets of other failure domains.
#[derive(Debug, Clone, Default)]
pub struct Elsewhere {
    /// Targets that take requests, by service and failure domain.
    sizes: BTreeMap<String, BTreeMap<DomainId, usize>>,
    /// Copies of each model and adapter.
    copies: HashMap<AdapterPrint, usize>,
    /// The adapters, by service.
    names: BTreeMap<String, BTreeSet<String>>,
    /// Failure domains that are known, this one included.
    domains: usize,
}

impl Elsewhere {
    /// Looks at all targets but those of one failure domain.
    pub fn new(domain: &str, targets: &Targets, domains: usize) -> Elsewhere {
        let mut elsewhere = Elsewhere { domains, ..Elsewhere::default() };
        for target in targets.iter() {
            if target.card.domain == domain || target.card.state != TargetState::Ready {
                continue;
            }
            let service = &target.card.service;
            let sizes = elsewhere.sizes.entry(service.clone()).or_default();
            *sizes.entry(target.card.domain.clone()).or_default() += 1;
            let names = elsewhere.names.entry(service.clone()).or_default();
            for name in target.adapters.keys() {
                *elsewhere.copies.entry(adapter_print(name)).or_default() += 1;
                if name.contains('/') && !names.contains(name) {
                    names.insert(name.clone());
                }
            }
        }
        elsewhere
    }

    /// Copies of a model or adapter.
    pub(crate) fn copies(&self, print: AdapterPrint) -> usize {
        self.copies.get(&print).copied().unwrap_or(0)
    }

    /// The adapters of a service.
    pub(crate) fn names(&self, service: &str) -> impl Iterator<Item = &String> {
        self.names.get(service).into_iter().flatten()
    }

    /// Targets of a service that take requests, by failure domain, with this one's.
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

    /// Failure domains that are known.
    pub(crate) fn domains(&self) -> usize {
        self.domains.max(1)
    }
}

/// The failure domains in the order in which an adapter goes to them. It depends
/// on nothing but their names and sizes; larger ones come first more often.
pub(crate) fn domain_order(name: &str, sizes: &BTreeMap<DomainId, usize>) -> Vec<DomainId> {
    let mut order: Vec<(f64, &DomainId)> = Vec::new();
    for (domain, &size) in sizes.iter().filter(|(_, size)| **size > 0) {
        let draw = (unit(&(name, domain))).max(f64::MIN_POSITIVE);
        order.push((-draw.ln() / size as f64, domain));
    }
    order.sort_by(|a, b| a.partial_cmp(b).expect("no logarithm of zero"));
    order.into_iter().map(|(_, domain)| domain.clone()).collect()
}

/// How many of an adapter's copies belong to a failure domain: the first to the
/// first in its order, further ones where the fewest are for the targets there.
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

/// A number from 0 to 1 that depends on nothing but the value.
pub(crate) fn unit(value: &impl Hash) -> f64 {
    (digest(value) >> 11) as f64 / (1u64 << 53) as f64
}

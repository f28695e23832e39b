//! Which route a request takes.

use std::{collections::HashMap, sync::Arc};

use crate::{Config, Route};

/// The routes of a configuration, by host name.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    /// The routes of each host name, longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl Routes {
    /// Sorts the routes of a configuration.
    pub fn new(config: &Config) -> Routes {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Routes { by_host }
    }

    /// Finds the route of a request: that with the longest prefix. A port after
    /// the host name does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut rest = draw.checked_rem(total)?;
        for (name, weight) in &self.split {
            if rest < *weight {
                return Some(name);
            }
            rest -= weight;
        }
        None
    }
}

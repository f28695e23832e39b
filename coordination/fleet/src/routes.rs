//! Choice of the route and the service of a request.

use std::{collections::HashMap, sync::Arc};

use crate::{Config, Route};

/// The routes of a configuration, by host name.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    /// Keys are lower-case host names; the routes of each have the longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl Routes {
    /// Builds the index of a configuration's routes.
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

    /// Finds the route with the longest matching prefix. Case and port of the host name are
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number. Returns `None` if all weights are
    /// zero.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw.checked_rem(total)?;
        for (name, weight) in &self.split {
            if remaining < *weight {
                return Some(name);
            }
            remaining -= weight;
        }
        None
    }
}

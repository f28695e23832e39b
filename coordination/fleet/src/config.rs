//! A whole configuration: routes, services and limits.

use std::{collections::BTreeMap, time::Duration};

use thiserror::Error;

/// Whether a request may be run more than once, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A request that may be run any number of times.
    Repeatable,
    /// A request that is run at most once.
    Once,
    /// A streamed answer; run at most once unless it is resumable.
    Stream {
        /// Whether another target may continue after the last event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a request may be run a second time.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Repeatable | RequestKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream { .. })
    }
}

/// A route: which requests it matches and which services they go to.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name of the matching requests.
    pub host: String,
    /// Path prefix of the matching requests, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may be run more than once.
    pub kind: RequestKind,
    /// Longest time that a request may wait for its answer, counted from its arrival.
    pub timeout: Duration,
    /// Target latency: an answer within it counts as on time.
    pub latency_objective: Duration,
    /// Longest pause in a stream that still counts as on time; zero if not configured.
    pub max_pause: Duration,
    /// Priority of its requests; zero is the highest.
    pub priority: u8,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Services that requests are split among, with their weights.
    pub split: Vec<(String, u64)>,
}

/// A model that targets of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Size of the weights in MB.
    pub weights_mb: f64,
    /// Size of one adapter in MB.
    pub adapter_mb: f64,
}

/// Capacity of the targets of a service that run models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests in one batch.
    pub slots: u32,
    /// Memory for weights and adapters in MB.
    pub weights_mb: f64,
    /// Number of adapter slots of one target.
    pub adapter_slots: usize,
    /// Loads per second from the weight store, over all targets.
    pub loads_per_s: f64,
    /// The models that the targets can hold.
    pub models: Vec<Model>,
}

/// A group of targets that requests are routed to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Capacity of its targets; `None` if the service runs no models.
    pub engine: Option<Engine>,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time that a connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// Limits where the configuration contains none or is not known yet.
    fn default() -> Limits {
        Limits { head_bytes: 16 * 1024, body_bytes: 4 * 1024 * 1024, idle: Duration::from_secs(15) }
    }
}

/// A configuration of the whole system.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Number of the configuration; higher numbers replace lower ones.
    pub number: u64,
    /// The routes of callers' requests.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The limits for callers.
    pub limits: Limits,
}

/// Reason why a configuration is invalid and must not come into force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A route refers to a service that doesn't exist.
    #[error("route {route} names unknown service {service}")]
    Service {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes match the same requests.
    #[error("routes {first} and {second} share host and prefix")]
    Shared {
        /// Name of one route.
        first: String,
        /// Name of the other route.
        second: String,
    },
    /// All weights of a route are zero, so its requests go nowhere.
    #[error("weights of route {0} add up to 0")]
    Weights(String),
    /// The timeout of a route is zero.
    #[error("timeout of route {0} is 0")]
    Timeout(String),
    /// The path prefix of a route does not begin and end with a slash.
    #[error("prefix of route {0} does not begin and end with a slash")]
    Prefix(String),
}

impl Config {
    /// Checks the configuration. Returns the first violation found.
    pub fn check(&self) -> Result<(), ConfigError> {
        let mut keys = BTreeMap::new();
        for route in &self.routes {
            self.check_route(route)?;
            let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
            if let Some(first) = keys.insert(key, &route.name) {
                let (first, second) = (first.clone(), route.name.clone());
                return Err(ConfigError::Shared { first, second });
            }
        }
        Ok(())
    }

    fn check_route(&self, route: &Route) -> Result<(), ConfigError> {
        for (service, _) in &route.split {
            if !self.services.contains_key(service) {
                let (route, service) = (route.name.clone(), service.clone());
                return Err(ConfigError::Service { route, service });
            }
        }
        if route.split.iter().all(|(_, weight)| *weight == 0) {
            return Err(ConfigError::Weights(route.name.clone()));
        }
        if route.timeout.is_zero() {
            return Err(ConfigError::Timeout(route.name.clone()));
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(ConfigError::Prefix(route.name.clone()));
        }
        Ok(())
    }
}

//! A whole configuration: routes, services and limits.

use std::{collections::BTreeMap, time::Duration};

use thiserror::Error;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Any number of runs.
    Repeatable,
    /// One run at most.
    Once,
    /// A stream; one run at most, unless it may be resumed.
    Stream {
        /// Whether another target may go on after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a second run is allowed.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Kind::Repeatable | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// Where requests go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host name that callers use.
    pub host: String,
    /// The beginning of the path, with a slash at its end.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time a request may wait for its answer.
    pub timeout: Duration,
    /// The time within which the answer is worth most.
    pub objective: Duration,
    /// The longest pause of its stream that is still on time; zero if it is not
    /// said.
    pub pause: Duration,
    /// Its rank; zero goes first.
    pub priority: u8,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// The services with their weights.
    pub split: Vec<(String, u64)>,
}

/// A model that targets of a service may hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Size of the weights in MB.
    pub weights_mb: f64,
    /// Size of one adapter in MB.
    pub adapter_mb: f64,
}

/// What the targets of a service run.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for weights and adapters in MB.
    pub weights_mb: f64,
    /// Adapters that one target holds.
    pub adapters: usize,
    /// Loads from the weight store in a second, over all targets.
    pub loads: f64,
    /// The models.
    pub models: Vec<Model>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its engine, if it runs models.
    pub engine: Option<Engine>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// What holds where a configuration says nothing, or is not known yet.
    fn default() -> Limits {
        Limits { head_bytes: 16 * 1024, body_bytes: 4 * 1024 * 1024, idle: Duration::from_secs(15) }
    }
}

/// A configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Its number.
    pub number: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The limits.
    pub limits: Limits,
}

/// A configuration that must not come into force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A route names a service that is not there.
    #[error("route {route} names unknown service {service}")]
    Service {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes take the same requests.
    #[error("routes {first} and {second} share host and prefix")]
    Shared {
        /// One route.
        first: String,
        /// The other.
        second: String,
    },
    /// No request of a route goes anywhere.
    #[error("weights of route {0} add up to 0")]
    Weights(String),
    /// A route leaves no time.
    #[error("timeout of route {0} is 0")]
    Timeout(String),
    /// A prefix does not begin and end with a slash.
    #[error("prefix of route {0} does not begin and end with a slash")]
    Prefix(String),
}

impl Config {
    /// Checks what no single field shows.
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

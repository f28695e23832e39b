//! Core of a host that sends callers' requests to targets: routing, choice of targets, retry
//! budget, discovery of other hosts and the replicated configuration. The holder of a failure
//! domain (the host that holds the domain's order lease) also places models and adapters at the
//! targets there.
//!
//! The crate is a pure state machine: inputs and the current time go in, outputs come out.

mod budget;
mod choose;
mod config;
mod demand;
mod elsewhere;
mod event;
mod exchange;
mod feed;
mod follow;
mod heartbeats;
mod hold;
mod homes;
mod hosts;
mod io;
mod lead;
mod loads;
mod machine;
mod members;
mod models;
mod operator;
mod pace;
mod place;
mod quarantine;
mod replicated;
mod request;
mod routes;
mod settings;
mod targets;
mod turns;

pub use crate::{
    budget::RetryBudget,
    choose::{Pick, Wanted, pick},
    config::{Config, ConfigError, Engine, Limits, Model, RequestKind, Route, Service},
    elsewhere::Elsewhere,
    event::Event,
    io::{Input, Order, OrderOutcome, Output, Reply, Report, Tag},
    loads::{Loads, LoadsSettings, Step},
    machine::Host,
    request::{Ask, Choice, NoRoute, Outcome, Ticket},
    routes::Routes,
    settings::{Bounds, Settings},
    targets::{Target, Targets, adapter_hash, stable_hash},
    turns::Turns,
};

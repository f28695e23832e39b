//! Core of a host that sends callers' requests to targets: routing, choice of targets, retry
//! budget, discovery of other hosts and the replicated configuration. The holder of a failure
//! domain (the host that holds the domain's order lease) also places models and adapters at the
//! targets there.
//!
//! The crate is a pure state machine: inputs and the current time go in, outputs come out.

mod account;
mod answers;
mod budget;
mod choose;
mod config;
mod confirm;
mod connections;
mod crash_reports;
mod departures;
mod event;
mod exchange;
mod feed;
mod follow;
mod former;
mod heartbeats;
mod holder;
mod homes;
mod hosts;
mod io;
mod lead;
mod limit_view;
mod limits;
mod load_checks;
mod losses;
mod machine;
mod members;
mod models;
mod operator;
mod orders;
mod other_domains;
mod permits;
mod place_requests;
mod placement;
mod places;
mod prefill;
mod quarantine;
mod rates;
mod reach;
mod replicated;
mod request;
mod resources;
mod routes;
mod row;
mod row_limits;
mod settings;
mod shutdown;
mod software;
mod store;
mod stream_records;
mod suspects;
mod targets;
mod versions;
mod view;

pub use crate::{
    budget::RetryBudget,
    choose::{Pick, Picked, Requirements, pick},
    config::{Config, ConfigError, Engine, Limits, Model, RequestKind, Route, Service},
    confirm::LATE_HOSTS,
    connections::{ConnectionId, Connections, NoConnection},
    crash_reports::SeenCrash,
    event::{Basis, CutRequest, Event, LateHost, ReportVerdict, UnsentMessages},
    io::{Input, Order, OrderOutcome, Output, Reply, Report, Tag},
    limit_view::LimitView,
    machine::Host,
    other_domains::OtherDomains,
    placement::{Demand, PlacementSettings, PlacementStep, PlacementTable},
    places::{LimitInForce, PlaceScheduler},
    prefill::PrefillScheduler,
    quarantine::Admission,
    reach::Way,
    request::{Choice, NoRoute, Outcome, Reservation, TargetQuery},
    resources::{Listener, Resources},
    routes::Routes,
    settings::{Bounds, Settings},
    shutdown::{AnswerTime, Shutdown},
    stream_records::stream_hash,
    targets::{Pause, Target, Targets, adapter_hash, stable_hash},
};

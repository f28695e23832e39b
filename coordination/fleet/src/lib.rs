//! A host that sends callers' requests to targets itself: routes, choice of
//! targets, retry budget, the hosts that find each other, and on the holder of a
//! failure domain its adapters' places. Pure: inputs and the present time go in, outputs come out.

mod beats;
mod board;
mod budget;
mod choose;
mod config;
mod demand;
mod elsewhere;
mod event;
mod feed;
mod follow;
mod hold;
mod homes;
mod hosts;
mod io;
mod lead;
mod loads;
mod machine;
mod members;
mod operator;
mod pace;
mod place;
mod renew;
mod replicated;
mod request;
mod routes;
mod settings;
mod strikes;
mod targets;
mod turns;

pub use crate::{
    budget::RetryBudget,
    choose::{Pick, Wanted, pick},
    config::{Config, ConfigError, Engine, Kind, Limits, Model, Route, Service},
    elsewhere::Elsewhere,
    event::Event,
    io::{Input, Order, OrderOutcome, Output, Reply, Report, Tag},
    loads::{Loads, LoadsSettings, Step},
    machine::Host,
    request::{Ask, Choice, NoRoute, Outcome, Ticket},
    routes::Routes,
    settings::{Bounds, Settings},
    targets::{Target, Targets, adapter_print, digest},
    turns::Turns,
};

//! Runs a stand-in model engine.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use api::{CapacityBody, KindBody};
use argh::FromArgs;
use sessions::{
    engine::{Behaviour, Engine},
    options::{Hosts, Options, new_incarnation, parse_percent, parse_yes_no},
    process,
};

/// Stand-in model engine for tests.
#[derive(FromArgs)]
struct Args {
    /// address to listen on, `IP:PORT`
    #[argh(option)]
    addr: SocketAddr,
    /// name of the target
    #[argh(option)]
    name: String,
    /// failure domain
    #[argh(option)]
    domain: String,
    /// entry addresses of hosts to report to, separated by commas
    #[argh(option)]
    hosts: Hosts,
    /// base model
    #[argh(option)]
    model: String,
    /// adapters loaded at once
    #[argh(option, default = "4")]
    adapters: u32,
    /// concurrent requests
    #[argh(option, default = "8")]
    requests: u32,
    /// milliseconds that a load takes
    #[argh(option, default = "250")]
    load_ms: u64,
    /// milliseconds between tokens
    #[argh(option, default = "5")]
    token_ms: u64,
    /// whether orders with an old fencing number are refused, yes or no
    #[argh(option, default = "true", from_str_fn(parse_yes_no))]
    fenced: bool,
    /// percentage of loads that fail
    #[argh(option, default = "0", from_str_fn(parse_percent))]
    fail_loads: u32,
    /// milliseconds between reports
    #[argh(option, default = "300")]
    report_ms: u64,
    /// minimum age of a report's content in milliseconds
    #[argh(option, default = "0")]
    report_delay_ms: u64,
    /// percentage of reports that are not sent
    #[argh(option, default = "0", from_str_fn(parse_percent))]
    drop_reports: u32,
    /// seed of the random generator
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let options = Options {
        name: args.name,
        addr: args.addr,
        domain: args.domain,
        hosts: args.hosts.0,
        kind: KindBody::Engine(args.model),
        capacity: CapacityBody { adapters: args.adapters, requests: args.requests },
        fenced: args.fenced,
        report_interval: Duration::from_millis(args.report_ms),
        report_delay: Duration::from_millis(args.report_delay_ms),
        drop_percent: args.drop_reports,
        seed: args.seed,
        incarnation: new_incarnation(),
    };
    let behaviour = Behaviour {
        load_time: Duration::from_millis(args.load_ms),
        token_interval: Duration::from_millis(args.token_ms),
        fail_percent: args.fail_loads,
    };
    process::run(Engine::new(options.clone(), behaviour), options).await
}

//! Runs a stand-in plain service.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use api::{CapacityBody, KindBody};
use argh::FromArgs;
use sessions::{
    options::{Hosts, Options, new_incarnation, parse_percent, parse_yes_no},
    process,
    service::Service,
};

/// Stand-in plain service for tests.
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
    /// name of the service
    #[argh(option)]
    service: String,
    /// concurrent requests
    #[argh(option, default = "8")]
    requests: u32,
    /// milliseconds that a call takes
    #[argh(option, default = "5")]
    work_ms: u64,
    /// whether the report says that old fencing numbers are refused, yes or no
    #[argh(option, default = "true", from_str_fn(parse_yes_no))]
    fenced: bool,
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
        kind: KindBody::Service(args.service.clone()),
        capacity: CapacityBody { adapters: 0, requests: args.requests },
        fenced: args.fenced,
        report_interval: Duration::from_millis(args.report_ms),
        report_delay: Duration::from_millis(args.report_delay_ms),
        drop_percent: args.drop_reports,
        seed: args.seed,
        incarnation: new_incarnation(),
    };
    let work = Duration::from_millis(args.work_ms);
    process::run(Service::new(args.service, options.clone(), work), options).await
}

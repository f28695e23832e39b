//! Command-line arguments. The doc comments of commands and fields are the help texts.

use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};

use crate::client::Addresses;

/// Operates poplarhollow: checks and publishes declarations, reads status and audit trail.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(
    note = "Without --host, operator addresses are read from POPLARHOLLOW_HOSTS; without --entry, entry addresses are read from POPLARHOLLOW_ENTRIES.",
    error_code(1, "The command failed."),
    error_code(2, "The command line is wrong."),
    error_code(3, "The outcome is unknown: the answer was lost.")
)]
pub(crate) struct Top {
    #[argh(subcommand)]
    pub(crate) cmd: Cmd,
}

#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand)]
pub(crate) enum Cmd {
    Check(Check),
    Publish(Publish),
    Status(Status),
    Where(Where),
    Audit(Audit),
    Request(Request),
    Explain(Explain),
    Completions(Completions),
}

/// Checks declarations and settings without a host.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// files to check; the kind of each file is detected from its content
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
    /// print one JSON object for scripts
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Publishes declarations: all are accepted or none. Safe to run again.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// declaration files
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
    /// revision of the reviewed code that the files come from
    #[argh(option)]
    pub(crate) revision: String,
    /// who publishes; defaults to the environment variable USER
    #[argh(option)]
    pub(crate) author: Option<String>,
    /// operator addresses of hosts, comma-separated IP:PORT
    #[argh(option)]
    pub(crate) host: Option<Addresses>,
    /// file with the hosts' publish key; defaults to the environment variable POPLARHOLLOW_PUBLISH_KEY_FILE
    #[argh(option)]
    pub(crate) key_file: Option<PathBuf>,
    /// seconds to wait until the change is in force everywhere
    #[argh(option, default = "20")]
    pub(crate) wait: u64,
    /// print the receipt as JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows hosts, targets, services and alarms as seen by the queried hosts.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// operator addresses of hosts, comma-separated IP:PORT
    #[argh(option)]
    pub(crate) host: Option<Addresses>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Lists the entry addresses to use for an adapter, best first.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "where")]
pub(crate) struct Where {
    /// the adapter as MODEL@ADAPTER@VERSION
    #[argh(positional)]
    pub(crate) model: Option<String>,
    /// entry addresses of hosts, comma-separated IP:PORT
    #[argh(option)]
    pub(crate) entry: Option<Addresses>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Reads the audit trail of accepted changes.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "audit")]
pub(crate) struct Audit {
    #[argh(subcommand)]
    pub(crate) cmd: AuditCmd,
}

#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand)]
pub(crate) enum AuditCmd {
    Show(AuditShow),
    Export(AuditExport),
    Verify(AuditVerify),
}

/// Lists the accepted changes.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "show")]
pub(crate) struct AuditShow {
    /// sequence of the first change to list
    #[argh(option, default = "1")]
    pub(crate) from: u64,
    /// operator addresses of hosts, comma-separated IP:PORT
    #[argh(option)]
    pub(crate) host: Option<Addresses>,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Writes the whole trail to a file and verifies it.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "export")]
pub(crate) struct AuditExport {
    /// file to write
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// operator addresses of hosts, comma-separated IP:PORT
    #[argh(option)]
    pub(crate) host: Option<Addresses>,
}

/// Verifies an exported trail without a host.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "verify")]
pub(crate) struct AuditVerify {
    /// exported file
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// audit head from the receipt of a publish; the trail must contain it
    #[argh(option)]
    pub(crate) head: Option<String>,
}

/// Sends one request and prints the answer.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "request")]
pub(crate) struct Request {
    /// the adapter as MODEL@ADAPTER@VERSION; omitted for a plain service
    #[argh(option)]
    pub(crate) model: Option<String>,
    /// declared service
    #[argh(option)]
    pub(crate) service: Option<String>,
    /// declared call of the service
    #[argh(option)]
    pub(crate) call: Option<String>,
    /// prompt, or the body of a plain service's call
    #[argh(option)]
    pub(crate) prompt: String,
    /// maximum number of tokens to generate
    #[argh(option)]
    pub(crate) max_tokens: Option<u32>,
    /// print the answer as it is generated
    #[argh(switch)]
    pub(crate) stream: bool,
    /// idempotency key of a call that may run only once
    #[argh(option)]
    pub(crate) key: Option<String>,
    /// when the key was created, in milliseconds since the epoch; defaults to now
    #[argh(option)]
    pub(crate) key_made: Option<u64>,
    /// name of the caller
    #[argh(option)]
    pub(crate) caller: Option<String>,
    /// milliseconds until the caller's deadline
    #[argh(option)]
    pub(crate) deadline_ms: Option<u64>,
    /// entry addresses of hosts, comma-separated IP:PORT
    #[argh(option)]
    pub(crate) entry: Option<Addresses>,
    /// print the body of the answer unchanged
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Explains what happened to one request from the hosts' log lines.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// identifier of the caller's attempt (header attempt-id)
    #[argh(positional)]
    pub(crate) id: String,
    /// log files of one or more hosts; defaults to standard input
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Prints a completion script: bash, zsh, fish or nushell.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "completions")]
pub(crate) struct Completions {
    /// name of the shell
    #[argh(positional)]
    pub(crate) shell: String,
}

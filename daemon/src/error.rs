//! Errors that end the daemon.

use std::{io, path::PathBuf};

use decl::FileError;
use peer::PeerError;
use store::StoreError;
use thiserror::Error;
use web::ServeError;

/// Reason why the daemon could not start or had to end.
#[derive(Debug, Error)]
pub(crate) enum DaemonError {
    /// A file could not be read.
    #[error("could not read {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The publish key file is empty or contains only white space.
    #[error("{path} contains no key")]
    EmptyKey {
        /// The file.
        path: PathBuf,
    },
    /// The settings are invalid; holds all mistakes.
    #[error("invalid settings: {}", list(.0))]
    Settings(Vec<FileError>),
    /// The data folder could not be opened.
    #[error("could not open data folder")]
    Store(#[from] StoreError),
    /// The peer layer could not start, for instance because its port is in use.
    #[error("could not start peer layer")]
    Peer(#[from] PeerError),
    /// The entry or operator server could not start, for instance because its port is in use.
    #[error("could not start server")]
    Serve(#[from] ServeError),
    /// The runtime, the disk thread or the signal handlers could not start.
    #[error("could not start")]
    Start(#[from] io::Error),
    /// A task that must run until shutdown has ended.
    #[error("a worker task ended unexpectedly")]
    Worker,
}

fn list(errors: &[FileError]) -> String {
    let lines: Vec<String> = errors.iter().map(FileError::to_string).collect();
    lines.join("; ")
}

//! Why the daemon could not start or go on.

use std::{io, path::PathBuf};

use decl::FileError;
use peer::PeerError;
use store::StoreError;
use thiserror::Error;
use web::ServeError;

/// The daemon could not start or go on.
#[derive(Debug, Error)]
pub(crate) enum DaemonError {
    /// A file could not be read.
    #[error("could not read {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The refusal.
        #[source]
        source: io::Error,
    },
    /// A key file holds no key.
    #[error("{path} holds no key")]
    EmptyKey {
        /// The file.
        path: PathBuf,
    },
    /// The settings have mistakes.
    #[error("could not accept settings: {}", list(.0))]
    Settings(Vec<FileError>),
    /// The data folder is unusable.
    #[error("could not open data folder")]
    Store(#[from] StoreError),
    /// The peer port is unusable.
    #[error("could not start peer layer")]
    Peer(#[from] PeerError),
    /// The entry or operator port is unusable.
    #[error("could not start server")]
    Serve(#[from] ServeError),
    /// The runtime or the signal handlers could not start.
    #[error("could not start")]
    Start(#[from] io::Error),
    /// A worker ended.
    #[error("could not go on: a worker ended")]
    Worker,
}

fn list(errors: &[FileError]) -> String {
    let lines: Vec<String> = errors.iter().map(FileError::to_string).collect();
    lines.join("; ")
}

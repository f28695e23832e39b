//! Errors that prevent the process from starting.

use std::{io, net::SocketAddr, path::PathBuf};

use peer::PeerError;
use platform::FormatError;
use store::StoreError;
use thiserror::Error;

/// Why the process could not start.
#[derive(Debug, Error)]
pub(crate) enum EdgeError {
    /// No option was given, and this environment variable does not name the settings file.
    #[error("environment variable {0} is not set")]
    NoSettings(&'static str),
    /// A file could not be read.
    #[error("could not read {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// The settings file has an invalid or missing value.
    #[error("invalid settings file {path}")]
    Settings {
        /// The file.
        path: PathBuf,
        /// The missing or invalid setting.
        #[source]
        source: FormatError,
    },
    /// The data folder could not be opened.
    #[error("could not open data folder")]
    Store(#[from] StoreError),
    /// The connections between hosts could not be started.
    #[error("could not start peer layer")]
    Peer(#[from] PeerError),
    /// A listener could not be opened.
    #[error("could not listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        #[source]
        source: io::Error,
    },
    /// The async runtime, the signal handlers or the disk thread could not be started.
    #[error("could not start process")]
    Start(#[from] io::Error),
}

//! Why the process could not start.

use std::{io, net::SocketAddr, path::PathBuf};

use peer::PeerError;
use platform::FormatError;
use store::StoreError;
use thiserror::Error;

/// The process could not start.
#[derive(Debug, Error)]
pub(crate) enum EdgeError {
    /// Nothing names the settings file.
    #[error("{0} is not set")]
    NoSettings(&'static str),
    /// A file could not be read.
    #[error("could not read {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The refusal.
        #[source]
        source: io::Error,
    },
    /// The settings have a mistake.
    #[error("could not accept {path}")]
    Settings {
        /// The file.
        path: PathBuf,
        /// The mistake.
        #[source]
        source: FormatError,
    },
    /// The data folder is unusable.
    #[error("could not open data folder")]
    Store(#[from] StoreError),
    /// The port between hosts is unusable.
    #[error("could not start peer layer")]
    Peer(#[from] PeerError),
    /// A port could not be used.
    #[error("could not listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The refusal.
        #[source]
        source: io::Error,
    },
    /// The runtime or the signal handlers could not start.
    #[error("could not start")]
    Start(#[from] io::Error),
}

//! Command line of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs one host of a serving layer for LoRA adapters.
#[derive(Debug, FromArgs)]
pub(crate) struct Options {
    /// settings file (INI)
    #[argh(option)]
    pub(crate) config: PathBuf,

    /// worker threads; defaults to one per core, at most 4
    #[argh(option)]
    pub(crate) workers: Option<usize>,
}

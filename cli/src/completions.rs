//! `completions`: prints completion scripts for shells.

use argh::ArgsInfo;
use argh_complete::{Generator, bash::Bash, fish::Fish, nushell::Nushell, zsh::Zsh};

use crate::{
    NAME,
    cmd::{Completions, Top},
    error::Error,
};

impl Completions {
    pub(crate) fn run(self) -> Result<(), Error> {
        let info = Top::get_args_info();
        let script = match self.shell.as_str() {
            "bash" => Bash::generate(NAME, &info),
            "zsh" => Zsh::generate(NAME, &info),
            "fish" => Fish::generate(NAME, &info),
            "nushell" => Nushell::generate(NAME, &info),
            other => {
                let message = format!("unknown shell `{other}`; use bash, zsh, fish or nushell");
                return Err(Error::usage(message));
            }
        };
        print!("{script}");
        Ok(())
    }
}

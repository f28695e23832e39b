//! Plays the cases of the third review that are scripts: it starts hosts as the deploy file does, and is their
//! platform, operator and clients. It uses the standard library only.
//!
//! `standin-3 CASE RECORD` exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run. Without
//! the disruption (`TROUBLE=0`) it does the same but for that.

mod bad_config;
mod first_disk;
mod fleet;
mod http;
mod replica;
mod two_disks;

use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let played = match case.as_str() {
        "bad_config" => bad_config::play(record, trouble),
        "first_disk" => first_disk::play(record, trouble),
        "two_disks" => two_disks::play(record, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match played {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(why) => {
            eprintln!("couldn't run: {why}");
            ExitCode::from(2)
        }
    }
}

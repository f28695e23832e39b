//! `where`: lists the entry addresses for an adapter. The module can't be named after the command,
//! which is a keyword.

use std::time::Duration;

use api::WhereBody;

use crate::{
    client::{Addresses, Client, ENTRIES, block_on, url_part},
    cmd::Where,
    error::Error,
    output::print_json,
};

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

impl Where {
    pub(crate) fn run(self) -> Result<(), Error> {
        let addrs = Addresses::or_env(self.entry, ENTRIES)?;
        let path = match &self.model {
            Some(model) => format!("/v1/where?model={}", url_part(model)?),
            None => "/v1/where".to_owned(),
        };
        let client = Client::new(EXCHANGE_TIMEOUT);
        let answer = block_on(async { client.get::<WhereBody>(&addrs, &path).await });
        let answer = answer.map_err(|err| err.context("could not get entry addresses"))?;
        if self.json {
            return print_json(&answer);
        }
        for entry in &answer.entries {
            println!("{} {}", entry.addr, entry.domain);
        }
        println!("valid for {} s", answer.lifetime);
        Ok(())
    }
}

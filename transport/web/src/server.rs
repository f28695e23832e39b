//! Running the servers.

use std::{net::SocketAddr, sync::Arc};

use api::MAX_BODY_BYTES;
use dropshot::{
    ApiDescription, BuildError, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder,
};
use slog::Logger;
use thiserror::Error;

use crate::{
    EntryContext,
    border::{Entry, Operator},
    entry_api, operator_api,
};

/// The largest publish, in bytes.
const MAX_PUBLISH_BYTES: usize = 8 * 1024 * 1024;

/// A server could not start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The address could not be used.
    #[error("could not listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The refusal.
        #[source]
        source: Box<BuildError>,
    },
}

/// The servers of a host.
pub struct Server {
    entry: HttpServer<EntryContext>,
    operator: HttpServer<Arc<dyn Operator>>,
}

impl Server {
    /// Starts both servers on the present runtime.
    pub fn start(
        entry: (SocketAddr, Arc<dyn Entry>),
        operator: (SocketAddr, Arc<dyn Operator>),
        log: &Logger,
    ) -> Result<Server, ServeError> {
        let entry_paths = entry_api().expect("the entry API's paths do not clash");
        let operator_paths = operator_api().expect("the operator API's paths do not clash");
        Ok(Server {
            entry: start(entry.0, MAX_BODY_BYTES, entry_paths, EntryContext::new(entry.1), log)?,
            operator: start(operator.0, MAX_PUBLISH_BYTES, operator_paths, operator.1, log)?,
        })
    }

    /// Stops taking connections and waits until the present requests are
    /// answered.
    pub async fn close(self) {
        // An error means that the server has ended already.
        let _ = self.entry.close().await;
        let _ = self.operator.close().await;
    }
}

fn start<C: Send + Sync + 'static>(
    addr: SocketAddr,
    max_bytes: usize,
    paths: ApiDescription<C>,
    context: C,
    log: &Logger,
) -> Result<HttpServer<C>, ServeError> {
    let config = ConfigDropshot {
        bind_address: addr,
        default_request_body_max_bytes: max_bytes,
        // A caller that leaves drops its handler, which gives the request up.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(paths, context, log.clone())
        .config(config)
        .start()
        .map_err(|source| ServeError::Listen { addr, source: Box::new(source) })
}

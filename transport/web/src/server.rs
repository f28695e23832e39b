//! The HTTP servers of a host.

use std::{net::SocketAddr, sync::Arc};

use api::MAX_BODY_BYTES;
use dropshot::{
    ApiDescription, BuildError, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder,
};
use slog::Logger;
use thiserror::Error;

use crate::{
    EntryContext, OperatorContext, entry_api,
    interface::{Entry, Operator},
    operator::MAX_PUBLISH_BYTES,
    operator_api,
};

/// An error that prevents a server from starting.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The server could not listen on its address.
    #[error("could not listen on {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: Box<BuildError>,
    },
}

/// The two servers of a host: for callers and targets, and for operators.
pub struct Server {
    entry: HttpServer<EntryContext>,
    operator: HttpServer<OperatorContext>,
}

impl Server {
    /// Starts both servers on the current Tokio runtime.
    pub fn start(
        entry: (SocketAddr, Arc<dyn Entry>),
        operator: (SocketAddr, Arc<dyn Operator>),
        log: &Logger,
    ) -> Result<Server, ServeError> {
        let entry_paths = entry_api().expect("the entry API's paths do not clash");
        let operator_paths = operator_api().expect("the operator API's paths do not clash");
        Ok(Server {
            entry: start(entry.0, MAX_BODY_BYTES, entry_paths, EntryContext::new(entry.1), log)?,
            operator: start(
                operator.0,
                MAX_PUBLISH_BYTES,
                operator_paths,
                OperatorContext::new(operator.1),
                log,
            )?,
        })
    }

    /// Stops accepting connections and waits until the requests in progress are answered.
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
        // When a caller disconnects, its handler is dropped, which cancels the request.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(paths, context, log.clone())
        .config(config)
        .start()
        .map_err(|source| ServeError::Listen { addr, source: Box::new(source) })
}

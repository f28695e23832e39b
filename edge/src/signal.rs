//! A condition that comes true once, and stays true.

use tokio::sync::watch;

/// Unlike a notification, it also reaches those who begin to wait for it afterwards.
#[derive(Default)]
pub(crate) struct Signal(watch::Sender<bool>);

impl Signal {
    pub(crate) fn set(&self) {
        self.0.send_replace(true);
    }

    pub(crate) fn is_set(&self) -> bool {
        *self.0.borrow()
    }

    pub(crate) async fn wait(&self) {
        // The sender lives as long as this borrow of it, so there is no error.
        let _ = self.0.subscribe().wait_for(|it| *it).await;
    }
}

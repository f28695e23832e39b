//! The places of clients' connections at a listener, of which there is a limited number.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
};

use bytes::Bytes;
use fleet::{ConnectionId, Connections, Event, Listener};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use crate::{
    answer::{AnswerBody, Truncated},
    edge::Edge,
    stall::Observer,
};

/// The places of one listener.
pub(crate) struct Places {
    edge: Weak<Edge>,
    listener: Listener,
    table: RefCell<Connections>,
    open: RefCell<HashMap<ConnectionId, Weak<Place>>>,
    /// Connections that were closed for others, and that were not taken, since the last log line.
    closed: Cell<u64>,
    refused: Cell<u64>,
}

/// The place of a connection, until it is dropped.
pub(crate) struct Place {
    edge: Rc<Edge>,
    places: Rc<Places>,
    id: ConnectionId,
    closing: Notify,
}

impl Places {
    pub(crate) fn new(edge: &Rc<Edge>, listener: Listener) -> Rc<Places> {
        let limit = edge.host.borrow().settings().resources.connections(listener);
        Rc::new(Places {
            edge: Rc::downgrade(edge),
            listener,
            table: RefCell::new(Connections::new(limit)),
            open: RefCell::default(),
            closed: Cell::default(),
            refused: Cell::default(),
        })
    }

    /// Gives a connection a place, for which another one that waits for its client is closed if there are too many.
    /// None if all of them are being served.
    pub(crate) fn take(self: &Rc<Places>, edge: &Rc<Edge>) -> Option<Rc<Place>> {
        let Ok((id, closed)) = self.table.borrow_mut().open(edge.now()) else {
            self.refused.set(self.refused.get() + 1);
            edge.metrics.connection_shed(self.listener, "refused");
            return None;
        };
        if let Some(closed) = closed {
            self.close(edge, closed, "closed");
        }
        let (edge, places) = (edge.clone(), self.clone());
        let place = Rc::new(Place { edge, places, id, closing: Notify::new() });
        self.open.borrow_mut().insert(id, Rc::downgrade(&place));
        Some(place)
    }

    /// Closes the connection whose client has taken nothing of its answer for the longest time. Returns whether one has
    /// stalled.
    pub(crate) fn close_stalled(&self) -> bool {
        let Some(edge) = self.edge.upgrade() else { return false };
        let Some(id) = self.table.borrow_mut().remove_stalled(edge.now()) else { return false };
        self.close(&edge, id, "stalled");
        true
    }

    /// Has a connection closed that was removed from the table; `how` is the metric's label.
    fn close(&self, edge: &Edge, id: ConnectionId, how: &str) {
        let place = self.open.borrow_mut().remove(&id).and_then(|it| it.upgrade());
        let Some(place) = place else { return };
        place.closing.notify_one();
        self.closed.set(self.closed.get() + 1);
        edge.metrics.connection_shed(self.listener, how);
    }

    /// Returns what became of connections that had no place since the last call, if there are any.
    pub(crate) fn take_shed(&self) -> Option<Event> {
        let (closed, refused) = (self.closed.take(), self.refused.take());
        if closed + refused == 0 {
            return None;
        }
        let open = self.table.borrow().count();
        Some(Event::ConnectionsShed { listener: self.listener.as_str(), open, closed, refused })
    }
}

impl Place {
    /// Waits until the connection has to be closed.
    pub(crate) async fn closing(&self) {
        self.closing.notified().await;
    }

    /// Keeps the connection: its request has come whole, and is served.
    pub(crate) fn serve(&self) {
        self.places.table.borrow_mut().serve(self.id);
    }

    fn wait(&self) {
        self.places.table.borrow_mut().wait(self.edge.now(), self.id);
    }
}

impl Observer for Place {
    fn record_activity(&self) {
        self.places.table.borrow_mut().record_activity(self.edge.now(), self.id);
    }

    fn record_blocked(&self, is_blocked: bool) {
        self.places.table.borrow_mut().record_blocked(self.id, is_blocked);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.table.borrow_mut().close(self.id);
        self.places.open.borrow_mut().remove(&self.id);
    }
}

/// The body of an answer. Once it is written or left, its connection waits for its client.
pub(crate) struct ServedBody {
    body: AnswerBody,
    place: Rc<Place>,
}

impl ServedBody {
    pub(crate) fn new(body: AnswerBody, place: Rc<Place>) -> ServedBody {
        ServedBody { body, place }
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.place.wait();
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

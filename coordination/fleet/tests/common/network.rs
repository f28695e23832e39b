//! What happens to messages between simulated hosts.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use wire::{FeedChange, FleetMsg, HostId, PeerMsg};

use super::ms;

/// Loss and lateness of messages.
#[derive(Default)]
pub struct Network {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message that goes as a datagram is lost, beside [`Network::loss`].
    pub datagram_loss: f64,
    /// Longest additional time that messages to and from a host take.
    pub lateness: BTreeMap<HostId, Duration>,
    /// Until when connections with a host are not open: messages other than datagrams are lost.
    pub connecting: BTreeMap<HostId, Duration>,
}

impl Network {
    /// Returns the time that a message takes; `None` if it is lost.
    pub fn delay(
        &self,
        now: Duration,
        from: HostId,
        to: HostId,
        msg: &PeerMsg,
        rng: &mut ChaCha8Rng,
    ) -> Option<Duration> {
        if rng.random_bool(self.loss) {
            return None;
        }
        let delay = ms(rng.random_range(3..6));
        if msg.is_periodic() {
            if self.datagram_loss > 0.0 && rng.random_bool(self.datagram_loss) {
                return None;
            }
        } else if self.is_connecting(now, from) || self.is_connecting(now, to) {
            return None;
        }
        let most = self.lateness.get(&from).max(self.lateness.get(&to));
        Some(delay + most.map_or(Duration::ZERO, |it| it.mul_f64(rng.random())))
    }

    fn is_connecting(&self, now: Duration, host: HostId) -> bool {
        self.connecting.get(&host).is_some_and(|until| now < *until)
    }
}

/// Whether a message is about request limits and places.
pub fn is_about_places(msg: &PeerMsg) -> bool {
    let PeerMsg::Fleet(msg) = msg else { return false };
    matches!(
        **msg,
        FleetMsg::PlaceRequest(_)
            | FleetMsg::PlaceReply(_)
            | FleetMsg::PlacesUnused { .. }
            | FleetMsg::LimitNamed { .. }
    )
}

/// What a message is about.
pub fn topic(msg: &PeerMsg) -> &'static str {
    let PeerMsg::Fleet(msg) = msg else { return "log" };
    let is_reach = |change: &FeedChange| matches!(change, FeedChange::Reach(..));
    match &**msg {
        FleetMsg::Reach { .. } => "reach",
        FleetMsg::Feed(feed) if feed.changes.iter().any(is_reach) => "feed of reach",
        FleetMsg::Confirmed { .. } => "confirmed",
        _ => "other",
    }
}

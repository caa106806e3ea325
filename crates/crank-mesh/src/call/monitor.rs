//! Watches a client connection for silence, as [`Liveness`] decides.

use crank_engine::Moment;
use crank_engine::liveness::{Liveness, Step};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, Instant};

/// The evidence about a connection, shared by its reader, its writer and its users.
pub(super) struct Monitor {
    opened_at: Instant,
    liveness: Mutex<Liveness>,
    /// Wakes the reader, which has to decide anew.
    changed: Notify,
    is_suspect: watch::Sender<bool>,
}

impl Monitor {
    /// Starts with the round trip that the handshake took.
    pub(super) fn new(handshake: Duration) -> Self {
        let mut liveness = Liveness::new(Moment(0));
        liveness.add_round_trip(handshake);
        Self {
            opened_at: Instant::now(),
            liveness: Mutex::new(liveness),
            changed: Notify::new(),
            is_suspect: watch::Sender::new(false),
        }
    }

    fn now(&self) -> Moment {
        let micros = self.opened_at.elapsed().as_micros();
        Moment(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the instant of a moment; the far future if it is out of range.
    pub(super) fn instant(&self, moment: Moment, latest: Instant) -> Instant {
        let since_opened = Duration::from_micros(moment.0);
        let instant = self.opened_at.checked_add(since_opened);
        instant.map_or(latest, |instant| instant.min(latest))
    }

    pub(super) fn record_message(&self) {
        let now = self.now();
        self.liveness.lock().record_message(now);
        self.clear_suspicion();
    }

    pub(super) fn record_pong(&self) {
        let now = self.now();
        self.liveness.lock().record_pong(now);
        self.clear_suspicion();
    }

    pub(super) fn record_ping(&self) {
        let now = self.now();
        self.liveness.lock().record_ping(now);
    }

    /// Returns whether a ping should follow the request that is being written, and counts it as
    /// sent then.
    pub(super) fn take_ping(&self) -> bool {
        let now = self.now();
        let mut liveness = self.liveness.lock();
        let needs_ping = liveness.needs_ping(now);
        if needs_ping {
            liveness.record_ping(now);
            self.changed.notify_one();
        }
        needs_ping
    }

    /// Records that the node answers over a newer connection; returns how long this one has been
    /// silent.
    pub(super) fn record_replacement(&self) -> Duration {
        let now = self.now();
        let mut liveness = self.liveness.lock();
        liveness.record_replacement(now);
        self.changed.notify_one();
        Duration::from(liveness.silence(now))
    }

    pub(super) fn is_suspect(&self) -> bool {
        let now = self.now();
        self.liveness.lock().is_suspect(now)
    }

    /// Decides the next step of the reader.
    pub(super) fn next_step(&self, has_waiting: bool) -> Step {
        let now = self.now();
        let step = self.liveness.lock().next_step(now, has_waiting);
        if matches!(step, Step::Suspect { .. }) {
            self.is_suspect.send_replace(true);
        }
        step
    }

    /// Makes the reader decide anew, because a request waits now.
    pub(super) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Waits until the reader has to decide anew.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the connection is suspect.
    pub(super) async fn suspected(&self) {
        let mut is_suspect = self.is_suspect.subscribe();
        // The sender lives as long as `self`, so that the wait cannot fail.
        let _ = is_suspect.wait_for(|is_suspect| *is_suspect).await;
    }

    fn clear_suspicion(&self) {
        self.is_suspect.send_if_modified(std::mem::take::<bool>);
    }
}

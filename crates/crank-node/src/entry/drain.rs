//! Draining of the entry, and the load that is in flight meanwhile.

use std::collections::BTreeMap;

use crank_engine::drain::DrainProgress;
use crank_protocol::call::Load;
use crank_protocol::{Millis, Name};

use super::{EntryProxy, Transport};

impl<T: Transport> EntryProxy<T> {
    /// Starts to drain the node: refuses callers' new requests and finishes those in flight.
    ///
    /// Requests of the backend server beside this node are still accepted, because its own work in
    /// flight may need them.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// # use crank_protocol::Millis;
    /// fn on_sigterm<T: Transport>(entry: &EntryProxy<T>) {
    ///     entry.start_drain(Millis(30_000));
    /// }
    /// ```
    pub fn start_drain(&self, grace: Millis) {
        self.shared.drain.lock().start(self.now(), grace);
    }

    /// Announces that the node ends after `grace`: a request that is taken from now on gets no more
    /// time than that.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// # use crank_protocol::Millis;
    /// fn on_sigterm<T: Transport>(entry: &EntryProxy<T>) {
    ///     entry.announce_end(Millis(5_000));
    /// }
    /// ```
    pub fn announce_end(&self, grace: Millis) {
        self.shared.drain.lock().announce_end(self.now(), grace);
    }

    /// Ends all attempts in flight as timed out, so that their callers still get an answer.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// fn before_exit<T: Transport>(entry: &EntryProxy<T>) {
    ///     entry.end_attempts();
    /// }
    /// ```
    pub fn end_attempts(&self) {
        self.shared.ending.cancel();
    }

    /// Returns the progress of the drain.
    ///
    /// ```
    /// # use crank_engine::drain::{Drain, DrainProgress};
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// fn is_drained<T: Transport>(entry: &EntryProxy<T>) -> bool {
    ///     entry.progress() == DrainProgress::Drained
    /// }
    /// ```
    #[must_use]
    pub fn progress(&self) -> DrainProgress {
        let in_flight = self.load().values().map(in_flight).sum();
        self.shared.drain.lock().progress(self.now(), in_flight)
    }

    /// Returns the running and waiting requests of each service.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// fn is_idle<T: Transport>(entry: &EntryProxy<T>) -> bool {
    ///     entry.load().values().all(|load| load.running == 0)
    /// }
    /// ```
    #[must_use]
    pub fn load(&self) -> BTreeMap<Name, Load> {
        let bulkheads = self.shared.bulkheads.lock();
        bulkheads
            .iter()
            .map(|(name, bulkhead)| (name.clone(), bulkhead.admission().load()))
            .collect()
    }

    /// Returns how many requests wait because the node's limit is reached.
    ///
    /// ```
    /// # use crank_node::entry::{EntryProxy, Transport};
    /// fn is_full<T: Transport>(entry: &EntryProxy<T>) -> bool {
    ///     entry.waiting() > 0
    /// }
    /// ```
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.shared.node_limit.load().waiting
    }
}

fn in_flight(load: &Load) -> u32 {
    load.running.saturating_add(load.waiting)
}

//! The server processes that have deregistered at a node.

use std::collections::VecDeque;
use std::sync::Arc;

use crank_protocol::heartbeat::ProcessStart;

use super::Heard;

/// Servers beside one node follow each other; late heartbeats are only due to the last few.
const MAX_DEPARTURES: usize = 16;

/// All processes of a server that were started up to some time have deregistered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Departure {
    pub(super) server_id: Arc<str>,
    /// The latest start of a process that has deregistered: Unix time in milliseconds.
    pub(super) started_by_ms: u64,
}

impl Departure {
    /// Returns whether this is the departure of the process. A process of unknown start is one that
    /// has departed: servers report their start always or never.
    fn is_of(&self, start: &ProcessStart) -> bool {
        start.server_id.as_ref() == Some(&self.server_id)
            && start.started_at_ms <= Some(self.started_by_ms)
    }
}

/// The newest departures, one for each server id.
#[derive(Debug, Default)]
pub(super) struct Departures {
    newest: VecDeque<Departure>,
}

impl Departures {
    /// Returns whether the process has deregistered.
    pub(super) fn include(&self, start: &ProcessStart) -> bool {
        self.newest.iter().any(|departure| departure.is_of(start))
    }

    /// Remembers a departure; returns [`Heard::Late`] if it was known.
    pub(super) fn record(&mut self, departure: Departure) -> Heard {
        let same_server = |known: &&mut Departure| known.server_id == departure.server_id;
        match self.newest.iter_mut().find(same_server) {
            Some(known) if known.started_by_ms >= departure.started_by_ms => return Heard::Late,
            Some(known) => known.started_by_ms = departure.started_by_ms,
            None => self.push(departure),
        }
        Heard::New
    }

    fn push(&mut self, departure: Departure) {
        if self.newest.len() == MAX_DEPARTURES {
            self.newest.pop_front();
        }
        self.newest.push_back(departure);
    }
}

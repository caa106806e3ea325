//! The limits that the operator sets for callers, as the configuration in force states them.

use std::sync::Arc;

use crank_engine::caller_budget::{Bounds, MachineLimits, Timeouts};
use crank_protocol::Millis;
use crank_protocol::config::{CallerLimits, Snapshot};
use crank_stream::Door;
use tokio::sync::watch;

use crate::MAX_BODY_BYTES;

/// The most bytes of a head where the operator sets no limit.
const DEFAULT_HEAD_BYTES: usize = 8_192 + 4_096 * 100;
/// The same on a machine whose memory is known.
const SMALL_HEAD_BYTES: usize = MIN_BUFFER_BYTES;
/// What a head may be late by on the way.
const HEAD_SLACK: Millis = Millis(1_000);
/// The least buffer of a connection.
const MIN_BUFFER_BYTES: usize = 64 * 1_024;
/// The bytes of the shortest field: a name, a colon and the end of the line.
const MIN_FIELD_BYTES: usize = 4;
/// The least number of fields that a head may have.
const MIN_FIELDS: usize = 100;

/// The limits in force; clones follow the same configuration.
#[derive(Clone, Default)]
pub(crate) struct Limits {
    config: Option<watch::Receiver<Option<Arc<Snapshot>>>>,
    machine: MachineLimits,
}

impl Limits {
    pub(crate) fn with_config(self, config: watch::Receiver<Option<Arc<Snapshot>>>) -> Self {
        let config = Some(config);
        Self { config, ..self }
    }

    pub(crate) fn with_machine(self, machine: MachineLimits) -> Self {
        Self { machine, ..self }
    }

    /// Returns the bounds that the machine sets.
    pub(crate) fn bounds(&self) -> Bounds {
        Bounds::for_callers(self.machine)
    }

    fn current(&self) -> CallerLimits {
        let snapshot = self.config.as_ref().map(watch::Receiver::borrow);
        let limits = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.as_ref().map(|found| found.config.limits));
        limits.unwrap_or_default()
    }

    /// Returns the most bytes that a head may have, if the operator limits it.
    pub(crate) fn head_bytes(&self) -> Option<usize> {
        let bytes = self.current().header_bytes;
        bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX))
    }

    /// Returns the most bytes that a body may have by the operator's limit, or else by what the node
    /// keeps in hand.
    pub(crate) fn body_bytes(&self) -> u64 {
        let limit = self.current().body_bytes;
        limit.unwrap_or(MAX_BODY_BYTES as u64)
    }

    /// Returns the most fields that a head within the limit can have.
    pub(crate) fn fields(&self) -> Option<usize> {
        let bytes = self.head_bytes()?;
        Some((bytes / MIN_FIELD_BYTES).max(MIN_FIELDS))
    }

    /// Returns the size of the buffers of a connection, in bytes.
    pub(crate) fn buffer_bytes(&self) -> usize {
        let default = match self.machine.memory_bytes {
            Some(_) => SMALL_HEAD_BYTES,
            None => DEFAULT_HEAD_BYTES,
        };
        let head_bytes = self.head_bytes().unwrap_or(default);
        head_bytes.clamp(MIN_BUFFER_BYTES, DEFAULT_HEAD_BYTES)
    }

    pub(crate) fn timeouts(&self) -> Timeouts {
        let default = Timeouts::default();
        let CallerLimits {
            header_timeout,
            idle_timeout,
            ..
        } = self.current();
        let head = header_timeout.map(|limit| Millis(limit.0 + HEAD_SLACK.0));
        Timeouts {
            head: head.unwrap_or(default.head),
            idle: idle_timeout.unwrap_or(default.idle),
            ..default
        }
    }

    /// Waits until a head may be larger than a connection with buffers of this size can take.
    pub(crate) async fn outgrow(mut self, buffer_bytes: usize) {
        loop {
            if self.buffer_bytes() > buffer_bytes {
                return;
            }
            let changed = match &mut self.config {
                Some(config) => config.changed().await.is_ok(),
                None => false,
            };
            if !changed {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Keeps the time-outs of the connections up to date, for ever.
    pub(crate) async fn follow(mut self, door: &Door) {
        loop {
            door.set_timeouts(self.timeouts());
            let changed = match &mut self.config {
                Some(config) => config.changed().await.is_ok(),
                None => false,
            };
            if !changed {
                std::future::pending::<()>().await;
            }
        }
    }
}

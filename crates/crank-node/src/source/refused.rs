//! The configuration of the store that a node cannot use.

use std::fmt;
use std::sync::Arc;

use crank_protocol::config::StorePosition;
use parking_lot::Mutex;

/// Why a configuration of the store cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigFault {
    /// The document in the store that holds the configuration.
    pub document: Arc<str>,
    /// The path of the invalid value within the document.
    pub path: Arc<str>,
    /// What is wrong with the value.
    pub detail: Arc<str>,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            document,
            path,
            detail,
        } = self;
        write!(f, "{document}: {path}: {detail}")
    }
}

/// The configuration that the store holds and this node cannot use, if there is one; clones share
/// it.
///
/// ```
/// use crank_node::source::RefusedConfig;
/// assert_eq!(RefusedConfig::default().fault(), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RefusedConfig {
    record: Arc<Mutex<Record>>,
}

#[derive(Debug, Default)]
struct Record {
    /// The position of the newest answer of the store.
    position: StorePosition,
    fault: Option<ConfigFault>,
    refusals: u64,
}

impl RefusedConfig {
    /// Returns the fault of the configuration that the store holds, if this node cannot use it.
    ///
    /// ```
    /// # use crank_node::source::RefusedConfig;
    /// fn is_up_to_date(refused: &RefusedConfig) -> bool {
    ///     refused.fault().is_none()
    /// }
    /// ```
    #[must_use]
    pub fn fault(&self) -> Option<ConfigFault> {
        self.record.lock().fault.clone()
    }

    /// Returns how many configurations were refused since the node started.
    ///
    /// ```
    /// assert_eq!(crank_node::source::RefusedConfig::default().refusals(), 0);
    /// ```
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.record.lock().refusals
    }

    /// Records a refusal; logs and counts it once, although the store may be read several times.
    pub(super) fn refuse(&self, position: StorePosition, fault: ConfigFault) {
        let mut record = self.record.lock();
        if !record.advance_to(position) || record.fault.as_ref() == Some(&fault) {
            return;
        }
        log::error!(
            document = *fault.document,
            path = *fault.path,
            detail = *fault.detail,
            position:% = position;
            "configuration of the store refused: the last accepted one stays in force"
        );
        record.refusals += 1;
        record.fault = Some(fault);
    }

    /// Records that the store holds a configuration that can be used.
    pub(super) fn accept(&self, position: StorePosition) {
        let mut record = self.record.lock();
        if record.advance_to(position) {
            record.fault = None;
        }
    }
}

impl Record {
    /// Returns whether an answer is at least as new as those before; answers may overtake others.
    fn advance_to(&mut self, position: StorePosition) -> bool {
        let is_current = position >= self.position;
        self.position = self.position.max(position);
        is_current
    }
}

//! What the stand-in does at the moment.

use std::sync::Arc;

use crank_protocol::member::Stage;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};

use crate::{Ledger, Options};

/// Faults, switched by `POST /control`; what is absent stays as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// How long a request takes, in milliseconds.
    pub work_ms: Option<u64>,
    /// Cut each answer in half.
    pub cut: Option<bool>,
    /// Break the connection once the work is done, without an answer.
    pub drop: Option<bool>,
    /// Announce readiness whatever the truth.
    pub lie: Option<bool>,
    /// Announce nothing.
    pub silent: Option<bool>,
    /// Answer with this status.
    pub status: Option<u16>,
    /// Enter this stage of life.
    pub stage: Option<Stage>,
    /// Announce this release of its software.
    pub release: Option<Arc<str>>,
}

impl Control {
    /// Takes what another one sets.
    ///
    /// ```
    /// use crank_backend::Control;
    /// let mut control = Control { work_ms: Some(1), ..Control::default() };
    /// control.merge(Control { cut: Some(true), ..Control::default() });
    /// assert_eq!((control.work_ms, control.cut), (Some(1), Some(true)));
    /// ```
    pub fn merge(&mut self, other: Self) {
        self.work_ms = other.work_ms.or(self.work_ms);
        self.cut = other.cut.or(self.cut);
        self.drop = other.drop.or(self.drop);
        self.lie = other.lie.or(self.lie);
        self.silent = other.silent.or(self.silent);
        self.status = other.status.or(self.status);
        self.stage = other.stage.or(self.stage);
        self.release = other.release.or(self.release.take());
    }
}

/// Shared by everything in the process.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) options: Arc<Options>,
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) control: Arc<Mutex<Control>>,
    pub(crate) ledger: Arc<Mutex<Ledger>>,
    pub(crate) news: Arc<Notify>,
}

impl State {
    pub(crate) fn new(options: Options) -> Self {
        let control = Control {
            work_ms: Some(options.work_ms),
            stage: Some(Stage::Starting),
            ..Control::default()
        };
        Self {
            slots: Arc::new(Semaphore::new(options.slots as usize)),
            options: Arc::new(options),
            control: Arc::new(Mutex::new(control)),
            ledger: Arc::default(),
            news: Arc::default(),
        }
    }

    pub(crate) fn stage(&self) -> Stage {
        self.control.lock().stage.unwrap_or(Stage::Starting)
    }

    pub(crate) fn enter(&self, stage: Stage) {
        self.control.lock().stage = Some(stage);
        self.news.notify_one();
    }

    pub(crate) fn running(&self) -> u32 {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        self.options.slots.saturating_sub(free)
    }
}

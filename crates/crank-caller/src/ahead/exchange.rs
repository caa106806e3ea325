//! The exchange that a connection is at, shared by its stream and its service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Waker};

use super::early::EarlyCall;
use super::target::Target;

/// The state of the exchange that a connection is at; clones share the state.
///
/// The stream hands one request after the other to the HTTP library; the service reports when the
/// library calls it with that request, and when the response has ended.
#[derive(Clone, Default)]
pub(super) struct Exchange(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// The number of requests that were handed to the HTTP library, complete or in part.
    handed_count: u64,
    /// The number of requests that the HTTP library called the service with.
    called_count: u64,
    /// Whether the last request is being answered.
    is_running: bool,
    /// What the request that is being answered is for.
    running: Option<Target>,
    /// The call that was started ahead for the request that was last handed over.
    early: Option<EarlyCall>,
    /// The number of calls that were started for requests behind the one last handed over.
    started_behind: usize,
    /// Wakes the connection once it may be handed its next request.
    waker: Option<Waker>,
}

/// What the stream may do for the HTTP library that asks for bytes, once it has handed over a whole
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The library has not recognised the request that was handed over: it sees another boundary.
    Unrecognised,
    /// The request is being answered: the next one waits.
    Answering,
    /// The next request may be handed over.
    Free,
}

impl Exchange {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn stage(&self) -> Stage {
        let state = self.lock();
        if state.called_count < state.handed_count {
            Stage::Unrecognised
        } else if state.is_running {
            Stage::Answering
        } else {
            Stage::Free
        }
    }

    /// Records that a request is handed to the HTTP library, with the call that was started for it.
    pub(super) fn hand_over(&self, early: Option<EarlyCall>) {
        let mut state = self.lock();
        state.handed_count += 1;
        state.started_behind -= usize::from(early.is_some());
        let previous = std::mem::replace(&mut state.early, early);
        drop(state);
        drop(previous);
    }

    /// Records that a call was started for a request that was not handed over yet.
    pub(super) fn record_start(&self) {
        self.lock().started_behind += 1;
    }

    /// Records that the calls of all requests that were not handed over are gone.
    pub(super) fn forget_started(&self) {
        self.lock().started_behind = 0;
    }

    /// Whether no call has been started for a request that was not handed over yet.
    pub(super) fn has_none_started(&self) -> bool {
        self.lock().started_behind == 0
    }

    /// Returns what the request that is being answered is for.
    pub(super) fn running(&self) -> Option<Target> {
        self.lock().running.clone()
    }

    /// Asks to be woken when the next request may be handed over.
    pub(super) fn wake_when_free(&self, context: &Context<'_>) {
        self.lock().waker = Some(context.waker().clone());
    }

    /// Records that the HTTP library has called the service with a request; returns the call that
    /// was started for it, and a guard for the duration of the exchange.
    pub(super) fn begin(&self, target: Target) -> (Option<EarlyCall>, ExchangeGuard) {
        let mut state = self.lock();
        state.called_count += 1;
        state.is_running = true;
        state.running = Some(target);
        let early = state.early.take();
        drop(state);
        (early, ExchangeGuard(self.clone()))
    }

    fn end(&self) {
        let mut state = self.lock();
        state.is_running = false;
        state.running = None;
        let waker = state.waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Ends an exchange when it is dropped.
pub(super) struct ExchangeGuard(Exchange);

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}

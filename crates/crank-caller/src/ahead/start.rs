//! Starts calls before their turn, within bounds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use crank_stream::Connection;
use http::Request;
use http_body_util::{Either, Empty};
use tokio::sync::Semaphore;

use super::early::EarlyCall;
use super::target::Target;
use super::{MAX_STARTED_AHEAD, Service};
use crate::Gateway;

/// Starts the calls of requests that were sent ahead on any connection.
pub(super) struct Starter<S, G> {
    service: S,
    gateway: G,
    /// The maximum number of calls that are started ahead on one connection.
    max_requests: usize,
    permits: Arc<Semaphore>,
    is_leaving: Arc<AtomicBool>,
    /// The connection whose calls are started.
    connection: Option<Connection>,
}

impl<S, G> Starter<S, G> {
    pub(super) fn new(
        service: S,
        gateway: G,
        max_requests: usize,
        is_leaving: Arc<AtomicBool>,
    ) -> Self {
        Self {
            service,
            gateway,
            max_requests,
            permits: Arc::new(Semaphore::new(MAX_STARTED_AHEAD)),
            is_leaving,
            connection: None,
        }
    }

    /// Returns whether the next response is to be the last one of its connection.
    pub(super) fn must_close(&self) -> bool {
        self.is_leaving() || self.connection.as_ref().is_some_and(Connection::is_leaving)
    }

    /// Makes the next response the last one of its connection.
    pub(super) fn ask_to_leave(&self) {
        if let Some(connection) = &self.connection {
            connection.ask_to_leave();
        }
    }

    /// Lets other tasks run while a new connection waits for room. Called when a request has been
    /// dropped, so that nothing of it is held meanwhile.
    pub(super) async fn take_turns(&self) {
        if let Some(connection) = &self.connection {
            connection.take_turns().await;
        }
    }

    /// Names the connection of a request to the service.
    pub(super) fn identify<B>(&self, request: &mut Request<B>) {
        if let Some(connection) = &self.connection {
            request.extensions_mut().insert(connection.clone());
        }
    }

    pub(super) fn max_requests(&self) -> usize {
        self.max_requests
    }

    /// Whether nothing ever starts ahead.
    pub(super) fn is_off(&self) -> bool {
        self.max_requests == 0
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }
}

impl<S: Service, G: Gateway> Starter<S, G> {
    /// Returns a starter for the calls of one connection, within the same bounds.
    pub(super) fn for_connection(&self, connection: Connection) -> Self {
        Self {
            service: self.service.clone(),
            gateway: self.gateway.clone(),
            max_requests: self.max_requests,
            permits: self.permits.clone(),
            is_leaving: self.is_leaving.clone(),
            connection: Some(connection),
        }
    }

    pub(super) fn service(&self) -> S {
        self.service.clone()
    }

    /// Whether a request may run beside others of its connection.
    pub(super) fn allows(&self, target: &Target) -> bool {
        target.may_run_beside_others(&self.gateway)
    }

    /// Starts the call of a request without a body; returns `None` if the bounds are reached or
    /// the node is leaving.
    pub(super) fn start(&self, request: Request<()>) -> Option<EarlyCall> {
        if self.must_close() {
            return None;
        }
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        let mut sent = request
            .clone()
            .map(|()| Either::Right(Empty::<Bytes>::new()));
        self.identify(&mut sent);
        let mut service = self.service();
        let call = async move {
            match service.call(sent).await {
                Ok(response) => response,
                Err(never) => match never {},
            }
        };
        Some(EarlyCall::start(&self.gateway, request, call, permit))
    }
}

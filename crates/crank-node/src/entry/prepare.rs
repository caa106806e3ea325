//! The way of a request until it is sent: its route, client account, rate limit and permits.

use crank_engine::Moment;
use crank_engine::client_retry::ClientRequest;
use crank_engine::route::ResolvedRoute;
use crank_protocol::call::{Refusal, Request};

use super::bulkhead::Bulkhead;
use super::caller::{Caller, Rejected};
use super::lines;
use super::options::RequestOptions;
use super::routed::RoutedRequest;
use super::{EntryProxy, Transport};
use crate::admission::{AdmissionRequest, Permit};

/// The permits that a request holds.
pub(super) struct RequestPermits {
    _node: Permit,
    _service: Permit,
}

impl<T: Transport> EntryProxy<T> {
    /// Routes a request, checks its key and rate limit, and waits until it is admitted.
    pub(super) async fn prepare(
        &self,
        request: Request,
        started_at: Moment,
    ) -> Result<(RoutedRequest, RequestPermits), Rejected> {
        let table = self.table()?;
        let rule = table
            .find_for_host(&request.host, request.method, &request.path, rand::random())?
            .clone();
        let conventions = &self.shared.dependencies.conventions;
        let caller = Caller::identify(&request, &rule, &table, &conventions.dialect)?;
        let options = RequestOptions::parse(&request, &rule, &conventions.dialect)?;
        if options.depth == 0 {
            self.shared.drain.lock().admit(started_at, options.depth)?;
        }
        let client = ClientRequest {
            deadline: started_at.after(options.caller_timeout),
            route: rule.name.clone(),
            account: caller.name().cloned(),
        };
        let first_arrival = self.first_arrival(started_at, &client);
        let rejected = |refusal| {
            self.record_failure(&client, first_arrival);
            caller.rejected(refusal)
        };
        let token = caller
            .name()
            .map(|account| self.shared.rate_limiter.admit(account))
            .transpose()
            .map_err(rejected)?;
        let deadline = started_at.after(options.timeout);
        let deadline = self.shared.drain.lock().latest_end(deadline);
        let bulkhead = self.bulkhead(&rule);
        self.refresh(&bulkhead, table.version(), &rule);
        let permits = self
            .acquire_permits(&bulkhead, &rule, &caller, deadline, options.depth)
            .await;
        let permits = permits.map_err(|refusal| {
            self.record(&rule, false, started_at);
            rejected(refusal)
        })?;
        let routed = RoutedRequest {
            client,
            first_arrival,
            label: lines::request_label(&request.headers, &conventions.dialect),
            head: options.head(&request, &rule, table.version(), &caller, conventions),
            body: request.body,
            rule,
            bulkhead,
            caller,
            token,
            started_at,
            deadline,
        };
        Ok((routed, permits))
    }

    /// Acquires the permit of the service first, so that no service waits for another's slots.
    async fn acquire_permits(
        &self,
        bulkhead: &Bulkhead,
        rule: &ResolvedRoute,
        caller: &Caller,
        deadline: Moment,
        depth: u32,
    ) -> Result<RequestPermits, Refusal> {
        let request = AdmissionRequest {
            importance: caller.importance(rule),
            deadline,
            depth,
            expected_run_time: None,
            account: caller.name().cloned(),
        };
        let service = bulkhead.admission().admit(request.clone()).await?;
        let node_limit = &self.shared.node_limit;
        Ok(RequestPermits {
            _node: node_limit.admit(request).await?,
            _service: service,
        })
    }

    /// Returns when the first attempt of a client's request arrived.
    fn first_arrival(&self, now: Moment, client: &ClientRequest) -> Moment {
        let mut retries = self.shared.client_retries.lock();
        retries.first_arrival(now, client)
    }

    /// Remembers a request that the client may retry.
    pub(super) fn record_failure(&self, client: &ClientRequest, first_arrival: Moment) {
        let mut retries = self.shared.client_retries.lock();
        retries.record_failure(self.now(), client.clone(), first_arrival);
    }
}

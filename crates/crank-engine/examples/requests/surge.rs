//! Demand that rises above what the servers can run, and callers that send failed requests again.

use crank_engine::Moment;

use crate::model::{Event, micros};
use crate::simulation::Simulation;

impl Simulation {
    /// Returns the demand now, as a share of the demand without a surge.
    pub(crate) fn surge_factor(&self) -> f64 {
        match self.setup.surge {
            Some(surge) if self.now < micros(surge.until) => surge.factor,
            Some(_) | None => 1.0,
        }
    }

    /// Schedules the return of a request that failed; returns false if its caller gives up.
    pub(crate) fn will_return(&mut self, request: usize) -> bool {
        let returns = self.setup.returns;
        if self.requests[request].returns >= returns.most {
            return false;
        }
        let time = Moment(self.now).after(returns.pause).0;
        self.schedule(time, Event::RequestReturns { request });
        true
    }

    pub(crate) fn handle_return(&mut self, request: usize) {
        let failed = &self.requests[request];
        let (entry, first_started, returns) = (failed.entry, failed.first_started, failed.returns);
        let request = self.add_request(entry, first_started, returns + 1);
        self.send_attempt(request);
    }
}

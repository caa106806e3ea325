//! Handling of the requests of the rest of the node.

use crank_engine::spread::Step;
use crank_protocol::status::NodeStatus;
use crank_protocol::wire::Probe;
use xtra::Handler;

use super::message::{
    AnnounceEndpoint, ApplySnapshot, Confirm, EndQuery, Leave, QueryStarted, ReportHead,
    SendMessage, SendQueries, SetSeeds, StartQuery,
};
use super::state::Mesh;

impl Handler<ApplySnapshot> for Mesh {
    type Return = Step;

    async fn handle(&mut self, message: ApplySnapshot, _: &mut xtra::Context<Self>) -> Step {
        let step = self.replica.apply_snapshot(message.snapshot);
        self.handle_step(&step, None);
        if step == Step::Applied {
            self.push_config(None, false);
            let now = self.now();
            self.pass_on_confirmation(None, now);
            self.update_readiness(now);
        }
        step
    }
}

impl Handler<ReportHead> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: ReportHead, _: &mut xtra::Context<Self>) {
        self.startup_check.record_head(message.head);
        let now = self.now();
        self.update_readiness(now);
    }
}

impl Handler<Confirm> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: Confirm, _: &mut xtra::Context<Self>) {
        let now = self.now();
        self.record_confirmation(&message.confirmation, None, now);
    }
}

impl Handler<AnnounceEndpoint> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: AnnounceEndpoint, _: &mut xtra::Context<Self>) {
        let now = self.now();
        self.table.announce(message.endpoint, now);
        self.schedule_flush();
    }
}

impl Handler<SetSeeds> for Mesh {
    type Return = ();

    async fn handle(&mut self, message: SetSeeds, _: &mut xtra::Context<Self>) {
        self.settings.seeds = message.seeds;
        let now = self.now();
        if self.others().next().is_none() {
            self.dial_seeds(now);
        }
    }
}

impl Handler<Leave> for Mesh {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut xtra::Context<Self>) {
        let now = self.now();
        self.table.leave(now);
        self.flush_updates();
    }
}

impl Handler<StartQuery> for Mesh {
    type Return = QueryStarted;

    async fn handle(&mut self, query: StartQuery, _: &mut xtra::Context<Self>) -> QueryStarted {
        let number = self.prober.next_probe_number();
        let local_status = *self.local_status.borrow();
        let _ = query.sender.try_send(NodeStatus {
            member: self.table.me().clone(),
            applied: self.replica.stamp().cloned(),
            ready: local_status.ready,
            in_flight: local_status.in_flight,
            operators: local_status.operator_address,
        });
        self.status_queries.insert(number, query.sender);
        let members = self.table.members().cloned().collect();
        QueryStarted { number, members }
    }
}

impl Handler<SendQueries> for Mesh {
    type Return = ();

    async fn handle(&mut self, queries: SendQueries, _: &mut xtra::Context<Self>) {
        let number = queries.number;
        for name in queries.names {
            if name != self.settings.id {
                self.send_probe(&name, Probe::Ask { number });
            }
        }
    }
}

impl Handler<SendMessage> for Mesh {
    type Return = ();

    async fn handle(&mut self, outgoing: SendMessage, _: &mut xtra::Context<Self>) {
        let SendMessage { to, message } = outgoing;
        if to == self.settings.id {
            self.outputs.publish_message(to, message);
        } else {
            self.send_probe(&to, Probe::Message(message));
        }
    }
}

impl Handler<EndQuery> for Mesh {
    type Return = ();

    async fn handle(&mut self, end: EndQuery, _: &mut xtra::Context<Self>) {
        self.status_queries.remove(&end.number);
    }
}

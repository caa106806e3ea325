//! What the other parts of the node ask of the mesh.

use crank_engine::spread::Step;
use crank_protocol::status::NodeStatus;
use crank_protocol::wire::Probe;
use xtra::Handler;

use super::message::{Announce, Ask, BeginAsking, Begun, EndAsking, HeadRead, Leave, Offer, Seeds};
use super::state::Mesh;

impl Handler<Offer> for Mesh {
    type Return = Step;

    async fn handle(&mut self, offer: Offer, _: &mut xtra::Context<Self>) -> Step {
        let step = self.holder.apply_snapshot(offer.snapshot);
        self.settle(&step, None);
        if step == Step::Applied {
            self.push(None, false);
            let now = self.now();
            self.keep_start(now);
        }
        step
    }
}

impl Handler<HeadRead> for Mesh {
    type Return = ();

    async fn handle(&mut self, read: HeadRead, _: &mut xtra::Context<Self>) {
        self.start.record_head(read.head);
        let now = self.now();
        self.keep_start(now);
    }
}

impl Handler<Announce> for Mesh {
    type Return = ();

    async fn handle(&mut self, announce: Announce, _: &mut xtra::Context<Self>) {
        let now = self.now();
        self.table.announce(announce.endpoint, now);
        self.stir();
    }
}

impl Handler<Seeds> for Mesh {
    type Return = ();

    async fn handle(&mut self, seeds: Seeds, _: &mut xtra::Context<Self>) {
        self.settings.seeds = seeds.seeds;
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
        self.flush();
    }
}

impl Handler<BeginAsking> for Mesh {
    type Return = Begun;

    async fn handle(&mut self, begin: BeginAsking, _: &mut xtra::Context<Self>) -> Begun {
        let number = self.prober.next_probe_number();
        let local_status = *self.local_status.borrow();
        let _ = begin.sender.try_send(NodeStatus {
            member: self.table.me().clone(),
            applied: self.holder.stamp().cloned(),
            ready: local_status.ready,
            in_flight: local_status.in_flight,
            operators: local_status.operator_address,
        });
        self.asks.insert(number, begin.sender);
        let members = self.table.members().cloned().collect();
        Begun { number, members }
    }
}

impl Handler<Ask> for Mesh {
    type Return = ();

    async fn handle(&mut self, ask: Ask, _: &mut xtra::Context<Self>) {
        let number = ask.number;
        for name in ask.names {
            if name != self.settings.id {
                self.probe(&name, Probe::Ask { number });
            }
        }
    }
}

impl Handler<EndAsking> for Mesh {
    type Return = ();

    async fn handle(&mut self, end: EndAsking, _: &mut xtra::Context<Self>) {
        self.asks.remove(&end.number);
    }
}

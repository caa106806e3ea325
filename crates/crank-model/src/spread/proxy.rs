//! The steps of one proxy.

use std::collections::HashMap;

use crank_engine::config;
use crank_engine::spread::{ConfigReplica, PeerReport, StartupCheck, StoreHead};
use crank_protocol::config::{Config, Delta, Snapshot};

use super::{Guard, Message, PROXIES, Spread, State, cut, damaged, messages};
use crate::Invariant;
use crate::explore::Step;

/// What a proxy holds after a message, by what it held before.
pub(super) type Outcomes = HashMap<(usize, Message), Result<usize, Invariant>>;

/// What one proxy holds; versions are counted from 1, and 0 is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Proxy {
    pub(super) held: usize,
    pub(super) ready: bool,
    /// What it must not fall below, in the life that it is in and in those before.
    floor: usize,
}

impl Spread {
    pub(super) fn proxy_steps(&self, state: &State, number: usize, steps: &mut Vec<Step<State>>) {
        let who = number + 1;
        for message in messages(state.head) {
            let next = self.take(state, number, message);
            if next != *state {
                let label = format!("proxy {who} takes {}", what(message));
                steps.push(Step { label, next });
            }
        }
        let proxy = state.proxies[number];
        if proxy.held > 0 || proxy.ready {
            let mut next = state.clone();
            next.proxies[number].held = 0;
            next.proxies[number].ready = false;
            let label = format!("proxy {who} restarts");
            steps.push(Step { label, next });
        }
        if !proxy.ready {
            self.claim_steps(state, number, steps);
        }
    }

    fn claim_steps(&self, state: &State, number: usize, steps: &mut Vec<Step<State>>) {
        let who = number + 1;
        if !self.has(Guard::StartEvidence) && state.proxies[number].held > 0 {
            let label = format!("proxy {who} serves without evidence");
            let next = ready(state, number);
            steps.push(Step { label, next });
            return;
        }
        if self.is_current_by_store(state, number) {
            let label = format!("proxy {who} serves, by the head row");
            let next = ready(state, number);
            steps.push(Step { label, next });
        }
        if self.is_current_by_peers(state, number) {
            let label = format!("proxy {who} serves, by its peers");
            let mut next = state.clone();
            if !self.full_promise {
                // With the store down, its peers' word is the most that can be promised.
                next.proxies[number].floor = highest_of_peers(state, number);
            }
            let next = ready(&next, number);
            steps.push(Step { label, next });
        }
    }

    fn is_current_by_store(&self, state: &State, number: usize) -> bool {
        let mut start = StartupCheck::default();
        start.record_head(match self.stamp(state.head) {
            Some(stamp) => StoreHead::Accepted(stamp),
            None => StoreHead::Empty,
        });
        self.is_current(&mut start, state, number)
    }

    fn is_current_by_peers(&self, state: &State, number: usize) -> bool {
        let mut start = StartupCheck::default();
        start.record_head(StoreHead::Unavailable);
        for (peer, member) in self.members.iter().enumerate() {
            if peer != number {
                let report = PeerReport {
                    data_centre: member.place.data_centre.clone(),
                    stamp: self.stamp(state.proxies[peer].held),
                    current: state.proxies[peer].ready,
                };
                start.record_report(&member.id, report);
            }
        }
        self.is_current(&mut start, state, number)
    }

    fn is_current(&self, start: &mut StartupCheck, state: &State, number: usize) -> bool {
        let held = self.stamp(state.proxies[number].held);
        let others = self.members.iter().enumerate();
        let others = others.filter(|(peer, _)| *peer != number);
        start.is_current(held.as_ref(), others.map(|(_, member)| member))
    }

    fn take(&self, state: &State, number: usize, message: Message) -> State {
        let mut next = state.clone();
        match self.outcomes.get(&(state.proxies[number].held, message)) {
            Some(Ok(version)) => put(&mut next, number, *version),
            Some(Err(broken)) => next.broken = Some(*broken),
            None => {}
        }
        next
    }

    /// What each message does to each version that a proxy may hold.
    pub(super) fn outcomes(&self) -> Outcomes {
        let mut outcomes = Outcomes::new();
        for held in 0..=self.snapshots.len() {
            for message in messages(self.snapshots.len()) {
                if let Some(applied) = self.applied(self.snapshot(held), message) {
                    outcomes.insert((held, message), self.check(&applied));
                }
            }
        }
        outcomes
    }

    /// What the proxy holds after a message; nothing where it drops the message.
    fn applied(&self, held: Option<&Snapshot>, message: Message) -> Option<Snapshot> {
        let mut holder = ConfigReplica::default();
        if let Some(held) = held {
            holder.apply_snapshot(held.clone());
        }
        match message {
            Message::Whole(version) => self.take_whole(holder, self.snapshot(version)?.clone()),
            Message::WholeDamaged(version) => {
                self.take_whole(holder, damaged(self.snapshot(version)?))
            }
            Message::Delta(base, result) => self.apply_delta(holder, &self.delta(base, result)?),
            Message::DeltaDamaged(base, result) => {
                self.apply_delta(holder, &cut(self.delta(base, result)?))
            }
        }
    }

    fn take_whole(&self, mut holder: ConfigReplica, snapshot: Snapshot) -> Option<Snapshot> {
        if !self.has(Guard::LaterOnly) {
            holder = ConfigReplica::default();
        }
        holder.apply_snapshot(snapshot);
        holder.snapshot().map(|held| (**held).clone())
    }

    fn apply_delta(&self, mut holder: ConfigReplica, delta: &Delta) -> Option<Snapshot> {
        let held = holder.snapshot().map(|held| (**held).clone());
        let is_on_base = held.as_ref().is_some_and(|held| held.stamp == delta.base);
        let is_later = held
            .as_ref()
            .is_some_and(|held| held.stamp.version < delta.result.version);
        let skips_base = !self.has(Guard::ExactBase) && is_later && !is_on_base;
        let skips_digest = !self.has(Guard::ResultDigest) && is_on_base;
        if skips_base || skips_digest {
            return held.map(|held| patched(held, delta));
        }
        holder.apply_delta(delta);
        holder.snapshot().map(|held| (**held).clone())
    }

    fn check(&self, applied: &Snapshot) -> Result<usize, Invariant> {
        let found = self
            .snapshots
            .iter()
            .position(|accepted| accepted.stamp == applied.stamp);
        let Config {
            services, routes, ..
        } = &applied.config;
        let mut routes = routes.values();
        if routes.any(|route| !services.contains_key(&route.service)) {
            return Err(Invariant::Dangling);
        }
        match found {
            Some(index) if self.snapshots[index] == *applied => Ok(index + 1),
            _ => Err(Invariant::InPart),
        }
    }
}

fn put(state: &mut State, number: usize, version: usize) {
    let proxy = &mut state.proxies[number];
    if version < proxy.held {
        state.broken = Some(Invariant::MovedBack);
    }
    proxy.held = version;
    if proxy.ready {
        proxy.floor = proxy.floor.max(version);
    }
}

/// A proxy that begins to serve must not fall below what it served, or was promised, before.
fn ready(state: &State, number: usize) -> State {
    let mut next = state.clone();
    let proxy = &mut next.proxies[number];
    if proxy.held < proxy.floor {
        next.broken = Some(Invariant::MovedBack);
    }
    proxy.ready = true;
    proxy.floor = proxy.floor.max(proxy.held);
    next
}

fn highest_of_peers(state: &State, number: usize) -> usize {
    let peers = (0..PROXIES).filter(|peer| *peer != number);
    let held = peers.map(|peer| state.proxies[peer].held);
    held.max().unwrap_or(0)
}

fn patched(held: Snapshot, delta: &Delta) -> Snapshot {
    Snapshot {
        stamp: delta.result.clone(),
        config: config::with_changes(held.config, &delta.changes),
    }
}

fn what(message: Message) -> String {
    match message {
        Message::Whole(version) => format!("version {version} whole"),
        Message::WholeDamaged(version) => format!("version {version} whole, damaged"),
        Message::Delta(base, result) => format!("the delta from {base} to {result}"),
        Message::DeltaDamaged(base, result) => {
            format!("the delta from {base} to {result}, damaged")
        }
    }
}

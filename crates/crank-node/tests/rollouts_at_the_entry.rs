//! Which servers the entry chooses while a release is rolled out.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::time::Instant;

use common::{FakeTransport, address, dependencies, name, place, request};
use crank_mesh::{Rollout, View};
use crank_node::entry::EntryProxy;
use crank_protocol::Millis;
use crank_protocol::call::Refusal;
use crank_protocol::config::Revision;
use crank_protocol::member::{Endpoint, Member, Stage, State};
use crank_protocol::rollout::{ExposureLimit, Phase, RolloutOrder};
use tokio::sync::watch;

const SERVERS: usize = 3;
const REQUESTS: usize = 2_000;

fn members(release: &'static str) -> impl Iterator<Item = Member> {
    (1..=SERVERS).map(move |number| Member {
        id: name(&format!("{release}-{number}")),
        place: place(),
        address: address(),
        incarnation: 1,
        link: 0,
        state: State::Alive,
        endpoint: Some(Endpoint {
            service: name("lookups"),
            stage: Stage::Ready,
            slots: 2,
            release: Some(release.into()),
        }),
    })
}

fn view(releases: &[&'static str]) -> Arc<View> {
    let members = releases.iter().flat_map(|release| members(release));
    Arc::new(View::new(name("entry"), members, Default::default()))
}

fn rollout(phase: Phase) -> Rollout {
    Rollout {
        order: RolloutOrder {
            service: name("lookups"),
            target: "v2".into(),
            duration: Millis(600_000),
            revision: Revision(7),
        },
        phase,
        ordered_at: Instant::now(),
    }
}

struct Entry {
    entry: EntryProxy<FakeTransport>,
    transport: FakeTransport,
    view: watch::Sender<Arc<View>>,
}

impl Entry {
    /// Creates an entry of a deployment with roll-outs that knows servers of these releases.
    fn new(releases: &[&'static str], transport: FakeTransport) -> Self {
        let view = watch::Sender::new(view(releases));
        let mut dependencies = dependencies(transport.clone());
        dependencies.view = view.subscribe();
        dependencies.conventions.exposure = Some(ExposureLimit::default());
        let entry = EntryProxy::new(dependencies);
        Self {
            entry,
            transport,
            view,
        }
    }

    fn with_rollout(phase: Phase) -> Self {
        let entry = Self::new(&["v1", "v2"], FakeTransport::default());
        entry.entry.rollouts().apply(&[rollout(phase)]);
        entry
    }

    async fn send(&self, requests: usize) {
        for _ in 0..requests {
            let _ = self.entry.call(request("/lookups")).await;
        }
    }

    /// Returns how many attempts went to servers of a release.
    fn sent_to(&self, release: &str) -> usize {
        let sent = self.transport.sent.lock();
        sent.iter()
            .filter(|node| node.as_str().starts_with(release))
            .count()
    }
}

#[tokio::test]
async fn a_release_on_trial_gets_a_small_share() {
    let entry = Entry::with_rollout(Phase::Trial);
    entry.send(REQUESTS).await;
    let share = entry.sent_to("v2") as f64 / REQUESTS as f64;
    assert!((0.03..0.06).contains(&share), "{share}");
}

#[tokio::test]
async fn what_old_servers_refuse_is_not_sent_to_the_release_on_trial() {
    let full = Refusal::Overloaded {
        retry_after: Millis(10),
    };
    let transport = FakeTransport::refusing(&vec![full; REQUESTS * 10]);
    let entry = Entry::new(&["v1", "v2"], transport);
    entry.entry.rollouts().apply(&[rollout(Phase::Trial)]);
    entry.send(REQUESTS / 10).await;
    // Nothing reaches a server, so that nothing is earned beyond what the start gave.
    assert!(entry.sent_to("v2") <= 1, "{}", entry.sent_to("v2"));
    assert!(entry.sent_to("v1") >= REQUESTS / 10);
}

#[tokio::test]
async fn a_release_that_is_held_or_rolled_back_gets_nothing() {
    for phase in [Phase::Held, Phase::RolledBack] {
        let entry = Entry::with_rollout(phase);
        entry.send(REQUESTS).await;
        assert_eq!(entry.sent_to("v2"), 0, "{phase:?}");
    }
}

#[tokio::test]
async fn a_completed_release_gets_everything() {
    let entry = Entry::with_rollout(Phase::Completed);
    entry.send(REQUESTS).await;
    assert_eq!(entry.sent_to("v1"), 0);
}

#[tokio::test]
async fn a_release_that_appears_before_its_order_is_held_back() {
    let entry = Entry::new(&["v1"], FakeTransport::default());
    entry.send(10).await;
    entry.view.send_replace(view(&["v1", "v2"]));
    entry.send(100).await;
    assert_eq!(entry.sent_to("v2"), 0);
}

#[tokio::test]
async fn without_an_order_releases_get_the_same() {
    let entry = Entry::new(&["v1", "v2"], FakeTransport::default());
    entry.send(REQUESTS).await;
    assert!(entry.sent_to("v2") > REQUESTS / 3);
}

#[tokio::test]
async fn the_evidence_counts_each_attempt_once_by_release() {
    let entry = Entry::with_rollout(Phase::Trial);
    entry.send(REQUESTS).await;
    let evidence = entry.entry.rollouts().evidence();
    let counted: u32 = evidence[0].tallies.iter().map(|tally| tally.answered).sum();
    assert_eq!(counted as usize, REQUESTS);
    assert_eq!(evidence[0].in_flight, 0);
}

//! Orders of roll-outs in the project's own table, as nodes learn of them.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use crank_mesh::{Handle, Settings};
use crank_node::rollout::follow_orders;
use crank_platform_client::Memory;
use crank_platform_client::rollouts::{self as rows, Decision, Order};
use crank_protocol::config::Revision;
use crank_protocol::member::Place;
use crank_protocol::rollout::{Phase, RolloutOrder};
use crank_protocol::{Millis, Name};
use time::OffsetDateTime;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(10);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

async fn start_mesh() -> Handle {
    let place = Place {
        region: name("almaty"),
        data_centre: name("almaty-1"),
    };
    let listen = ([127, 0, 0, 1], 0).into();
    let settings = Settings::new(name("sutkent"), name("n1"), place, listen);
    let (sockets, _) = mpsc::channel(1);
    crank_mesh::start(settings, sockets).await.unwrap()
}

fn order(revision: u64) -> Order {
    Order {
        order: RolloutOrder {
            service: name("recipes"),
            target: "v2".into(),
            duration: Millis(600_000),
            revision: Revision(revision),
        },
        given_at: OffsetDateTime::UNIX_EPOCH,
    }
}

async fn wait_for(mesh: &Handle, revision: u64, phase: Phase) {
    let mut rollouts = mesh.rollouts();
    let is_there = rollouts.wait_for(|rollouts| {
        let mut rollouts = rollouts.iter();
        rollouts.any(|known| known.order.revision == Revision(revision) && known.phase == phase)
    });
    timeout(LIMIT, is_there).await.unwrap().unwrap();
}

#[tokio::test]
async fn an_order_and_its_abort_reach_the_mesh() {
    let (platform, account) = (Memory::new(), name("sutkent"));
    let mesh = start_mesh().await;
    let (_is_reader, reads) = watch::channel(true);
    let following = follow_orders(account.clone(), platform.clone(), mesh.clone(), reads);
    tokio::spawn(following);
    let first = order(1);
    rows::write_order(&platform, &account, None, &first)
        .await
        .unwrap();
    wait_for(&mesh, 1, Phase::Trial).await;
    let abort = Decision {
        order: Revision(1),
        target: "v2".into(),
        phase: Phase::RolledBack,
        reported: true,
    };
    rows::write(&platform, &account, &name("recipes"), None, &abort)
        .await
        .unwrap();
    wait_for(&mesh, 1, Phase::RolledBack).await;
    rows::write_order(&platform, &account, Some(&first), &order(2))
        .await
        .unwrap();
    wait_for(&mesh, 2, Phase::Trial).await;
}

#[tokio::test]
async fn an_order_with_a_verdict_is_never_told_as_running() {
    let (platform, account) = (Memory::new(), name("sutkent"));
    rows::write_order(&platform, &account, None, &order(1))
        .await
        .unwrap();
    let verdict = Decision {
        order: Revision(1),
        target: "v2".into(),
        phase: Phase::Completed,
        reported: true,
    };
    rows::write(&platform, &account, &name("recipes"), None, &verdict)
        .await
        .unwrap();
    let mesh = start_mesh().await;
    let (_is_reader, reads) = watch::channel(true);
    let mut rollouts = mesh.rollouts();
    tokio::spawn(follow_orders(account, platform, mesh.clone(), reads));
    let known = timeout(LIMIT, rollouts.wait_for(|known| !known.is_empty()));
    assert_eq!(known.await.unwrap().unwrap()[0].phase, Phase::Completed);
}

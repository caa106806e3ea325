//! Progress towards the end of a notice period: a node that does not answer never counts as done.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use crank_engine::notice::{NoticeProgress, progress};
use crank_protocol::config::{Digest, Owner, Stamp, Version};
use crank_protocol::member::{Endpoint, Member, Place, Stage, State};
use crank_protocol::status::{MeshStatus, NodeReport, NodeStatus};
use crank_protocol::{Millis, Name};
use time::OffsetDateTime;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn stamp(version: u64) -> Stamp {
    Stamp {
        version: Version(version),
        digest: Digest::new(&"0a".repeat(32)).unwrap(),
    }
}

fn member(id: &str, state: State, stage: Option<Stage>) -> Member {
    Member {
        id: name(id),
        place: Place {
            region: name("almaty"),
            data_centre: name("almaty-1"),
        },
        address: "127.0.0.1:7000".parse().unwrap(),
        incarnation: 1,
        link: 0,
        state,
        endpoint: stage.map(|stage| Endpoint {
            service: name("recipes"),
            stage,
            slots: 6,
            release: None,
        }),
    }
}

fn node(id: &str, version: u64, stage: Option<Stage>, in_flight: u32) -> NodeReport {
    NodeReport::Node(NodeStatus {
        member: member(id, State::Alive, stage),
        applied: Some(stamp(version)),
        ready: true,
        in_flight,
        operators: None,
    })
}

fn notice_progress(head: Option<Stamp>, nodes: Vec<NodeReport>, ends: bool) -> NoticeProgress {
    let mesh = MeshStatus {
        account: name("sutkent"),
        asked: name("n1"),
        store_up: head.is_some(),
        head,
        refused: None,
        nodes,
        in_force: true,
        highest: Some(Version(3)),
        took: Millis(1),
    };
    let account = Owner {
        name: name("sutkent"),
        notice_ends: ends.then_some(OffsetDateTime::UNIX_EPOCH),
    };
    progress(
        &account,
        &mesh,
        OffsetDateTime::from_unix_timestamp(60).unwrap(),
    )
}

#[test]
fn it_is_complete_when_all_hold_the_final_version_and_have_handed_over() {
    let nodes = vec![
        node("n1", 3, Some(Stage::Gone), 0),
        node("n2", 3, Some(Stage::Draining), 0),
        node("n3", 3, None, 0),
        NodeReport::Silent(member("n4", State::Left, Some(Stage::Ready))),
    ];
    let notice = notice_progress(Some(stamp(3)), nodes, true);
    assert!(notice.complete);
    assert_eq!((notice.proxies, notice.handed_over), (3, 2));
    assert_eq!(notice.seconds_left, Some(-60));
}

#[test]
fn it_is_incomplete_while_any_node_or_backend_server_is_not_known_to_be_done() {
    let done = || node("n1", 3, Some(Stage::Gone), 0);
    let head = || Some(stamp(3));
    let unfinished = [
        node("n2", 2, Some(Stage::Gone), 0),
        node("n2", 3, Some(Stage::Ready), 0),
        node("n2", 3, Some(Stage::Starting), 0),
        node("n2", 3, Some(Stage::Draining), 1),
        NodeReport::Silent(member("n2", State::Alive, None)),
        NodeReport::Silent(member("n2", State::Suspect, Some(Stage::Gone))),
        NodeReport::Silent(member("n2", State::Dead, Some(Stage::Gone))),
    ];
    assert!(notice_progress(head(), vec![done()], true).complete);
    for other in unfinished {
        let notice = notice_progress(head(), vec![done(), other.clone()], true);
        assert!(!notice.complete, "{other:?}");
    }
    assert!(!notice_progress(None, vec![done()], true).complete);
    assert!(!notice_progress(head(), vec![done()], false).complete);
    assert!(!notice_progress(head(), Vec::new(), true).complete);
}

#[test]
fn an_operator_can_declare_only_silent_nodes_gone() {
    let done = || node("n1", 3, Some(Stage::Gone), 0);
    let silent = NodeReport::Silent(member("n2", State::Dead, Some(Stage::Ready)));
    let busy = node("n2", 3, Some(Stage::Ready), 0);
    let head = || Some(stamp(3));
    let with_dead = notice_progress(head(), vec![done(), silent.clone()], true);
    assert!(with_dead.is_complete_without(&[name("n2")]));
    assert!(!with_dead.is_complete_without(&[name("n3")]));
    let with_answering = notice_progress(head(), vec![done(), busy], true);
    assert!(!with_answering.is_complete_without(&[name("n2")]));
    let only_silent = notice_progress(head(), vec![silent], true);
    assert!(!only_silent.is_complete_without(&[name("n2")]));
}

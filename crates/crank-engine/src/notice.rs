//! The progress of an owner towards the end of its notice period, from the nodes' answers.

use crank_protocol::config::{Config, Owner, Stamp};
use crank_protocol::member::{Member, Stage, State};
use crank_protocol::status::{MeshStatus, NodeReport, NodeStatus};
use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

/// A backend server that has not handed over yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PendingServer {
    /// The ID of the node beside the backend server.
    pub node: Name,
    /// The service that the backend server runs.
    pub service: Name,
    /// The stage of the backend server.
    pub stage: Stage,
    /// The number of requests that run at the backend server or wait for it.
    pub in_flight: u32,
}

/// The progress of an owner towards the end of its notice period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoticeProgress {
    /// The name of the owner.
    pub account: Name,
    /// The end of the notice period (wall time); `None` if no notice has been given.
    #[serde(with = "time::serde::rfc3339::option")]
    pub ends: Option<OffsetDateTime>,
    /// The seconds until the end of the notice period; negative after it.
    pub seconds_left: Option<i64>,
    /// The final version; `None` if the store's head row is unknown.
    #[serde(rename = "last")]
    pub final_version: Option<Stamp>,
    /// The number of nodes, without those that announced that they leave.
    pub proxies: u32,
    /// The number of nodes that answered and hold the final version.
    #[serde(rename = "on_last")]
    pub on_final_version: u32,
    /// The nodes that answered and hold another version or none; empty while the final version is
    /// unknown.
    pub behind: Vec<Name>,
    /// The nodes that did not answer, so that nothing is known about them or their backend servers.
    pub silent: Vec<Name>,
    /// The number of backend servers that have handed over.
    pub handed_over: u32,
    /// The backend servers that have not handed over yet.
    pub not_handed_over: Vec<PendingServer>,
    /// Whether notice has been given, every node is known to hold the final version, and every
    /// backend server is known to have handed over.
    pub complete: bool,
}

/// Computes the progress of an owner from the nodes' answers.
///
/// A node that did not answer never counts as done. A node that announced that it leaves is done.
/// A node that is considered dead counts as silent until the mesh removes it, because the state of
/// its backend server is unknown.
///
/// ```
/// use crank_engine::notice;
/// use crank_protocol::{Millis, Name, config::Owner, status::MeshStatus};
/// use time::OffsetDateTime;
/// let name = Name::new("sutkent").unwrap();
/// let ends = Some(OffsetDateTime::from_unix_timestamp(90).unwrap());
/// let mesh = MeshStatus {
///     account: name.clone(), asked: Name::new("n1").unwrap(), head: None, store_up: false,
///     refused: None, nodes: Vec::new(), in_force: false, highest: None, took: Millis(0),
/// };
/// let account = Owner { name, notice_ends: ends };
/// let notice = notice::progress(&account, &mesh, OffsetDateTime::UNIX_EPOCH);
/// assert_eq!((notice.seconds_left, notice.complete), (Some(90), false));
/// ```
#[must_use]
pub fn progress(account: &Owner, mesh: &MeshStatus, now: OffsetDateTime) -> NoticeProgress {
    let mut progress = NoticeProgress {
        account: account.name.clone(),
        ends: account.notice_ends,
        seconds_left: account.notice_ends.map(|ends| (ends - now).whole_seconds()),
        final_version: mesh.head.clone(),
        proxies: 0,
        on_final_version: 0,
        behind: Vec::new(),
        silent: Vec::new(),
        handed_over: 0,
        not_handed_over: Vec::new(),
        complete: false,
    };
    for answer in &mesh.nodes {
        progress.add(answer);
    }
    progress.complete = progress.is_complete_without(&[]);
    progress
}

/// Returns whether a service's backend servers must hand over now, so that they are done when the
/// notice period ends.
///
/// This is the case from the service's `drain_grace` before the end of the notice period onwards.
///
/// ```
/// use crank_engine::folder::{File, merge};
/// use crank_engine::notice;
/// use crank_protocol::Name;
/// use time::{Duration, OffsetDateTime};
/// let text = "[account]\nname = a\nnotice_ends = 2026-12-06T23:59:59Z\n\
///     [service recipes]\nslots = 6\ndrain_grace = 1m\n";
/// let file = File { name: "all.ini".into(), content: text.into() };
/// let config = merge(&[file]).unwrap().config;
/// let recipes = Name::new("recipes").unwrap();
/// let ends = config.account.notice_ends.unwrap();
/// assert!(!notice::is_handover_due(&config, &recipes, ends - Duration::seconds(61)));
/// assert!(notice::is_handover_due(&config, &recipes, ends - Duration::seconds(60)));
/// ```
#[must_use]
pub fn is_handover_due(config: &Config, service: &Name, now: OffsetDateTime) -> bool {
    let Some(ends) = config.account.notice_ends else {
        return false;
    };
    let service = config.services.get(service);
    let grace = service.map_or(Millis(0), |service| service.drain_grace);
    let remaining = ends - now;
    remaining <= std::time::Duration::from(grace)
}

impl NoticeProgress {
    /// Returns whether the account is done if these silent nodes are ignored, because the operator
    /// knows that they are gone. A node that answered is never ignored.
    ///
    /// ```
    /// use crank_engine::notice;
    /// use crank_protocol::{Millis, Name, config::Owner, status::MeshStatus};
    /// let name = Name::new("sutkent").unwrap();
    /// let mesh = MeshStatus {
    ///     account: name.clone(), asked: name.clone(), head: None, store_up: true, refused: None,
    ///     nodes: Vec::new(), in_force: false, highest: None, took: Millis(0),
    /// };
    /// let account = Owner { name: name.clone(), notice_ends: None };
    /// let notice = notice::progress(&account, &mesh, time::OffsetDateTime::UNIX_EPOCH);
    /// assert!(!notice.is_complete_without(&[name]));
    /// ```
    #[must_use]
    pub fn is_complete_without(&self, gone: &[Name]) -> bool {
        let unconfirmed = self.silent.iter().filter(|id| !gone.contains(id)).count();
        self.ends.is_some()
            && self.on_final_version > 0
            && self.behind.is_empty()
            && unconfirmed == 0
            && self.not_handed_over.is_empty()
    }

    fn add(&mut self, answer: &NodeReport) {
        match answer {
            NodeReport::Node(node) => self.add_node(node),
            NodeReport::Silent(member) => self.add_silent(member),
        }
    }

    fn add_silent(&mut self, member: &Member) {
        if member.state == State::Left {
            return;
        }
        self.proxies += 1;
        self.silent.push(member.id.clone());
    }

    fn add_node(&mut self, node: &NodeStatus) {
        self.proxies += 1;
        if self.final_version.is_some() && node.applied == self.final_version {
            self.on_final_version += 1;
        } else if self.final_version.is_some() {
            self.behind.push(node.member.id.clone());
        }
        let Some(endpoint) = &node.member.endpoint else {
            return;
        };
        let is_draining = matches!(endpoint.stage, Stage::Draining | Stage::Gone);
        if is_draining && node.in_flight == 0 {
            self.handed_over += 1;
            return;
        }
        self.not_handed_over.push(PendingServer {
            node: node.member.id.clone(),
            service: endpoint.service.clone(),
            stage: endpoint.stage,
            in_flight: node.in_flight,
        });
    }
}

//! The end of a notice period, counted from what the nodes say.

use crank_protocol::config::{Account, Config, Stamp};
use crank_protocol::member::{Member, Stage, State};
use crank_protocol::status::{MeshStatus, NodeReport, NodeStatus};
use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

/// A backend server that has not handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PendingServer {
    /// The node beside it.
    pub node: Name,
    /// The service it runs.
    pub service: Name,
    /// Its stage of life.
    pub stage: Stage,
    /// Requests that it runs or that wait for it.
    pub in_flight: u32,
}

/// How far a client account has come towards the end of its notice period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NoticeProgress {
    /// The client account.
    pub account: Name,
    /// When the notice period ends (wall time); absent where no notice is given.
    #[serde(with = "time::serde::rfc3339::option")]
    pub ends: Option<OffsetDateTime>,
    /// Seconds until then; negative afterwards.
    pub seconds_left: Option<i64>,
    /// The final version; absent where the store's head row is not known.
    pub last: Option<Stamp>,
    /// Nodes that count: all but those that said that they leave.
    pub proxies: u32,
    /// Of these, nodes that answered and hold the final version.
    pub on_last: u32,
    /// Nodes that answered and hold another version, or none; empty while the final is not known.
    pub behind: Vec<Name>,
    /// Nodes that did not answer; nothing is known of them or their backend servers.
    pub silent: Vec<Name>,
    /// Backend servers that have handed over.
    pub handed_over: u32,
    /// Backend servers that have not.
    pub not_handed_over: Vec<PendingServer>,
    /// Whether notice is given, and every proxy and backend server is known to be done.
    pub complete: bool,
}

/// Counts who is done; silence is never done.
///
/// A node that said that it leaves is done. One that is believed dead is silent until the mesh
/// forgets it, for nobody knows what became of its backend server.
///
/// ```
/// use crank_engine::notice;
/// use crank_protocol::{Millis, Name, config::Account, status::MeshStatus};
/// use time::OffsetDateTime;
/// let name = Name::new("sutkent").unwrap();
/// let ends = Some(OffsetDateTime::from_unix_timestamp(90).unwrap());
/// let mesh = MeshStatus {
///     account: name.clone(), asked: Name::new("n1").unwrap(), head: None, store_up: false,
///     refused: None, nodes: Vec::new(), in_force: false, highest: None, took: Millis(0),
/// };
/// let account = Account { name, notice_ends: ends };
/// let notice = notice::progress(&account, &mesh, OffsetDateTime::UNIX_EPOCH);
/// assert_eq!((notice.seconds_left, notice.complete), (Some(90), false));
/// ```
#[must_use]
pub fn progress(account: &Account, mesh: &MeshStatus, now: OffsetDateTime) -> NoticeProgress {
    let mut notice = NoticeProgress {
        account: account.name.clone(),
        ends: account.notice_ends,
        seconds_left: account.notice_ends.map(|ends| (ends - now).whole_seconds()),
        last: mesh.head.clone(),
        proxies: 0,
        on_last: 0,
        behind: Vec::new(),
        silent: Vec::new(),
        handed_over: 0,
        not_handed_over: Vec::new(),
        complete: false,
    };
    for answer in &mesh.nodes {
        notice.add(answer);
    }
    notice.complete = notice.is_complete_without(&[]);
    notice
}

/// Whether a service's backend servers must hand over, so that they are done when the notice ends.
///
/// That is their grace before the end, and ever after.
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
    let left = ends - now;
    left <= std::time::Duration::from(grace)
}

impl NoticeProgress {
    /// Whether it is complete once these silent nodes, which the operator knows to be gone, are
    /// left out; a node that answered is never left out.
    ///
    /// ```
    /// use crank_engine::notice;
    /// use crank_protocol::{Millis, Name, config::Account, status::MeshStatus};
    /// let name = Name::new("sutkent").unwrap();
    /// let mesh = MeshStatus {
    ///     account: name.clone(), asked: name.clone(), head: None, store_up: true, refused: None,
    ///     nodes: Vec::new(), in_force: false, highest: None, took: Millis(0),
    /// };
    /// let account = Account { name: name.clone(), notice_ends: None };
    /// let notice = notice::progress(&account, &mesh, time::OffsetDateTime::UNIX_EPOCH);
    /// assert!(!notice.is_complete_without(&[name]));
    /// ```
    #[must_use]
    pub fn is_complete_without(&self, gone: &[Name]) -> bool {
        let silent = self.silent.iter().filter(|id| !gone.contains(id)).count();
        self.ends.is_some()
            && self.on_last > 0
            && self.behind.is_empty()
            && silent == 0
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
        if self.last.is_some() && node.applied == self.last {
            self.on_last += 1;
        } else if self.last.is_some() {
            self.behind.push(node.member.id.clone());
        }
        let Some(endpoint) = &node.member.endpoint else {
            return;
        };
        let is_leaving = matches!(endpoint.stage, Stage::Draining | Stage::Gone);
        if is_leaving && node.in_flight == 0 {
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

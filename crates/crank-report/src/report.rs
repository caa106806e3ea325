//! The service levels over the answers of all nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crank_engine::burn::{self, ServiceEvaluation, evaluate};
use crank_protocol::member::{Member, State};
use crank_protocol::status::{MeshStatus, NodeReport};
use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

/// A node that was queried and did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnreachedNode {
    /// The node's operators' address.
    pub address: Arc<str>,
    /// The error, and what the operator can do.
    pub problem: Arc<str>,
}

/// Holds the service levels over all nodes that answered, and the nodes that did not answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The services, each evaluated over the counts of the nodes that answered.
    pub services: Vec<ServiceEvaluation>,
    /// The nodes that answered.
    pub heard: Vec<Name>,
    /// The nodes that were queried and did not answer.
    pub unreached: Vec<UnreachedNode>,
    /// Nodes of the mesh that did not answer, or `None` if no node returned the mesh status.
    pub unheard: Option<Vec<Name>>,
    /// The shortest time that a node has counted; data for longer windows is incomplete.
    pub counted: Option<Millis>,
    /// Whether every node of the mesh answered.
    pub complete: bool,
}

impl Report {
    /// Evaluates the counts; a node that did not answer counts neither as good nor as bad.
    ///
    /// ```
    /// let report = crank_report::Report::new(&[], Vec::new(), None);
    /// assert!(!report.complete);
    /// ```
    #[must_use]
    pub fn new(
        reports: &[burn::BurnReport],
        unreached: Vec<UnreachedNode>,
        mesh: Option<&MeshStatus>,
    ) -> Self {
        // A node that answers at two addresses is counted once.
        let reports: BTreeMap<&Name, &burn::BurnReport> = reports
            .iter()
            .map(|report| (&report.node, report))
            .collect();
        let heard: BTreeSet<Name> = reports.keys().copied().cloned().collect();
        let reports: Vec<burn::BurnReport> = reports.into_values().cloned().collect();
        let unheard = mesh.map(|mesh| unheard(mesh, &heard));
        let all_answered = unheard.as_ref().is_some_and(Vec::is_empty);
        Self {
            services: evaluate(&reports),
            complete: all_answered && unreached.is_empty() && !heard.is_empty(),
            heard: heard.into_iter().collect(),
            unreached,
            unheard,
            counted: reports.iter().map(|report| report.counted).min(),
        }
    }

    /// Returns whether the report is complete, covers at least one service and has no alarm.
    ///
    /// ```
    /// assert!(!crank_report::Report::new(&[], Vec::new(), None).is_healthy());
    /// ```
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        let mut services = self.services.iter();
        let no_alarm = services.all(|service| service.alarms.is_empty());
        self.complete && !self.services.is_empty() && no_alarm
    }
}

fn unheard(mesh: &MeshStatus, heard: &BTreeSet<Name>) -> Vec<Name> {
    let members = mesh.nodes.iter().map(|answer| match answer {
        NodeReport::Node(node) => &node.member,
        NodeReport::Silent(member) => member,
    });
    members
        .filter(|member: &&Member| member.state != State::Left && !heard.contains(&member.id))
        .map(|member| member.id.clone())
        .collect()
}

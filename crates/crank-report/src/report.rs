//! What the nodes' answers come to.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crank_engine::burn::{self, ServiceEvaluation, evaluate};
use crank_protocol::member::{Member, State};
use crank_protocol::status::{MeshStatus, NodeReport};
use crank_protocol::{Millis, Name};
use serde::{Deserialize, Serialize};

/// A node that was asked and did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnreachedNode {
    /// The address that was asked.
    pub address: Arc<str>,
    /// Why there was no answer, and what to do.
    pub problem: Arc<str>,
}

/// The service levels over all nodes that answered, and who did not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The services, each judged on what was heard.
    pub services: Vec<ServiceEvaluation>,
    /// The nodes that answered.
    pub heard: Vec<Name>,
    /// The nodes that were asked and did not answer.
    pub unreached: Vec<UnreachedNode>,
    /// Nodes of the mesh that no answer came from; absent where no node told who there is.
    pub unheard: Option<Vec<Name>>,
    /// How long the node that started last has counted; longer windows lack a part.
    pub counted: Option<Millis>,
    /// Whether every node of the mesh was heard.
    pub complete: bool,
}

impl Report {
    /// Judges what was heard; a node that was not heard is neither good nor bad.
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
        let nobody_missing = unheard.as_ref().is_some_and(Vec::is_empty);
        Self {
            services: evaluate(&reports),
            complete: nobody_missing && unreached.is_empty() && !heard.is_empty(),
            heard: heard.into_iter().collect(),
            unreached,
            unheard,
            counted: reports.iter().map(|report| report.counted).min(),
        }
    }

    /// Whether the report is complete, judges at least one service, and no alarm sounds.
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

//! What a node believes of the mesh.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::Name;
use crank_protocol::member::{Member, State};

/// Every member, and which regions are unreachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    local_id: Name,
    members: BTreeMap<Name, Member>,
    unreachable: BTreeSet<Name>,
}

impl View {
    /// A view of these members, as the node `me` has it.
    ///
    /// ```
    /// use crank_mesh::View;
    /// use crank_protocol::Name;
    /// let view = View::new(Name::new("node-1")?, [], Default::default());
    /// assert_eq!(view.members().count(), 0);
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn new(
        local_id: Name,
        members: impl IntoIterator<Item = Member>,
        unreachable: BTreeSet<Name>,
    ) -> Self {
        let members = members
            .into_iter()
            .map(|member| (member.id.clone(), member));
        Self {
            local_id,
            members: members.collect(),
            unreachable,
        }
    }

    /// The name of the node whose view this is.
    ///
    /// ```
    /// # let view = crank_mesh::View::new(crank_protocol::Name::new("node-1").unwrap(), [], Default::default());
    /// assert_eq!(view.local_id().as_str(), "node-1");
    /// ```
    #[must_use]
    pub fn local_id(&self) -> &Name {
        &self.local_id
    }

    /// Every member, this node included, in the order of names.
    ///
    /// ```
    /// # let view = crank_mesh::View::new(crank_protocol::Name::new("node-1").unwrap(), [], Default::default());
    /// assert_eq!(view.members().count(), 0);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// What is believed of a node.
    ///
    /// ```
    /// # let view = crank_mesh::View::new(crank_protocol::Name::new("node-1").unwrap(), [], Default::default());
    /// assert!(view.get(view.local_id()).is_none());
    /// ```
    #[must_use]
    pub fn get(&self, id: &Name) -> Option<&Member> {
        self.members.get(id)
    }

    /// The regions from which nothing is heard.
    ///
    /// ```
    /// # let view = crank_mesh::View::new(crank_protocol::Name::new("node-1").unwrap(), [], Default::default());
    /// assert!(view.unreachable_regions().is_empty());
    /// ```
    #[must_use]
    pub fn unreachable_regions(&self) -> &BTreeSet<Name> {
        &self.unreachable
    }

    /// Whether a member is there and its region is heard.
    #[must_use]
    pub fn is_reachable(&self, member: &Member) -> bool {
        let is_there = matches!(member.state, State::Alive | State::Suspect);
        is_there && !self.unreachable.contains(&member.place.region)
    }
}

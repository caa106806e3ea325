//! A node's view of the mesh.

use std::collections::{BTreeMap, BTreeSet};

use crank_protocol::Name;
use crank_protocol::member::{Member, State};

/// The members of the mesh and the unreachable regions, as one node sees them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    local_id: Name,
    members: BTreeMap<Name, Member>,
    unreachable: BTreeSet<Name>,
}

impl View {
    /// Returns the view of the node `local_id` with the given members and unreachable regions.
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

    /// Returns the name of the node whose view this is.
    ///
    /// ```
    /// # let id = crank_protocol::Name::new("node-1").unwrap();
    /// # let view = crank_mesh::View::new(id, [], Default::default());
    /// assert_eq!(view.local_id().as_str(), "node-1");
    /// ```
    #[must_use]
    pub fn local_id(&self) -> &Name {
        &self.local_id
    }

    /// Returns all members in the order of their names, including this node.
    ///
    /// ```
    /// # let id = crank_protocol::Name::new("node-1").unwrap();
    /// # let view = crank_mesh::View::new(id, [], Default::default());
    /// assert_eq!(view.members().count(), 0);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the member with the given name.
    ///
    /// ```
    /// # let id = crank_protocol::Name::new("node-1").unwrap();
    /// # let view = crank_mesh::View::new(id, [], Default::default());
    /// assert!(view.get(view.local_id()).is_none());
    /// ```
    #[must_use]
    pub fn get(&self, id: &Name) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns the regions from which nothing was received within the time limit.
    ///
    /// ```
    /// # let id = crank_protocol::Name::new("node-1").unwrap();
    /// # let view = crank_mesh::View::new(id, [], Default::default());
    /// assert!(view.unreachable_regions().is_empty());
    /// ```
    #[must_use]
    pub fn unreachable_regions(&self) -> &BTreeSet<Name> {
        &self.unreachable
    }

    /// Returns whether a member is alive or suspect and its region is reachable.
    #[must_use]
    pub fn is_reachable(&self, member: &Member) -> bool {
        let is_present = matches!(member.state, State::Alive | State::Suspect);
        is_present && !self.unreachable.contains(&member.place.region)
    }
}

//! Which nodes are neighbours, and which bridge regions.

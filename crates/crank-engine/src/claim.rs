//! At most once: what a claim row means and what to do next.

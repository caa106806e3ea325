//! What may be tried again: outcome, budget, deadline and depth.

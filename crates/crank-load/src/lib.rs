//! Open-loop load and experiments with figures.

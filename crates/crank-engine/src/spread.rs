//! Spreading: which configuration to hold, to push and to ask for.

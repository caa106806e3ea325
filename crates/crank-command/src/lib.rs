//! The commands of crankctl, one a file.

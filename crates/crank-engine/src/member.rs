//! Membership: probes, suspicion, incarnations and gossip.

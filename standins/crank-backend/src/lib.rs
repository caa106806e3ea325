//! Stand-in for a backend server: slots, cold start, drain, lagging health, a ledger of runs.

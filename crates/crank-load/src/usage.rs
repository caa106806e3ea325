//! What processes of an experiment use, as the system counts it.

use serde::Serialize;

const TICKS_PER_SECOND: f64 = 100.0;
const KIBIBYTE: u64 = 1_024;
const STAT_FIELDS_BEFORE_STATE: usize = 2;
const USER_TICKS_FIELD: usize = 13;
const SYSTEM_TICKS_FIELD: usize = 14;

/// What one process has used.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Usage {
    /// Processor time since its start, in seconds.
    pub processor_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Reads what a process has used; absent where there is no such process.
///
/// ```
/// let usage = crank_load::usage::read(std::process::id()).unwrap();
/// assert!(usage.resident_bytes > 0);
/// ```
#[must_use]
pub fn read(process: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    // The second field is a name in brackets that may hold spaces.
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |field: usize| -> Option<f64> {
        fields.get(field - STAT_FIELDS_BEFORE_STATE)?.parse().ok()
    };
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident: u64 = resident.trim().trim_end_matches(" kB").parse().ok()?;
    Some(Usage {
        processor_seconds: (ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?)
            / TICKS_PER_SECOND,
        resident_bytes: resident * KIBIBYTE,
    })
}

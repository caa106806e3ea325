//! The `[limits]` section: what callers may send, and how long they may take or stay idle.

use crank_protocol::Millis;
use crank_protocol::config::CallerLimits;

use super::service::MAX_TIMEOUT_MILLIS;
use crate::ini::{Fault, Problem, Section, SectionReader, value};

const MIN_HEADER_BYTES: u32 = 1_024;
const MAX_HEADER_BYTES: u32 = 1_048_576;
const MAX_BODY_BYTES: u32 = 1_073_741_824;
const MIN_TIMEOUT_MILLIS: u64 = 100;

pub(super) fn read(section: &Section, faults: &mut Vec<Fault>) -> CallerLimits {
    let mut reader = SectionReader::new(section);
    let header_bytes = reader.optional("header_bytes", |text| {
        value::count(text, MIN_HEADER_BYTES, MAX_HEADER_BYTES)
    });
    let body_bytes = reader.optional("body_bytes", |text| value::count(text, 0, MAX_BODY_BYTES));
    let header_timeout = reader.optional("header_timeout", timeout);
    let idle_timeout = reader.optional("idle_timeout", timeout);
    faults.extend(reader.finish());
    CallerLimits {
        header_bytes: header_bytes.map(u64::from),
        body_bytes: body_bytes.map(u64::from),
        header_timeout,
        idle_timeout,
    }
}

fn timeout(text: &str) -> Result<Millis, Problem> {
    value::duration(text, MIN_TIMEOUT_MILLIS, MAX_TIMEOUT_MILLIS)
}

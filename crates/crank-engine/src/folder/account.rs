//! The `[account]` section: keys and their types.

use crank_protocol::config::Owner;

use crate::ini::{Fault, Section, SectionReader, value};

pub(super) fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Owner> {
    let mut reader = SectionReader::new(section);
    let name = reader.required("name", "the client account's name", value::name);
    let notice_ends = reader.optional("notice_ends", value::wall_time);
    faults.extend(reader.finish());
    Some(Owner {
        name: name?,
        notice_ends,
    })
}

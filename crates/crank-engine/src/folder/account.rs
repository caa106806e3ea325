//! The `[account]` section: keys and their types.

use crank_protocol::config::Account;

use crate::ini::{Fault, Section, SectionReader, value};

pub(super) fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Account> {
    let mut reader = SectionReader::new(section);
    let name = reader.required("name", "the client account's name", value::name);
    let notice_ends = reader.optional("notice_ends", value::wall_time);
    faults.extend(reader.finish());
    Some(Account {
        name: name?,
        notice_ends,
    })
}

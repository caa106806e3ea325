//! The `[limits]` section of the folder: its keys, and faults that name file, line and key.

#![allow(clippy::unwrap_used)]

use crank_engine::folder::{File, Merged, merge};
use crank_protocol::Millis;
use crank_protocol::status::Fault;

fn read(limits: &str) -> Result<Merged, Vec<Fault>> {
    let content = format!("[account]\nname = sutkent\n[limits]\n{limits}");
    merge(&[File {
        name: "10-all.ini".into(),
        content: content.into_bytes(),
    }])
}

#[test]
fn all_limits_are_read() {
    let text =
        "header_bytes = 16384\nbody_bytes = 67108864\nheader_timeout = 3s\nidle_timeout = 15s\n";
    let limits = read(text).unwrap().config.limits;
    assert_eq!(limits.header_bytes, Some(16_384));
    assert_eq!(limits.body_bytes, Some(67_108_864));
    assert_eq!(limits.header_timeout, Some(Millis(3_000)));
    assert_eq!(limits.idle_timeout, Some(Millis(15_000)));
}

#[test]
fn a_key_that_is_not_there_sets_no_limit() {
    let limits = read("body_bytes = 1000\n").unwrap().config.limits;
    assert_eq!(limits.header_bytes, None);
    assert_eq!(limits.idle_timeout, None);
}

#[test]
fn faults_name_file_line_and_key() {
    for (text, key) in [
        ("header_bytes = many\n", "header_bytes"),
        ("header_bytes = 10\n", "header_bytes"),
        ("body_bytes = -1\n", "body_bytes"),
        ("header_timeout = 3\n", "header_timeout"),
        ("idle_timeout = 0ms\n", "idle_timeout"),
        ("idle = 15s\n", "idle"),
    ] {
        let faults = read(text).unwrap_err();
        let fault = &faults[0];
        assert_eq!(&*fault.file, "10-all.ini");
        assert_eq!(fault.line, 4, "{text}");
        assert_eq!(&*fault.key, key, "{text}");
    }
}

//! What operators are shown of the differences between two configurations.

#![allow(clippy::unwrap_used)]

use crank_engine::difference::differences;
use crank_engine::folder::{File, merge};
use crank_protocol::config::Config;

const OLD: &str = "[account]\nname = sutkent\n[service recipes]\nslots = 6\n\
    [route r]\npath = /r\nmethods = GET\nservice = recipes\n\
    [client mill]\nkeys = tta828m82thhkmgjqnir th5mgjy5rcpihhacrudd\nrate = 5\nburst = 9\n";

fn config(content: &str) -> Config {
    let file = File {
        name: "10.ini".into(),
        content: content.into(),
    };
    merge(&[file]).unwrap().config
}

fn shown(old: &str, new: &str) -> Vec<String> {
    let found = differences(&config(old), &config(new));
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn equal_configurations_have_no_differences() {
    assert!(shown(OLD, OLD).is_empty());
}

#[test]
fn values_are_shown_by_section_and_field() {
    let new = OLD
        .replace("slots = 6", "slots = 7")
        .replace("burst = 9", "burst = 8")
        + "[route r]\ntimeout = 800ms\n[limits]\nbody_bytes = 4096\n";
    let new = new.replace(
        "service = recipes\n[client",
        "service = recipes\nattempts = 2\n[client",
    );
    let expected = [
        "service recipes: slots: 6 -> 7",
        "route r: attempts: not set -> 2",
        "route r: timeout: not set -> 800",
        "client mill: rate: {\"burst\":9,\"per_second\":5} -> {\"burst\":8,\"per_second\":5}",
        "limits: body_bytes: not set -> 4096",
    ];
    assert_eq!(shown(OLD, &new), expected);
}

#[test]
fn sections_come_and_go_as_a_whole() {
    let without = OLD.split("[route").next().unwrap();
    assert_eq!(
        shown(OLD, without),
        ["route r: removed", "client mill: removed"]
    );
    assert_eq!(
        shown(without, OLD),
        ["route r: added", "client mill: added"]
    );
}

#[test]
fn keys_are_counted_and_never_shown() {
    let new = OLD.replace("th5mgjy5rcpihhacrudd", "another-key-altogether");
    let found = differences(&config(OLD), &config(&new));
    let text = format!("{found:?} {}", serde_json::to_string(&found).unwrap());
    assert_eq!(
        found[0].to_string(),
        "client mill: keys: 1 added, 1 taken back"
    );
    assert_eq!(found.len(), 1);
    for key in [
        "tta828m82thhkmgjqnir",
        "th5mgjy5rcpihhacrudd",
        "another-key-altogether",
    ] {
        let digest = crank_engine::account::KeyDigest::of(key.as_bytes()).to_config();
        assert!(!text.contains(key) && !text.contains(digest.as_str()));
    }
}

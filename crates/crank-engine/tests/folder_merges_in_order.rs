//! The configuration that results from merging a valid folder.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use crank_engine::folder::{File, merge};
use crank_protocol::config::Method;
use crank_protocol::{Millis, Permille};
use proptest::prelude::*;

fn file(name: &str, content: &str) -> File {
    File {
        name: name.into(),
        content: content.into(),
    }
}

#[test]
fn sections_merge_in_byte_order_of_file_names_and_later_keys_win() {
    let files = [
        file("9-last.ini", "[service recipes]\nslots = 9\n"),
        file(
            "10-first.ini",
            "[account]\nname = a\n[service recipes]\nslots = 6\nqueue = 4\n",
        ),
        file("B.ini", "[account]\nname = b\n"),
        file("a.ini", "[account]\nname = c\n"),
    ];
    let config = merge(&files).unwrap().config;
    let recipes = &config.services["recipes"];
    assert_eq!((recipes.slots, recipes.queue), (9, 4));
    assert_eq!(config.account.name.as_str(), "c");
}

#[test]
fn removing_or_emptying_a_file_removes_its_keys() {
    let base = file(
        "10.ini",
        "[account]\nname = a\n[service recipes]\nslots = 6\n",
    );
    let more = file("20.ini", "[service panels]\nslots = 6\n");
    let alone = merge(std::slice::from_ref(&base)).unwrap();
    assert_eq!(
        merge(&[base.clone(), more]).unwrap().config.services.len(),
        2
    );
    assert_eq!(merge(&[base, file("20.ini", "")]).unwrap(), alone);
}

#[test]
fn files_of_editors_are_ignored_and_listed() {
    let files = [
        file(
            "10.ini",
            "\u{feff}[ account ]\r\nname = a\r\n# x = y\r\n; z\r\n",
        ),
        file("10.ini~", "nonsense"),
        file(".10.ini.swp", "nonsense"),
        file(".crank-pulled.json", "{}"),
        file("#10.ini#", "nonsense"),
    ];
    let merged = merge(&files).unwrap();
    let ignored_files: Vec<&str> = merged.ignored_files.iter().map(|name| &**name).collect();
    let expected = ["#10.ini#", ".10.ini.swp", ".crank-pulled.json", "10.ini~"];
    assert_eq!(ignored_files, expected);
}

#[test]
fn values_have_units_and_missing_keys_have_defaults() {
    let text = "[account]\nname = a\nnotice_ends = 2026-12-06T23:59:59+05:00\n\
        [service batches]\nslots = 6\ntimeout = 2m\nretry_budget = 12.5%\n\
        objective_good = 99.9%\nobjective_latency = 250ms\n\
        [route release]\npath = /batches\nmethods = POST, PUT\nservice = batches\nonce = yes\n";
    let config = merge(&[file("all.ini", text)]).unwrap().config;
    let batches = &config.services["batches"];
    assert_eq!(
        (batches.timeout, batches.retry_budget),
        (Millis(120_000), Permille(125))
    );
    assert_eq!(
        (batches.connections, batches.warm_up),
        (100, Millis(10_000))
    );
    assert_eq!(batches.objective.unwrap().latency, Millis(250));
    let release = &config.routes["release"];
    assert_eq!(release.methods, [Method::Post, Method::Put].into());
    assert!(release.once && !release.idempotent);
    assert!(config.account.notice_ends.is_some());
}

fn file_content() -> impl Strategy<Value = Vec<u8>> {
    let words = [
        "[service a]",
        "[route r]",
        "[account]",
        "slots = 6",
        "path = /a",
        "name = a",
        "[",
        "]",
        "=",
        "\r",
        "\n",
        " ",
        ";",
        "#",
        "timeout = 5",
        "methods = GET",
        "service = a",
        "\u{feff}",
    ];
    let word = prop::sample::select(words.to_vec()).prop_map(|word| word.as_bytes().to_vec());
    let bytes = prop::collection::vec(any::<u8>(), 0..4);
    prop::collection::vec(prop_oneof![4 => word, 1 => bytes], 0..30)
        .prop_map(|words| words.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn any_content_is_merged_or_refused_regardless_of_the_listing_order(
        contents in prop::collection::vec(file_content(), 0..4),
    ) {
        let named = |(index, content): (usize, Vec<u8>)| File {
            name: format!("{index}.ini").into(),
            content,
        };
        let mut files: Vec<File> = contents.into_iter().enumerate().map(named).collect();
        let merged = merge(&files);
        if let Err(faults) = &merged {
            prop_assert!(!faults.is_empty());
        }
        files.reverse();
        prop_assert_eq!(merge(&files), merged);
    }
}

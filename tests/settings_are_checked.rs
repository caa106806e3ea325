//! A node says what is wrong with its settings before it starts anything.

#![allow(clippy::unwrap_used)]

use std::process::{Command, Output};

use tempfile::TempDir;

const WHOLE: &str = "[account]\nname = sutkent\n[node]\nname = n1\nregion = almaty\n\
    data_centre = almaty-1\n[listen]\ncallers = 127.0.0.1:0\nmesh = 127.0.0.1:0\n\
    servers = 127.0.0.1:0\noperators = 127.0.0.1:0\n[platform]\nobjects = http://127.0.0.1:1\n\
    table = http://127.0.0.1:1\nbucket = crank\ntable_name = crank\nregion = almaty\n";

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_crank-node"))
        .args(arguments)
        .output()
        .unwrap()
}

/// What a node says of settings that it refuses.
fn refused(settings: &str) -> Vec<String> {
    let home = TempDir::new().unwrap();
    let path = home.path().join("node.ini");
    std::fs::write(&path, settings).unwrap();
    let output = run(&["--settings", &path.display().to_string()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty(), "it listens nowhere");
    let said = String::from_utf8(output.stderr).unwrap();
    let place = format!("{}/", home.path().display());
    said.replace(&place, "")
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_fault_is_named_by_file_line_and_key() {
    let faulty = WHOLE
        .replace(
            "region = almaty\ndata_centre",
            "region =\nregoin = almaty\ndata_centre",
        )
        .replace("mesh = 127.0.0.1:0", "mesh = localhost")
        .replace("[platform]", "[drain]\ngrace = 10\n[platfrom]");
    let said = refused(&faulty).join("\n");
    for fault in [
        "node.ini:5: node region:",
        "node.ini:6: node regoin: unknown key",
        "node.ini:10: listen mesh:",
        "node.ini:14: drain grace: '10' has no unit",
        "node.ini:15: platfrom: unknown section",
        "platform",
    ] {
        assert!(said.contains(fault), "{fault} is not in\n{said}");
    }
}

#[test]
fn syntax_and_missing_sections_are_faults_too() {
    let said = refused("[node\nname = n1\n");
    assert!(said[0].contains("node.ini:1:"), "{said:?}");
    let said = refused("").join("\n");
    for section in ["[account]", "[platform]", "[node]", "[listen]"] {
        assert!(said.contains(section), "{section} is not in\n{said}");
    }
}

#[test]
fn a_missing_file_and_wrong_use_are_told_apart() {
    let missing = run(&["--settings", "/nowhere/node.ini"]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(
        String::from_utf8(missing.stderr)
            .unwrap()
            .contains("/nowhere/node.ini")
    );
    assert_eq!(run(&["--nonsense"]).status.code(), Some(2));
    assert_eq!(run(&[]).status.code(), Some(2));
}

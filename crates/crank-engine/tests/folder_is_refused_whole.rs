//! A folder with any fault is refused as a whole, with a message for each fault.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use crank_engine::folder::{File, merge};
use crank_protocol::status::Fault;

const GOOD: &str = "[account]\nname = sutkent\n[service recipes]\nslots = 6\n";

fn file(name: &str, content: &str) -> File {
    File {
        name: name.into(),
        content: content.into(),
    }
}

fn faults(files: &[File]) -> Vec<Fault> {
    merge(files).expect_err("the folder must be refused")
}

fn only_fault(extra: &str) -> Fault {
    let mut faults = faults(&[file("10.ini", GOOD), file("20.ini", extra)]);
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults.remove(0)
}

/// Contents of `20.ini`, each with one fault.
const REFUSED: &[&str] = &[
    "[service a]\nslots 6\n",
    "slots = 6\n",
    "[service a\nslots = 6\n",
    "  [\n",
    "[]\n",
    "[service a]\n= 6\n",
    "[service a]\nslots = 6\nslots = 7\n",
    "[servcie a]\n",
    "[service]\nslots = 6\n",
    "[account x]\nname = y\n",
    "[service a b]\nslots = 6\n",
    "[service a]\nslots = 6\nslot = 6\n",
    "[service a]\nqueue = 6\n",
    "[service a]\nslots = 0\n",
    "[service a]\nslots = -1\n",
    "[service a]\nslots =\n",
    "[service a]\nslots = 99999999999\n",
    "[service recipes]\nconnections = 0\n",
    "[service recipes]\nqueue = 100001\n",
    "[service recipes]\ntimeout = 5\n",
    "[service recipes]\ntimeout = 5h\n",
    "[service recipes]\ntimeout = 0s\n",
    "[service recipes]\nwarm_up = 11m\n",
    "[service recipes]\ndrain_grace = 61m\n",
    "[service recipes]\nretry_budget = 10\n",
    "[service recipes]\nretry_budget = 101%\n",
    "[service recipes]\nimportance = top\n",
    "[service recipes]\nobjective_good = 99%\n",
    "[service recipes]\nobjective_good = 100%\nobjective_latency = 1s\n",
    "[account]\nname = two words\n",
    "[account]\nnotice_ends = Sunday\n",
    "[route r]\nmethods = GET\nservice = recipes\n",
    "[route r]\npath = /r\nservice = recipes\n",
    "[route r]\npath = /r\nmethods = GET\n",
    "[route r]\npath = r\nmethods = GET\nservice = recipes\n",
    "[route r]\npath = /r//\nmethods = GET\nservice = recipes\n",
    "[route r]\npath = /a/../b\nmethods = GET\nservice = recipes\n",
    "[route r]\npath = /r\nmethods = GET\nservice = recipes\nhost = Recipes:80\n",
    "[route r]\npath = /r\nmethods = GET\nsplit = recipes 90, panels\n",
    "[route r]\npath = /r\nmethods = GET\nsplit = recipes 90, rices 10\n",
    "[route r]\npath = /r\nmethods = GET\nservice = recipes\nsplit = recipes 9\n",
    "[route r]\npath = /r\nmethods = GET\nservice = recipes\nattempts = 0\n",
    "[route r]\npath = /r\nmethods = GRAB\nservice = recipes\n",
    "[route r]\npath = /r\nmethods = GET\nservice = rices\n",
    "[route r]\npath = /r\nmethods = GET\nservice = recipes\nidempotent = 1\n",
    "[route r]\npath = /r\nmethods = GET\nservice = recipes\nidempotent = yes\nonce = yes\n",
    "[route a]\npath = /r\nmethods = GET POST\nservice = recipes\n[route b]\npath = /r\nmethods = POST\nservice = recipes\n",
];

#[test]
fn each_bad_input_is_one_fault_at_its_line_that_says_what_to_do() {
    let lines: Vec<String> = REFUSED
        .iter()
        .map(|content| format!("{content:?}\n    {}", only_fault(content)))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_file_that_is_not_utf8_is_refused() {
    let mut bad = file("20.ini", "[service a]\nslots = 6\n; ");
    bad.content.push(0xff);
    let faults = faults(&[file("10.ini", GOOD), bad]);
    assert_eq!((&*faults[0].file, faults[0].line), ("20.ini", 3));
    assert!(faults[0].problem.contains("not valid UTF-8"));
}

#[test]
fn over_large_files_and_folders_are_refused() {
    let comment = |bytes: usize| format!(";{}", "x".repeat(bytes - 1));
    let large = [file("10.ini", GOOD), file("20.ini", &comment(65_537))];
    assert!(
        faults(&large)[0]
            .problem
            .contains("65537 bytes, but the maximum is 65536")
    );

    let mut many: Vec<File> = (0..256)
        .map(|number| file(&format!("f{number}"), "; x\n"))
        .collect();
    many.push(file("10.ini", GOOD));
    assert!(
        faults(&many)[0]
            .problem
            .contains("257 files, but the maximum is 256")
    );

    let mut oversized: Vec<File> = (0..16)
        .map(|number| file(&format!("f{number}"), &comment(65_536)))
        .collect();
    oversized.push(file("10.ini", GOOD));
    assert!(
        faults(&oversized)[0]
            .problem
            .contains("but the maximum is 1048576")
    );
}

#[test]
fn bad_file_names_and_a_missing_account_are_refused() {
    let in_subfolder = faults(&[file("10.ini", GOOD), file("sub/20.ini", "; x\n")]);
    assert_eq!(&*in_subfolder[0].file, "sub/20.ini");
    let without_account = faults(&[file("10.ini", "[service a]\nslots = 6\n")]);
    assert_eq!(&*without_account[0].section, "account");
    assert_eq!(faults(&[]).len(), 1);
}

#[test]
fn every_certain_fault_of_every_file_is_reported_at_once() {
    let first = file(
        "10.ini",
        "[account]\nname sutkent\n[service a]\nslots = 0\n",
    );
    let second = file(
        "20.ini",
        "[oops]\n[route r]\npath = r\nmethods = GET\nservice = a\n",
    );
    let faults = faults(&[second, first]);
    let positions: Vec<(&str, u32)> = faults
        .iter()
        .map(|fault| (&*fault.file, fault.line))
        .collect();
    // The name of the account is not reported as missing, too: it may be in the line that could not
    // be parsed.
    let expected = [("10.ini", 2), ("10.ini", 4), ("20.ini", 1), ("20.ini", 3)];
    assert_eq!(positions, expected);
}

#[test]
fn faults_stay_short_and_harmless_whatever_the_folder_holds() {
    let long = "\u{1b}[2J".repeat(8_000);
    let contents = [
        format!("[service recipes]\ntimeout = {long}\n"),
        format!("[service recipes]\n{long} = 1\n"),
        format!("[service {long}]\nslots = 1\n"),
        format!("[{long}]\n"),
        format!("[{long}\n"),
        format!("{long}\n"),
        format!("[route r]\npath = {long}\nmethods = {long}\nservice = {long}\n"),
    ];
    for content in contents {
        for fault in faults(&[file("10.ini", GOOD), file("20.ini", &content)]) {
            let text = fault.to_string();
            assert!(text.len() < 600, "{} bytes", text.len());
            assert!(!text.contains('\u{1b}'), "{text}");
        }
    }
}

//! What the merge refuses, and what it says about it.

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

/// Content of `20.ini`; the line, section and key of the one fault; words of its problem.
const REFUSED: &[(&str, u32, &str, &str, &str)] = &[
    (
        "[service a]\nslots 6\n",
        2,
        "service a",
        "",
        "write 'key = value'",
    ),
    ("slots = 6\n", 1, "", "slots", "before any section"),
    ("[service a\nslots = 6\n", 1, "", "", "not a section header"),
    ("  [\n", 1, "", "", "not a section header"),
    ("[]\n", 1, "", "", "not a section header"),
    (
        "[service a]\n= 6\n",
        2,
        "service a",
        "",
        "no key before '='",
    ),
    (
        "[service a]\nslots = 6\nslots = 7\n",
        3,
        "service a",
        "slots",
        "line 2",
    ),
    ("[servcie a]\n", 1, "servcie a", "", "no such section"),
    ("[service]\nslots = 6\n", 1, "service", "", "[service NAME]"),
    (
        "[account x]\nname = y\n",
        1,
        "account x",
        "",
        "no such section",
    ),
    (
        "[service a b]\nslots = 6\n",
        1,
        "service a b",
        "",
        "not a name",
    ),
    (
        "[service a]\nslots = 6\nslot = 6\n",
        3,
        "service a",
        "slot",
        "use one of slots,",
    ),
    (
        "[service a]\nqueue = 6\n",
        1,
        "service a",
        "slots",
        "add 'slots = ...'",
    ),
    (
        "[service a]\nslots = 0\n",
        2,
        "service a",
        "slots",
        "1 to 10000",
    ),
    (
        "[service a]\nslots = -1\n",
        2,
        "service a",
        "slots",
        "whole number",
    ),
    (
        "[service a]\nslots =\n",
        2,
        "service a",
        "slots",
        "whole number",
    ),
    (
        "[service a]\nslots = 99999999999\n",
        2,
        "service a",
        "slots",
        "1 to 10000",
    ),
    (
        "[service recipes]\nconnections = 0\n",
        2,
        "service recipes",
        "connections",
        "1 to",
    ),
    (
        "[service recipes]\nqueue = 100001\n",
        2,
        "service recipes",
        "queue",
        "0 to 100000",
    ),
    (
        "[service recipes]\ntimeout = 5\n",
        2,
        "service recipes",
        "timeout",
        "has no unit",
    ),
    (
        "[service recipes]\ntimeout = 5h\n",
        2,
        "service recipes",
        "timeout",
        "250ms, 5s or 2m",
    ),
    (
        "[service recipes]\ntimeout = 0s\n",
        2,
        "service recipes",
        "timeout",
        "1ms to 10m",
    ),
    (
        "[service recipes]\nwarm_up = 11m\n",
        2,
        "service recipes",
        "warm_up",
        "0ms to 10m",
    ),
    (
        "[service recipes]\ndrain_grace = 61m\n",
        2,
        "service recipes",
        "drain_grace",
        "to 60m",
    ),
    (
        "[service recipes]\nretry_budget = 10\n",
        2,
        "service recipes",
        "retry_budget",
        "no unit",
    ),
    (
        "[service recipes]\nretry_budget = 101%\n",
        2,
        "service recipes",
        "retry_budget",
        "100%",
    ),
    (
        "[service recipes]\nimportance = top\n",
        2,
        "service recipes",
        "importance",
        "low, normal",
    ),
    (
        "[service recipes]\nobjective_good = 99%\n",
        2,
        "service recipes",
        "objective_good",
        "needs",
    ),
    (
        "[service recipes]\nobjective_good = 100%\nobjective_latency = 1s\n",
        2,
        "service recipes",
        "objective_good",
        "50% to 99.9%",
    ),
    (
        "[account]\nname = two words\n",
        2,
        "account",
        "name",
        "not a name",
    ),
    (
        "[account]\nnotice_ends = Sunday\n",
        2,
        "account",
        "notice_ends",
        "offset",
    ),
    (
        "[route r]\nmethods = GET\nservice = recipes\n",
        1,
        "route r",
        "path",
        "is missing",
    ),
    (
        "[route r]\npath = /r\nservice = recipes\n",
        1,
        "route r",
        "methods",
        "is missing",
    ),
    (
        "[route r]\npath = /r\nmethods = GET\n",
        1,
        "route r",
        "service",
        "is missing",
    ),
    (
        "[route r]\npath = r\nmethods = GET\nservice = recipes\n",
        2,
        "route r",
        "path",
        "/recipes",
    ),
    (
        "[route r]\npath = /r/\nmethods = GET\nservice = recipes\n",
        2,
        "route r",
        "path",
        "last",
    ),
    (
        "[route r]\npath = /a/../b\nmethods = GET\nservice = recipes\n",
        2,
        "route r",
        "path",
        "fit",
    ),
    (
        "[route r]\npath = /r\nmethods = GRAB\nservice = recipes\n",
        3,
        "route r",
        "methods",
        "GET",
    ),
    (
        "[route r]\npath = /r\nmethods = GET\nservice = rices\n",
        4,
        "route r",
        "service",
        "rices",
    ),
    (
        "[route r]\npath = /r\nmethods = GET\nservice = recipes\nidempotent = 1\n",
        5,
        "route r",
        "idempotent",
        "yes or no",
    ),
    (
        "[route r]\npath = /r\nmethods = GET\nservice = recipes\nidempotent = yes\nonce = yes\n",
        6,
        "route r",
        "once",
        "set one of them",
    ),
    (
        "[route a]\npath = /r\nmethods = GET POST\nservice = recipes\n\
         [route b]\npath = /r\nmethods = POST\nservice = recipes\n",
        6,
        "route b",
        "path",
        "route 'a' already claims POST /r",
    ),
];

#[test]
fn each_bad_input_is_one_fault_at_its_line_that_says_what_to_do() {
    for (content, line, section, key, words) in REFUSED {
        let fault = only_fault(content);
        let place = (&*fault.file, fault.line, &*fault.section, &*fault.key);
        assert_eq!(place, ("20.ini", *line, *section, *key), "{content}");
        assert!(
            fault.problem.contains(words),
            "{content}: {}",
            fault.problem
        );
    }
}

#[test]
fn a_file_that_is_not_utf8_is_refused() {
    let mut bad = file("20.ini", "[service a]\nslots = 6\n; ");
    bad.content.push(0xff);
    let faults = faults(&[file("10.ini", GOOD), bad]);
    assert_eq!((&*faults[0].file, faults[0].line), ("20.ini", 3));
    assert!(faults[0].problem.contains("not UTF-8"));
}

#[test]
fn over_large_files_and_folders_are_refused() {
    let comment = |bytes: usize| format!(";{}", "x".repeat(bytes - 1));
    let large = [file("10.ini", GOOD), file("20.ini", &comment(65_537))];
    assert!(
        faults(&large)[0]
            .problem
            .contains("65537 bytes and may have 65536")
    );

    let mut many: Vec<File> = (0..256)
        .map(|number| file(&format!("f{number}"), "; x\n"))
        .collect();
    many.push(file("10.ini", GOOD));
    assert!(
        faults(&many)[0]
            .problem
            .contains("257 files and may have 256")
    );

    let mut heavy: Vec<File> = (0..16)
        .map(|number| file(&format!("f{number}"), &comment(65_536)))
        .collect();
    heavy.push(file("10.ini", GOOD));
    assert!(faults(&heavy)[0].problem.contains("may have 1048576"));
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
    let places: Vec<(&str, u32)> = faults
        .iter()
        .map(|fault| (&*fault.file, fault.line))
        .collect();
    // The account's name is not also missing: it stands in the line that could not be read.
    let wanted = [("10.ini", 2), ("10.ini", 4), ("20.ini", 1), ("20.ini", 3)];
    assert_eq!(places, wanted);
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

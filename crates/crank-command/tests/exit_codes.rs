//! Tests the exit codes of crankctl: 0 success or yes, 1 failure or no, 2 invalid command line.

#![allow(clippy::unwrap_used)]

use crank_command::{Exit, run};
use crank_platform_client::Memory;

struct Ended {
    exit: Exit,
    out: String,
    err: String,
}

async fn crankctl(line: &str) -> Ended {
    let arguments: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&arguments, |_| Ok(Memory::new()), &mut out, &mut err).await;
    Ended {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

#[tokio::test]
async fn wrong_use_is_2_and_says_where_help_is() {
    let lines = [
        "",
        "frobnicate",
        "check",
        "check a b",
        "check --frob a",
        "diff a",
        "push a",
        "pull a",
        "rm a",
        "rollout",
        "rollout start",
        "rollout status",
        "rollout abort a",
        "push --settings",
        "status",
        "history",
        "notice",
        "explain",
        "history --node x --limit many",
    ];
    for line in lines {
        let ended = crankctl(line).await;
        assert_eq!(ended.exit, Exit::Usage, "{line}");
        assert_eq!(ended.out, "", "{line}");
        assert!(
            ended.err.ends_with("see 'crankctl --help'\n"),
            "{line}: {}",
            ended.err
        );
    }
}

#[tokio::test]
async fn help_and_version_are_0_on_the_standard_output() {
    let commands = [
        "check", "diff", "push", "pull", "rm", "rollout", "status", "history", "notice", "explain",
    ];
    for command in commands {
        let ended = crankctl(&format!("{command} --help")).await;
        assert_eq!((ended.exit, &*ended.err), (Exit::Done, ""), "{command}");
        assert!(
            ended
                .out
                .starts_with(&format!("Usage: crankctl {command} "))
        );
        assert!(
            crankctl("--help")
                .await
                .out
                .contains(&format!("\n  {command} "))
        );
    }
    assert!(crankctl("--version").await.out.starts_with("crankctl "));
}

#[tokio::test]
async fn what_cannot_be_done_is_1_and_says_why() {
    let nowhere = crankctl("check /nowhere").await;
    assert_eq!(nowhere.exit, Exit::No);
    assert!(nowhere.err.starts_with("crankctl: /nowhere: "));
    let no_settings = crankctl("rm a --settings /nowhere.ini").await;
    assert_eq!(no_settings.exit, Exit::No);
    assert!(no_settings.err.contains("--settings"));
    for command in ["status", "history", "notice"] {
        let unreachable = crankctl(&format!("{command} --node 127.0.0.1:1")).await;
        assert_eq!(unreachable.exit, Exit::No);
        assert!(
            unreachable
                .err
                .contains("cannot reach the node at 127.0.0.1:1")
        );
    }
}

#[tokio::test]
async fn faulty_settings_are_named_by_file_line_and_key() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("store.ini");
    std::fs::write(
        &file,
        "[account]\nname = sutkent\n[platform]\nobjects = here\n",
    )
    .unwrap();
    let ended = crankctl(&format!("rm a --settings {}", file.display())).await;
    assert_eq!(ended.exit, Exit::No);
    let fault = format!(
        "{}:4: platform objects: 'here' does not fit",
        file.display()
    );
    assert!(ended.err.contains(&fault), "{}", ended.err);
    assert!(
        ended.err.contains("platform bucket: the key is missing"),
        "{}",
        ended.err
    );
}

//! Tests the explanation of a request's outcome from the logs of several nodes.

#![allow(clippy::unwrap_used)]

use crank_command::{Exit, run};
use crank_platform_client::Memory;
use tempfile::tempdir;

const ENTRY: &str = "\
time=10:00:00.201 level=INFO from=crank_node::entry event=\"attempt refused\" request=a337 service=recipes \
target=n2 refusal=Lost outcome=Unknown again=false
time=10:00:00.202 level=INFO from=crank_node::entry event=\"request given up\" request=a337 service=recipes \
tried=\"[\\\"n2\\\"]\" refusal=Lost outcome=Unknown reached=true took_ms=55 left_ms=900
time=10:00:00.300 level=INFO from=crank_node::entry event=\"request given up\" request=b4a4 service=recipes \
tried=\"[n2, n3]\" refusal=\"Overloaded { retry_after: Millis(280) }\" outcome=NotRun took_ms=12 left_ms=900
time=10:00:00.400 level=INFO from=crank_node::entry event=\"request not routed\" request=c1 refusal=NotReady
time=10:00:00.500 level=INFO from=crank_node::entry event=\"backend server answered with a failure\" \
request=d1 service=recipes target=n2 status=500 again=false
time=10:00:00.600 level=INFO from=crank_node::entry event=\"request answered after more than one attempt\" \
request=e1 tried=\"[n2, n3]\" took_ms=40
";
const TARGET: &str = "\
time=10:00:00.200 level=INFO from=crank_node::target event=\"backend server gave no answer\" request=a337 \
server=i-1 refusal=Lost reached=true
time=10:00:00.700 level=INFO from=crank_node::target event=\"backend server gave no answer\" request=f1 \
server=i-1 refusal=Lost reached=true
";

async fn explain(id: &str) -> (Exit, String) {
    let home = tempdir().unwrap();
    let mut arguments = vec!["explain".to_owned(), id.to_owned()];
    for (name, text) in [("n1.log", ENTRY), ("n2.log", TARGET)] {
        let path = home.path().join(name);
        std::fs::write(&path, text).unwrap();
        arguments.push(path.display().to_string());
    }
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&arguments, |_| Ok(Memory::new()), &mut out, &mut err).await;
    (exit, String::from_utf8(out).unwrap())
}

#[tokio::test]
async fn the_lines_of_all_nodes_come_in_order_and_one_sentence_says_what_decided() {
    let (exit, text) = explain("a337").await;
    assert_eq!(exit, Exit::Done);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].starts_with("n2  time=10:00:00.200"), "{text}");
    assert!(lines[1].contains("attempt refused") && lines[2].contains("request given up"));
    assert_eq!(
        lines[3],
        "It may have run: it was given up after 55 ms, tried at [\"n2\"], the last time because of Lost."
    );
}

#[tokio::test]
async fn each_end_of_a_request_has_its_sentence() {
    for (id, start) in [
        (
            "b4a4",
            "It was not run and will not be: it was given up after 12 ms",
        ),
        (
            "c1",
            "It was not run: no target was chosen, because of NotReady.",
        ),
        ("d1", "The backend server beside n2 answered it with 500"),
        (
            "e1",
            "It was answered after 40 ms, by the last of [n2, n3].",
        ),
    ] {
        let (exit, text) = explain(id).await;
        assert_eq!(exit, Exit::Done, "{id}");
        assert!(text.lines().last().unwrap().starts_with(start), "{text}");
    }
}

#[tokio::test]
async fn a_request_that_no_line_or_no_end_names_is_answered_with_1() {
    for (id, start) in [
        ("f1", "No line tells its end"),
        ("unheard", "No line names it"),
    ] {
        let (exit, text) = explain(id).await;
        assert_eq!(exit, Exit::No, "{id}");
        assert!(text.lines().last().unwrap().starts_with(start), "{text}");
    }
}

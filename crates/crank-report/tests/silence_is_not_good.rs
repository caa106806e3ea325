//! Tests the report over nodes that answer, do not answer, or were not queried.

#![allow(clippy::unwrap_used)]

use crank_engine::Moment;
use crank_engine::burn::{BurnCounter, BurnReport, Tally};
use crank_engine::folder::{File, merge};
use crank_operator::{Admin, listener};
use crank_protocol::config::{Owner, Version};
use crank_protocol::member::{Member, Place, State};
use crank_protocol::status::{HistoryEntry, MeshStatus, NodeAccounts, NodeReport};
use crank_protocol::{Millis, Name};
use tokio::net::TcpListener;

const FOLDER: &str = "[account]\nname = sutkent\n[service recipes]\nslots = 6\n\
    objective_good = 99%\nobjective_latency = 1s\n";
const NOBODY: &str = "127.0.0.1:1";

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

#[derive(Clone)]
struct Counting {
    id: Name,
    tally: Tally,
    members: Vec<&'static str>,
}

impl Admin for Counting {
    async fn status(&self) -> MeshStatus {
        let silent = |id: &&str| {
            NodeReport::Silent(Member {
                id: name(id),
                place: Place {
                    region: name("almaty"),
                    data_centre: name("almaty-1"),
                },
                address: "127.0.0.1:1".parse().unwrap(),
                incarnation: 1,
                link: 0,
                state: State::Alive,
                endpoint: None,
            })
        };
        MeshStatus {
            account: name("sutkent"),
            asked: self.id.clone(),
            head: None,
            store_up: true,
            refused: None,
            nodes: self.members.iter().map(silent).collect(),
            in_force: false,
            highest: None,
            took: Millis(1),
        }
    }

    async fn history(&self, _: u32) -> Result<Vec<HistoryEntry>, crank_platform_client::Error> {
        Ok(Vec::new())
    }

    fn account(&self) -> Option<Owner> {
        None
    }

    fn accounts(&self) -> NodeAccounts {
        NodeAccounts {
            node: self.id.clone(),
            version: None,
            window: Millis(10_000),
            accounts: Vec::new(),
        }
    }

    fn burn(&self) -> BurnReport {
        let file = File {
            name: "all.ini".into(),
            content: FOLDER.into(),
        };
        let config = merge(&[file]).unwrap().config;
        let mut burn = BurnCounter::new(Moment(0));
        let recipes = name("recipes");
        (0..self.tally.good).for_each(|_| burn.record(&recipes, true, Moment(1)));
        (0..self.tally.bad).for_each(|_| burn.record(&recipes, false, Moment(1)));
        let now = Moment(0).after(Millis(120_000));
        burn.report(self.id.clone(), Some((Version(1), &config)), now)
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn is_ready(&self) -> bool {
        true
    }
}

async fn start(id: &str, good: u64, bad: u64) -> String {
    let admin = Counting {
        id: name(id),
        tally: Tally { good, bad },
        members: vec!["n1", "n2"],
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(listener::serve(listener, admin, std::future::pending()));
    address
}

async fn report(line: &str) -> (u8, String) {
    let arguments: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = crank_report::run(&arguments, &mut out, &mut err).await;
    out.extend(err);
    (code, String::from_utf8(out).unwrap())
}

#[tokio::test]
async fn all_heard_and_calm_is_0() {
    let (first, second) = (start("n1", 990, 1).await, start("n2", 9, 0).await);
    let (code, text) = report(&format!("--node {first} --node {second}")).await;
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("recipes  99.0% within 1000ms"), "{text}");
    assert!(
        text.contains("5m         999           1      0.10"),
        "{text}"
    );
    assert!(text.ends_with("\ncomplete\n"), "{text}");
}

#[tokio::test]
async fn who_did_not_answer_or_was_not_asked_is_named_and_the_code_is_1() {
    let first = start("n1", 100, 0).await;
    let (code, text) = report(&format!("--node {first} --node {NOBODY}")).await;
    assert_eq!(code, 1);
    assert!(
        text.contains(&format!("unreached  {NOBODY}: cannot reach")),
        "{text}"
    );
    assert!(text.contains("unheard    n2\n"), "{text}");
    assert!(text.contains("not complete"), "{text}");
    let (code, text) = report(&format!("--node {first}")).await;
    assert_eq!(code, 1, "{text}");
    let (code, text) = report(&format!("--node {NOBODY}")).await;
    assert_eq!(
        (code, text.contains("unheard    not known")),
        (1, true),
        "{text}"
    );
}

#[tokio::test]
async fn an_alarm_is_1_and_stands_in_the_page() {
    let (first, second) = (start("n1", 50, 50).await, start("n2", 0, 0).await);
    let dir = tempfile::tempdir().unwrap();
    let page = dir.path().join("burn.html");
    let nodes = dir.path().join("nodes");
    std::fs::write(&nodes, format!("{first}\n\n{second}\n{first}\n")).unwrap();
    let line = format!(
        "--nodes {} --html {} --json",
        nodes.display(),
        page.display()
    );
    let (code, text) = report(&line).await;
    assert_eq!(code, 1);
    let report: crank_report::Report = serde_json::from_str(&text).unwrap();
    assert!(
        report.complete && report.services[0].alarms.len() == 4,
        "{text}"
    );
    assert_eq!(
        report.services[0].rates[0].tally,
        Tally { good: 50, bad: 50 }
    );
    let page = std::fs::read_to_string(page).unwrap();
    assert!(page.contains("<svg") && page.contains("PAGE: burns at 14.4"));
}

#[tokio::test]
async fn wrong_use_is_2() {
    for line in ["", "--frob", "--node", "a"] {
        let (code, text) = report(line).await;
        assert_eq!(code, 2, "{text}");
        assert!(text.ends_with("see 'crank-report --help'\n"), "{text}");
    }
}

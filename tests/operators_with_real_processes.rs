//! Operators at work on a small mesh of real processes.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use crank_engine::notice::NoticeProgress;
use crank_load::fleet::{Fleet, Layout, Signal, wait};
use crank_protocol::status::{AccountStatus, MeshStatus, NodeAccounts};
use tempfile::TempDir;

const PATIENCE: Duration = Duration::from_secs(60);
const SERVICES: [&str; 3] = ["recipes", "panels", "batches"];
const FAR_NOTICE: &str = "[account]\nname = sutkent\nnotice_ends = 2126-12-08T23:59:59+05:00\n";
const PAST_NOTICE: &str = "[account]\nname = sutkent\nnotice_ends = 2026-11-29T23:59:59+05:00\n";

struct Said {
    code: i32,
    out: String,
    err: String,
}

fn programs() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_crankctl")).parent().unwrap()
}

fn run(program: &str, arguments: &[&str]) -> Said {
    let output = Command::new(programs().join(program))
        .args(arguments)
        .output()
        .unwrap();
    Said {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

struct Office {
    fleet: Fleet,
    home: TempDir,
    settings: PathBuf,
}

impl Office {
    async fn open() -> Self {
        let home = TempDir::new().unwrap();
        let layout = Layout::new("sutkent", 3, 1, 3, &["recipes"]);
        let mut layout = layout;
        for (placement, service) in layout.placements.iter_mut().zip(SERVICES) {
            placement.service = service.into();
        }
        let fleet = Fleet::start(layout, programs(), home.path()).await.unwrap();
        let settings = fleet.store_settings().unwrap();
        Self {
            fleet,
            home,
            settings,
        }
    }

    fn folder(&self, name: &str) -> PathBuf {
        self.home.path().join(name)
    }

    fn store(&self, command: &str, operand: &str) -> Said {
        let settings = self.settings.display().to_string();
        run("crankctl", &[command, operand, "--settings", &settings])
    }

    fn in_folder(&self, command: &str, name: &str) -> Said {
        self.store(command, &self.folder(name).display().to_string())
    }

    async fn control(&self, switches: &str) {
        let url = format!("{}/control", self.fleet.platform_url());
        let client = reqwest::Client::new();
        let request = client.put(url).body(switches.to_owned());
        let answer = request.header("content-type", "application/json").send();
        assert!(answer.await.unwrap().status().is_success());
    }

    fn status_text(&self) -> Said {
        let node = self.fleet.nodes[0].operators();
        run("crankctl", &["status", "--json", "--node", &node])
    }

    fn status(&self) -> MeshStatus {
        let said = self.status_text();
        assert_eq!(said.code, 0, "{}", said.err);
        serde_json::from_str(&said.out).unwrap()
    }

    fn notice(&self) -> (i32, NoticeProgress) {
        let node = self.fleet.nodes[0].operators();
        let said = run("crankctl", &["notice", "--json", "--node", &node]);
        (said.code, serde_json::from_str(&said.out).unwrap())
    }

    async fn until(&self, what: &str, holds: impl Fn(&MeshStatus) -> bool) {
        let reached = wait(what, PATIENCE, async || holds(&self.status())).await;
        assert!(reached.is_ok(), "{what}: {:?}", self.status());
    }

    async fn until_in_force(&self, version: u64) {
        let is_in_force = |mesh: &MeshStatus| {
            let head = mesh.head.as_ref().map(|head| head.version.0);
            head == Some(version) && mesh.in_force && mesh.nodes.len() == SERVICES.len()
        };
        self.until(&format!("version {version} in force"), is_in_force)
            .await;
    }
}

fn copy_example(to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/folder");
    for entry in std::fs::read_dir(example).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, to.join(path.file_name().unwrap())).unwrap();
    }
}

async fn answers(office: &Office) {
    let served = async || {
        let url = format!("{}/recipes/7", office.fleet.nodes[1].callers());
        let answer = reqwest::get(url).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    };
    wait("a served request", PATIENCE, served).await.unwrap();
}

#[tokio::test]
async fn a_pushed_folder_is_in_force_and_the_second_of_two_operators_is_told() {
    let office = Office::open().await;
    copy_example(&office.folder("anna"));
    let pushed = office.in_folder("push", "anna");
    assert_eq!(pushed.code, 0, "{}", pushed.err);
    office.until_in_force(1).await;
    answers(&office).await;

    assert_eq!(office.in_folder("pull", "berik").code, 0);
    let change = |name: &str, queue: u32| {
        let text = format!("[service recipes]\nqueue = {queue}\n");
        std::fs::write(office.folder(name).join("90-night.ini"), text).unwrap();
    };
    change("anna", 3);
    change("berik", 4);
    assert_eq!(office.in_folder("push", "berik").code, 0);
    let refused = office.in_folder("push", "anna");
    assert_eq!(refused.code, 1);
    assert!(
        refused
            .err
            .contains("changed in the store since they were read: 90-night.ini")
    );
    office.until_in_force(2).await;
    let history = run(
        "crankctl",
        &["history", "--node", &office.fleet.nodes[2].operators()],
    );
    assert_eq!(
        (history.code, history.out.lines().count()),
        (0, 3),
        "{}",
        history.out
    );
}

#[tokio::test]
async fn a_refused_folder_leaves_the_accepted_version_in_force() {
    let office = Office::open().await;
    copy_example(&office.folder("anna"));
    assert_eq!(office.in_folder("push", "anna").code, 0);
    office.until_in_force(1).await;
    let removed = office.store("rm", "10-account.ini");
    assert_eq!(removed.code, 0, "{}", removed.err);
    office
        .until("a refusal", |mesh| mesh.refused.is_some())
        .await;
    office.until_in_force(1).await;
    answers(&office).await;
    assert_eq!(office.in_folder("pull", "anna").code, 0);
    copy_example(&office.folder("anna"));
    assert_eq!(office.in_folder("push", "anna").code, 0);
    let mended = |mesh: &MeshStatus| mesh.refused.is_none() && mesh.in_force;
    office.until("the folder accepted again", mended).await;
}

#[tokio::test]
async fn the_notice_is_complete_once_every_server_has_handed_over() {
    let office = Office::open().await;
    copy_example(&office.folder("anna"));
    std::fs::write(office.folder("anna").join("10-account.ini"), FAR_NOTICE).unwrap();
    assert_eq!(office.in_folder("push", "anna").code, 0);
    office.until_in_force(1).await;
    let all_announced = async || office.notice().1.not_handed_over.len() == 3;
    wait("three servers", PATIENCE, all_announced)
        .await
        .unwrap();
    assert_eq!(office.notice().0, 1);

    office.fleet.nodes[1].node.signal(Signal::Freeze).unwrap();
    for node in &office.fleet.nodes {
        node.backend.signal(Signal::Terminate).unwrap();
    }
    let handed_over = async || office.notice().1.handed_over == 2;
    wait("two servers handed over", PATIENCE, handed_over)
        .await
        .unwrap();
    let (code, notice) = office.notice();
    assert_eq!(
        (code, notice.silent.len()),
        (1, 1),
        "a frozen node counts as done"
    );

    office.fleet.nodes[1].node.signal(Signal::Wake).unwrap();
    let complete = async || office.notice().0 == 0;
    wait("the end of the notice", PATIENCE, complete)
        .await
        .unwrap();
}

#[tokio::test]
async fn servers_hand_over_by_themselves_when_the_notice_ends_and_take_work_again_without_one() {
    let office = Office::open().await;
    copy_example(&office.folder("anna"));
    assert_eq!(office.in_folder("push", "anna").code, 0);
    office.until_in_force(1).await;
    answers(&office).await;
    let account = office.folder("anna").join("10-account.ini");
    std::fs::write(&account, PAST_NOTICE).unwrap();
    let pushed = office.in_folder("push", "anna");
    assert_eq!(pushed.code, 0, "{}", pushed.err);
    assert!(
        pushed.out.contains("the notice period has ended"),
        "{}",
        pushed.out
    );
    let complete = async || office.notice().0 == 0;
    wait("the end of the notice", PATIENCE, complete)
        .await
        .unwrap();
    let url = format!("{}/recipes/7", office.fleet.nodes[1].callers());
    let refused = reqwest::get(url).await.unwrap();
    assert_eq!(refused.headers()["crank-outcome"], "not-run");

    copy_example(&office.folder("anna"));
    assert_eq!(office.in_folder("push", "anna").code, 0);
    answers(&office).await;
}

#[tokio::test]
async fn a_push_goes_on_after_a_lost_answer_and_after_an_outage() {
    let office = Office::open().await;
    copy_example(&office.folder("anna"));
    office.control(r#"{"down":true}"#).await;
    let refused = office.in_folder("push", "anna");
    assert_eq!(refused.code, 1);
    assert!(
        refused.err.contains("store is not available"),
        "{}",
        refused.err
    );
    assert_eq!(
        office.status_text().code,
        0,
        "a node answers without the store"
    );
    office.control(r#"{"down":false}"#).await;

    office.control(r#"{"lose_answers":2}"#).await;
    let pushed = office.in_folder("push", "anna");
    assert_eq!(pushed.code, 0, "{}", pushed.err);
    let again = office.in_folder("push", "anna");
    assert!(
        again.out.contains("nothing to push"),
        "{}{}",
        again.out,
        again.err
    );
    office
        .until("in force", |mesh| mesh.in_force && mesh.head.is_some())
        .await;
}

#[tokio::test]
async fn a_push_over_a_slow_link_becomes_one_version() {
    let mut office = Office::open().await;
    copy_example(&office.folder("anna"));
    // Each of the operator's requests takes longer than the folder has to be still.
    let settings = std::fs::read_to_string(&office.settings).unwrap() + "access_key = operator\n";
    office.settings = office.folder("operator.ini");
    std::fs::write(&office.settings, settings).unwrap();
    office.control(r#"{"delays_ms":{"operator":900}}"#).await;
    let pushed = office.in_folder("push", "anna");
    assert_eq!(pushed.code, 0, "{}", pushed.err);
    let has_all = |mesh: &MeshStatus| mesh.in_force && mesh.head.is_some() && mesh.nodes.len() == 3;
    office.until("a version in force", has_all).await;
    answers(&office).await;
    let status = office.status();
    assert_eq!(
        status.head.unwrap().version.0,
        1,
        "half of a push became a version"
    );
    assert_eq!(status.refused, None);
}

#[tokio::test]
async fn the_report_says_which_nodes_it_did_not_hear() {
    let office = Office::open().await;
    copy_example(&office.folder("anna"));
    assert_eq!(office.in_folder("push", "anna").code, 0);
    office.until_in_force(1).await;
    // One node tells of the others.
    let node = office.fleet.nodes[0].operators();
    let heard = run("crank-report", &["--node", &node]);
    assert_eq!(heard.code, 0, "{}{}", heard.out, heard.err);
    assert!(heard.out.contains("heard      3 nodes"), "{}", heard.out);
    office.fleet.nodes[2].node.signal(Signal::Freeze).unwrap();
    let two = run("crank-report", &["--node", &node]);
    assert_eq!(two.code, 1);
    assert!(two.out.contains("unheard    node2"), "{}", two.out);
}

const KEPT_KEY: &str = "kept-key-of-mill-7";
const OLD_KEY: &str = "old-key-of-mill-7";

fn put_client(office: &Office, keys: &[&str]) {
    let text = format!(
        "[client mill-7]\nkeys = {}\nrate = 50\nburst = 100\n",
        keys.join(" ")
    );
    std::fs::write(office.folder("anna").join("60-clients.ini"), text).unwrap();
    let pushed = office.in_folder("push", "anna");
    assert_eq!(pushed.code, 0, "{}", pushed.err);
}

/// Returns what each node says of the client account, after a look that no key is shown.
fn account_on_nodes(office: &Office) -> Vec<AccountStatus> {
    let node = office.fleet.nodes[2].operators();
    for arguments in [
        &["accounts", "--node", &node][..],
        &["accounts", "--json", "--node", &node],
    ] {
        let said = run("crankctl", arguments);
        assert_eq!(said.code, 0, "{}", said.err);
        assert!(!said.out.contains("key-of-mill-7"), "{}", said.out);
    }
    let said = run("crankctl", &["accounts", "--json", "--node", &node]);
    let fleet: serde_json::Value = serde_json::from_str(&said.out).unwrap();
    let nodes: Vec<NodeAccounts> = serde_json::from_value(fleet["nodes"].clone()).unwrap();
    assert_eq!(nodes.len(), SERVICES.len());
    let accounts = nodes.into_iter().flat_map(|node| node.accounts);
    accounts.collect()
}

async fn send(office: &Office, node: usize, key: &str) -> u16 {
    let url = format!("{}/recipes/7", office.fleet.nodes[node].callers());
    let request = reqwest::Client::new().get(url).header("crank-key", key);
    request.send().await.unwrap().status().as_u16()
}

#[tokio::test]
async fn operators_see_client_accounts_of_all_nodes_and_a_key_that_is_taken_back() {
    let office = Office::open().await;
    copy_example(&office.folder("anna"));
    put_client(&office, &[KEPT_KEY, OLD_KEY]);
    office.until_in_force(1).await;
    for node in 0..SERVICES.len() {
        let is_served = async || send(&office, node, OLD_KEY).await == 200;
        wait("a served request", PATIENCE, is_served).await.unwrap();
    }
    let accounts = account_on_nodes(&office);
    assert_eq!(accounts.len(), SERVICES.len());
    for account in &accounts {
        assert_eq!((account.keys, account.keys_taken_back), (2, 0));
        assert_eq!(account.limit.unwrap().per_second, 50);
        assert!(account.recent.unwrap().admitted >= 1, "{account:?}");
        assert!(account.home.is_some(), "{account:?}");
    }

    put_client(&office, &[KEPT_KEY]);
    office.until_in_force(2).await;
    assert_eq!(send(&office, 0, OLD_KEY).await, 401);
    assert_eq!(send(&office, 0, KEPT_KEY).await, 200);
    for account in account_on_nodes(&office) {
        assert_eq!((account.keys, account.keys_taken_back), (1, 1));
    }
}
